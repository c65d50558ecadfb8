//! The replicas of one endpoint.

mod cost;
mod doubt;

use std::net::SocketAddr;
use std::sync::Arc;

use base::seed::Generator;
use base::{Millis, Seed};
use indexmap::IndexMap;
use rand::RngExt;
use slotmap::SlotMap;

use crate::flight::Flight;
use crate::replica::Replica;
use crate::speed::Speed;
use crate::{Demand, End, FlightKey, Load, PeerLoad, Refusal, ReplicaKey, Settings, Spec, Word, rank};

/// Part of the time left that may be spent waiting for the first event: the rest is for the answer itself.
const WAIT_PART: f64 = 0.6;
/// Requests that wait at a plain replica for each that runs, beyond which it counts as full.
const PLAIN_QUEUE: usize = 2;
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
    pub expected: Millis,
    /// Tokens that it is expected to read.
    pub tokens: u32,
}

/// Replicas of one endpoint and this node's requests at them.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    generator: Generator,
    replicas: SlotMap<ReplicaKey, Replica>,
    ids: IndexMap<Arc<str>, ReplicaKey>,
    flights: SlotMap<FlightKey, Flight>,
    speed: Speed,
    work_ms: f64,
    /// When the first request was sent.
    first_sent: Option<Millis>,
}

impl Pool {
    /// An empty pool.
    pub fn new(seed: Seed, settings: Settings) -> Self {
        Self {
            settings,
            generator: seed.generator(),
            replicas: SlotMap::with_key(),
            ids: IndexMap::new(),
            flights: SlotMap::with_key(),
            speed: Speed::default(),
            work_ms: 0.0,
            first_sent: None,
        }
    }

    /// Replaces the settings.
    pub const fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes in a registration; a new incarnation, version or address makes it a new replica.
    pub fn register(&mut self, now: Millis, spec: Spec) {
        if let Some(key) = self.ids.get(&spec.id).copied() {
            let known = &mut self.replicas[key];
            let is_same = known.spec.born == spec.born
                && known.spec.address == spec.address
                && known.spec.version == spec.version;
            if is_same {
                known.spec = spec;
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
        let busy = self.ids.values().map(|key| &self.replicas[*key]);
        let load = |replica: &Replica| PeerLoad {
            replica: replica.hash,
            in_flight: replica.in_flight as u32,
            unread_tokens: replica.unread_tokens,
        };
        busy.filter(|replica| replica.in_flight > 0).map(load).collect()
    }

    /// Another node told its requests at the replicas and which it can't reach; those that are not named have none and
    /// can be reached.
    pub fn hear(&mut self, now: Millis, word: &Word<'_>) {
        let zone = rank::name(word.zone);
        for replica in self.replicas.values_mut() {
            let load = word.loads.iter().find(|load| load.replica == replica.hash);
            replica.hear(now, word.node, load.copied());
            let is_unreachable = word.unreachable.contains(&replica.hash);
            replica.doubt(now, word.node, zone, is_unreachable);
        }
    }

    /// Chooses a replica for a request.
    pub fn choose(&mut self, now: Millis, demand: &Demand<'_>) -> Result<Choice, Refusal> {
        let open: Vec<ReplicaKey> = self.open(now, demand);
        if open.is_empty() {
            return Err(if demand.tried.is_empty() {
                Refusal::NoReplica
            } else {
                Refusal::AllTried
            });
        }
        let free: Vec<ReplicaKey> = open.into_iter().filter(|key| !self.is_full(now, *key)).collect();
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
            .min_by(|a, b| a.0.total.total_cmp(&b.0.total));
        let Some((cost, key)) = best else {
            return Err(Refusal::Full(self.drain(now, demand)));
        };
        if cost.wait_ms > demand.left.0 as f64 * WAIT_PART {
            return Err(Refusal::TooLate(self.drain(now, demand)));
        }
        let spec = &self.replicas[key].spec;
        Ok(Choice {
            replica: key,
            id: Arc::clone(&spec.id),
            address: spec.address,
            version: Arc::clone(&spec.version),
            expected: Millis(cost.wait_ms as u64),
            tokens: cost.tokens,
        })
    }

    /// A request leaves for a replica.
    pub fn send(&mut self, now: Millis, choice: &Choice, demand: &Demand<'_>) -> FlightKey {
        self.first_sent.get_or_insert(now);
        // Without the shared parts: they are read again only where something went wrong.
        self.work_ms += self.speed.millis(f64::from(demand.own_tokens()));
        self.work_ms += f64::from(demand.output_tokens) * OUTPUT_TOKEN_MS;
        if let Some(replica) = self.replicas.get_mut(choice.replica) {
            replica.in_flight += 1;
            replica.unread_tokens += u64::from(choice.tokens);
            replica.health.sent();
            replica.hold(demand.shared(), self.settings.cache_tokens);
        }
        self.flights.insert(Flight {
            replica: choice.replica,
            sent: now,
            tokens: choice.tokens,
            expected: choice.expected,
            began: false,
        })
    }

    /// The replica reported its load with an answer.
    pub fn report(&mut self, now: Millis, replica: ReplicaKey, load: Load) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.heard = now;
            replica.note_load(now, load);
        }
    }

    /// The answer, or a stream's first event, has come.
    pub fn begin(&mut self, now: Millis, flight: FlightKey) {
        let Some(flight) = self.flights.get_mut(flight).filter(|it| !it.began) else {
            return;
        };
        flight.began = true;
        let flight = *flight;
        let Some(replica) = self.replicas.get_mut(flight.replica) else {
            return;
        };
        replica.heard = now;
        replica.unread_tokens = replica.unread_tokens.saturating_sub(u64::from(flight.tokens));
        let latency_ms = now.since(flight.sent).0 as f64;
        if replica.unread_tokens == 0 {
            self.speed.note(flight.tokens, latency_ms);
        }
        replica.note_latency(now, latency_ms, flight.expected.0 as f64);
    }

    /// A dispatch has ended.
    pub fn end(&mut self, now: Millis, flight: FlightKey, end: End) {
        let Some(flight) = self.flights.remove(flight) else {
            return;
        };
        let usual = self.usual_failing(flight.replica);
        let Some(replica) = self.replicas.get_mut(flight.replica) else {
            return;
        };
        replica.in_flight -= 1;
        if !flight.began {
            replica.unread_tokens = replica.unread_tokens.saturating_sub(u64::from(flight.tokens));
        }
        match end {
            End::Answered => {
                replica.heard = now;
                replica.health.succeed();
            }
            End::Failed => replica.health.fail(now, usual),
            End::Unreachable => replica.health.lose(now),
            End::NotRun | End::Cancelled => replica.health.neutral(),
        }
    }

    /// Replicas that may be chosen; ejected and doubted ones too if there are no others.
    fn open(&self, now: Millis, demand: &Demand<'_>) -> Vec<ReplicaKey> {
        let untried = |key: &ReplicaKey| !demand.tried.contains(key);
        let keys = self.ids.values().copied().filter(untried);
        let ready: Vec<ReplicaKey> = keys
            .filter(|key| self.replicas[*key].is_ready(demand.version))
            .collect();
        let doubted = self.doubted(now, &ready);
        let is_open = |key: &ReplicaKey| self.replicas[*key].health.is_open(now) && !doubted.contains(key);
        let open: Vec<ReplicaKey> = ready.iter().copied().filter(is_open).collect();
        if open.is_empty() { ready } else { open }
    }

    fn is_full(&self, now: Millis, key: ReplicaKey) -> bool {
        let replica = &self.replicas[key];
        let slots = replica.spec.slots.max(1) as usize;
        let most = if self.is_engine() {
            slots
        } else {
            slots * (1 + PLAIN_QUEUE)
        };
        replica.in_flight >= self.settings.in_flight || replica.load(now) >= most
    }

    const fn is_engine(&self) -> bool {
        self.settings.cache_tokens > 0
    }

    /// Mean of the moving parts of failures of the other replicas.
    fn usual_failing(&self, but: ReplicaKey) -> f64 {
        let others = self.ids.values().filter(|key| **key != but);
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), key| {
            (sum + self.replicas[*key].health.failing(), count + 1)
        });
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}
