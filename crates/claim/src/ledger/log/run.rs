//! Runs of claimed keys, from grant to completion.

use std::sync::Arc;

use base::Millis;

use super::Log;
use super::pending::Pending;
use crate::ledger::batch::{ClaimId, Entry};
use crate::ledger::context::Context;
use crate::ledger::{Action, Finish, Key};
use crate::{Answer, Call, Completion, Fingerprint, Reason, Record};

/// A claimed key that runs at this node.
#[derive(Debug)]
pub(super) struct Run {
    fingerprint: Fingerprint,
    claim_number: u64,
    /// Call that runs the request.
    call: Call,
    /// When the run was granted.
    granted_at: Millis,
    /// Whether dispatch was granted, so that the endpoint may have received bytes.
    dispatched: bool,
    /// Calls to answer when the run ends.
    waiters: Vec<Call>,
}

impl Run {
    pub fn new(now: Millis, pending: Pending) -> Self {
        Self {
            fingerprint: pending.fingerprint,
            claim_number: pending.claim_number,
            call: pending.waiters[0],
            granted_at: now,
            dispatched: false,
            waiters: pending.waiters,
        }
    }

    pub fn join(&mut self, context: &mut Context<'_>, call: Call, fingerprint: Fingerprint) {
        if self.fingerprint != fingerprint {
            return context.refuse(call, Reason::Mismatch);
        }
        if self.waiters.len() >= context.limits.waiters {
            return context.refuse(call, Reason::TooManyWaiters);
        }
        self.waiters.push(call);
        context.push(Action::Join { call });
    }

    const fn claim_id(&self, context: &Context<'_>) -> ClaimId {
        ClaimId {
            node: context.node,
            number: self.claim_number,
        }
    }
}

impl Log {
    /// Grants the only dispatch of a claim, if the claim is recent and still held by this node.
    pub fn dispatch(&mut self, context: &mut Context<'_>, call: Call, key: Key) {
        let Some(run) = self
            .runs
            .get(&key)
            .filter(|run| run.call == call && !run.dispatched)
        else {
            return context.push(Action::DispatchDenied { call });
        };
        let is_late = context.now.since(run.granted_at) > context.limits.dispatch_timeout;
        let claim_id = run.claim_id(context);
        let is_current = self.claims.get(&key).is_some_and(|claim| claim.id == claim_id);
        if is_late || !is_current {
            context.push(Action::DispatchDenied { call });
            return self.finish(context, call, key, Finish::NotRun);
        }
        if let Some(run) = self.runs.get_mut(&key) {
            run.dispatched = true;
            context.push(Action::DispatchGranted { call });
        }
    }

    pub fn finish(&mut self, context: &mut Context<'_>, call: Call, key: Key, result: Finish) {
        let Some(run) = self.runs.get(&key).filter(|run| run.call == call) else {
            return;
        };
        let claim_id = run.claim_id(context);
        let dispatched = run.dispatched;
        let answer = match result {
            Finish::NotRun if !dispatched => self.release(context, key, claim_id),
            Finish::NotRun | Finish::Unknown => self.end(context, key, claim_id, Completion::Unknown),
            Finish::Answered(record) => self.record(context, key, claim_id, record),
        };
        let Some(run) = self.runs.swap_remove(&key) else {
            return;
        };
        for waiter in run.waiters {
            context.answer(waiter, answer.clone());
        }
    }

    /// Stops waiting on behalf of a disconnected caller. A run continues.
    pub fn disconnect(&mut self, call: Call, key: Key) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.waiters.retain(|waiter| *waiter != call);
        }
        self.remove_waiter(call, key);
    }

    fn release(&mut self, context: &Context<'_>, key: Key, claim_id: ClaimId) -> Answer {
        if let Some(claim) = self.claims.get_mut(&key).filter(|claim| claim.id == claim_id) {
            claim.abandoned = true;
        }
        self.queue_entry(context.now, key, Entry::Release { key, claim_id });
        Answer::Refused(Reason::NotStarted)
    }

    /// Answers with the record, and keeps it if it is within the size limit.
    fn record(&mut self, context: &Context<'_>, key: Key, claim_id: ClaimId, record: Record) -> Answer {
        let record = Arc::new(record);
        let fits = record.bytes() <= context.limits.record_bytes;
        let completion = if fits {
            Completion::Recorded(Arc::clone(&record))
        } else {
            Completion::Dropped
        };
        self.end(context, key, claim_id, completion);
        Answer::Recorded(record)
    }

    fn end(&mut self, context: &Context<'_>, key: Key, claim_id: ClaimId, completion: Completion) -> Answer {
        let answer = completion.answer();
        self.apply_result(context, key, claim_id, completion.clone());
        self.queue_entry(
            context.now,
            key,
            Entry::Result {
                key,
                claim_id,
                completion,
            },
        );
        answer
    }

    fn queue_entry(&mut self, now: Millis, key: Key, entry: Entry) {
        if self.unwritten.is_empty() {
            self.unwritten_since = now;
        }
        self.unwritten.insert(key, entry);
    }
}
