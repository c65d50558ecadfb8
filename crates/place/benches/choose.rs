//! Time to choose a replica, by number of replicas, with and without learned speeds.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Seed};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use place::{Demand, Load, Part, PeerPace, Pool, Settings, Spec, State, VersionFilter, hash};

const REPLICAS: [u32; 4] = [10, 100, 1_000, 12_000];

fn pool(replicas: u32, is_learned: bool) -> Pool {
    let settings = Settings {
        cache_tokens: 500_000,
        ..Settings::default()
    };
    let mut pool = Pool::new(Seed(1), settings);
    for number in 0..replicas {
        pool.register(
            Millis::ZERO,
            Spec {
                id: Arc::from(format!("i-{number}")),
                endpoint: Arc::from("endpoint"),
                address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
                zone: Arc::from(format!("zone-{}", number % 4)),
                version: Arc::from("v1"),
                slots: 64,
                state: State::Ready,
                reclaimable: false,
                warmup_remaining: Millis::ZERO,
                started_unix_ms: Some(1),
            },
        );
    }
    if is_learned {
        let pace = |number: u32| PeerPace {
            replica: hash(&format!("i-{number} 1")) as u32,
            time: if number.is_multiple_of(4) { 1_000 } else { 2_100 },
            count: 20,
        };
        pool.record_peer_paces(&(0..replicas).map(pace).collect::<Vec<_>>());
        let key = pool
            .choose(Millis(1), &demand(&[]))
            .expect("a replica should be available")
            .replica;
        let load = Load {
            pace: Some(100),
            ..Load::default()
        };
        pool.record_load(Millis(1), key, load);
    }
    pool
}

const fn demand(parts: &[Part]) -> Demand<'_> {
    Demand {
        parts,
        output_tokens: 100,
        zone: "zone-0",
        tried: &[],
        version: VersionFilter::Any,
        zones: None,
        has_detour: false,
        urgency: None,
        time_left: Millis(60_000),
    }
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for replicas in REPLICAS {
        for (name, is_learned) in [("usual", false), ("learned", true)] {
            let mut pool = pool(replicas, is_learned);
            let mut number = 0;
            // All replicas are old enough to be homes, and a request was sent long ago.
            let mut now = Millis(60_000);
            if let Ok(choice) = pool.choose(Millis(2), &demand(&[])) {
                pool.send(Millis(2), &choice, &demand(&[]));
            }
            group.bench_function(BenchmarkId::new(name, replicas), |bencher| {
                bencher.iter(|| {
                    number += 1;
                    // Ten requests per millisecond.
                    now = Millis(60_000 + number / 10);
                    let parts = [
                        Part {
                            id: number % 500,
                            tokens: 13_000,
                        },
                        Part {
                            id: number + 1_000,
                            tokens: 3_000,
                        },
                    ];
                    black_box(pool.choose(now, &demand(&parts)))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, choose);
criterion_main!(benches);
