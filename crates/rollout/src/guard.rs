//! Local comparison of versions on one node.

pub mod cusum;
pub mod endpoint;
pub mod event;
pub mod histogram;
pub mod in_flight;
pub mod probe;
pub mod route;
pub mod settings;

pub use event::{Action, Event};
pub use settings::Settings;

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;

use crate::guard::endpoint::EndpointState;
use crate::guard::route::{Completion, RouteState};
use crate::{Assignment, Id, Summary};

/// Time between two updates of the thresholds and baseline rates.
const REFRESH_INTERVAL: Millis = Millis(2_000);

/// Compares the versions of every rollout on this node. A node has one guard for all its endpoints.
///
/// The guard depends on no other process, so its vetoes work during an outage of the platform and without a
/// controller.
#[derive(Clone, Debug)]
pub struct Guard {
    node: Incarnation,
    settings: Settings,
    sequence: u64,
    last_refresh: Millis,
    endpoints: IndexMap<Name, EndpointState>,
}

impl Guard {
    /// Creates a guard for this incarnation of the node.
    pub fn new(node: Incarnation) -> Self {
        Self {
            node,
            settings: Settings::default(),
            sequence: 0,
            last_refresh: Millis::ZERO,
            endpoints: IndexMap::new(),
        }
    }

    /// Replaces the settings.
    pub const fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Applied(shares) => self.endpoint_mut(&shares.endpoint.clone()).apply(*shares),
            Event::Vetoed(rollout) => self.mark_vetoed(rollout),
            Event::Nodes(nodes) => self.settings.nodes = nodes,
            Event::Started {
                endpoint,
                route,
                assignment,
            } => {
                self.endpoint_mut(&endpoint).start(now, &route, assignment);
            }
            Event::Finished {
                endpoint,
                route,
                assignment,
                started,
                failed,
            } => {
                return self.finished(&endpoint, &route, assignment, (started, now), failed);
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Creates this node's next report on a rollout for the controller.
    pub fn summary(&mut self, rollout: Id) -> Summary {
        self.sequence += 1;
        let state = self.endpoints.values().find(|state| state.is_for(rollout));
        let totals = |(route, state): (&Name, &RouteState)| (route.clone(), state.totals);
        let routes = state.map(|state| state.routes.iter().map(totals).collect());
        Summary {
            rollout,
            node: self.node,
            sequence: self.sequence,
            routes: routes.unwrap_or_default(),
        }
    }

    fn finished(
        &mut self,
        endpoint: &Name,
        route: &Name,
        assignment: Option<Assignment>,
        (started, ended): (Millis, Millis),
        failed: bool,
    ) -> Vec<Action> {
        let settings = self.settings;
        let state = self.endpoint_mut(endpoint);
        let compared = assignment.filter(|_| state.active_rollout().is_some());
        let Some(assignment) = compared else {
            if assignment.is_none_or(|assignment| state.serves(&assignment)) {
                state.record_baseline(route, ended.since(started));
            }
            return Vec::new();
        };
        let completion = Completion {
            assignment,
            started,
            ended,
            failed,
        };
        let veto = state.end(route, completion, &settings);
        veto.into_iter()
            .map(|veto| Action::Veto(Box::new(veto)))
            .collect()
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let is_refresh_due = now.since(self.last_refresh) >= REFRESH_INTERVAL;
        if is_refresh_due {
            self.last_refresh = now;
        }
        let mut actions = Vec::new();
        for state in self.endpoints.values_mut() {
            if is_refresh_due {
                state.routes.values_mut().for_each(RouteState::refresh_baseline);
            }
            state.tick(now, &self.settings, &mut actions);
        }
        actions
    }

    fn mark_vetoed(&mut self, rollout: Id) {
        for state in self.endpoints.values_mut() {
            if state.is_for(rollout) {
                state.mark_vetoed();
            }
        }
    }

    fn endpoint_mut(&mut self, endpoint: &Name) -> &mut EndpointState {
        let index = match self.endpoints.get_index_of(endpoint) {
            Some(index) => index,
            None => {
                self.endpoints
                    .insert_full(endpoint.clone(), EndpointState::default())
                    .0
            }
        };
        &mut self.endpoints[index]
    }
}
