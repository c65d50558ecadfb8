//! Runs of claimed keys, from the grant to their end.

use std::sync::Arc;

use base::Millis;

use super::Log;
use super::want::Want;
use crate::ledger::batch::{Entry, Ticket};
use crate::ledger::context::Context;
use crate::ledger::{Action, Finish, Key};
use crate::{Answer, Call, Fate, Fingerprint, Reason, Record};

/// A claimed key that runs here.
#[derive(Debug)]
pub(super) struct Run {
    fingerprint: Fingerprint,
    ticket: u64,
    /// The call that was told to run.
    call: Call,
    /// When it was told to.
    granted: Millis,
    /// Whether bytes may have left.
    dispatched: bool,
    /// Calls to answer at its end.
    waiters: Vec<Call>,
}

impl Run {
    pub fn new(now: Millis, want: Want) -> Self {
        Self {
            fingerprint: want.fingerprint,
            ticket: want.ticket,
            call: want.waiters[0],
            granted: now,
            dispatched: false,
            waiters: want.waiters,
        }
    }

    pub fn join(&mut self, context: &mut Context<'_>, call: Call, fingerprint: Fingerprint) {
        if self.fingerprint != fingerprint {
            return context.refuse(call, Reason::Mismatch);
        }
        if self.waiters.len() >= context.limits.waiters {
            return context.refuse(call, Reason::Crowded);
        }
        self.waiters.push(call);
        context.push(Action::Join { call });
    }

    const fn ticket(&self, context: &Context<'_>) -> Ticket {
        Ticket {
            by: context.by,
            number: self.ticket,
        }
    }
}

impl Log {
    /// Grants the one dispatch of a claim, if the claim is young and still this node's.
    pub fn dispatch(&mut self, context: &mut Context<'_>, call: Call, key: Key) {
        let Some(run) = self
            .runs
            .get(&key)
            .filter(|run| run.call == call && !run.dispatched)
        else {
            return context.push(Action::Halt { call });
        };
        let late = context.now.since(run.granted) > context.limits.dispatch_within;
        let ticket = run.ticket(context);
        let ours = self.claims.get(&key).is_some_and(|claim| claim.ticket == ticket);
        if late || !ours {
            context.push(Action::Halt { call });
            return self.finish(context, call, key, Finish::NotRun);
        }
        if let Some(run) = self.runs.get_mut(&key) {
            run.dispatched = true;
            context.push(Action::Dispatch { call });
        }
    }

    pub fn finish(&mut self, context: &mut Context<'_>, call: Call, key: Key, result: Finish) {
        let Some(run) = self.runs.get(&key).filter(|run| run.call == call) else {
            return;
        };
        let ticket = run.ticket(context);
        let dispatched = run.dispatched;
        let answer = match result {
            Finish::NotRun if !dispatched => self.release(context, key, ticket),
            Finish::NotRun | Finish::Unknown => self.end(context, key, ticket, Fate::Unknown),
            Finish::Answered(record) => self.record(context, key, ticket, record),
        };
        let Some(run) = self.runs.swap_remove(&key) else {
            return;
        };
        for waiter in run.waiters {
            context.answer(waiter, answer.clone());
        }
    }

    /// A caller went away.
    pub fn leave(&mut self, call: Call, key: Key) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.waiters.retain(|waiter| *waiter != call);
        }
        self.withdraw(call, key);
    }

    fn release(&mut self, context: &Context<'_>, key: Key, ticket: Ticket) -> Answer {
        if let Some(claim) = self.claims.get_mut(&key).filter(|claim| claim.ticket == ticket) {
            claim.idle = true;
        }
        self.note(context.now, key, Entry::Release { key, ticket });
        Answer::Refused(Reason::NotStarted)
    }

    /// Answers with the whole record, and keeps it if it is small enough.
    fn record(&mut self, context: &Context<'_>, key: Key, ticket: Ticket, record: Record) -> Answer {
        let record = Arc::new(record);
        let fits = record.bytes() <= context.limits.record_bytes;
        let fate = if fits {
            Fate::Recorded(Arc::clone(&record))
        } else {
            Fate::Dropped
        };
        self.end(context, key, ticket, fate);
        Answer::Recorded(record)
    }

    fn end(&mut self, context: &Context<'_>, key: Key, ticket: Ticket, fate: Fate) -> Answer {
        let answer = fate.answer();
        self.conclude(context, key, ticket, fate.clone());
        self.note(context.now, key, Entry::Result { key, ticket, fate });
        answer
    }

    fn note(&mut self, now: Millis, key: Key, entry: Entry) {
        if self.notes.is_empty() {
            self.noted = now;
        }
        self.notes.insert(key, entry);
    }
}
