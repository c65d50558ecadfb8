//! State of one endpoint in the guard.

use base::{Millis, Name};
use indexmap::IndexMap;

use crate::guard::event::Action;
use crate::guard::probe::Change;
use crate::guard::route::{Completion, RouteState};
use crate::guard::settings::Settings;
use crate::{Arm, Assignment, Evidence, Id, Share, Shares, Signal, Stage, Veto};

/// Largest number of routes compared per endpoint. Requests of further routes are ignored.
pub const MAX_ROUTES: usize = 128;

/// The latest rollout of one endpoint and its evidence on this node.
#[derive(Clone, Debug, Default)]
pub struct EndpointState {
    shares: Option<Shares>,
    vetoed: bool,
    /// Evidence by route.
    pub routes: IndexMap<Name, RouteState>,
}

impl EndpointState {
    /// Applies shares that came into force, if they are newer than the known ones.
    pub fn apply(&mut self, shares: Shares) {
        let before = self.shares.as_ref();
        if before.is_some_and(|before| before.generation >= shares.generation) {
            return;
        }
        if before.is_none_or(|before| before.rollout != shares.rollout) {
            self.vetoed = false;
            self.routes.values_mut().for_each(RouteState::start_rollout);
        }
        let was_done = before.is_some_and(|before| before.stage == Stage::Done);
        if shares.stage == Stage::Done && !was_done && !self.vetoed {
            self.routes.values_mut().for_each(RouteState::promote);
        }
        self.shares = Some(shares);
    }

    /// Id of the rollout whose versions are being compared, if any.
    pub fn active_rollout(&self) -> Option<Id> {
        let shares = self.shares.as_ref()?;
        let is_active = shares.stage.is_running() && !self.vetoed;
        is_active.then_some(shares.rollout)
    }

    /// Whether `rollout` is the one applied last.
    pub fn is_for(&self, rollout: Id) -> bool {
        self.shares
            .as_ref()
            .is_some_and(|shares| shares.rollout == rollout)
    }

    /// Ends the comparison after a veto.
    pub const fn mark_vetoed(&mut self) {
        self.vetoed = true;
    }

    /// Records the start of a request.
    pub fn start(&mut self, now: Millis, route: &Name, assignment: Option<Assignment>) {
        let Some(assignment) = assignment.filter(|drawn| self.active_rollout() == Some(drawn.rollout)) else {
            return;
        };
        if let Some(state) = self.route_mut(route) {
            state.start(now, assignment);
        }
    }

    /// Records the end of a request and returns a veto if the evidence now suffices.
    pub fn end(&mut self, route: &Name, completion: Completion, settings: &Settings) -> Option<Veto> {
        if self.active_rollout() != Some(completion.assignment.rollout) {
            return None;
        }
        let has_signal = self.route_mut(route)?.end(completion);
        if !has_signal || completion.assignment.arm == Arm::Old {
            return None;
        }
        let threshold = self.veto_threshold(settings);
        let evidence = self.routes.get(route)?.finding(threshold)?;
        self.issue_veto(route.clone(), evidence)
    }

    /// Whether a request with this assignment ran the version that serves outside the rollout: the new one
    /// after a rollout that was done, else the old one.
    pub fn serves(&self, assignment: &Assignment) -> bool {
        let done = self
            .shares
            .as_ref()
            .is_some_and(|shares| shares.stage == Stage::Done);
        let serving = if done && !self.vetoed { Arm::New } else { Arm::Old };
        assignment.arm == serving
    }

    /// Records the latency of a request outside any running rollout.
    pub fn record_baseline(&mut self, route: &Name, latency: Millis) {
        if self.active_rollout().is_some() {
            return;
        }
        if let Some(state) = self.route_mut(route) {
            state.record_baseline(latency);
        }
    }

    /// Counts hung requests, and starts and ends checks of suspicions.
    pub fn tick(&mut self, now: Millis, settings: &Settings, actions: &mut Vec<Action>) {
        let Some(rollout) = self.active_rollout() else {
            return;
        };
        let threshold = self.veto_threshold(settings);
        let mut finding = None;
        // A suspicion on one route is checked on all, because the same version serves them.
        let suspected = self.routes.values().find_map(RouteState::suspected_signal);
        for (route, state) in &mut self.routes {
            state.count_hung(now);
            if let Some(evidence) = state.finding(threshold) {
                finding = Some((route.clone(), evidence));
                break;
            }
            let share = self
                .shares
                .as_ref()
                .map_or(Share::ZERO, |shares| shares.get(route));
            if let Some(change) = state.step_probe(now, suspected, share, settings) {
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
        let veto = finding.and_then(|(route, evidence)| self.issue_veto(route, evidence));
        actions.extend(veto.map(|veto| Action::Veto(Box::new(veto))));
    }

    fn issue_veto(&mut self, route: Name, evidence: Evidence) -> Option<Veto> {
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

    fn veto_threshold(&self, settings: &Settings) -> f64 {
        settings.veto_threshold(self.routes.len() * Signal::ALL.len())
    }

    fn route_mut(&mut self, route: &Name) -> Option<&mut RouteState> {
        let existing = self.routes.get_index_of(route);
        let index = match existing {
            Some(index) => index,
            None if self.routes.len() >= MAX_ROUTES => return None,
            None => self.routes.insert_full(route.clone(), RouteState::default()).0,
        };
        self.routes.get_index_mut(index).map(|(_, state)| state)
    }
}
