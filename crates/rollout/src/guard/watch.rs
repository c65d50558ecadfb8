//! What a guard knows of one endpoint.

use base::{Millis, Name};
use indexmap::IndexMap;

use crate::guard::event::Action;
use crate::guard::limits::Limits;
use crate::guard::probe::Change;
use crate::guard::track::{End, Track};
use crate::{Arm, Assignment, Evidence, Id, Share, Shares, Signal, Stage, Veto};

/// Routes compared at most an endpoint; requests of further ones are no evidence.
pub const ROUTES: usize = 128;

/// One endpoint's rollout as this node sees it.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    shares: Option<Shares>,
    vetoed: bool,
    /// Evidence a route.
    pub routes: IndexMap<Name, Track>,
}

impl Watch {
    /// Takes shares that came into force.
    pub fn apply(&mut self, shares: Shares) {
        let before = self.shares.as_ref();
        if before.is_some_and(|before| before.generation >= shares.generation) {
            return;
        }
        if before.is_none_or(|before| before.rollout != shares.rollout) {
            self.vetoed = false;
            self.routes.values_mut().for_each(Track::begin);
        }
        let was_done = before.is_some_and(|before| before.stage == Stage::Done);
        if shares.stage == Stage::Done && !was_done && !self.vetoed {
            self.routes.values_mut().for_each(Track::promote);
        }
        self.shares = Some(shares);
    }

    /// The rollout that is being compared, if any.
    pub fn active(&self) -> Option<Id> {
        let shares = self.shares.as_ref()?;
        let runs = shares.stage.is_running() && !self.vetoed;
        runs.then_some(shares.rollout)
    }

    /// Whether this is the rollout last applied.
    pub fn is_about(&self, rollout: Id) -> bool {
        self.shares
            .as_ref()
            .is_some_and(|shares| shares.rollout == rollout)
    }

    /// Ends the comparison.
    pub const fn veto(&mut self) {
        self.vetoed = true;
    }

    /// A request starts.
    pub fn start(&mut self, now: Millis, route: &Name, assignment: Option<Assignment>) {
        let Some(assignment) = assignment.filter(|drawn| self.active() == Some(drawn.rollout)) else {
            return;
        };
        if let Some(track) = self.track(route) {
            track.start(now, assignment);
        }
    }

    /// A request ends; the veto it gives rise to.
    pub fn end(&mut self, route: &Name, end: End, limits: &Limits) -> Option<Veto> {
        if self.active() != Some(end.assignment.rollout) {
            return None;
        }
        let shown = self.track(route)?.end(end);
        if !shown || end.assignment.arm == Arm::Old {
            return None;
        }
        let sufficient = self.sufficient(limits);
        let evidence = self.routes.get(route)?.finding(sufficient)?;
        self.find(route.clone(), evidence)
    }

    /// Whether requests so assigned run the version that now serves alone.
    pub fn serves(&self, assignment: &Assignment) -> bool {
        let done = self
            .shares
            .as_ref()
            .is_some_and(|shares| shares.stage == Stage::Done);
        let serving = if done && !self.vetoed { Arm::New } else { Arm::Old };
        assignment.arm == serving
    }

    /// A request outside any rollout ended.
    pub fn learn(&mut self, route: &Name, latency: Millis) {
        if self.active().is_some() {
            return;
        }
        if let Some(track) = self.track(route) {
            track.learn(latency);
        }
    }

    /// Looks for hung requests and suspicions.
    pub fn tick(&mut self, now: Millis, limits: &Limits, actions: &mut Vec<Action>) {
        let Some(rollout) = self.active() else {
            return;
        };
        let sufficient = self.sufficient(limits);
        let mut found = None;
        // What is suspected on one route is compared on all: the same version serves them.
        let suspect = self.routes.values().find_map(Track::suspect);
        for (route, track) in &mut self.routes {
            track.hang(now);
            if let Some(evidence) = track.finding(sufficient) {
                found = Some((route.clone(), evidence));
                break;
            }
            let share = self
                .shares
                .as_ref()
                .map_or(Share::ZERO, |shares| shares.get(route));
            if let Some(change) = track.weigh_probe(now, suspect, share, limits) {
                let cap = match change {
                    Change::Hold(share) => Some(share),
                    Change::Release => None,
                };
                actions.push(Action::Cap {
                    rollout,
                    route: route.clone(),
                    cap,
                });
            }
        }
        let veto = found.and_then(|(route, evidence)| self.find(route, evidence));
        actions.extend(veto.map(|veto| Action::Veto(Box::new(veto))));
    }

    fn find(&mut self, route: Name, evidence: Evidence) -> Option<Veto> {
        let shares = self.shares.as_ref()?;
        self.vetoed = true;
        Some(Veto {
            rollout: shares.rollout,
            endpoint: shares.endpoint.clone(),
            version: shares.to.clone(),
            route: Some(route),
            evidence,
        })
    }

    fn sufficient(&self, limits: &Limits) -> f64 {
        limits.sufficient(self.routes.len() * Signal::ALL.len())
    }

    fn track(&mut self, route: &Name) -> Option<&mut Track> {
        let known = self.routes.get_index_of(route);
        let index = match known {
            Some(index) => index,
            None if self.routes.len() >= ROUTES => return None,
            None => self.routes.insert_full(route.clone(), Track::default()).0,
        };
        self.routes.get_index_mut(index).map(|(_, track)| track)
    }
}
