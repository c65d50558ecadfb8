//! Simulates a cluster with its network and platform, and drives each node as the daemon does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use member::gossip::{Action, Event};
use member::item::Body;
use member::node::Registration;
use member::{Config, Frame, Generation, Gossip, Node, config, generation};
use rand::RngExt;

/// Interval between ticks.
pub const TICK: u64 = 100;
const RENEWAL_INTERVAL: u64 = 3_000;
const REGISTRATION_TTL: u64 = 10_000;
const POLL_INTERVAL: u64 = 2_000;

/// One VM with the node on it.
pub struct Vm {
    pub gossip: Gossip,
    pub config: Config,
    pub node: Node,
    pub up: bool,
    pub paused: bool,
    /// Whether all frames sent by the node are lost. It still receives frames and reaches the platform.
    pub drops_outbound: bool,
    /// Network partition of the node. Nodes in different partitions can't reach each other, and the platform is in
    /// partition 0.
    pub partition: u8,
    pub learned: Vec<Body>,
    pub seen_gone: Vec<Incarnation>,
    pub applied: Vec<Generation>,
}

/// A frame in flight.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Transmission {
    at: u64,
    frame_id: u64,
    to: usize,
    sender_partition: u8,
}

/// The nodes, the network and the platform.
pub struct Cluster {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub head: Generation,
    pub platform_outage: bool,
    /// The platform's registrations, each with the expiry of its lease.
    registrations: indexmap::IndexMap<Name, (Node, u64)>,
    /// Probability, in percent, that a frame is lost, and likewise that it is duplicated.
    pub loss_percent: u32,
    pub generator: Generator,
    transmissions: BinaryHeap<Reverse<Transmission>>,
    frames: indexmap::IndexMap<u64, Frame>,
    last_frame_id: u64,
    incarnations: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), index as u16 + 1)
}

pub fn head_of(generation: Generation) -> generation::Head {
    let digest = generation::Digest::of(&generation.0.to_le_bytes());
    generation::Head { generation, digest }
}

impl Cluster {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: 1_000,
            vms: Vec::new(),
            head: Generation(1),
            platform_outage: false,
            registrations: indexmap::IndexMap::new(),
            loss_percent: 0,
            generator: Seed(seed).generator(),
            transmissions: BinaryHeap::new(),
            frames: indexmap::IndexMap::new(),
            last_frame_id: 0,
            incarnations: 0,
        };
        for index in 0..count {
            let vm = cluster.start(index);
            cluster.vms.push(vm);
        }
        cluster
    }

    fn start(&mut self, index: usize) -> Vm {
        self.incarnations += 1;
        let zone = index % 4;
        let node = Node {
            name: Name::new(format!("node-{index}")),
            incarnation: Incarnation(self.generator.random()),
            epoch: self.incarnations,
            peer: address(index),
            caller: address(index),
            zone: Name::new(format!("zone-{zone}")),
            region: Name::new(format!("region-{}", zone / 2)),
        };
        let seeds = (0..4).map(address).collect();
        Vm {
            gossip: Gossip::new(node.clone(), seeds, Seed(self.generator.random())),
            config: Config::new(config::Settings::new()),
            node,
            up: true,
            paused: false,
            drops_outbound: false,
            partition: 0,
            learned: Vec::new(),
            seen_gone: Vec::new(),
            applied: Vec::new(),
        }
    }

    /// Kills the process on a VM and starts a new one.
    pub fn restart(&mut self, index: usize) {
        let partition = self.vms[index].partition;
        self.vms[index] = self.start(index);
        self.vms[index].partition = partition;
    }

    /// Stops a node gracefully and starts a new process in its place.
    pub fn replace(&mut self, index: usize) {
        if self.vms[index].paused {
            return;
        }
        self.step(index, Event::Leaving);
        self.run(1_000);
        self.step(index, Event::Stopped);
        self.restart(index);
    }

    /// Starts the next incarnation in the same process.
    fn renew(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.generator.random());
        let vm = &mut self.vms[index];
        vm.node.incarnation = incarnation;
        vm.node.epoch = self.incarnations;
        let gossip = vm.gossip.clone();
        vm.gossip = gossip.with_incarnation(Millis(self.now), incarnation, self.incarnations);
        vm.config = vm.config.next_incarnation();
    }

    /// Swaps the head record, as an operator's update does; returns false during a platform outage.
    pub fn update_catalogue(&mut self) -> bool {
        if !self.platform_outage {
            self.head.0 += 1;
        }
        !self.platform_outage
    }

    pub fn publish(&mut self, index: usize, body: Body) {
        self.step(index, Event::Publish(body));
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(TICK) {
            self.now += TICK;
            self.deliver();
            for index in 0..self.vms.len() {
                if self.vms[index].up && !self.vms[index].paused {
                    self.tick(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse(transmission)) = self.transmissions.peek()
            && transmission.at <= self.now
        {
            let Some(Reverse(transmission)) = self.transmissions.pop() else {
                return;
            };
            let Some(frame) = self.frames.swap_remove(&transmission.frame_id) else {
                continue;
            };
            let vm = &self.vms[transmission.to];
            if vm.up && !vm.paused && vm.partition == transmission.sender_partition {
                self.step(transmission.to, Event::Receive(frame));
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, frame: &Frame) {
        let to = usize::from(to.port()) - 1;
        if to >= self.vms.len()
            || self.vms[from].drops_outbound
            || self.generator.random_range(0..100) < self.loss_percent
        {
            return;
        }
        let copies = 1 + u64::from(self.generator.random_range(0..100) < self.loss_percent);
        for _ in 0..copies {
            self.last_frame_id += 1;
            let at = self.now + self.generator.random_range(1..200);
            let sender_partition = self.vms[from].partition;
            let frame_id = self.last_frame_id;
            self.frames.insert(frame_id, frame.clone());
            self.transmissions.push(Reverse(Transmission {
                at,
                frame_id,
                to,
                sender_partition,
            }));
        }
    }

    pub fn reaches_platform(&self, index: usize) -> bool {
        !self.platform_outage && self.vms[index].partition == 0
    }

    fn tick(&mut self, index: usize) {
        if self.vms[index].config.is_fenced() {
            self.renew(index);
        }
        self.step(index, Event::Tick);
        if self.reaches_platform(index) && self.now % RENEWAL_INTERVAL < TICK {
            let node = self.vms[index].node.clone();
            let expires = self.now + REGISTRATION_TTL;
            self.registrations.insert(node.name.clone(), (node, expires));
            self.step_config(index, config::Event::Renewed);
        }
        if self.reaches_platform(index) && (self.now + 7 * TICK * index as u64) % POLL_INTERVAL < TICK {
            self.poll_platform(index);
        }
        let now = Millis(self.now);
        let reach = self.vms[index].gossip.reach(now);
        self.step_config(index, config::Event::Reach(reach));
        if let Some(confirmed) = self.vms[index].gossip.confirmed(now) {
            self.step_config(index, config::Event::Confirmed(confirmed));
        }
        self.step_config(index, config::Event::Tick);
        self.report_applied(index);
    }

    /// Reads the registrations and the head record from the platform.
    fn poll_platform(&mut self, index: usize) {
        let gone = &self.vms[index].seen_gone;
        self.registrations
            .retain(|_, it| !gone.contains(&it.0.incarnation));
        let registered = self.registrations.values().map(|(node, expires)| Registration {
            node: node.clone(),
            lease_expired: *expires <= self.now,
        });
        let registered = registered.collect();
        self.step(index, Event::RegistrationsListed(registered));
        self.read_head(index);
    }

    fn read_head(&mut self, index: usize) {
        let head = self.head;
        self.publish(index, Body::Head(head_of(head)));
        self.step(index, Event::Confirmed(head));
        self.step_config(index, config::Event::Platform(head));
    }

    fn step_config(&mut self, index: usize, event: config::Event) {
        let now = Millis(self.now);
        let actions = self.vms[index].config.step(now, event);
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: config::Action) {
        match action {
            config::Action::Sync => {
                self.step(index, Event::Sync);
                if self.reaches_platform(index) {
                    self.poll_platform(index);
                }
            }
            config::Action::Fetch(generation) => {
                self.step_config(index, config::Event::Fetched(generation));
                // A delayed fetch of an earlier generation.
                self.step_config(index, config::Event::Fetched(Generation(generation.0 / 2)));
            }
            config::Action::Apply(generation) => {
                self.vms[index].applied.push(generation);
                self.report_applied(index);
            }
            config::Action::Fence => {}
        }
    }

    fn report_applied(&mut self, index: usize) {
        let vm = &self.vms[index];
        let Some(generation) = vm.config.applied() else {
            return;
        };
        let serving = vm.config.serving(Millis(self.now)).is_ok();
        self.step(index, Event::Applied { generation, serving });
    }

    pub fn step(&mut self, index: usize, event: Event) {
        let actions = self.vms[index].gossip.step(Millis(self.now), event);
        // Carrying out an action may step the node again, so record all state changes first, in order.
        for action in &actions {
            self.track_state_change(index, action);
        }
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(index, to, &frame),
                Action::Learned(body) => self.record_learned(index, body),
                Action::Exchanged { serving, .. } => self.step_config(index, config::Event::Peer(serving)),
                Action::Fenced => self.step_config(index, config::Event::Fenced),
                _ => {}
            }
        }
    }

    fn track_state_change(&mut self, index: usize, action: &Action) {
        let vm = &mut self.vms[index];
        match action {
            Action::NodeGone(node) => vm.seen_gone.push(*node),
            Action::NodeUp(node) | Action::NodeLeaving(node) | Action::NodeSuspect(node) => {
                assert!(
                    !vm.seen_gone.contains(node),
                    "a gone incarnation changed its state"
                );
            }
            _ => {}
        }
    }

    fn record_learned(&mut self, index: usize, body: Body) {
        if let Body::Head(head) = &body {
            self.step_config(index, config::Event::Known(head.generation));
        }
        self.vms[index].learned.push(body);
    }
}
