//! How many replicas an endpoint needs in which zones, and of which kind.
//!
//! Load pattern: the reclaimable replicas of one zone after another are taken back within seconds of notice, sooner
//! than replacements boot, and none are to be had anywhere for longer than the next zone takes to go. So the load must
//! be carried, if closely, with the two worst zones of reclaimable replicas gone; where they are sold out, on-demand
//! ones take their place.

use std::sync::Arc;

/// Part of the replicas' time that the load may take when two zones of reclaimable ones are gone.
const DEGRADED_UTILIZATION: f64 = 0.6;
/// Part of all replicas' time that the load may take otherwise.
const NORMAL_UTILIZATION: f64 = 0.25;
/// Fewest replicas that must be left when two zones are gone: one may crash.
const MIN_SURVIVING: u32 = 2;
/// What a replica is worth that is missing when two zones are gone, as a multiple of the on-demand price.
const DEGRADED_SHORTAGE_COST: f64 = 4.0;
/// What a replica is worth that only makes the load comfortable: less than any on-demand price, more than a reclaimable
/// one's.
const NORMAL_SHORTAGE_COST: f64 = 0.5;
/// Zones that may be gone before replacements serve.
const LOST_ZONES: usize = 2;

/// An availability zone, its prices and what is there.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: Arc<str>,
    /// Price of an on-demand replica.
    pub on_demand_price: f64,
    /// Reclaimable replicas that serve there.
    pub reclaimable: u32,
    /// Whether reclaimable replicas are sold out there.
    pub sold_out: bool,
}

/// Bounds of the replicas of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Zones that replicas may be ordered in.
    pub zones: Vec<Zone>,
    /// Fewest replicas in a zone, both kinds together.
    pub min: u32,
    /// Most replicas in a zone, both kinds together.
    pub max: u32,
    /// Price of a reclaimable replica as a part of the on-demand price; `None` if there are none.
    pub reclaimable_price: Option<f64>,
}

/// Replicas of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The zone.
    pub zone: Arc<str>,
    /// On-demand replicas.
    pub on_demand: u32,
    /// Reclaimable replicas.
    pub reclaimable: u32,
}

/// Replicas wanted for a load, given as the number of replicas that it keeps busy: the cheapest mix, what is missing
/// counted in.
///
/// Answers one count a zone, in the order of the bounds' zones.
pub fn desired_counts(bounds: &Bounds, busy_replicas: f64) -> Vec<Count> {
    let need = Need::new(busy_replicas);
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

/// Replicas that a load needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// With the worst zones gone.
    degraded: u32,
    /// Otherwise.
    normal: u32,
}

impl Need {
    fn new(busy_replicas: f64) -> Self {
        let degraded = (busy_replicas / DEGRADED_UTILIZATION).ceil() as u32;
        let normal = (busy_replicas / NORMAL_UTILIZATION).ceil() as u32;
        Self {
            degraded: degraded.max(MIN_SURVIVING),
            normal,
        }
    }
}

/// A mix of replicas and what it comes to.
#[derive(Clone, Debug)]
struct Mix {
    counts: Vec<Count>,
    total: u32,
    /// Replicas with the worst zones of reclaimable ones gone.
    surviving: u32,
    price: f64,
}

impl Mix {
    /// So many on-demand replicas in the cheapest zones, and up to `level` reclaimable ones in each zone.
    fn new(bounds: &Bounds, on_demand: u32, reclaimable_per_zone: u32) -> Self {
        let mut counts: Vec<Count> = bounds.zones.iter().map(zero_count).collect();
        place_on_demand(bounds, &mut counts, on_demand);
        if bounds.reclaimable_price.is_some() {
            for (count, zone) in counts.iter_mut().zip(&bounds.zones) {
                // What can't be had again is not given up.
                let number = if zone.sold_out {
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
        let lost: u32 = reclaimable.iter().take(LOST_ZONES).sum();
        let price_ratio = bounds.reclaimable_price.unwrap_or(1.0);
        let price = counts.iter().zip(&bounds.zones).map(|(count, zone)| {
            zone.on_demand_price
                * f64::from(count.reclaimable).mul_add(price_ratio, f64::from(count.on_demand))
        });
        Self {
            price: price.sum(),
            total,
            surviving: total - lost,
            counts,
        }
    }

    /// Price of the replicas and of those that are missing.
    fn cost(&self, need: Need) -> f64 {
        let degraded = f64::from(need.degraded.saturating_sub(self.surviving));
        let normal = f64::from(need.normal.saturating_sub(self.total));
        DEGRADED_SHORTAGE_COST.mul_add(degraded, NORMAL_SHORTAGE_COST.mul_add(normal, self.price))
    }
}

fn zero_count(zone: &Zone) -> Count {
    Count {
        zone: Arc::clone(&zone.name),
        on_demand: 0,
        reclaimable: 0,
    }
}

/// Puts on-demand replicas into the cheaper half of the zones in turn, then into the others. Reclaimable replicas that
/// can't be had again keep their places.
fn place_on_demand(bounds: &Bounds, counts: &mut [Count], total: u32) {
    let room = |index: &usize| {
        let zone = &bounds.zones[*index];
        let kept = if zone.sold_out { zone.reclaimable } else { 0 };
        bounds.max.saturating_sub(kept)
    };
    let mut order: Vec<usize> = (0..counts.len()).collect();
    order.sort_by(|a, b| {
        bounds.zones[*a]
            .on_demand_price
            .total_cmp(&bounds.zones[*b].on_demand_price)
    });
    let (cheaper, dearer) = order.split_at(order.len().div_ceil(2));
    let mut remaining = total;
    for group in [cheaper, dearer] {
        for round in 0..bounds.max {
            for index in group.iter().filter(|index| round < room(index)) {
                let placed = remaining.min(1);
                counts[*index].on_demand += placed;
                remaining -= placed;
            }
        }
    }
}

/// Raises each zone to its minimum, with reclaimable replicas where they are to be had.
fn raise_to_minimum(bounds: &Bounds, counts: &mut [Count]) {
    for (count, zone) in counts.iter_mut().zip(&bounds.zones) {
        let present = count.on_demand + count.reclaimable;
        let missing = bounds.min.saturating_sub(present);
        if bounds.reclaimable_price.is_some() && !zone.sold_out {
            count.reclaimable += missing;
        } else {
            count.on_demand += missing;
        }
    }
}
