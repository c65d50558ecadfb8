//! Spreads items among the nodes, by push and by repair, and keeps the view of the nodes.
//!
//! A new item is pushed to a few peers, each of which pushes it on once, up to a bound of hops. A periodic
//! exchange with one random peer repairs what the push missed: sums of buckets, then the entries of the buckets
//! that differ, then the items. Each node sends heartbeats to a few watchers only; a watcher that misses them
//! spreads a suspicion, which the node itself refutes. What ends a node for good is in the module `ending`.

mod action;
mod chunks;
mod event;
mod exchange;
mod expiry;
mod freshness;
mod progress;
mod status_update;
mod termination;

mod dissemination;
mod failure_detector;
mod peers;
mod reach;
mod settings;
mod store;
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

/// Label of the seed of the first round.
const SESSION: u64 = 1;

/// One node's part in spreading items and in keeping the view.
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
    /// Incarnations known to be gone, oldest first, whose items may have expired.
    gone: IndexSet<Incarnation>,
    /// Nodes missing from the platform's list, with the time since when.
    unregistered: IndexMap<Incarnation, Millis>,
    /// Since when more than half of the known nodes have been in reach without a break.
    majority_since: Option<Millis>,
    last_tick: Millis,
    last_step: Millis,
    /// Drawn at the start and after each pause; tells answers to this run's questions apart.
    session: u32,
    /// VMs with a mark missing from the VM list, with the time since when.
    unlisted: IndexMap<Vm, Millis>,
    progress: Progress,
    serving: bool,
    /// Items to push with the next tick.
    outbox: Vec<Item>,
    /// Whether the view has changed since peers and watches were computed.
    view_changed: bool,
    fenced: bool,
    timers: Timers,
}

impl Gossip {
    /// The gossip of `node`; `seeds` are the peer addresses from its settings.
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
            session: seed.derive(SESSION).0 as u32,
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

    /// The next incarnation of the same process, after [`Action::Fenced`] or at a pause: it keeps what it knows of others.
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

    /// Puts the own state among the items, to be told with the first tick.
    fn add_own_status(&mut self, now: Millis) {
        let body = Body::Status(self.own_status.clone());
        self.put(now, body, &mut Vec::new());
    }

    /// With other periods and bounds.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// The nodes known.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own_status.node.incarnation
    }

    /// Whether this incarnation was declared gone.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// The newest head known.
    pub fn head(&self) -> Option<Head> {
        match self.store.get(&Key::Head)?.body {
            Body::Head(head) => Some(head),
            _ => None,
        }
    }

    /// The platform's newest answer to anyone, as far as it is known here.
    pub fn confirmed(&self, now: Millis) -> Option<Confirmed> {
        self.freshness.confirmed(now)
    }

    /// What is held under `key`.
    pub fn get(&self, key: &Key) -> Option<&Body> {
        self.store.get(key).map(|stored| &stored.body)
    }

    /// All that is held.
    pub fn bodies(&self) -> impl Iterator<Item = &Body> {
        self.store.iter().map(|stored| &stored.1.body)
    }

    /// Number of items held.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether nothing is held; the own state always is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How much of the fleet is in reach.
    pub fn reach(&self, now: Millis) -> Reach {
        let within = self.settings.zone_timeout;
        let is_me = |node: &Node| node.incarnation == self.incarnation();
        let is_recent = |node: &Node| self.freshness.is_recent(now, within, freshness::zone_hash(node));
        let reachable = self.view.reachable().map(crate::view::Member::node);
        Reach {
            reachable: reachable.filter(|node| is_me(node) || is_recent(node)).count(),
            known: self.view.present().count(),
        }
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.detect_pause(now);
        match event {
            Event::Receive(frame) => self.receive(now, frame, &mut actions),
            Event::Put(body) => self.put(now, body, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            Event::Reachable(node) => self.record_contact(now, node, &mut actions),
            Event::Unreachable(node) => self.suspect(now, node, &mut actions),
            Event::Registered(listed) => self.handle_registrations(now, &listed, &mut actions),
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

    /// Computes peers and watches anew after the view has changed.
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
