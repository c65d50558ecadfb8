//! State shared by all tasks of a node.

mod advice;
mod availability;
mod cold;
mod comparison;
mod durations;
mod exchange;
mod limits;
mod pace;
mod poison;
mod reach;
mod regions;
mod zones;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::intake::Allowance;
use ::poison::{Change, Detector};
use arc_swap::ArcSwap;
use base::{Incarnation, Millis, Seed};
use clock::Clock;
use indexmap::IndexMap;
use place::intermediary::Intermediaries;
use place::shutdown::Durations;
use place::{Pool, Zones};
use quota::{Limiter, RetryBudget};
use relay::Availability;
use table::{Limits, Table};
use tokio::sync::{Notify, watch};

use crate::counts::Counts;
use crate::edge::{Cloud, Edge};
use crate::exchange::Questions;
use crate::intake::{Address, Memory, Report, Roster};
use crate::lifecycle::Lifecycle;
use crate::peers::{HeardNodes, Hub, LostNodes, Topology};
use crate::publish::Collector;
use crate::settings::Settings;
use crate::upstream::{Connections, RESPONSES};
use crate::view::View;
use crate::wall_clock::WallClock;

pub use comparison::{RequestEvent, RolloutNumber};
pub use reach::{ForwardGuard, Intermediary, IntermediaryUse, Path};

/// Fraction of a replica's connection limit that all nodes combined use.
const CONNECTION_SHARE: f64 = 0.8;

/// Shared state and clients of a node.
#[derive(Debug)]
pub struct Shared {
    /// The platform's names and formats.
    pub edge: Arc<dyn Edge>,
    /// Client of the platform's store.
    pub store: store::Client,
    /// Client of the cloud's API.
    pub cloud: Arc<dyn Cloud>,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// When the process started.
    pub started_at: Millis,
    /// Seed of the replica pools and of the leader election.
    pub seed: Seed,
    /// The monotonic clock.
    pub clock: Clock,
    /// Lifecycle phase of the node.
    pub lifecycle: Lifecycle,
    /// Whether the last call for the view reached the store, at this node or the one that it asked.
    pub store_reachable: watch::Sender<bool>,
    /// Idle connections to replicas.
    pub connections: Connections,
    /// Memory for the requests of clients.
    pub request_memory: Arc<Memory>,
    /// Connections of callers.
    pub callers: Arc<Roster>,
    /// Limits that clients have reached.
    pub limit_report: Report,
    settings: ArcSwap<Settings>,
    allowance: ArcSwap<Allowance>,
    /// Number of requests in flight.
    waiting: AtomicUsize,
    view: Mutex<View>,
    pools: Mutex<IndexMap<Arc<str>, Pool>>,
    zones: ArcSwap<Zones>,
    /// The nodes that send to cold replicas.
    roster: Mutex<place::Roster>,
    limits: Mutex<IndexMap<Arc<str>, Limiter>>,
    topology: ArcSwap<Topology>,
    hub: Mutex<Hub>,
    availability: Mutex<Availability>,
    /// Notified when a deletion is deferred, or more is known of the store's outages.
    deletions_changed: Notify,
    /// Nodes that were heard from, by incarnation.
    heard_nodes: Mutex<HeardNodes>,
    /// Nodes whose registrations ran out.
    lost_nodes: Mutex<LostNodes>,
    /// Hubs of other zones that were heard from, by incarnation.
    heard_hubs: Mutex<HeardNodes>,
    /// Nodes through which requests are sent while this one reaches no replica.
    intermediaries: Mutex<Intermediaries>,
    /// Number of requests that are forwarded for other nodes.
    forwarded: AtomicUsize,
    /// Sequence number and arrival time of the last datagram from each sender.
    last_heard: Mutex<IndexMap<u64, (u64, Millis)>>,
    retry_budgets: Mutex<IndexMap<Arc<str>, RetryBudget>>,
    counts: Mutex<Counts>,
    /// How long answers took, by route.
    durations: Mutex<Durations>,
    outcomes: Mutex<IndexMap<Arc<str>, comparison::Outcomes>>,
    wall_clock: Mutex<WallClock>,
    questions: Mutex<Questions>,
    /// The node through which this one reads the store.
    followed: Mutex<Option<Incarnation>>,
    collector: Mutex<Collector>,
    /// Notified when another node's reports arrive.
    reports_arrived: Notify,
    /// Crashes of replicas under requests, and what is blocked for it.
    poison: Mutex<Detector>,
    /// Changes of blocks by this node that are not in the store yet.
    pub blocks_changed: watch::Sender<Vec<Change>>,
}

impl Shared {
    /// Creates the state of a node that has not read the store yet.
    pub fn new(
        edge: Arc<dyn Edge>,
        store: store::Client,
        cloud: Arc<dyn Cloud>,
        settings: Settings,
        clock: Clock,
    ) -> Self {
        let incarnation = Incarnation(rand::random());
        let min_outage = availability::min_outage(&settings);
        let allowance = Allowance::new(settings.memory_mb, settings.max_fds);
        let connections = Connections::new(clock);
        apply_allowance(&allowance, &connections);
        Self {
            edge,
            store,
            cloud,
            availability: Mutex::new(Availability::new(clock.now(), min_outage)),
            deletions_changed: Notify::new(),
            heard_nodes: Mutex::default(),
            lost_nodes: Mutex::default(),
            heard_hubs: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
            waiting: AtomicUsize::new(0),
            incarnation,
            started_at: clock.now(),
            seed: Seed(incarnation.0),
            clock,
            lifecycle: Lifecycle::new(),
            store_reachable: watch::Sender::new(true),
            connections,
            request_memory: Arc::new(Memory::new(clock, allowance.request_bytes)),
            callers: Arc::new(Roster::new(Address::Front)),
            limit_report: Report::default(),
            allowance: ArcSwap::from_pointee(allowance),
            view: Mutex::default(),
            pools: Mutex::default(),
            zones: ArcSwap::default(),
            roster: Mutex::default(),
            limits: Mutex::default(),
            topology: ArcSwap::default(),
            hub: Mutex::default(),
            last_heard: Mutex::default(),
            intermediaries: Mutex::new(Intermediaries::new(Seed(incarnation.0).generator())),
            forwarded: AtomicUsize::new(0),
            retry_budgets: Mutex::default(),
            counts: Mutex::default(),
            durations: Mutex::default(),
            outcomes: Mutex::default(),
            wall_clock: Mutex::default(),
            questions: Mutex::default(),
            followed: Mutex::default(),
            collector: Mutex::default(),
            reports_arrived: Notify::new(),
            poison: Mutex::new(Detector::new(clock.now())),
            blocks_changed: watch::Sender::default(),
        }
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The current settings.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Replaces the settings. Addresses that are already bound do not change.
    pub fn set_settings(&self, settings: Settings) {
        let allowance = Allowance::new(settings.memory_mb, settings.max_fds);
        apply_allowance(&allowance, &self.connections);
        self.request_memory.set_limit(allowance.request_bytes);
        self.allowance.store(Arc::new(allowance));
        self.settings.store(Arc::new(settings));
    }

    /// What clients may make the process hold.
    pub fn allowance(&self) -> Arc<Allowance> {
        self.allowance.load_full()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Number of requests in flight.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// The node's view of the store.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Limits on callers' requests and connections; defaults until there is a configuration.
    pub fn caller_limits(&self) -> Limits {
        let view = self.view();
        let table = view.table.as_ref();
        table.map_or_else(Limits::default, |table| table.limits())
    }

    /// The usage counts.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    /// The wall clock estimate.
    pub fn wall_clock(&self) -> MutexGuard<'_, WallClock> {
        lock(&self.wall_clock)
    }

    /// Calls `work` with the replica pool of an endpoint, which is created if necessary.
    pub fn with_pool<F, T>(&self, endpoint: &Arc<str>, work: F) -> T
    where
        F: FnOnce(&mut Pool) -> T,
    {
        let mut pools = lock(&self.pools);
        let seed = self.seed;
        let pool = pools.entry(Arc::clone(endpoint)).or_insert_with(|| {
            let label = endpoint.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
            Pool::new(seed.derive(label), place::Settings::default()).with_zones(self.zones.load_full())
        });
        work(pool)
    }

    /// Calls `work` with all replica pools.
    pub fn with_pools<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut IndexMap<Arc<str>, Pool>) -> T,
    {
        work(&mut lock(&self.pools))
    }

    /// Applies the configuration and the number of nodes to the replica pools.
    pub fn configure_pools(&self, table: &Table, nodes: usize) {
        for endpoint in table.endpoints() {
            let part = f64::from(endpoint.max_connections) * CONNECTION_SHARE / nodes as f64;
            let settings = place::Settings {
                max_in_flight: (part as usize).max(1),
                cache_tokens: endpoint.model.map_or(0, |model| model.cache_tokens),
                cold: self.cold_rate(endpoint),
                ..place::Settings::default()
            };
            self.with_pool(&endpoint.name, |pool| pool.set_settings(settings));
        }
    }

    /// Counts a request of a workspace that began to run at this time.
    pub fn count_usage(&self, workspace: &Arc<str>, began: Millis) {
        let Some(unix_ms) = self.wall_clock().unix_ms(began) else {
            return;
        };
        let window = unix_ms / self.settings().usage_window.0.max(1);
        self.counts().add(window, workspace);
    }

    /// Whether callers should use this node: its view has a configuration and is fresh, and the node is not leaving.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        let is_fresh = view
            .freshness
            .is_within(self.now(), self.settings().key_revocation_time);
        view.table.is_some() && is_fresh && self.lifecycle.phase() == crate::lifecycle::Phase::Serving
    }
}

fn apply_allowance(allowance: &Allowance, connections: &Connections) {
    RESPONSES.set_limit(allowance.response_bytes);
    connections.set_max_idle(allowance.idle_upstream_connections);
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<Shared>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
