//! Steps per second of the table and the ledger, at different numbers of held keys.

mod claim {
    pub mod fixture;
}

use claim::fixture::{Issuer, Node};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

/// Numbers of held keys.
const HELD: [usize; 2] = [1_000, 100_000];
/// Steps per issued key: issue, arrive, dispatch, finish, repeat.
const TABLE_STEPS: u64 = 5;
/// Steps per chosen key: arrive, write done, dispatch, finish, repeat.
const LEDGER_STEPS: u64 = 5;

fn table(c: &mut Criterion) {
    let mut group = c.benchmark_group("table");
    group.throughput(Throughput::Elements(TABLE_STEPS));
    for held in HELD {
        let mut issuer = Issuer::new(held);
        for _ in 0..held {
            issuer.cycle();
        }
        group.bench_function(BenchmarkId::from_parameter(held), |b| b.iter(|| issuer.cycle()));
    }
    group.finish();
}

fn ledger(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    group.throughput(Throughput::Elements(LEDGER_STEPS));
    for held in HELD {
        let mut node = Node::new(held);
        for _ in 0..held {
            node.cycle();
        }
        group.bench_function(BenchmarkId::from_parameter(held), |b| b.iter(|| node.cycle()));
    }
    group.finish();
}

criterion_group!(benches, table, ledger);
criterion_main!(benches);
