//! Actor for cluster membership, gossip and the generation of the catalogue.

pub mod message;
pub mod status;
pub mod text;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use base::{Incarnation, Millis, Seed};
use bytes::Bytes;
use indexmap::IndexMap;
use kameo::Actor;
use kameo::actor::ActorRef;
use member::generation::Digest;
use member::gossip::{Action, Event};
use member::item::Body;
use member::{Config, Generation, Gossip, Node, config};
use tokio::sync::{mpsc, watch};

use crate::actor::ticker;
use crate::actor::{Rollouts, Traffic, rollouts, traffic};
use crate::lifecycle::{Lifecycle, Phase};
use crate::retained::Retained;
use crate::serving::Serving;
use crate::snapshot::Snapshot;
use clock::Clock;
pub use message::{
    Gossiped, HeadRead, Leaving, Locate, Mark, Publish, RegistrationsListed, Renewed, Retain, Stopped, Tick,
    Veto, VmsListed,
};
pub use status::{Addresses, NodeView, Nodes, Propagation};
pub use text::{Query, TextRead};

/// Interval between ticks, which is that of the gossip.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between requests for a missing text.
const TICKS_PER_FETCH: u32 = 10;

/// Maximum number of stopped nodes whose successor is remembered.
const MAX_SUCCESSORS: usize = 16_384;

/// Validity of a published [`Serving`] state.
const SERVING_TTL: Millis = Millis::from_secs(3);

/// Arguments for starting the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Description of this node.
    pub node: Node,
    /// Addresses of peers to contact at the start.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Seed for random choices.
    pub seed: Seed,
    /// Clock of the process.
    pub clock: Clock,
    /// Transport to peers.
    pub peers: wire::Transport,
    /// Routing actor, which applies catalogues and leaving marks.
    pub traffic: ActorRef<Traffic>,
    /// Rollout actor, which receives vetoes and announcements.
    pub rollouts: ActorRef<Rollouts>,
    /// Publishes the catalogue in force.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// Publishes whether this node may accept new work.
    pub serving: watch::Sender<Serving>,
    /// Lifecycle of the node; the actor fences it when other nodes may have declared it gone.
    pub lifecycle: Lifecycle,
    /// State retained from the previous incarnation of this process.
    pub retained: Option<Retained>,
    /// Queries to send to the platform.
    pub queries: mpsc::Sender<Query>,
}

/// Drives the state machines of gossip and configuration.
#[derive(Debug)]
pub struct Members {
    clock: Clock,
    gossip: Gossip,
    config: Config,
    peers: wire::Transport,
    traffic: ActorRef<Traffic>,
    rollouts: ActorRef<Rollouts>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    serving: watch::Sender<Serving>,
    queries: mpsc::Sender<Query>,
    lifecycle: Lifecycle,
    /// Parsed catalogues that are not applied yet, by generation.
    checked: IndexMap<Generation, Snapshot>,
    /// Digests of known generations.
    digests: IndexMap<Generation, Digest>,
    node: Node,
    ticks: u32,
    /// Successors that took over the keys of stopped nodes, oldest first.
    successors: IndexMap<Incarnation, Incarnation>,
}

impl Actor for Members {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let Arguments {
            node,
            seeds,
            seed,
            clock,
            peers,
            traffic,
            rollouts,
            snapshot,
            serving,
            queries,
            lifecycle,
            retained,
        } = arguments;
        ticker::start(&actor, TICK, Tick);
        let (gossip, config) = match retained {
            Some(retained) => (
                retained
                    .gossip
                    .with_incarnation(clock.now(), node.incarnation, node.epoch),
                retained.config,
            ),
            None => (
                Gossip::new(node.clone(), seeds, seed),
                Config::new(config::Settings::new()),
            ),
        };
        if let Some(catalogue) = &snapshot.borrow().catalogue {
            let nodes = gossip.view().present().count() as u32;
            let apply = traffic::Apply {
                catalogue: Arc::clone(catalogue),
                nodes,
            };
            let _gone = traffic.tell(apply).try_send();
        }
        Ok(Self {
            clock,
            gossip,
            config,
            peers,
            traffic,
            rollouts,
            snapshot,
            serving,
            queries,
            lifecycle,
            checked: IndexMap::new(),
            digests: IndexMap::new(),
            node,
            ticks: 0,
            successors: IndexMap::new(),
        })
    }
}

impl Members {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    async fn step(&mut self, event: Event) {
        let now = self.now();
        let actions = self.gossip.step(now, event);
        self.perform_all(now, actions).await;
    }

    async fn step_config(&mut self, event: config::Event) {
        let now = self.now();
        let actions = self.config_actions(now, event).await;
        self.perform_all(now, actions).await;
    }

    async fn perform_all(&mut self, now: Millis, actions: Vec<Action>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            pending.extend(self.perform(now, action).await);
        }
    }

    /// Performs an action and returns the actions that follow from it.
    async fn perform(&mut self, now: Millis, action: Action) -> Vec<Action> {
        match action {
            Action::Send { to, frame } => self.send(to, &frame),
            Action::Learned(body) => return self.handle_item(now, body).await,
            Action::Exchanged { serving, .. } => {
                return self.config_actions(now, config::Event::Peer(serving)).await;
            }
            Action::Fetched { digest, bytes } => return self.receive_text(now, digest, &bytes).await,
            Action::Fenced => return self.config_actions(now, config::Event::Fenced).await,
            Action::NodeUp(node) => self.log_state(node, "up"),
            Action::NodeLeaving(node) => self.log_state(node, "leaving"),
            Action::NodeSuspect(node) => self.log_state(node, "suspect"),
            Action::NodeGone(node) => self.log_state(node, "gone"),
        }
        Vec::new()
    }

    fn record_successor(&mut self, report: &Bytes) {
        let Ok(rollouts::Announcement::Successor { home, successor }) = wire::decode(report) else {
            return;
        };
        self.successors.insert(home, successor);
        if self.successors.len() > MAX_SUCCESSORS {
            self.successors.shift_remove_index(0);
        }
    }

    fn log_state(&self, node: Incarnation, state: &str) {
        let name = self
            .gossip
            .view()
            .member(node)
            .map(|member| member.node().name.to_string());
        log::info!(state = state, incarnation = node.to_string(); "node {} {state}", name.unwrap_or_default());
    }

    fn send(&self, to: std::net::SocketAddr, frame: &member::Frame) {
        let Ok(bytes) = wire::encode(frame) else { return };
        metrics::counter!("bilberrylatch_peer_bytes_total", "kind" => "gossip").increment(bytes.len() as u64);
        let peers = self.peers.clone();
        tokio::spawn(async move {
            let frame = wire::Frame::Gossip(Bytes::from(bytes));
            if let Err(error) = peers.send(to, &frame).await {
                log::debug!("failed to send a gossip frame to {to}: {error}");
            }
        });
    }

    async fn handle_item(&mut self, now: Millis, body: Body) -> Vec<Action> {
        match body {
            Body::Head(head) => {
                self.digests.insert(head.generation, head.digest);
                let mut actions = self
                    .config_actions(now, config::Event::Known(head.generation))
                    .await;
                // NB: if the generation was known before its digest, its text has not been requested yet.
                actions.extend(self.fetch_missing(now));
                return actions;
            }
            Body::Mark { vm, ended: false } => {
                // A node that does not watch notices learns about its own reclaim from this mark.
                if vm.name == self.node.name && self.lifecycle.is_vm(vm.incarnation) {
                    self.lifecycle.begin_leaving(None);
                }
                let identity = traffic::replica::Identity {
                    vm: vm.name,
                    incarnation: vm.incarnation,
                };
                let _gone = self.traffic.tell(traffic::replica::Leave { identity }).await;
            }
            Body::Veto { evidence, .. } => {
                if let Ok(veto) = wire::decode(&evidence) {
                    let _gone = self.rollouts.tell(rollouts::Vetoed(Box::new(veto))).await;
                }
                let _gone = self.traffic.tell(traffic::rollout::PeerVeto(evidence)).await;
            }
            Body::Demand { report, .. } => {
                self.record_successor(&report);
                let _gone = self.rollouts.tell(rollouts::Announced(report)).await;
            }
            Body::Mark { ended: true, .. } | Body::Status(_) | Body::Applied { .. } => {}
        }
        Vec::new()
    }

    async fn config_actions(&mut self, now: Millis, event: config::Event) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.config.step(now, event) {
            match action {
                config::Action::Sync => {
                    actions.extend(self.gossip.step(now, Event::Sync));
                    self.query(Query::Head);
                }
                config::Action::Fetch(generation) => actions.extend(self.fetch(now, generation)),
                config::Action::Apply(generation) => actions.extend(self.apply(now, generation).await),
                // A node that stops gracefully is declared gone as well, so this is expected.
                config::Action::Fence if self.lifecycle.phase() > Phase::Serving => {}
                config::Action::Fence => {
                    log::error!("this incarnation may have been declared gone; starting a new one");
                    self.lifecycle.fence();
                }
            }
        }
        self.publish_serving(now);
        actions
    }

    fn publish_serving(&self, now: Millis) {
        let serving = Serving {
            result: self.config.serving(now),
            valid_until: now + SERVING_TTL,
        };
        self.serving.send_replace(serving);
    }

    fn query(&self, query: Query) {
        // The queue is full only while the platform is slow; the query is repeated later.
        let _full = self.queries.try_send(query);
    }

    async fn tick(&mut self) {
        let now = self.now();
        self.step(Event::Tick).await;
        let reach = self.gossip.reach(now);
        self.step_config(config::Event::Reach(reach)).await;
        if let Some(confirmed) = self.gossip.confirmed(now) {
            self.step_config(config::Event::Confirmed(confirmed)).await;
        }
        self.step_config(config::Event::Tick).await;
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(TICKS_PER_FETCH) {
            metrics::gauge!("bilberrylatch_peer_wire_bytes").set(self.peers.sent_bytes() as f64);
            let nodes = self.gossip.view().present().count() as u32;
            let _gone = self.traffic.tell(traffic::Resize(nodes)).await;
            let actions = self.fetch_missing(now);
            self.perform_all(now, actions).await;
        }
        if let Some(generation) = self.config.applied() {
            let serving = self.config.serving(now).is_ok();
            self.step(Event::Applied { generation, serving }).await;
        }
        metrics::gauge!("bilberrylatch_nodes_known").set(reach.known as f64);
        metrics::gauge!("bilberrylatch_nodes_reachable").set(reach.reachable as f64);
    }
}
