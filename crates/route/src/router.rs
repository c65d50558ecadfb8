//! The request router of one node.

mod arrive;
mod attempt;
mod call;
mod dispatch;
mod finish;
mod retry;
mod select;
mod timers;
mod update;

use base::seed::Generator;
use base::{Millis, Name, Seed};
use indexmap::IndexSet;
use slotmap::SlotMap;

use crate::action::Action;
use crate::endpoint::{self, Endpoint};
use crate::event::Event;
use crate::hash::Map;
use crate::key::{CallKey, DispatchId, EndpointKey, ReplicaKey, VersionKey, WorkspaceKey, ZoneKey};
use crate::replica::{self, Replica};
use crate::workspace::{self, Workspace};
use attempt::Attempt;
use call::Call;
use timers::Timers;

/// Selects replicas, enforces limits, queues requests and decides on retries and refusals for all endpoints of a node.
#[derive(Debug)]
pub struct Router {
    generator: Generator,
    zone: ZoneKey,
    zones: IndexSet<Name>,
    versions: IndexSet<Name>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    replicas: SlotMap<ReplicaKey, Replica>,
    workspaces: SlotMap<WorkspaceKey, Workspace>,
    calls: Map<CallKey, Call>,
    attempts: Map<DispatchId, Attempt>,
    timers: Timers,
    /// Number of arrivals so far.
    arrival_count: u64,
    /// Number of dispatches so far.
    dispatch_count: u64,
}

impl Router {
    /// Creates a router without endpoints and without an availability zone.
    pub fn new(seed: Seed) -> Self {
        Self {
            generator: seed.generator(),
            zone: ZoneKey(u32::MAX),
            zones: IndexSet::new(),
            versions: IndexSet::new(),
            endpoints: SlotMap::with_key(),
            replicas: SlotMap::with_key(),
            workspaces: SlotMap::with_key(),
            calls: Map::default(),
            attempts: Map::default(),
            timers: Timers::default(),
            arrival_count: 0,
            dispatch_count: 0,
        }
    }

    /// Sets the availability zone of the node. Replicas in this zone are preferred.
    pub fn with_zone(mut self, zone: &Name) -> Self {
        self.zone = self.zone_key(zone);
        self
    }

    /// Returns the key of an availability zone; the same name gives the same key.
    pub fn zone_key(&mut self, name: &Name) -> ZoneKey {
        ZoneKey(self.zones.insert_full(name.clone()).0 as u32)
    }

    /// Returns the key of a version; the same name gives the same key.
    pub fn version_key(&mut self, name: &Name) -> VersionKey {
        VersionKey(self.versions.insert_full(name.clone()).0 as u32)
    }

    /// Adds an endpoint.
    pub fn add_endpoint(&mut self, settings: endpoint::Settings) -> EndpointKey {
        self.endpoints.insert(Endpoint::new(settings))
    }

    /// Adds a workspace.
    pub fn add_workspace(&mut self, settings: workspace::Settings) -> WorkspaceKey {
        self.workspaces.insert(Workspace::new(settings))
    }

    /// Adds a replica and dispatches queued requests to it. Returns `None` if its endpoint is unknown.
    ///
    /// A replica that left and came back is a new incarnation and must be added again.
    pub fn add_replica(
        &mut self,
        now: Millis,
        spec: replica::Spec,
        actions: &mut Vec<Action>,
    ) -> Option<ReplicaKey> {
        let endpoint = self.endpoints.get_mut(spec.endpoint)?;
        endpoint.pools.add(replica::Placement::new(&spec));
        let key = self.replicas.insert(Replica::new(spec));
        self.update_free_pool(key);
        self.dispatch_queued(now, spec.endpoint, actions);
        Some(key)
    }

    /// Processes an event and appends the resulting actions to `actions`.
    ///
    /// Expired timers run first, so that no deadline is missed.
    pub fn step(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.run_expired_timers(now, actions);
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Sent { dispatch } => self.sent(dispatch),
            Event::FirstToken { dispatch } => self.first_token(now, dispatch),
            Event::Finished { dispatch, finish } => self.finish(now, dispatch, finish, actions),
            Event::Cancelled { call } => self.cancel_call(call, actions),
            Event::EndpointChanged { endpoint, settings } => {
                self.change_endpoint(now, endpoint, settings, actions);
            }
            Event::EndpointRemoved { endpoint } => self.remove_endpoint(now, endpoint, actions),
            Event::WorkspaceChanged { workspace, settings } => {
                self.change_workspace(now, workspace, settings, actions);
            }
            Event::WorkspaceRemoved { workspace } => self.remove_workspace(now, workspace, actions),
            Event::ReplicaLeaving { replica } => {
                self.advance_phase(now, replica, replica::Phase::Leaving, actions);
            }
            Event::ReplicaGone { replica } => self.advance_phase(now, replica, replica::Phase::Gone, actions),
            Event::Report { replica, report } => self.report(now, replica, report, actions),
            Event::PrefixCached { replica, prefix } => self.prefix_cached(replica, prefix),
            Event::PrefixEvicted { replica, prefix } => self.prefix_evicted(replica, prefix),
            Event::Tick => {}
        }
    }

    /// Returns the latest time for the next `Event::Tick`; `None` if no timer is set.
    pub fn wake_at(&self) -> Option<Millis> {
        self.timers.first()
    }

    /// Number of requests queued at an endpoint.
    pub fn queued(&self, endpoint: EndpointKey) -> usize {
        self.endpoints
            .get(endpoint)
            .map_or(0, |endpoint| endpoint.queue.len())
    }

    /// Number of this node's dispatches to an endpoint that have not ended.
    pub fn in_flight(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |endpoint| endpoint.in_flight)
    }

    /// Number of this node's dispatches of a workspace that have not ended.
    pub fn workspace_in_flight(&self, workspace: WorkspaceKey) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(0, |workspace| workspace.in_flight)
    }

    /// Number of requests of a workspace that are in flight or queued on this node, which its share should follow.
    pub fn workspace_demand(&self, workspace: WorkspaceKey) -> u32 {
        let waiting = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.queue.len_of(workspace));
        self.workspace_in_flight(workspace) + waiting.sum::<usize>() as u32
    }

    /// Number of replicas of an endpoint that accept new requests, free or not.
    pub fn live_replicas(&self, endpoint: EndpointKey) -> usize {
        self.endpoints
            .get(endpoint)
            .map_or(0, |endpoint| endpoint.pools.live())
    }

    /// Returns the state of a replica for gauges and reports.
    pub fn replica(&self, replica: ReplicaKey) -> Option<replica::Snapshot> {
        self.replicas.get(replica).map(Replica::snapshot)
    }
}
