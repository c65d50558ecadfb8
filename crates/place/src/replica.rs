//! State of one replica as the node sees it.

use base::Millis;
use indexmap::IndexMap;

use crate::cold::Cold;
use crate::health::Health;
use crate::pace::Pace;
use crate::rate_limit::RateLimit;
use crate::{Load, Part, PeerLoad, Spec, State, VersionFilter};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Half-life of an observed delay.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Age at which reports of load and reachability are ignored.
const REPORT_TTL: Millis = Millis(1_000);
/// Time for which a suspicion holds; long enough for the reporting nodes to retry and to report the result.
const SUSPICION_TTL: Millis = Millis(3_000);
/// Maximum number of cached parts to track per replica.
const MAX_CACHED_PARTS: usize = 1_024;

/// What a replica said of the requests that it can turn away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Brittleness {
    /// It has not answered.
    Unknown,
    /// It said nothing of it.
    Sound,
    /// It can turn so many requests away in a second.
    Brittle(u32),
}

/// A replica with its load, health and presumed cache content.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub spec: Spec,
    pub health: Health,
    /// Time at which the replica was registered in this pool.
    pub first_seen: Millis,
    /// Hash of the id, used for rendezvous hashing and peer reports.
    pub hash: u64,
    /// Hash of the id and the start.
    pub incarnation_hash: u64,
    /// Requests of this node in flight.
    pub in_flight: usize,
    /// Prompt tokens of this node that the replica has not processed yet.
    pub unread_tokens: u64,
    /// Moving average of the time to an answer or first event, in milliseconds.
    latency_ms: Option<f64>,
    /// Delay of the last answer or first event beyond the expected time, in milliseconds.
    delay_ms: f64,
    delay_recorded_at: Millis,
    load: Option<(Millis, Load)>,
    /// Whether it said in an answer that it is leaving. This holds until it starts again, whatever it registers.
    pub is_leaving: bool,
    /// How long it is cold.
    pub cold: Cold,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// Until when it wants no requests from this node.
    pub paused_until: Millis,
    /// What it said of the requests that it can turn away.
    pub brittleness: Brittleness,
    /// Its rate limit, if it has named one.
    pub rate_limit: Option<RateLimit>,
    /// Load from other nodes by node, with the time of the report.
    peer_loads: IndexMap<u64, (Millis, PeerLoad)>,
    /// When this node last received a response from the replica.
    pub last_heard: Millis,
    /// Time of the report and hash of the availability zone of each other node that can't reach the replica.
    unreachable_reports: IndexMap<u64, (Millis, u64)>,
    /// Last time at which nodes of two availability zones reported the replica as unreachable.
    suspected_at: Option<Millis>,
    /// Shared parts that this node sent to the replica, with their tokens; least recently used first.
    cached_parts: IndexMap<u64, (u32, Millis)>,
    cached_tokens: u64,
    /// How fast it is; used for endpoints whose replicas report it.
    pub pace: Pace,
}

impl Replica {
    pub fn new(now: Millis, spec: Spec) -> Self {
        Self {
            first_seen: now,
            hash: crate::rendezvous::hash(&spec.id),
            incarnation_hash: match spec.started_unix_ms {
                Some(started) => crate::rendezvous::hash(&format!("{} {started}", spec.id)),
                None => crate::rendezvous::hash(&spec.id),
            },
            spec,
            health: Health::default(),
            in_flight: 0,
            unread_tokens: 0,
            latency_ms: None,
            delay_ms: 0.0,
            delay_recorded_at: Millis::ZERO,
            load: None,
            is_leaving: false,
            cold: Cold::default(),
            is_evacuated: false,
            paused_until: Millis::ZERO,
            brittleness: Brittleness::Unknown,
            rate_limit: None,
            peer_loads: IndexMap::new(),
            last_heard: Millis::ZERO,
            unreachable_reports: IndexMap::new(),
            suspected_at: None,
            cached_parts: IndexMap::new(),
            cached_tokens: 0,
            pace: Pace::default(),
        }
    }

    /// Returns whether the replica registered as ready, has not said otherwise, and its version passes the filter.
    pub fn is_ready(&self, version: VersionFilter<'_>) -> bool {
        self.spec.state == State::Ready && !self.is_leaving && version.matches(&self.spec.version)
    }

    /// Returns whether the replica is ready and its zone is not evacuated.
    pub fn is_usable(&self, version: VersionFilter<'_>) -> bool {
        !self.is_evacuated && self.is_ready(version)
    }

    /// Returns the number of requests at the replica: the higher of what it reported and what the nodes know of.
    pub fn load(&self, now: Millis) -> usize {
        let reported = self
            .load
            .filter(|(at, _)| now.since(*at) < REPORT_TTL)
            .map_or(0, |(_, load)| (load.running + load.waiting) as usize);
        let others: usize = self
            .fresh_peer_loads(now)
            .map(|load| load.in_flight as usize)
            .sum();
        reported.max(self.in_flight + others)
    }

    /// Returns whether the replica's last report said that requests wait there.
    pub fn has_queue(&self, now: Millis) -> bool {
        let report = self.load.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        report.is_some_and(|(_, load)| load.waiting > 0)
    }

    /// Returns the prompt tokens that the replica has not processed yet, including those that other nodes reported.
    pub fn unread_tokens(&self, now: Millis) -> u64 {
        let others: u64 = self.fresh_peer_loads(now).map(|load| load.unread_tokens).sum();
        self.unread_tokens + others
    }

    /// Records the load from another node; `None` if that node has no requests at the replica.
    pub fn record_peer_load(&mut self, now: Millis, node: u64, load: Option<PeerLoad>) {
        match load {
            Some(load) => {
                self.peer_loads.insert(node, (now, load));
            }
            None => {
                self.peer_loads.swap_remove(&node);
            }
        }
    }

    /// Records whether another node, in the given availability zone, can reach the replica.
    ///
    /// The replica becomes suspect when nodes of two availability zones can't reach it; the nodes of a single zone may
    /// be partitioned themselves.
    pub fn record_reachability(&mut self, now: Millis, node: u64, zone: u64, is_unreachable: bool) {
        if !is_unreachable {
            self.unreachable_reports.swap_remove(&node);
            return;
        }
        self.unreachable_reports.insert(node, (now, zone));
        let fresh = self
            .unreachable_reports
            .values()
            .filter(|(at, _)| now.since(*at) < REPORT_TTL);
        let mut zones = fresh.map(|(_, zone)| *zone);
        if zones.any(|other| other != zone) {
            self.suspected_at = Some(now);
        }
    }

    /// Returns whether a suspicion holds and this node has received no response from the replica since.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let is_current = |at: Millis| now.since(at) < SUSPICION_TTL && self.last_heard <= at;
        self.suspected_at.is_some_and(is_current)
    }

    fn fresh_peer_loads(&self, now: Millis) -> impl Iterator<Item = &PeerLoad> {
        let is_fresh = move |at: &Millis| now.since(*at) < REPORT_TTL;
        let peer_loads = self.peer_loads.values();
        peer_loads
            .filter(move |(at, _)| is_fresh(at))
            .map(|(_, load)| load)
    }

    /// Returns the moving average of the time to an answer or first event, in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Returns the expected delay beyond the time that this node's own prompts take, in milliseconds.
    pub fn delay_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.delay_recorded_at).0 as f64;
        self.delay_ms * (-age / DELAY_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    /// Forgets the times to answers, since the next one was sent to learn a new one.
    pub const fn forget_latency(&mut self) {
        self.latency_ms = None;
    }

    /// Records the time to an answer or first event, and the time that was expected for it.
    pub fn record_latency(&mut self, now: Millis, latency_ms: f64, explained_ms: f64) {
        let before = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(LATENCY_WEIGHT.mul_add(latency_ms - before, before));
        self.delay_ms = (latency_ms - explained_ms).max(0.0);
        self.delay_recorded_at = now;
    }

    /// When it last reported its load to this node.
    pub fn load_reported_at(&self) -> Option<Millis> {
        self.load.map(|(at, _)| at)
    }

    pub fn record_load(&mut self, now: Millis, load: Load) {
        self.load = Some((now, load));
    }

    /// Returns how long ago this node sent these shared parts, or the first of them, to the replica.
    pub fn sent_before(&self, now: Millis, shared: &[Part]) -> Option<Millis> {
        let (_, at) = self.cached_parts.get(&shared.first()?.id)?;
        Some(now.since(*at))
    }

    /// Returns the tokens of these shared parts that the replica has to process: all from the first uncached part on.
    pub fn uncached_tokens(&self, shared: &[Part]) -> u32 {
        let cached = shared
            .iter()
            .take_while(|part| self.cached_parts.contains_key(&part.id))
            .count();
        shared[cached..].iter().map(|part| part.tokens).sum()
    }

    /// Records that the replica now caches these parts, and evicts the least recently used ones beyond the capacity.
    pub fn record_cached(&mut self, now: Millis, shared: &[Part], capacity: u64) {
        for part in shared {
            if let Some((tokens, _)) = self.cached_parts.shift_remove(&part.id) {
                self.cached_tokens -= u64::from(tokens);
            }
            self.cached_parts.insert(part.id, (part.tokens, now));
            self.cached_tokens += u64::from(part.tokens);
        }
        while self.cached_tokens > capacity || self.cached_parts.len() > MAX_CACHED_PARTS {
            let Some((_, (tokens, _))) = self.cached_parts.shift_remove_index(0) else {
                break;
            };
            self.cached_tokens -= u64::from(tokens);
        }
    }
}
