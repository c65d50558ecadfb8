//! Cost of a draw, of a guard's events, and of a controller's steps by number of nodes.

use base::{Incarnation, Millis, Name};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use indexmap::IndexMap;
use rollout::guard::{self, Guard};
use rollout::{
    Arm, Controller, Event, Id, Plan, Record, Share, Shares, Split, Stage, Stored, Summary, WallTime, WriteId,
};

const ROUTES: usize = 4;
const START: WallTime = WallTime(1_000_000);

fn route(index: usize) -> Name {
    Name::from(format!("route-{index}"))
}

fn plan() -> Plan {
    Plan {
        id: Id(1),
        endpoint: Name::from("ysgrifydd"),
        from: Name::from("v1"),
        to: Name::from("v2"),
        start: START,
        deadline: START.after(Millis::from_secs(3_600)),
        canary: rollout::plan::CANARY_SHARE,
        watch: Millis::from_secs(600),
        operator: Name::from("operator"),
    }
}

fn stored() -> Stored {
    let record = Record::new(plan(), WriteId { fence: 1, number: 1 }, START);
    Stored {
        record,
        generation: 1,
    }
}

fn shares() -> Shares {
    let shares = stored().shares();
    let routes = (0..ROUTES).map(|index| (route(index), Share::from_percent(10)));
    Shares {
        routes: routes.collect::<IndexMap<_, _>>(),
        stage: Stage::Moving,
        ..shares
    }
}

/// A guard that has seen `requests` requests on each route, 1% of which failed.
fn guard(requests: u64) -> Guard {
    let mut guard = Guard::new(Incarnation(1));
    guard.step(Millis::ZERO, guard::Event::Applied(Box::new(shares())));
    for request in 0..requests {
        for index in 0..ROUTES {
            serve_request(&mut guard, index, request);
        }
    }
    guard
}

fn serve_request(guard: &mut Guard, index: usize, request: u64) {
    let started = Millis(request * 10);
    let arm = if request.is_multiple_of(10) {
        Arm::New
    } else {
        Arm::Old
    };
    let assignment = rollout::Assignment {
        rollout: Id(1),
        arm,
        share: Share::from_percent(10),
    };
    let endpoint = Name::from("ysgrifydd");
    let (assignment, route) = (Some(assignment), route(index));
    let start = guard::Event::Started {
        endpoint: endpoint.clone(),
        route: route.clone(),
        assignment,
    };
    guard.step(started, start);
    let failed = request % 500 < 5;
    let end = guard::Event::Finished {
        endpoint,
        route,
        assignment,
        started,
        failed,
    };
    guard.step(started + Millis(20 + request % 30), end);
}

fn bench_split(c: &mut Criterion) {
    let mut split = Split::new();
    split.apply(shares());
    let (endpoint, route) = (Name::from("ysgrifydd"), route(2));
    let mut draw = 0_u64;
    c.bench_function("split/choose", |b| {
        b.iter(|| {
            draw = draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
            split
                .choose(&endpoint, &route, draw)
                .map(|choice| choice.assignment.arm)
        });
    });
}

fn bench_guard(c: &mut Criterion) {
    let mut guard = guard(1_000);
    let mut request = 1_000;
    c.bench_function("guard/request", |b| {
        b.iter(|| {
            request += 1;
            serve_request(&mut guard, 2, request);
        });
    });
}

fn report(guard: &mut Guard, node: usize, sequence: u64) -> Summary {
    Summary {
        node: Incarnation(node as u64),
        sequence,
        ..guard.summary(Id(1))
    }
}

fn bench_controller(c: &mut Criterion) {
    let mut guard = guard(1_000);
    let bytes = postcard::to_stdvec(&report(&mut guard, 1, 1)).map_or(0, |bytes| bytes.len());
    let record = postcard::to_stdvec(&stored().record).map_or(0, |bytes| bytes.len());
    let route_state = std::mem::size_of::<rollout::guard::route::RouteState>();
    println!("state of a route in a guard: {route_state} bytes");
    println!("a report of {ROUTES} routes: {bytes} bytes; a record: {record} bytes");
    let mut group = c.benchmark_group("controller/report");
    for nodes in [8, 100, 500, 2_000] {
        let mut controller = Controller::new();
        let acquired = Event::Acquired {
            fence: 1,
            stored: Some(Box::new(stored())),
            wall_time: START,
        };
        controller.step(Millis::ZERO, acquired);
        let mut count = 0;
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::from_parameter(nodes), |b| {
            b.iter_batched(
                || {
                    count += 1;
                    Box::new(report(&mut guard, count as usize % nodes, count))
                },
                |summary| controller.step(Millis(1), Event::Reported(summary)),
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, bench_split, bench_guard, bench_controller);
criterion_main!(benches);
