//! The cheapest mix of VMs for a capacity.
//!
//! If no zone holds more than `ceiling` units of reclaimable capacity, then a total of `need + ceiling` units leaves
//! `need` when any one zone is reclaimed. For each ceiling the offers are taken in the order of their price a unit,
//! and what turns out to be of no use is left out again; the cheapest over all ceilings is the mix.

use base::Name;
use indexmap::IndexMap;

use super::offer::{Kind, Offer};

/// Most ceilings that are tried.
const MAX_CEILINGS: u64 = 64;

/// An offer and what may be had of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    /// The offer.
    pub offer: Offer,
    /// VMs that run already.
    pub running: u64,
    /// Most VMs that may run.
    pub max: u64,
    /// Hundredths by which a running VM counts as cheaper.
    pub running_discount: u64,
}

/// Number of VMs by offer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    counts: IndexMap<Offer, u64>,
}

/// VMs of one price that may be taken.
#[derive(Clone, Copy, Debug)]
struct Batch<'a> {
    offer: &'a Offer,
    price: u64,
    count: u64,
}

impl Mix {
    /// The cheapest mix found that keeps `need` units with any one zone of reclaimable VMs gone; if the offers don't
    /// reach that far, the one that keeps most.
    pub fn cheapest(available: &[Availability], need: u64) -> Self {
        let batches = batches(available);
        let max_units = available.iter().map(|it| it.offer.units).max().unwrap_or(1);
        let step = (need / MAX_CEILINGS).max(1);
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

    /// Number of VMs of `offer`.
    pub fn count(&self, offer: &Offer) -> u64 {
        self.counts.get(offer).copied().unwrap_or(0)
    }

    /// Number of VMs by offer.
    pub fn counts(&self) -> &IndexMap<Offer, u64> {
        &self.counts
    }

    /// Units of capacity.
    pub fn units(&self) -> u64 {
        self.counts.iter().map(|(offer, count)| offer.units * count).sum()
    }

    /// Units of capacity with the worst zone of reclaimable VMs gone.
    pub fn surviving_units(&self) -> u64 {
        let mut zones: IndexMap<&Name, u64> = IndexMap::new();
        for (offer, count) in &self.counts {
            if offer.kind == Kind::Reclaimable {
                *zones.entry(&offer.zone).or_default() += offer.units * count;
            }
        }
        self.units() - zones.values().max().copied().unwrap_or(0)
    }

    /// Price of all VMs, in millionths of the currency an hour.
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

    /// Leaves out VMs, the dearest first, as long as enough stays.
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

    /// The price with running VMs counted as cheaper.
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

/// What may be taken, the cheapest a unit first; running VMs apart from new ones.
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
