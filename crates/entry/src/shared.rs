//! What all tasks of one node share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use base::{Incarnation, Millis, Seed};
use clock::Clock;
use indexmap::IndexMap;
use place::Pool;
use quota::{Allowance, Bounds, Limit, Policy, Terms};
use table::{Table, Workspace};

use crate::counts::Counts;
use crate::edge::{Cloud, Edge};
use crate::peers::{self, Beat};
use crate::publish::Compared;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::truth::Truth;
use crate::upstream::Links;
use crate::view::View;

/// Part of the nodes' common slack for repeats that is used: a restarted node has forgotten what it spent.
const SLACK_PART: f64 = 0.5;
/// Part of a replica's connections that all nodes together use.
const CONNECTION_PART: f64 = 0.8;

/// State and connections of one node.
#[derive(Debug)]
pub struct Shared {
    /// The platform's names and formats.
    pub edge: Arc<dyn Edge>,
    /// The platform's store.
    pub store: store::Client,
    /// The cloud's API.
    pub cloud: Arc<dyn Cloud>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Seed of all random draws.
    pub seed: Seed,
    /// The monotonic clock.
    pub clock: Clock,
    /// Phases of the stop.
    pub stop: Stop,
    /// Free connections to replicas.
    pub links: Links,
    settings: ArcSwap<Settings>,
    /// Requests that callers wait for.
    waiting: AtomicUsize,
    view: Mutex<View>,
    pools: Mutex<IndexMap<Arc<str>, Pool>>,
    limits: Mutex<IndexMap<Arc<str>, Limit>>,
    /// Nodes that were heard: number of the last datagram and when it came.
    heard: Mutex<IndexMap<u64, (u64, Millis)>>,
    allowances: Mutex<IndexMap<Arc<str>, Allowance>>,
    counts: Mutex<Counts>,
    compared: Mutex<IndexMap<Arc<str>, Compared>>,
    truth: Mutex<Truth>,
}

impl Shared {
    /// The state of a node that has seen nothing yet.
    pub fn new(
        edge: Arc<dyn Edge>,
        store: store::Client,
        cloud: Arc<dyn Cloud>,
        settings: Settings,
        clock: Clock,
    ) -> Self {
        let incarnation = Incarnation(rand::random());
        Self {
            edge,
            store,
            cloud,
            settings: ArcSwap::from_pointee(settings),
            waiting: AtomicUsize::new(0),
            incarnation,
            seed: Seed(incarnation.0),
            clock,
            stop: Stop::new(),
            links: Links::new(clock),
            view: Mutex::default(),
            pools: Mutex::default(),
            limits: Mutex::default(),
            heard: Mutex::default(),
            allowances: Mutex::default(),
            counts: Mutex::default(),
            compared: Mutex::default(),
            truth: Mutex::default(),
        }
    }

    /// The present point of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Puts other settings in force. Addresses stay as they were bound.
    pub fn set_settings(&self, settings: Settings) {
        self.settings.store(Arc::new(settings));
    }

    /// A caller waits for an answer; it is counted until the guard is dropped.
    pub fn wait(self: &Arc<Self>) -> Waiting {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(Arc::clone(self))
    }

    /// Requests that callers wait for.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// The view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Counts of usage.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    /// The estimate of true time.
    pub fn truth(&self) -> MutexGuard<'_, Truth> {
        lock(&self.truth)
    }

    /// Runs `work` on the pool of an endpoint, which is made if there is none.
    pub fn with_pool<F, T>(&self, endpoint: &Arc<str>, work: F) -> T
    where
        F: FnOnce(&mut Pool) -> T,
    {
        let mut pools = lock(&self.pools);
        let seed = self.seed;
        let pool = pools.entry(Arc::clone(endpoint)).or_insert_with(|| {
            let label = endpoint.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
            Pool::new(seed.derive(label), place::Settings::default())
        });
        work(pool)
    }

    /// Runs `work` on all pools.
    pub fn with_pools<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut IndexMap<Arc<str>, Pool>) -> T,
    {
        work(&mut lock(&self.pools))
    }

    /// Fits the pools to the configuration and to the number of nodes.
    pub fn fit_pools(&self, table: &Table, nodes: usize) {
        for endpoint in table.endpoints() {
            let part = f64::from(endpoint.max_connections) * CONNECTION_PART / nodes as f64;
            let settings = place::Settings {
                in_flight: (part as usize).max(1),
                cache_tokens: endpoint.model.map_or(0, |model| model.cache_tokens),
                ..place::Settings::default()
            };
            self.with_pool(&endpoint.name, |pool| pool.set_settings(settings));
        }
    }

    /// Takes tokens of a workspace's limit, or says when there will be enough.
    pub fn take_quota(&self, workspace: &Workspace, tokens: u64) -> Result<(), Millis> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let terms = self.terms(workspace);
        let now = self.now();
        let mut limits = lock(&self.limits);
        let limit = limits
            .entry(Arc::clone(&workspace.name))
            .or_insert_with(|| Limit::new(now, &terms));
        limit.take(now, tokens, &terms)
    }

    /// Gives tokens back that a request took which was not sent.
    pub fn give_quota_back(&self, workspace: &Workspace, tokens: u64) {
        if let Some(limit) = lock(&self.limits).get_mut(&workspace.name) {
            limit.give_back(tokens);
        }
    }

    /// Takes in what another node told.
    pub fn hear(&self, beat: &Beat) {
        let now = self.now();
        {
            let mut heard = lock(&self.heard);
            let last = heard.entry(beat.from).or_insert((0, now));
            if beat.number <= last.0 {
                return;
            }
            *last = (beat.number, now);
        }
        let table = self.view().table.clone();
        for (name, total) in &beat.used {
            let workspaces = table.iter().flat_map(|table| table.workspaces());
            let Some(workspace) = workspaces.into_iter().find(|it| it.name == *name) else {
                continue;
            };
            let terms = self.terms(workspace);
            let mut limits = lock(&self.limits);
            let limit = limits
                .entry(Arc::clone(name))
                .or_insert_with(|| Limit::new(now, &terms));
            limit.hear(now, beat.from, *total, &terms);
        }
        for (endpoint, loads) in &beat.loads {
            self.with_pool(endpoint, |pool| pool.hear(now, beat.from, loads));
        }
    }

    /// What this node tells the others.
    pub fn beat(&self) -> Beat {
        let used = lock(&self.limits)
            .iter()
            .map(|(name, limit)| (Arc::clone(name), limit.total()))
            .collect();
        let loads = self.with_pools(|pools| {
            let loads = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.own_loads()));
            loads.filter(|(_, loads)| !loads.is_empty()).collect()
        });
        Beat {
            from: self.incarnation.0,
            number: 0,
            used,
            loads,
        }
    }

    /// Where the other nodes are reached.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let others = view.peers.iter().filter(|(it, _)| **it != self.incarnation);
        others.map(|(_, peer)| peer.peer_address).collect()
    }

    /// Whether all other nodes were heard lately.
    fn is_connected(&self) -> bool {
        let now = self.now();
        let heard = lock(&self.heard);
        let is_heard = |node: &Incarnation| {
            let last = heard.get(&node.0);
            last.is_some_and(|(_, at)| now.since(*at) < peers::SILENCE)
        };
        let view = self.view();
        let mut others = view.peers.keys().filter(|it| **it != self.incarnation);
        others.all(is_heard)
    }

    /// Counts a request's first dispatch to an endpoint.
    pub fn count_dispatch(&self, endpoint: &Arc<str>) {
        let policy = self.repeats();
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.entry(Arc::clone(endpoint)).or_default();
        allowance.request(self.now(), &policy);
    }

    /// Takes one repeated dispatch to an endpoint; whether there was one left.
    pub fn take_repeat(&self, endpoint: &Arc<str>) -> bool {
        let policy = self.repeats();
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.entry(Arc::clone(endpoint)).or_default();
        allowance.take(self.now(), &policy)
    }

    /// Counts a request of a workspace that began to run at this point.
    pub fn count_usage(&self, workspace: &Arc<str>, began: Millis) {
        let Some(unix_ms) = self.truth().unix_ms(began) else {
            return;
        };
        let window = unix_ms / self.settings().usage_window.0.max(1);
        self.counts().add(window, workspace);
    }

    /// Ends of requests at both versions of endpoints that are being moved.
    pub fn compared(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Compared>> {
        lock(&self.compared)
    }

    /// Counts the start or end of a request at an endpoint that is being moved.
    pub fn compare(&self, endpoint: &Arc<str>, version: &str, mark: Mark) {
        let Some((order, target)) = self.view().moves.running(endpoint) else {
            return;
        };
        let mut all = lock(&self.compared);
        let compared = all.entry(Arc::clone(endpoint)).or_default();
        if compared.order != order {
            *compared = Compared {
                order,
                ..Compared::default()
            };
        }
        let is_new = version == &*target;
        match mark {
            Mark::Start if !is_new => compared.old_in_flight += 1,
            Mark::Start => {}
            Mark::End { failed, latency } => {
                let tally = if is_new {
                    &mut compared.new
                } else {
                    &mut compared.old
                };
                if let Some(failed) = failed {
                    tally.note(failed, latency);
                }
                if !is_new {
                    compared.old_in_flight = compared.old_in_flight.saturating_sub(1);
                }
            }
        }
    }

    /// Whether callers should use this node: it knows a configuration that is surely in force, and is not leaving.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        let is_proved = view.proof.holds(self.now(), self.settings().key_life);
        view.table.is_some() && is_proved && self.stop.phase() == crate::stop::Phase::Running
    }

    fn repeats(&self) -> Policy {
        let settings = self.settings();
        let nodes = self.view().nodes();
        Policy {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack * SLACK_PART,
            nodes,
        }
    }

    fn terms(&self, workspace: &Workspace) -> Terms {
        let settings = self.settings();
        // NB: a guard within the expression below would live until its end.
        let nodes = self.view().nodes();
        let is_connected = self.is_connected();
        Terms {
            rate: workspace.rate,
            burst: workspace.burst,
            bounds: Bounds {
                window: settings.quota_window,
                overshoot: settings.quota_overshoot,
                slack: settings.quota_slack,
            },
            nodes,
            is_connected,
        }
    }
}

/// What happened to a request at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It was sent.
    Start,
    /// It ended.
    End {
        /// Whether it failed; `None` if the end says nothing about the version.
        failed: Option<bool>,
        /// Time until the answer or its first event.
        latency: Option<Millis>,
    },
}

/// One request that a caller waits for.
#[derive(Debug)]
pub struct Waiting(Arc<Shared>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
