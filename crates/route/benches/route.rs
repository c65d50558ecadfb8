//! Time of router steps by number of replicas.

use std::collections::VecDeque;

use base::{Millis, Name, Seed};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::event::{Event, Finish};
use route::replica::{Report, Spec};
use route::{
    Action, Arrival, CallKey, DispatchId, EndpointKey, Prefix, ReplicaKey, Router, WorkspaceKey, endpoint,
    workspace,
};

const REPLICAS: [u32; 4] = [10, 100, 1_000, 12_000];
const ZONES: u32 = 4;
const VERSIONS: u32 = 2;
const CAPACITY: u32 = 16;
/// Requests in flight on one node in the measurements with concurrent requests.
const IN_FLIGHT: u32 = 800;

struct Fixture {
    router: Router,
    endpoint: EndpointKey,
    workspace: WorkspaceKey,
    replicas: Vec<ReplicaKey>,
    actions: Vec<Action>,
    calls: u64,
    now: Millis,
}

impl Fixture {
    fn new(replicas: u32, affinity: bool) -> Self {
        let mut router = Router::new(Seed(1)).with_zone(&Name::from("zone-0"));
        let settings = endpoint::Settings::new(Millis(5_000)).with_affinity(affinity);
        let endpoint = router.add_endpoint(settings);
        let workspace = router.add_workspace(workspace::Settings::new(u32::MAX));
        let mut actions = Vec::new();
        let mut keys = Vec::new();
        for index in 0..replicas {
            let spec = Spec {
                endpoint,
                zone: router.zone_key(&Name::from(format!("zone-{}", index % ZONES))),
                version: router.version_key(&Name::from(format!("v{}", index % VERSIONS))),
                capacity: CAPACITY,
                identity: u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            };
            keys.extend(router.add_replica(Millis(0), spec, &mut actions));
        }
        Self {
            router,
            endpoint,
            workspace,
            replicas: keys,
            actions,
            calls: 0,
            now: Millis(1),
        }
    }

    fn arrive(&mut self) -> Option<DispatchId> {
        self.calls += 1;
        self.actions.clear();
        // Ten events per millisecond, so that latencies stay within the target.
        self.now = Millis(1 + self.calls / 10);
        let deadline = self.now + Millis(60_000);
        let arrival = Arrival::new(CallKey(self.calls), self.endpoint, self.workspace, deadline)
            .with_prefix(Prefix(self.calls % 1_000));
        self.router
            .step(self.now, Event::Arrive(arrival), &mut self.actions);
        self.dispatched().next()
    }

    /// Returns the dispatches among the last actions.
    fn dispatched(&self) -> impl Iterator<Item = DispatchId> + '_ {
        self.actions.iter().filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch.id),
            _ => None,
        })
    }

    fn finish(&mut self, dispatch: DispatchId) {
        self.actions.clear();
        let finish = Finish::Complete;
        self.router
            .step(self.now, Event::Finished { dispatch, finish }, &mut self.actions);
    }

    fn request(&mut self) {
        if let Some(dispatch) = self.arrive() {
            self.finish(dispatch);
        }
    }

    /// Adds requests that stay in flight.
    fn add_in_flight(&mut self, requests: u32) {
        for _ in 0..requests {
            self.arrive();
        }
    }

    fn report(&mut self) {
        let index = self.calls as usize % self.replicas.len();
        self.calls += 1;
        let event = Event::Report {
            replica: self.replicas[index],
            report: Report {
                running: 4,
                queued: 0,
                age: Millis(0),
            },
        };
        self.router.step(self.now, event, &mut self.actions);
    }
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for replicas in REPLICAS {
        for affinity in [false, true] {
            let mut fixture = Fixture::new(replicas, affinity);
            let name = if affinity { "affinity" } else { "plain" };
            group.bench_function(BenchmarkId::new(name, replicas), |bencher| {
                bencher.iter(|| fixture.request());
            });
        }
        let mut fixture = Fixture::new(replicas, false);
        fixture.add_in_flight(IN_FLIGHT.min(replicas * CAPACITY / 2));
        group.bench_function(BenchmarkId::new("held-800", replicas), |bencher| {
            bencher.iter(|| fixture.request());
        });
    }
    group.finish();
}

/// Measures a request by number of requests in flight on one node.
fn in_flight(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("in-flight");
    for requests in [1_000, 10_000, 100_000] {
        let mut fixture = Fixture::new(12_000, false);
        fixture.add_in_flight(requests);
        group.bench_function(BenchmarkId::from_parameter(requests), |bencher| {
            bencher.iter(|| fixture.request());
        });
    }
    group.finish();
}

/// Measures an end and an arrival while all slots are used and the queue is full, with prefixes on different replicas.
fn saturated(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("saturated");
    for replicas in [10, 100, 1_000] {
        let mut fixture = Fixture::new(replicas, true);
        let mut running = VecDeque::new();
        while let Some(dispatch) = fixture.arrive() {
            running.push_back(dispatch);
        }
        fixture.add_in_flight(IN_FLIGHT);
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| {
                let dispatch = running.pop_front().expect("a dispatch is running");
                fixture.finish(dispatch);
                running.extend(fixture.dispatched());
                fixture.arrive();
                running.extend(fixture.dispatched());
            });
        });
    }
    group.finish();
}

fn reports(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("report");
    for replicas in REPLICAS {
        let mut fixture = Fixture::new(replicas, false);
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| fixture.report());
        });
    }
    group.finish();
}

criterion_group!(benches, requests, in_flight, saturated, reports);
criterion_main!(benches);
