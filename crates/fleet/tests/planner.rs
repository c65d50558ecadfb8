//! Checks mixes against an exhaustive search over a few offers, and the planner against a cloud that refuses starts and
//! reclaims VMs.

use base::{Millis, Name};
use fleet::Planner;
use fleet::planner::{Action, Event, Kind, Mix, Offer, Settings};
use indexmap::IndexMap;
use quickcheck::TestResult;

fn offer(number: usize, price: u64, units: u64, max: u64) -> Offer {
    Offer {
        class: Name::new(format!("class-{units}")),
        zone: Name::new(format!("zone-{}", number % 3)),
        kind: if number < 3 {
            Kind::Reclaimable
        } else {
            Kind::OnDemand
        },
        price,
        units,
        max,
    }
}

/// Returns the price of the cheapest of all sufficient mixes, if there is one.
fn lowest_price(offers: &[Offer], need: u64) -> Option<u64> {
    let sizes = offers.iter().map(|it| it.max + 1);
    let mixes: u64 = sizes.product();
    let price = |number: u64| {
        let mut number = number;
        let mut zones: IndexMap<&Name, u64> = IndexMap::new();
        let (mut units, mut price) = (0, 0);
        for it in offers {
            let count = number % (it.max + 1);
            number /= it.max + 1;
            units += count * it.units;
            price += count * it.price;
            if it.kind == Kind::Reclaimable {
                *zones.entry(&it.zone).or_default() += count * it.units;
            }
        }
        let surviving = units - zones.values().max().copied().unwrap_or(0);
        (surviving >= need).then_some(price)
    };
    (0..mixes).filter_map(price).min()
}

fn available(offers: &[Offer]) -> Vec<fleet::planner::Availability> {
    let availability = |offer: &Offer| fleet::planner::Availability {
        offer: offer.clone(),
        running: 0,
        max: offer.max,
        running_discount: 0,
    };
    offers.iter().map(availability).collect()
}

/// Checks the mix for up to five offers, given as price, whether a VM has three units instead of two, and maximum.
#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its inputs by value"
)]
fn mix_is_sufficient_and_cheap(numbers: Vec<(u8, bool, u8)>, need: u8) -> TestResult {
    let indexed = numbers.iter().take(5).enumerate();
    let offers: Vec<Offer> = indexed
        .map(|(index, it)| {
            offer(
                index,
                u64::from(it.0) + 10,
                2 + u64::from(it.1),
                u64::from(it.2 % 5),
            )
        })
        .collect();
    let need = u64::from(need % 24);
    let mix = Mix::cheapest(&available(&offers), need);
    assert!(mix.counts().iter().all(|(offer, count)| *count <= offer.max));
    let Some(best) = lowest_price(&offers, need) else {
        return TestResult::passed();
    };
    assert!(
        mix.surviving_units() >= need,
        "{} units remain of {need} needed",
        mix.surviving_units()
    );
    assert!(mix.price() >= best);
    let is_uniform = offers.windows(2).all(|pair| pair[0].units == pair[1].units);
    if is_uniform {
        assert_eq!(
            mix.price(),
            best,
            "the mix must be the cheapest where all VMs have the same units"
        );
    }
    assert!(
        mix.price() * 100 <= best * MAX_PRICE_PERCENT,
        "price {}, cheapest {best}",
        mix.price()
    );
    TestResult::passed()
}

/// Maximum price of a mix of VMs with different units, in percent of the cheapest mix.
const MAX_PRICE_PERCENT: u64 = 150;

#[test]
fn mixes_suffice_and_are_near_the_cheapest() {
    check::property(
        3_000,
        5,
        mix_is_sufficient_and_cheap as fn(Vec<(u8, bool, u8)>, u8) -> TestResult,
    );
}

/// Load at the end of a schedule, above all loads before it.
const FINAL_LOAD: u64 = 50;

/// Runs the planner on a schedule. Each step has the index of the refused offer, the load and the index of the
/// reclaimed offer.
fn planner_meets_the_final_load(steps: Vec<(u8, u8, u8)>) -> TestResult {
    let offers = [
        offer(0, 30, 2, 12),
        offer(1, 32, 2, 12),
        offer(2, 40, 2, 12),
        offer(3, 100, 2, 30),
        offer(4, 105, 2, 30),
    ];
    let mut planner = Planner::new(offers.to_vec(), Settings::new());
    // One offer stays unavailable until the end.
    let unavailable = steps.first().map_or(99, |it| it.0 % 6);
    let mut now = 0;
    let mut need = 0;
    for (refused, load, reclaimed) in steps.into_iter().chain([(unavailable, u8::MAX, 99); 80]) {
        now += 20_000;
        need = if load == u8::MAX {
            FINAL_LOAD
        } else {
            u64::from(load % 30)
        };
        let time = Millis(now % 86_400_000);
        for action in planner.step(Millis(now), Event::Load { time, load: need }) {
            let event = match action {
                Action::Start(offer) if offers.get(usize::from(refused)) == Some(&offer) => {
                    Event::StartRefused(offer)
                }
                Action::Start(offer) => Event::Started(offer),
                Action::Stop(offer) => Event::Ended(offer),
            };
            planner.step(Millis(now), event);
        }
        if let Some(offer) = offers.get(usize::from(reclaimed)) {
            for _ in 0..planner.running().get(offer).copied().unwrap_or(0) {
                planner.step(Millis(now), Event::Ended(offer.clone()));
            }
        }
        assert!(planner.running().iter().all(|(offer, count)| *count <= offer.max));
    }
    let units_of = |kind: Kind, zone: Option<&Name>| -> u64 {
        let running = planner.running().iter();
        let matching = running.filter(|it| it.0.kind == kind && zone.is_none_or(|zone| it.0.zone == *zone));
        matching.map(|(offer, count)| offer.units * count).sum()
    };
    let units = units_of(Kind::Reclaimable, None) + units_of(Kind::OnDemand, None);
    let zones = offers
        .iter()
        .map(|it| units_of(Kind::Reclaimable, Some(&it.zone)));
    let surviving = units - zones.max().unwrap_or(0);
    assert!(
        surviving >= need,
        "{surviving} of {need} units remain without the worst zone"
    );
    assert!(
        units <= need * 3,
        "{units} units run for a need of {need}: surplus VMs were not stopped"
    );
    TestResult::passed()
}

#[test]
fn planner_reaches_its_need_and_stops_surplus_vms() {
    check::property(
        30,
        30,
        planner_meets_the_final_load as fn(Vec<(u8, u8, u8)>) -> TestResult,
    );
}
