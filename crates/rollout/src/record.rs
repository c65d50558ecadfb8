//! What is kept in the key-value service.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Plan, Share, Stage, Verdict, Wall};

/// The id of one write, by which a lost answer is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Write {
    /// Fencing number of the writer's role.
    pub fence: u64,
    /// Grows with each write under that fencing number.
    pub number: u64,
}

/// The state of an endpoint's latest rollout; changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The rollout as declared.
    pub plan: Plan,
    /// The write that made this record.
    pub write: Write,
    /// Where it stands.
    pub stage: Stage,
    /// When the stage or a share last changed.
    pub since: Wall,
    /// The new version's share a route.
    pub routes: IndexMap<Name, Share>,
    /// Share of every other route.
    pub rest: Share,
    /// How it ended. Recorded once, never changed: this is the telling that counts.
    pub verdict: Option<Verdict>,
}

/// A record with the generation that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The record.
    pub record: Record,
    /// Grows with each change; zero means that nothing is stored.
    pub generation: u64,
}
