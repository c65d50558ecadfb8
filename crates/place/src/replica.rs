//! One replica as the node sees it.

use base::Millis;
use indexmap::IndexMap;

use crate::health::Health;
use crate::{Load, Part, PeerLoad, Spec, State, VersionFilter};

/// Weight of a new sample in the moving latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time after which a delay that was seen says half as much.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Age at which a reported load says nothing any more.
const LOAD_TTL: Millis = Millis(1_000);
/// Time for which others' doubts hold: until those who doubt have tried again and told what came of it.
const SUSPICION_TTL: Millis = Millis(3_000);
/// Most cached parts remembered for one replica.
const MAX_CACHED_PARTS: usize = 1_024;

/// A replica, its load and what it holds.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub spec: Spec,
    pub health: Health,
    /// When it was first seen.
    pub first_seen: Millis,
    /// Hash of its id for rendezvous hashing.
    pub hash: u64,
    /// This node's requests in flight.
    pub in_flight: usize,
    /// Tokens of this node's prompts that it has yet to read.
    pub unread_tokens: u64,
    /// Moving time of an answer, or of a first event, in milliseconds.
    latency_ms: Option<f64>,
    /// Delay of the last first event beyond what its prompt explains.
    delay_ms: f64,
    delay_recorded_at: Millis,
    load: Option<(Millis, Load)>,
    /// Other nodes' requests here, and when they said so.
    peer_loads: IndexMap<u64, (Millis, PeerLoad)>,
    /// When it last gave a sign of life to this node.
    pub last_heard: Millis,
    /// Other nodes that can't reach it, their availability zones, and when they said so.
    unreachable_reports: IndexMap<u64, (Millis, u64)>,
    /// When nodes of two availability zones last could not reach it.
    suspected_at: Option<Millis>,
    /// Shared parts that this node sent here, and their tokens; the latest last.
    cached_parts: IndexMap<u64, u32>,
    cached_tokens: u64,
}

impl Replica {
    pub fn new(now: Millis, spec: Spec) -> Self {
        Self {
            first_seen: now,
            hash: crate::rendezvous::hash(&spec.id),
            spec,
            health: Health::default(),
            in_flight: 0,
            unread_tokens: 0,
            latency_ms: None,
            delay_ms: 0.0,
            delay_recorded_at: Millis::ZERO,
            load: None,
            peer_loads: IndexMap::new(),
            last_heard: Millis::ZERO,
            unreachable_reports: IndexMap::new(),
            suspected_at: None,
            cached_parts: IndexMap::new(),
            cached_tokens: 0,
        }
    }

    /// Whether it takes new requests of this version, as far as it says itself.
    pub fn is_ready(&self, version: VersionFilter<'_>) -> bool {
        self.spec.state == State::Ready && version.matches(&self.spec.version)
    }

    /// Requests there, others' included as far as known.
    pub fn load(&self, now: Millis) -> usize {
        let reported = self
            .load
            .filter(|(at, _)| now.since(*at) < LOAD_TTL)
            .map_or(0, |(_, load)| (load.running + load.waiting) as usize);
        let others: usize = self
            .fresh_peer_loads(now)
            .map(|load| load.in_flight as usize)
            .sum();
        reported.max(self.in_flight + others)
    }

    /// Tokens that it has yet to read, others' included as far as known.
    pub fn unread_tokens(&self, now: Millis) -> u64 {
        let others: u64 = self.fresh_peer_loads(now).map(|load| load.unread_tokens).sum();
        self.unread_tokens + others
    }

    /// Another node told its requests here.
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

    /// Another node of this availability zone can't reach it, or can.
    ///
    /// It is doubted once nodes of two availability zones say so: one zone alone may be cut off itself.
    pub fn record_reachability(&mut self, now: Millis, node: u64, zone: u64, is_unreachable: bool) {
        if !is_unreachable {
            self.unreachable_reports.swap_remove(&node);
            return;
        }
        self.unreachable_reports.insert(node, (now, zone));
        let fresh = self
            .unreachable_reports
            .values()
            .filter(|(at, _)| now.since(*at) < LOAD_TTL);
        let mut zones = fresh.map(|(_, zone)| *zone);
        if zones.any(|other| other != zone) {
            self.suspected_at = Some(now);
        }
    }

    /// Whether others' doubts hold, and it has given this node no sign of life since.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let is_current = |at: Millis| now.since(at) < SUSPICION_TTL && self.last_heard <= at;
        self.suspected_at.is_some_and(is_current)
    }

    fn fresh_peer_loads(&self, now: Millis) -> impl Iterator<Item = &PeerLoad> {
        let is_fresh = move |at: &Millis| now.since(*at) < LOAD_TTL;
        let peer_loads = self.peer_loads.values();
        peer_loads
            .filter(move |(at, _)| is_fresh(at))
            .map(|(_, load)| load)
    }

    /// Moving time of an answer, in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Expected delay beyond what this node's own prompts explain.
    pub fn delay_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.delay_recorded_at).0 as f64;
        self.delay_ms * (-age / DELAY_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    /// Takes in the time of an answer or first event, and the part of it that its prompt explains.
    pub fn record_latency(&mut self, now: Millis, latency_ms: f64, explained_ms: f64) {
        let before = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(LATENCY_WEIGHT.mul_add(latency_ms - before, before));
        self.delay_ms = (latency_ms - explained_ms).max(0.0);
        self.delay_recorded_at = now;
    }

    pub fn record_load(&mut self, now: Millis, load: Load) {
        self.load = Some((now, load));
    }

    /// Tokens of these shared parts that it has to read: all from the first part on that it does not hold.
    pub fn uncached_tokens(&self, shared: &[Part]) -> u32 {
        let cached = shared
            .iter()
            .take_while(|part| self.cached_parts.contains_key(&part.id))
            .count();
        shared[cached..].iter().map(|part| part.tokens).sum()
    }

    /// Notes that it holds these parts now; the ones not used for longest make room.
    pub fn record_cached(&mut self, shared: &[Part], capacity: u64) {
        for part in shared {
            if let Some(tokens) = self.cached_parts.shift_remove(&part.id) {
                self.cached_tokens -= u64::from(tokens);
            }
            self.cached_parts.insert(part.id, part.tokens);
            self.cached_tokens += u64::from(part.tokens);
        }
        while self.cached_tokens > capacity || self.cached_parts.len() > MAX_CACHED_PARTS {
            let Some((_, tokens)) = self.cached_parts.shift_remove_index(0) else {
                break;
            };
            self.cached_tokens -= u64::from(tokens);
        }
    }
}
