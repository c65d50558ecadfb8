//! Deletions of records by an outage of the store, by writers that are gone, and while nodes are cut off.

use base::{Millis, Seed};
use check::property;
use quickcheck::TestResult;
use rand::RngExt;
use relay::{Availability, Deletions, Uptime};

const MIN_OUTAGE: Millis = Millis(1_800);
const KEY: &str = "replica";

/// What a node learns, at a time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store answers the node.
    Answer,
    /// Another node reports that the store has answered it since this time, lately a moment ago.
    Report(Millis),
    /// The store was restored from a copy.
    Restore,
}

struct Case {
    name: &'static str,
    events: &'static [(u64, Event)],
    deleted_at: u64,
    /// When the deletion takes effect.
    effective_at: u64,
}

const CASES: [Case; 8] = [
    Case {
        name: "no trouble",
        events: &[(10_000, Event::Answer), (11_000, Event::Answer)],
        deleted_at: 11_000,
        effective_at: 11_000,
    },
    Case {
        name: "a call fails",
        events: &[(10_000, Event::Answer), (11_700, Event::Answer)],
        deleted_at: 11_700,
        effective_at: 11_700,
    },
    Case {
        name: "outage of the store",
        events: &[(10_000, Event::Answer), (14_000, Event::Answer)],
        deleted_at: 14_000,
        effective_at: 15_800,
    },
    Case {
        name: "long after an outage",
        events: &[(10_000, Event::Answer), (14_000, Event::Answer)],
        deleted_at: 16_000,
        effective_at: 16_000,
    },
    Case {
        name: "the node alone was cut off",
        events: &[
            (10_000, Event::Answer),
            (11_000, Event::Report(Millis(2_000))),
            (12_000, Event::Report(Millis(2_000))),
            (13_500, Event::Report(Millis(2_000))),
            (14_000, Event::Answer),
        ],
        deleted_at: 14_100,
        effective_at: 14_100,
    },
    Case {
        name: "the node was cut off from the others, too, and hears of them later",
        events: &[
            (10_000, Event::Answer),
            (14_000, Event::Answer),
            (14_300, Event::Report(Millis(2_000))),
        ],
        deleted_at: 14_000,
        effective_at: 14_300,
    },
    Case {
        name: "another node noticed the end of the outage earlier",
        events: &[
            (10_000, Event::Answer),
            (14_000, Event::Answer),
            (14_300, Event::Report(Millis(13_200))),
        ],
        deleted_at: 14_000,
        effective_at: 15_000,
    },
    Case {
        name: "the store was restored after a moment",
        events: &[
            (10_000, Event::Answer),
            (11_000, Event::Restore),
            (11_000, Event::Answer),
            (11_500, Event::Report(Millis(2_000))),
        ],
        deleted_at: 11_000,
        effective_at: 12_800,
    },
];

#[test]
fn deletion_by_what_nodes_know_of_the_store() {
    for case in &CASES {
        let mut availability = Availability::new(Millis(1_000), MIN_OUTAGE);
        let mut deletions = Deletions::default();
        let mut effective_at = None;
        for now in (1_000..20_000).map(Millis) {
            if now.0 % 1_000 == 0 && now < Millis(10_000) {
                availability.record_answer(now);
            }
            for (_, event) in case.events.iter().filter(|(at, _)| *at == now.0) {
                match event {
                    Event::Answer => availability.record_answer(now),
                    Event::Restore => availability.record_restore(now),
                    Event::Report(since) => availability.record_report(
                        now,
                        Uptime {
                            first: now - *since,
                            last: Millis(20),
                        },
                    ),
                }
            }
            let up_since = availability.up_since();
            let next_due = deletions.next_due(up_since);
            let is_effective = (now.0 == case.deleted_at && deletions.record(now, up_since, KEY).is_none())
                || !deletions.take_due(now, up_since).is_empty();
            assert!(
                !is_effective || now.0 == case.deleted_at || next_due.is_some_and(|due| due <= now),
                "{}: effective at {now}, due {next_due:?}",
                case.name
            );
            if is_effective {
                effective_at.get_or_insert(now);
            }
        }
        assert_eq!(effective_at, Some(Millis(case.effective_at)), "{}", case.name);
    }
}

/// What a hub tells other zones: the span in which the store answered any node, since the last outage.
#[test]
fn uptimes_of_a_group_are_joined() {
    struct Group {
        name: &'static str,
        /// Ages of the first and the last answer to each node.
        reports: &'static [(u64, u64)],
        joined: Option<(u64, u64)>,
    }
    let groups = [
        Group {
            name: "no node was answered",
            reports: &[],
            joined: None,
        },
        Group {
            name: "one of three was served all along",
            reports: &[(400, 0), (60_000, 100), (300, 50)],
            joined: Some((60_000, 0)),
        },
        Group {
            name: "none was served for a while",
            reports: &[(60_000, 9_000), (300, 50), (60_000, 9_400)],
            joined: Some((300, 50)),
        },
        Group {
            name: "two were served one after the other",
            reports: &[(1_000, 0), (60_000, 4_000), (5_000, 900)],
            joined: Some((60_000, 0)),
        },
    ];
    let availability = Availability::new(Millis(1_000), MIN_OUTAGE);
    for group in &groups {
        let uptime = |(first, last): (u64, u64)| Uptime {
            first: Millis(first),
            last: Millis(last),
        };
        let reports = group.reports.iter().copied().map(uptime);
        let joined = availability.join_reports(Millis(100_000), reports);
        assert_eq!(joined, group.joined.map(uptime), "{}", group.name);
    }
}

#[test]
fn a_record_that_reappears_is_kept() {
    let up_since = Some(Millis(14_000));
    let mut deletions = Deletions::default();
    assert_eq!(
        deletions.record(Millis(14_100), up_since, KEY),
        Some(Millis(15_800))
    );
    deletions.cancel(KEY);
    assert!(deletions.take_due(Millis(30_000), up_since).is_empty());
}

/// Another outage must not keep the record of a writer that is gone.
#[test]
fn another_outage_does_not_defer_a_deletion_again() {
    let mut deletions = Deletions::default();
    deletions.record(Millis(14_100), Some(Millis(14_000)), KEY);
    assert_eq!(
        deletions.take_due(Millis(15_800), Some(Millis(15_500))),
        vec![KEY.to_owned()]
    );
}

/// A cluster of nodes and a store with random outages and cuts.
struct Cluster {
    /// Whether the store is up, at each step.
    up: Vec<bool>,
    /// Whether each node reaches the store, at each step.
    reached: Vec<Vec<bool>>,
    /// Whether each node hears the others, at each step.
    heard: Vec<Vec<bool>>,
}

const STEP: Millis = Millis(50);
const STEPS: usize = 800;
const NODES: usize = 4;
/// Interval of a node's calls to the store, in steps.
const CALL_STEPS: usize = 12;
/// Interval of a node's messages to the others, in steps.
const MESSAGE_STEPS: usize = 6;
/// Longest time until the live nodes know what a call or a message tells.
const DELAY: Millis = Millis(1_000);

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut generator = Seed(seed).generator();
        let mut spans = |count: usize, longest: usize| {
            let mut steps = vec![true; STEPS];
            for _ in 0..generator.random_range(0..=count) {
                let start = generator.random_range(100..STEPS);
                let end = (start + generator.random_range(1..longest)).min(STEPS);
                steps[start..end].fill(false);
            }
            steps
        };
        Self {
            up: spans(2, 160),
            reached: (0..NODES).map(|_| spans(2, 200)).collect(),
            heard: (0..NODES).map(|_| spans(1, 200)).collect(),
        }
    }

    /// Checks at each step, for each node that has just reached the store, when a deletion of that moment takes effect.
    fn check(&self) -> Result<(), String> {
        let start = Millis(100_000);
        let mut nodes = [Availability::new(start, MIN_OUTAGE); NODES];
        let mut restored_at: Option<Millis> = None;
        let mut down_since: Option<Millis> = None;
        for step in 0..STEPS {
            let now = start + Millis(STEP.0 * step as u64);
            match (self.up[step], down_since) {
                (false, None) => down_since = Some(now),
                (true, Some(since)) => {
                    // Registrations expire in an outage of two renewal intervals.
                    if now.since(since) > MIN_OUTAGE + DELAY {
                        restored_at = Some(now);
                    }
                    down_since = None;
                }
                _ => {}
            }
            for (node, availability) in nodes.iter_mut().enumerate() {
                if step % CALL_STEPS != node || !self.up[step] || !self.reached[node][step] {
                    continue;
                }
                availability.record_answer(now);
                self.check_deletion(now, availability, restored_at, node, step)?;
            }
            if step % MESSAGE_STEPS == 0 {
                let reports: Vec<Option<Uptime>> = nodes.iter().map(|it| it.report(now)).collect();
                for (from, report) in reports.iter().enumerate() {
                    for (to, node) in nodes.iter_mut().enumerate() {
                        if let Some(report) = report
                            && from != to
                            && self.heard[from][step]
                            && self.heard[to][step]
                        {
                            node.record_report(now, *report);
                        }
                    }
                }
            }
        }
        Ok(())
    }

    fn check_deletion(
        &self,
        now: Millis,
        availability: &Availability,
        restored_at: Option<Millis>,
        node: usize,
        step: usize,
    ) -> Result<(), String> {
        let is_deferred = Deletions::default()
            .record(now, availability.up_since(), KEY)
            .is_some();
        let since_outage = restored_at.map(|at| now.since(at));
        if !is_deferred && since_outage.is_some_and(|it| it < Millis(1_500)) {
            return Err(format!(
                "node {node}: a live replica is dropped at {now}, {since_outage:?} after an outage"
            ));
        }
        // Some node has reached the store all along, and the others have heard of it.
        let from = step.saturating_sub(80);
        let is_calm = |steps: &Vec<bool>| steps[from..=step].iter().all(|it| *it);
        let has_witness =
            (0..NODES).any(|it| it != node && is_calm(&self.reached[it]) && is_calm(&self.heard[it]));
        if is_deferred && is_calm(&self.up) && has_witness && is_calm(&self.heard[node]) {
            return Err(format!(
                "node {node}: a replica that withdrew is kept at {now}, with the store up"
            ));
        }
        Ok(())
    }
}

#[test]
fn live_replicas_are_kept_and_withdrawn_ones_dropped() {
    fn holds(seed: u64) -> TestResult {
        match Cluster::new(seed).check() {
            Ok(()) => TestResult::passed(),
            Err(cause) => TestResult::error(cause),
        }
    }
    property(400, 100, holds as fn(u64) -> TestResult);
}
