//! The local comparison of versions on one node.

pub mod event;
pub mod flight;
pub mod limits;
pub mod probe;
pub mod shift;
pub mod sketch;
pub mod track;
pub mod watch;

pub use event::{Action, Event};
pub use limits::Limits;

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;

use crate::guard::track::{End, Track};
use crate::guard::watch::Watch;
use crate::{Assignment, Id, Summary};

/// How often thresholds and usual rates are learnt anew.
const REFRESH: Millis = Millis(2_000);

/// Compares the versions of every rollout on this node; one a node.
///
/// It needs no other process: its vetoes hold in an outage of the platform and without a controller.
#[derive(Clone, Debug)]
pub struct Guard {
    node: Incarnation,
    limits: Limits,
    sequence: u64,
    refreshed: Millis,
    endpoints: IndexMap<Name, Watch>,
}

impl Guard {
    /// A guard for this run of the node.
    pub fn new(node: Incarnation) -> Self {
        Self {
            node,
            limits: Limits::default(),
            sequence: 0,
            refreshed: Millis::ZERO,
            endpoints: IndexMap::new(),
        }
    }

    /// The guard with other limits.
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Takes an event in; what to do about it.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Applied(shares) => self.watch(&shares.endpoint.clone()).apply(*shares),
            Event::Vetoed(rollout) => self.vetoed(rollout),
            Event::Nodes(nodes) => self.limits.nodes = nodes,
            Event::Started {
                endpoint,
                route,
                assignment,
            } => {
                self.watch(&endpoint).start(now, &route, assignment);
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

    /// This node's evidence on a rollout, for the controller.
    pub fn summary(&mut self, rollout: Id) -> Summary {
        self.sequence += 1;
        let watch = self.endpoints.values().find(|watch| watch.is_about(rollout));
        let entry = |(route, track): (&Name, &Track)| (route.clone(), track.entry);
        let routes = watch.map(|watch| watch.routes.iter().map(entry).collect());
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
        let limits = self.limits;
        let watch = self.watch(endpoint);
        let compared = assignment.filter(|_| watch.active().is_some());
        let Some(assignment) = compared else {
            if assignment.is_none_or(|assignment| watch.serves(&assignment)) {
                watch.learn(route, ended.since(started));
            }
            return Vec::new();
        };
        let end = End {
            assignment,
            started,
            ended,
            failed,
        };
        let veto = watch.end(route, end, &limits);
        veto.into_iter()
            .map(|veto| Action::Veto(Box::new(veto)))
            .collect()
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let refresh = now.since(self.refreshed) >= REFRESH;
        if refresh {
            self.refreshed = now;
        }
        let mut actions = Vec::new();
        for watch in self.endpoints.values_mut() {
            if refresh {
                watch.routes.values_mut().for_each(Track::refresh);
            }
            watch.tick(now, &self.limits, &mut actions);
        }
        actions
    }

    fn vetoed(&mut self, rollout: Id) {
        for watch in self.endpoints.values_mut() {
            if watch.is_about(rollout) {
                watch.veto();
            }
        }
    }

    fn watch(&mut self, endpoint: &Name) -> &mut Watch {
        let index = match self.endpoints.get_index_of(endpoint) {
            Some(index) => index,
            None => self.endpoints.insert_full(endpoint.clone(), Watch::default()).0,
        };
        &mut self.endpoints[index]
    }
}
