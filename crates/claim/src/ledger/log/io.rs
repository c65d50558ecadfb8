//! Reads and writes of the log, and what their ends mean.

use base::Millis;

use super::Log;
use super::op::Op;
use crate::Reason;
use crate::ledger::base::Base;
use crate::ledger::batch::Batch;
use crate::ledger::context::Context;
use crate::ledger::{Action, BaseDone, ReadDone, WriteDone};

/// Most doublings of the wait after failures.
const DOUBLINGS_MAX: u32 = 16;

impl Log {
    /// Starts the next operation, if one is due.
    pub fn advance(&mut self, context: &mut Context<'_>) {
        if !self.op.is_idle() || context.now < self.retry_at || !self.has_work(context) {
            return;
        }
        if !self.base_valid(context) {
            return self.read_base(context);
        }
        if self.behind {
            return self.read(context);
        }
        if context.now >= self.write_at {
            self.write(context);
        }
    }

    pub fn write_done(&mut self, context: &mut Context<'_>, sequence: u64, result: WriteDone) {
        if sequence != self.next || !matches!(self.op, Op::Write { .. }) {
            return;
        }
        let Op::Write { batch, .. } = std::mem::take(&mut self.op) else {
            return;
        };
        match result {
            WriteDone::Created if self.base_valid(context) => {
                self.succeed();
                self.met = false;
                self.wrote = Some(context.now);
                self.apply(context, batch);
                self.swap_base(context);
            }
            // The log tells whether the write is there, now or after the base was looked at.
            WriteDone::Created | WriteDone::Lost => {
                self.behind = true;
                self.unsettled = true;
            }
            WriteDone::Exists => {
                self.succeed();
                self.behind = true;
                self.met = true;
            }
            WriteDone::Unavailable => {
                self.unsettled = true;
                self.fail(context);
            }
        }
    }

    pub fn read_done(&mut self, context: &mut Context<'_>, sequence: u64, result: ReadDone) {
        let Op::Read { found, .. } = &mut self.op else {
            return;
        };
        let place = sequence
            .checked_sub(self.next)
            .and_then(|place| usize::try_from(place).ok());
        let failed_before = found.contains(&Some(ReadDone::Unavailable));
        let Some(slot) = place.and_then(|place| found.get_mut(place)) else {
            return;
        };
        let failed = result == ReadDone::Unavailable;
        *slot = Some(result);
        let whole = found.iter().all(Option::is_some);
        if failed {
            // Calls are not held back until the other reads have ended, but several failed reads are one failure.
            self.refuse_wants(context, Reason::Outage);
            if !failed_before {
                self.fail(context);
            }
        }
        if !whole {
            return;
        }
        let Op::Read { found, .. } = std::mem::take(&mut self.op) else {
            return;
        };
        if self.base_valid(context) {
            self.take(context, found.into_iter().flatten());
        }
    }

    pub fn base_done(&mut self, context: &mut Context<'_>, result: BaseDone) {
        let Op::ReadBase { since } = self.op else {
            return;
        };
        self.op = Op::Idle;
        match result {
            BaseDone::Found { bytes, version } => {
                let Some(base) = Base::decode(&bytes) else {
                    return self.fail(context);
                };
                self.version = Some(version);
                self.adopt(context.now, since, base);
            }
            BaseDone::Absent => {
                self.version = None;
                self.adopt(context.now, since, Base::default());
            }
            BaseDone::Unavailable => self.fail(context),
        }
    }

    pub fn swap_done(&mut self) {
        if matches!(self.op, Op::SwapBase { .. }) {
            self.op = Op::Idle;
            // Whatever came of it, the base is read before anything else.
            self.checked = None;
        }
    }

    /// Whether what the base said can be relied on at the end of an operation that ends now.
    ///
    /// NB: a sequence number is deleted only after the base has been above it for much longer than this, so within
    /// this time an absent number from the base on was never written.
    pub fn base_valid(&self, context: &Context<'_>) -> bool {
        self.checked
            .is_some_and(|checked| context.now.since(checked) < context.limits.base_valid)
    }

    fn has_work(&self, context: &Context<'_>) -> bool {
        let company = !self.wants.is_empty();
        let due = !self.notes.is_empty() && context.now.since(self.noted) >= context.limits.linger;
        company || due || self.unsettled
    }

    fn read_base(&mut self, context: &mut Context<'_>) {
        self.op = Op::ReadBase { since: context.now };
        let shard = context.shard;
        context.push(Action::ReadBase { shard });
    }

    fn read(&mut self, context: &mut Context<'_>) {
        // After a write that met another node's, one value and a gap are the likely finding.
        let ahead = if self.met {
            2
        } else {
            context.limits.read_ahead.max(1)
        };
        self.op = Op::Read {
            found: vec![None; ahead as usize],
            since: context.now,
        };
        for place in 0..ahead {
            context.push(Action::Read {
                shard: context.shard,
                sequence: self.next + place,
            });
        }
    }

    fn write(&mut self, context: &mut Context<'_>) {
        let Some(batch) = self.compose(context) else {
            return;
        };
        context.push(Action::Write {
            shard: context.shard,
            sequence: self.next,
            bytes: batch.encode(),
        });
        self.write_at = context.now + context.limits.write_interval;
        self.op = Op::Write {
            batch,
            since: context.now,
        };
    }

    /// Applies what was read, up to the first gap.
    fn take<F>(&mut self, context: &mut Context<'_>, found: F)
    where
        F: Iterator<Item = ReadDone>,
    {
        for result in found {
            match result {
                ReadDone::Found(bytes) => {
                    let Some(batch) = Batch::decode(&bytes) else {
                        return self.fail(context);
                    };
                    self.succeed();
                    self.apply(context, batch);
                }
                ReadDone::Absent => {
                    self.succeed();
                    self.behind = false;
                    self.met = false;
                    self.unsettled = false;
                    break;
                }
                ReadDone::Unavailable => break,
            }
        }
        self.settle_wants(context);
    }

    /// Answers the calls whose keys turned out to be claimed.
    fn settle_wants(&mut self, context: &mut Context<'_>) {
        let wants = std::mem::take(&mut self.wants);
        for (key, want) in wants {
            if !self.settle(context, key, want.fingerprint, &want.waiters) {
                self.wants.insert(key, want);
            }
        }
    }

    fn adopt(&mut self, now: Millis, since: Millis, base: Base) {
        self.succeed();
        self.checked = Some(since);
        self.base = Base {
            first: base.first,
            trimmed: base.trimmed.max(self.base.trimmed),
        };
        self.await_trim(now);
        if base.first > self.next {
            self.restart(now, base.first);
        }
    }

    fn succeed(&mut self) {
        self.failures = 0;
    }

    /// The service does not answer: nobody waits for it, and the next try comes later.
    fn fail(&mut self, context: &mut Context<'_>) {
        self.behind = true;
        self.met = false;
        let wait = Millis(context.limits.backoff.0 << self.failures.min(DOUBLINGS_MAX));
        let wait = wait.min(context.limits.backoff_max);
        self.failures += 1;
        // Half of the wait is jitter, so that nodes don't come back together.
        let jitter = context.draw % (wait.0 / 2 + 1);
        self.retry_at = context.now + Millis(wait.0 - jitter);
        self.refuse_wants(context, Reason::Outage);
    }
}
