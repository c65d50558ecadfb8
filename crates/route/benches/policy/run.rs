//! One simulation run: nodes, engines and arrivals in virtual time.

use std::collections::VecDeque;

use base::seed::Generator;
use base::{Millis, Seed};
use rand::RngExt;
use route::event::{Event, Finish};
use route::failure::{Failure, Kind};
use route::replica::Report;
use route::{Action, Arrival, CallKey, DispatchId, Prefix};

use crate::engine::{Engine, Progress};
use crate::node::{Node, ZONES};
use crate::policy::Policy;
use crate::scenario::Scenario;

/// Time step of the simulation.
const TICK: Millis = Millis(5);
/// Interval of load reports from engines.
const REPORT_INTERVAL: Millis = Millis(500);
/// Delay of load reports and cache events.
const REPORT_LAG: Millis = Millis(500);
/// One in this many cache events is lost.
const EVENT_LOSS: u32 = 10;
pub const TARGET: Millis = Millis(1_000);
const DEADLINE: Millis = Millis(4_000);
const NODES: usize = 4;
/// Number of lease files, the shared prefixes, in use at the same time.
const FILES: usize = 200;
/// Mean number of requests until a file is replaced.
const REQUESTS_PER_FILE: u32 = 15;
const TOKENS: f64 = 80.0;
/// Attempts after which a baseline refuses a request.
const BASELINE_ATTEMPTS: u32 = 10;

/// Record of one request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub arrived_at: Millis,
    pub workspace: usize,
    pub first_token_at: Option<Millis>,
    pub done: bool,
    pub refused: bool,
    pub attempts: u32,
    node: usize,
    prefix: Prefix,
}

/// A dispatch to an engine.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    call: usize,
    node: usize,
    engine: usize,
    dispatch: Option<DispatchId>,
    ended: bool,
}

/// A message that reaches the nodes with a delay.
#[derive(Clone, Copy, Debug)]
enum Message {
    Report { engine: usize, report: Report },
    Cached { engine: usize, prefix: Prefix },
    Evicted { engine: usize, prefix: Prefix },
}

struct Delayed {
    at: Millis,
    message: Message,
}

pub struct Run {
    scenario: Scenario,
    policy: Policy,
    generator: Generator,
    now: Millis,
    nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub records: Vec<Record>,
    attempts: Vec<Attempt>,
    delayed: VecDeque<Delayed>,
    files: Vec<Prefix>,
    next_file: u64,
}

impl Run {
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut run = Self {
            scenario,
            policy,
            generator: Seed(seed).generator(),
            now: Millis(0),
            nodes: (0..NODES)
                .map(|index| Node::new(index, policy, scenario, seed))
                .collect(),
            engines: Vec::new(),
            records: Vec::new(),
            attempts: Vec::new(),
            delayed: VecDeque::new(),
            files: (0..FILES as u64).map(Prefix).collect(),
            next_file: FILES as u64,
        };
        for index in 0..scenario.engines {
            run.add_engine(index);
        }
        for engine in run.engines.iter_mut().take(scenario.slow_engines) {
            engine.slowdown = 3.0;
        }
        run
    }

    pub fn run(mut self) -> Self {
        while self.now < self.scenario.length {
            self.now = self.now + TICK;
            self.reclaim();
            self.deliver_messages();
            self.generate_arrivals();
            self.advance_engines();
            self.send_reports();
            for node in 0..NODES {
                self.step(node, Event::Tick);
            }
        }
        self
    }

    fn add_engine(&mut self, index: usize) {
        self.engines.push(Engine::new());
        for node in 0..NODES {
            let actions = self.nodes[node].add(self.now, index);
            self.execute(node, actions);
        }
    }

    fn reclaim(&mut self) {
        let Some(reclaim) = self.scenario.reclaim else {
            return;
        };
        if self.now == reclaim.gone_at {
            for engine in (0..self.scenario.engines).filter(|engine| engine % ZONES == 0) {
                let lost = self.engines[engine].kill();
                for id in lost {
                    self.fail(id as usize, Kind::Reset);
                }
            }
        }
        if self.now == reclaim.back_at {
            for index in (0..self.scenario.engines).filter(|engine| engine % ZONES == 0) {
                self.add_engine(index);
            }
        }
    }

    fn generate_arrivals(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            let rate = self.scenario.streams[stream].rate(self.now);
            let mut expected = rate * TICK.0 as f64 / 1_000.0;
            while expected > 0.0 {
                if self.generator.random_range(0.0..1.0) < expected.min(1.0) {
                    self.arrive(stream);
                }
                expected -= 1.0;
            }
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let is_hot = self.generator.random_range(0..100) < self.scenario.hot_percent;
        let file = if is_hot {
            0
        } else {
            self.generator.random_range(1..self.files.len())
        };
        let prefix = self.files[file];
        if !is_hot && self.generator.random_range(0..REQUESTS_PER_FILE) == 0 {
            self.files[file] = Prefix(self.next_file);
            self.next_file += 1;
        }
        let node = self.generator.random_range(0..NODES);
        let call = self.records.len();
        self.records.push(Record {
            arrived_at: self.now,
            workspace,
            first_token_at: None,
            done: false,
            refused: false,
            attempts: 0,
            node,
            prefix,
        });
        if self.policy.is_baseline() {
            return self.send_baseline(call);
        }
        let target = &self.nodes[node];
        let arrival = Arrival::new(
            CallKey(call as u64),
            target.endpoint,
            target.workspaces[workspace],
            self.now + DEADLINE,
        );
        self.step(
            node,
            Event::Arrive(arrival.with_idempotent(true).with_prefix(prefix)),
        );
    }

    /// Sends a request by a baseline policy, without queueing and without backoff after a failure.
    fn send_baseline(&mut self, call: usize) {
        let record = self.records[call];
        // Baselines learn of lost engines at once, which favours them.
        let live: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].live)
            .collect();
        let node = &mut self.nodes[record.node];
        node.baseline.in_flight.resize(self.engines.len(), 0);
        let Some(engine) = node.baseline.choose(self.policy, &live, &mut self.generator) else {
            self.records[call].refused = true;
            return;
        };
        if record.attempts >= BASELINE_ATTEMPTS {
            self.records[call].refused = true;
            return;
        }
        node.baseline.in_flight[engine] += 1;
        self.send(call, engine, None);
    }

    fn send(&mut self, call: usize, engine: usize, dispatch: Option<DispatchId>) {
        let record = &mut self.records[call];
        record.attempts += 1;
        let id = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            node: record.node,
            engine,
            dispatch,
            ended: false,
        });
        let prefix = record.prefix;
        if self.engines[engine].live {
            self.engines[engine].submit(id as u64, prefix, TOKENS);
        } else {
            self.fail(id, Kind::Refused);
        }
    }

    fn fail(&mut self, id: usize, kind: Kind) {
        let Some(attempt) = self.end(id) else { return };
        match attempt.dispatch {
            None => self.send_baseline(attempt.call),
            Some(dispatch) => {
                let finish = Finish::Failed(Failure::new(kind, kind != Kind::Refused));
                self.step(attempt.node, Event::Finished { dispatch, finish });
            }
        }
    }

    /// Marks an attempt as ended; `None` if it had already ended.
    fn end(&mut self, id: usize) -> Option<Attempt> {
        let attempt = &mut self.attempts[id];
        if attempt.ended {
            return None;
        }
        attempt.ended = true;
        let attempt = *attempt;
        if attempt.dispatch.is_none() {
            self.nodes[attempt.node].baseline.in_flight[attempt.engine] -= 1;
        }
        Some(attempt)
    }

    fn step(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].router.step(self.now, event, &mut actions);
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let replicas = &self.nodes[node].replicas;
                    let engine = replicas.iter().position(|key| *key == dispatch.replica);
                    self.send(
                        dispatch.call.0 as usize,
                        engine.unwrap_or_default(),
                        Some(dispatch.id),
                    );
                }
                Action::Cancel { dispatch } => self.cancel(node, dispatch),
                Action::Complete { call, .. } => self.records[call.0 as usize].done = true,
                Action::Refuse { call, .. } => self.records[call.0 as usize].refused = true,
            }
        }
    }

    fn cancel(&mut self, node: usize, dispatch: DispatchId) {
        let matches = |attempt: &Attempt| attempt.node == node && attempt.dispatch == Some(dispatch);
        let Some(id) = self.attempts.iter().rposition(matches) else {
            return;
        };
        self.engines[self.attempts[id].engine].cancel(id as u64);
        self.fail(id, Kind::Cancelled);
    }

    fn advance_engines(&mut self) {
        let mut progress = Vec::new();
        for engine in 0..self.engines.len() {
            if !self.engines[engine].live {
                continue;
            }
            progress.clear();
            self.engines[engine].advance(TICK.0 as f64, &mut progress);
            for step in progress.clone() {
                self.progress(engine, step);
            }
        }
    }

    fn progress(&mut self, engine: usize, progress: Progress) {
        match progress {
            Progress::FirstToken(id) => {
                let attempt = self.attempts[id as usize];
                self.records[attempt.call].first_token_at.get_or_insert(self.now);
                if let Some(dispatch) = attempt.dispatch {
                    self.step(attempt.node, Event::FirstToken { dispatch });
                }
            }
            Progress::Done(id) => {
                let Some(attempt) = self.end(id as usize) else {
                    return;
                };
                self.records[attempt.call].done = true;
                if let Some(dispatch) = attempt.dispatch {
                    let finish = Finish::Complete;
                    self.step(attempt.node, Event::Finished { dispatch, finish });
                }
            }
            Progress::Cached(prefix) => self.delay(Message::Cached { engine, prefix }),
            Progress::Evicted(prefix) => self.delay(Message::Evicted { engine, prefix }),
        }
    }

    fn delay(&mut self, message: Message) {
        let is_lost = self.generator.random_range(0..EVENT_LOSS) == 0;
        if !is_lost {
            self.delayed.push_back(Delayed {
                at: self.now + REPORT_LAG,
                message,
            });
        }
    }

    fn send_reports(&mut self) {
        if !self.now.0.is_multiple_of(REPORT_INTERVAL.0) {
            return;
        }
        for engine in 0..self.engines.len() {
            let source = &self.engines[engine];
            let report = Report {
                running: source.running() as u32,
                queued: source.queued() as u32,
                age: REPORT_LAG,
            };
            if source.live {
                self.delayed.push_back(Delayed {
                    at: self.now + REPORT_LAG,
                    message: Message::Report { engine, report },
                });
            }
        }
    }

    fn deliver_messages(&mut self) {
        while self.delayed.front().is_some_and(|delayed| delayed.at <= self.now) {
            let Some(delayed) = self.delayed.pop_front() else {
                return;
            };
            for node in 0..NODES {
                let replica = |engine: usize| self.nodes[node].replicas[engine];
                let event = match delayed.message {
                    Message::Report { engine, report } => Event::Report {
                        replica: replica(engine),
                        report,
                    },
                    Message::Cached { engine, prefix } => Event::PrefixCached {
                        replica: replica(engine),
                        prefix,
                    },
                    Message::Evicted { engine, prefix } => Event::PrefixEvicted {
                        replica: replica(engine),
                        prefix,
                    },
                };
                self.step(node, event);
            }
        }
    }
}
