//! Calls that ask for a key, up to its claim.

use base::Millis;

use super::Log;
use super::run::Run;
use crate::ledger::context::Context;
use crate::ledger::{Action, Key};
use crate::{Call, Fate, Fingerprint, Reason};

/// A key to claim.
#[derive(Debug)]
pub(super) struct Want {
    pub fingerprint: Fingerprint,
    /// Number of its ticket, the same in every batch that tries to claim it.
    pub ticket: u64,
    /// Calls that wait, the first one to run.
    pub waiters: Vec<Call>,
}

/// The latest point at which a waiting call is answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadline {
    pub at: Millis,
    pub call: Call,
    pub key: Key,
}

/// What is known of a key.
enum Known {
    Free,
    Mismatch,
    Ended(Fate),
    /// Claimed by this node, which does not know any longer what came of it.
    Forgotten,
    Elsewhere(base::Incarnation),
}

impl Log {
    pub fn want(&mut self, context: &mut Context<'_>, call: Call, key: Key, fingerprint: Fingerprint) {
        self.used = context.now;
        if let Some(run) = self.runs.get_mut(&key) {
            return run.join(context, call, fingerprint);
        }
        if self.settle(context, key, fingerprint, &[call]) {
            return;
        }
        if let Some(reason) = self.hindrance(context, key) {
            return context.refuse(call, reason);
        }
        self.enlist(context, call, key, fingerprint);
    }

    /// Answers the calls from what is known of the key; false if it is free.
    pub fn settle(
        &mut self,
        context: &mut Context<'_>,
        key: Key,
        fingerprint: Fingerprint,
        calls: &[Call],
    ) -> bool {
        let known = self.known(context, key, fingerprint);
        for call in calls.iter().copied() {
            match &known {
                Known::Free => return false,
                Known::Mismatch => context.refuse(call, Reason::Mismatch),
                Known::Ended(fate) => context.answer(call, fate.answer()),
                Known::Forgotten => context.refuse(call, Reason::Interrupted),
                Known::Elsewhere(by) => context.push(Action::Taken { call, by: *by }),
            }
        }
        !matches!(known, Known::Free)
    }

    /// Refuses every call whose deadline has come.
    pub fn expire(&mut self, context: &mut Context<'_>) {
        while let Some(deadline) = self.deadlines.front().copied() {
            if deadline.at > context.now {
                return;
            }
            self.deadlines.pop_front();
            if self.withdraw(deadline.call, deadline.key) {
                context.refuse(deadline.call, Reason::Deadline);
            }
        }
    }

    /// Refuses every call that waits for a claim.
    pub fn refuse_wants(&mut self, context: &mut Context<'_>, reason: Reason) {
        for want in std::mem::take(&mut self.wants).into_values() {
            for call in want.waiters {
                context.refuse(call, reason);
            }
        }
        self.deadlines.clear();
    }

    /// Takes a call off its want; false if it does not wait.
    ///
    /// NB: the ticket of a want without calls is given up for good. If its claim is in the log, or still on its way
    /// there, nobody runs under it.
    pub fn withdraw(&mut self, call: Call, key: Key) -> bool {
        let Some(want) = self.wants.get_mut(&key) else {
            return false;
        };
        let Some(place) = want.waiters.iter().position(|waiter| *waiter == call) else {
            return false;
        };
        want.waiters.remove(place);
        if want.waiters.is_empty() {
            self.wants.swap_remove(&key);
        }
        true
    }

    /// The claim of a wanted key is in the log: its first call runs, the others wait for it.
    pub(super) fn grant(&mut self, context: &mut Context<'_>, key: Key, want: Want) {
        for (place, call) in want.waiters.iter().copied().enumerate() {
            let action = if place == 0 {
                Action::Granted { call, key }
            } else {
                Action::Join { call }
            };
            context.push(action);
        }
        self.runs.insert(key, Run::new(context.now, want));
    }

    fn known(&self, context: &Context<'_>, key: Key, fingerprint: Fingerprint) -> Known {
        let Some(claim) = self.claims.get(&key) else {
            return Known::Free;
        };
        if claim.idle || self.expired(context, claim) {
            return Known::Free;
        }
        if claim.fingerprint != fingerprint {
            return Known::Mismatch;
        }
        match &claim.fate {
            Some(fate) => Known::Ended(fate.clone()),
            None if claim.ticket.by == context.by => Known::Forgotten,
            None => Known::Elsewhere(claim.ticket.by),
        }
    }

    /// Why a free key can't be claimed at the moment.
    fn hindrance(&self, context: &Context<'_>, key: Key) -> Option<Reason> {
        let limits = context.limits;
        if context.sealed {
            return Some(Reason::Sealed);
        }
        if context.now < self.retry_at || self.stalled(context) {
            return Some(Reason::Outage);
        }
        let crowded =
            !self.claims.contains_key(&key) && self.claims.len() + self.wants.len() >= limits.claims;
        if crowded || self.deadlines.len() >= limits.wants {
            return Some(Reason::Full);
        }
        None
    }

    /// Whether the operation under way takes longer than a call may wait.
    fn stalled(&self, context: &Context<'_>) -> bool {
        let Some(since) = self.op.since() else {
            return false;
        };
        context.now.since(since) >= context.limits.patience
    }

    fn enlist(&mut self, context: &mut Context<'_>, call: Call, key: Key, fingerprint: Fingerprint) {
        if let Some(want) = self.wants.get_mut(&key) {
            if want.fingerprint != fingerprint {
                return context.refuse(call, Reason::Mismatch);
            }
            if want.waiters.len() >= context.limits.waiters {
                return context.refuse(call, Reason::Crowded);
            }
            want.waiters.push(call);
        } else {
            let want = Want {
                fingerprint,
                ticket: self.ticket,
                waiters: vec![call],
            };
            self.ticket += 1;
            self.wants.insert(key, want);
        }
        self.deadlines.push_back(Deadline {
            at: context.now + context.limits.patience,
            call,
            key,
        });
    }
}
