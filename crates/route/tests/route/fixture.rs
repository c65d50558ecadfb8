//! A router with one endpoint and one workspace, for tests with tables of cases.

use base::{Millis, Name, Seed};
use route::action::{Action, Dispatch};
use route::event::{Event, Finish};
use route::failure::{Failure, Kind};
use route::refusal::Refusal;
use route::replica::Spec;
use route::{Arrival, CallKey, EndpointKey, ReplicaKey, Router, WorkspaceKey, endpoint, workspace};

pub const DEADLINE: Millis = Millis(1_000);

/// A router with one endpoint, one workspace and replicas.
pub struct Fixture {
    pub router: Router,
    pub endpoint: EndpointKey,
    pub workspace: WorkspaceKey,
    pub replicas: Vec<ReplicaKey>,
    calls: u64,
}

impl Fixture {
    pub fn new(settings: endpoint::Settings, share: u32, replicas: u32) -> Self {
        let mut router = Router::new(Seed(7)).with_zone(&Name::from("a"));
        let endpoint = router.add_endpoint(settings);
        let workspace = router.add_workspace(workspace::Settings::new(share));
        let mut fixture = Self {
            router,
            endpoint,
            workspace,
            replicas: Vec::new(),
            calls: 0,
        };
        for _ in 0..replicas {
            fixture.add("a", 1);
        }
        fixture
    }

    pub fn add(&mut self, zone: &str, capacity: u32) {
        let spec = Spec {
            endpoint: self.endpoint,
            zone: self.router.zone_key(&Name::from(zone)),
            version: self.router.version_key(&Name::from("v1")),
            capacity,
            identity: self.replicas.len() as u64,
        };
        self.replicas
            .extend(self.router.add_replica(Millis(0), spec, &mut Vec::new()));
    }

    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.step(now, event, &mut actions);
        actions
    }

    pub fn arrive(&mut self, now: Millis, idempotent: bool) -> Vec<Action> {
        self.arrive_until(now, idempotent, DEADLINE)
    }

    pub fn arrive_until(&mut self, now: Millis, idempotent: bool, deadline: Millis) -> Vec<Action> {
        self.calls += 1;
        let arrival = Arrival::new(CallKey(self.calls), self.endpoint, self.workspace, deadline)
            .with_idempotent(idempotent);
        self.step(now, Event::Arrive(arrival))
    }

    pub fn end(&mut self, now: Millis, dispatch: Dispatch, finish: Finish) -> Vec<Action> {
        self.step(
            now,
            Event::Finished {
                dispatch: dispatch.id,
                finish,
            },
        )
    }
}

pub fn settings() -> endpoint::Settings {
    endpoint::Settings::new(Millis(100)).with_max_queue(2)
}

pub fn dispatch(actions: &[Action]) -> Dispatch {
    let [Action::Dispatch(dispatch)] = actions else {
        panic!("expected exactly one dispatch, got {actions:?}");
    };
    *dispatch
}

pub fn refusal(actions: &[Action]) -> Refusal {
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    });
    refusal.unwrap_or_else(|| panic!("expected a refusal, got {actions:?}"))
}

pub fn failed(kind: Kind, may_have_run: bool) -> Finish {
    Finish::Failed(Failure::new(kind, may_have_run))
}
