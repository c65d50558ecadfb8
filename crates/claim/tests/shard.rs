//! The preferred writer of a shard.

use base::Incarnation;
use claim::ledger::Shard;
use quickcheck::TestResult;

#[test]
fn a_node_that_goes_moves_only_its_own_shards() {
    fn property(nodes: Vec<u64>, gone: usize, shard: u16) -> TestResult {
        let mut live: Vec<_> = nodes.into_iter().map(Incarnation).collect();
        let Some(gone) = gone.checked_rem(live.len()) else {
            return TestResult::discard();
        };
        let before = Shard(shard).preferred_writer(&live);
        let left = live.swap_remove(gone);
        let after = Shard(shard).preferred_writer(&live);
        TestResult::from_bool(before == after || before == Some(left))
    }
    check::property(2_000, 20, property as fn(Vec<u64>, usize, u16) -> TestResult);
}

#[test]
fn shards_are_spread_over_the_nodes() {
    let live: Vec<_> = (0..8).map(Incarnation).collect();
    let writes = |node| {
        (0..800)
            .filter(|shard| Shard(*shard).preferred_writer(&live) == Some(node))
            .count()
    };
    for node in live.clone() {
        assert!(
            (50..=150).contains(&writes(node)),
            "node {node} writes {} of 800",
            writes(node)
        );
    }
}
