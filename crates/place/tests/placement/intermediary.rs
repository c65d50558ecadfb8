//! Choice of nodes through which requests are sent, in a large cluster where cut off nodes can't be told from the others.

use std::sync::Arc;

use base::seed::Generator;
use base::{Millis, Seed};
use place::intermediary::{Candidate, Intermediaries};
use place::{Attempts, DispatchError};
use rand::RngExt;

const ZONES: usize = 5;
const NODES: usize = 71;
/// Time between two requests at a node.
const REQUEST_INTERVAL: Millis = Millis(140);
/// Time for which a request is in flight.
const REQUEST_TIME: Millis = Millis(1_000);
/// Duration of the cut, and the part of it in which requests count.
const CUT: Millis = Millis(8_000);
const COUNTED_FROM: Millis = Millis(4_000);

/// What a node that is cut off tells those that ask it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decline {
    /// Which nodes of its zone reach the replicas.
    Named,
    /// Nothing, like earlier builds.
    Plain,
}

struct Case {
    name: &'static str,
    cut: usize,
    decline: Decline,
    /// Minimum share of the requests that get through.
    min_served: f64,
    /// Maximum number of nodes that decline a request, on average.
    max_declines: f64,
}

const CASES: [Case; 4] = [
    Case {
        name: "a third",
        cut: NODES / 3,
        decline: Decline::Named,
        min_served: 0.95,
        max_declines: 0.2,
    },
    Case {
        name: "two thirds",
        cut: NODES * 2 / 3,
        decline: Decline::Named,
        min_served: 0.95,
        max_declines: 0.2,
    },
    Case {
        name: "all but six",
        cut: NODES - 6,
        decline: Decline::Named,
        min_served: 0.95,
        max_declines: 1.0,
    },
    Case {
        name: "two thirds, earlier builds",
        cut: NODES * 2 / 3,
        decline: Decline::Plain,
        min_served: 0.95,
        max_declines: 2.0,
    },
];

/// A cluster in virtual time.
struct Cluster {
    endpoint: Arc<str>,
    generator: Generator,
    is_cut: Vec<bool>,
    states: Vec<Intermediaries>,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    declines: usize,
}

impl Cluster {
    fn new(seed: u64, cut: usize) -> Self {
        let mut generator = Seed(seed).generator();
        let mut is_cut: Vec<bool> = (0..NODES).map(|node| node < cut).collect();
        for index in (1..NODES).rev() {
            is_cut.swap(index, generator.random_range(0..=index));
        }
        Self {
            endpoint: Arc::from("pool"),
            states: (0..NODES as u64)
                .map(|node| Intermediaries::new(Seed(seed).derive(node).generator()))
                .collect(),
            generator,
            is_cut,
        }
    }

    /// The nodes that a node may ask: those of its zone that reach the replicas, and all of other zones where one does.
    fn candidates(&self, node: usize) -> Vec<Candidate> {
        let reaches = |zone: usize| (zone..NODES).step_by(ZONES).any(|it| !self.is_cut[it]);
        let others = (0..NODES).filter(|it| *it != node);
        let is_candidate = |it: &usize| {
            if it % ZONES == node % ZONES {
                !self.is_cut[*it]
            } else {
                reaches(it % ZONES)
            }
        };
        let candidate = |it: usize| Candidate {
            node: it as u64,
            capacity: if it / ZONES < 2 { 500 } else { 120 },
            is_near: it % ZONES == node % ZONES,
            is_heard: it % ZONES == node % ZONES,
        };
        others.filter(is_candidate).map(candidate).collect()
    }

    /// Sends a request of a cut off node; returns the node through which it goes, if any.
    fn send(&mut self, now: Millis, node: usize, decline: Decline, outcome: &mut Outcome) -> Option<u64> {
        let candidates = self.candidates(node);
        let mut attempts = Attempts {
            is_idempotent: false,
            dispatches: 0,
            unconnected: 0,
            declines: 0,
            possible_runs: 0,
            in_flight: 0,
            max_runs: 1,
            time_left: REQUEST_TIME,
        };
        loop {
            let chosen = self.states[node].choose(now, &self.endpoint, &candidates)?;
            if !self.is_cut[chosen as usize] {
                self.states[node].record_response(now, &self.endpoint, chosen);
                return Some(chosen);
            }
            let named = match decline {
                Decline::Named => {
                    let heard = self.candidates(chosen as usize);
                    let heard: Vec<Candidate> = heard.into_iter().filter(|it| it.is_heard).collect();
                    self.states[chosen as usize].draw_named(&heard)
                }
                Decline::Plain => Vec::new(),
            };
            self.states[node].record_decline(now, &self.endpoint, chosen, &named);
            attempts.declines += 1;
            outcome.declines += 1;
            if attempts
                .denial_after(DispatchError::Declined.assess(false))
                .is_some()
            {
                return None;
            }
        }
    }

    /// Sends the requests of all cut off nodes during the cut, and counts those of its later part.
    fn run(&mut self, decline: Decline) -> Outcome {
        let mut outcome = Outcome::default();
        let mut in_flight: Vec<(Millis, usize, u64)> = Vec::new();
        let cut: Vec<usize> = (0..NODES).filter(|node| self.is_cut[*node]).collect();
        let mut due: Vec<Millis> = cut
            .iter()
            .map(|_| Millis(self.generator.random_range(0..REQUEST_INTERVAL.0)))
            .collect();
        for now in (0..CUT.0).step_by(10).map(Millis) {
            let (ended, going): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|it| it.0 <= now);
            in_flight = going;
            for (_, node, through) in ended {
                self.states[node].end(now, through);
            }
            for (index, node) in cut.iter().copied().enumerate() {
                if due[index] > now {
                    continue;
                }
                due[index] = now + REQUEST_INTERVAL;
                let mut one = Outcome::default();
                let through = self.send(now, node, decline, &mut one);
                if let Some(through) = through {
                    self.states[node].begin(through);
                    in_flight.push((now + REQUEST_TIME, node, through));
                }
                if now >= COUNTED_FROM {
                    outcome.requests += 1;
                    outcome.served += usize::from(through.is_some());
                    outcome.declines += one.declines;
                }
            }
        }
        outcome
    }
}

#[test]
fn requests_are_refused_because_cut_off_nodes_ask_each_other() {
    for case in &CASES {
        for seed in 0..4 {
            let outcome = Cluster::new(seed, case.cut).run(case.decline);
            let served = outcome.served as f64 / outcome.requests as f64;
            let declines = outcome.declines as f64 / outcome.requests as f64;
            assert!(
                served >= case.min_served,
                "{}, seed {seed}: {outcome:?}",
                case.name
            );
            assert!(
                declines <= case.max_declines,
                "{}, seed {seed}: {outcome:?}",
                case.name
            );
        }
    }
}

/// A node that was cut off is asked again some time later, and at once if another node names it.
#[test]
fn node_is_left_out_for_good_after_declines() {
    let endpoint: Arc<str> = Arc::from("pool");
    let other: Arc<str> = Arc::from("ledger");
    let candidates = [Candidate {
        node: 1,
        capacity: 120,
        is_near: false,
        is_heard: false,
    }];
    let mut state = Intermediaries::new(Seed(1).generator());
    let mut now = Millis(1_000);
    for pause in [1_000, 2_000, 4_000, 4_000] {
        assert_eq!(state.choose(now, &endpoint, &candidates), Some(1));
        state.record_decline(now, &endpoint, 1, &[]);
        let last = now + Millis(pause - 1);
        assert_eq!(state.choose(last, &endpoint, &candidates), None, "{pause}");
        assert_eq!(
            state.choose(last, &other, &candidates),
            Some(1),
            "of another endpoint"
        );
        now = now + Millis(pause);
    }
    state.record_decline(now, &endpoint, 1, &[]);
    state.record_decline(now, &endpoint, 2, &[1]);
    assert_eq!(state.choose(now, &endpoint, &candidates), Some(1));
}
