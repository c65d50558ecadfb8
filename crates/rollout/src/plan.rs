//! Rollout plans declared by operators.

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Id, Share, WallTime};

/// Largest canary share, which is all that a version gets before there is evidence on it.
pub const CANARY_SHARE: Share = Share::from_percent(5);

/// A rollout as declared: the versions, the deadline and the limits of the canary phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the rollout.
    pub id: Id,
    /// Endpoint whose traffic moves.
    pub endpoint: Name,
    /// Version that serves now; kept until the rollout is done.
    pub from: Name,
    /// Version to move to.
    pub to: Name,
    /// Time of the declaration.
    pub start: WallTime,
    /// Time by which all traffic has moved if the version is good.
    #[serde(rename = "by")]
    pub deadline: WallTime,
    /// Share of the new version on each route until there is evidence.
    pub canary: Share,
    /// Time for which the new version is watched at full share before the rollout is done.
    pub watch: Millis,
    /// Operator who declared the rollout; named in the refusal of a concurrent declaration.
    pub operator: Name,
}

impl Plan {
    /// Time from the declaration to the deadline.
    pub const fn time_allowed(&self) -> Millis {
        self.deadline.since(self.start)
    }

    /// Whether the plan can still be carried out at `now`.
    pub fn is_valid(&self, now: WallTime) -> bool {
        let share = self.canary > Share::ZERO && self.canary <= CANARY_SHARE;
        self.from != self.to && self.deadline > now && share
    }
}
