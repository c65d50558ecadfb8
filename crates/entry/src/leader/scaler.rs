//! Orders replicas from the cloud according to load.

mod plan;
mod slot;

use std::collections::VecDeque;
use std::sync::Arc;

use base::{Incarnation, Millis};
use fleet::Order;
use fleet::capacity::{self, Bounds, Count, Load, Zone};
use indexmap::IndexMap;
use place::State;
use table::{Endpoint, Scale};

use self::slot::Slot;
use super::Election;
use super::usage::reports;
use crate::Shared;
use crate::edge::{CloudError, Replicas};

/// Time over which the highest load counts, so that a trough in a periodic load does not drop replicas that its next
/// peak needs. Until the load is known for as long, replicas are not dropped below the estimate.
const LOAD_WINDOW: Millis = Millis(20_000);
/// Estimated utilization of the replicas that exist at startup, until the load is known. Caches are cold then, so more
/// prompt tokens are computed than later.
const INITIAL_UTILIZATION: f64 = 0.4;
/// Time without a new replica after which all replicas that exist at startup have been discovered.
const DISCOVERY_SETTLED: Millis = Millis(1_200);
/// Delay after a zone was sold out.
const SOLD_OUT_RETRY_DELAY: Millis = Millis(2_000);
/// Time for which a zone counts as sold out after such a response.
const SOLD_OUT_TTL: Millis = Millis(4_000);
/// Delay after a failed call.
const RETRY_DELAY: Millis = Millis(500);

/// Fraction by which the load must exceed the planned load before more replicas are ordered.
const SCALE_UP_THRESHOLD: f64 = 0.15;
/// Fraction of the planned load that the load must fall below before fewer replicas are ordered. A dropped replica
/// loses its cached prompts, and computing them again costs more than keeping the replica for some seconds.
const SCALE_DOWN_THRESHOLD: f64 = 0.6;

/// The counts for these bounds and this load.
#[derive(Clone, Debug)]
struct Desired {
    bounds: Bounds,
    load: Load,
    counts: Vec<Count>,
}

/// Scales endpoints, with the state of the orders sent by this node.
#[derive(Debug)]
pub(super) struct Scaler {
    shared: Arc<Shared>,
    orders: IndexMap<Slot, Order>,
    /// The last result by endpoint.
    desired: IndexMap<Arc<str>, Desired>,
    loads: IndexMap<Arc<str>, VecDeque<(Millis, Load)>>,
    plan_writer: plan::Writer,
    /// The load that each endpoint's orders are based on.
    planned_load: IndexMap<Arc<str>, Load>,
    /// When load was first seen at each endpoint.
    load_since: IndexMap<Arc<str>, Millis>,
    /// Largest number of replicas seen at each endpoint before anything was ordered, and since when.
    discovered: IndexMap<Arc<str>, (u32, Millis)>,
}

impl Scaler {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            orders: IndexMap::new(),
            desired: IndexMap::new(),
            loads: IndexMap::new(),
            planned_load: IndexMap::new(),
            plan_writer: plan::Writer::default(),
            load_since: IndexMap::new(),
            discovered: IndexMap::new(),
        }
    }

    /// Sends the orders that are due.
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
        if election.fence().is_some() {
            let loads = self.measured_loads();
            self.plan_writer.write(&self.shared, loads).await;
        }
    }

    fn record_load(&mut self, endpoint: &Arc<str>) {
        let now = self.shared.now();
        let live: Vec<Incarnation> = self.shared.view().peers.keys().copied().collect();
        let busy = reports(&self.shared)
            .into_iter()
            .filter(|(node, _)| live.contains(node))
            .filter_map(|(_, report)| report.busy.get(endpoint).copied())
            .fold(Load::default(), |sum, load| sum + load);
        if busy.total() > 0.0 {
            self.load_since.entry(Arc::clone(endpoint)).or_insert(now);
        }
        let loads = self.loads.entry(Arc::clone(endpoint)).or_default();
        loads.push_back((now, busy));
        while loads.front().is_some_and(|(at, _)| now.since(*at) > LOAD_WINDOW) {
            loads.pop_front();
        }
    }

    /// The planned loads of endpoints whose load is known, not estimated.
    fn measured_loads(&self) -> IndexMap<Arc<str>, Load> {
        let now = self.shared.now();
        let is_measured = |endpoint: &Arc<str>| {
            let since = self.load_since.get(endpoint);
            since.is_some_and(|since| now.since(*since) >= LOAD_WINDOW)
        };
        let loads = self.planned_load.iter().filter(|(it, _)| is_measured(it));
        loads.map(|(it, load)| (Arc::clone(it), *load)).collect()
    }

    async fn scale_endpoint(&mut self, election: &Election, endpoint: &Endpoint, scale: &Scale) {
        let ready = self.ready_counts(endpoint, scale);
        let Some(busy) = self.estimate_load(&endpoint.name, &ready) else {
            return;
        };
        let busy = self.smoothed_load(&endpoint.name, busy);
        let wanted = self.desired_counts(&endpoint.name, self.bounds(endpoint, scale, &ready), busy);
        let expected = self.expected_on_demand(endpoint, &ready);
        let steps = next_counts(&ready, &expected, &wanted, scale.max);
        let is_rolling_out = self.shared.view().rollouts.is_open(&endpoint.name);
        let in_use = |count: &Count| !self.is_evacuated(endpoint, &count.zone);
        let in_use: Vec<bool> = ready.iter().map(in_use).collect();
        let due = ready.iter().zip(steps).zip(in_use);
        for ((count, step), _) in due.filter(|(_, in_use)| *in_use) {
            for (reclaimable, have, want) in [
                (true, count.reclaimable, step.reclaimable),
                (false, count.on_demand, step.on_demand),
            ] {
                let slot = Slot {
                    endpoint: Arc::clone(&endpoint.name),
                    zone: Arc::clone(&count.zone),
                    reclaimable,
                };
                let now = self.shared.now();
                let is_due = match self.orders.get_mut(&slot) {
                    None => have != want,
                    Some(order) => {
                        order.seen = order.seen.max(have);
                        order.is_due(now, have, want, scale.boot_time)
                    }
                };
                if is_due && Order::is_allowed(have, want, is_rolling_out) {
                    self.send_order(election, slot, have, want, busy).await;
                }
            }
        }
    }

    /// The highest recent load. An estimate until the load is known, and `None` until replicas have been discovered.
    fn estimate_load(&mut self, endpoint: &Arc<str>, ready: &[Count]) -> Option<Load> {
        let now = self.shared.now();
        let highest = self.loads.get(endpoint).into_iter().flatten();
        let measured = highest.map(|(_, load)| *load).fold(Load::default(), higher);
        let known_for = self.load_since.get(endpoint).map(|at| now.since(*at));
        let plan = plan::read(&self.shared, endpoint);
        if known_for.is_some_and(|known_for| known_for >= LOAD_WINDOW) {
            return Some(measured);
        }
        let total = ready.iter().map(|it| it.on_demand + it.reclaimable).sum();
        let (found, since) = self.discovered.entry(Arc::clone(endpoint)).or_insert((0, now));
        // Replicas ordered because of the estimate must not raise it.
        if total > *found && !self.orders.keys().any(|slot| slot.endpoint == *endpoint) {
            (*found, *since) = (total, now);
        }
        let found = *found;
        if found == 0 || now.since(*since) < DISCOVERY_SETTLED {
            return None;
        }
        let estimate = plan.unwrap_or(Load {
            own: f64::from(found) * INITIAL_UTILIZATION,
            ..Load::default()
        });
        Some(higher(measured, estimate))
    }

    /// The load to base orders on. It changes only if the measured load crosses a threshold.
    fn smoothed_load(&mut self, endpoint: &Arc<str>, busy: Load) -> Load {
        let planned_load = self.planned_load.entry(Arc::clone(endpoint)).or_insert(busy);
        let (total, planned) = (busy.total(), planned_load.total());
        if total > planned * (1.0 + SCALE_UP_THRESHOLD) || total < planned * SCALE_DOWN_THRESHOLD {
            *planned_load = busy * (1.0 + SCALE_UP_THRESHOLD);
        }
        *planned_load
    }

    /// The counts to order, computed again only if something changed: it takes milliseconds with many zones and replicas.
    fn desired_counts(&mut self, endpoint: &Arc<str>, bounds: Bounds, load: Load) -> Vec<Count> {
        let known = self.desired.get(endpoint);
        if let Some(known) = known.filter(|it| it.bounds == bounds && it.load == load) {
            return known.counts.clone();
        }
        let counts = capacity::desired_counts(&bounds, load);
        let desired = Desired {
            bounds,
            load,
            counts: counts.clone(),
        };
        self.desired.insert(Arc::clone(endpoint), desired);
        counts
    }

    fn bounds(&self, endpoint: &Endpoint, scale: &Scale, ready: &[Count]) -> Bounds {
        let zone = |count: &Count| Zone {
            name: Arc::clone(&count.zone),
            on_demand_price: scale.zone_prices.get(&count.zone).copied().unwrap_or(1.0),
            reclaimable: count.reclaimable,
            sold_out: self.is_sold_out(&endpoint.name, &count.zone),
            is_evacuated: self.is_evacuated(endpoint, &count.zone),
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

    /// Whether the replicas of a zone count as none: it is evacuated, or was until lately and they may still be cold.
    fn is_evacuated(&self, endpoint: &Endpoint, zone: &str) -> bool {
        let zones = self.shared.zones();
        let cold_time = endpoint.cold.map_or(Millis::ZERO, |cold| cold.start);
        let is_recent = |at: Millis| self.shared.now().since(at) < cold_time;
        zones.is_evacuated(zone) || zones.ended_at(zone).is_some_and(is_recent)
    }

    /// Number of ready replicas per zone that is in use, in the order of the configuration's zones.
    fn ready_counts(&self, endpoint: &Endpoint, scale: &Scale) -> Vec<Count> {
        let zones = scale.zone_prices.keys();
        self.shared.with_pool(&endpoint.name, |pool| {
            let count = |zone: &Arc<str>, reclaimable: bool| {
                if self.is_evacuated(endpoint, zone) {
                    return 0;
                }
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

    /// On-demand replicas of each zone, including ordered ones that are not ready yet.
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

    async fn send_order(&mut self, election: &Election, slot: Slot, have: u32, want: u32, busy: Load) {
        let Some(fence) = election.fence() else { return };
        let replicas = Replicas {
            endpoint: Arc::clone(&slot.endpoint),
            zone: Arc::clone(&slot.zone),
            reclaimable: slot.reclaimable,
            count: want,
        };
        let result = self.shared.cloud.order(&|| election.fence(), &replicas).await;
        let now = self.shared.now();
        let (outcome, delay) = match &result {
            Ok(()) => ("accepted".to_owned(), Millis::ZERO),
            Err(error @ CloudError::SoldOut) => (error.to_string(), SOLD_OUT_RETRY_DELAY),
            Err(error) => (error.to_string(), RETRY_DELAY),
        };
        log::info!(endpoint:% = slot.endpoint, zone:% = slot.zone, reclaimable = slot.reclaimable, have, want,
            busy = busy.own, busy_shared = busy.shared, busy_slots = busy.slots, fence, outcome; "replicas ordered");
        let before = self.orders.get(&slot).copied();
        let order = Order {
            accepted: result.is_ok().then_some(want),
            seen: 0,
            sent_at: now,
            not_before: now + delay,
            sold_out_at: match result {
                Err(CloudError::SoldOut) => Some(now),
                _ => before.and_then(|order| order.sold_out_at),
            },
        };
        self.orders.insert(slot, order);
    }
}

fn higher(a: Load, b: Load) -> Load {
    if b.total() > a.total() { b } else { a }
}

/// The next counts to order on the way to the wanted ones. No on-demand replica is dropped before its replacements are
/// ready, as far as the zone has room for both.
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
