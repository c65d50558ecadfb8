//! Adapter that runs the production router in the simulation.

use base::{Millis, Name, Seed};
use indexmap::IndexMap;
use route::event::Finish;
use route::failure::{Failure, Kind};
use route::{
    Action, Arrival, CallKey, DispatchId, EndpointKey, Event, Prefix, ReplicaKey, Router, WorkspaceKey,
    endpoint, replica, workspace,
};

use super::Config;
use super::node::{Command, Dispatch, End, Report, Request};
use crate::workload::stream::Priority;

/// Maximum number of dispatches in flight per workspace and node; high enough never to limit a simulation.
const WORKSPACE_SHARE: u32 = 100_000;

/// The router of a node, with a mapping between its keys and the indices of the simulation.
#[derive(Debug)]
pub struct Routed {
    router: Router,
    endpoint: EndpointKey,
    workspaces: Vec<WorkspaceKey>,
    priorities: Vec<route::arrival::Priority>,
    replicas: IndexMap<usize, ReplicaKey>,
    indices: IndexMap<ReplicaKey, usize>,
    capacity: u32,
    timeout: Millis,
    report_lag: Millis,
    actions: Vec<Action>,
}

impl Routed {
    pub fn new(config: &Config, index: usize, seed: Seed, affinity: bool) -> Self {
        let zone = &config.zones[index % config.zones.len()];
        let mut router = Router::new(seed).with_zone(&Name::new(zone));
        let settings = endpoint::Settings::new(Millis(config.target_ms));
        let endpoint = router.add_endpoint(settings.with_affinity(affinity));
        let mut keys = IndexMap::new();
        let workspaces = config.streams.iter().map(|stream| {
            let add = || router.add_workspace(workspace::Settings::new(WORKSPACE_SHARE));
            *keys.entry(&stream.workspace).or_insert_with(add)
        });
        let workspaces = workspaces.collect();
        let priorities = config.streams.iter().map(|stream| priority(stream.priority));
        Self {
            endpoint,
            workspaces,
            priorities: priorities.collect(),
            replicas: IndexMap::new(),
            indices: IndexMap::new(),
            capacity: config.engine.max_running as u32,
            timeout: Millis(config.timeout_ms),
            report_lag: Millis(config.lag_ms),
            actions: Vec::new(),
            router,
        }
    }

    pub fn add_replica(&mut self, now: Millis, index: usize, zone: &str, commands: &mut Vec<Command>) {
        let spec = replica::Spec {
            endpoint: self.endpoint,
            zone: self.router.zone_key(&Name::new(zone)),
            version: self.router.version_key(&Name::new("v1")),
            capacity: self.capacity,
            identity: index as u64,
        };
        if let Some(key) = self.router.add_replica(now, spec, &mut self.actions) {
            self.replicas.insert(index, key);
            self.indices.insert(key, index);
        }
        self.translate_actions(commands);
    }

    pub fn drain(&mut self, now: Millis, index: usize, commands: &mut Vec<Command>) {
        if let Some(replica) = self.replicas.get(&index).copied() {
            self.step(now, Event::ReplicaLeaving { replica }, commands);
        }
    }

    pub fn arrive(&mut self, now: Millis, request: Request, commands: &mut Vec<Command>) {
        let call = CallKey(request.call as u64);
        let workspace = self.workspaces[request.stream];
        let mut arrival = Arrival::new(call, self.endpoint, workspace, now + self.timeout)
            .with_idempotent(true)
            .with_priority(self.priorities[request.stream]);
        if let Some(prefix) = request.prefix {
            arrival = arrival.with_prefix(prefix);
        }
        self.step(now, Event::Arrive(arrival), commands);
    }

    pub fn first_token(&mut self, now: Millis, dispatch: Dispatch, commands: &mut Vec<Command>) {
        let dispatch = DispatchId(dispatch.id);
        self.step(now, Event::FirstToken { dispatch }, commands);
    }

    pub fn finish(&mut self, now: Millis, dispatch: Dispatch, end: End, commands: &mut Vec<Command>) {
        let dispatch = DispatchId(dispatch.id);
        let finish = match end {
            End::Complete => Finish::Complete,
            End::Interrupted { tokens: 0 } => Finish::Failed(Failure::new(Kind::Reset, true)),
            End::Interrupted { tokens } => Finish::Interrupted { tokens },
            End::Cancelled => Finish::Failed(Failure::new(Kind::Cancelled, true)),
        };
        self.step(now, Event::Finished { dispatch, finish }, commands);
    }

    pub fn report(&mut self, now: Millis, index: usize, report: Report, commands: &mut Vec<Command>) {
        let Some(replica) = self.replicas.get(&index).copied() else {
            return;
        };
        let report = replica::Report {
            running: report.running,
            queued: report.queued,
            age: self.report_lag,
        };
        self.step(now, Event::Report { replica, report }, commands);
    }

    pub fn update_prefix(
        &mut self,
        now: Millis,
        index: usize,
        prefix: Prefix,
        stored: bool,
        commands: &mut Vec<Command>,
    ) {
        let Some(replica) = self.replicas.get(&index).copied() else {
            return;
        };
        let event = if stored {
            Event::PrefixCached { replica, prefix }
        } else {
            Event::PrefixEvicted { replica, prefix }
        };
        self.step(now, event, commands);
    }

    pub fn tick(&mut self, now: Millis, commands: &mut Vec<Command>) {
        self.step(now, Event::Tick, commands);
    }

    pub fn wake_at(&self) -> Option<Millis> {
        self.router.wake_at()
    }

    fn step(&mut self, now: Millis, event: Event, commands: &mut Vec<Command>) {
        self.router.step(now, event, &mut self.actions);
        self.translate_actions(commands);
    }

    fn translate_actions(&mut self, commands: &mut Vec<Command>) {
        for action in self.actions.drain(..) {
            match action {
                Action::Dispatch(dispatch) => commands.push(Command::Dispatch(Dispatch {
                    call: dispatch.call.0 as usize,
                    replica: self.indices[&dispatch.replica],
                    id: dispatch.id.0,
                })),
                // The simulation finds the call by the dispatch id.
                Action::Cancel { dispatch } => commands.push(Command::Cancel { id: dispatch.0 }),
                Action::Refuse { call, .. } => commands.push(Command::Refuse {
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
