//! Reference model of the router: records what happened and checks each action against it.

use base::{Millis, Outcome};
use indexmap::IndexMap;
use route::action::{Action, Dispatch};
use route::refusal::{Reason, Refusal};
use route::{Arrival, CallKey, DispatchId, ReplicaKey, Router, VersionKey, WorkspaceKey};

/// Expected state of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub arrival: Arrival,
    pub ended: bool,
    pub running: Option<DispatchId>,
    pub attempts: u8,
    pub lost_attempts: u8,
    pub may_have_run: bool,
    pub delivered: u32,
    pub deadline: Millis,
}

/// Expected state of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaState {
    pub version: VersionKey,
    pub capacity: u32,
    pub live: bool,
    pub in_flight: u32,
    pub reported: bool,
}

/// Expected state of a dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub call: CallKey,
    pub replica: ReplicaKey,
    pub workspace: WorkspaceKey,
    pub sent: bool,
    pub first_token: bool,
    pub cancelled: bool,
}

/// Dispatch counts of one endpoint or workspace.
#[derive(Debug, Default)]
pub struct Retries {
    first_dispatches: u32,
    retries: u32,
}

/// Expected state of the router.
#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: IndexMap<CallKey, Request>,
    pub replicas: IndexMap<ReplicaKey, ReplicaState>,
    pub attempts: IndexMap<DispatchId, Attempt>,
    pub shares: IndexMap<WorkspaceKey, u32>,
    pub workspace_in_flight: IndexMap<WorkspaceKey, u32>,
    pub endpoint_removed: bool,
    pub max_attempts: u8,
    retries: Retries,
    workspace_retries: IndexMap<WorkspaceKey, Retries>,
    last_dispatch_id: u64,
    /// Whether the last dispatch of a request was to a lost replica, in which case the retry does not use the budget.
    pub last_attempt_lost: IndexMap<CallKey, bool>,
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
        assert!(!request.ended, "dispatched after the request ended");
        assert_eq!(request.running, None, "two concurrent dispatches of one request");
        assert!(now < request.deadline, "dispatched after the deadline");
        assert!(
            request.arrival.idempotent || !request.may_have_run,
            "a non-idempotent request may run twice"
        );
        assert_eq!(dispatch.attempt, request.attempts + 1);
        assert_eq!(
            dispatch.delivered, request.delivered,
            "wrong number of delivered tokens"
        );
        assert_eq!(dispatch.cause.is_some(), request.attempts > 0);
        assert!(dispatch.id.0 > self.last_dispatch_id, "dispatch id reused");
        let state = &mut self.replicas[&dispatch.replica];
        assert!(state.live, "dispatched to a leaving replica");
        let is_accepted = request
            .arrival
            .version
            .is_none_or(|version| version == state.version);
        assert!(
            is_accepted || request.arrival.fallback == Some(state.version),
            "dispatched to an unacceptable version"
        );
        state.in_flight += 1;
        let snapshot = router
            .replica(dispatch.replica)
            .expect("the router knows every live replica");
        assert!(state.in_flight as f32 <= snapshot.limit, "replica limit exceeded");
        assert!(
            !snapshot.probing || state.in_flight == 1,
            "two concurrent probes of one replica"
        );
        assert!(!snapshot.ejected, "dispatched to an ejected replica");
        assert!(snapshot.limit <= 4.0 * state.capacity as f32 && snapshot.limit >= 1.0);
        let in_flight = self
            .workspace_in_flight
            .entry(request.arrival.workspace)
            .or_default();
        *in_flight += 1;
        assert!(
            *in_flight <= self.shares[&request.arrival.workspace],
            "workspace share exceeded"
        );
        request.attempts += 1;
        let counted_attempts = request.attempts - request.lost_attempts;
        assert!(
            counted_attempts <= self.max_attempts,
            "maximum number of attempts exceeded"
        );
        request.running = Some(dispatch.id);
        self.last_dispatch_id = dispatch.id.0;
        let attempt = Attempt {
            call: dispatch.call,
            replica: dispatch.replica,
            workspace: request.arrival.workspace,
            sent: false,
            first_token: false,
            cancelled: false,
        };
        self.attempts.insert(dispatch.id, attempt);
        let is_exempt = self
            .last_attempt_lost
            .swap_remove(&dispatch.call)
            .unwrap_or(false);
        let is_first = dispatch.attempt == 1;
        self.retries.count(is_first, is_exempt);
        self.workspace_retries
            .entry(attempt.workspace)
            .or_default()
            .count(is_first, is_exempt);
    }

    fn cancelled(&mut self, dispatch: DispatchId) {
        let attempt = &mut self.attempts[&dispatch];
        assert!(!attempt.cancelled, "dispatch cancelled twice");
        attempt.cancelled = true;
    }

    fn answered(&mut self, call: CallKey, dispatch: DispatchId) {
        let request = &mut self.requests[&call];
        assert!(!request.ended, "completed after the request ended");
        assert_eq!(request.running, Some(dispatch), "completed by another dispatch");
        request.ended = true;
    }

    fn refused(&mut self, call: CallKey, refusal: Refusal) {
        let request = &mut self.requests[&call];
        assert!(!request.ended, "refused after the request ended");
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
                assert!(
                    !self.has_live(&arrival),
                    "refused although an acceptable replica is live"
                );
            }
            _ => {}
        }
    }

    fn has_live(&self, arrival: &Arrival) -> bool {
        let accepts = |state: &ReplicaState| {
            arrival.version.is_none_or(|version| version == state.version)
                || arrival.fallback == Some(state.version)
        };
        self.replicas.values().any(|state| state.live && accepts(state))
    }

    /// Checks the invariants that hold after each step.
    pub fn check_invariants(&self, now: Millis, router: &Router) {
        for request in self.requests.values().filter(|request| !request.ended) {
            let Some(attempt) = request.running else {
                assert!(
                    now < request.deadline,
                    "neither dispatched nor refused by the deadline"
                );
                assert!(
                    router.wake_at().is_some_and(|at| at <= request.deadline),
                    "no timer is set before the deadline"
                );
                assert!(
                    !self.is_unservable(request),
                    "not refused although no replica can serve it"
                );
                self.check_no_idle_replica(router, request);
                continue;
            };
            let attempt = &self.attempts[&attempt];
            assert!(
                attempt.first_token || attempt.cancelled || now < request.deadline,
                "dispatch not cancelled at the deadline"
            );
        }
        self.retries.check("endpoint");
        for retries in self.workspace_retries.values() {
            retries.check("workspace");
        }
        let live = self.replicas.values().filter(|state| state.live).count();
        let ejected = |key: &&ReplicaKey| {
            router
                .replica(**key)
                .is_some_and(|snapshot| snapshot.ejected && !snapshot.leaving)
        };
        let ejected = self.replicas.keys().filter(ejected).count();
        assert!(
            ejected <= (live * 3 / 10).max(usize::from(live > 1)),
            "too many replicas ejected"
        );
    }

    /// Whether the request was never dispatched and cannot be, or its endpoint or workspace was removed.
    fn is_unservable(&self, request: &Request) -> bool {
        let has_workspace = self.shares.contains_key(&request.arrival.workspace);
        let may_be_served = request.attempts > 0 || self.has_live(&request.arrival);
        self.endpoint_removed || !has_workspace || !may_be_served
    }

    /// Checks that no first dispatch waits while a replica is known to be idle and the workspace is below its share.
    fn check_no_idle_replica(&self, router: &Router, request: &Request) {
        let workspace = request.arrival.workspace;
        let in_flight = self
            .workspace_in_flight
            .get(&workspace)
            .copied()
            .unwrap_or_default();
        let is_below_share = self
            .shares
            .get(&workspace)
            .is_some_and(|share| in_flight < *share);
        if request.attempts > 0 || !is_below_share {
            return;
        }
        for (key, state) in &self.replicas {
            let is_accepted = request
                .arrival
                .version
                .is_none_or(|version| version == state.version);
            let snapshot = router.replica(*key);
            let is_available = snapshot.is_some_and(|snapshot| !snapshot.ejected && !snapshot.leaving);
            let is_idle = is_available && !state.reported && state.in_flight == 0;
            assert!(
                !is_accepted || !is_idle,
                "{:?} is queued while replica {key:?} is idle",
                request.arrival.call
            );
        }
    }
}

impl Retries {
    fn count(&mut self, is_first: bool, is_exempt: bool) {
        self.first_dispatches += u32::from(is_first);
        self.retries += u32::from(!is_first && !is_exempt);
    }

    /// The budget allows ten retries initially and one more per ten first dispatches.
    fn check(&self, owner: &str) {
        assert!(
            self.retries <= 10 + self.first_dispatches / 10,
            "retry budget of the {owner} exceeded: {self:?}"
        );
    }
}
