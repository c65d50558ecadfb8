//! Ledgers of three nodes, their callers and the endpoint; panics when a promise is broken.

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
/// Tries of a node to claim a key, over more than two retention times.
const RECOVERIES: usize = 12;
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
/// Shortest time between two runs of a key: what a claim is remembered, less the time from its write to its dispatch.
const APART: Millis = Millis(300 - 30 - 50);
/// Nodes' clocks start this far apart.
const CLOCKS_APART: u64 = 10_000;

/// Labels of what any schedule has met.
static MET: Mutex<BTreeSet<&str>> = Mutex::new(BTreeSet::new());

/// Whether any schedule met `label`.
pub fn met(label: &str) -> bool {
    MET.lock().unwrap().contains(label)
}

fn meet(label: &'static str) {
    MET.lock().unwrap().insert(label);
}

pub struct World {
    now: Millis,
    started: u64,
    nodes: Vec<Node>,
    kv: Kv,
    outage: bool,
    /// Requests on their way.
    requests: Vec<Request>,
    /// Requests given up by their sender that may still take effect.
    ghosts: Vec<Action>,
    keys: Vec<Chosen>,
    calls: SlotMap<Call, Asked>,
    order: Vec<Call>,
    open: Vec<Run>,
}

struct Node {
    ledger: Ledger,
    paused: bool,
    sealed: bool,
}

struct Request {
    by: Incarnation,
    action: Action,
    /// Took effect while the sender was paused; the answer waits with it.
    answer: Option<Event>,
}

impl Request {
    const fn new(by: Incarnation, action: Action) -> Self {
        let answer = None;
        Self { by, action, answer }
    }
}

/// The oracle: when bytes may have left for this key, and what was answered.
#[derive(Default)]
struct Chosen {
    ran: Vec<Millis>,
    records: Vec<Record>,
}

struct Asked {
    key: u8,
    other: bool,
    by: Incarnation,
    at: Millis,
    forwarded: bool,
    waits: Waits,
    dispatched: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Waits {
    Claim,
    Result,
    Nothing,
}

#[derive(Clone, Copy)]
struct Run {
    call: Call,
    key: u8,
    by: Incarnation,
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
            ghosts: Vec::new(),
            keys: (0..KEYS + NODES).map(|_| Chosen::default()).collect(),
            calls: SlotMap::with_key(),
            order: Vec::new(),
            open: Vec::new(),
        };
        for _ in 0..NODES {
            let node = world.start();
            world.nodes.push(node);
        }
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Want { node, key, other } => self.want(node.into(), key % KEYS, other),
            Op::Serve { request, how } => {
                if let Some(place) = pick(request, self.requests.len()) {
                    self.serve(place, how);
                }
            }
            Op::Round { node, key } => self.round(node.into(), key % KEYS),
            Op::Settle { node, rounds } => self.settle(self.nodes[usize::from(node)].ledger.node(), rounds),
            Op::Ghost { request } => {
                if let Some(place) = pick(request, self.ghosts.len()) {
                    let ghost = self.ghosts.swap_remove(place);
                    self.kv.effect(&ghost);
                }
            }
            Op::Dispatch { run } => {
                if let Some(place) = pick(run, self.open.len()) {
                    self.dispatch(place);
                }
            }
            Op::Finish { run, how } => {
                if let Some(place) = pick(run, self.open.len()) {
                    self.end(place, how);
                }
            }
            Op::Leave { call } => self.leave(call),
            Op::Seal { node } => self.seal(node.into()),
            Op::Restart { node } => self.restart(node.into()),
            Op::Pause { node } => self.nodes[usize::from(node)].paused ^= true,
            Op::Outage => self.outage ^= true,
            Op::Pass { millis } => self.pass(Millis(millis.into())),
        }
    }

    /// Heals everything, and looks that nobody waits and that a new key can be claimed.
    pub fn finish(&mut self) {
        self.outage = false;
        for node in 0..self.nodes.len() {
            self.nodes[node].paused = false;
        }
        while !self.open.is_empty() {
            self.end(0, 2);
        }
        self.pass(LIMITS.claim_timeout);
        for _ in 0..20 {
            let alive: Vec<_> = self.nodes.iter().map(|node| node.ledger.node()).collect();
            for by in alive {
                self.settle(by, 40);
            }
            self.pass(LIMITS.backoff_max);
        }
        for asked in self.calls.values() {
            let dead = self.position(asked.by).is_none();
            assert!(dead || asked.waits == Waits::Nothing, "a call was never answered");
        }
        self.recover();
    }

    /// With the service well, each node can claim again, once what it holds has expired.
    fn recover(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].sealed {
                continue;
            }
            let runs = self.open.len();
            let fresh = KEYS + node as u8;
            let tries = (0..RECOVERIES).take_while(|_| {
                self.pass(LIMITS.idle_timeout - Millis(1));
                self.round(node, fresh);
                self.open.len() == runs
            });
            assert!(tries.count() < RECOVERIES, "a node can't claim any longer");
            self.end(runs, 2);
        }
    }

    fn seal(&mut self, node: usize) {
        self.step(node, Event::Drain);
        self.nodes[node].sealed |= !self.nodes[node].paused;
    }

    fn start(&mut self) -> Node {
        self.started += 1;
        let ledger = Ledger::new(Incarnation(self.started), Seed(self.started)).with_limits(LIMITS);
        Node {
            ledger,
            paused: false,
            sealed: false,
        }
    }

    fn restart(&mut self, node: usize) {
        let by = self.nodes[node].ledger.node();
        self.open.retain(|run| run.by != by);
        let (gone, kept): (Vec<_>, Vec<_>) = self.requests.drain(..).partition(|request| request.by == by);
        self.requests = kept;
        self.ghosts.extend(gone.into_iter().map(|request| request.action));
        self.nodes[node] = self.start();
    }

    fn position(&self, by: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.ledger.node() == by)
    }

    fn want(&mut self, node: usize, key: u8, other: bool) {
        if self.nodes[node].paused {
            return;
        }
        let call = self.calls.insert(Asked {
            key,
            other,
            by: self.nodes[node].ledger.node(),
            at: self.now,
            forwarded: false,
            waits: Waits::Claim,
            dispatched: false,
        });
        self.order.push(call);
        self.ask(node, call);
    }

    fn round(&mut self, node: usize, key: u8) {
        let runs = self.open.len();
        self.pass(LIMITS.write_interval);
        self.want(node, key, false);
        self.settle(self.nodes[node].ledger.node(), 12);
        if self.open.len() > runs {
            self.dispatch(runs);
        }
    }

    fn ask(&mut self, node: usize, call: Call) {
        let asked = &self.calls[call];
        let fingerprint = Fingerprint::new(b"POST", b"/", &[u8::from(asked.other)]);
        let key = name(asked.key);
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
        let now = self.now + Millis(CLOCKS_APART * self.nodes[node].ledger.node().0);
        let actions = self.nodes[node].ledger.step(now, event);
        self.bounded(node);
        self.act(node, actions);
    }

    fn bounded(&self, node: usize) {
        let usage = self.nodes[node].ledger.usage();
        assert!(usage.bytes <= LIMITS.bytes, "too many bytes");
        assert!(
            usage.open <= LIMITS.waiting_calls + self.open.len(),
            "too many calls wait"
        );
    }

    fn act(&mut self, node: usize, actions: Actions) {
        let by = self.nodes[node].ledger.node();
        for action in actions {
            match action {
                Action::Write { ref bytes, .. } => {
                    assert!(bytes.len() <= LIMITS.batch_bytes, "a batch is too large");
                    self.requests.push(Request::new(by, action));
                }
                Action::Read { .. } | Action::ReadBase { .. } => self.requests.push(Request::new(by, action)),
                Action::SwapBase { .. } => {
                    meet("swap-base");
                    self.requests.push(Request::new(by, action));
                }
                Action::Delete { .. } => {
                    meet("delete");
                    self.requests.push(Request::new(by, action));
                }
                Action::Granted { call, .. } => {
                    meet("granted");
                    self.waits(call, Waits::Result);
                    let key = self.calls[call].key;
                    self.open.push(Run {
                        call,
                        key,
                        by,
                        dispatched: false,
                    });
                }
                Action::Join { call } => {
                    meet("join");
                    self.waits(call, Waits::Result);
                }
                Action::ClaimedElsewhere { call, owner: by } => self.taken(call, by),
                Action::Answer { call, answer } => self.answered(call, &answer),
                Action::Dispatch { .. } | Action::Halt { .. } => self.dispatched(&action),
            }
        }
    }

    fn waits(&mut self, call: Call, waits: Waits) {
        let asked = &mut self.calls[call];
        assert!(asked.waits != Waits::Nothing, "a call goes on after its end");
        asked.waits = waits;
    }

    /// The node forwards to the claimant if it can, and else tells what it knows.
    fn taken(&mut self, call: Call, by: Incarnation) {
        meet("taken");
        self.waits(call, Waits::Claim);
        let claimant = self.position(by).filter(|node| !self.nodes[*node].paused);
        let Some(node) = claimant.filter(|_| !self.calls[call].forwarded) else {
            return self.answered(call, &Answer::Refused(Reason::HeldElsewhere));
        };
        self.calls[call].forwarded = true;
        self.calls[call].by = by;
        self.calls[call].at = self.now;
        self.ask(node, call);
    }

    fn serve(&mut self, place: usize, how: u8) {
        let Request { by, action, answer } = self.requests.swap_remove(place);
        let Some(event) = answer.or_else(|| self.outcome(&action, how)) else {
            return;
        };
        let Some(node) = self.position(by) else {
            return;
        };
        if self.nodes[node].paused {
            let answer = Some(event);
            self.requests.push(Request { by, action, answer });
            return;
        }
        let failed = kv::failed(&event);
        self.step(node, event);
        let held = |asked: &Asked| asked.by == by && asked.waits == Waits::Claim;
        assert!(
            !failed || !self.calls.values().any(held),
            "a call is held back in an outage"
        );
    }

    /// What becomes of a request, and what its sender is told.
    fn outcome(&mut self, action: &Action, how: u8) -> Option<Event> {
        match how % 8 {
            _ if self.outage => kv::failure(action, how.is_multiple_of(2)),
            0 => {
                self.ghosts.push(action.clone());
                kv::failure(action, true)
            }
            1 => {
                self.kv.effect(action);
                kv::failure(action, true)
            }
            2 if how.is_multiple_of(16) => {
                self.ghosts.push(action.clone());
                kv::failure(action, false)
            }
            3 if how.is_multiple_of(3) => kv::failure(action, false),
            _ => self.kv.effect(action),
        }
    }

    fn settle(&mut self, by: Incarnation, rounds: u8) {
        for _ in 0..rounds {
            let Some(place) = self.requests.iter().position(|request| request.by == by) else {
                return;
            };
            self.serve(place, 7);
        }
    }

    fn dispatch(&mut self, place: usize) {
        let run = self.open[place];
        let (Some(node), key) = (self.position(run.by), name(run.key)) else {
            return;
        };
        self.step(node, Event::Dispatch { call: run.call, key });
    }

    fn dispatched(&mut self, action: &Action) {
        match *action {
            Action::Dispatch { call } => {
                meet("dispatch");
                let asked = &mut self.calls[call];
                assert!(!asked.dispatched, "a call is dispatched twice");
                asked.dispatched = true;
                let chosen = &mut self.keys[usize::from(asked.key)];
                if let Some(last) = chosen.ran.last() {
                    meet("rerun-after-retention");
                    assert!(self.now.since(*last) >= APART, "a key runs twice");
                }
                chosen.ran.push(self.now);
                for run in self.open.iter_mut().filter(|run| run.call == call) {
                    run.dispatched = true;
                }
            }
            Action::Halt { call } => {
                meet("halt");
                self.open.retain(|run| run.call != call || run.dispatched);
            }
            _ => {}
        }
    }

    fn end(&mut self, place: usize, how: u8) {
        let run = self.open[place];
        let Some(node) = self.position(run.by).filter(|node| !self.nodes[*node].paused) else {
            return;
        };
        self.open.swap_remove(place);
        let body = vec![how; usize::from(how % 32)];
        let record = Record {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(body),
        };
        let result = match how % 4 {
            0 | 1 if run.dispatched => {
                self.keys[usize::from(run.key)].records.push(record.clone());
                Finish::Answered(record)
            }
            2 => Finish::Unknown,
            _ => Finish::NotRun,
        };
        let key = name(run.key);
        self.step(
            node,
            Event::Finish {
                call: run.call,
                key,
                result,
            },
        );
    }

    fn leave(&mut self, call: u8) {
        let Some(place) = pick(call, self.order.len()) else {
            return;
        };
        let call = self.order[place];
        let asked = &mut self.calls[call];
        let (by, key) = (asked.by, name(asked.key));
        let Some(node) = self.position(by).filter(|node| !self.nodes[*node].paused) else {
            return;
        };
        self.step(node, Event::Disconnect { call, key });
        self.calls[call].waits = Waits::Nothing;
    }

    fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        for node in 0..self.nodes.len() {
            self.step(node, Event::Tick);
        }
        for asked in self.calls.values() {
            let held = asked.waits == Waits::Claim && self.now.since(asked.at) >= LIMITS.claim_timeout;
            let running = self
                .position(asked.by)
                .is_some_and(|node| !self.nodes[node].paused);
            assert!(!held || !running, "a call is held back");
        }
    }

    fn answered(&mut self, call: Call, answer: &Answer) {
        self.waits(call, Waits::Nothing);
        let asked = &self.calls[call];
        let chosen = &self.keys[usize::from(asked.key)];
        meet(match answer {
            Answer::Recorded(_) => "recorded",
            Answer::Refused(reason) => reason.label(),
        });
        if answer.outcome() == Outcome::NotRun {
            assert!(!asked.dispatched, "a call was told not-run and ran");
        }
        if let Answer::Recorded(record) = answer {
            assert!(chosen.records.contains(record), "a wrong record");
        }
    }
}

fn name(key: u8) -> Key {
    Key::new(&Binding::new(Name::new("cyfrif"), Name::new("tills")), &[key])
}

fn pick(choice: u8, among: usize) -> Option<usize> {
    usize::from(choice).checked_rem(among)
}
