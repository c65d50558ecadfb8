//! Simulates a network of many nodes in virtual time, with distance-based latency and packet loss, and counts the bytes
//! sent.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use member::frame::Message;
use member::generation::{Digest, Head};
use member::gossip::{Action, Event};
use member::item::Body;
use member::node::Registration;
use member::{Frame, Generation, Gossip, Node};
use rand::RngExt;

/// Interval between ticks of a node, in milliseconds.
const TICK_INTERVAL: u64 = 100;
/// Estimated bytes of UDP, IP and QUIC headers per frame.
const HEADER_BYTES: u64 = 60;
/// Probability of losing a frame, per thousand.
const LOSS_PERMILLE: u32 = 10;
/// Size of the chunk of each catalogue change.
const CHUNK_BYTES: usize = 2_048;
/// Interval between reads of the head record by each watcher, in milliseconds.
const POLL_INTERVAL: u64 = 2_000;

/// Sent bytes by kind of message.
pub type BytesByKind = indexmap::IndexMap<&'static str, u64>;

pub struct Vm {
    pub gossip: Gossip,
    pub node: Node,
    pub region: usize,
    pub applied: Generation,
    pub applied_at: u64,
    pub bytes: u64,
    is_watcher: bool,
    latest_known: Generation,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Tick(usize),
    Arrive { to: usize, slot: usize },
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: u64,
    number: u64,
    kind: EventKind,
}

pub struct Net {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub head: Generation,
    pub partitioned_region: Option<usize>,
    pub bytes_by_kind: BytesByKind,
    pub frames: u64,
    generator: Generator,
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
    frame_slots: Vec<Option<Frame>>,
    free_slots: Vec<usize>,
    number: u64,
}

fn chunk(generation: Generation) -> Bytes {
    let mut bytes = vec![7; CHUNK_BYTES];
    bytes[..8].copy_from_slice(&generation.0.to_le_bytes());
    Bytes::from(bytes)
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8)),
        7_000,
    )
}

fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { return 0 };
    let [_, _, high, low] = ip.octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Returns the registration of the node at `index` in a cluster of `zones` zones and `regions` regions.
pub fn node(index: usize, zones: usize, regions: usize) -> Node {
    let zone = index % zones;
    let region = zone % regions;
    Node {
        name: Name::new(format!("entry-{index:04}")),
        incarnation: Incarnation((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        epoch: 1,
        peer: address(index),
        caller: address(index),
        zone: Name::new(format!("region-{region}-zone-{zone:02}")),
        region: Name::new(format!("region-{region}")),
    }
}

impl Net {
    pub fn new(count: usize, zones: usize, regions: usize, seed: u64) -> Self {
        let nodes: Vec<Node> = (0..count).map(|index| node(index, zones, regions)).collect();
        let listed: Vec<Registration> = nodes
            .iter()
            .map(|node| Registration {
                node: node.clone(),
                lease_expired: false,
            })
            .collect();
        let mut net = Self {
            now: 1_000,
            vms: Vec::new(),
            head: Generation(1),
            partitioned_region: None,
            bytes_by_kind: BytesByKind::new(),
            frames: 0,
            generator: Seed(seed).generator(),
            scheduled: BinaryHeap::new(),
            frame_slots: Vec::new(),
            free_slots: Vec::new(),
            number: 0,
        };
        for (index, node) in nodes.into_iter().enumerate() {
            let mut gossip = Gossip::new(node.clone(), Vec::new(), Seed(seed).derive(index as u64));
            gossip.step(Millis(net.now), Event::RegistrationsListed(listed.clone()));
            net.vms.push(Vm {
                gossip,
                node,
                region: index % zones % regions,
                applied: Generation(0),
                applied_at: 0,
                bytes: 0,
                is_watcher: index < 2 * zones,
                latest_known: Generation(0),
            });
            let at = net.now + net.generator.random_range(0..TICK_INTERVAL);
            net.push(at, EventKind::Tick(index));
        }
        net
    }

    fn push(&mut self, at: u64, kind: EventKind) {
        self.number += 1;
        let number = self.number;
        self.scheduled.push(Reverse(ScheduledEvent { at, number, kind }));
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse(event)) = self.scheduled.peek()
            && event.at < end
        {
            let Some(Reverse(event)) = self.scheduled.pop() else {
                return;
            };
            self.now = event.at;
            match event.kind {
                EventKind::Tick(index) => self.tick(index),
                EventKind::Arrive { to, slot } => self.arrive(to, slot),
            }
        }
        self.now = end;
    }

    fn tick(&mut self, index: usize) {
        self.push(self.now + TICK_INTERVAL, EventKind::Tick(index));
        if self.vms[index].is_watcher
            && (self.now / TICK_INTERVAL + 3 * index as u64).is_multiple_of(POLL_INTERVAL / TICK_INTERVAL)
        {
            self.poll(index);
        }
        self.step(index, Event::Tick);
    }

    fn poll(&mut self, index: usize) {
        if self.partitioned_region == Some(self.vms[index].region) {
            return;
        }
        let generation = self.head;
        let bytes = chunk(generation);
        let digest = Digest::of(&bytes);
        self.step(index, Event::Confirmed(generation));
        self.step(index, Event::Cache(bytes));
        self.step(index, Event::Publish(Body::Head(Head { generation, digest })));
    }

    fn arrive(&mut self, to: usize, slot: usize) {
        let frame = self.frame_slots[slot].take();
        self.free_slots.push(slot);
        if let Some(frame) = frame {
            self.step(to, Event::Receive(frame));
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let bytes = postcard::experimental::serialized_size(&frame).unwrap_or(0) as u64 + HEADER_BYTES;
        *self.bytes_by_kind.entry(kind(&frame.message)).or_default() += bytes;
        self.frames += 1;
        self.vms[from].bytes += bytes;
        self.vms[to].bytes += bytes;
        let is_partitioned = |it: usize| self.partitioned_region == Some(self.vms[it].region);
        if is_partitioned(from) != is_partitioned(to) || self.generator.random_range(0..1_000) < LOSS_PERMILLE
        {
            return;
        }
        let latency = self.latency(from, to);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.frame_slots.push(None);
            self.frame_slots.len() - 1
        });
        self.frame_slots[slot] = Some(frame);
        self.push(self.now + latency, EventKind::Arrive { to, slot });
    }

    fn latency(&mut self, from: usize, to: usize) -> u64 {
        let (from, to) = (&self.vms[from].node, &self.vms[to].node);
        let base = match () {
            () if from.region != to.region => 60,
            () if from.zone != to.zone => 2,
            () => 1,
        };
        base + self.generator.random_range(0..=base)
    }

    fn step(&mut self, index: usize, event: Event) {
        let actions = self.vms[index].gossip.step(Millis(self.now), event);
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(index, index_of(to), frame),
                Action::Learned(Body::Head(head)) => {
                    self.vms[index].latest_known = head.generation;
                    self.step(index, Event::Fetch(head.digest));
                }
                Action::Fetched { bytes, .. } => self.apply(index, &bytes),
                _ => {}
            }
        }
    }

    fn apply(&mut self, index: usize, bytes: &[u8]) {
        let Some(number) = bytes.first_chunk() else { return };
        let generation = Generation(u64::from_le_bytes(*number));
        let vm = &mut self.vms[index];
        if generation <= vm.applied {
            return;
        }
        vm.applied = generation;
        vm.applied_at = self.now;
        let serving = true;
        self.step(index, Event::Applied { generation, serving });
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Join(_) => "join",
        Message::Heartbeat { .. } => "heartbeat",
        Message::Push { .. } => "push",
        Message::Sums { .. } => "sums",
        Message::Differ { .. } => "differ",
        Message::Delta { .. } => "delta",
        Message::Want(_) => "want",
        Message::Chunk(_) => "chunk",
        Message::Missing(_) => "missing",
    }
}
