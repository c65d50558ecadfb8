//! A router with one endpoint that runs random operations and is checked by the oracle.

use base::{Millis, Name, Seed};
use route::event::{Event, Finish};
use route::failure::{Failure, Kind};
use route::replica::{Report, Spec};
use route::{
    Action, Arrival, CallKey, DispatchId, EndpointKey, Prefix, ReplicaKey, Router, VersionKey, WorkspaceKey,
    ZoneKey, endpoint, workspace,
};

use crate::op::{End, Op};
use crate::oracle::{Oracle, ReplicaState, Request};

pub struct Simulation {
    pub now: Millis,
    pub router: Router,
    pub oracle: Oracle,
    pub endpoint: EndpointKey,
    pub workspaces: Vec<WorkspaceKey>,
    pub zones: Vec<ZoneKey>,
    pub versions: Vec<VersionKey>,
    calls: u64,
}

const CAPACITY: u32 = 3;

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut router = Router::new(Seed(seed)).with_zone(&Name::from("a"));
        let settings = endpoint::Settings::new(Millis(100))
            .with_max_queue(12)
            .with_affinity(true);
        let endpoint = router.add_endpoint(settings);
        let workspaces = vec![
            router.add_workspace(workspace::Settings::new(8)),
            router.add_workspace(workspace::Settings::new(4).with_weight(3)),
            router.add_workspace(workspace::Settings::new(2)),
        ];
        let zones = ["a", "b", "c"]
            .map(|name| router.zone_key(&Name::from(name)))
            .to_vec();
        let versions = ["v1", "v2"]
            .map(|name| router.version_key(&Name::from(name)))
            .to_vec();
        let mut oracle = Oracle::default();
        oracle.max_attempts = settings.max_attempts;
        for (key, share) in workspaces.iter().zip([8, 4, 2]) {
            oracle.shares.insert(*key, share);
        }
        let mut simulation = Self {
            now: Millis(1),
            router,
            oracle,
            endpoint,
            workspaces,
            zones,
            versions,
            calls: 0,
        };
        for pick in 0..4 {
            simulation.add(pick);
        }
        simulation
    }

    pub fn run(&mut self, op: Op) {
        match op {
            Op::Arrive {
                workspace,
                wait,
                flags,
            } => self.arrive(workspace, wait, flags),
            Op::Sent(pick) => self.sent(pick),
            Op::FirstToken(pick) => self.first_token(pick),
            Op::Finish { pick, end } => self.finish(pick, end),
            Op::Cancel(pick) => self.cancel(pick),
            Op::Leave(pick) => self.leave(pick, false),
            Op::Gone(pick) => self.leave(pick, true),
            Op::Add(pick) => self.add(pick),
            Op::Report { pick, running } => self.report(pick, running),
            Op::SetShare { workspace, share } => self.set_share(workspace, share),
            Op::Advance(span) => self.advance(Millis(u64::from(span))),
            Op::PrefixCached { pick, prefix } => {
                if let Some(replica) = self.replica(pick) {
                    self.step(Event::PrefixCached {
                        replica,
                        prefix: Prefix(u64::from(prefix % 4)),
                    });
                }
            }
            Op::RemoveEndpoint => self.remove_endpoint(),
            Op::RemoveWorkspace(pick) => self.remove_workspace(pick),
        }
    }

    /// Ends all dispatches and lets timers expire, then checks that no request is left.
    pub fn drain(&mut self) {
        while !self.oracle.attempts.is_empty() {
            self.finish(0, End::Complete);
        }
        self.advance(Millis(60_000));
        while !self.oracle.attempts.is_empty() {
            self.finish(0, End::Complete);
            self.advance(Millis(60_000));
        }
        for request in self.oracle.requests.values() {
            assert!(request.ended, "request never ended: {request:?}");
        }
        assert_eq!(self.router.queued(self.endpoint), 0);
        assert_eq!(self.router.in_flight(self.endpoint), 0);
    }

    pub fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.step(self.now, event, &mut actions);
        self.check_actions(&actions);
    }

    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            self.oracle.check(self.now, &self.router, *action);
        }
        self.oracle.check_invariants(self.now, &self.router);
    }

    fn arrive(&mut self, workspace: u8, wait: u16, flags: u8) {
        self.calls += 1;
        let call = CallKey(self.calls);
        let workspace = self.workspaces[usize::from(workspace) % self.workspaces.len()];
        let deadline = self.now + Millis(u64::from(wait));
        let mut arrival =
            Arrival::new(call, self.endpoint, workspace, deadline).with_idempotent(flags & 1 == 1);
        if flags & 2 == 2 {
            arrival = arrival.with_prefix(Prefix(u64::from(flags >> 4) % 4));
        }
        if flags & 4 == 4 {
            let fallback = (flags & 8 == 8).then_some(self.versions[0]);
            arrival = arrival.with_version(self.versions[1], fallback);
        }
        let request = Request {
            arrival,
            ended: false,
            running: None,
            attempts: 0,
            lost_attempts: 0,
            may_have_run: false,
            delivered: 0,
            deadline,
        };
        self.oracle.requests.insert(call, request);
        self.step(Event::Arrive(arrival));
    }

    fn attempt(&self, pick: u8) -> Option<DispatchId> {
        let len = self.oracle.attempts.len();
        let index = usize::from(pick).checked_rem(len)?;
        self.oracle.attempts.get_index(index).map(|(id, _)| *id)
    }

    fn sent(&mut self, pick: u8) {
        let Some(dispatch) = self.attempt(pick) else {
            return;
        };
        self.oracle.attempts[&dispatch].sent = true;
        self.step(Event::Sent { dispatch });
    }

    fn first_token(&mut self, pick: u8) {
        let Some(dispatch) = self.attempt(pick) else {
            return;
        };
        let attempt = &mut self.oracle.attempts[&dispatch];
        attempt.sent = true;
        attempt.first_token = true;
        self.step(Event::FirstToken { dispatch });
    }

    fn finish(&mut self, pick: u8, end: End) {
        let Some(dispatch) = self.attempt(pick) else {
            return;
        };
        let attempt = self.oracle.attempts[&dispatch];
        let finish = finish(end, attempt.sent, attempt.first_token);
        if end == End::Refused && finish != Finish::Complete {
            self.oracle.replicas[&attempt.replica].live = false;
        }
        self.oracle.attempts.shift_remove(&dispatch);
        self.oracle.replicas[&attempt.replica].in_flight -= 1;
        *self
            .oracle
            .workspace_in_flight
            .entry(attempt.workspace)
            .or_default() -= 1;
        let lost = !self.oracle.replicas[&attempt.replica].live;
        let request = &mut self.oracle.requests[&attempt.call];
        if !request.ended {
            record_failed_attempt(request, attempt.sent, finish, lost, self.now);
            if finish != Finish::Complete {
                self.oracle.last_attempt_lost.insert(attempt.call, lost);
                request.running = None;
            }
        }
        self.step(Event::Finished { dispatch, finish });
    }

    fn cancel(&mut self, pick: u8) {
        let open: Vec<CallKey> = self
            .oracle
            .requests
            .iter()
            .filter(|(_, request)| !request.ended)
            .map(|(key, _)| *key)
            .collect();
        let Some(index) = usize::from(pick).checked_rem(open.len()) else {
            return;
        };
        let call = open[index];
        self.oracle.requests[&call].ended = true;
        self.step(Event::Cancelled { call });
    }

    fn replica(&self, pick: u8) -> Option<ReplicaKey> {
        let live: Vec<ReplicaKey> = self
            .oracle
            .replicas
            .iter()
            .filter(|(_, state)| state.live)
            .map(|(key, _)| *key)
            .collect();
        let index = usize::from(pick).checked_rem(live.len())?;
        Some(live[index])
    }

    fn leave(&mut self, pick: u8, is_gone: bool) {
        let Some(replica) = self.replica(pick) else { return };
        self.oracle.replicas[&replica].live = false;
        if is_gone {
            self.step(Event::ReplicaGone { replica });
        } else {
            self.step(Event::ReplicaLeaving { replica });
        }
    }

    pub fn add(&mut self, pick: u8) {
        let live = self.oracle.replicas.values().filter(|state| state.live).count();
        if live >= 8 {
            return;
        }
        let version = self.versions[usize::from(pick) % 2];
        let spec = Spec {
            endpoint: self.endpoint,
            zone: self.zones[usize::from(pick) % 3],
            version,
            capacity: CAPACITY,
            identity: u64::from(pick),
        };
        let mut actions = Vec::new();
        let Some(key) = self.router.add_replica(self.now, spec, &mut actions) else {
            return;
        };
        let state = ReplicaState {
            version,
            capacity: CAPACITY,
            live: true,
            in_flight: 0,
            reported: false,
        };
        self.oracle.replicas.insert(key, state);
        self.check_actions(&actions);
    }

    fn report(&mut self, pick: u8, running: u8) {
        let Some(replica) = self.replica(pick) else { return };
        self.oracle.replicas[&replica].reported = true;
        let report = Report {
            running: u32::from(running),
            queued: 0,
            age: Millis(100),
        };
        self.step(Event::Report { replica, report });
    }

    fn set_share(&mut self, pick: u8, share: u8) {
        let workspace = self.workspaces[usize::from(pick) % self.workspaces.len()];
        let Some(old) = self.oracle.shares.get_mut(&workspace) else {
            return;
        };
        *old = u32::from(share);
        let settings = workspace::Settings::new(u32::from(share));
        self.step(Event::WorkspaceChanged { workspace, settings });
    }

    /// Advances the time, with a tick whenever the router asks for one.
    pub fn advance(&mut self, span: Millis) {
        let until = self.now + span;
        while let Some(at) = self.router.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step(Event::Tick);
        }
        self.now = until;
    }

    fn remove_endpoint(&mut self) {
        self.oracle.endpoint_removed = true;
        for state in self.oracle.replicas.values_mut() {
            state.live = false;
        }
        let endpoint = self.endpoint;
        self.step(Event::EndpointRemoved { endpoint });
    }

    fn remove_workspace(&mut self, pick: u8) {
        let workspace = self.workspaces[usize::from(pick) % self.workspaces.len()];
        self.oracle.shares.swap_remove(&workspace);
        self.step(Event::WorkspaceRemoved { workspace });
    }
}

/// Replaces an end that is impossible in the current state of a dispatch.
fn finish(end: End, sent: bool, first_token: bool) -> Finish {
    let failed = |kind, may_have_run| Finish::Failed(Failure::new(kind, may_have_run));
    match end {
        End::Refused if !sent => failed(Kind::Refused, false),
        End::ResetBefore => failed(Kind::Reset, false),
        End::Rejected if !first_token => failed(Kind::Rejected, false),
        End::Interrupted if first_token => Finish::Interrupted { tokens: 5 },
        End::Reset => failed(Kind::Reset, true),
        End::ServerError | End::Interrupted => failed(Kind::ServerError, true),
        End::Complete | End::Refused | End::Rejected => Finish::Complete,
    }
}

fn record_failed_attempt(request: &mut Request, sent: bool, finish: Finish, lost: bool, now: Millis) {
    if finish == Finish::Complete {
        return;
    }
    request.lost_attempts += u8::from(lost);
    match finish {
        Finish::Complete => {}
        Finish::Failed(failure) => {
            request.may_have_run |= failure.may_have_run || (sent && failure.kind != Kind::Rejected);
        }
        Finish::Interrupted { tokens } => {
            request.may_have_run = true;
            request.delivered += tokens;
            request.deadline = request.deadline.max(now + Millis(10_000));
        }
    }
}
