//! Rollout controllers: one an endpoint, on whichever node holds the endpoint's role.

pub mod announcement;
pub mod command;
mod control;
pub mod message;
mod publish;
mod roles;
pub mod slot;

use std::convert::Infallible;
use std::time::Duration;

use base::{Incarnation, Millis, Name, Seed};
use indexmap::IndexMap;
use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use member::role;
use tokio::sync::watch;

use crate::actor::Traffic;
use crate::actor::ticker;
use crate::shared::Shared;
pub use announcement::Announcement;
use clock::Clock;
pub use command::{Command, Reply};
pub use message::{
    Announced, Leased, Report, RoleRead, RoleWritten, RolloutRead, RolloutWritten, Tick, Vetoed,
};
use slot::Slot;

/// Span between two ticks.
const TICK: Duration = Duration::from_millis(500);

/// Ticks between two announcements of the same shares, so that they outlive their time to live.
const TICKS_PER_ANNOUNCEMENT: u32 = 20;

/// What a node is started with.
#[derive(Debug)]
pub struct Arguments {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Seed of random choices.
    pub seed: Seed,
    /// The process's clock.
    pub clock: Clock,
    /// Routing, which draws versions and gathers evidence.
    pub traffic: ActorRef<Traffic>,
    /// What the node's parts share, once it is complete.
    pub shared: watch::Receiver<Option<Shared>>,
}

/// Carries events of rollouts into roles and controllers.
#[derive(Debug)]
pub struct Rollouts {
    incarnation: Incarnation,
    seed: Seed,
    clock: Clock,
    traffic: ActorRef<Traffic>,
    shared: watch::Receiver<Option<Shared>>,
    self_ref: WeakActorRef<Self>,
    slots: IndexMap<Name, Slot>,
    /// Which node controls which endpoint, as announced.
    holders: IndexMap<Name, announcement::Holder>,
    lease: Option<Lease>,
    ticks: u32,
    /// When this node's evidence is due next.
    next_report: Millis,
}

/// The node's own lease, that of its registration.
#[derive(Clone, Copy, Debug)]
struct Lease {
    lease: role::Lease,
    until: Millis,
}

impl Actor for Rollouts {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        ticker::start(&actor, TICK, Tick);
        let Arguments {
            incarnation,
            seed,
            clock,
            traffic,
            shared,
        } = arguments;
        Ok(Self {
            incarnation,
            seed,
            clock,
            traffic,
            shared,
            self_ref: actor.downgrade(),
            slots: IndexMap::new(),
            holders: IndexMap::new(),
            lease: None,
            ticks: 0,
            next_report: Millis::ZERO,
        })
    }
}

impl Rollouts {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// What the node's parts share; none in the first moments.
    fn shared(&self) -> Option<Shared> {
        self.shared.borrow().clone()
    }

    /// A slot for each endpoint of the catalogue; endpoints that are gone lose theirs.
    fn reconcile(&mut self, shared: &Shared) {
        let snapshot = shared.snapshot();
        let Some(catalogue) = &snapshot.catalogue else {
            return;
        };
        self.slots
            .retain(|endpoint, _seat| catalogue.endpoint(endpoint.as_str()).is_some());
        for (index, endpoint) in catalogue.endpoints.iter().enumerate() {
            let seed = self.seed.derive(index as u64);
            let slot = || Slot::new(endpoint, self.incarnation, seed);
            self.slots.entry(endpoint.name.clone()).or_insert_with(slot);
        }
    }
}
