//! Actor for rollout controllers. Each endpoint has one active controller, on the node that holds its role.

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

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(500);

/// Ticks between repeated announcements, which keep gossiped items from expiring.
const TICKS_PER_ANNOUNCEMENT: u32 = 20;

/// Arguments for starting the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Seed for random choices.
    pub seed: Seed,
    /// Clock of the process.
    pub clock: Clock,
    /// Routing actor, which chooses versions and collects evidence.
    pub traffic: ActorRef<Traffic>,
    /// Handles to the other components; `None` until all of them exist.
    pub shared: watch::Receiver<Option<Shared>>,
}

/// Drives the roles and rollout controllers of all endpoints.
#[derive(Debug)]
pub struct Rollouts {
    incarnation: Incarnation,
    seed: Seed,
    clock: Clock,
    traffic: ActorRef<Traffic>,
    shared: watch::Receiver<Option<Shared>>,
    self_ref: WeakActorRef<Self>,
    slots: IndexMap<Name, Slot>,
    /// Announced controller of each endpoint.
    holders: IndexMap<Name, announcement::Holder>,
    lease: Option<Lease>,
    ticks: u32,
    /// Time at which this node next sends its evidence.
    next_report: Millis,
}

/// Lease of this node's registration.
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

    /// Handles to the other components; `None` until the node has started.
    fn shared(&self) -> Option<Shared> {
        self.shared.borrow().clone()
    }

    /// Adds a slot for each endpoint of the catalogue and drops those of removed endpoints.
    fn reconcile(&mut self, shared: &Shared) {
        let snapshot = shared.snapshot();
        let Some(catalogue) = &snapshot.catalogue else {
            return;
        };
        self.slots
            .retain(|endpoint, _slot| catalogue.endpoint(endpoint.as_str()).is_some());
        for (index, endpoint) in catalogue.endpoints.iter().enumerate() {
            let seed = self.seed.derive(index as u64);
            let slot = || Slot::new(endpoint, self.incarnation, seed);
            self.slots.entry(endpoint.name.clone()).or_insert_with(slot);
        }
    }
}
