//! Messages about requests and their dispatches.

use base::{Millis, Name};
use kameo::message::{Context, Message};
use route::arrival::Priority;
use route::event::Finish;
use route::failure::Kind;
use route::{Arrival, CallKey, DispatchId, Event, Prefix};
use tokio::sync::mpsc;

use super::{Call, EndpointWorkspace, Order, Traffic};

/// Submits a request and replies with its key. The request's end arrives as an [`Order`].
#[derive(Debug)]
pub struct Arrive {
    /// Requested endpoint.
    pub endpoint: Name,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Name of the route, for rollouts.
    pub route: Name,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the answer must begin.
    pub deadline: Millis,
    /// Priority among the requests of the workspace.
    pub priority: Priority,
    /// Prompt prefix that may be cached at a replica.
    pub prefix: Option<Prefix>,
    /// Number of tokens already delivered to the caller.
    pub delivered: u32,
    /// Channel for orders to the driver.
    pub orders: mpsc::Sender<Order>,
}

impl Message<Arrive> for Traffic {
    type Reply = Result<CallKey, std::convert::Infallible>;

    async fn handle(&mut self, arrive: Arrive, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.next_call += 1;
        let key = CallKey(self.next_call);
        let random = self.random();
        let stable = self.stable_version(&arrive.endpoint);
        let choice = self.split.choose(&arrive.endpoint, &arrive.route, random);
        let assignment = choice.map(|choice| choice.assignment);
        let version = choice
            .map(|choice| choice.version.clone())
            .or_else(|| stable.clone());
        let pair = EndpointWorkspace {
            endpoint: arrive.endpoint.clone(),
            workspace: arrive.workspace,
        };
        let endpoint = self.endpoints.get(&arrive.endpoint).copied().unwrap_or_default();
        let workspace = self.workspaces.get(&pair).copied().unwrap_or_default();
        let mut arrival = Arrival::new(key, endpoint, workspace, arrive.deadline)
            .with_idempotent(arrive.idempotent)
            .with_priority(arrive.priority)
            .with_delivered(arrive.delivered);
        if let Some(prefix) = arrive.prefix {
            arrival = arrival.with_prefix(prefix);
        }
        if let Some(version) = &version {
            let fallback = stable
                .filter(|stable| stable != version)
                .map(|stable| self.router.version_key(&stable));
            arrival = arrival.with_version(self.router.version_key(version), fallback);
        }
        let call = Call {
            orders: arrive.orders,
            endpoint: arrive.endpoint,
            route: arrive.route,
            assignment,
            version: version.clone(),
            arrived: self.clock.now(),
        };
        self.calls.insert(key, call);
        self.step(Event::Arrive(arrival));
        Ok(key)
    }
}

/// Reports the first byte or token of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Began(pub DispatchId);

impl Message<Began> for Traffic {
    type Reply = ();

    async fn handle(&mut self, began: Began, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::FirstToken { dispatch: began.0 });
    }
}

/// Reports that a dispatch ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Id of the dispatch.
    pub dispatch: DispatchId,
    /// The result.
    pub finish: Finish,
    /// Whether the replica answered with a server error.
    pub server_error: bool,
}

impl Message<Finished> for Traffic {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _context: &mut Context<Self, Self::Reply>) {
        let Finished {
            dispatch,
            finish,
            server_error,
        } = finished;
        let active = self.dispatches.swap_remove(&dispatch);
        self.step(Event::Finished { dispatch, finish });
        let Some(active) = active else { return };
        let Some(evidence) = active.evidence else { return };
        let identity = self.identities.get(&active.replica);
        let leaving = identity
            .and_then(|identity| self.replicas.get(identity))
            .is_none_or(|replica| replica.leaving);
        // NB: dispatches cut off by a leaving VM are not evidence about its version.
        let failed = server_error || (counts_against_version(finish) && !leaving);
        self.record_end(evidence, active.started, failed);
    }
}

/// Whether an outcome counts against the version rather than the VM that it ran on.
const fn counts_against_version(finish: Finish) -> bool {
    match finish {
        Finish::Complete => false,
        Finish::Interrupted { .. } => true,
        Finish::Failed(failure) => match failure.kind {
            Kind::Reset | Kind::Timeout | Kind::ServerError | Kind::Mismatch => true,
            Kind::Refused | Kind::Connect | Kind::Rejected | Kind::Cancelled => false,
        },
    }
}

/// Reports that the caller has disconnected.
#[derive(Clone, Copy, Debug)]
pub struct Cancelled(pub CallKey);

impl Message<Cancelled> for Traffic {
    type Reply = ();

    async fn handle(&mut self, cancelled: Cancelled, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Cancelled { call: cancelled.0 });
        self.calls.swap_remove(&cancelled.0);
    }
}
