//! The split, the veto set, the histogram, records and pooled summaries, each against a reference model.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes inputs by value")]

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;
use rollout::controller::pool::Pool;
use rollout::guard::histogram::Histogram;
use rollout::summary::RouteTotals;
use rollout::{
    Arm, Counts, Evidence, Id, Plan, Reason, Record, Share, Shares, Signal, Split, Stage, Summary, Verdict,
    Veto, Vetoes, WallTime, WriteId,
};

/// Rollout id and count of slow requests of each veto.
type Inserted = Vec<(u8, u8)>;

fn veto(rollout: u64, slow: u64) -> Veto {
    Veto {
        rollout: Id(rollout),
        endpoint: Name::from("e"),
        version: Name::from("v2"),
        route: None,
        evidence: Evidence::Compared {
            signal: Signal::Slow,
            old: Counts::default(),
            new: Counts {
                slow,
                ..Counts::default()
            },
        },
    }
}

fn vetoes_from(inserted: &[(u8, u8)]) -> Vetoes {
    let mut all = Vetoes::new();
    for (rollout, slow) in inserted {
        all.insert(veto(u64::from(*rollout), u64::from(*slow)));
    }
    all
}

fn union(left: &Vetoes, right: &Vetoes) -> Vetoes {
    let mut sum = left.clone();
    sum.merge(right);
    sum
}

#[test]
fn vetoes_merge_in_any_order() {
    fn holds(a: Inserted, b: Inserted, c: Inserted) -> bool {
        let (a, b, c) = (vetoes_from(&a), vetoes_from(&b), vetoes_from(&c));
        let associative = union(&union(&a, &b), &c) == union(&a, &union(&b, &c));
        let kept = a
            .iter()
            .all(|veto| union(&a, &b).get(veto.rollout, &veto.version).is_some());
        union(&a, &b) == union(&b, &a) && union(&a, &a) == a && associative && kept
    }
    check::property(200, 12, holds as fn(Inserted, Inserted, Inserted) -> bool);
}

#[test]
fn vetoes_are_bounded_and_keep_the_latest() {
    let mut all = Vetoes::new();
    for rollout in 0..1_000 {
        all.insert(veto(rollout, 0));
    }
    assert_eq!(all.iter().count(), rollout::vetoes::MAX_VETOES);
    assert!(all.get(Id(999), &Name::from("v2")).is_some());
}

fn shares(rollout: u64, generation: u64, stage: Stage, default_share: Share) -> Shares {
    Shares {
        rollout: Id(rollout),
        endpoint: Name::from("e"),
        from: Name::from("v1"),
        to: Name::from("v2"),
        generation,
        stage,
        routes: IndexMap::new(),
        default_share,
    }
}

#[test]
fn split_draws_the_share() {
    struct Case {
        name: &'static str,
        stage: Stage,
        share: Share,
        cap: Option<Share>,
        vetoed: bool,
        percent: u64,
    }
    let (half, tenth) = (Share::from_percent(50), Share::from_percent(10));
    let moving = Case {
        name: "half",
        stage: Stage::Moving,
        share: half,
        cap: None,
        vetoed: false,
        percent: 50,
    };
    let cases = [
        Case {
            name: "capped",
            cap: Some(tenth),
            percent: 10,
            ..moving
        },
        Case {
            name: "cap above",
            share: tenth,
            cap: Some(half),
            percent: 10,
            ..moving
        },
        Case {
            name: "vetoed",
            vetoed: true,
            percent: 0,
            ..moving
        },
        Case {
            name: "full",
            share: Share::FULL,
            percent: 100,
            ..moving
        },
        Case {
            name: "done",
            stage: Stage::Done,
            cap: Some(tenth),
            percent: 100,
            ..moving
        },
        Case {
            name: "undone",
            stage: Stage::Undone,
            percent: 0,
            ..moving
        },
        Case {
            name: "vetoed, then done",
            stage: Stage::Done,
            vetoed: true,
            percent: 0,
            ..moving
        },
        moving,
    ];
    let (endpoint, route) = (Name::from("e"), Name::from("r"));
    for case in cases {
        let mut split = Split::new();
        assert!(split.choose(&endpoint, &route, 0).is_none());
        split.apply(shares(1, 1, case.stage, case.share));
        split.cap(Id(1), &route, case.cap);
        if case.vetoed {
            split.veto(Id(1));
        }
        let draws = (0..100).map(|percent| u64::MAX / 200 * (2 * percent + 1));
        let choices = draws.filter_map(|draw| split.choose(&endpoint, &route, draw));
        let new = choices.filter(|choice| choice.assignment.arm == Arm::New).count() as u64;
        assert_eq!(new, case.percent, "{}", case.name);
        assert!(
            !split.apply(shares(1, 1, Stage::Moving, Share::FULL)),
            "{}: the same generation was applied twice",
            case.name
        );
        assert!(
            split.apply(shares(2, 2, Stage::Moving, half)),
            "{}: a newer rollout was not applied",
            case.name
        );
        let arm = split
            .choose(&endpoint, &route, 0)
            .map(|choice| choice.assignment.arm);
        assert_eq!(
            arm,
            Some(Arm::New),
            "{}: the veto of an earlier rollout still applied",
            case.name
        );
    }
}

#[test]
fn first_verdict_is_kept() {
    let verdicts = ["a", "b"].map(|operator| Verdict::Undone(Reason::Operator(Name::from(operator))));
    let plan = Plan {
        id: Id(1),
        endpoint: Name::from("e"),
        from: Name::from("v1"),
        to: Name::from("v2"),
        start: WallTime(0),
        deadline: WallTime(1),
        canary: rollout::plan::CANARY_SHARE,
        watch: Millis(1),
        operator: Name::from("a"),
    };
    let mut record = Record::new(plan, WriteId { fence: 1, number: 1 }, WallTime(0));
    for verdict in &verdicts {
        record.end(verdict.clone(), WallTime(1));
    }
    assert_eq!(record.verdict.as_ref(), Some(&verdicts[0]));
}

#[test]
fn histogram_quantiles_are_close() {
    fn holds(latencies: Vec<u16>, per_mille: u16) -> bool {
        let per_mille = u32::from(per_mille % 1_000) + 1;
        let mut histogram = Histogram::default();
        let mut sorted: Vec<u64> = latencies
            .iter()
            .map(|latency| u64::from(*latency).max(1))
            .collect();
        sorted.sort_unstable();
        for latency in &sorted {
            histogram.record(Millis(*latency));
        }
        let Some(rank) = (sorted.len() as u64 * u64::from(per_mille))
            .div_ceil(1_000)
            .checked_sub(1)
        else {
            return histogram.quantile(per_mille) == Millis::ZERO;
        };
        let exact = sorted[rank as usize];
        let quantile = histogram.quantile(per_mille).0;
        quantile >= exact && quantile <= exact + exact / 4
    }
    check::property(300, 60, holds as fn(Vec<u16>, u16) -> bool);
}

fn summary(node: u64, sequence: u64) -> Summary {
    let new = Counts {
        started: sequence,
        ended: sequence,
        ..Counts::default()
    };
    let routes = [(
        Name::from("r"),
        RouteTotals {
            new,
            ..RouteTotals::default()
        },
    )]
    .into_iter()
    .collect();
    Summary {
        rollout: Id(1),
        node: Incarnation(node),
        sequence,
        routes,
    }
}

/// The pooled sum is that of each node's latest summary, however often and in whatever order summaries
/// arrive.
#[test]
fn pool_counts_each_request_once() {
    fn holds(arrivals: Vec<(u8, u8)>) -> bool {
        let mut pool = Pool::default();
        let mut latest: IndexMap<u64, u64> = IndexMap::new();
        for (node, sequence) in arrivals {
            let (node, sequence) = (u64::from(node % 4), u64::from(sequence) + 1);
            pool.update(Millis::ZERO, summary(node, sequence));
            let last = latest.entry(node).or_default();
            *last = sequence.max(*last);
        }
        let sum = pool
            .routes
            .get(&Name::from("r"))
            .map_or(0, |pooled| pooled.sum.new.ended);
        sum == latest.values().sum::<u64>()
    }
    check::property(200, 30, holds as fn(Vec<(u8, u8)>) -> bool);
}
