//! Orders for replicas.

use std::collections::VecDeque;
use std::sync::Arc;

use base::{Incarnation, Millis};
use fleet::capacity::{self, Bounds, Count, Zone};
use indexmap::IndexMap;
use place::State;
use table::{Endpoint, Scale};

use super::Holder;
use super::usage::reports;
use crate::Shared;
use crate::edge::{CloudError, Replicas};

/// The highest load of this span decides, so that a wave's trough drops nothing that its crest needs.
const LOAD_MEMORY: Millis = Millis(20_000);
/// Time of load before its measure goes before the guess.
const LOAD_SETTLED: Millis = Millis(8_000);
/// Part of the replicas found at the start that the load is taken to keep busy until it is known. Caches are cold then,
/// so that more is read than later.
const FIRST_UTILIZATION: f64 = 0.4;
/// Time without a new replica after which all that run at the start have been seen.
const FOUND_SETTLED: Millis = Millis(1_200);
/// Pause after none were to be had.
const SOLD_OUT_RETRY: Millis = Millis(2_000);
/// Time after such an answer for which a zone counts as sold out.
const SOLD_OUT_LIFE: Millis = Millis(4_000);
/// Pause after a call that failed.
const RETRY: Millis = Millis(500);
/// Time beyond the boot time until an order that shows no effect is given again.
const EFFECT_MARGIN: Millis = Millis(2_500);

/// Part by which the load must exceed what was ordered for until more is ordered.
const RAISE: f64 = 0.15;
/// Part of what was ordered for below which the load must stay until less is ordered: a replica that is dropped takes
/// cached prompts with it, which cost more to read again than the replica for some seconds.
const LOWER: f64 = 0.6;

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
    given: Millis,
    /// When the next one may be given.
    not_before: Millis,
    /// When there were none to be had.
    sold_out: Option<Millis>,
}

/// What this node has ordered.
#[derive(Debug)]
pub(super) struct Orders {
    shared: Arc<Shared>,
    given: IndexMap<Slot, Order>,
    loads: IndexMap<Arc<str>, VecDeque<(Millis, f64)>>,
    /// The load that each endpoint's orders are for.
    steady: IndexMap<Arc<str>, f64>,
    /// When each endpoint's load was first seen.
    loaded: IndexMap<Arc<str>, Millis>,
    /// Most replicas of each endpoint seen before anything was ordered, and since when.
    found: IndexMap<Arc<str>, (u32, Millis)>,
}

impl Orders {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            given: IndexMap::new(),
            loads: IndexMap::new(),
            steady: IndexMap::new(),
            loaded: IndexMap::new(),
            found: IndexMap::new(),
        }
    }

    /// Gives the orders that are due.
    pub async fn tick(&mut self, holder: &Holder) {
        let Some(table) = self.shared.view().table.clone() else {
            return;
        };
        for endpoint in table.endpoints() {
            let Some(scale) = &endpoint.scale else { continue };
            self.note_load(&endpoint.name);
            if holder.fence().is_some() {
                self.order(holder, endpoint, scale).await;
            }
        }
    }

    fn note_load(&mut self, endpoint: &Arc<str>) {
        let now = self.shared.now();
        let live: Vec<Incarnation> = self.shared.view().peers.keys().copied().collect();
        let is_live = |name: &str| name.parse().is_ok_and(|it| live.contains(&it));
        let busy = reports(&self.shared)
            .into_iter()
            .filter(|(name, _)| is_live(name))
            .filter_map(|(_, report)| report.busy.get(endpoint).copied())
            .sum();
        if busy > 0.0 {
            self.loaded.entry(Arc::clone(endpoint)).or_insert(now);
        }
        let loads = self.loads.entry(Arc::clone(endpoint)).or_default();
        loads.push_back((now, busy));
        while loads.front().is_some_and(|(at, _)| now.since(*at) > LOAD_MEMORY) {
            loads.pop_front();
        }
    }

    async fn order(&mut self, holder: &Holder, endpoint: &Endpoint, scale: &Scale) {
        let present = self.present(endpoint, scale);
        let Some(busy) = self.busy(&endpoint.name, &present) else {
            return;
        };
        let busy = self.steady(&endpoint.name, busy);
        let wanted = capacity::desired_counts(&self.bounds(endpoint, scale, &present), busy);
        let coming = self.coming(endpoint, &present);
        let steps = steps(&present, &coming, &wanted, scale.max);
        for (count, step) in present.iter().zip(steps) {
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
                    self.give(holder, slot, have, want, busy).await;
                }
            }
        }
    }

    /// Replicas that the load keeps busy; a guess until it is known, `None` before any replica was seen.
    fn busy(&mut self, endpoint: &Arc<str>, present: &[Count]) -> Option<f64> {
        let now = self.shared.now();
        let highest = self.loads.get(endpoint).into_iter().flatten();
        let measured = highest.map(|(_, busy)| *busy).fold(0.0, f64::max);
        let loaded = self.loaded.get(endpoint);
        if loaded.is_some_and(|at| now.since(*at) >= LOAD_SETTLED) {
            return Some(measured);
        }
        let total = present.iter().map(|it| it.on_demand + it.reclaimable).sum();
        let (found, since) = self.found.entry(Arc::clone(endpoint)).or_insert((0, now));
        // What was ordered on the guess must not raise it.
        if total > *found && !self.given.keys().any(|slot| slot.endpoint == *endpoint) {
            (*found, *since) = (total, now);
        }
        if *found == 0 || now.since(*since) < FOUND_SETTLED {
            return None;
        }
        Some(measured.max(f64::from(*found) * FIRST_UTILIZATION))
    }

    /// The load that orders are for: it follows the measured one by large steps only.
    fn steady(&mut self, endpoint: &Arc<str>, busy: f64) -> f64 {
        let steady = self.steady.entry(Arc::clone(endpoint)).or_insert(busy);
        if busy > *steady * (1.0 + RAISE) || busy < *steady * LOWER {
            *steady = busy * (1.0 + RAISE);
        }
        *steady
    }

    fn bounds(&self, endpoint: &Endpoint, scale: &Scale, present: &[Count]) -> Bounds {
        let zone = |count: &Count| Zone {
            name: Arc::clone(&count.zone),
            on_demand_price: scale.zone_prices.get(&count.zone).copied().unwrap_or(1.0),
            reclaimable: count.reclaimable,
            sold_out: self.is_sold_out(&endpoint.name, &count.zone),
        };
        Bounds {
            zones: present.iter().map(zone).collect(),
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
        let told = self.given.get(&slot).and_then(|order| order.sold_out);
        told.is_some_and(|at| self.shared.now().since(at) < SOLD_OUT_LIFE)
    }

    /// Replicas that serve, in the order of the configuration's zones.
    fn present(&self, endpoint: &Endpoint, scale: &Scale) -> Vec<Count> {
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
    fn coming(&self, endpoint: &Endpoint, present: &[Count]) -> Vec<u32> {
        let coming = |count: &Count| {
            let slot = Slot {
                endpoint: Arc::clone(&endpoint.name),
                zone: Arc::clone(&count.zone),
                reclaimable: false,
            };
            let accepted = self.given.get(&slot).and_then(|order| order.accepted);
            accepted.unwrap_or(0).max(count.on_demand)
        };
        present.iter().map(coming).collect()
    }

    /// Whether an order differs from what is there and from what is still on its way.
    fn is_due(&self, slot: &Slot, have: u32, want: u32, scale: &Scale) -> bool {
        let now = self.shared.now();
        let Some(order) = self.given.get(slot) else {
            return have != want;
        };
        if now < order.not_before {
            return false;
        }
        match order.accepted {
            Some(accepted) if accepted == want => {
                have != want && now.since(order.given) > scale.boot_time + EFFECT_MARGIN
            }
            Some(_other) => true,
            None => have != want,
        }
    }

    async fn give(&mut self, holder: &Holder, slot: Slot, have: u32, want: u32, busy: f64) {
        let Some(fence) = holder.fence() else { return };
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
            Err(error @ CloudError::SoldOut) => (error.to_string(), SOLD_OUT_RETRY),
            Err(error) => (error.to_string(), RETRY),
        };
        log::info!(endpoint:% = slot.endpoint, zone:% = slot.zone, reclaimable = slot.reclaimable, have, want,
            busy, fence, outcome; "replicas ordered");
        let before = self.given.get(&slot).copied();
        let order = Order {
            accepted: result.is_ok().then_some(want),
            given: now,
            not_before: now + pause,
            sold_out: match result {
                Err(CloudError::SoldOut) => Some(now),
                _ => before.and_then(|order| order.sold_out),
            },
        };
        self.given.insert(slot, order);
    }
}

/// The next orders on the way to what is wanted: no on-demand replica is dropped before what replaces it serves, as far
/// as both have room in their zone.
fn steps(present: &[Count], coming: &[u32], wanted: &[Count], most: u32) -> Vec<Count> {
    let is_there = |(have, want): (&Count, &Count)| {
        let room = most.saturating_sub(have.on_demand);
        have.reclaimable >= want.reclaimable.min(room)
    };
    let total = |counts: &[Count]| -> u32 { counts.iter().map(|it| it.on_demand + it.reclaimable).sum() };
    let is_replaced = present.iter().zip(wanted).all(is_there) && total(present) >= total(wanted);
    let step = |(coming, want): (&u32, &Count)| Count {
        on_demand: if is_replaced {
            want.on_demand
        } else {
            want.on_demand.max(*coming)
        },
        ..want.clone()
    };
    coming.iter().zip(wanted).map(step).collect()
}
