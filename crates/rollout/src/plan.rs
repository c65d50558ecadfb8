//! What an operator declares.

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Id, Share, WallTime};

/// The share that a version gets before there is evidence on it.
pub const CANARY_SHARE: Share = Share::from_percent(5);

/// A rollout as declared: which version replaces which, and by when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the declaration.
    pub id: Id,
    /// The endpoint.
    pub endpoint: Name,
    /// The version that serves now; it is kept until the rollout is done.
    pub from: Name,
    /// The version to move to.
    pub to: Name,
    /// When it was declared.
    pub start: WallTime,
    /// All traffic has moved by then, if the version is good.
    #[serde(rename = "by")]
    pub deadline: WallTime,
    /// Ceiling of the share a route until there is evidence.
    pub canary: Share,
    /// How long the version is watched at full share before the rollout is done.
    pub watch: Millis,
    /// Who declared it: named to the loser of a race.
    pub operator: Name,
}

impl Plan {
    /// The time allowed, from the declaration on.
    pub const fn time_allowed(&self) -> Millis {
        self.deadline.since(self.start)
    }

    /// Whether it can be carried out at `now`.
    pub fn is_valid(&self, now: WallTime) -> bool {
        let share = self.canary > Share::ZERO && self.canary <= CANARY_SHARE;
        self.from != self.to && self.deadline > now && share
    }
}
