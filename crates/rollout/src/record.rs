//! Rollout state stored in the key-value service.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Plan, Share, Shares, Stage, Verdict, WallTime};

/// Identifies one write, so that a writer whose answer was lost can tell whether the write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// Fencing token of the writer.
    pub fence: u64,
    /// Number of the write, increasing under the same fencing token.
    pub number: u64,
}

/// A share and the time it came into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Share of the new version.
    pub share: Share,
    /// Time at which the share was set.
    pub since: WallTime,
}

/// State of an endpoint's latest rollout, changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Plan as declared.
    pub plan: Plan,
    /// Write that produced this record.
    pub write: WriteId,
    /// Current stage.
    pub stage: Stage,
    /// Time at which the stage began.
    #[serde(rename = "since")]
    pub stage_since: WallTime,
    /// Current step of each route with traffic.
    pub routes: IndexMap<Name, Step>,
    /// Current step of every other route.
    #[serde(rename = "rest")]
    pub default_step: Step,
    /// Routes whose share was raised to meet the deadline, without enough evidence.
    #[serde(rename = "thin")]
    pub forced: Vec<Name>,
    /// How the rollout ended. Set once and never changed; this is the authoritative outcome.
    pub verdict: Option<Verdict>,
}

impl Record {
    /// Creates the record of a new rollout, with the canary share on every route.
    pub fn new(plan: Plan, write: WriteId, now: WallTime) -> Self {
        let default_step = Step {
            share: plan.canary,
            since: now,
        };
        Self {
            plan,
            write,
            stage: Stage::Moving,
            stage_since: now,
            routes: IndexMap::new(),
            default_step,
            forced: Vec::new(),
            verdict: None,
        }
    }

    /// Current step of `route`.
    pub fn step(&self, route: &Name) -> Step {
        self.routes.get(route).copied().unwrap_or(self.default_step)
    }

    /// Whether all traffic of every route goes to the new version.
    pub fn is_full(&self) -> bool {
        let full = |step: &Step| step.share == Share::FULL;
        full(&self.default_step) && self.routes.values().all(full)
    }

    /// Enters `stage` at `now`.
    pub const fn enter_stage(&mut self, stage: Stage, now: WallTime) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Ends the rollout, unless it already has a verdict.
    pub fn end(&mut self, verdict: Verdict, now: WallTime) {
        if self.verdict.is_some() {
            return;
        }
        let stage = match verdict {
            Verdict::Done(_) => Stage::Done,
            Verdict::Undone(_) => Stage::Undone,
        };
        self.enter_stage(stage, now);
        self.verdict = Some(verdict);
    }
}

/// A record and its generation in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The record.
    pub record: Record,
    /// Increases with each change; zero means that nothing is stored.
    pub generation: u64,
}

impl Stored {
    /// Shares that are in force under this record.
    pub fn shares(&self) -> Shares {
        let record = &self.record;
        let share = |(route, step): (&Name, &Step)| (route.clone(), step.share);
        Shares {
            rollout: record.plan.id,
            endpoint: record.plan.endpoint.clone(),
            from: record.plan.from.clone(),
            to: record.plan.to.clone(),
            generation: self.generation,
            stage: record.stage,
            routes: record.routes.iter().map(share).collect(),
            default_share: record.default_step.share,
        }
    }
}
