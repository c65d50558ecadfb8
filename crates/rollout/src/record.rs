//! What is kept in the key-value service.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Plan, Share, Shares, Stage, Verdict, WallTime};

/// The id of one write, by which a lost answer is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// Fencing number of the writer's role.
    pub fence: u64,
    /// Grows with each write under that fencing number.
    pub number: u64,
}

/// A share, and since when it is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The new version's share.
    pub share: Share,
    /// When it was set.
    pub since: WallTime,
}

/// The state of an endpoint's latest rollout; changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The rollout as declared.
    pub plan: Plan,
    /// The write that made this record.
    pub write: WriteId,
    /// Where it stands.
    pub stage: Stage,
    /// When it came there.
    #[serde(rename = "since")]
    pub stage_since: WallTime,
    /// Steps of routes that have traffic.
    pub routes: IndexMap<Name, Step>,
    /// Step of every other route.
    #[serde(rename = "rest")]
    pub default_step: Step,
    /// Routes that have moved on without enough evidence.
    #[serde(rename = "thin")]
    pub forced: Vec<Name>,
    /// How it ended. Recorded once, never changed: this is the telling that counts.
    pub verdict: Option<Verdict>,
}

impl Record {
    /// The record of a rollout just declared: nothing has moved but the canary share.
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

    /// The step of `route`.
    pub fn step(&self, route: &Name) -> Step {
        self.routes.get(route).copied().unwrap_or(self.default_step)
    }

    /// Whether every route has all its traffic on the new version.
    pub fn is_full(&self) -> bool {
        let full = |step: &Step| step.share == Share::FULL;
        full(&self.default_step) && self.routes.values().all(full)
    }

    /// Moves on to `stage`.
    pub const fn enter_stage(&mut self, stage: Stage, now: WallTime) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Ends the rollout; a verdict that stands is not changed.
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

/// A record with the generation that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The record.
    pub record: Record,
    /// Grows with each change; zero means that nothing is stored.
    pub generation: u64,
}

impl Stored {
    /// The shares that this record puts in force.
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
