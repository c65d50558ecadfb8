//! Selection of the preferred writer of a shard.

use base::Incarnation;
use claim::ledger::Shard;
use quickcheck::TestResult;

#[test]
fn a_removed_node_moves_only_its_own_shards() {
    fn property(nodes: Vec<u64>, removed: usize, shard: u16) -> TestResult {
        let mut live: Vec<_> = nodes.into_iter().map(Incarnation).collect();
        let Some(removed) = removed.checked_rem(live.len()) else {
            return TestResult::discard();
        };
        let before = Shard(shard).preferred_writer(&live);
        let removed_node = live.swap_remove(removed);
        let after = Shard(shard).preferred_writer(&live);
        TestResult::from_bool(before == after || before == Some(removed_node))
    }
    check::property(2_000, 20, property as fn(Vec<u64>, usize, u16) -> TestResult);
}

#[test]
fn shards_are_spread_evenly_over_nodes() {
    let live: Vec<_> = (0..8).map(Incarnation).collect();
    let shards_of = |node| {
        (0..800)
            .filter(|shard| Shard(*shard).preferred_writer(&live) == Some(node))
            .count()
    };
    for node in live.clone() {
        assert!(
            (50..=150).contains(&shards_of(node)),
            "node {node} is the preferred writer of {} of 800 shards",
            shards_of(node)
        );
    }
}
