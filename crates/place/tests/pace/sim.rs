//! Replicas with prompt caches and a queue of prompts, and nodes that share them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use base::seed::Generator;
use base::{Millis, Seed};
use place::{
    Demand, DispatchKey, DispatchOutcome, Load, Part, PeerReport, Pool, ReplicaKey, Settings, Spec, State,
    VersionFilter,
};
use rand::RngExt;

/// Interval between reports of load and of speed.
const LOAD_INTERVAL: u64 = 200;
const PACE_INTERVAL: u64 = 2_000;

/// A replica.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Time that work takes, as a multiple of the usual time.
    pub pace: f64,
    /// When it started; reports name the replica by this and its id.
    pub started: u64,
    /// Time that work takes at this moment, as a multiple of `pace`.
    pub moment: f64,
    /// Whether it is registered.
    pub is_alive: bool,
    busy_until: u64,
    in_flight: u32,
    cached: BTreeMap<u64, u64>,
}

/// What replicas report of the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// Nothing, as replicas of other deployments.
    Missing,
    /// The truth.
    True,
    /// Always this, in hundredths.
    Always(u32),
}

/// The load and the replicas.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub nodes: u64,
    pub replicas: u64,
    pub per_s: f64,
    pub prefixes: u64,
    pub figure: Figure,
    /// Whether 15 in 100 replicas take 2.5 times as long, others every 0.6 s.
    pub has_moments: bool,
    /// Whether nodes tell each other what they measure.
    pub is_shared: bool,
    pub fixed_ms: u64,
    /// How much longer work takes at one replica in four while more than half of its slots are in use.
    pub knee: Option<f64>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            nodes: 12,
            replicas: 40,
            per_s: 100.0,
            prefixes: 60,
            figure: Figure::True,
            has_moments: true,
            is_shared: true,
            fixed_ms: 90,
            knee: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    First(usize, DispatchKey, ReplicaKey, usize),
    End(usize, DispatchKey, usize),
    Moments,
    Loads,
    Paces,
}

/// One request that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub at: u64,
    pub latency: u64,
    pub replica: usize,
    pub was_cached: bool,
    /// Whether the node took the shared parts for cached.
    pub is_expected_cached: bool,
    /// Shared tokens that were read although another living replica had them cached.
    pub reread: u32,
}

pub struct Sim {
    pub setup: Setup,
    pub engines: Vec<Engine>,
    pub pools: Vec<Pool>,
    pub now: u64,
    pub answers: Vec<Answer>,
    pub refused: usize,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    generator: Generator,
    own_id: u64,
}

impl Sim {
    pub fn new(setup: Setup, seed: u64, pace: fn(u64) -> f64) -> Self {
        let settings = Settings {
            cache_tokens: 595_660,
            ..Settings::default()
        };
        let pools = (0..setup.nodes).map(|node| Pool::new(Seed(seed * 1_000 + node), settings));
        let engine = |number| Engine {
            pace: pace(number),
            started: 1,
            moment: 1.0,
            is_alive: true,
            busy_until: 0,
            in_flight: 0,
            cached: BTreeMap::new(),
        };
        let mut sim = Self {
            setup,
            engines: (0..setup.replicas).map(engine).collect(),
            pools: pools.collect(),
            now: 0,
            answers: Vec::new(),
            refused: 0,
            events: BinaryHeap::new(),
            number: 0,
            generator: Seed(seed).generator(),
            own_id: 1 << 32,
        };
        for replica in 0..sim.engines.len() {
            sim.register(replica);
        }
        for event in [Event::Arrive, Event::Moments, Event::Loads, Event::Paces] {
            sim.push(1, event);
        }
        sim
    }

    /// Registers a replica at all nodes.
    pub fn register(&mut self, replica: usize) {
        let started = self.engines[replica].started;
        let now = Millis(self.now);
        for pool in &mut self.pools {
            pool.register(now, spec(replica, started));
        }
    }

    /// Starts a replica again under its id and address, with this pace and an empty cache.
    pub fn restart(&mut self, replica: usize, pace: f64) {
        let engine = &mut self.engines[replica];
        engine.started += 1;
        engine.pace = pace;
        engine.cached.clear();
        self.register(replica);
    }

    /// Adds replicas of this pace.
    pub fn add_replicas(&mut self, count: usize, pace: f64) {
        for _added in 0..count {
            self.engines.push(Engine {
                pace,
                started: self.now,
                moment: 1.0,
                is_alive: true,
                busy_until: 0,
                in_flight: 0,
                cached: BTreeMap::new(),
            });
            self.register(self.engines.len() - 1);
        }
    }

    /// Adds a node that knows nothing.
    pub fn add_node(&mut self) {
        let settings = Settings {
            cache_tokens: 595_660,
            ..Settings::default()
        };
        let mut pool = Pool::new(Seed(77_777), settings);
        for (replica, engine) in self.engines.iter().enumerate() {
            pool.register(Millis(self.now), spec(replica, engine.started));
        }
        self.pools.push(pool);
    }

    /// Removes the replicas of which the function says so, and their registrations.
    pub fn lose<F>(&mut self, is_lost: F)
    where
        F: Fn(usize) -> bool,
    {
        for (replica, engine) in self.engines.iter_mut().enumerate() {
            if is_lost(replica) {
                engine.is_alive = false;
                for pool in &mut self.pools {
                    pool.remove(&format!("i-{replica}"));
                }
            }
        }
    }

    /// Runs for this long.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.step(&event);
        }
        self.now = end;
    }

    /// Answers since a time.
    pub fn since(&self, at: u64) -> Vec<Answer> {
        self.answers.iter().copied().filter(|it| it.at >= at).collect()
    }

    /// Fraction of the answers since a time that took longer than this.
    pub fn late(&self, at: u64, target: u64) -> f64 {
        let answers = self.since(at);
        let late = answers.iter().filter(|it| it.latency > target).count();
        late as f64 / answers.len().max(1) as f64
    }

    /// Digest of all choices.
    pub fn digest(&self) -> u64 {
        let replicas = self.answers.iter().map(|it| it.replica as u64);
        replicas.fold(self.refused as u64, |digest, replica| {
            digest.wrapping_mul(31).wrapping_add(replica)
        })
    }

    /// Mean number of answers of a replica since a time.
    pub fn answers_of<F>(&self, at: u64, is_meant: F) -> f64
    where
        F: Fn(usize) -> bool,
    {
        let answers = self.since(at);
        let count = answers.iter().filter(|it| is_meant(it.replica)).count();
        let replicas = (0..self.engines.len()).filter(|it| is_meant(*it)).count();
        count as f64 / replicas.max(1) as f64
    }

    fn push(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + after, self.number, event)));
    }

    fn step(&mut self, event: &Event) {
        match *event {
            Event::Arrive => self.arrive(),
            Event::First(node, dispatch, key, replica) => self.answer(node, dispatch, key, replica),
            Event::End(node, dispatch, replica) => {
                self.engines[replica].in_flight -= 1;
                self.pools[node].end(Millis(self.now), dispatch, DispatchOutcome::Answered);
            }
            Event::Moments => self.change_moments(),
            Event::Loads => self.exchange_loads(),
            Event::Paces => self.exchange_paces(),
        }
    }

    fn arrive(&mut self) {
        let gap = -self.generator.random::<f64>().ln() * 1_000.0 / self.setup.per_s;
        self.push((gap.round() as u64).max(1), Event::Arrive);
        let node = self.generator.random_range(0..self.pools.len());
        let draw: f64 = self.generator.random();
        // The three request types of the deployment H, with their tokens and steps.
        let (shared, own, steps) = match draw {
            _ if draw < 0.49 => (13_300, 3_720, 120),
            _ if draw < 0.71 => (6_300, 2_890, 52),
            _ => (350, 1_110, 172),
        };
        let tail = self.generator.random::<f64>().max(0.02);
        let own = ((f64::from(own) * 0.5 / tail.sqrt()) as u32).min(53_200);
        let prefix = u64::from(shared) * 1_000 + self.generator.random_range(0..self.setup.prefixes);
        self.own_id += 1;
        let parts = [
            Part {
                id: prefix,
                tokens: shared,
            },
            Part {
                id: self.own_id,
                tokens: own,
            },
        ];
        let demand = Demand {
            parts: &parts,
            output_tokens: steps,
            zone: "zone-0",
            tried: &[],
            version: VersionFilter::Any,
            zones: None,
            has_detour: false,
            urgency: None,
            time_left: Millis(8_000),
        };
        let now = Millis(self.now);
        let Ok(choice) = self.pools[node].choose(now, &demand) else {
            self.refused += 1;
            return;
        };
        let replica: usize = choice.id[2..].parse().expect("a number");
        let dispatch = self.pools[node].send(now, &choice, &demand);
        let mut others = self.engines.iter().enumerate();
        let is_elsewhere =
            others.any(|(other, it)| other != replica && it.is_alive && it.cached.contains_key(&prefix));
        let engine = &mut self.engines[replica];
        let was_cached = engine.cached.insert(prefix, self.now).is_some();
        if engine.cached.len() > 25 {
            let oldest = engine.cached.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            oldest.map(|id| engine.cached.remove(&id));
        }
        let unread = own + if was_cached { 0 } else { shared };
        let reread = if is_elsewhere && !was_cached { shared } else { 0 };
        let is_loaded = replica % 4 == 1 && engine.in_flight >= 8;
        let knee = self.setup.knee.filter(|_| is_loaded).unwrap_or(1.0);
        let token_ms = engine.pace * engine.moment * knee / 56.1;
        let start = engine.busy_until.max(self.now);
        engine.busy_until = start + (f64::from(unread) * token_ms) as u64;
        engine.in_flight += 1;
        let latency = engine.busy_until - self.now + self.setup.fixed_ms;
        let decode = (f64::from(steps) * 6.45 * engine.pace * engine.moment) as u64;
        self.answers.push(Answer {
            at: self.now,
            latency,
            replica,
            was_cached,
            is_expected_cached: choice.prefill_tokens < own + shared / 2,
            reread,
        });
        self.push(latency, Event::First(node, dispatch, choice.replica, replica));
        self.push(latency + decode + 1, Event::End(node, dispatch, replica));
    }

    fn answer(&mut self, node: usize, dispatch: DispatchKey, key: ReplicaKey, replica: usize) {
        let engine = &self.engines[replica];
        let pace = match self.setup.figure {
            Figure::Missing => None,
            Figure::True => Some((engine.moment * 100.0) as u32),
            Figure::Always(hundredths) => Some(hundredths),
        };
        let load = Load {
            running: engine.in_flight.min(16),
            waiting: engine.in_flight.saturating_sub(16),
            slots: 16,
            pace,
        };
        self.pools[node].record_load(Millis(self.now), key, load);
        self.pools[node].begin_answer(Millis(self.now), dispatch);
    }

    fn change_moments(&mut self) {
        self.push(600, Event::Moments);
        if !self.setup.has_moments {
            return;
        }
        for engine in &mut self.engines {
            let is_slow = self.generator.random::<f64>() < 0.15;
            engine.moment = if is_slow { 2.5 } else { 1.0 };
        }
    }

    fn exchange_loads(&mut self) {
        self.push(LOAD_INTERVAL, Event::Loads);
        for sender in 0..self.pools.len() {
            let loads = self.pools[sender].own_loads();
            for receiver in (0..self.pools.len()).filter(|it| *it != sender) {
                let report = PeerReport {
                    node: sender as u64,
                    zone: "zone-0",
                    loads: &loads,
                    unreachable: &[],
                };
                self.pools[receiver].record_peer_report(Millis(self.now), &report);
            }
        }
    }

    fn exchange_paces(&mut self) {
        self.push(PACE_INTERVAL, Event::Paces);
        if !self.setup.is_shared {
            return;
        }
        for sender in 0..self.pools.len() {
            let paces = self.pools[sender].take_paces(8);
            for receiver in (0..self.pools.len()).filter(|it| *it != sender) {
                self.pools[receiver].record_peer_paces(&paces);
            }
        }
    }
}

/// A request without a prompt.
pub const fn plain_demand() -> Demand<'static> {
    Demand {
        parts: &[],
        output_tokens: 0,
        zone: "zone-0",
        tried: &[],
        version: VersionFilter::Any,
        zones: None,
        has_detour: false,
        urgency: None,
        time_left: Millis(8_000),
    }
}

pub fn spec(number: usize, started: u64) -> Spec {
    Spec {
        id: Arc::from(format!("i-{number}")),
        endpoint: Arc::from("endpoint"),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
        zone: Arc::from(format!("zone-{}", number % 4)),
        version: Arc::from("v1"),
        slots: 16,
        state: State::Ready,
        reclaimable: false,
        warmup_remaining: Millis::ZERO,
        started_unix_ms: Some(started),
    }
}
