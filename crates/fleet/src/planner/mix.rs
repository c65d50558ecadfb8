//! The cheapest mix of VMs for a capacity.
//!
//! If no zone holds more than `ceiling` units of reclaimable capacity, then a total of `need + ceiling` units leaves
//! `need` when any one zone is reclaimed. For each ceiling the offers are taken in the order of their price a unit,
//! and what turns out to be of no use is left out again; the cheapest over all ceilings is the mix.

use base::Name;
use indexmap::IndexMap;

use super::offer::{Kind, Offer};

/// Most ceilings that are tried.
const CEILINGS: u64 = 64;

/// An offer and what may be had of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// The offer.
    pub offer: Offer,
    /// VMs that run already.
    pub held: u64,
    /// Most VMs that may run.
    pub most: u64,
    /// Hundredths by which a running VM counts as cheaper.
    pub loyalty: u64,
}

/// Number of VMs by offer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    counts: IndexMap<Offer, u64>,
}

/// VMs of one price that may be taken.
#[derive(Clone, Copy, Debug)]
struct Choice<'a> {
    offer: &'a Offer,
    price: u64,
    count: u64,
}

impl Mix {
    /// The cheapest mix found that keeps `need` units with any one zone of reclaimable VMs gone; if the offers don't
    /// reach that far, the one that keeps most.
    pub fn cheapest(open: &[Open], need: u64) -> Self {
        let choices = choices(open);
        let largest = open.iter().map(|it| it.offer.units).max().unwrap_or(1);
        let step = (need / CEILINGS).max(1);
        let mut best: Option<Self> = None;
        let mut ceiling = 0;
        while ceiling <= need + largest {
            let mix = Self::under(&choices, need, ceiling);
            if best.as_ref().is_none_or(|best| mix.is_better(best, open, need)) {
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
    pub fn units_left(&self) -> u64 {
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

    fn under(choices: &[Choice<'_>], need: u64, ceiling: u64) -> Self {
        let mut mix = Self::default();
        let mut zones: IndexMap<&Name, u64> = IndexMap::new();
        let mut units = 0;
        for choice in choices {
            let size = choice.offer.units.max(1);
            let zone = zones.entry(&choice.offer.zone).or_default();
            let missing = (need + ceiling).saturating_sub(units).div_ceil(size);
            let room = match choice.offer.kind {
                Kind::Reclaimable => (ceiling - *zone) / size,
                Kind::OnDemand => u64::MAX,
            };
            let count = choice.count.min(missing).min(room);
            if count == 0 {
                continue;
            }
            if choice.offer.kind == Kind::Reclaimable {
                *zone += count * size;
            }
            units += count * size;
            *mix.counts.entry(choice.offer.clone()).or_default() += count;
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
                if self.units_left() < need {
                    self.counts[&offer] += 1;
                    break;
                }
            }
        }
    }

    fn is_better(&self, other: &Self, open: &[Open], need: u64) -> bool {
        let enough = |mix: &Self| mix.units_left().min(need);
        let order = |mix: &Self| (std::cmp::Reverse(enough(mix)), mix.discounted(open));
        order(self) < order(other)
    }

    /// The price with running VMs counted as cheaper.
    fn discounted(&self, open: &[Open]) -> u64 {
        let price = |it: &Open| {
            let count = self.count(&it.offer);
            let held = count.min(it.held);
            (count - held) * it.offer.price + held * it.discounted()
        };
        open.iter().map(price).sum()
    }
}

impl Open {
    fn discounted(&self) -> u64 {
        self.offer.price * (100 - self.loyalty) / 100
    }
}

/// What may be taken, the cheapest a unit first; running VMs apart from new ones.
fn choices(open: &[Open]) -> Vec<Choice<'_>> {
    let mut choices = Vec::new();
    for it in open {
        let held = it.held.min(it.most);
        choices.push(Choice {
            offer: &it.offer,
            price: it.discounted(),
            count: held,
        });
        choices.push(Choice {
            offer: &it.offer,
            price: it.offer.price,
            count: it.most - held,
        });
    }
    let unit_price = |it: &Choice<'_>| it.price as f64 / it.offer.units.max(1) as f64;
    choices.sort_by(|a, b| unit_price(a).total_cmp(&unit_price(b)));
    choices
}
