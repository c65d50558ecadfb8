//! A plain record of what happened, against which each action is checked.

use base::{Millis, Outcome};
use indexmap::IndexMap;
use route::action::{Action, Dispatch};
use route::refusal::{Reason, Refusal};
use route::{Arrival, CallKey, DispatchId, ReplicaKey, Router, VersionKey, WorkspaceKey};

/// What is true of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub arrival: Arrival,
    pub ended: bool,
    pub flight: Option<DispatchId>,
    pub attempts: u8,
    pub losses: u8,
    pub may_have_run: bool,
    pub delivered: u32,
    pub deadline: Millis,
}

/// What is true of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub version: VersionKey,
    pub capacity: u32,
    pub live: bool,
    pub in_flight: u32,
    pub reported: bool,
}

/// What is true of a dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    pub call: CallKey,
    pub replica: ReplicaKey,
    pub workspace: WorkspaceKey,
    pub sent: bool,
    pub first: bool,
    pub cancelled: bool,
}

/// Retries of one endpoint or workspace.
#[derive(Debug, Default)]
pub struct Retries {
    firsts: u32,
    retries: u32,
}

/// The record.
#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: IndexMap<CallKey, Request>,
    pub machines: IndexMap<ReplicaKey, Machine>,
    pub flights: IndexMap<DispatchId, Flight>,
    pub shares: IndexMap<WorkspaceKey, u32>,
    pub used: IndexMap<WorkspaceKey, u32>,
    pub endpoint_removed: bool,
    pub max_attempts: u8,
    retries: Retries,
    retries_of: IndexMap<WorkspaceKey, Retries>,
    last_id: u64,
    /// Requests whose last dispatch ended on a lost replica, so that the next one is free of the budget.
    pub lost: IndexMap<CallKey, bool>,
}

impl Oracle {
    pub fn check(&mut self, now: Millis, router: &Router, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatched(now, router, dispatch),
            Action::Cancel { dispatch } => self.cancelled(dispatch),
            Action::Complete { call, dispatch } => self.answered(call, dispatch),
            Action::Refuse { call, refusal } => self.refused(call, refusal),
        }
    }

    fn dispatched(&mut self, now: Millis, router: &Router, dispatch: Dispatch) {
        let request = &mut self.requests[&dispatch.call];
        assert!(!request.ended, "dispatched after its end");
        assert_eq!(request.flight, None, "two dispatches at once");
        assert!(now < request.deadline, "dispatched after its deadline");
        assert!(
            request.arrival.idempotent || !request.may_have_run,
            "may run twice"
        );
        assert_eq!(dispatch.attempt, request.attempts + 1);
        assert_eq!(
            dispatch.delivered, request.delivered,
            "resumed at the wrong token"
        );
        assert_eq!(dispatch.cause.is_some(), request.attempts > 0);
        assert!(dispatch.id.0 > self.last_id, "id used twice");
        let machine = &mut self.machines[&dispatch.replica];
        assert!(machine.live, "dispatched to a replica that leaves");
        let wanted = request
            .arrival
            .version
            .is_none_or(|version| version == machine.version);
        assert!(
            wanted || request.arrival.fallback == Some(machine.version),
            "wrong version"
        );
        machine.in_flight += 1;
        let view = router.replica(dispatch.replica).expect("a live replica is known");
        assert!(machine.in_flight as f32 <= view.limit, "over the replica's limit");
        assert!(!view.probing || machine.in_flight == 1, "two probes at once");
        assert!(!view.ejected, "dispatched to an ejected replica");
        assert!(view.limit <= 4.0 * machine.capacity as f32 && view.limit >= 1.0);
        let used = self.used.entry(request.arrival.workspace).or_default();
        *used += 1;
        assert!(
            *used <= self.shares[&request.arrival.workspace],
            "over the workspace's share"
        );
        request.attempts += 1;
        let counted = request.attempts - request.losses;
        assert!(counted <= self.max_attempts, "too many attempts");
        request.flight = Some(dispatch.id);
        self.last_id = dispatch.id.0;
        let flight = Flight {
            call: dispatch.call,
            replica: dispatch.replica,
            workspace: request.arrival.workspace,
            sent: false,
            first: false,
            cancelled: false,
        };
        self.flights.insert(dispatch.id, flight);
        let is_free = self.lost.swap_remove(&dispatch.call).unwrap_or(false);
        let is_first = dispatch.attempt == 1;
        self.retries.count(is_first, is_free);
        self.retries_of
            .entry(flight.workspace)
            .or_default()
            .count(is_first, is_free);
    }

    fn cancelled(&mut self, dispatch: DispatchId) {
        let flight = &mut self.flights[&dispatch];
        assert!(!flight.cancelled, "cancelled twice");
        flight.cancelled = true;
    }

    fn answered(&mut self, call: CallKey, dispatch: DispatchId) {
        let request = &mut self.requests[&call];
        assert!(!request.ended, "answered after its end");
        assert_eq!(request.flight, Some(dispatch), "answered by another dispatch");
        request.ended = true;
    }

    fn refused(&mut self, call: CallKey, refusal: Refusal) {
        let request = &mut self.requests[&call];
        assert!(!request.ended, "refused after its end");
        request.ended = true;
        let expected = if request.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        assert_eq!(refusal.outcome, expected, "{:?}", refusal.reason);
        let is_final = matches!(
            refusal.reason,
            Reason::MayHaveRun | Reason::NoEndpoint | Reason::NoWorkspace
        );
        assert_eq!(refusal.retry_after.is_none(), is_final, "{:?}", refusal.reason);
        match refusal.reason {
            Reason::MayHaveRun => assert!(request.may_have_run && !request.arrival.idempotent),
            Reason::NoEndpoint => assert!(self.endpoint_removed),
            Reason::NoWorkspace => assert!(!self.shares.contains_key(&request.arrival.workspace)),
            Reason::NoReplica => {
                let arrival = request.arrival;
                assert!(!self.has_live(&arrival), "refused though a replica is live");
            }
            _ => {}
        }
    }

    fn has_live(&self, arrival: &Arrival) -> bool {
        let accepts = |machine: &Machine| {
            arrival.version.is_none_or(|version| version == machine.version)
                || arrival.fallback == Some(machine.version)
        };
        self.machines
            .values()
            .any(|machine| machine.live && accepts(machine))
    }

    /// What must be true after each step.
    pub fn check_rest(&self, now: Millis, router: &Router) {
        for request in self.requests.values().filter(|request| !request.ended) {
            let Some(flight) = request.flight else {
                assert!(now < request.deadline, "held back past its deadline");
                assert!(
                    router.wake_at().is_some_and(|at| at <= request.deadline),
                    "nobody wakes for it"
                );
                assert!(
                    !self.is_stranded(request),
                    "held back though nothing can serve it"
                );
                self.check_no_idle(router, request);
                continue;
            };
            let flight = &self.flights[&flight];
            assert!(
                flight.first || flight.cancelled || now < request.deadline,
                "not cancelled"
            );
        }
        self.retries.check("endpoint");
        for retries in self.retries_of.values() {
            retries.check("workspace");
        }
        let live = self.machines.values().filter(|machine| machine.live).count();
        let ejected = |key: &&ReplicaKey| {
            router
                .replica(**key)
                .is_some_and(|view| view.ejected && !view.leaving)
        };
        let ejected = self.machines.keys().filter(ejected).count();
        assert!(
            ejected <= (live * 3 / 10).max(usize::from(live > 1)),
            "too many ejected"
        );
    }

    /// Whether the request was never sent and can't be, or lost its endpoint or workspace.
    fn is_stranded(&self, request: &Request) -> bool {
        let has_workspace = self.shares.contains_key(&request.arrival.workspace);
        let has_hope = request.attempts > 0 || self.has_live(&request.arrival);
        self.endpoint_removed || !has_workspace || !has_hope
    }

    /// A first dispatch never waits while a replica is known to be idle and its workspace below its share.
    fn check_no_idle(&self, router: &Router, request: &Request) {
        let workspace = request.arrival.workspace;
        let used = self.used.get(&workspace).copied().unwrap_or_default();
        let has_share = self.shares.get(&workspace).is_some_and(|share| used < *share);
        if request.attempts > 0 || !has_share {
            return;
        }
        for (key, machine) in &self.machines {
            let accepted = request
                .arrival
                .version
                .is_none_or(|version| version == machine.version);
            let view = router.replica(*key);
            let is_open = view.is_some_and(|view| !view.ejected && !view.leaving);
            let is_idle = is_open && !machine.reported && machine.in_flight == 0;
            assert!(
                !accepted || !is_idle,
                "{:?} waits while {key:?} is idle",
                request.arrival.call
            );
        }
    }
}

impl Retries {
    fn count(&mut self, is_first: bool, is_free: bool) {
        self.firsts += u32::from(is_first);
        self.retries += u32::from(!is_first && !is_free);
    }

    /// Ten retries at the start and one for each ten first dispatches.
    fn check(&self, of: &str) {
        assert!(
            self.retries <= 10 + self.firsts / 10,
            "{of}'s retry budget overdrawn: {self:?}"
        );
    }
}
