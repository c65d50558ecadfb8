//! Requests of operators.

use base::Name;

use crate::action::Refusal;
use crate::{Action, Id, Plan, Reason, Record, Verdict, WallTime};

/// An operator's request that has not been answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Start a rollout.
    Declare(Box<Plan>),
    /// Undo a rollout.
    Undo {
        /// Id of the rollout.
        rollout: Id,
        /// Operator who undoes it.
        operator: Name,
    },
}

/// Outcome of a request under the stored record.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The record shows that it took effect.
    Accepted,
    /// It can't take effect.
    Refused(Refusal),
    /// It takes effect by writing a new record.
    NeedsWrite,
}

impl Answer {
    /// The action that answers the operator; refuses with `otherwise` if a write would be needed.
    pub fn action(self, rollout: Id, otherwise: Refusal) -> Action {
        match self {
            Self::Accepted => Action::Accept(rollout),
            Self::Refused(refusal) => Action::Refuse { rollout, refusal },
            Self::NeedsWrite => Action::Refuse {
                rollout,
                refusal: otherwise,
            },
        }
    }
}

impl Request {
    /// Id of the rollout that the request concerns.
    pub const fn rollout(&self) -> Id {
        match self {
            Self::Declare(plan) => plan.id,
            Self::Undo { rollout, .. } => *rollout,
        }
    }

    /// Outcome of the request under the stored `record`.
    pub fn answer(&self, record: Option<&Record>, now: WallTime) -> Answer {
        match self {
            Self::Declare(plan) => declare(plan, record, now),
            Self::Undo { rollout, operator } => undo(*rollout, operator, record),
        }
    }
}

fn declare(plan: &Plan, record: Option<&Record>, now: WallTime) -> Answer {
    match record {
        Some(record) if record.plan.id == plan.id => Answer::Accepted,
        Some(record) if record.stage.is_running() => Answer::Refused(Refusal::Conflict {
            winner: record.plan.id,
            operator: record.plan.operator.clone(),
        }),
        _ if !plan.is_valid(now) => Answer::Refused(Refusal::Invalid),
        _ => Answer::NeedsWrite,
    }
}

fn undo(rollout: Id, operator: &Name, record: Option<&Record>) -> Answer {
    let Some(record) = record.filter(|record| record.plan.id == rollout) else {
        return Answer::Refused(Refusal::Unknown);
    };
    match &record.verdict {
        None => Answer::NeedsWrite,
        Some(Verdict::Undone(Reason::Operator(by))) if by == operator => Answer::Accepted,
        Some(verdict) => Answer::Refused(Refusal::Ended(Box::new(verdict.clone()))),
    }
}
