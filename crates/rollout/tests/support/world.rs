//! Nodes, controllers and a key-value service in one process, on one seeded clock.

mod control;
mod peers;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use rollout::guard::{self, Config};
use rollout::{Arm, Controller, Event, Guard, Id, Plan, Share, Split, Verdict, Vetoes, WallTime};

use crate::kv::Kv;
use crate::ramp::{Alarm, Ramp};
use crate::truth::Truth;

pub const TICK: u64 = 100;
const EPOCH: u64 = 1_000_000_000;
pub const ENDPOINT: &str = "cyfrif";

pub fn draw(rng: &mut Generator) -> f64 {
    use rand::RngExt;
    rng.random::<f64>().max(1e-12)
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub nodes: usize,
    /// Requests a second of each route, over all nodes.
    pub rates: Vec<f64>,
    pub start: Millis,
    pub allowed: Millis,
    pub watch: Millis,
    pub config: Config,
    /// Time between two reports of a node, in whole seconds.
    pub report: Millis,
    /// Moves by the clock instead, with no controller and no guard.
    pub ramp: Option<Alarm>,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            nodes: 4,
            rates: vec![40.0, 20.0],
            start: Millis::from_secs(20),
            allowed: Millis::from_secs(120),
            watch: Millis::from_secs(60),
            config: Config::default().with_nodes(4),
            report: Millis(1_000),
            ramp: None,
        }
    }
}

pub struct Node {
    pub guard: Guard,
    pub split: Split,
    pub vetoes: Vetoes,
    /// Cut off from peers and controllers.
    pub cut: bool,
}

pub struct Seat {
    pub controller: Controller,
    pub inbox: VecDeque<Event>,
    pub frozen: bool,
    fence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Flying {
    end: u64,
    number: u64,
    started: u64,
    node: usize,
    route: usize,
    failed: bool,
    drawn: Option<Drawn>,
}

/// An assignment, as a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Drawn {
    rollout: Id,
    arm: Arm,
    share: Share,
}

#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that a bad version served while it was bad.
    pub on_bad: u64,
    /// When every node had all its traffic on the new version.
    pub full_at: Option<Millis>,
    pub tells: Vec<(Id, Verdict)>,
    pub accepted: Vec<Id>,
    pub refused: Vec<Id>,
    pub vetoed_at: Option<Millis>,
    pub bad_since: Option<Millis>,
}

pub struct World {
    pub now: Millis,
    pub setting: Setting,
    pub truth: Truth,
    pub nodes: Vec<Node>,
    pub seats: Vec<Seat>,
    pub kv: Kv,
    pub tally: Tally,
    /// Requests of the new version that ended, a route.
    pub ended: Vec<u64>,
    rng: Generator,
    flying: BinaryHeap<Reverse<Flying>>,
    number: u64,
    fence: u64,
    load: [u32; 2],
    routes: Vec<Name>,
    pub ramp: Option<Ramp>,
}

impl World {
    pub fn new(setting: Setting, truth: Truth, seed: Seed) -> Self {
        let node = |index: usize| Node {
            guard: Guard::new(Incarnation(index as u64 + 1)).with_config(setting.config),
            split: Split::new(),
            vetoes: Vetoes::new(),
            cut: false,
        };
        let mut world = Self {
            now: Millis::ZERO,
            truth,
            ramp: setting.ramp.map(Ramp::new),
            nodes: (0..setting.nodes).map(node).collect(),
            seats: Vec::new(),
            kv: Kv::default(),
            tally: Tally::default(),
            ended: vec![0; setting.rates.len()],
            rng: seed.generator(),
            flying: BinaryHeap::new(),
            number: 0,
            fence: 0,
            load: [0; 2],
            routes: (0..setting.rates.len())
                .map(|route| Name::from(format!("r{route}")))
                .collect(),
            setting,
        };
        world.seat();
        world
    }

    pub fn wall_time(&self) -> WallTime {
        WallTime(EPOCH + self.now.0)
    }

    pub fn plan(&self, random: u64) -> Plan {
        Plan {
            id: Id::new(self.wall_time(), random << 48),
            endpoint: Name::from(ENDPOINT),
            from: Name::from("v1"),
            to: Name::from("v2"),
            start: self.wall_time(),
            deadline: self.wall_time().after(self.setting.allowed),
            canary: rollout::plan::CANARY_SHARE,
            watch: self.setting.watch,
            operator: Name::from(format!("operator{random}")),
        }
    }

    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + Millis(TICK);
        self.finish();
        self.issue();
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].guard.step(self.now, guard::Event::Tick);
            self.guarded(node, actions);
        }
        if self.now.0.is_multiple_of(1_000) {
            self.second();
        }
        for seat in 0..self.seats.len() {
            self.seated(seat);
        }
    }

    fn second(&mut self) {
        self.load = [self.load[1], 0];
        if self.ramp.is_some() {
            self.ramp_on();
            return;
        }
        self.kv.land();
        self.gossip();
        let id = self.kv.stored.as_ref().map(|stored| stored.record.plan.id);
        let second = self.now.0 / 1_000;
        for (index, node) in self.nodes.iter_mut().enumerate().filter(|(_, node)| !node.cut) {
            let Some(id) = id else { break };
            // Nodes take turns.
            let turn = second + index as u64 * self.setting.report.0 / 4_000;
            let due = turn.is_multiple_of(self.setting.report.0 / 1_000);
            if !due {
                continue;
            }
            // Controllers get what has been through the codec.
            let bytes = postcard::to_stdvec(&node.guard.summary(id)).expect("a summary encodes");
            let summary: rollout::Summary = postcard::from_bytes(&bytes).expect("and decodes");
            for seat in &mut self.seats {
                seat.inbox.push_back(Event::Reported(Box::new(summary.clone())));
            }
        }
        for seat in &mut self.seats {
            seat.inbox.push_back(Event::Tick);
        }
        self.note_full();
    }
}
