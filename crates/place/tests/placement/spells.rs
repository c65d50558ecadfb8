//! Slow spells of all replicas: a node serves again soon after one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::{Millis, Seed};
use place::{Demand, DispatchKey, DispatchOutcome, Part, Pool, Refusal};
use quickcheck::TestResult;
use quota::Group;
use rand::RngExt;

use crate::support::{demand, engine_pool, plain_pool};

const REPLICAS: u16 = 16;
const DEADLINE: Millis = Millis(2_000);
const SOUND_MS: u64 = 15;
/// Time from the end of a spell until nine of ten requests must be served again.
const RECOVERY: u64 = 3_000;
const WATCH: u64 = 10_000;

/// The end of a request: when, when it was sent, by which node, its dispatch, and whether it is answered in time.
type End = (u64, u64, usize, DispatchKey, bool);

/// Requests and replicas of a case, in virtual time.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    nodes: usize,
    has_caches: bool,
    /// Requests per second of all nodes.
    per_s: u64,
    /// Time of an answer that begins from a time on, in ascending order.
    answers: Vec<(u64, u64)>,
    /// When the nodes start.
    start: u64,
    end: u64,
}

/// What became of the requests of a second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: usize,
    served: usize,
}

impl Case {
    /// Plays the case. Returns what became of the requests, by second.
    fn play(&self, seed: Seed) -> Vec<Second> {
        let mut pools: Vec<Pool> = (0..self.nodes)
            .map(|node| {
                let seed = Seed(seed.0 + node as u64);
                let mut pool = if self.has_caches {
                    engine_pool(seed, REPLICAS)
                } else {
                    plain_pool(seed, REPLICAS)
                };
                pool.set_group(Group {
                    nodes: self.nodes,
                    ..Group::default()
                });
                pool
            })
            .collect();
        let mut generator = seed.generator();
        let mut seconds = vec![Second::default(); (self.end / 1_000 + 1) as usize];
        let mut ends: BinaryHeap<Reverse<End>> = BinaryHeap::new();
        let mut number = 0;
        for tick in self.start..self.end {
            while let Some(Reverse((at, sent, node, key, is_answered))) = ends.peek().copied()
                && at <= tick
            {
                ends.pop();
                let now = Millis(at);
                if is_answered {
                    pools[node].begin_answer(now, key);
                    pools[node].end(now, key, DispatchOutcome::Answered);
                    seconds[(sent / 1_000) as usize].served += 1;
                } else {
                    pools[node].end(now, key, DispatchOutcome::Cancelled);
                }
            }
            let due = (tick - self.start) * self.per_s / 1_000;
            while number < due {
                number += 1;
                let node = generator.random_range(0..self.nodes);
                let parts = [Part {
                    id: number,
                    tokens: 50,
                }];
                let demand = Demand {
                    time_left: DEADLINE,
                    ..demand(&parts)
                };
                seconds[(tick / 1_000) as usize].requests += 1;
                let Ok(choice) = pools[node].choose(Millis(tick), &demand) else {
                    continue;
                };
                let key = pools[node].send(Millis(tick), &choice, &demand);
                let begun = self.answers.iter().rfind(|(from, _)| *from <= tick);
                let took = begun.map_or(SOUND_MS, |(_, took)| *took);
                let is_answered = took < DEADLINE.0;
                let end = tick + took.min(DEADLINE.0);
                ends.push(Reverse((end, tick, node, key, is_answered)));
            }
        }
        seconds
    }

    /// Share of the requests of a time that were served.
    fn served(seconds: &[Second], from: u64, to: u64) -> f64 {
        let some = &seconds[from as usize / 1_000..to as usize / 1_000];
        let requests: usize = some.iter().map(|it| it.requests).sum();
        let served: usize = some.iter().map(|it| it.served).sum();
        served as f64 / requests.max(1) as f64
    }
}

/// A spell from `from` on, of `length`, in which an answer takes `took`.
fn spell(name: &'static str, from: u64, length: u64, took: u64) -> Case {
    let sound_from = from + length;
    Case {
        name,
        nodes: 1,
        has_caches: false,
        per_s: 300,
        answers: vec![(0, SOUND_MS), (from, took), (sound_from, SOUND_MS)],
        start: 0,
        end: sound_from + WATCH + 2 * DEADLINE.0,
    }
}

/// Guards against a node that refuses an endpoint for ever after a slow spell, as nothing is sent any more from which it could learn.
#[test]
fn endpoint_is_refused_for_ever_after_a_slow_spell() {
    let table = vec![
        spell("from the start, 6 s", 0, 6_000, 1_500),
        spell("22 s", 4_000, 22_000, 1_500),
        spell("12 s, slower", 4_000, 12_000, 1_800),
        spell("6 s", 4_000, 6_000, 1_500),
        spell("no answer in time", 4_000, 12_000, 5_000),
        spell("two minutes", 4_000, 120_000, 1_900),
    ];
    let mut cases = Vec::new();
    for case in table {
        for (nodes, per_s) in [(1, 1), (1, 300), (1, 500), (3, 500), (70, 500), (70, 70)] {
            for has_caches in [false, true] {
                for starts_within in [false, true] {
                    let sound_from = case.answers[2].0;
                    let start = if starts_within { sound_from - 2_000 } else { 0 };
                    cases.push(Case {
                        nodes,
                        has_caches,
                        per_s,
                        start,
                        ..case.clone()
                    });
                }
            }
        }
    }
    let mut wrong = Vec::new();
    for case in &cases {
        let seconds = case.play(Seed(7));
        let sound_from = case.answers[2].0;
        let served = Case::served(&seconds, sound_from + RECOVERY, sound_from + WATCH);
        if served < 0.9 {
            wrong.push(format!(
                "{}, {} nodes, {}/s, caches {}, start {}: {served:.2}",
                case.name, case.nodes, case.per_s, case.has_caches, case.start
            ));
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:#?}", wrong.len(), cases.len());
}

/// Guards against refusals of what could be answered in time: answers take most of the time that requests have, all the time.
#[test]
fn answers_that_arrive_in_time_are_refused_for_ever() {
    for took in [1_000, 1_200, 1_300, 1_500, 1_700] {
        let case = Case {
            answers: vec![(0, took)],
            per_s: 16,
            ..spell("all the time", 0, 40_000, took)
        };
        let seconds = case.play(Seed(7));
        let served = Case::served(&seconds, 10_000, 40_000);
        assert!(served >= 0.9, "{took}: {served:.2}");
    }
}

/// Guards against a flood of tests in a spell in which no answer comes in time: all nodes together send about as many a second as
/// the replicas have slots.
#[test]
fn all_nodes_test_a_replica_at_once() {
    for nodes in [1, 3, 70, 300] {
        let slots = 6;
        let mut pools: Vec<Pool> = (0..nodes)
            .map(|node| {
                let mut pool = plain_pool(Seed(node), 1);
                pool.set_group(Group {
                    nodes: nodes as usize,
                    ..Group::default()
                });
                pool
            })
            .collect();
        let request = Demand {
            time_left: DEADLINE,
            ..demand(&[])
        };
        let mut sent = Vec::new();
        let mut ends: Vec<(u64, usize, DispatchKey)> = Vec::new();
        for tick in 0..60_000 {
            ends.retain(|(at, node, key)| {
                if *at <= tick {
                    pools[*node].end(Millis(tick), *key, DispatchOutcome::Cancelled);
                }
                *at > tick
            });
            for (node, pool) in pools.iter_mut().enumerate() {
                if tick == 0 {
                    // Each node has learned that answers take too long.
                    let choice = pool.choose(Millis(0), &request).expect("a replica");
                    let key = pool.send(Millis(0), &choice, &request);
                    pool.begin_answer(Millis(1_900), key);
                    pool.end(Millis(1_900), key, DispatchOutcome::Answered);
                }
                if tick < 2_000 || tick % 10 != 0 {
                    continue;
                }
                match pool.choose(Millis(tick), &request) {
                    Ok(choice) => {
                        let key = pool.send(Millis(tick), &choice, &request);
                        ends.push((tick + DEADLINE.0, node, key));
                        sent.push(tick);
                    }
                    Err(refusal) => assert!(matches!(refusal, Refusal::TooLate(_)), "{refusal:?}"),
                }
            }
        }
        let late = sent.iter().filter(|at| **at >= 20_000).count();
        let per_s = late as f64 / 40.0;
        let bound = f64::from(slots).max(2.0);
        assert!(per_s <= bound, "{nodes} nodes: {per_s} tests a second");
    }
}

/// After any history of answers, requests are served again once all replicas are sound.
#[test]
fn sound_replicas_are_served_after_any_history() {
    check::property(40, 12, recovers as fn(Vec<(u16, u16)>, u8, bool) -> TestResult);
}

fn recovers(history: Vec<(u16, u16)>, nodes: u8, has_caches: bool) -> TestResult {
    let nodes = usize::from(nodes % 20) + 1;
    let mut at = 0;
    let mut answers = Vec::new();
    for (length, took) in history {
        answers.push((at, u64::from(took % 4_000) + 1));
        at += u64::from(length % 5_000) + 1;
    }
    answers.push((at, SOUND_MS));
    let case = Case {
        name: "any",
        nodes,
        has_caches,
        per_s: 200,
        answers,
        start: 0,
        end: at + WATCH + 2 * DEADLINE.0,
    };
    let seconds = case.play(Seed(11));
    let from = at.next_multiple_of(1_000);
    let served = Case::served(&seconds, from + RECOVERY, from + WATCH - 1_000);
    if served >= 0.9 {
        TestResult::passed()
    } else {
        TestResult::error(format!("{served:.2} served, sound from {at}"))
    }
}
