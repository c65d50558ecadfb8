//! Routing actor: decides which replica gets a request and when, and which requests are refused.

pub mod arrive;
pub mod catalogue;
pub mod order;
pub mod replica;
pub mod report;
pub mod rollout;
pub mod tick;

use std::convert::Infallible;
use std::sync::Arc;

use ::rollout::{Assignment, Guard, Id, Split, Veto};
use base::{Millis, Name, Seed};
use indexmap::IndexMap;
use kameo::Actor;
use kameo::actor::ActorRef;
use rand::RngExt;
use route::{Action, CallKey, DispatchId, EndpointKey, Event, ReplicaKey, Router, WorkspaceKey};
use tokio::sync::mpsc;

use ::catalogue::Catalogue;
pub use arrive::Arrive;
pub use catalogue::{Apply, Resize};
use clock::Clock;
pub use order::{Order, Target};
pub use replica::{Replica, ReplicasListed};
pub use report::{OpenRequests, Report, Status};
pub use tick::Tick;

/// Arguments for starting the actor.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Seed for random choices.
    pub seed: Seed,
    /// Availability zone of this node.
    pub zone: Name,
    /// Clock of the process.
    pub clock: Clock,
    /// Incarnation of this node.
    pub incarnation: base::Incarnation,
    /// Channel for vetoes of this node.
    pub vetoes: mpsc::Sender<Veto>,
}

/// A workspace that uses an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointWorkspace {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Name of the workspace.
    pub workspace: Name,
}

/// An open request.
#[derive(Debug)]
struct Call {
    orders: mpsc::Sender<Order>,
    endpoint: Name,
    route: Name,
    assignment: Option<Assignment>,
    /// The version chosen by the rollout's split or, without a rollout, the stable version.
    version: Option<Name>,
    arrived: Millis,
}

/// Labels of a dispatch that counts as evidence about a version. Only the first dispatch to the chosen
/// version does.
#[derive(Clone, Debug)]
struct Evidence {
    endpoint: Name,
    route: Name,
    assignment: Option<Assignment>,
}

/// A dispatch in progress.
#[derive(Clone, Debug)]
struct ActiveDispatch {
    call: CallKey,
    replica: ReplicaKey,
    started: Millis,
    evidence: Option<Evidence>,
}

/// Drives the router, and the rollout split and guard.
#[derive(Debug)]
pub struct Traffic {
    clock: Clock,
    router: Router,
    split: Split,
    guard: Guard,
    generator: base::seed::Generator,
    catalogue: Option<Arc<Catalogue>>,
    nodes: u32,
    endpoints: IndexMap<Name, EndpointKey>,
    workspaces: IndexMap<EndpointWorkspace, WorkspaceKey>,
    replicas: IndexMap<replica::Identity, Replica>,
    identities: IndexMap<ReplicaKey, replica::Identity>,
    calls: IndexMap<CallKey, Call>,
    dispatches: IndexMap<DispatchId, ActiveDispatch>,
    next_call: u64,
    rollouts: IndexMap<Name, Id>,
    vetoes: mpsc::Sender<Veto>,
    actions: Vec<Action>,
}

impl Actor for Traffic {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        tick::start(&actor);
        Ok(Self {
            clock: arguments.clock,
            router: Router::new(arguments.seed).with_zone(&arguments.zone),
            split: Split::new(),
            guard: Guard::new(arguments.incarnation),
            generator: arguments.seed.derive(1).generator(),
            catalogue: None,
            nodes: 1,
            endpoints: IndexMap::new(),
            workspaces: IndexMap::new(),
            replicas: IndexMap::new(),
            identities: IndexMap::new(),
            calls: IndexMap::new(),
            dispatches: IndexMap::new(),
            next_call: 0,
            rollouts: IndexMap::new(),
            vetoes: arguments.vetoes,
            actions: Vec::new(),
        })
    }
}

impl Traffic {
    fn random(&mut self) -> u64 {
        self.generator.random()
    }

    /// Steps the router and performs its actions.
    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.router.step(now, event, &mut actions);
        self.perform(now, &mut actions);
        self.actions = actions;
    }

    fn perform(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Dispatch(dispatch) => self.start_dispatch(dispatch),
                Action::Cancel { dispatch } => {
                    self.send_order(self.call_of(dispatch), Order::Cancel(dispatch));
                }
                Action::Complete { call, dispatch } => {
                    self.end_call(now, call, Order::Answered(dispatch));
                }
                Action::Refuse { call, refusal } => {
                    metrics::counter!("bilberrylatch_refusals_total", "reason" => refusal.reason.as_str())
                        .increment(1);
                    self.end_call(now, call, Order::Refuse(refusal));
                }
            }
        }
    }

    fn start_dispatch(&mut self, dispatch: route::action::Dispatch) {
        let target = self
            .identities
            .get(&dispatch.replica)
            .and_then(|identity| self.replicas.get(identity));
        let Some(target) = target.map(|replica| Target::new(dispatch, replica)) else {
            return;
        };
        if let Some(cause) = dispatch.cause {
            metrics::counter!("bilberrylatch_retries_total", "cause" => cause.as_str()).increment(1);
        }
        let evidence = self.evidence(&dispatch, &target);
        if let Some(evidence) = &evidence {
            self.record_start(evidence);
        }
        let started = self.clock.now();
        self.dispatches.insert(
            dispatch.id,
            ActiveDispatch {
                call: dispatch.call,
                replica: dispatch.replica,
                started,
                evidence,
            },
        );
        self.send_order(Some(dispatch.call), Order::Dispatch(target));
    }

    fn evidence(&self, dispatch: &route::action::Dispatch, target: &Target) -> Option<Evidence> {
        let call = self.calls.get(&dispatch.call)?;
        let drawn = call.version.as_ref() == Some(&target.version);
        (dispatch.attempt == 1 && drawn).then(|| Evidence {
            endpoint: call.endpoint.clone(),
            route: call.route.clone(),
            assignment: call.assignment,
        })
    }

    fn call_of(&self, dispatch: DispatchId) -> Option<CallKey> {
        self.dispatches.get(&dispatch).map(|active| active.call)
    }

    fn send_order(&self, call: Option<CallKey>, order: Order) {
        let Some(call) = call.and_then(|call| self.calls.get(&call)) else {
            return;
        };
        // The channel is full or closed only if the driver has ended, which is reported separately.
        let _gone = call.orders.try_send(order);
    }

    fn end_call(&mut self, now: Millis, key: CallKey, order: Order) {
        let Some(call) = self.calls.swap_remove(&key) else {
            return;
        };
        let elapsed_s = now.since(call.arrived).0 as f64 / 1000.0;
        let endpoint = call.endpoint.to_string();
        metrics::histogram!("bilberrylatch_request_seconds", "endpoint" => endpoint).record(elapsed_s);
        let _gone = call.orders.try_send(order);
    }
}
