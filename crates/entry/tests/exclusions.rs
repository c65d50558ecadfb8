//! Versions that get no requests while others are ordered.

use std::collections::HashSet;
use std::sync::Arc;

use base::Millis;
use entry::edge::RolloutOrder;
use entry::view::Stage::{self, Done, Moved, Undone};
use entry::view::{Rollout, Rollouts};
use quickcheck::{Arbitrary, Gen};
use rollout::Exclusions;

const ENDPOINT: &str = "ledger";
const VERSIONS: [&str; 5] = ["v1", "v2", "v3", "v4", "v5"];
/// A draw within the canary share, and one outside.
const DRAWS: [f64; 2] = [0.01, 0.5];
const SHARE: f64 = 0.08;

use Event::{Enter, Order, Veto};

/// What a node learns.
#[derive(Clone, Debug)]
enum Event {
    /// The operator orders a version.
    Order(&'static str),
    /// The leader records the start of the rollout that was ordered last.
    Start {
        /// Version that has the traffic.
        from: &'static str,
        /// Versions that the leader excludes; those of the node if it is one of this build.
        excluded: Option<Vec<&'static str>>,
    },
    /// The leader records another stage.
    Enter(Stage),
    /// The node finds the version that is rolled out to be bad.
    Veto,
}

/// A node's view of an endpoint's rollouts.
#[derive(Debug, Default)]
struct Node {
    rollouts: Rollouts,
    revision: u64,
}

impl Node {
    fn record(&self) -> Option<&Rollout> {
        self.rollouts.records.get(ENDPOINT)
    }

    fn learn(&mut self, event: &Event) {
        let endpoint: Arc<str> = Arc::from(ENDPOINT);
        self.revision += 1;
        match event {
            Event::Order(target) => {
                let order = RolloutOrder {
                    endpoint: Arc::clone(&endpoint),
                    target: Arc::from(*target),
                    within: Millis(12_000),
                };
                self.rollouts.orders.insert(endpoint, (order, self.revision));
            }
            Event::Start { from, excluded } => {
                let Some((order, revision)) = self.rollouts.orders.get(ENDPOINT).cloned() else {
                    return;
                };
                if self.record().is_some_and(|it| it.order >= revision) {
                    return;
                }
                let mut excluded = match excluded {
                    None => self.rollouts.excluded_by_order(ENDPOINT, &order.target),
                    Some(versions) => exclusions(versions),
                };
                excluded.remove(from);
                let record = Rollout {
                    from: Arc::from(*from),
                    target: order.target,
                    order: revision,
                    since_ms: 0,
                    stage_since_ms: 0,
                    stage: Stage::Canary,
                    share: SHARE,
                    answered_at_move: 0,
                    excluded,
                    reason: String::new(),
                    other: serde_json::Map::new(),
                };
                self.rollouts.put_record(endpoint, record);
            }
            Event::Enter(stage) => {
                let Some(record) = self.record().cloned() else {
                    return;
                };
                let later = Rollout {
                    stage: *stage,
                    ..record.clone()
                };
                if later.is_later_than(&record) {
                    self.rollouts.put_record(endpoint, later);
                }
            }
            Event::Veto => {
                let order = self.record().map(|record| record.order);
                if let Some(order) = order {
                    self.rollouts.vetoed.insert(endpoint, order);
                }
            }
        }
    }

    /// The versions that a request may go to, by draw.
    fn allowed(&self) -> [Vec<&'static str>; 2] {
        DRAWS.map(|draw| {
            let versions = self.rollouts.versions(ENDPOINT, draw);
            let filter = versions.filter();
            VERSIONS
                .into_iter()
                .filter(|version| filter.matches(version))
                .collect()
        })
    }
}

fn exclusions(versions: &[&str]) -> Exclusions {
    let mut exclusions = Exclusions::new();
    for version in versions {
        exclusions.insert(&Arc::from(*version));
    }
    exclusions
}

fn start(from: &'static str) -> Event {
    Event::Start { from, excluded: None }
}

/// A leader of an earlier build, which records no exclusions.
fn start_of_earlier_build(from: &'static str) -> Event {
    Event::Start {
        from,
        excluded: Some(Vec::new()),
    }
}

/// Versions that requests may go to after a history, of those that have replicas.
struct Case {
    name: &'static str,
    events: Vec<Event>,
    replicas: &'static [&'static str],
    canary: &'static [&'static str],
    others: &'static [&'static str],
}

fn cases_after_a_rollback() -> Vec<Case> {
    vec![
        Case {
            name: "successor of a version that was rolled back, not recorded yet",
            events: vec![Order("v2"), start("v1"), Enter(Undone), Order("v3")],
            replicas: &["v1", "v2", "v3"],
            canary: &["v1"],
            others: &["v1"],
        },
        Case {
            name: "successor of a version that was rolled back",
            events: vec![Order("v2"), start("v1"), Enter(Undone), Order("v3"), start("v1")],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v1"],
        },
        Case {
            name: "the leader is of an earlier build",
            events: vec![
                Order("v2"),
                start_of_earlier_build("v1"),
                Enter(Undone),
                Order("v3"),
                start_of_earlier_build("v2"),
            ],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v1"],
        },
        Case {
            name: "the node has seen the second record only",
            events: vec![
                Order("v3"),
                Event::Start {
                    from: "v1",
                    excluded: Some(vec!["v2"]),
                },
            ],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v1"],
        },
        Case {
            name: "third version after two that were rolled back",
            events: vec![
                Order("v2"),
                start("v1"),
                Enter(Undone),
                Order("v3"),
                start("v1"),
                Enter(Undone),
                Order("v4"),
                start("v1"),
            ],
            replicas: &["v1", "v2", "v3", "v4"],
            canary: &["v4"],
            others: &["v1"],
        },
        Case {
            name: "successor is done",
            events: vec![
                Order("v2"),
                start("v1"),
                Enter(Undone),
                Order("v3"),
                start("v1"),
                Enter(Moved),
                Enter(Done),
            ],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v3"],
        },
        Case {
            name: "order for the version before, after a rollback",
            events: vec![Order("v2"), start("v1"), Enter(Undone), Order("v1")],
            replicas: &["v1", "v2"],
            canary: &["v1"],
            others: &["v1"],
        },
    ]
}

fn cases_of_other_orders() -> Vec<Case> {
    vec![
        Case {
            name: "order for the version before, while its successor is a canary",
            events: vec![Order("v2"), start("v1"), Order("v1")],
            replicas: &["v1", "v2"],
            canary: &["v1"],
            others: &["v1"],
        },
        Case {
            name: "order for the version before, once its successor is done",
            events: vec![
                Order("v2"),
                start("v1"),
                Enter(Moved),
                Enter(Done),
                Order("v1"),
                start("v2"),
            ],
            replicas: &["v1", "v2"],
            canary: &["v1"],
            others: &["v2"],
        },
        Case {
            name: "another order while the first version is a canary",
            events: vec![Order("v2"), start("v1"), Order("v3"), start("v1")],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v1"],
        },
        Case {
            name: "another order while all traffic goes to the first version",
            events: vec![Order("v2"), start("v1"), Enter(Moved), Order("v3")],
            replicas: &["v1", "v2", "v3"],
            canary: &["v1"],
            others: &["v1"],
        },
        Case {
            name: "the same, and the version before is gone",
            events: vec![Order("v2"), start("v1"), Enter(Moved), Order("v3"), start("v2")],
            replicas: &["v2", "v3"],
            canary: &["v3"],
            others: &["v2"],
        },
        Case {
            name: "another order after a veto",
            events: vec![
                Order("v2"),
                start("v1"),
                Enter(Moved),
                Veto,
                Order("v3"),
                start("v1"),
            ],
            replicas: &["v1", "v2", "v3"],
            canary: &["v3"],
            others: &["v1"],
        },
        Case {
            name: "a version that was rolled back is ordered again",
            events: vec![Order("v2"), start("v1"), Enter(Undone), Order("v2"), start("v1")],
            replicas: &["v1", "v2"],
            canary: &["v2"],
            others: &["v1"],
        },
        Case {
            name: "a version that was rolled back before another one is ordered again",
            events: vec![
                Order("v2"),
                start("v1"),
                Enter(Undone),
                Order("v3"),
                start("v1"),
                Enter(Undone),
                Order("v2"),
                start("v1"),
            ],
            replicas: &["v1", "v2", "v3"],
            canary: &["v2"],
            others: &["v1"],
        },
        Case {
            name: "the version that runs is ordered again",
            events: vec![Order("v2"), start("v1"), Enter(Moved), Enter(Done), Order("v2")],
            replicas: &["v2"],
            canary: &["v2"],
            others: &["v2"],
        },
    ]
}

/// Guards against traffic to a version that was rolled back, replaced or given up, once another one is ordered.
#[test]
fn order_gives_traffic_to_a_version_of_an_earlier_one() {
    for case in cases_after_a_rollback().iter().chain(&cases_of_other_orders()) {
        let mut node = Node::default();
        for event in &case.events {
            node.learn(event);
        }
        let allowed = node.allowed().map(|versions| {
            let with_replicas = versions.into_iter().filter(|it| case.replicas.contains(it));
            with_replicas.collect::<Vec<_>>()
        });
        assert_eq!(
            allowed,
            [case.canary.to_vec(), case.others.to_vec()],
            "{}",
            case.name
        );
    }
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = |g: &mut Gen| *g.choose(&VERSIONS[1..]).expect("a version");
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Order(version(g)),
            2 => start("v1"),
            3 => start_of_earlier_build(version(g)),
            4 => Self::Veto,
            5 => Self::Enter(Stage::Moved),
            6 => Self::Enter(Stage::Done),
            _ => Self::Enter(Stage::Undone),
        }
    }
}

/// After any history, a version that was rolled back gets no request before it is ordered again, and only a canary's share
/// before its rollout has moved.
#[test]
fn rolled_back_version_stays_without_requests() {
    check::property(
        3_000,
        24,
        stays_without_requests as fn(Vec<Event>) -> Result<(), String>,
    );
}

fn stays_without_requests(events: Vec<Event>) -> Result<(), String> {
    let mut node = Node::default();
    let mut rolled_back: HashSet<String> = HashSet::new();
    for event in events {
        node.learn(&event);
        if let Event::Order(target) = event {
            rolled_back.remove(target);
        }
        if let Some(record) = node.record().filter(|it| it.stage == Stage::Undone) {
            let is_ordered_again = node
                .rollouts
                .orders
                .get(ENDPOINT)
                .is_some_and(|(order, revision)| order.target == record.target && *revision > record.order);
            if !is_ordered_again {
                rolled_back.insert(record.target.to_string());
            }
        }
        for versions in node.allowed() {
            if let Some(version) = versions.iter().find(|it| rolled_back.contains(**it)) {
                return Err(format!("{version} after {event:?}"));
            }
        }
    }
    Ok(())
}
