//! A deterministic simulation of nodes, controllers and a key-value service, driven by a seed and a simulated
//! clock.

mod control;
mod peers;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use rollout::guard;
use rollout::{Arm, Controller, Event, Guard, Id, Plan, Share, Split, Verdict, Vetoes, WallTime};

use crate::behavior::Behavior;
use crate::kv::Kv;
use crate::ramp::{Alarm, Ramp};

pub const TICK: u64 = 100;
const EPOCH: u64 = 1_000_000_000;
pub const ENDPOINT: &str = "cyfrif";

pub fn uniform(rng: &mut Generator) -> f64 {
    use rand::RngExt;
    rng.random::<f64>().max(1e-12)
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub nodes: usize,
    /// Requests per second on each route, over all nodes.
    pub rates: Vec<f64>,
    pub start: Millis,
    pub time_allowed: Millis,
    pub watch: Millis,
    pub guard: guard::Settings,
    /// Time between two reports of a node, in whole seconds.
    pub report: Millis,
    /// If set, a ramp driven by the clock replaces controller and guards.
    pub ramp: Option<Alarm>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: 4,
            rates: vec![40.0, 20.0],
            start: Millis::from_secs(20),
            time_allowed: Millis::from_secs(120),
            watch: Millis::from_secs(60),
            guard: guard::Settings::default().with_nodes(4),
            report: Millis(1_000),
            ramp: None,
        }
    }
}

pub struct Node {
    pub guard: Guard,
    pub split: Split,
    pub vetoes: Vetoes,
    /// Whether the node is cut off from peers and controllers.
    pub partitioned: bool,
}

pub struct Holder {
    pub controller: Controller,
    pub inbox: VecDeque<Event>,
    pub paused: bool,
    fence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    end: u64,
    number: u64,
    started: u64,
    node: usize,
    route: usize,
    failed: bool,
    drawn: Option<Drawn>,
}

/// An assignment in a form that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Drawn {
    rollout: Id,
    arm: Arm,
    share: Share,
}

#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of requests that the new version served while its defect had effect.
    pub served_bad: u64,
    /// Time at which all traffic of every node went to the new version.
    pub full_share_at: Option<Millis>,
    pub verdicts: Vec<(Id, Verdict)>,
    pub accepted: Vec<Id>,
    pub refused: Vec<Id>,
    pub vetoed_at: Option<Millis>,
    pub bad_since: Option<Millis>,
}

pub struct Simulation {
    pub now: Millis,
    pub settings: Settings,
    pub behavior: Behavior,
    pub nodes: Vec<Node>,
    pub holders: Vec<Holder>,
    pub kv: Kv,
    pub observed: Observations,
    /// Ended requests of the new version, by route.
    pub new_ended: Vec<u64>,
    rng: Generator,
    pending: BinaryHeap<Reverse<PendingRequest>>,
    request_number: u64,
    fence: u64,
    new_per_second: [u32; 2],
    routes: Vec<Name>,
    pub ramp: Option<Ramp>,
}

impl Simulation {
    pub fn new(settings: Settings, behavior: Behavior, seed: Seed) -> Self {
        let node = |index: usize| Node {
            guard: Guard::new(Incarnation(index as u64 + 1)).with_settings(settings.guard),
            split: Split::new(),
            vetoes: Vetoes::new(),
            partitioned: false,
        };
        let mut simulation = Self {
            now: Millis::ZERO,
            behavior,
            ramp: settings.ramp.map(Ramp::new),
            nodes: (0..settings.nodes).map(node).collect(),
            holders: Vec::new(),
            kv: Kv::default(),
            observed: Observations::default(),
            new_ended: vec![0; settings.rates.len()],
            rng: seed.generator(),
            pending: BinaryHeap::new(),
            request_number: 0,
            fence: 0,
            new_per_second: [0; 2],
            routes: (0..settings.rates.len())
                .map(|route| Name::from(format!("r{route}")))
                .collect(),
            settings,
        };
        simulation.add_holder();
        simulation
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
            deadline: self.wall_time().after(self.settings.time_allowed),
            canary: rollout::plan::CANARY_SHARE,
            watch: self.settings.watch,
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
        self.finish_requests();
        self.issue_requests();
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].guard.step(self.now, guard::Event::Tick);
            self.apply_guard_actions(node, actions);
        }
        if self.now.0.is_multiple_of(1_000) {
            self.tick_second();
        }
        for holder in 0..self.holders.len() {
            self.run_holder(holder);
        }
    }

    fn tick_second(&mut self) {
        self.new_per_second = [self.new_per_second[1], 0];
        if self.ramp.is_some() {
            self.step_ramp();
            return;
        }
        self.kv.deliver_delayed();
        self.gossip();
        let id = self.kv.stored.as_ref().map(|stored| stored.record.plan.id);
        let second = self.now.0 / 1_000;
        for (index, node) in self
            .nodes
            .iter_mut()
            .enumerate()
            .filter(|(_, node)| !node.partitioned)
        {
            let Some(id) = id else { break };
            // Nodes report in turn.
            let turn = second + index as u64 * self.settings.report.0 / 4_000;
            let due = turn.is_multiple_of(self.settings.report.0 / 1_000);
            if !due {
                continue;
            }
            // Reports pass through the codec, as between real nodes.
            let bytes = postcard::to_stdvec(&node.guard.summary(id)).expect("the summary encodes");
            let summary: rollout::Summary =
                postcard::from_bytes(&bytes).expect("the encoded summary decodes");
            for holder in &mut self.holders {
                holder.inbox.push_back(Event::Reported(Box::new(summary.clone())));
            }
        }
        for holder in &mut self.holders {
            holder.inbox.push_back(Event::Tick);
        }
        self.record_full_share();
    }
}
