//! Cost of choosing a mix at several sizes of fleet.

use base::Name;
use criterion::{Criterion, criterion_group, criterion_main};
use fleet::planner::{Kind, Mix, Offer, Open};

const VMS: [u64; 4] = [12, 100, 1_000, 12_000];
const ZONES: u64 = 23;
const CLASSES: u64 = 3;

fn open(most: u64) -> Vec<Open> {
    let offer = |zone: u64, class: u64, kind: Kind| Offer {
        class: Name::new(format!("class-{class}")),
        zone: Name::new(format!("zone-{zone}")),
        price: match kind {
            Kind::Reclaimable => 300_000 * (class + 1) + zone * 7_000,
            Kind::OnDemand => 1_000_000 * (class + 1),
        },
        kind,
        units: 2 * (class + 1),
        most,
    };
    let of_zone = |zone: u64| {
        let kinds = [Kind::Reclaimable, Kind::OnDemand];
        (0..CLASSES).flat_map(move |class| kinds.map(|kind| offer(zone, class, kind)))
    };
    let offers = (0..ZONES).flat_map(of_zone);
    let open = |offer| Open {
        offer,
        held: most / 3,
        most,
        loyalty: 10,
    };
    offers.map(open).collect()
}

fn mixes(criterion: &mut Criterion) {
    for vms in VMS {
        let open = open(vms.div_ceil(ZONES));
        criterion.bench_function(&format!("mix/{vms}"), |bench| {
            bench.iter(|| Mix::cheapest(&open, vms * 2).price());
        });
    }
}

criterion_group!(benches, mixes);
criterion_main!(benches);
