//! Model of three nodes with ledgers, their callers, the key-value service and the endpoint. Panics if an invariant is
//! violated.

use std::collections::BTreeSet;
use std::sync::Mutex;

use base::{Incarnation, Millis, Name, Outcome, Seed};
use bytes::Bytes;
use claim::ledger::{Action, Actions, Event, Finish, Key, Limits};
use claim::{Answer, Binding, Call, Fingerprint, Ledger, Reason, Record};
use slotmap::SlotMap;

use super::kv::{self, Kv};
use super::op::Op;

const KEYS: u8 = 5;
const NODES: u8 = 3;
/// Maximum attempts of a node to claim a key after the faults end; they span more than two retention times.
const RECOVERY_TRIES: usize = 12;
const LIMITS: Limits = Limits {
    shards: 1,
    retention: Millis(300),
    delete_after: Millis(60),
    base_valid: Millis(20),
    claim_timeout: Millis(30),
    dispatch_timeout: Millis(50),
    write_interval: Millis(1),
    linger: Millis(2),
    backoff: Millis(2),
    backoff_max: Millis(8),
    idle_timeout: Millis(60),
    claims: 4,
    waiting_calls: 8,
    waiters: 3,
    bytes: 40,
    record_bytes: 24,
    batch_bytes: 600,
    log_length: 2,
    read_ahead: 3,
};
/// Minimum time between two dispatches of a key: the retention time, less the maximum time from the write of a claim to
/// its dispatch.
const MIN_RERUN_INTERVAL: Millis = Millis(300 - 30 - 50);
/// Offset between the clocks of two consecutively started nodes, in milliseconds.
const CLOCK_OFFSET: u64 = 10_000;

/// Labels of the actions and reasons covered by any schedule.
static COVERED: Mutex<BTreeSet<&str>> = Mutex::new(BTreeSet::new());

/// Whether any schedule covered `label`.
pub fn covered(label: &str) -> bool {
    COVERED.lock().unwrap().contains(label)
}

fn cover(label: &'static str) {
    COVERED.lock().unwrap().insert(label);
}

pub struct World {
    now: Millis,
    started: u64,
    nodes: Vec<Node>,
    kv: Kv,
    outage: bool,
    /// Requests in flight to the service.
    requests: Vec<Request>,
    /// Requests that their sender considers failed, but that may still take effect.
    delayed: Vec<Action>,
    keys: Vec<Chosen>,
    calls: SlotMap<Call, Caller>,
    arrivals: Vec<Call>,
    running: Vec<Run>,
}

struct Node {
    ledger: Ledger,
    paused: bool,
    draining: bool,
}

struct Request {
    incarnation: Incarnation,
    action: Action,
    /// Answer of a request that was served while its sender was paused.
    answer: Option<Event>,
}

impl Request {
    const fn new(incarnation: Incarnation, action: Action) -> Self {
        let answer = None;
        Self {
            incarnation,
            action,
            answer,
        }
    }
}

/// Oracle: when dispatches of this key were granted, and what the endpoint responded.
#[derive(Default)]
struct Chosen {
    dispatched_at: Vec<Millis>,
    records: Vec<Record>,
}

struct Caller {
    key: u8,
    other_body: bool,
    incarnation: Incarnation,
    asked_at: Millis,
    forwarded: bool,
    waiting: Waiting,
    dispatched: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Waiting {
    Claim,
    Result,
    Nothing,
}

#[derive(Clone, Copy)]
struct Run {
    call: Call,
    key: u8,
    incarnation: Incarnation,
    dispatched: bool,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Millis::ZERO,
            started: 0,
            nodes: Vec::new(),
            kv: Kv::default(),
            outage: false,
            requests: Vec::new(),
            delayed: Vec::new(),
            keys: (0..KEYS + NODES).map(|_| Chosen::default()).collect(),
            calls: SlotMap::with_key(),
            arrivals: Vec::new(),
            running: Vec::new(),
        };
        for _ in 0..NODES {
            let node = world.start();
            world.nodes.push(node);
        }
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Arrive {
                node,
                key,
                other_body,
            } => self.arrive(node.into(), key % KEYS, other_body),
            Op::Serve { request, result } => {
                if let Some(index) = pick(request, self.requests.len()) {
                    self.serve(index, result);
                }
            }
            Op::ArriveAndDispatch { node, key } => self.arrive_and_dispatch(node.into(), key % KEYS),
            Op::ServeAll { node, rounds } => {
                self.serve_all(self.nodes[usize::from(node)].ledger.node(), rounds);
            }
            Op::ApplyDelayed { request } => {
                if let Some(index) = pick(request, self.delayed.len()) {
                    let request = self.delayed.swap_remove(index);
                    self.kv.apply(&request);
                }
            }
            Op::Dispatch { run } => {
                if let Some(index) = pick(run, self.running.len()) {
                    self.dispatch(index);
                }
            }
            Op::Finish { run, result } => {
                if let Some(index) = pick(run, self.running.len()) {
                    self.end(index, result);
                }
            }
            Op::Disconnect { call } => self.disconnect(call),
            Op::Drain { node } => self.drain(node.into()),
            Op::Restart { node } => self.restart(node.into()),
            Op::TogglePause { node } => self.nodes[usize::from(node)].paused ^= true,
            Op::ToggleOutage => self.outage ^= true,
            Op::Advance { millis } => self.advance(Millis(millis.into())),
        }
    }

    /// Ends all faults, then checks that no call is left waiting and that each node can claim a new key.
    pub fn finish(&mut self) {
        self.outage = false;
        for node in 0..self.nodes.len() {
            self.nodes[node].paused = false;
        }
        while !self.running.is_empty() {
            self.end(0, 2);
        }
        self.advance(LIMITS.claim_timeout);
        for _ in 0..20 {
            let alive: Vec<_> = self.nodes.iter().map(|node| node.ledger.node()).collect();
            for incarnation in alive {
                self.serve_all(incarnation, 40);
            }
            self.advance(LIMITS.backoff_max);
        }
        for caller in self.calls.values() {
            let restarted = self.position(caller.incarnation).is_none();
            assert!(
                restarted || caller.waiting == Waiting::Nothing,
                "a call was never answered"
            );
        }
        self.recover();
    }

    /// Checks that, with the service available, each node can claim again once its claims have expired.
    fn recover(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].draining {
                continue;
            }
            let run_count = self.running.len();
            let fresh = KEYS + node as u8;
            let tries = (0..RECOVERY_TRIES).take_while(|_| {
                self.advance(LIMITS.idle_timeout - Millis(1));
                self.arrive_and_dispatch(node, fresh);
                self.running.len() == run_count
            });
            assert!(
                tries.count() < RECOVERY_TRIES,
                "a node could not claim after the faults ended"
            );
            self.end(run_count, 2);
        }
    }

    fn drain(&mut self, node: usize) {
        self.step(node, Event::Drain);
        self.nodes[node].draining |= !self.nodes[node].paused;
    }

    fn start(&mut self) -> Node {
        self.started += 1;
        let ledger = Ledger::new(Incarnation(self.started), Seed(self.started)).with_limits(LIMITS);
        Node {
            ledger,
            paused: false,
            draining: false,
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].ledger.node();
        self.running.retain(|run| run.incarnation != incarnation);
        let (own, others): (Vec<_>, Vec<_>) = self
            .requests
            .drain(..)
            .partition(|request| request.incarnation == incarnation);
        self.requests = others;
        self.delayed.extend(own.into_iter().map(|request| request.action));
        self.nodes[node] = self.start();
    }

    fn position(&self, incarnation: Incarnation) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.ledger.node() == incarnation)
    }

    fn arrive(&mut self, node: usize, key: u8, other_body: bool) {
        if self.nodes[node].paused {
            return;
        }
        let call = self.calls.insert(Caller {
            key,
            other_body,
            incarnation: self.nodes[node].ledger.node(),
            asked_at: self.now,
            forwarded: false,
            waiting: Waiting::Claim,
            dispatched: false,
        });
        self.arrivals.push(call);
        self.send(node, call);
    }

    fn arrive_and_dispatch(&mut self, node: usize, key: u8) {
        let run_count = self.running.len();
        self.advance(LIMITS.write_interval);
        self.arrive(node, key, false);
        self.serve_all(self.nodes[node].ledger.node(), 12);
        if self.running.len() > run_count {
            self.dispatch(run_count);
        }
    }

    fn send(&mut self, node: usize, call: Call) {
        let caller = &self.calls[call];
        let fingerprint = Fingerprint::new(b"POST", b"/", &[u8::from(caller.other_body)]);
        let key = key(caller.key);
        self.step(
            node,
            Event::Arrive {
                call,
                key,
                fingerprint,
            },
        );
    }

    fn step(&mut self, node: usize, event: Event) {
        if self.nodes[node].paused {
            return;
        }
        let now = self.now + Millis(CLOCK_OFFSET * self.nodes[node].ledger.node().0);
        let actions = self.nodes[node].ledger.step(now, event);
        self.check_limits(node);
        self.handle(node, actions);
    }

    fn check_limits(&self, node: usize) {
        let usage = self.nodes[node].ledger.usage();
        assert!(usage.bytes <= LIMITS.bytes, "too many bytes");
        assert!(
            usage.open <= LIMITS.waiting_calls + self.running.len(),
            "too many calls wait"
        );
    }

    fn handle(&mut self, node: usize, actions: Actions) {
        let incarnation = self.nodes[node].ledger.node();
        for action in actions {
            match action {
                Action::Write { ref bytes, .. } => {
                    assert!(bytes.len() <= LIMITS.batch_bytes, "a batch is too large");
                    self.requests.push(Request::new(incarnation, action));
                }
                Action::Read { .. } | Action::ReadBase { .. } => {
                    self.requests.push(Request::new(incarnation, action));
                }
                Action::SwapBase { .. } => {
                    cover("swap-base");
                    self.requests.push(Request::new(incarnation, action));
                }
                Action::Delete { .. } => {
                    cover("delete");
                    self.requests.push(Request::new(incarnation, action));
                }
                Action::Run { call, .. } => {
                    cover("run");
                    self.set_waiting(call, Waiting::Result);
                    let key = self.calls[call].key;
                    self.running.push(Run {
                        call,
                        key,
                        incarnation,
                        dispatched: false,
                    });
                }
                Action::Join { call } => {
                    cover("join");
                    self.set_waiting(call, Waiting::Result);
                }
                Action::ClaimedElsewhere { call, owner } => self.claimed_elsewhere(call, owner),
                Action::Answer { call, answer } => self.check_answer(call, &answer),
                Action::DispatchGranted { .. } | Action::DispatchDenied { .. } => {
                    self.check_dispatch(&action);
                }
            }
        }
    }

    fn set_waiting(&mut self, call: Call, waiting: Waiting) {
        let caller = &mut self.calls[call];
        assert!(
            caller.waiting != Waiting::Nothing,
            "a call received an action after its answer"
        );
        caller.waiting = waiting;
    }

    /// Forwards the call to the owner of the claim if that is reachable, and refuses it otherwise.
    fn claimed_elsewhere(&mut self, call: Call, owner: Incarnation) {
        cover("claimed-elsewhere");
        self.set_waiting(call, Waiting::Claim);
        let reachable_owner = self.position(owner).filter(|node| !self.nodes[*node].paused);
        let Some(node) = reachable_owner.filter(|_| !self.calls[call].forwarded) else {
            return self.check_answer(call, &Answer::Refused(Reason::HeldElsewhere));
        };
        self.calls[call].forwarded = true;
        self.calls[call].incarnation = owner;
        self.calls[call].asked_at = self.now;
        self.send(node, call);
    }

    fn serve(&mut self, index: usize, result_choice: u8) {
        let Request {
            incarnation,
            action,
            answer,
        } = self.requests.swap_remove(index);
        let Some(event) = answer.or_else(|| self.outcome(&action, result_choice)) else {
            return;
        };
        let Some(node) = self.position(incarnation) else {
            return;
        };
        if self.nodes[node].paused {
            let answer = Some(event);
            self.requests.push(Request {
                incarnation,
                action,
                answer,
            });
            return;
        }
        let failed = kv::is_unavailable(&event);
        self.step(node, event);
        let left_waiting =
            |caller: &Caller| caller.incarnation == incarnation && caller.waiting == Waiting::Claim;
        assert!(
            !failed || !self.calls.values().any(left_waiting),
            "a call was left waiting during an outage"
        );
    }

    /// Applies, delays or drops a request, and returns the answer to its sender.
    fn outcome(&mut self, action: &Action, result_choice: u8) -> Option<Event> {
        match result_choice % 8 {
            _ if self.outage => kv::failure(action, result_choice.is_multiple_of(2)),
            0 => {
                self.delayed.push(action.clone());
                kv::failure(action, true)
            }
            1 => {
                self.kv.apply(action);
                kv::failure(action, true)
            }
            2 if result_choice.is_multiple_of(16) => {
                self.delayed.push(action.clone());
                kv::failure(action, false)
            }
            3 if result_choice.is_multiple_of(3) => kv::failure(action, false),
            _ => self.kv.apply(action),
        }
    }

    fn serve_all(&mut self, incarnation: Incarnation, rounds: u8) {
        for _ in 0..rounds {
            let Some(index) = self
                .requests
                .iter()
                .position(|request| request.incarnation == incarnation)
            else {
                return;
            };
            self.serve(index, 7);
        }
    }

    fn dispatch(&mut self, index: usize) {
        let run = self.running[index];
        let (Some(node), key) = (self.position(run.incarnation), key(run.key)) else {
            return;
        };
        self.step(node, Event::Dispatch { call: run.call, key });
    }

    fn check_dispatch(&mut self, action: &Action) {
        match *action {
            Action::DispatchGranted { call } => {
                cover("dispatch-granted");
                let caller = &mut self.calls[call];
                assert!(!caller.dispatched, "a call was dispatched twice");
                caller.dispatched = true;
                let chosen = &mut self.keys[usize::from(caller.key)];
                if let Some(last) = chosen.dispatched_at.last() {
                    cover("rerun-after-retention");
                    assert!(
                        self.now.since(*last) >= MIN_RERUN_INTERVAL,
                        "a key was dispatched again too soon"
                    );
                }
                chosen.dispatched_at.push(self.now);
                for run in self.running.iter_mut().filter(|run| run.call == call) {
                    run.dispatched = true;
                }
            }
            Action::DispatchDenied { call } => {
                cover("dispatch-denied");
                self.running.retain(|run| run.call != call || run.dispatched);
            }
            _ => {}
        }
    }

    fn end(&mut self, index: usize, result_choice: u8) {
        let run = self.running[index];
        let Some(node) = self
            .position(run.incarnation)
            .filter(|node| !self.nodes[*node].paused)
        else {
            return;
        };
        self.running.swap_remove(index);
        let body = vec![result_choice; usize::from(result_choice % 32)];
        let record = Record {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(body),
        };
        let result = match result_choice % 4 {
            0 | 1 if run.dispatched => {
                self.keys[usize::from(run.key)].records.push(record.clone());
                Finish::Answered(record)
            }
            2 => Finish::Unknown,
            _ => Finish::NotRun,
        };
        let key = key(run.key);
        self.step(
            node,
            Event::Finish {
                call: run.call,
                key,
                result,
            },
        );
    }

    fn disconnect(&mut self, call: u8) {
        let Some(index) = pick(call, self.arrivals.len()) else {
            return;
        };
        let call = self.arrivals[index];
        let caller = &mut self.calls[call];
        let (incarnation, key) = (caller.incarnation, key(caller.key));
        let Some(node) = self
            .position(incarnation)
            .filter(|node| !self.nodes[*node].paused)
        else {
            return;
        };
        self.step(node, Event::Disconnect { call, key });
        self.calls[call].waiting = Waiting::Nothing;
    }

    fn advance(&mut self, span: Millis) {
        self.now = self.now + span;
        for node in 0..self.nodes.len() {
            self.step(node, Event::Tick);
        }
        for caller in self.calls.values() {
            let overdue =
                caller.waiting == Waiting::Claim && self.now.since(caller.asked_at) >= LIMITS.claim_timeout;
            let reachable = self
                .position(caller.incarnation)
                .is_some_and(|node| !self.nodes[node].paused);
            assert!(
                !overdue || !reachable,
                "a call waited longer than the claim timeout"
            );
        }
    }

    fn check_answer(&mut self, call: Call, answer: &Answer) {
        self.set_waiting(call, Waiting::Nothing);
        let caller = &self.calls[call];
        let chosen = &self.keys[usize::from(caller.key)];
        cover(match answer {
            Answer::Recorded(_) => "recorded",
            Answer::Refused(reason) => reason.label(),
        });
        if answer.outcome() == Outcome::NotRun {
            assert!(!caller.dispatched, "a dispatched call was answered with not-run");
        }
        if let Answer::Recorded(record) = answer {
            assert!(
                chosen.records.contains(record),
                "the recorded response is not one of this key"
            );
        }
    }
}

fn key(key: u8) -> Key {
    Key::new(&Binding::new(Name::new("cyfrif"), Name::new("tills")), &[key])
}

fn pick(choice: u8, count: usize) -> Option<usize> {
    usize::from(choice).checked_rem(count)
}
