//! A flood of one workspace doesn't starve another; affinity doesn't pile up.

use base::{Millis, Name, Seed};
use indexmap::IndexMap;
use route::event::{Event, Finish};
use route::replica::Spec;
use route::{
    Action, Arrival, CallKey, EndpointKey, Prefix, ReplicaKey, Router, WorkspaceKey, endpoint, workspace,
};

/// Time that each request holds its slot.
const HOLD: Millis = Millis(50);
const CAPACITY: u32 = 4;

/// A closed loop in virtual time: every dispatch ends after `HOLD`.
struct Line {
    router: Router,
    endpoint: EndpointKey,
    replicas: Vec<ReplicaKey>,
    now: Millis,
    /// Dispatches that run, in the order of their ends.
    running: Vec<Running>,
    /// Waits of the requests that were dispatched.
    waits: IndexMap<CallKey, Millis>,
    arrived: IndexMap<CallKey, Millis>,
    calls: u64,
}

struct Running {
    dispatch: route::DispatchId,
    ends_at: Millis,
}

impl Line {
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
            waits: IndexMap::new(),
            arrived: IndexMap::new(),
            calls: 0,
        }
    }

    fn arrive(&mut self, workspace: WorkspaceKey, prefix: Option<Prefix>) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let mut arrival = Arrival::new(call, self.endpoint, workspace, self.now + Millis(2_000));
        arrival.prefix = prefix;
        self.arrived.insert(call, self.now);
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
            self.waits
                .insert(dispatch.call, self.now - self.arrived[&dispatch.call]);
            self.running.push(Running {
                dispatch: dispatch.id,
                ends_at: self.now + HOLD,
            });
        }
    }

    /// Requests at the replica with the most, and at the one after it.
    fn most_used(&self) -> [u32; 2] {
        let used = self.replicas.iter().filter_map(|key| self.router.replica(*key));
        let mut used: Vec<u32> = used.map(|view| view.in_flight).collect();
        used.sort_unstable();
        used.reverse();
        [used[0], used[1]]
    }

    fn pass(&mut self, span: Millis) {
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

/// However much the large workspace sends, the small one waits for at most two turns of the slots.
#[test]
fn a_flood_moves_a_small_workspace_by_two_turns_at_most() {
    fn holds(seed: u64, bursts: Vec<u8>) -> bool {
        let settings = endpoint::Settings::new(Millis(100)).with_max_queue(64);
        let mut line = Line::new(seed, 2, CAPACITY, settings);
        let large = line.router.add_workspace(workspace::Settings::new(1_000));
        let small = line.router.add_workspace(workspace::Settings::new(1_000));
        for burst in bursts {
            for _ in 0..burst {
                line.arrive(large, None);
            }
            let call = line.arrive(small, None);
            line.pass(HOLD + HOLD);
            let Some(wait) = line.waits.get(&call) else {
                return false;
            };
            if *wait > HOLD + HOLD {
                return false;
            }
        }
        true
    }
    check::property(300, 40, holds as fn(u64, Vec<u8>) -> bool);
}

/// Requests of a single prefix leave its replica once that is used by half and a quarter more than any other.
#[test]
fn a_hot_prefix_leaves_no_replica_above_its_share() {
    fn holds(seed: u64, requests: u8) -> bool {
        const REPLICAS: u32 = 10;
        const SLOTS: u32 = 32;
        let requests = u32::from(requests) % (REPLICAS * SLOTS / 2 + 1);
        let settings = endpoint::Settings::new(Millis(100)).with_affinity(true);
        let mut line = Line::new(seed, u64::from(REPLICAS), SLOTS, settings);
        let workspace = line.router.add_workspace(workspace::Settings::new(1_000));
        for _ in 0..requests {
            line.arrive(workspace, Some(Prefix(1)));
        }
        let [most, second] = line.most_used();
        let bound = (second + second.div_ceil(4)).max(SLOTS / 2) + 1;
        // Nobody waits, as no more than half of all slots are asked for.
        line.router.in_flight(line.endpoint) == requests && most <= bound
    }
    check::property(500, 100, holds as fn(u64, u8) -> bool);
}
