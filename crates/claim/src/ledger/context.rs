//! Inputs and outputs of one step of a log.

use base::{Incarnation, Millis};

use super::{Action, Actions, Limits, Shard};
use crate::{Answer, Call, Reason};

/// Context of one step of one log.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub now: Millis,
    pub node: Incarnation,
    pub shard: Shard,
    pub limits: &'a Limits,
    pub draining: bool,
    /// Random number drawn for this step, for jitter.
    pub random: u64,
    pub actions: &'a mut Actions,
}

impl Context<'_> {
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub fn refuse(&mut self, call: Call, reason: Reason) {
        self.answer(call, Answer::Refused(reason));
    }

    pub fn answer(&mut self, call: Call, answer: Answer) {
        self.actions.push(Action::Answer { call, answer });
    }
}
