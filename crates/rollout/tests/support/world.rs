//! Nodes, controllers and a key-value service in one process, on one seeded clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use rollout::guard::{self, Limits};
use rollout::{
    Action, Arm, Assignment, Controller, Event, Guard, Id, Plan, Share, Split, Stage, Verdict, Vetoes, Wall,
};

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
    pub limits: Limits,
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
            limits: Limits::default().with_nodes(4),
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
            guard: Guard::new(Incarnation(index as u64 + 1)).with_limits(setting.limits),
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

    pub fn wall(&self) -> Wall {
        Wall(EPOCH + self.now.0)
    }

    pub fn plan(&self, random: u64) -> Plan {
        Plan {
            id: Id::new(self.wall(), random << 48),
            endpoint: Name::from(ENDPOINT),
            from: Name::from("v1"),
            to: Name::from("v2"),
            start: self.wall(),
            by: self.wall().after(self.setting.allowed),
            canary: rollout::plan::CANARY,
            watch: self.setting.watch,
            operator: Name::from(format!("operator{random}")),
        }
    }

    /// A new holder takes the role up.
    pub fn seat(&mut self) {
        self.fence += 1;
        let mut controller = Controller::new().with_limits(self.setting.limits);
        let stored = self.kv.stored.clone().map(Box::new);
        let vetoes = self
            .nodes
            .iter()
            .filter(|node| !node.cut)
            .flat_map(|node| node.vetoes.iter().cloned());
        let mut inbox: VecDeque<_> = vetoes.map(|veto| Event::Vetoed(Box::new(veto))).collect();
        let actions = controller.step(
            self.now,
            Event::Acquired {
                fence: self.fence,
                stored,
                wall: self.wall(),
            },
        );
        inbox.shrink_to_fit();
        self.seats.push(Seat {
            controller,
            inbox,
            frozen: false,
            fence: self.fence,
        });
        self.act(self.seats.len() - 1, actions);
    }

    /// Whether the latest holder of the role lives and is awake.
    pub fn is_held(&self) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.fence == self.fence && !seat.frozen)
    }

    pub fn send(&mut self, seat: usize, event: Event) {
        if let Some(seat) = self.seats.get_mut(seat) {
            seat.inbox.push_back(event);
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
        for node in self.nodes.iter_mut().filter(|node| !node.cut) {
            let Some(id) = id else { break };
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

    fn ramp_on(&mut self) {
        let (now, start, allowed) = (self.now, self.setting.start, self.setting.allowed);
        if now < start {
            return;
        }
        let plan = self.plan(1);
        let Some(ramp) = &mut self.ramp else { return };
        ramp.second();
        let shares = rollout::Shares {
            rollout: Id(1),
            endpoint: plan.endpoint,
            from: plan.from,
            to: plan.to,
            generation: now.0,
            stage: Stage::Moving,
            routes: indexmap::IndexMap::new(),
            rest: ramp.share(now.since(start), allowed),
        };
        for node in &mut self.nodes {
            node.split.apply(shares.clone());
        }
        self.note_full();
    }

    fn gossip(&mut self) {
        let mut all = Vetoes::new();
        self.nodes.iter().filter(|node| !node.cut).for_each(|node| {
            all.merge(&node.vetoes);
        });
        for index in 0..self.nodes.len() {
            if !self.nodes[index].cut && self.nodes[index].vetoes.merge(&all) {
                self.learn_vetoes(index);
            }
        }
        self.repair();
        for veto in all.iter() {
            for seat in &mut self.seats {
                seat.inbox.push_back(Event::Vetoed(Box::new(veto.clone())));
            }
        }
    }

    /// Nodes that missed an announcement take the latest from their peers.
    fn repair(&mut self) {
        let endpoint = Name::from(ENDPOINT);
        let known = self
            .nodes
            .iter()
            .filter(|node| !node.cut)
            .filter_map(|node| node.split.shares(&endpoint));
        let Some(latest) = known.max_by_key(|shares| shares.generation).cloned() else {
            return;
        };
        self.apply(&latest);
    }

    fn learn_vetoes(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        for veto in node.vetoes.iter() {
            node.split.veto(veto.rollout);
            node.guard.step(now, guard::Event::Vetoed(veto.rollout));
        }
    }

    fn note_full(&mut self) {
        let endpoint = Name::from(ENDPOINT);
        let full = |node: &Node| {
            let shares = node.split.shares(&endpoint);
            shares.is_some_and(|shares| self.routes.iter().all(|route| shares.of(route) == Share::FULL))
        };
        if self.tally.full_at.is_none() && self.nodes.iter().all(full) {
            self.tally.full_at = Some(self.now);
        }
    }

    fn issue(&mut self) {
        for route in 0..self.routes.len() {
            let mean = self.setting.rates[route] * TICK as f64 / 1_000.0;
            let mut budget = mean;
            while budget > 0.0 && draw(&mut self.rng) < budget.min(1.0) {
                budget -= 1.0;
                self.request(route);
            }
        }
    }

    fn request(&mut self, route: usize) {
        use rand::RngExt;
        let node = self.rng.random_range(0..self.nodes.len());
        let ticket = self.rng.random::<u64>();
        let endpoint = Name::from(ENDPOINT);
        let choice = self.nodes[node]
            .split
            .choose(&endpoint, &self.routes[route], ticket);
        let assignment = choice.map(|choice| choice.assignment);
        let arm = assignment.map_or(Arm::Old, |assignment| assignment.arm);
        if let Some(Assignment {
            rollout,
            arm: Arm::New,
            ..
        }) = assignment
        {
            let vetoed = self.nodes[node].vetoes.iter().any(|veto| veto.rollout == rollout);
            assert!(!vetoed, "a request went to a vetoed version");
            self.load[1] += 1;
        }
        let fate = self.truth.fate(self.now, arm, route, self.load[0], &mut self.rng);
        if fate.bad {
            self.tally.on_bad += 1;
            self.tally.bad_since.get_or_insert(self.now);
        }
        self.number += 1;
        self.flying.push(Reverse(Flying {
            end: self.now.0 + fate.latency.0.max(1),
            number: self.number,
            started: self.now.0,
            node,
            route,
            failed: fate.failed,
            drawn: assignment.map(|Assignment { rollout, arm, share }| Drawn { rollout, arm, share }),
        }));
        if self.ramp.is_none() {
            let event = guard::Event::Started {
                endpoint,
                route: self.routes[route].clone(),
                assignment,
            };
            self.nodes[node].guard.step(self.now, event);
        }
    }

    fn finish(&mut self) {
        while let Some(Reverse(flying)) = self.flying.peek().copied() {
            if flying.end > self.now.0 {
                return;
            }
            self.flying.pop();
            self.ended[flying.route] += u64::from(flying.drawn.is_some_and(|drawn| drawn.arm == Arm::New));
            if let Some(ramp) = &mut self.ramp {
                let latency = Millis(flying.end - flying.started);
                let usual = crate::truth::USUAL[flying.route % crate::truth::USUAL.len()];
                ramp.end(flying.drawn.map(|drawn| drawn.arm), latency, flying.failed, usual);
                continue;
            }
            let drawn = flying.drawn;
            let assignment = drawn.map(|Drawn { rollout, arm, share }| Assignment { rollout, arm, share });
            let event = guard::Event::Finished {
                endpoint: Name::from(ENDPOINT),
                route: self.routes[flying.route].clone(),
                assignment,
                started: Millis(flying.started),
                failed: flying.failed,
            };
            let actions = self.nodes[flying.node].guard.step(Millis(flying.end), event);
            self.guarded(flying.node, actions);
        }
    }

    fn guarded(&mut self, index: usize, actions: Vec<guard::Action>) {
        for action in actions {
            match action {
                guard::Action::Veto(veto) => {
                    self.tally.vetoed_at.get_or_insert(self.now);
                    self.nodes[index].vetoes.insert(*veto);
                    self.learn_vetoes(index);
                }
                guard::Action::Cap { rollout, route, cap } => {
                    self.nodes[index].split.cap(rollout, &route, cap);
                }
            }
        }
    }

    fn seated(&mut self, seat: usize) {
        if self.seats[seat].frozen {
            return;
        }
        let mut events = 0;
        while let Some(event) = self.seats[seat].inbox.pop_front() {
            events += 1;
            assert!(events < 1_000, "a controller that never rests");
            let actions = self.seats[seat].controller.step(self.now, event);
            self.act(seat, actions);
        }
    }

    fn act(&mut self, seat: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { record, expected } => {
                    let result = self.kv.store(*record, expected);
                    self.send(seat, Event::Stored(result));
                }
                Action::Load if self.kv.down => self.send(seat, Event::Unloaded),
                Action::Load => {
                    let stored = self.kv.stored.clone().map(Box::new);
                    self.send(seat, Event::Loaded(stored));
                }
                Action::Announce(shares) => self.announce(&shares),
                Action::Veto(veto) => {
                    self.tally.vetoed_at.get_or_insert(self.now);
                    if let Some(index) = self.nodes.iter().position(|node| !node.cut) {
                        self.nodes[index].vetoes.insert(*veto);
                        self.learn_vetoes(index);
                    }
                }
                Action::Accept(id) => self.tally.accepted.push(id),
                Action::Refuse { rollout, .. } => self.tally.refused.push(rollout),
                Action::Tell { rollout, verdict } => self.tell(rollout, *verdict),
                Action::Late(_) => {}
            }
        }
    }

    fn tell(&mut self, rollout: Id, verdict: Verdict) {
        let before = self.tally.tells.iter().find(|(id, _)| *id == rollout);
        assert!(before.is_none(), "told twice: {before:?}, then {verdict:?}");
        self.tally.tells.push((rollout, verdict));
    }

    fn announce(&mut self, shares: &rollout::Shares) {
        let stored = self.kv.stored.as_ref();
        assert!(
            stored.is_some_and(|stored| stored.generation >= shares.generation),
            "announced, not stored"
        );
        self.check_canary(shares);
        self.apply(shares);
    }

    fn apply(&mut self, shares: &rollout::Shares) {
        for node in self.nodes.iter_mut().filter(|node| !node.cut) {
            let before = node
                .split
                .shares(&shares.endpoint)
                .map_or(0, |shares| shares.generation);
            if node.split.apply(shares.clone()) {
                assert!(shares.generation > before, "a generation went back");
                node.guard
                    .step(self.now, guard::Event::Applied(Box::new(shares.clone())));
            }
        }
    }

    fn check_canary(&self, shares: &rollout::Shares) {
        let Some(stored) = &self.kv.stored else { return };
        let allowed = stored.record.plan.allowed().0;
        let late = self.wall().since(stored.record.plan.start).0 * 100 >= allowed * 65;
        if shares.stage != Stage::Moving || late {
            return;
        }
        for (route, ended) in self.routes.iter().zip(&self.ended) {
            let share = shares.of(route);
            assert!(
                share <= rollout::plan::CANARY || *ended >= 60,
                "{share} of {route} after {ended} requests"
            );
        }
    }
}
