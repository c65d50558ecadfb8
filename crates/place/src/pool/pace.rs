//! Learns how fast the replicas are, and applies it.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;
use rand::RngExt;

use super::{Choice, Pool};
use crate::dispatch::Dispatch;
use crate::pace::{Engine, Hits, MIN_TOKENS, Measurement, PeerPace, Sample};
use crate::replica::Replica;
use crate::{Demand, DispatchKey, ReplicaKey};

/// Interval between looks at the candidates.
const LOOK_INTERVAL: Millis = Millis(200);
/// Interval between updates of medians and shares.
const UPDATE_INTERVAL: Millis = Millis(1_000);
/// Maximum number of replicas with samples that the other nodes have not been told of.
const MAX_UNSENT: usize = 64;
/// Number of samples of a replica from which on its share of prompts follows its speed.
const SHARE_SAMPLES: u16 = 8;
/// Factor of the weight of reading shared parts away from the home. Without it, replicas under load evict each other's parts; it is too
/// much where times are estimated for all replicas alike, since waits are then wrong by more.
const LEARNED_REREAD_FACTOR: f64 = 2.0;
/// Time from the first look at the candidates after which new ones have come since.
const ARRIVAL_AFTER: Millis = Millis(3_000);
/// Minimum number of replicas of a zone whose median a new replica of the zone starts at.
const MIN_ZONE: usize = 4;

/// A finding on the speed of a replica, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PaceEvent {
    /// The first figure of a replica that is out of bounds.
    Implausible {
        /// Id of the replica.
        id: Arc<str>,
        /// The figure, in hundredths.
        hundredths: u32,
    },
    /// Measured times contradict what a replica reports, which is ignored from now on.
    Contradicted {
        /// Id of the replica.
        id: Arc<str>,
        /// The reported factor.
        reported: f64,
        /// The measured one.
        measured: f64,
    },
    /// Another share of prompts prefers a replica.
    Share {
        /// Id of the replica.
        id: Arc<str>,
        /// The step, 0 for a usual replica.
        step: i8,
        /// Its speed, as a multiple of the endpoint's median.
        speed: f64,
        /// Number of samples.
        samples: u16,
    },
}

/// What is known of the speed of a replica, for metrics and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    /// Id of the replica.
    pub id: Arc<str>,
    /// Time per prompt token, as a multiple of the endpoint's median.
    pub multiple: f64,
    /// Number of samples, bounded.
    pub samples: u16,
    /// Step of the share of prompts that prefer it; 0 is that of a usual replica.
    pub step: i8,
}

/// What is known of the speed of an endpoint, for metrics and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSpeed {
    /// Part of the time to a first event that does not depend on the prompt, in milliseconds.
    pub fixed_ms: f64,
    /// Time per prompt token of the median replica, in milliseconds.
    pub token_ms: f64,
    /// Number of replicas whose speed is known.
    pub known: usize,
}

/// What a pool has learned of its endpoint.
#[derive(Debug, Default)]
pub(super) struct Learned {
    is_active: bool,
    engine: Engine,
    hits: Hits,
    /// Replicas by the low bits of their incarnation hash.
    index: IndexMap<u32, ReplicaKey>,
    /// Samples that the other nodes have not been told of.
    unsent: IndexMap<u32, PeerPace>,
    /// The replica whose estimate the other nodes were told last. The first one is drawn, so that nodes tell of different ones.
    next: Option<usize>,
    looked_at: Millis,
    /// When the candidates were first looked at.
    first_looked_at: Option<Millis>,
    /// A time, and the Unix time then, in milliseconds.
    unix_time: Option<(Millis, u64)>,
    updated_at: Millis,
    events: Vec<PaceEvent>,
}

impl Learned {
    /// Whether the replicas report how fast they are.
    pub const fn is_active(&self) -> bool {
        self.is_active
    }

    /// How often what is taken for cached is.
    pub const fn hits(&self) -> &Hits {
        &self.hits
    }

    /// When the candidates were last looked at.
    pub const fn looked_at(&self) -> Millis {
        self.looked_at
    }

    fn note(&mut self, event: PaceEvent) {
        if self.events.len() < MAX_UNSENT {
            self.events.push(event);
        }
    }
}

impl Pool {
    /// Time for this many prompt tokens at a replica, in milliseconds.
    pub(super) fn prefill_ms(&self, now: Millis, replica: &Replica, tokens: f64) -> f64 {
        if self.learned.is_active {
            tokens * replica.pace.token_ms(now)
        } else {
            self.prefill_rate.millis(tokens)
        }
    }

    /// Time for this many prompt tokens at a replica of mean speed, in milliseconds. The scaler counts in such replicas.
    pub(super) fn mean_prefill_ms(&self, tokens: f64) -> f64 {
        if self.learned.is_active {
            tokens * self.learned.engine.mean_token_ms()
        } else {
            self.prefill_rate.millis(tokens)
        }
    }

    /// Cost of reading shared parts away from the home, as a multiple of the time.
    pub(super) fn reread_weight(&self) -> f64 {
        if self.learned.is_active {
            self.settings.reread_weight * LEARNED_REREAD_FACTOR
        } else {
            self.settings.reread_weight
        }
    }

    /// Sets the Unix time, in milliseconds.
    pub const fn set_unix_time(&mut self, now: Millis, unix_ms: u64) {
        self.learned.unix_time = Some((now, unix_ms));
    }

    /// How long a replica has served at a time: since it was first a candidate if this node saw it come, else since it started.
    pub(super) fn age(&self, then: Millis, replica: &Replica) -> Millis {
        let first = replica.pace.presence.first();
        let has_come = self
            .learned
            .first_looked_at
            .is_some_and(|at| first.since(at) > ARRIVAL_AFTER);
        let started = replica.spec.started_unix_ms.zip(self.learned.unix_time);
        match started {
            Some((started_ms, (at, unix_ms))) if !has_come => {
                let lived = Millis(unix_ms.saturating_sub(started_ms));
                (lived + then).since(at)
            }
            None if !has_come => then.since(replica.first_seen),
            _ => then.since(first),
        }
    }

    /// Part of the time to a first event that does not depend on the prompt, in milliseconds; 0 where it is not learned.
    pub(super) const fn fixed_ms(&self) -> f64 {
        if self.learned.is_active {
            self.learned.engine.fixed_ms()
        } else {
            0.0
        }
    }

    /// Makes a replica known to reports of other nodes.
    pub(super) fn index_pace(&mut self, key: ReplicaKey) {
        let replicas = &self.replicas;
        if self.learned.index.len() > 2 * replicas.len() {
            self.learned.index.retain(|_, key| replicas.contains_key(*key));
        }
        self.learned.index.insert(pace_hash(&self.replicas[key]), key);
    }

    /// Records what a replica reported of the moment. The first figure makes the pool learn.
    pub(super) fn record_moment(&mut self, now: Millis, key: ReplicaKey, hundredths: Option<u32>) {
        if hundredths.is_none() && !self.learned.is_active {
            return;
        }
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        self.learned.is_active |= self.settings.cache_tokens > 0;
        let is_first = replica.pace.moment.record(now, hundredths);
        if let Some(hundredths) = hundredths.filter(|_| is_first) {
            let id = Arc::clone(&replica.spec.id);
            self.learned.note(PaceEvent::Implausible { id, hundredths });
        }
    }

    /// Looks at the candidates, and updates medians and shares, if it is time.
    pub(super) fn refresh_paces(&mut self, now: Millis, candidates: &[ReplicaKey], demand: &Demand<'_>) {
        if !self.learned.is_active {
            return;
        }
        let is_any = demand.tried.is_empty() && demand.version == crate::VersionFilter::Any;
        let before = self.learned.looked_at;
        if is_any && now.since(before) >= LOOK_INTERVAL {
            for key in candidates {
                self.replicas[*key].pace.presence.record(now, before);
            }
            self.learned.looked_at = now;
            self.learned.first_looked_at.get_or_insert(now);
        }
        if now.since(self.learned.updated_at) >= UPDATE_INTERVAL {
            self.learned.updated_at = now;
            self.update_medians();
            self.update_shares(now);
        }
    }

    /// Replicas without samples start at the median of their zone, or of the endpoint.
    fn update_medians(&mut self) {
        let mut zones: IndexMap<&str, Vec<f64>> = IndexMap::new();
        let mut all = Vec::with_capacity(self.ids.len());
        for key in self.ids.values() {
            let replica = &self.replicas[*key];
            if replica.pace.estimate.is_known() {
                all.push(replica.pace.estimate.token_ms());
                let zone = zones.entry(&replica.spec.zone).or_default();
                zone.push(replica.pace.estimate.token_ms());
            }
        }
        let mean_speed = all.iter().map(|time| 1.0 / time).sum::<f64>() / all.len().max(1) as f64;
        let Some(median) = median(&mut all) else { return };
        let zones: IndexMap<String, f64> = zones
            .into_iter()
            .filter(|(_, times)| times.len() >= MIN_ZONE)
            .filter_map(|(zone, mut times)| Some((zone.to_owned(), self::median(&mut times)?)))
            .collect();
        self.learned.engine.set_token_ms(median, 1.0 / mean_speed);
        for replica in self.replicas.values_mut() {
            let prior = zones.get(&*replica.spec.zone).copied().unwrap_or(median);
            replica.pace.estimate.set_prior(prior);
        }
    }

    fn update_shares(&mut self, now: Millis) {
        let usual_ms = self.learned.engine.token_ms();
        for replica in self.replicas.values_mut() {
            let pace = &mut replica.pace;
            let speed = usual_ms / pace.estimate.token_ms();
            let samples = pace.estimate.samples();
            if samples >= SHARE_SAMPLES && pace.share.update(now, speed) {
                self.learned.note(PaceEvent::Share {
                    id: Arc::clone(&replica.spec.id),
                    step: pace.share.step(),
                    speed,
                    samples,
                });
            }
        }
    }

    /// Whether nothing but the replica's speed is known to affect the time to the first event of a request about to be sent. Requests
    /// sent before went to a replica that failed or was silent.
    pub(super) fn measurement(&self, now: Millis, choice: &Choice, demand: &Demand<'_>) -> Measurement {
        let Some(replica) = self.replicas.get(choice.replica) else {
            return Measurement::Disturbed;
        };
        let is_undisturbed = self.learned.is_active
            && demand.tried.is_empty()
            && !choice.is_indirect
            && replica.spec.warmup_remaining == Millis::ZERO
            && !self.is_cold(now, choice.replica)
            && replica.unread_tokens(now) == 0
            && !replica.has_queue(now);
        if is_undisturbed {
            Measurement::Expected
        } else {
            Measurement::Disturbed
        }
    }

    /// Keeps the time to a first event until the dispatch has succeeded.
    pub(super) fn keep_sample(&mut self, now: Millis, key: DispatchKey, latency_ms: f64) {
        let Some(dispatch) = self.dispatches.get_mut(key) else {
            return;
        };
        let Some(replica) = self.replicas.get(dispatch.replica) else {
            return;
        };
        let is_expected = dispatch.measurement == Measurement::Expected && !dispatch.is_silent;
        if !is_expected || replica.has_queue(now) || replica.unread_tokens > 0 {
            return;
        }
        let sample = Sample {
            tokens: dispatch.prompt_tokens - dispatch.cached.map_or(0, |(_, tokens)| tokens),
            cached: dispatch.cached,
            latency_ms,
            reported: replica.pace.moment.reported(now),
            factor: replica.pace.moment.factor(now),
        };
        dispatch.measurement = Measurement::Taken(sample);
    }

    /// Learns from a dispatch that succeeded.
    pub(super) fn record_sample(&mut self, dispatch: &Dispatch) {
        let Measurement::Taken(sample) = dispatch.measurement else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(dispatch.replica) else {
            return;
        };
        let pace = &mut replica.pace;
        if let Some((basis, cached)) = sample.cached.filter(|(_, cached)| *cached >= MIN_TOKENS) {
            let token_ms = pace.estimate.token_ms() * sample.factor;
            let ratio = |tokens: u32| {
                let expected_ms = f64::from(tokens).mul_add(token_ms, self.learned.engine.fixed_ms());
                sample.latency_ms / expected_ms
            };
            let hits = &mut self.learned.hits;
            hits.record(basis, ratio(sample.tokens), ratio(sample.tokens + cached));
        }
        self.learned
            .engine
            .record(sample, pace.estimate.token_ms() * sample.factor);
        if sample.tokens < MIN_TOKENS {
            return;
        }
        let measured_ms =
            (sample.latency_ms - self.learned.engine.fixed_ms()).max(1.0) / f64::from(sample.tokens);
        let (reported, measured) = (sample.reported, measured_ms / pace.estimate.token_ms());
        let is_contradicted = pace.estimate.is_known() && pace.moment.check(reported, measured);
        let token_ms = measured_ms / sample.factor;
        let is_plausible = pace.estimate.record(token_ms, 1);
        let hash = pace_hash(replica);
        if is_contradicted {
            let id = Arc::clone(&replica.spec.id);
            self.learned.note(PaceEvent::Contradicted {
                id,
                reported,
                measured,
            });
        }
        if is_plausible {
            self.keep_unsent(PeerPace::new(hash, token_ms, 1));
        }
    }

    fn keep_unsent(&mut self, pace: PeerPace) {
        let unsent = &mut self.learned.unsent;
        let joined = unsent
            .get(&pace.replica)
            .map_or(pace, |earlier| earlier.join(pace));
        if unsent.len() < MAX_UNSENT || unsent.contains_key(&pace.replica) {
            unsent.insert(pace.replica, joined);
        }
    }

    /// Takes what other nodes have measured or learned.
    pub fn record_peer_paces(&mut self, paces: &[PeerPace]) {
        for report in paces {
            let Some(key) = self.learned.index.get(&report.replica) else {
                continue;
            };
            let Some(replica) = self.replicas.get_mut(*key) else {
                continue;
            };
            self.learned.is_active |= self.settings.cache_tokens > 0;
            if report.count == 0 {
                replica.pace.estimate.adopt(report.token_ms());
            } else {
                replica.pace.estimate.record(report.token_ms(), report.count);
            }
        }
    }

    /// Returns up to this many reports for the other nodes: samples that they have not been told of, and, if there is room, one estimate
    /// for those that have just started.
    pub fn take_paces(&mut self, max: usize) -> Vec<PeerPace> {
        let count = self.learned.unsent.len().min(max);
        let mut paces: Vec<PeerPace> = self.learned.unsent.drain(..count).map(|(_, it)| it).collect();
        if self.learned.is_active && paces.len() < max && !self.ids.is_empty() {
            let drawn = self
                .learned
                .next
                .unwrap_or_else(|| self.generator.random::<u32>() as usize);
            let next = drawn.wrapping_add(1) % self.ids.len();
            self.learned.next = Some(next);
            let replica = &self.replicas[self.ids[next]];
            let estimate = &replica.pace.estimate;
            if estimate.is_known() {
                paces.push(PeerPace::new(pace_hash(replica), estimate.token_ms(), 0));
            }
        }
        paces
    }

    /// Returns what is known of the replicas' speeds; empty if they do not report it.
    pub fn speeds(&self) -> Vec<Speed> {
        if !self.learned.is_active {
            return Vec::new();
        }
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let speed = |replica: &Replica| Speed {
            id: Arc::clone(&replica.spec.id),
            multiple: replica.pace.estimate.token_ms() / self.learned.engine.token_ms(),
            samples: replica.pace.estimate.samples(),
            step: replica.pace.share.step(),
        };
        replicas.map(speed).collect()
    }

    /// Returns what is known of the endpoint's speed; `None` if its replicas do not report it.
    pub fn endpoint_speed(&self) -> Option<EndpointSpeed> {
        let known = |key: &&ReplicaKey| self.replicas[**key].pace.estimate.is_known();
        self.learned.is_active.then(|| EndpointSpeed {
            fixed_ms: self.learned.engine.fixed_ms(),
            token_ms: self.learned.engine.token_ms(),
            known: self.ids.values().filter(known).count(),
        })
    }

    /// Returns what is to be logged since the last call.
    pub fn take_pace_events(&mut self) -> Vec<PaceEvent> {
        std::mem::take(&mut self.learned.events)
    }
}

/// Identifies a run of a replica in reports.
const fn pace_hash(replica: &Replica) -> u32 {
    replica.incarnation_hash as u32
}

/// The median; `None` if there are no values.
fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    let (_, median, _) =
        (!values.is_empty()).then(|| values.select_nth_unstable_by(middle, f64::total_cmp))?;
    Some(*median)
}
