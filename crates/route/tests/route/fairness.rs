//! A burst of one workspace does not starve another, and prefix affinity does not overload a replica.

use base::{Millis, Name, Seed};
use indexmap::IndexMap;
use route::event::{Event, Finish};
use route::replica::Spec;
use route::{
    Action, Arrival, CallKey, EndpointKey, Prefix, ReplicaKey, Router, WorkspaceKey, endpoint, workspace,
};

/// Time that each request occupies its slot.
const SERVICE_TIME: Millis = Millis(50);
const CAPACITY: u32 = 4;

/// A simulation in virtual time in which every dispatch ends after `SERVICE_TIME`.
struct Simulation {
    router: Router,
    endpoint: EndpointKey,
    replicas: Vec<ReplicaKey>,
    now: Millis,
    /// Running dispatches, ordered by their end.
    running: Vec<Running>,
    /// Queueing delays of the dispatched requests.
    queueing_delays: IndexMap<CallKey, Millis>,
    arrived_at: IndexMap<CallKey, Millis>,
    calls: u64,
}

struct Running {
    dispatch: route::DispatchId,
    ends_at: Millis,
}

impl Simulation {
    fn new(seed: u64, count: u64, capacity: u32, settings: endpoint::Settings) -> Self {
        let mut router = Router::new(Seed(seed));
        let endpoint = router.add_endpoint(settings);
        let mut replicas = Vec::new();
        for identity in 0..count {
            let spec = Spec {
                endpoint,
                zone: router.zone_key(&Name::from("a")),
                version: router.version_key(&Name::from("v1")),
                capacity,
                identity,
            };
            replicas.extend(router.add_replica(Millis(0), spec, &mut Vec::new()));
        }
        Self {
            router,
            endpoint,
            replicas,
            now: Millis(0),
            running: Vec::new(),
            queueing_delays: IndexMap::new(),
            arrived_at: IndexMap::new(),
            calls: 0,
        }
    }

    fn arrive(&mut self, workspace: WorkspaceKey, prefix: Option<Prefix>) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let mut arrival = Arrival::new(call, self.endpoint, workspace, self.now + Millis(2_000));
        arrival.prefix = prefix;
        self.arrived_at.insert(call, self.now);
        self.step(Event::Arrive(arrival));
        call
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.step(self.now, event, &mut actions);
        for action in actions {
            let Action::Dispatch(dispatch) = action else {
                continue;
            };
            self.queueing_delays
                .insert(dispatch.call, self.now - self.arrived_at[&dispatch.call]);
            self.running.push(Running {
                dispatch: dispatch.id,
                ends_at: self.now + SERVICE_TIME,
            });
        }
    }

    /// Returns the two highest numbers of requests in flight at any replica.
    fn two_highest_in_flight(&self) -> [u32; 2] {
        let in_flight = self.replicas.iter().filter_map(|key| self.router.replica(*key));
        let mut in_flight: Vec<u32> = in_flight.map(|view| view.in_flight).collect();
        in_flight.sort_unstable();
        in_flight.reverse();
        [in_flight[0], in_flight[1]]
    }

    fn advance(&mut self, span: Millis) {
        let until = self.now + span;
        while self
            .running
            .first()
            .is_some_and(|running| running.ends_at <= until)
        {
            let running = self.running.remove(0);
            self.now = running.ends_at;
            self.step(Event::Finished {
                dispatch: running.dispatch,
                finish: Finish::Complete,
            });
        }
        self.now = until;
        self.step(Event::Tick);
    }
}

/// However much the large workspace sends, a request of the small one waits for at most two service times.
#[test]
fn burst_delays_another_workspace_by_at_most_two_service_times() {
    fn holds(seed: u64, bursts: Vec<u8>) -> bool {
        let settings = endpoint::Settings::new(Millis(100)).with_max_queue(64);
        let mut simulation = Simulation::new(seed, 2, CAPACITY, settings);
        let large = simulation.router.add_workspace(workspace::Settings::new(1_000));
        let small = simulation.router.add_workspace(workspace::Settings::new(1_000));
        for burst in bursts {
            for _ in 0..burst {
                simulation.arrive(large, None);
            }
            let call = simulation.arrive(small, None);
            simulation.advance(SERVICE_TIME + SERVICE_TIME);
            let Some(delay) = simulation.queueing_delays.get(&call) else {
                return false;
            };
            if *delay > SERVICE_TIME + SERVICE_TIME {
                return false;
            }
        }
        true
    }
    check::property(300, 40, holds as fn(u64, Vec<u8>) -> bool);
}

/// Requests with the same prefix use other replicas once theirs is half used and exceeds all others by a quarter.
#[test]
fn hot_prefix_does_not_overload_its_replica() {
    fn holds(seed: u64, requests: u8) -> bool {
        const REPLICAS: u32 = 10;
        const SLOTS: u32 = 32;
        let requests = u32::from(requests) % (REPLICAS * SLOTS / 2 + 1);
        let settings = endpoint::Settings::new(Millis(100)).with_affinity(true);
        let mut simulation = Simulation::new(seed, u64::from(REPLICAS), SLOTS, settings);
        let workspace = simulation.router.add_workspace(workspace::Settings::new(1_000));
        for _ in 0..requests {
            simulation.arrive(workspace, Some(Prefix(1)));
        }
        let [highest, second] = simulation.two_highest_in_flight();
        let bound = (second + second.div_ceil(4)).max(SLOTS / 2) + 1;
        // No request is queued, as at most half of all slots are needed.
        simulation.router.in_flight(simulation.endpoint) == requests && highest <= bound
    }
    check::property(500, 100, holds as fn(u64, u8) -> bool);
}
