//! A node that decides by the router.

use base::{Millis, Name, Seed};
use indexmap::IndexMap;
use route::event::Finish;
use route::failure::{Failure, Kind};
use route::{
    Action, Arrival, CallKey, DispatchId, EndpointKey, Event, Prefix, ReplicaKey, Router, WorkspaceKey,
    endpoint, replica, workspace,
};

use super::Config;
use super::node::{Coming, Dispatch, End, Order, Report};
use crate::workload::stream::Priority;

/// Dispatches of one workspace that a node may have in flight; large enough not to matter here.
const SHARE: u32 = 100_000;

/// The router of a node, and the names by which the trial knows its keys.
#[derive(Debug)]
pub struct Routed {
    router: Router,
    endpoint: EndpointKey,
    workspaces: Vec<WorkspaceKey>,
    priorities: Vec<route::arrival::Priority>,
    replicas: IndexMap<usize, ReplicaKey>,
    places: IndexMap<ReplicaKey, usize>,
    capacity: u32,
    timeout: Millis,
    lag: Millis,
    actions: Vec<Action>,
}

impl Routed {
    pub fn new(config: &Config, index: usize, seed: Seed, affinity: bool) -> Self {
        let zone = &config.zones[index % config.zones.len()];
        let mut router = Router::new(seed).with_zone(&Name::new(zone));
        let settings = endpoint::Settings::new(Millis(config.target_ms));
        let endpoint = router.add_endpoint(settings.with_affinity(affinity));
        let mut known = IndexMap::new();
        let workspaces = config.streams.iter().map(|stream| {
            let add = || router.add_workspace(workspace::Settings::new(SHARE));
            *known.entry(&stream.workspace).or_insert_with(add)
        });
        let workspaces = workspaces.collect();
        let priorities = config.streams.iter().map(|stream| priority(stream.priority));
        Self {
            endpoint,
            workspaces,
            priorities: priorities.collect(),
            replicas: IndexMap::new(),
            places: IndexMap::new(),
            capacity: config.engine.max_running as u32,
            timeout: Millis(config.timeout_ms),
            lag: Millis(config.lag_ms),
            actions: Vec::new(),
            router,
        }
    }

    pub fn add(&mut self, now: Millis, place: usize, zone: &str, orders: &mut Vec<Order>) {
        let spec = replica::Spec {
            endpoint: self.endpoint,
            zone: self.router.zone_key(&Name::new(zone)),
            version: self.router.version_key(&Name::new("v1")),
            capacity: self.capacity,
            identity: place as u64,
        };
        if let Some(key) = self.router.add_replica(now, spec, &mut self.actions) {
            self.replicas.insert(place, key);
            self.places.insert(key, place);
        }
        self.give(orders);
    }

    pub fn leave(&mut self, now: Millis, place: usize, orders: &mut Vec<Order>) {
        if let Some(replica) = self.replicas.get(&place).copied() {
            self.step(now, Event::ReplicaLeaving { replica }, orders);
        }
    }

    pub fn arrive(&mut self, now: Millis, coming: Coming, orders: &mut Vec<Order>) {
        let call = CallKey(coming.call as u64);
        let workspace = self.workspaces[coming.stream];
        let mut arrival = Arrival::new(call, self.endpoint, workspace, now + self.timeout)
            .with_idempotent(true)
            .with_priority(self.priorities[coming.stream]);
        if let Some(prefix) = coming.prefix {
            arrival = arrival.with_prefix(prefix);
        }
        self.step(now, Event::Arrive(arrival), orders);
    }

    pub fn first_token(&mut self, now: Millis, dispatch: Dispatch, orders: &mut Vec<Order>) {
        let dispatch = DispatchId(dispatch.id);
        self.step(now, Event::FirstToken { dispatch }, orders);
    }

    pub fn finish(&mut self, now: Millis, dispatch: Dispatch, end: End, orders: &mut Vec<Order>) {
        let dispatch = DispatchId(dispatch.id);
        let finish = match end {
            End::Whole => Finish::Complete,
            End::Cut { tokens: 0 } => Finish::Failed(Failure::new(Kind::Reset, true)),
            End::Cut { tokens } => Finish::Interrupted { tokens },
            End::Cancelled => Finish::Failed(Failure::new(Kind::Cancelled, true)),
        };
        self.step(now, Event::Finished { dispatch, finish }, orders);
    }

    pub fn report(&mut self, now: Millis, place: usize, report: Report, orders: &mut Vec<Order>) {
        let Some(replica) = self.replicas.get(&place).copied() else {
            return;
        };
        let report = replica::Report {
            running: report.running,
            queued: report.queued,
            age: self.lag,
        };
        self.step(now, Event::Report { replica, report }, orders);
    }

    pub fn cached(
        &mut self,
        now: Millis,
        place: usize,
        prefix: Prefix,
        stored: bool,
        orders: &mut Vec<Order>,
    ) {
        let Some(replica) = self.replicas.get(&place).copied() else {
            return;
        };
        let event = if stored {
            Event::PrefixCached { replica, prefix }
        } else {
            Event::PrefixEvicted { replica, prefix }
        };
        self.step(now, event, orders);
    }

    pub fn tick(&mut self, now: Millis, orders: &mut Vec<Order>) {
        self.step(now, Event::Tick, orders);
    }

    pub fn wake_at(&self) -> Option<Millis> {
        self.router.wake_at()
    }

    fn step(&mut self, now: Millis, event: Event, orders: &mut Vec<Order>) {
        self.router.step(now, event, &mut self.actions);
        self.give(orders);
    }

    fn give(&mut self, orders: &mut Vec<Order>) {
        for action in self.actions.drain(..) {
            match action {
                Action::Dispatch(dispatch) => orders.push(Order::Dispatch(Dispatch {
                    call: dispatch.call.0 as usize,
                    replica: self.places[&dispatch.replica],
                    id: dispatch.id.0,
                })),
                // NB: the trial finds the call by its dispatch's id.
                Action::Cancel { dispatch } => orders.push(Order::Cancel { id: dispatch.0 }),
                Action::Refuse { call, .. } => orders.push(Order::Refuse {
                    call: call.0 as usize,
                }),
                Action::Complete { .. } => {}
            }
        }
    }
}

const fn priority(priority: Priority) -> route::arrival::Priority {
    match priority {
        Priority::Interactive => route::arrival::Priority::Interactive,
        Priority::Normal => route::arrival::Priority::Normal,
        Priority::Batch => route::arrival::Priority::Batch,
    }
}
