//! How many replicas an endpoint needs in which zones, and of which kind.
//!
//! Load pattern: the reclaimable replicas of one zone after another are taken back within seconds of notice, sooner
//! than replacements boot, and none are to be had anywhere for longer than the next zone takes to go. So the load must
//! be carried, if closely, with the two worst zones of reclaimable replicas gone; where they are sold out, on-demand
//! ones take their place.

use std::sync::Arc;

/// Part of the replicas' time that the load may take when two zones of reclaimable ones are gone.
const CLOSE_UTILIZATION: f64 = 0.6;
/// Part of all replicas' time that the load may take otherwise.
const COMFORTABLE_UTILIZATION: f64 = 0.25;
/// Fewest replicas that must be left when two zones are gone: one may crash.
const LEAST_LEFT: u32 = 2;
/// What a replica is worth that is missing when two zones are gone, as a multiple of the on-demand price.
const CLOSE_WORTH: f64 = 4.0;
/// What a replica is worth that only makes the load comfortable: less than any on-demand price, more than a reclaimable
/// one's.
const COMFORT_WORTH: f64 = 0.5;
/// Zones that may be gone before replacements serve.
const ZONES_GONE: usize = 2;

/// An availability zone, its prices and what is there.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: Arc<str>,
    /// Price of an on-demand replica.
    pub price: f64,
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
    pub reclaimable: Option<f64>,
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
pub fn wanted(bounds: &Bounds, busy: f64) -> Vec<Count> {
    let need = Need::new(busy);
    let most = bounds.max * bounds.zones.len() as u32;
    let mut best: Option<Mix> = None;
    for on_demand in 0..=most {
        for level in 0..=bounds.max {
            let mix = Mix::new(bounds, on_demand, level);
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
    close: u32,
    /// Otherwise.
    comfortable: u32,
}

impl Need {
    fn new(busy: f64) -> Self {
        let close = (busy / CLOSE_UTILIZATION).ceil() as u32;
        let comfortable = (busy / COMFORTABLE_UTILIZATION).ceil() as u32;
        Self {
            close: close.max(LEAST_LEFT),
            comfortable,
        }
    }
}

/// A mix of replicas and what it comes to.
#[derive(Clone, Debug)]
struct Mix {
    counts: Vec<Count>,
    total: u32,
    /// Replicas with the worst zones of reclaimable ones gone.
    left: u32,
    price: f64,
}

impl Mix {
    /// So many on-demand replicas in the cheapest zones, and up to `level` reclaimable ones in each zone.
    fn new(bounds: &Bounds, on_demand: u32, level: u32) -> Self {
        let mut counts: Vec<Count> = bounds.zones.iter().map(empty).collect();
        spread(bounds, &mut counts, on_demand);
        if bounds.reclaimable.is_some() {
            for (count, zone) in counts.iter_mut().zip(&bounds.zones) {
                // What can't be had again is not given up.
                let number = if zone.sold_out { zone.reclaimable } else { level };
                count.reclaimable = number.min(bounds.max - count.on_demand);
            }
        }
        raise(bounds, &mut counts);
        Self::weigh(bounds, counts)
    }

    fn weigh(bounds: &Bounds, counts: Vec<Count>) -> Self {
        let total = counts.iter().map(|it| it.on_demand + it.reclaimable).sum();
        let mut reclaimable: Vec<u32> = counts.iter().map(|it| it.reclaimable).collect();
        reclaimable.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
        let gone: u32 = reclaimable.iter().take(ZONES_GONE).sum();
        let part = bounds.reclaimable.unwrap_or(1.0);
        let price = counts.iter().zip(&bounds.zones).map(|(count, zone)| {
            zone.price * f64::from(count.reclaimable).mul_add(part, f64::from(count.on_demand))
        });
        Self {
            price: price.sum(),
            total,
            left: total - gone,
            counts,
        }
    }

    /// Price of the replicas and of those that are missing.
    fn cost(&self, need: Need) -> f64 {
        let close = f64::from(need.close.saturating_sub(self.left));
        let comfortable = f64::from(need.comfortable.saturating_sub(self.total));
        CLOSE_WORTH.mul_add(close, COMFORT_WORTH.mul_add(comfortable, self.price))
    }
}

fn empty(zone: &Zone) -> Count {
    Count {
        zone: Arc::clone(&zone.name),
        on_demand: 0,
        reclaimable: 0,
    }
}

/// Puts on-demand replicas into the cheaper half of the zones in turn, then into the others. Reclaimable replicas that
/// can't be had again keep their places.
fn spread(bounds: &Bounds, counts: &mut [Count], total: u32) {
    let room = |index: &usize| {
        let zone = &bounds.zones[*index];
        let kept = if zone.sold_out { zone.reclaimable } else { 0 };
        bounds.max.saturating_sub(kept)
    };
    let mut order: Vec<usize> = (0..counts.len()).collect();
    order.sort_by(|a, b| bounds.zones[*a].price.total_cmp(&bounds.zones[*b].price));
    let (cheap, dear) = order.split_at(order.len().div_ceil(2));
    let mut left = total;
    for group in [cheap, dear] {
        for round in 0..bounds.max {
            for index in group.iter().filter(|index| round < room(index)) {
                let taken = left.min(1);
                counts[*index].on_demand += taken;
                left -= taken;
            }
        }
    }
}

/// Raises each zone to its minimum, with reclaimable replicas where they are to be had.
fn raise(bounds: &Bounds, counts: &mut [Count]) {
    for (count, zone) in counts.iter_mut().zip(&bounds.zones) {
        let present = count.on_demand + count.reclaimable;
        let missing = bounds.min.saturating_sub(present);
        if bounds.reclaimable.is_some() && !zone.sold_out {
            count.reclaimable += missing;
        } else {
            count.on_demand += missing;
        }
    }
}
