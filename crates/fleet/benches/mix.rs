//! Run time of the search for the cheapest mix, by number of VMs.

use base::Name;
use criterion::{Criterion, criterion_group, criterion_main};
use fleet::planner::{Availability, Kind, Mix, Offer};

const VMS: [u64; 4] = [12, 100, 1_000, 12_000];
const ZONES: u64 = 23;
const CLASSES: u64 = 3;

fn available(max: u64) -> Vec<Availability> {
    let offer = |zone: u64, class: u64, kind: Kind| Offer {
        class: Name::new(format!("class-{class}")),
        zone: Name::new(format!("zone-{zone}")),
        price: match kind {
            Kind::Reclaimable => 300_000 * (class + 1) + zone * 7_000,
            Kind::OnDemand => 1_000_000 * (class + 1),
        },
        kind,
        units: 2 * (class + 1),
        max,
    };
    let of_zone = |zone: u64| {
        let kinds = [Kind::Reclaimable, Kind::OnDemand];
        (0..CLASSES).flat_map(move |class| kinds.map(|kind| offer(zone, class, kind)))
    };
    let offers = (0..ZONES).flat_map(of_zone);
    let availability = |offer| Availability {
        offer,
        running: max / 3,
        max,
        running_discount: 10,
    };
    offers.map(availability).collect()
}

fn mixes(criterion: &mut Criterion) {
    for vms in VMS {
        let available = available(vms.div_ceil(ZONES));
        criterion.bench_function(&format!("mix/{vms}"), |bench| {
            bench.iter(|| Mix::cheapest(&available, vms * 2).price());
        });
    }
}

criterion_group!(benches, mixes);
criterion_main!(benches);
