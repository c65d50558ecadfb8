//! Search for the cheapest mix of VMs that provides a capacity.
//!
//! If no zone holds more than `ceiling` units of reclaimable capacity, then a total of `need + ceiling` units leaves
//! `need` units when any one zone is reclaimed. For each ceiling, the search takes offers in order of their price per
//! unit and then removes VMs that are not needed. The result is the cheapest mix over all ceilings.

use base::Name;
use indexmap::IndexMap;

use super::offer::{Kind, Offer};

/// Number of steps into which the need is divided to try ceilings; a small need is divided into single units.
const CEILING_STEPS: u64 = 64;

/// An offer, its running VMs and how many VMs of it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    /// The offer.
    pub offer: Offer,
    /// VMs of the offer that are running or starting.
    pub running: u64,
    /// Maximum number of VMs of the offer in the mix.
    pub max: u64,
    /// Discount on running VMs, in percent.
    pub running_discount: u64,
}

/// A number of VMs of each offer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    counts: IndexMap<Offer, u64>,
}

/// VMs of one offer with the same price, discount included.
#[derive(Clone, Copy, Debug)]
struct Batch<'a> {
    offer: &'a Offer,
    price: u64,
    count: u64,
}

impl Mix {
    /// Returns the cheapest mix found that keeps `need` units when any one zone of reclaimable VMs is lost. If the
    /// offers are insufficient, returns the mix that keeps the most units.
    pub fn cheapest(available: &[Availability], need: u64) -> Self {
        let batches = batches(available);
        let max_units = available.iter().map(|it| it.offer.units).max().unwrap_or(1);
        let step = (need / CEILING_STEPS).max(1);
        let mut best: Option<Self> = None;
        let mut ceiling = 0;
        while ceiling <= need + max_units {
            let mix = Self::with_ceiling(&batches, need, ceiling);
            if best
                .as_ref()
                .is_none_or(|best| mix.is_better(best, available, need))
            {
                best = Some(mix);
            }
            ceiling += step;
        }
        best.unwrap_or_default()
    }

    /// Returns the number of VMs of `offer`.
    pub fn count(&self, offer: &Offer) -> u64 {
        self.counts.get(offer).copied().unwrap_or(0)
    }

    /// Returns the number of VMs of each offer.
    pub fn counts(&self) -> &IndexMap<Offer, u64> {
        &self.counts
    }

    /// Returns the total units of capacity.
    pub fn units(&self) -> u64 {
        self.counts.iter().map(|(offer, count)| offer.units * count).sum()
    }

    /// Returns the units of capacity that remain when the zone with the most reclaimable units is lost.
    pub fn surviving_units(&self) -> u64 {
        let mut zones: IndexMap<&Name, u64> = IndexMap::new();
        for (offer, count) in &self.counts {
            if offer.kind == Kind::Reclaimable {
                *zones.entry(&offer.zone).or_default() += offer.units * count;
            }
        }
        self.units() - zones.values().max().copied().unwrap_or(0)
    }

    /// Returns the price of all VMs per hour, in millionths of the currency unit.
    pub fn price(&self) -> u64 {
        self.counts.iter().map(|(offer, count)| offer.price * count).sum()
    }

    fn with_ceiling(batches: &[Batch<'_>], need: u64, ceiling: u64) -> Self {
        let mut mix = Self::default();
        let mut zones: IndexMap<&Name, u64> = IndexMap::new();
        let mut units = 0;
        for batch in batches {
            let units_per_vm = batch.offer.units.max(1);
            let zone = zones.entry(&batch.offer.zone).or_default();
            let missing = (need + ceiling).saturating_sub(units).div_ceil(units_per_vm);
            let room = match batch.offer.kind {
                Kind::Reclaimable => (ceiling - *zone) / units_per_vm,
                Kind::OnDemand => u64::MAX,
            };
            let count = batch.count.min(missing).min(room);
            if count == 0 {
                continue;
            }
            if batch.offer.kind == Kind::Reclaimable {
                *zone += count * units_per_vm;
            }
            units += count * units_per_vm;
            *mix.counts.entry(batch.offer.clone()).or_default() += count;
        }
        mix.prune(need);
        mix
    }

    /// Removes VMs, the most expensive first, while the remaining ones still provide `need` units.
    fn prune(&mut self, need: u64) {
        let mut offers: Vec<Offer> = self.counts.keys().cloned().collect();
        offers.sort_by_key(|it| std::cmp::Reverse(it.price));
        for offer in offers {
            while self.count(&offer) > 0 {
                self.counts[&offer] -= 1;
                if self.surviving_units() < need {
                    self.counts[&offer] += 1;
                    break;
                }
            }
        }
    }

    fn is_better(&self, other: &Self, available: &[Availability], need: u64) -> bool {
        let useful_units = |mix: &Self| mix.surviving_units().min(need);
        let rank = |mix: &Self| {
            (
                std::cmp::Reverse(useful_units(mix)),
                mix.discounted_price(available),
            )
        };
        rank(self) < rank(other)
    }

    /// Returns the price with the discount on running VMs.
    fn discounted_price(&self, available: &[Availability]) -> u64 {
        let price = |it: &Availability| {
            let count = self.count(&it.offer);
            let running = count.min(it.running);
            (count - running) * it.offer.price + running * it.discounted_price()
        };
        available.iter().map(price).sum()
    }
}

impl Availability {
    fn discounted_price(&self) -> u64 {
        self.offer.price * (100 - self.running_discount) / 100
    }
}

/// Returns the available VMs by ascending price per unit, with running VMs separate from new ones.
fn batches(available: &[Availability]) -> Vec<Batch<'_>> {
    let mut batches = Vec::new();
    for it in available {
        let running = it.running.min(it.max);
        batches.push(Batch {
            offer: &it.offer,
            price: it.discounted_price(),
            count: running,
        });
        batches.push(Batch {
            offer: &it.offer,
            price: it.offer.price,
            count: it.max - running,
        });
    }
    let unit_price = |it: &Batch<'_>| it.price as f64 / it.offer.units.max(1) as f64;
    batches.sort_by(|a, b| unit_price(a).total_cmp(&unit_price(b)));
    batches
}
