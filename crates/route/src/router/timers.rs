//! Timers for deadlines, backoff and the end of ejections.

use std::collections::BTreeSet;

use base::Millis;

use super::Router;
use super::call::State;
use crate::action::Action;
use crate::key::{CallKey, ReplicaKey};
use crate::refusal::Reason;

/// The request or replica that a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Target {
    Call(CallKey),
    Replica(ReplicaKey),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Millis,
    target: Target,
}

/// Timers ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    timers: BTreeSet<Timer>,
}

impl Timers {
    pub fn first(&self) -> Option<Millis> {
        self.timers.first().map(|timer| timer.at)
    }

    pub fn set(&mut self, at: Millis, target: Target) {
        self.timers.insert(Timer { at, target });
    }

    pub fn clear(&mut self, at: Millis, target: Target) {
        self.timers.remove(&Timer { at, target });
    }

    fn pop(&mut self, now: Millis) -> Option<Target> {
        let first = *self.timers.first()?;
        if first.at > now {
            return None;
        }
        self.timers.remove(&first);
        Some(first.target)
    }
}

impl Router {
    /// Runs all expired timers.
    pub(super) fn run_expired_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(target) = self.timers.pop(now) {
            match target {
                Target::Call(key) => self.on_call_timer(now, key, actions),
                Target::Replica(key) => self.probe(now, key, actions),
            }
        }
    }

    /// Replaces the timer of a request.
    pub(super) fn set_timer(&mut self, key: CallKey, at: Option<Millis>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if call.timer == at {
            return;
        }
        if let Some(old) = call.timer {
            self.timers.clear(old, Target::Call(key));
        }
        call.timer = at;
        if let Some(at) = at {
            self.timers.set(at, Target::Call(key));
        }
    }

    fn on_call_timer(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.timer = None;
        match call.state {
            State::Waiting => {
                let reason = self.timeout_reason(key);
                self.refuse_waiting(key, reason, actions);
            }
            State::Backoff => self.on_backoff_end(now, key, actions),
            State::InFlight(dispatch) => {
                call.state = State::Expired(dispatch);
                self.cancel_dispatch(dispatch, actions);
            }
            State::Expired(_) => {}
        }
    }

    /// Returns why a request that timed out in its queue is refused.
    fn timeout_reason(&self, key: CallKey) -> Reason {
        let Some(call) = self.calls.get(&key) else {
            return Reason::DeadlineUnmet;
        };
        let arrival = &call.arrival;
        let Some(endpoint) = self.endpoints.get(arrival.endpoint) else {
            return Reason::NoEndpoint;
        };
        if !self.has_live(arrival) {
            return Reason::NoReplica;
        }
        let at_share = self
            .workspaces
            .get(arrival.workspace)
            .is_some_and(|workspace| workspace.parked.contains(&arrival.endpoint));
        if at_share && endpoint.pools.has_free() {
            return Reason::WorkspaceLimit;
        }
        Reason::DeadlineUnmet
    }

    /// Starts probing an ejected replica with one request at a time.
    pub(super) fn probe(&mut self, now: Millis, key: ReplicaKey, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let endpoint = replica.placement.endpoint;
        replica.health.start_probing();
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.ejected.swap_remove(&key);
        }
        self.update_free_pool(key);
        self.dispatch_queued(now, endpoint, actions);
    }
}
