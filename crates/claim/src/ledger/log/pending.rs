//! Calls that wait for the claim of their key.

use base::Millis;

use super::Log;
use super::run::Run;
use crate::ledger::context::Context;
use crate::ledger::{Action, Key};
use crate::{Call, Completion, Fingerprint, Reason};

/// A key that waits for its claim.
#[derive(Debug)]
pub(super) struct Pending {
    pub fingerprint: Fingerprint,
    /// Number of the claim id; the same in every batch that attempts to claim the key.
    pub claim_number: u64,
    /// Waiting calls. The first one will run the request.
    pub waiters: Vec<Call>,
}

/// Time at which a waiting call is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadline {
    pub at: Millis,
    pub call: Call,
    pub key: Key,
}

/// Status of a key as known to this node.
enum Status {
    Free,
    Mismatch,
    Ended(Completion),
    /// Claimed by this node, which no longer knows the result.
    Forgotten,
    ClaimedElsewhere(base::Incarnation),
}

impl Log {
    pub fn arrive(&mut self, context: &mut Context<'_>, call: Call, key: Key, fingerprint: Fingerprint) {
        self.last_used = context.now;
        if let Some(run) = self.runs.get_mut(&key) {
            return run.join(context, call, fingerprint);
        }
        if self.answer_known(context, key, fingerprint, &[call]) {
            return;
        }
        if let Some(reason) = self.refusal_reason(context, key) {
            return context.refuse(call, reason);
        }
        self.add_pending(context, call, key, fingerprint);
    }

    /// Answers the calls from the known status of the key. Returns false if the key is free.
    pub fn answer_known(
        &mut self,
        context: &mut Context<'_>,
        key: Key,
        fingerprint: Fingerprint,
        calls: &[Call],
    ) -> bool {
        let status = self.status(context, key, fingerprint);
        for call in calls.iter().copied() {
            match &status {
                Status::Free => return false,
                Status::Mismatch => context.refuse(call, Reason::Mismatch),
                Status::Ended(completion) => context.answer(call, completion.answer()),
                Status::Forgotten => context.refuse(call, Reason::Interrupted),
                Status::ClaimedElsewhere(owner) => {
                    context.push(Action::ClaimedElsewhere { call, owner: *owner });
                }
            }
        }
        !matches!(status, Status::Free)
    }

    /// Refuses every call whose deadline has passed.
    pub fn expire(&mut self, context: &mut Context<'_>) {
        while let Some(deadline) = self.deadlines.front().copied() {
            if deadline.at > context.now {
                return;
            }
            self.deadlines.pop_front();
            if self.remove_waiter(deadline.call, deadline.key) {
                context.refuse(deadline.call, Reason::ClaimTimeout);
            }
        }
    }

    /// Refuses every call that waits for a claim.
    pub fn refuse_pending(&mut self, context: &mut Context<'_>, reason: Reason) {
        for pending in std::mem::take(&mut self.pending).into_values() {
            for call in pending.waiters {
                context.refuse(call, reason);
            }
        }
        self.deadlines.clear();
    }

    /// Removes a call from its pending claim. Returns false if the call does not wait.
    ///
    /// Once no call waits, the claim id is abandoned for good: if its claim is in the log, or still gets there, nothing
    /// runs under it.
    pub fn remove_waiter(&mut self, call: Call, key: Key) -> bool {
        let Some(pending) = self.pending.get_mut(&key) else {
            return false;
        };
        let Some(index) = pending.waiters.iter().position(|waiter| *waiter == call) else {
            return false;
        };
        pending.waiters.remove(index);
        if pending.waiters.is_empty() {
            self.pending.swap_remove(&key);
        }
        true
    }

    /// Handles a pending claim that is now in the log: the first call runs, the others wait for its result.
    pub(super) fn grant(&mut self, context: &mut Context<'_>, key: Key, pending: Pending) {
        for (index, call) in pending.waiters.iter().copied().enumerate() {
            let action = if index == 0 {
                Action::Run { call, key }
            } else {
                Action::Join { call }
            };
            context.push(action);
        }
        self.runs.insert(key, Run::new(context.now, pending));
    }

    fn status(&self, context: &Context<'_>, key: Key, fingerprint: Fingerprint) -> Status {
        let Some(claim) = self.claims.get(&key) else {
            return Status::Free;
        };
        if claim.abandoned || self.expired(context, claim) {
            return Status::Free;
        }
        if claim.fingerprint != fingerprint {
            return Status::Mismatch;
        }
        match &claim.completion {
            Some(completion) => Status::Ended(completion.clone()),
            None if claim.id.node == context.node => Status::Forgotten,
            None => Status::ClaimedElsewhere(claim.id.node),
        }
    }

    /// Reason why a free key cannot be claimed at the moment, if any.
    fn refusal_reason(&self, context: &Context<'_>, key: Key) -> Option<Reason> {
        let limits = context.limits;
        if context.draining {
            return Some(Reason::NodeStopping);
        }
        if context.now < self.retry_at || self.stalled(context) {
            return Some(Reason::StoreUnavailable);
        }
        let too_many_claims =
            !self.claims.contains_key(&key) && self.claims.len() + self.pending.len() >= limits.claims;
        if too_many_claims || self.deadlines.len() >= limits.waiting_calls {
            return Some(Reason::TooManyKeys);
        }
        None
    }

    /// Whether the current operation has taken longer than a call may wait.
    fn stalled(&self, context: &Context<'_>) -> bool {
        let Some(started_at) = self.op.started_at() else {
            return false;
        };
        context.now.since(started_at) >= context.limits.claim_timeout
    }

    fn add_pending(&mut self, context: &mut Context<'_>, call: Call, key: Key, fingerprint: Fingerprint) {
        if let Some(pending) = self.pending.get_mut(&key) {
            if pending.fingerprint != fingerprint {
                return context.refuse(call, Reason::Mismatch);
            }
            if pending.waiters.len() >= context.limits.waiters {
                return context.refuse(call, Reason::TooManyWaiters);
            }
            pending.waiters.push(call);
        } else {
            let pending = Pending {
                fingerprint,
                claim_number: self.next_claim,
                waiters: vec![call],
            };
            self.next_claim += 1;
            self.pending.insert(key, pending);
        }
        self.deadlines.push_back(Deadline {
            at: context.now + context.limits.claim_timeout,
            call,
            key,
        });
    }
}
