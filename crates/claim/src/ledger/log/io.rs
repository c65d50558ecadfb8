//! Operations on the key-value service and the handling of their results.

use base::Millis;

use super::Log;
use super::op::Op;
use crate::Reason;
use crate::ledger::base::Base;
use crate::ledger::batch::Batch;
use crate::ledger::context::Context;
use crate::ledger::{Action, BaseDone, ReadDone, WriteDone};

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 16;

impl Log {
    /// Starts the next operation, if one is due and none is in progress.
    pub fn start_next_operation(&mut self, context: &mut Context<'_>) {
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
                self.reset_failures();
                self.conflicted = false;
                self.last_write = Some(context.now);
                self.apply(context, batch);
                self.swap_base(context);
            }
            // Reading the log will show whether the write took effect; an expired base is read first.
            WriteDone::Created | WriteDone::Indeterminate => {
                self.behind = true;
                self.indeterminate_write = true;
            }
            WriteDone::Exists => {
                self.reset_failures();
                self.behind = true;
                self.conflicted = true;
            }
            WriteDone::Unavailable => {
                self.indeterminate_write = true;
                self.back_off(context);
            }
        }
    }

    pub fn read_done(&mut self, context: &mut Context<'_>, sequence: u64, result: ReadDone) {
        let Op::Read { results, .. } = &mut self.op else {
            return;
        };
        let index = sequence
            .checked_sub(self.next)
            .and_then(|index| usize::try_from(index).ok());
        let already_failed = results.contains(&Some(ReadDone::Unavailable));
        let Some(slot) = index.and_then(|index| results.get_mut(index)) else {
            return;
        };
        let failed = result == ReadDone::Unavailable;
        *slot = Some(result);
        let all_done = results.iter().all(Option::is_some);
        if failed {
            // Pending calls are refused without waiting for the other reads, but several failed reads of one operation
            // count as one failure.
            self.refuse_pending(context, Reason::StoreUnavailable);
            if !already_failed {
                self.back_off(context);
            }
        }
        if !all_done {
            return;
        }
        let Op::Read { results, .. } = std::mem::take(&mut self.op) else {
            return;
        };
        if self.base_valid(context) {
            self.apply_reads(context, results.into_iter().flatten());
        }
    }

    pub fn base_done(&mut self, context: &mut Context<'_>, result: BaseDone) {
        let Op::ReadBase { started_at } = self.op else {
            return;
        };
        self.op = Op::Idle;
        match result {
            BaseDone::Found { bytes, version } => {
                let Some(base) = Base::decode(&bytes) else {
                    return self.back_off(context);
                };
                self.version = Some(version);
                self.apply_base(context.now, started_at, base);
            }
            BaseDone::Absent => {
                self.version = None;
                self.apply_base(context.now, started_at, Base::default());
            }
            BaseDone::Unavailable => self.back_off(context),
        }
    }

    pub fn swap_done(&mut self) {
        if matches!(self.op, Op::SwapBase { .. }) {
            self.op = Op::Idle;
            // Whether or not the swap succeeded, the base must be read before the next operation.
            self.base_read_at = None;
        }
    }

    /// Whether the base that was read is still valid when an operation completes now.
    ///
    /// A sequence number is deleted only after the base has been above it for much longer than `base_valid`. While the
    /// base is valid, an absent sequence number at or above it has therefore never been written.
    pub fn base_valid(&self, context: &Context<'_>) -> bool {
        self.base_read_at
            .is_some_and(|read_at| context.now.since(read_at) < context.limits.base_valid)
    }

    fn has_work(&self, context: &Context<'_>) -> bool {
        let has_pending = !self.pending.is_empty();
        let has_due_entries =
            !self.unwritten.is_empty() && context.now.since(self.unwritten_since) >= context.limits.linger;
        has_pending || has_due_entries || self.indeterminate_write
    }

    fn read_base(&mut self, context: &mut Context<'_>) {
        self.op = Op::ReadBase {
            started_at: context.now,
        };
        let shard = context.shard;
        context.push(Action::ReadBase { shard });
    }

    fn read(&mut self, context: &mut Context<'_>) {
        // After a conflicting write, most likely one batch of another node and then a gap will be found.
        let count = if self.conflicted {
            2
        } else {
            context.limits.read_ahead.max(1)
        };
        self.op = Op::Read {
            results: vec![None; count as usize],
            started_at: context.now,
        };
        for index in 0..count {
            context.push(Action::Read {
                shard: context.shard,
                sequence: self.next + index,
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
            started_at: context.now,
        };
    }

    /// Applies the batches that were read, up to the first gap.
    fn apply_reads<F>(&mut self, context: &mut Context<'_>, results: F)
    where
        F: Iterator<Item = ReadDone>,
    {
        for result in results {
            match result {
                ReadDone::Found(bytes) => {
                    let Some(batch) = Batch::decode(&bytes) else {
                        return self.back_off(context);
                    };
                    self.reset_failures();
                    self.apply(context, batch);
                }
                ReadDone::Absent => {
                    self.reset_failures();
                    self.behind = false;
                    self.conflicted = false;
                    self.indeterminate_write = false;
                    break;
                }
                ReadDone::Unavailable => break,
            }
        }
        self.answer_resolved(context);
    }

    /// Answers the pending calls whose keys turned out to be claimed.
    fn answer_resolved(&mut self, context: &mut Context<'_>) {
        let pending = std::mem::take(&mut self.pending);
        for (key, pending) in pending {
            if !self.answer_known(context, key, pending.fingerprint, &pending.waiters) {
                self.pending.insert(key, pending);
            }
        }
    }

    fn apply_base(&mut self, now: Millis, started_at: Millis, base: Base) {
        self.reset_failures();
        self.base_read_at = Some(started_at);
        self.base = Base {
            first: base.first,
            trimmed: base.trimmed.max(self.base.trimmed),
        };
        self.schedule_trim(now);
        if base.first > self.next {
            self.reset(now, base.first);
        }
    }

    fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Handles a failed operation: refuses all pending calls and delays the next operation.
    fn back_off(&mut self, context: &mut Context<'_>) {
        self.behind = true;
        self.conflicted = false;
        let wait = Millis(context.limits.backoff.0 << self.failures.min(MAX_DOUBLINGS));
        let wait = wait.min(context.limits.backoff_max);
        self.failures += 1;
        // Up to half of the wait is removed at random, so that nodes do not retry simultaneously.
        let jitter = context.random % (wait.0 / 2 + 1);
        self.retry_at = context.now + Millis(wait.0 - jitter);
        self.refuse_pending(context, Reason::StoreUnavailable);
    }
}
