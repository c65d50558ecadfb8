//! The run of a key, from dispatch to completion.

use std::sync::Arc;

use super::entry::{Run, State};
use super::{Action, Finish, Phase, Table};
use crate::{Answer, Call, Completion, Key, Reason, Record};

impl Table {
    /// Grants the only dispatch of a key.
    pub(super) fn dispatch(&mut self, call: Call, key: Key) {
        let exported = self.phase == Phase::Exported;
        let Some(run) = self.run_mut(call, key) else {
            return self.actions.push(Action::DispatchDenied { call });
        };
        if run.dispatched {
            return self.actions.push(Action::DispatchDenied { call });
        }
        if exported {
            return self.deny_dispatch(call, key);
        }
        run.dispatched = true;
        self.actions.push(Action::DispatchGranted { call });
    }

    /// Ends a run that the export has certified as never sent.
    fn deny_dispatch(&mut self, call: Call, key: Key) {
        self.actions.push(Action::DispatchDenied { call });
        let Some(run) = self.run_mut(call, key) else {
            return;
        };
        let waiters = std::mem::take(&mut run.waiters);
        self.entries.swap_remove(&key.number);
        for waiter in waiters {
            self.refuse(waiter, Reason::NodeStopping);
        }
    }

    pub(super) fn finish(&mut self, call: Call, key: Key, result: Finish) {
        let Some(run) = self.run_mut(call, key) else {
            return;
        };
        let waiters = std::mem::take(&mut run.waiters);
        let dispatched = run.dispatched;
        let answer = match result {
            Finish::NotRun if !dispatched => self.release(key),
            Finish::NotRun | Finish::Unknown => self.end(key, Completion::Unknown),
            Finish::Answered(record) => self.record(key, record),
        };
        for waiter in waiters {
            self.answer(waiter, answer.clone());
        }
        self.enforce_limits();
    }

    pub(super) fn disconnect(&mut self, call: Call, key: Key) {
        if key.home != self.home {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return;
        };
        if let State::Running(run) = &mut entry.state {
            run.waiters.retain(|waiter| *waiter != call);
        }
    }

    /// Returns the run of `key` if it is in progress and owned by `call`.
    fn run_mut(&mut self, call: Call, key: Key) -> Option<&mut Run> {
        if key.home != self.home {
            return None;
        }
        match &mut self.entries.get_mut(&key.number)?.state {
            State::Running(run) if run.call == call => Some(run),
            State::Running(_) | State::Ended(_) => None,
        }
    }

    /// Removes the key: nothing was sent, so it is as unused as before its first arrival.
    fn release(&mut self, key: Key) -> Answer {
        self.entries.swap_remove(&key.number);
        Answer::Refused(Reason::NotStarted)
    }

    /// Answers with the record, and keeps it if it is within the size limit.
    fn record(&mut self, key: Key, record: Record) -> Answer {
        let record = Arc::new(record);
        let fits = record.bytes() <= self.limits.record_bytes;
        let completion = if fits {
            Completion::Recorded(Arc::clone(&record))
        } else {
            Completion::Dropped
        };
        self.end(key, completion);
        Answer::Recorded(record)
    }

    fn end(&mut self, key: Key, completion: Completion) -> Answer {
        let answer = completion.answer();
        if key.number < self.window.low() {
            // Repeats of keys below the low-water mark are refused as expired, so no entry is needed.
            self.entries.swap_remove(&key.number);
            return answer;
        }
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return answer;
        };
        if matches!(completion, Completion::Recorded(_)) {
            self.bytes += completion.bytes();
            self.recorded.insert(key.number);
        }
        entry.state = State::Ended(completion);
        self.ended.insert(key.number);
        answer
    }
}
