//! Number of on-demand and reclaimable replicas that an endpoint needs in each zone.
//!
//! Load pattern: the cloud reclaims the reclaimable replicas of one zone after another with seconds of notice, which is
//! less than replacements take to boot, and then sells no reclaimable replicas in any zone until after the next zone is
//! reclaimed. The remaining replicas must therefore carry the load, at high utilization, when the two zones with the
//! most reclaimable replicas are lost, or one more zone if some are lost already. Where reclaimable replicas are sold
//! out, on-demand replicas replace them. While nothing is sold out, on-demand replicas are ordered for the loss of one
//! zone only: they boot before the next one is lost. A zone that operators have evacuated is lost already: the others get the
//! replicas that it would have.

mod load;

use std::sync::Arc;

pub use load::Load;

/// Maximum utilization of the remaining replicas when two zones of reclaimable replicas are lost.
const DEGRADED_UTILIZATION: f64 = 0.6;
/// Maximum utilization of the slots that they have left beside computing.
const DEGRADED_SLOT_UTILIZATION: f64 = 0.8;
/// Maximum utilization of all replicas otherwise.
const NORMAL_UTILIZATION: f64 = 0.25;
/// Minimum number of remaining replicas when two zones are lost, so that one of them may crash.
const MIN_SURVIVING: u32 = 2;
/// Cost of each replica missing when zones are lost, as a multiple of the on-demand price.
const DEGRADED_SHORTAGE_COST: f64 = 4.0;
/// Cost of each replica missing for the normal utilization, or for the loss of a second zone while nothing is sold out.
/// It is less than any on-demand price and more than the price of a reclaimable replica, so that only reclaimable
/// replicas are ordered for it.
const NORMAL_SHORTAGE_COST: f64 = 0.5;
/// Fraction of the shared parts that replicas have not cached in normal operation, as some come and go.
const NORMAL_UNCACHED: f64 = 0.2;
/// Zones that may be lost before replacements serve, including those that are lost already.
const LOST_ZONES: usize = 2;
/// Further zones that may be lost in any case.
const MIN_FURTHER_LOST_ZONES: usize = 1;

/// An availability zone, its price and its reclaimable replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: Arc<str>,
    /// Price of an on-demand replica in the zone.
    pub on_demand_price: f64,
    /// Reclaimable replicas that serve in the zone.
    pub reclaimable: u32,
    /// Whether reclaimable replicas are sold out in the zone.
    pub sold_out: bool,
    /// Whether its replicas receive no requests. Then none is ordered in it.
    pub is_evacuated: bool,
}

/// Limits and prices of the replicas of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Zones in which replicas may be ordered.
    pub zones: Vec<Zone>,
    /// Minimum number of replicas in a zone, on-demand and reclaimable together.
    pub min: u32,
    /// Maximum number of replicas in a zone, on-demand and reclaimable together.
    pub max: u32,
    /// Price of a reclaimable replica as a fraction of the on-demand price; `None` if the endpoint has none.
    pub reclaimable_price: Option<f64>,
}

/// Number of replicas in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The zone.
    pub zone: Arc<str>,
    /// On-demand replicas.
    pub on_demand: u32,
    /// Reclaimable replicas.
    pub reclaimable: u32,
}

/// Returns the replicas to run for a load: the mix with the lowest price, including the cost of missing replicas.
///
/// The result has one count per zone, in the order of `bounds.zones`.
pub fn desired_counts(bounds: &Bounds, load: Load) -> Vec<Count> {
    let need = Need::new(bounds, load);
    let max_total = bounds.max * bounds.zones.len() as u32;
    let mut best: Option<Mix> = None;
    for on_demand in 0..=max_total {
        for reclaimable_per_zone in 0..=bounds.max {
            let mix = Mix::new(bounds, on_demand, reclaimable_per_zone);
            if best.as_ref().is_none_or(|best| mix.cost(need) < best.cost(need)) {
                best = Some(mix);
            }
        }
    }
    best.map(|mix| mix.counts).unwrap_or_default()
}

/// Number of replicas that a load needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// When the worst zones are lost.
    degraded: u32,
    /// In normal operation.
    normal: u32,
}

impl Need {
    fn new(bounds: &Bounds, load: Load) -> Self {
        // With the replicas of a zone, what they had cached is lost.
        let lost_fraction = LOST_ZONES as f64 / bounds.zones.len().max(LOST_ZONES) as f64;
        let computing = load.with_uncached(lost_fraction);
        // A request holds its slot for longer the busier the engines are.
        let holding = computing + load.slots / DEGRADED_SLOT_UTILIZATION;
        let degraded = (computing / DEGRADED_UTILIZATION).max(holding).ceil() as u32;
        let normal = (load.with_uncached(NORMAL_UNCACHED) / NORMAL_UTILIZATION).ceil() as u32;
        Self {
            degraded: degraded.max(MIN_SURVIVING),
            normal,
        }
    }
}

/// A mix of replicas with its totals and price.
#[derive(Clone, Debug)]
struct Mix {
    counts: Vec<Count>,
    total: u32,
    /// Replicas that remain when the zone with the most reclaimable replicas is lost.
    surviving_one: u32,
    /// Replicas that remain when all zones that may be lost from now on are lost.
    surviving_all: u32,
    /// Cost of each replica missing then.
    shortage_cost: f64,
    price: f64,
}

impl Mix {
    /// Builds a mix of `on_demand` replicas, spread over the cheaper zones first, and up to `reclaimable_per_zone`
    /// reclaimable replicas in each zone.
    fn new(bounds: &Bounds, on_demand: u32, reclaimable_per_zone: u32) -> Self {
        let mut counts: Vec<Count> = bounds.zones.iter().map(zero_count).collect();
        place_on_demand(bounds, &mut counts, on_demand);
        if bounds.reclaimable_price.is_some() {
            for (count, zone) in counts.iter_mut().zip(&bounds.zones) {
                // Sold-out replicas can't be bought back, so those that serve are kept.
                let number = if zone.is_evacuated {
                    0
                } else if zone.sold_out {
                    zone.reclaimable
                } else {
                    reclaimable_per_zone
                };
                count.reclaimable = number.min(bounds.max - count.on_demand);
            }
        }
        raise_to_minimum(bounds, &mut counts);
        Self::from_counts(bounds, counts)
    }

    fn from_counts(bounds: &Bounds, counts: Vec<Count>) -> Self {
        let total = counts.iter().map(|it| it.on_demand + it.reclaimable).sum();
        let mut reclaimable: Vec<u32> = counts.iter().map(|it| it.reclaimable).collect();
        reclaimable.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
        let lost = |zones: usize| -> u32 { reclaimable.iter().take(zones).sum() };
        let price_ratio = bounds.reclaimable_price.unwrap_or(1.0);
        let price = counts.iter().zip(&bounds.zones).map(|(count, zone)| {
            zone.on_demand_price
                * f64::from(count.reclaimable).mul_add(price_ratio, f64::from(count.on_demand))
        });
        Self {
            price: price.sum(),
            total,
            surviving_one: total - lost(MIN_FURTHER_LOST_ZONES),
            surviving_all: total - lost(further_lost_zones(bounds)),
            shortage_cost: if bounds.zones.iter().any(|zone| zone.sold_out) {
                DEGRADED_SHORTAGE_COST
            } else {
                NORMAL_SHORTAGE_COST
            },
            counts,
        }
    }

    /// Returns the price of the replicas plus the cost of missing ones.
    fn cost(&self, need: Need) -> f64 {
        let missing = |need: u32, have: u32| f64::from(need.saturating_sub(have));
        let after_one = missing(need.degraded, self.surviving_one);
        let after_all = missing(need.degraded, self.surviving_all) - after_one;
        let normal = missing(need.normal, self.total);
        self.price
            + DEGRADED_SHORTAGE_COST * after_one
            + self.shortage_cost * after_all
            + NORMAL_SHORTAGE_COST * normal
    }
}

/// Number of zones whose reclaimable replicas may be lost from now on.
fn further_lost_zones(bounds: &Bounds) -> usize {
    let is_lost = |zone: &&Zone| zone.is_evacuated || (zone.sold_out && zone.reclaimable == 0);
    let lost = bounds.zones.iter().filter(is_lost).count();
    LOST_ZONES.saturating_sub(lost).max(MIN_FURTHER_LOST_ZONES)
}

fn zero_count(zone: &Zone) -> Count {
    Count {
        zone: Arc::clone(&zone.name),
        on_demand: 0,
        reclaimable: 0,
    }
}

/// Distributes on-demand replicas round-robin over the cheaper half of the zones, then over the other half. Sold-out
/// reclaimable replicas that serve keep their share of a zone's maximum.
fn place_on_demand(bounds: &Bounds, counts: &mut [Count], total: u32) {
    let room = |index: &usize| {
        let zone = &bounds.zones[*index];
        if zone.is_evacuated {
            return 0;
        }
        let kept = if zone.sold_out { zone.reclaimable } else { 0 };
        bounds.max.saturating_sub(kept)
    };
    let mut order: Vec<usize> = (0..counts.len()).collect();
    order.sort_by(|a, b| {
        bounds.zones[*a]
            .on_demand_price
            .total_cmp(&bounds.zones[*b].on_demand_price)
    });
    let (cheaper_half, other_half) = order.split_at(order.len().div_ceil(2));
    let mut remaining = total;
    for group in [cheaper_half, other_half] {
        for round in 0..bounds.max {
            for index in group.iter().filter(|index| round < room(index)) {
                let placed = remaining.min(1);
                counts[*index].on_demand += placed;
                remaining -= placed;
            }
        }
    }
}

/// Raises each zone to its minimum, with reclaimable replicas where they are available.
fn raise_to_minimum(bounds: &Bounds, counts: &mut [Count]) {
    let in_use = counts
        .iter_mut()
        .zip(&bounds.zones)
        .filter(|(_, zone)| !zone.is_evacuated);
    for (count, zone) in in_use {
        let present = count.on_demand + count.reclaimable;
        let missing = bounds.min.saturating_sub(present);
        if bounds.reclaimable_price.is_some() && !zone.sold_out {
            count.reclaimable += missing;
        } else {
            count.on_demand += missing;
        }
    }
}
