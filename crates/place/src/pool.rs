//! The replicas of one endpoint.

mod cost;
mod suspicion;

use std::net::SocketAddr;
use std::sync::Arc;

use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use rand::RngExt;
use slotmap::SlotMap;

use crate::dispatch::Dispatch;
use crate::prefill::PrefillRate;
use crate::replica::Replica;
use crate::{
    Demand, DispatchKey, Load, Outcome, PeerLoad, PeerReport, Refusal, ReplicaKey, Settings, Spec, rendezvous,
};

/// Part of the time left that may be spent waiting for the first event: the rest is for the answer itself.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Requests that wait at a plain replica for each that runs, beyond which it counts as full.
const PLAIN_QUEUE_PER_SLOT: usize = 2;
/// Time of a replica that a generated token takes, in milliseconds: a batch shares the rest of its step.
const OUTPUT_TOKEN_MS: f64 = 0.15;

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its key.
    pub replica: ReplicaKey,
    /// Its id.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its version.
    pub version: Arc<str>,
    /// Expected time to the answer or its first event.
    pub expected_wait: Millis,
    /// Tokens that it is expected to read.
    pub prefill_tokens: u32,
}

/// Replicas of one endpoint and this node's requests at them.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    generator: Generator,
    replicas: SlotMap<ReplicaKey, Replica>,
    ids: IndexMap<Arc<str>, ReplicaKey>,
    dispatches: SlotMap<DispatchKey, Dispatch>,
    prefill_rate: PrefillRate,
    work_ms: f64,
    /// When the first request was sent.
    first_sent_at: Option<Millis>,
}

impl Pool {
    /// An empty pool.
    pub fn new(seed: Seed, settings: Settings) -> Self {
        Self {
            settings,
            generator: seed.generator(),
            replicas: SlotMap::with_key(),
            ids: IndexMap::new(),
            dispatches: SlotMap::with_key(),
            prefill_rate: PrefillRate::default(),
            work_ms: 0.0,
            first_sent_at: None,
        }
    }

    /// Replaces the settings.
    pub const fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes in a registration; a new incarnation, version or address makes it a new replica.
    pub fn register(&mut self, now: Millis, spec: Spec) {
        if let Some(key) = self.ids.get(&spec.id).copied() {
            let existing = &mut self.replicas[key];
            let is_same = existing.spec.started_unix_ms == spec.started_unix_ms
                && existing.spec.address == spec.address
                && existing.spec.version == spec.version;
            if is_same {
                existing.spec = spec;
                return;
            }
            self.replicas.remove(key);
        }
        let id = Arc::clone(&spec.id);
        let key = self.replicas.insert(Replica::new(now, spec));
        self.ids.insert(id, key);
    }

    /// The replica of this id is gone.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.ids.swap_remove(id) {
            self.replicas.remove(key);
        }
    }

    /// The registrations.
    pub fn specs(&self) -> impl Iterator<Item = &Spec> {
        self.ids.values().map(|key| &self.replicas[*key].spec)
    }

    /// Time of replicas that this node's requests have taken so far, in milliseconds: what grows in a second, divided
    /// by 1,000, is the number of replicas that it keeps busy.
    pub const fn work_ms(&self) -> f64 {
        self.work_ms
    }

    /// This node's requests at each replica that has any.
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let load = |replica: &Replica| PeerLoad {
            replica: replica.hash,
            in_flight: replica.in_flight as u32,
            unread_tokens: replica.unread_tokens,
        };
        replicas
            .filter(|replica| replica.in_flight > 0)
            .map(load)
            .collect()
    }

    /// Another node told its requests at the replicas and which it can't reach; those that are not named have none and
    /// can be reached.
    pub fn record_peer_report(&mut self, now: Millis, report: &PeerReport<'_>) {
        let zone = rendezvous::hash(report.zone);
        for replica in self.replicas.values_mut() {
            let load = report.loads.iter().find(|load| load.replica == replica.hash);
            replica.record_peer_load(now, report.node, load.copied());
            let is_unreachable = report.unreachable.contains(&replica.hash);
            replica.record_reachability(now, report.node, zone, is_unreachable);
        }
    }

    /// Chooses a replica for a request.
    pub fn choose(&mut self, now: Millis, demand: &Demand<'_>) -> Result<Choice, Refusal> {
        let candidates: Vec<ReplicaKey> = self.candidates(now, demand);
        if candidates.is_empty() {
            return Err(if demand.tried.is_empty() {
                Refusal::NoReplica
            } else {
                Refusal::AllTried
            });
        }
        let free: Vec<ReplicaKey> = candidates
            .into_iter()
            .filter(|key| !self.is_full(now, *key))
            .collect();
        let home = self.home(&free, demand);
        let start = if free.is_empty() {
            0
        } else {
            self.generator.random_range(0..free.len())
        };
        // Starts anywhere, so that equal costs do not all go to the first one.
        let best = (0..free.len())
            .map(|step| free[(start + step) % free.len()])
            .map(|key| (self.cost(now, key, home, demand), key))
            .min_by(|a, b| a.0.total_ms.total_cmp(&b.0.total_ms));
        let Some((cost, key)) = best else {
            return Err(Refusal::Full(self.retry_wait(now, demand)));
        };
        if cost.wait_ms > demand.time_left.0 as f64 * MAX_WAIT_FRACTION {
            return Err(Refusal::TooLate(self.retry_wait(now, demand)));
        }
        let spec = &self.replicas[key].spec;
        Ok(Choice {
            replica: key,
            id: Arc::clone(&spec.id),
            address: spec.address,
            version: Arc::clone(&spec.version),
            expected_wait: Millis(cost.wait_ms as u64),
            prefill_tokens: cost.prefill_tokens,
        })
    }

    /// A request leaves for a replica.
    pub fn send(&mut self, now: Millis, choice: &Choice, demand: &Demand<'_>) -> DispatchKey {
        self.first_sent_at.get_or_insert(now);
        // Without the shared parts: they are read again only where something went wrong.
        self.work_ms += self.prefill_rate.millis(f64::from(demand.own_tokens()));
        self.work_ms += f64::from(demand.output_tokens) * OUTPUT_TOKEN_MS;
        if let Some(replica) = self.replicas.get_mut(choice.replica) {
            replica.in_flight += 1;
            replica.unread_tokens += u64::from(choice.prefill_tokens);
            replica.health.record_send();
            replica.record_cached(demand.shared(), self.settings.cache_tokens);
        }
        self.dispatches.insert(Dispatch {
            replica: choice.replica,
            sent_at: now,
            prefill_tokens: choice.prefill_tokens,
            expected_wait: choice.expected_wait,
            answer_began: false,
        })
    }

    /// The replica reported its load with an answer.
    pub fn record_load(&mut self, now: Millis, replica: ReplicaKey, load: Load) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.last_heard = now;
            replica.record_load(now, load);
        }
    }

    /// The answer, or a stream's first event, has come.
    pub fn begin_answer(&mut self, now: Millis, dispatch: DispatchKey) {
        let Some(dispatch) = self.dispatches.get_mut(dispatch).filter(|it| !it.answer_began) else {
            return;
        };
        dispatch.answer_began = true;
        let dispatch = *dispatch;
        let Some(replica) = self.replicas.get_mut(dispatch.replica) else {
            return;
        };
        replica.last_heard = now;
        replica.unread_tokens = replica
            .unread_tokens
            .saturating_sub(u64::from(dispatch.prefill_tokens));
        let latency_ms = now.since(dispatch.sent_at).0 as f64;
        if replica.unread_tokens == 0 {
            self.prefill_rate.record(dispatch.prefill_tokens, latency_ms);
        }
        replica.record_latency(now, latency_ms, dispatch.expected_wait.0 as f64);
    }

    /// A dispatch has ended.
    pub fn end(&mut self, now: Millis, dispatch: DispatchKey, outcome: Outcome) {
        let Some(dispatch) = self.dispatches.remove(dispatch) else {
            return;
        };
        let others_failure_rate = self.others_failure_rate(dispatch.replica);
        let Some(replica) = self.replicas.get_mut(dispatch.replica) else {
            return;
        };
        replica.in_flight -= 1;
        if !dispatch.answer_began {
            replica.unread_tokens = replica
                .unread_tokens
                .saturating_sub(u64::from(dispatch.prefill_tokens));
        }
        match outcome {
            Outcome::Answered => {
                replica.last_heard = now;
                replica.health.record_success();
            }
            Outcome::Failed => replica.health.record_failure(now, others_failure_rate),
            Outcome::Unreachable => replica.health.record_unreachable(now),
            Outcome::NotRun | Outcome::Cancelled => replica.health.record_neutral(),
        }
    }

    /// Replicas that may be chosen; ejected and doubted ones too if there are no others.
    fn candidates(&self, now: Millis, demand: &Demand<'_>) -> Vec<ReplicaKey> {
        let untried = |key: &ReplicaKey| !demand.tried.contains(key);
        let keys = self.ids.values().copied().filter(untried);
        let ready: Vec<ReplicaKey> = keys
            .filter(|key| self.replicas[*key].is_ready(demand.version))
            .collect();
        let suspects = self.suspects(now, &ready);
        let is_available =
            |key: &ReplicaKey| self.replicas[*key].health.accepts_requests(now) && !suspects.contains(key);
        let available: Vec<ReplicaKey> = ready.iter().copied().filter(is_available).collect();
        if available.is_empty() { ready } else { available }
    }

    fn is_full(&self, now: Millis, key: ReplicaKey) -> bool {
        let replica = &self.replicas[key];
        let slots = replica.spec.slots.max(1) as usize;
        let max_load = if self.caches_prompts() {
            slots
        } else {
            slots * (1 + PLAIN_QUEUE_PER_SLOT)
        };
        replica.in_flight >= self.settings.max_in_flight || replica.load(now) >= max_load
    }

    const fn caches_prompts(&self) -> bool {
        self.settings.cache_tokens > 0
    }

    /// Mean of the moving parts of failures of the other replicas.
    fn others_failure_rate(&self, excluded: ReplicaKey) -> f64 {
        let others = self.ids.values().filter(|key| **key != excluded);
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), key| {
            (sum + self.replicas[*key].health.failure_rate(), count + 1)
        });
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}
