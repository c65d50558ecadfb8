//! Orders for replicas.

use std::collections::VecDeque;
use std::sync::Arc;

use base::{Incarnation, Millis};
use fleet::capacity::{self, Bounds, Count, Zone};
use indexmap::IndexMap;
use place::State;
use table::{Endpoint, Scale};

use super::Election;
use super::usage::reports;
use crate::Shared;
use crate::edge::{CloudError, Replicas};

/// The highest load of this span decides, so that a wave's trough drops nothing that its crest needs.
const LOAD_WINDOW: Millis = Millis(20_000);
/// Time of load before its measure goes before the guess.
const LOAD_WARMUP: Millis = Millis(8_000);
/// Part of the replicas found at the start that the load is taken to keep busy until it is known. Caches are cold then,
/// so that more is read than later.
const INITIAL_UTILIZATION: f64 = 0.4;
/// Time without a new replica after which all that run at the start have been seen.
const DISCOVERY_SETTLED: Millis = Millis(1_200);
/// Pause after none were to be had.
const SOLD_OUT_RETRY_DELAY: Millis = Millis(2_000);
/// Time after such an answer for which a zone counts as sold out.
const SOLD_OUT_TTL: Millis = Millis(4_000);
/// Pause after a call that failed.
const RETRY_DELAY: Millis = Millis(500);
/// Time beyond the boot time until an order that shows no effect is given again.
const EFFECT_MARGIN: Millis = Millis(2_500);

/// Part by which the load must exceed what was ordered for until more is ordered.
const SCALE_UP_THRESHOLD: f64 = 0.15;
/// Part of what was ordered for below which the load must stay until less is ordered: a replica that is dropped takes
/// cached prompts with it, which cost more to read again than the replica for some seconds.
const SCALE_DOWN_THRESHOLD: f64 = 0.6;

/// Place and kind of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    endpoint: Arc<str>,
    zone: Arc<str>,
    reclaimable: bool,
}

/// The last order of a slot.
#[derive(Clone, Copy, Debug)]
struct Order {
    /// What was accepted; `None` if it was refused or not answered.
    accepted: Option<u32>,
    sent_at: Millis,
    /// When the next one may be given.
    not_before: Millis,
    /// When there were none to be had.
    sold_out_at: Option<Millis>,
}

/// What this node has ordered.
#[derive(Debug)]
pub(super) struct Scaler {
    shared: Arc<Shared>,
    orders: IndexMap<Slot, Order>,
    loads: IndexMap<Arc<str>, VecDeque<(Millis, f64)>>,
    /// The load that each endpoint's orders are for.
    planned_load: IndexMap<Arc<str>, f64>,
    /// When each endpoint's load was first seen.
    load_since: IndexMap<Arc<str>, Millis>,
    /// Most replicas of each endpoint seen before anything was ordered, and since when.
    discovered: IndexMap<Arc<str>, (u32, Millis)>,
}

impl Scaler {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            orders: IndexMap::new(),
            loads: IndexMap::new(),
            planned_load: IndexMap::new(),
            load_since: IndexMap::new(),
            discovered: IndexMap::new(),
        }
    }

    /// Gives the orders that are due.
    pub async fn tick(&mut self, election: &Election) {
        let Some(table) = self.shared.view().table.clone() else {
            return;
        };
        for endpoint in table.endpoints() {
            let Some(scale) = &endpoint.scale else { continue };
            self.record_load(&endpoint.name);
            if election.fence().is_some() {
                self.scale_endpoint(election, endpoint, scale).await;
            }
        }
    }

    fn record_load(&mut self, endpoint: &Arc<str>) {
        let now = self.shared.now();
        let live: Vec<Incarnation> = self.shared.view().peers.keys().copied().collect();
        let is_live = |name: &str| name.parse().is_ok_and(|it| live.contains(&it));
        let busy = reports(&self.shared)
            .into_iter()
            .filter(|(name, _)| is_live(name))
            .filter_map(|(_, report)| report.busy.get(endpoint).copied())
            .sum();
        if busy > 0.0 {
            self.load_since.entry(Arc::clone(endpoint)).or_insert(now);
        }
        let loads = self.loads.entry(Arc::clone(endpoint)).or_default();
        loads.push_back((now, busy));
        while loads.front().is_some_and(|(at, _)| now.since(*at) > LOAD_WINDOW) {
            loads.pop_front();
        }
    }

    async fn scale_endpoint(&mut self, election: &Election, endpoint: &Endpoint, scale: &Scale) {
        let ready = self.ready_counts(endpoint, scale);
        let Some(busy) = self.estimate_load(&endpoint.name, &ready) else {
            return;
        };
        let busy = self.smoothed_load(&endpoint.name, busy);
        let wanted = capacity::desired_counts(&self.bounds(endpoint, scale, &ready), busy);
        let expected = self.expected_on_demand(endpoint, &ready);
        let steps = next_counts(&ready, &expected, &wanted, scale.max);
        for (count, step) in ready.iter().zip(steps) {
            for (reclaimable, have, want) in [
                (true, count.reclaimable, step.reclaimable),
                (false, count.on_demand, step.on_demand),
            ] {
                let slot = Slot {
                    endpoint: Arc::clone(&endpoint.name),
                    zone: Arc::clone(&count.zone),
                    reclaimable,
                };
                if self.is_due(&slot, have, want, scale) {
                    self.send_order(election, slot, have, want, busy).await;
                }
            }
        }
    }

    /// Replicas that the load keeps busy; a guess until it is known, `None` before any replica was seen.
    fn estimate_load(&mut self, endpoint: &Arc<str>, ready: &[Count]) -> Option<f64> {
        let now = self.shared.now();
        let highest = self.loads.get(endpoint).into_iter().flatten();
        let measured = highest.map(|(_, busy)| *busy).fold(0.0, f64::max);
        let load_since = self.load_since.get(endpoint);
        if load_since.is_some_and(|at| now.since(*at) >= LOAD_WARMUP) {
            return Some(measured);
        }
        let total = ready.iter().map(|it| it.on_demand + it.reclaimable).sum();
        let (found, since) = self.discovered.entry(Arc::clone(endpoint)).or_insert((0, now));
        // What was ordered on the guess must not raise it.
        if total > *found && !self.orders.keys().any(|slot| slot.endpoint == *endpoint) {
            (*found, *since) = (total, now);
        }
        if *found == 0 || now.since(*since) < DISCOVERY_SETTLED {
            return None;
        }
        Some(measured.max(f64::from(*found) * INITIAL_UTILIZATION))
    }

    /// The load that orders are for: it follows the measured one by large steps only.
    fn smoothed_load(&mut self, endpoint: &Arc<str>, busy: f64) -> f64 {
        let planned_load = self.planned_load.entry(Arc::clone(endpoint)).or_insert(busy);
        if busy > *planned_load * (1.0 + SCALE_UP_THRESHOLD) || busy < *planned_load * SCALE_DOWN_THRESHOLD {
            *planned_load = busy * (1.0 + SCALE_UP_THRESHOLD);
        }
        *planned_load
    }

    fn bounds(&self, endpoint: &Endpoint, scale: &Scale, ready: &[Count]) -> Bounds {
        let zone = |count: &Count| Zone {
            name: Arc::clone(&count.zone),
            on_demand_price: scale.zone_prices.get(&count.zone).copied().unwrap_or(1.0),
            reclaimable: count.reclaimable,
            sold_out: self.is_sold_out(&endpoint.name, &count.zone),
        };
        Bounds {
            zones: ready.iter().map(zone).collect(),
            min: scale.min,
            max: scale.max,
            reclaimable_price: scale.reclaimable_price,
        }
    }

    fn is_sold_out(&self, endpoint: &Arc<str>, zone: &Arc<str>) -> bool {
        let slot = Slot {
            endpoint: Arc::clone(endpoint),
            zone: Arc::clone(zone),
            reclaimable: true,
        };
        let sold_out_at = self.orders.get(&slot).and_then(|order| order.sold_out_at);
        sold_out_at.is_some_and(|at| self.shared.now().since(at) < SOLD_OUT_TTL)
    }

    /// Replicas that serve, in the order of the configuration's zones.
    fn ready_counts(&self, endpoint: &Endpoint, scale: &Scale) -> Vec<Count> {
        let zones = scale.zone_prices.keys();
        self.shared.with_pool(&endpoint.name, |pool| {
            let count = |zone: &Arc<str>, reclaimable: bool| {
                let ready = pool.specs().filter(|spec| spec.state == State::Ready);
                let here = ready.filter(|spec| spec.zone == *zone && spec.reclaimable == reclaimable);
                here.count() as u32
            };
            zones
                .map(|zone| Count {
                    zone: Arc::clone(zone),
                    on_demand: count(zone, false),
                    reclaimable: count(zone, true),
                })
                .collect()
        })
    }

    /// On-demand replicas of each zone, those on their way included.
    fn expected_on_demand(&self, endpoint: &Endpoint, ready: &[Count]) -> Vec<u32> {
        let expected = |count: &Count| {
            let slot = Slot {
                endpoint: Arc::clone(&endpoint.name),
                zone: Arc::clone(&count.zone),
                reclaimable: false,
            };
            let accepted = self.orders.get(&slot).and_then(|order| order.accepted);
            accepted.unwrap_or(0).max(count.on_demand)
        };
        ready.iter().map(expected).collect()
    }

    /// Whether an order differs from what is there and from what is still on its way.
    fn is_due(&self, slot: &Slot, have: u32, want: u32, scale: &Scale) -> bool {
        let now = self.shared.now();
        let Some(order) = self.orders.get(slot) else {
            return have != want;
        };
        if now < order.not_before {
            return false;
        }
        match order.accepted {
            Some(accepted) if accepted == want => {
                have != want && now.since(order.sent_at) > scale.boot_time + EFFECT_MARGIN
            }
            Some(_other) => true,
            None => have != want,
        }
    }

    async fn send_order(&mut self, election: &Election, slot: Slot, have: u32, want: u32, busy: f64) {
        let Some(fence) = election.fence() else { return };
        let replicas = Replicas {
            endpoint: Arc::clone(&slot.endpoint),
            zone: Arc::clone(&slot.zone),
            reclaimable: slot.reclaimable,
            count: want,
        };
        let result = self.shared.cloud.order(fence, &replicas).await;
        let now = self.shared.now();
        let (outcome, pause) = match &result {
            Ok(()) => ("accepted".to_owned(), Millis::ZERO),
            Err(error @ CloudError::SoldOut) => (error.to_string(), SOLD_OUT_RETRY_DELAY),
            Err(error) => (error.to_string(), RETRY_DELAY),
        };
        log::info!(endpoint:% = slot.endpoint, zone:% = slot.zone, reclaimable = slot.reclaimable, have, want,
            busy, fence, outcome; "replicas ordered");
        let before = self.orders.get(&slot).copied();
        let order = Order {
            accepted: result.is_ok().then_some(want),
            sent_at: now,
            not_before: now + pause,
            sold_out_at: match result {
                Err(CloudError::SoldOut) => Some(now),
                _ => before.and_then(|order| order.sold_out_at),
            },
        };
        self.orders.insert(slot, order);
    }
}

/// The next orders on the way to what is wanted: no on-demand replica is dropped before what replaces it serves, as far
/// as both have room in their zone.
fn next_counts(ready: &[Count], expected: &[u32], wanted: &[Count], max: u32) -> Vec<Count> {
    let has_replacements = |(have, want): (&Count, &Count)| {
        let room = max.saturating_sub(have.on_demand);
        have.reclaimable >= want.reclaimable.min(room)
    };
    let total = |counts: &[Count]| -> u32 { counts.iter().map(|it| it.on_demand + it.reclaimable).sum() };
    let is_replaced = ready.iter().zip(wanted).all(has_replacements) && total(ready) >= total(wanted);
    let step = |(expected, want): (&u32, &Count)| Count {
        on_demand: if is_replaced {
            want.on_demand
        } else {
            want.on_demand.max(*expected)
        },
        ..want.clone()
    };
    expected.iter().zip(wanted).map(step).collect()
}
