//! Simulates purchase policies over a day with reclaim waves and refused starts, and prints their cost and capacity
//! shortage as a table.
//!
//! `cargo bench -p fleet --bench policy`

use base::seed::Generator;
use base::{Millis, Name, Seed};
use fleet::Planner;
use fleet::planner::{Action, Event, Kind, Offer, Settings};
use rand::RngExt;

const DAY_SECONDS: u64 = 86_400;
/// Simulated time between two steps.
const STEP_SECONDS: u64 = 20;
const SEEDS: u64 = 6;
/// Units of capacity at the lunchtime peak.
const PEAK_UNITS: f64 = 24.0;
/// Units of capacity of a VM.
const UNITS_PER_VM: u64 = 2;
/// Probability that the start of a reclaimable VM is refused while its zone is not sold out.
const REFUSED_PERCENT: u32 = 10;
const WAVES_PER_DAY: u64 = 6;
/// Time for which a zone sells no reclaimable VMs after a reclaim wave.
const SOLD_OUT_SECONDS: u64 = 1_800;
/// Hourly prices of reclaimable VMs by zone and of on-demand VMs, in millionths of the currency unit.
const RECLAIMABLE_PRICES: [u64; 4] = [300_000, 320_000, 350_000, 400_000];
const ON_DEMAND_PRICE: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
enum Policy {
    Planner,
    /// The planner without a load profile of earlier days: the time of day is fixed at midnight.
    Unforeseen,
    AllOnDemand,
    CheapestZone,
}

struct Vm {
    offer: Offer,
    serves_from: u64,
    is_reported: bool,
}

#[derive(Default)]
struct Totals {
    cost: f64,
    /// Time with less capacity than load.
    short_seconds: u64,
    /// Load beyond the capacity, in units times seconds.
    unserved_unit_seconds: f64,
    served_unit_seconds: f64,
    reclaimed: u64,
    refused: u64,
}

struct Cloud {
    generator: Generator,
    vms: Vec<Vm>,
    /// Time until which each zone sells no reclaimable VMs.
    sold_out_until: [u64; 4],
    waves: Vec<(u64, usize)>,
}

/// How fast the load rises at lunchtime.
#[derive(Clone, Copy, Debug)]
enum LunchPeak {
    /// Over an hour.
    Smooth,
    /// Within three minutes, as after a school bell.
    Bell,
}

fn load(lunch: LunchPeak, second: u64) -> f64 {
    let hour = (second % DAY_SECONDS) as f64 / 3_600.0;
    let peak = |at: f64, width: f64| (-((hour - at) / width).powi(2)).exp();
    let noon = match lunch {
        LunchPeak::Smooth => peak(12.4, 0.5),
        LunchPeak::Bell => ((hour - 12.0) / 0.05).clamp(0.0, 1.0) * ((13.0 - hour) / 0.05).clamp(0.0, 1.0),
    };
    PEAK_UNITS * (0.12 + 0.35 * peak(7.5, 0.8) + 0.88 * noon + 0.2 * peak(15.5, 1.5))
}

fn all_offers() -> Vec<Offer> {
    let offer = |zone: usize, kind: Kind, price: u64| Offer {
        class: Name::new("small"),
        zone: Name::new(format!("zone-{zone}")),
        kind,
        price,
        units: UNITS_PER_VM,
        max: 40,
    };
    let reclaimable = RECLAIMABLE_PRICES.iter().enumerate();
    let reclaimable = reclaimable.map(|(zone, price)| offer(zone, Kind::Reclaimable, *price));
    reclaimable
        .chain((0..4).map(|zone| offer(zone, Kind::OnDemand, ON_DEMAND_PRICE)))
        .collect()
}

/// Returns a planner with the offers of the policy. `CheapestZone` treats the reclaimable VMs of that zone as on-demand
/// VMs, so that the planner keeps no reserve for the loss of the zone.
fn planner(policy: Policy) -> Planner {
    let all = all_offers();
    let offers = match policy {
        Policy::Planner | Policy::Unforeseen => all,
        Policy::AllOnDemand => all.into_iter().filter(|it| it.kind == Kind::OnDemand).collect(),
        Policy::CheapestZone => vec![Offer {
            kind: Kind::OnDemand,
            ..all[0].clone()
        }],
    };
    Planner::new(offers, Settings::new())
}

impl Cloud {
    fn new(seed: u64) -> Self {
        let mut generator = Seed(seed).generator();
        // Half of the waves start around noon.
        let waves = (0..WAVES_PER_DAY).map(|number| {
            let second = if number % 2 == 0 {
                generator.random_range(0..DAY_SECONDS)
            } else {
                generator.random_range(41_000..48_000)
            };
            (DAY_SECONDS + second, generator.random_range(0..4))
        });
        let waves = waves.collect();
        Self {
            generator,
            vms: Vec::new(),
            sold_out_until: [0; 4],
            waves,
        }
    }

    fn zone(offer: &Offer) -> usize {
        (0..4)
            .find(|zone| offer.zone.as_str() == format!("zone-{zone}"))
            .unwrap_or(0)
    }

    fn is_reclaimable(offer: &Offer) -> bool {
        offer.price < ON_DEMAND_PRICE
    }

    fn start(&mut self, now: u64, offer: Offer) -> Option<Event> {
        let is_sold_out = now < self.sold_out_until[Self::zone(&offer)];
        let is_refused = is_sold_out || self.generator.random_range(0..100) < REFUSED_PERCENT;
        if Self::is_reclaimable(&offer) && is_refused {
            return Some(Event::StartRefused(offer));
        }
        let serves_from = now + self.generator.random_range(60..180);
        self.vms.push(Vm {
            offer,
            serves_from,
            is_reported: false,
        });
        None
    }

    fn stop(&mut self, offer: &Offer) {
        if let Some(index) = self
            .vms
            .iter()
            .position(|vm| vm.offer == *offer && vm.is_reported)
        {
            self.vms.swap_remove(index);
        }
    }

    /// Returns events for the VMs that began to serve and for those that a wave reclaimed.
    fn events(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for vm in &mut self.vms {
            if !vm.is_reported && vm.serves_from <= now {
                vm.is_reported = true;
                events.push(Event::Started(vm.offer.clone()));
            }
        }
        let due_zones: Vec<usize> = self
            .waves
            .iter()
            .filter(|it| it.0 <= now)
            .map(|it| it.1)
            .collect();
        self.waves.retain(|it| it.0 > now);
        for zone in due_zones {
            self.sold_out_until[zone] = now + SOLD_OUT_SECONDS;
            let is_reclaimed = |vm: &Vm| Self::is_reclaimable(&vm.offer) && Self::zone(&vm.offer) == zone;
            for vm in self.vms.iter().filter(|vm| is_reclaimed(vm)) {
                let offer = vm.offer.clone();
                events.push(if vm.is_reported {
                    Event::Ended(offer)
                } else {
                    Event::StartRefused(offer)
                });
            }
            self.vms.retain(|vm| !is_reclaimed(vm));
        }
        events
    }
}

fn simulate(policy: Policy, lunch: LunchPeak, seed: u64) -> Totals {
    let mut planner = planner(policy);
    let mut cloud = Cloud::new(seed);
    let mut totals = Totals::default();
    for now in (0..2 * DAY_SECONDS).step_by(STEP_SECONDS as usize) {
        let millis = Millis(now * 1_000);
        for event in cloud.events(now) {
            totals.reclaimed += u64::from(matches!(event, Event::Ended(_)));
            planner.step(millis, event);
        }
        let noise = 1.0 + cloud.generator.random_range(-0.05..0.05);
        let load = load(lunch, now) * noise;
        let time = match policy {
            Policy::Unforeseen => Millis::ZERO,
            _ => Millis(now % DAY_SECONDS * 1_000),
        };
        for action in planner.step(
            millis,
            Event::Load {
                time,
                load: load.ceil() as u64,
            },
        ) {
            match action {
                Action::Start(offer) => {
                    if let Some(refused) = cloud.start(now, offer) {
                        totals.refused += 1;
                        planner.step(millis, refused);
                    }
                }
                Action::Stop(offer) => {
                    cloud.stop(&offer);
                    planner.step(millis, Event::Ended(offer));
                }
            }
        }
        if now >= DAY_SECONDS {
            add_step(&mut totals, &cloud, load);
        }
    }
    totals
}

fn add_step(totals: &mut Totals, cloud: &Cloud, load: f64) {
    let hours = STEP_SECONDS as f64 / 3_600.0;
    let serving = cloud.vms.iter().filter(|vm| vm.is_reported);
    let units: u64 = serving.map(|vm| vm.offer.units).sum();
    let price: u64 = cloud.vms.iter().map(|vm| vm.offer.price).sum();
    totals.cost += price as f64 / 1e6 * hours;
    let missing = (load - units as f64).max(0.0);
    totals.short_seconds += if missing > 0.0 { STEP_SECONDS } else { 0 };
    totals.unserved_unit_seconds += missing * STEP_SECONDS as f64;
    totals.served_unit_seconds += (load - missing) * STEP_SECONDS as f64;
}

fn main() {
    println!("lunch  policy        seed |   cost a day | short s | unserved ‰ | reclaimed | refused");
    for lunch in [LunchPeak::Smooth, LunchPeak::Bell] {
        for policy in [
            Policy::Planner,
            Policy::Unforeseen,
            Policy::AllOnDemand,
            Policy::CheapestZone,
        ] {
            for seed in 1..=SEEDS {
                print(policy, lunch, seed);
            }
        }
    }
}

fn print(policy: Policy, lunch: LunchPeak, seed: u64) {
    let totals = simulate(policy, lunch, seed);
    println!(
        "{:6} {:13} {seed:4} | {:12.2} | {:7} | {:10.2} | {:9} | {:7}",
        format!("{lunch:?}"),
        format!("{policy:?}"),
        totals.cost,
        totals.short_seconds,
        1_000.0 * totals.unserved_unit_seconds / (totals.unserved_unit_seconds + totals.served_unit_seconds),
        totals.reclaimed,
        totals.refused,
    );
}
