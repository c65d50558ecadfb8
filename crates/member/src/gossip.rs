//! Disseminates items among the nodes and maintains the view of the cluster.
//!
//! A new item is pushed to a few random peers, each of which forwards it once, up to a maximum number of hops. A
//! periodic anti-entropy exchange with a random peer repairs what the push missed: the nodes compare checksums of
//! buckets, then the entries of the buckets that differ, and then transfer the missing items. Each node sends
//! heartbeats only to a few watchers. A watcher that misses them disseminates a suspicion, which the suspected node
//! refutes. The module `termination` decides when a node has ended permanently.

mod action;
mod chunks;
mod dissemination;
mod event;
mod exchange;
mod expiry;
mod failure_detector;
mod freshness;
mod peers;
mod progress;
mod reach;
mod settings;
mod status_update;
mod store;
mod termination;
mod timers;
mod watch;

use base::seed::Generator;
use base::{Incarnation, Millis, Seed};
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;

pub use action::Action;
pub use event::Event;
pub use reach::Reach;
pub use settings::Settings;

use self::chunks::Chunks;
use self::exchange::Partner;
use self::freshness::Freshness;
use self::peers::{Peer, Peers};
use self::progress::Progress;
use self::store::Store;
use self::timers::Timers;
use self::watch::Watch;
use crate::frame::{Confirmed, Frame, Message};
use crate::generation::Head;
use crate::item::{Body, Item, Key, Status, Vm};
use crate::node::Node;
use crate::view::View;

/// The actions of one step.
pub type Actions = Vec<Action>;

/// Label for deriving the seed of the first session.
const SESSION_SEED_LABEL: u64 = 1;

/// The gossip state of one node.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    own_status: Status,
    seeds: Vec<std::net::SocketAddr>,
    generator: Generator,
    view: View,
    store: Store,
    freshness: Freshness,
    peers: Peers,
    watch: Watch,
    chunks: Chunks,
    /// Incarnations known to be gone, oldest first; kept after their items have expired.
    gone: IndexSet<Incarnation>,
    /// Nodes without a live registration in the platform's list, with the time since when.
    unregistered: IndexMap<Incarnation, Millis>,
    /// Since when a majority of the known nodes has been reachable without interruption.
    majority_since: Option<Millis>,
    last_tick: Millis,
    last_step: Millis,
    /// Random; redrawn after each pause. Identifies replies to the exchanges that this node started since then.
    session: u32,
    /// Marked VMs that are missing from the VM list, with the time since when.
    unlisted: IndexMap<Vm, Millis>,
    progress: Progress,
    serving: bool,
    /// Items to push at the next tick.
    outbox: Vec<Item>,
    /// Whether the view has changed since the peers and watchers were computed.
    view_changed: bool,
    fenced: bool,
    timers: Timers,
}

impl Gossip {
    /// Creates the gossip state of `node`; `seeds` are the peer addresses from its settings.
    pub fn new(node: Node, seeds: Vec<std::net::SocketAddr>, seed: Seed) -> Self {
        let own_status = Status {
            node,
            sequence: 0,
            leaving: false,
            suspect: false,
            gone: false,
        };
        let mut gossip = Self {
            settings: Settings::new(),
            generator: seed.generator(),
            view: View::new(),
            store: Store::new(),
            freshness: Freshness::default(),
            peers: Peers::default(),
            watch: Watch::default(),
            chunks: Chunks::default(),
            gone: IndexSet::new(),
            unregistered: IndexMap::new(),
            majority_since: None,
            last_tick: Millis::ZERO,
            last_step: Millis::ZERO,
            session: seed.derive(SESSION_SEED_LABEL).0 as u32,
            unlisted: IndexMap::new(),
            progress: Progress::default(),
            serving: false,
            outbox: Vec::new(),
            view_changed: true,
            fenced: false,
            timers: Timers::default(),
            seeds,
            own_status,
        };
        gossip.add_own_status(Millis::ZERO);
        gossip
    }

    /// Starts the next incarnation in the same process, after [`Action::Fenced`] or a pause, and keeps what is known of
    /// other nodes.
    pub fn with_incarnation(mut self, now: Millis, incarnation: Incarnation, epoch: u64) -> Self {
        let mut node = self.own_status.node.clone();
        node.incarnation = incarnation;
        node.epoch = epoch;
        self.own_status = Status {
            node,
            sequence: 0,
            leaving: false,
            suspect: false,
            gone: false,
        };
        self.session = self.generator.random();
        self.fenced = false;
        self.serving = false;
        self.view_changed = true;
        self.timers = Timers::default();
        self.add_own_status(now);
        self
    }

    /// Adds this node's status to the items, to be pushed at the first tick.
    fn add_own_status(&mut self, now: Millis) {
        let body = Body::Status(self.own_status.clone());
        self.publish(now, body, &mut Vec::new());
    }

    /// Replaces the settings.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Returns the view of the known nodes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns this node's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own_status.node.incarnation
    }

    /// Whether this incarnation was declared gone.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the newest known head record of the catalogue.
    pub fn head(&self) -> Option<Head> {
        match self.store.get(&Key::Head)?.body {
            Body::Head(head) => Some(head),
            _ => None,
        }
    }

    /// Returns the newest known answer of the platform to any node.
    pub fn confirmed(&self, now: Millis) -> Option<Confirmed> {
        self.freshness.confirmed(now)
    }

    /// Returns the body stored under `key`.
    pub fn get(&self, key: &Key) -> Option<&Body> {
        self.store.get(key).map(|stored| &stored.body)
    }

    /// Iterates over all stored bodies.
    pub fn bodies(&self) -> impl Iterator<Item = &Body> {
        self.store.iter().map(|stored| &stored.1.body)
    }

    /// Returns the number of stored items.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no item is stored. Always false, since this node's status is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts the known and the reachable nodes.
    pub fn reach(&self, now: Millis) -> Reach {
        let within = self.settings.zone_timeout;
        let is_self = |node: &Node| node.incarnation == self.incarnation();
        let is_recent = |node: &Node| self.freshness.is_recent(now, within, freshness::zone_hash(node));
        let reachable = self.view.reachable().map(crate::view::Member::node);
        Reach {
            reachable: reachable.filter(|node| is_self(node) || is_recent(node)).count(),
            known: self.view.present().count(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.detect_pause(now);
        match event {
            Event::Receive(frame) => self.receive(now, frame, &mut actions),
            Event::Publish(body) => self.publish(now, body, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            Event::Reachable(node) => self.record_contact(now, node, &mut actions),
            Event::Unreachable(node) => self.suspect(now, node, &mut actions),
            Event::RegistrationsListed(listed) => self.handle_registrations(now, &listed, &mut actions),
            Event::VmsListed(vms) => self.handle_vm_list(now, &vms, &mut actions),
            Event::VmEnded(node) => self.declare_gone(now, node, &mut actions),
            Event::Confirmed(generation) => self.record_confirmed(now, generation),
            Event::Applied { generation, serving } => self.record_applied(now, generation, serving),
            Event::Sync => self.sync(now, &mut actions),
            Event::Fetch(digest) => self.fetch(now, digest, &mut actions),
            Event::Cache(bytes) => self.chunks.insert(self.settings.max_chunk_bytes, bytes),
            Event::Leaving => self.leave(now, &mut actions),
            Event::Stopped => self.announce_stop(now, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Actions) {
        self.refresh(now);
        self.check_watched(now, actions);
        self.check_majority(now);
        self.send_due_heartbeats(now, actions);
        self.report(now, actions);
        self.collect(now, actions);
        self.push_outbox(now, actions);
        self.exchange(now, actions);
        self.retry_fetches(now, actions);
        self.expire(now);
    }

    fn receive(&mut self, now: Millis, frame: Frame, actions: &mut Actions) {
        let Frame {
            from,
            confirmed,
            message,
        } = frame;
        if from == self.incarnation() {
            return;
        }
        if let Message::Join(node) = &message {
            self.add_node(now, node, self.settings.hops, actions);
        }
        if let Some(confirmed) = confirmed {
            self.freshness
                .merge_confirmed(now, self.settings.transit_allowance, confirmed);
        }
        self.record_contact(now, from, actions);
        self.handle(now, from, message, actions);
    }

    fn handle(&mut self, now: Millis, from: Incarnation, message: Message, actions: &mut Actions) {
        let node = from;
        match message {
            Message::Join(_) => self.answer_join(now, from, actions),
            Message::Heartbeat { applied } => self.handle_report(from, applied),
            Message::Push { items, updates } => {
                self.merge_items(now, items, actions);
                self.merge_status_updates(now, updates, actions);
            }
            Message::Sums {
                session,
                sums,
                contacts,
            } => {
                self.handle_sums(now, Partner { node, session }, &sums, &contacts, actions);
            }
            Message::Differ {
                session,
                listings,
                contacts,
                serving,
            } => self.handle_differ(
                now,
                Partner { node, session },
                &listings,
                &contacts,
                serving,
                actions,
            ),
            Message::Delta {
                session,
                items,
                requested,
                truncated,
                serving,
            } => {
                self.merge_items(now, items, actions);
                self.handle_delta(
                    now,
                    Partner { node, session },
                    &requested,
                    truncated,
                    serving,
                    actions,
                );
            }
            Message::Want(digest) => self.send_chunk(now, from, digest, actions),
            Message::Chunk(bytes) => self.handle_chunk(bytes, actions),
            Message::Missing(digest) => self.chunks.retry_now(now, digest),
        }
    }

    /// Recomputes peers and watchers if the view has changed.
    fn refresh(&mut self, now: Millis) {
        if !self.view_changed {
            return;
        }
        self.view_changed = false;
        self.peers = Peers::new(&self.own_status.node, &self.view);
        self.watch.rebuild(now, &self.own_status.node, &self.view);
    }

    fn peer(&self, incarnation: Incarnation) -> Option<Peer> {
        let member = self.view.member(incarnation)?;
        Some(Peer::of(member.node()))
    }

    fn send(&self, now: Millis, to: Peer, message: Message, actions: &mut Actions) {
        actions.push(Action::Send {
            to: to.address,
            frame: self.frame(now, message),
        });
    }

    fn frame(&self, now: Millis, message: Message) -> Frame {
        Frame {
            from: self.incarnation(),
            confirmed: self.freshness.confirmed(now),
            message,
        }
    }
}
