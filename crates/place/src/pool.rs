//! Selection among the replicas of one endpoint.

mod brittle;
mod cold;
mod contention;
mod cost;
mod departed;
mod evacuation;
mod home;
mod limits;
mod pace;
mod reach;
mod regions;
mod suspicion;
mod trial;

use std::net::SocketAddr;
use std::sync::Arc;

use admission::Contention;
use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use quota::Group;
use rand::RngExt;
use slotmap::SlotMap;

pub use self::contention::Occupancy;
use self::cost::Cost;
use self::departed::Departed;
use self::pace::Learned;
pub use self::pace::{EndpointSpeed, PaceEvent, Speed};
pub use self::reach::{Destination, ForwardError};
use crate::cold::ColdShare;
use crate::dispatch::{Dispatch, Purpose};
use crate::prefill::PrefillRate;
use crate::rate_limit::RateLimit;
use crate::reach::Reach;
use crate::replica::Replica;
use crate::trial::Trials;
use crate::{
    CacheBasis, Demand, DispatchKey, DispatchOutcome, Load, PeerLoad, PeerReport, Refusal, ReplicaKey,
    Senders, Settings, Spec, Work, Zones, rendezvous,
};

/// Maximum fraction of the remaining time to wait for the first event; the rest is reserved for the answer itself.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Queued requests per slot at which a replica without a prompt cache counts as full.
const PLAIN_QUEUE_PER_SLOT: usize = 2;
/// Replica time per token that may be generated. The requests of a batch share most of each decoding step, and most
/// generate fewer tokens than they may.
const OUTPUT_TOKEN_MS: f64 = 0.04;

/// Whether an answer at this cost is expected too late.
fn is_too_late(cost: &Cost, demand: &Demand<'_>) -> bool {
    cost.wait_ms > demand.time_left.0 as f64 * MAX_WAIT_FRACTION
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Id of the replica.
    pub id: Arc<str>,
    /// Hash of the replica's id and start, the same at all nodes.
    pub incarnation_hash: u64,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Software version of the replica.
    pub version: Arc<str>,
    /// Expected time to the answer or its first event.
    pub expected_wait: Millis,
    /// Prompt tokens that the replica is expected to process.
    pub prefill_tokens: u32,
    /// Why shared parts are taken for cached, and their tokens; `None` where speeds are not learned.
    pub cached: Option<(CacheBasis, u32)>,
    /// Requests per second that the replica takes from all nodes combined, and when it said so.
    pub rate_limit: Option<(Millis, f64)>,
    /// Whether the request is sent through another node, since this one reaches no replica.
    pub is_indirect: bool,
    /// Whether it is to take only capacity of the replica that others don't need.
    pub is_spare: bool,
    /// Whether it tests a replica whose answer is expected too late.
    pub is_trial: bool,
}

impl Choice {
    /// The replica to connect to.
    pub fn destination(&self) -> Destination {
        Destination {
            replica: self.replica,
            id: Arc::clone(&self.id),
            incarnation_hash: self.incarnation_hash,
            address: self.address,
        }
    }
}

/// The replicas of one endpoint and this node's dispatches to them.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    /// The nodes that share the replicas' rate limits.
    group: Group,
    generator: Generator,
    replicas: SlotMap<ReplicaKey, Replica>,
    ids: IndexMap<Arc<str>, ReplicaKey>,
    /// Replicas whose registration is gone. They may still answer, and what they said holds if it comes back.
    departed: Departed,
    dispatches: SlotMap<DispatchKey, Dispatch>,
    prefill_rate: PrefillRate,
    /// The replicas' speeds.
    learned: Learned,
    work: Work,
    /// When this node sent its first request.
    first_sent_at: Option<Millis>,
    reach: Reach,
    /// What the last replica that answered said of the requests that it can turn away in a second.
    brittleness: Option<u32>,
    /// The evacuated zones.
    zones: Arc<Zones>,
    /// The nodes that send to cold replicas.
    senders: Arc<Senders>,
    /// This node's part of what cold replicas take.
    cold_share: Option<ColdShare>,
    contention: Contention,
    trials: Trials,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(seed: Seed, settings: Settings) -> Self {
        Self {
            settings,
            group: Group::default(),
            generator: seed.generator(),
            replicas: SlotMap::with_key(),
            ids: IndexMap::new(),
            departed: Departed::default(),
            dispatches: SlotMap::with_key(),
            prefill_rate: PrefillRate::default(),
            learned: Learned::default(),
            work: Work::default(),
            first_sent_at: None,
            reach: Reach::default(),
            brittleness: None,
            zones: Arc::default(),
            senders: Arc::default(),
            cold_share: settings.cold.map(|cold| cold.share(0)),
            contention: Contention::default(),
            trials: Trials::default(),
        }
    }

    /// Sets the evacuated zones of an empty pool.
    pub fn with_zones(mut self, zones: Arc<Zones>) -> Self {
        self.zones = zones;
        self
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        let has_same_cold = self.settings.cold == settings.cold;
        self.settings = settings;
        if !has_same_cold {
            self.update_cold_share();
        }
    }

    /// Adds or updates a replica. A new start time, version or address counts as a new replica. One whose registration was gone
    /// is the one of before. Returns whether the replica is new.
    pub fn register(&mut self, now: Millis, spec: Spec) -> bool {
        self.return_departed(&spec.id);
        if let Some(key) = self.ids.get(&spec.id).copied() {
            let existing = &mut self.replicas[key];
            let is_same = existing.spec.started_unix_ms == spec.started_unix_ms
                && existing.spec.address == spec.address
                && existing.spec.version == spec.version;
            if is_same {
                existing.spec = spec;
                self.update_evacuation(key);
                return false;
            }
            self.replicas.remove(key);
            self.reach.forget(key);
        }
        let id = Arc::clone(&spec.id);
        let key = self.replicas.insert(Replica::new(now, spec));
        self.index_pace(key);
        self.ids.insert(id, key);
        self.replicas[key].cold.assume(now);
        self.update_sender(key);
        self.update_evacuation(key);
        true
    }

    /// Removes the replica with this id.
    pub fn remove(&mut self, id: &str) {
        if let Some((id, key)) = self.ids.swap_remove_entry(id) {
            self.reach.forget(key);
            self.keep_departed(id, key);
        }
    }

    /// Iterates over the registrations of the replicas.
    pub fn specs(&self) -> impl Iterator<Item = &Spec> {
        self.ids.values().map(|key| &self.replicas[*key].spec)
    }

    /// Returns the work of all requests that this node has sent. The increase per second, divided by 1,000, is the number
    /// of replicas that the node keeps busy.
    pub const fn work(&self) -> Work {
        self.work
    }

    /// Returns the load that this node puts on each replica at which it has requests.
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

    /// Records the report of another node. Replicas that the report does not name have no requests from that node and
    /// are reachable for it.
    pub fn record_peer_report(&mut self, now: Millis, report: &PeerReport<'_>) {
        let zone = rendezvous::hash(report.zone);
        for key in self.ids.values() {
            let replica = &mut self.replicas[*key];
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
            return Err(self.no_candidate(demand));
        }
        self.refresh_paces(now, &candidates, demand);
        let free: Vec<ReplicaKey> = candidates
            .iter()
            .copied()
            .filter(|key| !self.is_full(now, *key))
            .collect();
        let (free, is_spare) = self.admit(now, free, demand)?;
        let (cost, key) = match self.cheapest(now, &free, demand) {
            None => return Err(self.no_free(now, &candidates, demand)),
            Some((cost, key)) if self.is_unlimited(now, key) => (cost, key),
            Some(cheapest) => self.choose_limited(now, free.clone(), cheapest, demand)?,
        };
        let is_trial = is_too_late(&cost, demand);
        let (cost, key) = if is_trial {
            let trial = self.choose_trial(now, &free, demand);
            trial.ok_or_else(|| Refusal::TooLate(self.retry_wait(now, demand)))?
        } else {
            (cost, key)
        };
        let Replica {
            spec,
            rate_limit,
            incarnation_hash,
            ..
        } = &self.replicas[key];
        let rate_limit = rate_limit.as_ref().and_then(RateLimit::limit);
        Ok(Choice {
            replica: key,
            id: Arc::clone(&spec.id),
            incarnation_hash: *incarnation_hash,
            address: spec.address,
            version: Arc::clone(&spec.version),
            expected_wait: Millis(cost.wait_ms as u64),
            prefill_tokens: cost.prefill_tokens,
            cached: cost.cached,
            rate_limit,
            is_indirect: false,
            is_spare,
            is_trial,
        })
    }

    /// Returns the replica with the lowest cost. Starts at a random one, so that among equal costs the first one is not
    /// always chosen.
    fn cheapest(
        &mut self,
        now: Millis,
        free: &[ReplicaKey],
        demand: &Demand<'_>,
    ) -> Option<(Cost, ReplicaKey)> {
        if free.is_empty() {
            return None;
        }
        let home = self.home(now, free, demand);
        let start = self.generator.random_range(0..free.len());
        (0..free.len())
            .map(|step| free[(start + step) % free.len()])
            .map(|key| (self.cost(now, key, home, demand), key))
            .min_by(|a, b| a.0.total_ms.total_cmp(&b.0.total_ms))
    }

    /// Records that a request is sent to the chosen replica.
    pub fn send(&mut self, now: Millis, choice: &Choice, demand: &Demand<'_>) -> DispatchKey {
        self.first_sent_at.get_or_insert(now);
        if choice.is_trial {
            self.trials.record_sent(now);
        }
        let class = self.record_sent(now, choice, demand);
        let own_ms = self.mean_prefill_ms(f64::from(demand.own_tokens()));
        let measurement = self.measurement(now, choice, demand);
        self.work += Work {
            own_ms: OUTPUT_TOKEN_MS.mul_add(f64::from(demand.output_tokens), own_ms),
            shared_ms: self.mean_prefill_ms(demand.shared_tokens() as f64),
            slot_ms: 0.0,
        };
        if let Some(replica) = self.replicas.get_mut(choice.replica) {
            replica.in_flight += 1;
            replica.cold.last_sent = Some(now);
            replica.unread_tokens += u64::from(choice.prefill_tokens);
            replica.health.record_send();
            replica.record_cached(now, demand.shared(), self.settings.cache_tokens);
            if let Some(limit) = &mut replica.rate_limit {
                limit.record_send(now);
            }
        }
        self.dispatches.insert(Dispatch {
            replica: choice.replica,
            sent_at: now,
            prefill_tokens: choice.prefill_tokens,
            prompt_tokens: demand.prompt_tokens(),
            cached: choice.cached,
            class,
            expected_wait: choice.expected_wait,
            answer_began: false,
            began_at: now,
            is_silent: false,
            is_indirect: choice.is_indirect,
            purpose: if choice.is_trial {
                Purpose::Trial
            } else {
                Purpose::Answer
            },
            measurement,
        })
    }

    /// Records the load that a replica reported with an answer.
    pub fn record_load(&mut self, now: Millis, key: ReplicaKey, load: Load) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.last_heard = now;
            replica.record_load(now, load);
        }
        self.record_moment(now, key, load.pace);
    }

    /// Records that a replica said in an answer that it is leaving. Returns whether it had not said so before.
    pub fn record_leaving(&mut self, replica: ReplicaKey) -> bool {
        let Some(replica) = self.replicas.get_mut(replica) else {
            return false;
        };
        !std::mem::replace(&mut replica.is_leaving, true)
    }

    /// Records that the answer, or the first event of a stream, has arrived.
    pub fn begin_answer(&mut self, now: Millis, dispatch: DispatchKey) {
        let key = dispatch;
        let Some(dispatch) = self.dispatches.get_mut(dispatch).filter(|it| !it.answer_began) else {
            return;
        };
        dispatch.answer_began = true;
        dispatch.began_at = now;
        let dispatch = *dispatch;
        self.reach.record_answer(now);
        self.record_read(&dispatch);
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
        if dispatch.purpose == Purpose::Trial {
            replica.forget_latency();
        }
        replica.record_latency(now, latency_ms, dispatch.expected_wait.0 as f64);
        self.keep_sample(now, key, latency_ms);
    }

    /// Records that a replica has not answered in time, although it may still do so. Counts as one failure, however the
    /// dispatch ends.
    pub fn record_silence(&mut self, now: Millis, dispatch: DispatchKey) {
        let Some(dispatch) = self.dispatches.get_mut(dispatch).filter(|it| !it.is_silent) else {
            return;
        };
        dispatch.is_silent = true;
        let key = dispatch.replica;
        let others_failure_rate = self.others_failure_rate(key);
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.record_failure(now, others_failure_rate);
        }
    }

    /// Records the end of a dispatch.
    pub fn end(&mut self, now: Millis, dispatch: DispatchKey, outcome: DispatchOutcome) {
        let Some(dispatch) = self.dispatches.remove(dispatch) else {
            return;
        };
        if !dispatch.answer_began {
            self.record_read(&dispatch);
        }
        if dispatch.purpose == Purpose::Trial {
            self.record_trial_end(now, outcome);
        }
        let others_failure_rate = self.others_failure_rate(dispatch.replica);
        let is_own_failure = self.is_cut_off() && !dispatch.is_indirect;
        let Some(replica) = self.replicas.get_mut(dispatch.replica) else {
            return;
        };
        replica.in_flight -= 1;
        // Queues are left out: they are the effect of too few replicas, and would order too many.
        let held_ms = (now.since(dispatch.began_at) + dispatch.expected_wait).0 as f64;
        self.work.slot_ms += held_ms / f64::from(replica.spec.slots.max(1));
        if !dispatch.answer_began {
            replica.unread_tokens = replica
                .unread_tokens
                .saturating_sub(u64::from(dispatch.prefill_tokens));
        }
        match outcome {
            DispatchOutcome::Answered => {
                replica.last_heard = now;
                replica.health.record_success();
                self.record_sample(&dispatch);
            }
            DispatchOutcome::Failed | DispatchOutcome::Unreachable if is_own_failure => {
                replica.health.record_neutral();
            }
            DispatchOutcome::Failed if dispatch.is_silent => {}
            DispatchOutcome::Failed => replica.health.record_failure(now, others_failure_rate),
            DispatchOutcome::Unreachable => replica.health.record_unreachable(now),
            DispatchOutcome::NotRun | DispatchOutcome::Cancelled => replica.health.record_neutral(),
        }
    }

    /// Returns the replicas that may be chosen; ejected, suspect and unreachable ones only if there are no others. Those in evacuated
    /// zones or in zones that the request may not be processed in never are.
    fn candidates(&self, now: Millis, demand: &Demand<'_>) -> Vec<ReplicaKey> {
        let untried = |key: &ReplicaKey| !demand.tried.contains(key);
        let keys = self.ids.values().copied().filter(untried);
        let ready: Vec<ReplicaKey> = keys.filter(|key| self.is_eligible(*key, demand)).collect();
        let suspects = self.suspects(now, &ready);
        let is_available = |key: &ReplicaKey| {
            let is_healthy = self.replicas[*key].health.accepts_requests(now);
            is_healthy && !suspects.contains(key) && !self.is_unreachable(*key, demand)
        };
        let available: Vec<ReplicaKey> = ready.iter().copied().filter(is_available).collect();
        if available.is_empty() { ready } else { available }
    }

    fn is_full(&self, now: Millis, key: ReplicaKey) -> bool {
        let replica = &self.replicas[key];
        self.is_cold_full(now, replica) || self.is_busy(now, replica)
    }

    /// Whether a replica has as many requests as it should.
    fn is_busy(&self, now: Millis, replica: &Replica) -> bool {
        if let Some(is_full) = self.is_brittle_full(now, replica) {
            return is_full || replica.in_flight >= self.settings.max_in_flight;
        }
        replica.in_flight >= self.settings.max_in_flight || replica.load(now) >= self.max_load(replica)
    }

    fn max_load(&self, replica: &Replica) -> usize {
        let slots = replica.spec.slots.max(1) as usize;
        if self.caches_prompts() {
            slots
        } else {
            slots * (1 + PLAIN_QUEUE_PER_SLOT)
        }
    }

    const fn caches_prompts(&self) -> bool {
        self.settings.cache_tokens > 0
    }

    /// Returns the mean failure rate of the other replicas; 1 if there are none.
    fn others_failure_rate(&self, excluded: ReplicaKey) -> f64 {
        let others = self.ids.values().filter(|key| **key != excluded);
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), key| {
            (sum + self.replicas[*key].health.failure_rate(), count + 1)
        });
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}
