//! Tables of three nodes, their callers and the endpoint; panics when a promise is broken.

use std::collections::BTreeSet;
use std::sync::Mutex;

use base::{Incarnation, Millis, Name, Outcome};
use bytes::Bytes;
use claim::table::{Action, Actions, Event, Finish, Home, Limits, Usage};
use claim::{Answer, Binding, Call, Fingerprint, Key, Reason, Record, Secret, Table};
use slotmap::SlotMap;

use super::op::Op;

const LIMITS: Limits = Limits {
    keys: 6,
    bytes: 40,
    record_bytes: 24,
    lifetime: Millis(1_000),
    waiters: 3,
    imported: 8,
};
const PIECE_BYTES: usize = 100;

/// Labels of what any schedule has met.
static MET: Mutex<BTreeSet<&str>> = Mutex::new(BTreeSet::new());

/// Whether any schedule met `label`.
pub fn met(label: &str) -> bool {
    MET.lock().unwrap().contains(label)
}

fn meet(action: &Action) {
    let label = match action {
        Action::Issued { .. } => "issued",
        Action::Run { .. } => "run",
        Action::Join { .. } => "join",
        Action::Forward { .. } => "forward",
        Action::Dispatch { .. } => "dispatch",
        Action::Halt { .. } => "halt",
        Action::Answer { answer, .. } => match answer {
            Answer::Recorded(_) => "recorded",
            Answer::Refused(reason) => reason.label(),
        },
    };
    MET.lock().unwrap().insert(label);
}

pub struct World {
    now: Millis,
    nodes: Vec<Node>,
    keys: Vec<Issued>,
    calls: SlotMap<Call, Asked>,
    order: Vec<Call>,
    /// Runs that were told to run and have not ended.
    open: Vec<Run>,
    /// Runs that have ended or were halted.
    past: Vec<Run>,
}

struct Node {
    table: Table,
    cut: bool,
    dead: bool,
    heir: Option<usize>,
}

struct Issued {
    key: Key,
    /// The oracle: how often bytes may have left for this key.
    runs: usize,
    recorded: Option<Record>,
    /// A node said that the key did not run and never will.
    closed: bool,
}

struct Asked {
    key: Option<usize>,
    node: usize,
    answered: bool,
    dispatched: bool,
    left: bool,
}

#[derive(Clone, Copy)]
struct Run {
    call: Call,
    key: usize,
    node: usize,
    dispatched: bool,
}

impl World {
    pub fn new() -> Self {
        let node = |number| Node {
            table: Table::new(Incarnation(number), Secret::new(b"secret")).with_limits(LIMITS),
            cut: false,
            dead: false,
            heir: None,
        };
        Self {
            now: Millis::ZERO,
            nodes: (1..=3).map(node).collect(),
            keys: Vec::new(),
            calls: SlotMap::with_key(),
            order: Vec::new(),
            open: Vec::new(),
            past: Vec::new(),
        }
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Issue { node } => self.issue(node.into()),
            Op::Arrive { node, key, other } => {
                if let Some(key) = pick(key, self.keys.len()) {
                    let call = self.call(Some(key), node.into());
                    self.arrive(node.into(), call, key, other);
                }
            }
            Op::Dispatch { run } => {
                if let Some(run) = pick(run, self.open.len()) {
                    self.dispatch(run);
                }
            }
            Op::Finish { run, how } => {
                if let Some(run) = pick(run, self.open.len()) {
                    self.end(run, how);
                }
            }
            Op::Stale { run, finish } => {
                if let Some(run) = pick(run, self.past.len()) {
                    self.repeat(self.past[run], finish);
                }
            }
            Op::Leave { call } => self.leave(call),
            Op::Seal { node } => {
                self.step(node.into(), Event::Drain);
            }
            Op::Export { node, heir, lost } => self.export(node.into(), heir.into(), lost),
            Op::Kill { node } => self.kill(node.into()),
            Op::Cut { node } => self.nodes[usize::from(node)].cut ^= true,
            Op::Pass { millis } => self.now = self.now + Millis(millis.into()),
        }
    }

    /// Ends every run and looks that nobody waits any longer.
    pub fn finish(&mut self) {
        while !self.open.is_empty() {
            self.end(0, 2);
        }
        for asked in self.calls.values() {
            let lost = self.nodes[asked.node].dead || asked.left;
            assert!(asked.answered || lost, "a call was never answered");
        }
    }

    fn call(&mut self, key: Option<usize>, node: usize) -> Call {
        let call = self.calls.insert(Asked {
            key,
            node,
            answered: false,
            dispatched: false,
            left: false,
        });
        self.order.push(call);
        call
    }

    fn step(&mut self, node: usize, event: Event) -> Actions {
        if self.nodes[node].dead {
            return Actions::new();
        }
        let actions = self.nodes[node].table.step(self.now, event);
        self.bounded(node);
        for action in &actions {
            meet(action);
            if let Action::Answer { call, answer } = action {
                self.answered(*call, answer);
            }
        }
        actions
    }

    fn bounded(&self, node: usize) {
        let Usage {
            running,
            ended,
            imported,
            bytes,
        } = self.nodes[node].table.usage();
        assert!(running + ended <= LIMITS.keys, "too many keys");
        assert!(imported <= LIMITS.imported, "too many imported keys");
        assert!(bytes <= LIMITS.bytes, "too many bytes");
    }

    fn issue(&mut self, node: usize) {
        let call = self.call(None, node);
        let binding = binding();
        for action in self.step(node, Event::Issue { call, binding }) {
            if let Action::Issued { call, key } = action {
                self.calls[call].answered = true;
                self.keys.push(Issued {
                    key,
                    runs: 0,
                    recorded: None,
                    closed: false,
                });
            }
        }
    }

    fn arrive(&mut self, node: usize, call: Call, key: usize, other: bool) {
        let event = Event::Arrive {
            call,
            key: self.keys[key].key,
            binding: binding(),
            fingerprint: Fingerprint::new(b"POST", b"/", &[u8::from(other)]),
            home: self.knowledge(key),
        };
        if self.nodes[node].dead {
            return;
        }
        let actions = self.step(node, event);
        assert_eq!(
            actions.len(),
            1,
            "an arrival has one consequence at once: {actions:?}"
        );
        match &actions[0] {
            Action::Run { call, .. } => {
                let dispatched = false;
                self.open.push(Run {
                    call: *call,
                    key,
                    node,
                    dispatched,
                });
            }
            Action::Forward { to, .. } => {
                let to = usize::try_from(to.0).unwrap() - 1;
                assert_ne!(to, node, "a node forwards to itself");
                self.calls[call].node = to;
                self.arrive(to, call, key, other);
            }
            Action::Join { .. } | Action::Answer { .. } => {}
            action => panic!("unexpected {action:?}"),
        }
    }

    fn knowledge(&self, key: usize) -> Home {
        let home = &self.nodes[self.keys[key].key.home.0 as usize - 1];
        match home.heir {
            Some(heir) if home.dead && !self.nodes[heir].dead => {
                Home::Successor(Incarnation(heir as u64 + 1))
            }
            _ if home.dead => Home::Gone,
            _ if home.cut => Home::Unreachable,
            _ => Home::Alive,
        }
    }

    fn dispatch(&mut self, place: usize) {
        let run = self.open[place];
        let (call, key) = (run.call, self.keys[run.key].key);
        match &self.step(run.node, Event::Dispatch { call, key })[0] {
            Action::Dispatch { .. } => {
                assert!(!self.keys[run.key].closed, "a key said to be closed runs");
                self.keys[run.key].runs += 1;
                assert_eq!(self.keys[run.key].runs, 1, "a key runs twice");
                self.calls[call].dispatched = true;
                self.open[place].dispatched = true;
            }
            Action::Halt { .. } if run.dispatched => {}
            Action::Halt { .. } => {
                self.open.swap_remove(place);
                self.past.push(run);
            }
            action => panic!("unexpected {action:?}"),
        }
    }

    fn end(&mut self, place: usize, how: u8) {
        let run = self.open.swap_remove(place);
        self.past.push(run);
        let body = vec![how; usize::from(how % 32)];
        let record = Record {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(body),
        };
        let result = match how % 4 {
            0 | 1 if run.dispatched => {
                self.keys[run.key].recorded = Some(record.clone());
                Finish::Answered(record)
            }
            2 => Finish::Unknown,
            _ => Finish::NotRun,
        };
        let (call, key) = (run.call, self.keys[run.key].key);
        self.step(run.node, Event::Finish { call, key, result });
    }

    /// A run that ended, or was told to halt, goes on all the same.
    fn repeat(&mut self, run: Run, finish: bool) {
        let (call, key) = (run.call, self.keys[run.key].key);
        if finish {
            let result = Finish::NotRun;
            let actions = self.step(run.node, Event::Finish { call, key, result });
            assert!(actions.is_empty(), "an ended run ends again");
        } else {
            let actions = self.step(run.node, Event::Dispatch { call, key });
            let granted = |action: &Action| matches!(action, Action::Dispatch { .. });
            assert!(!actions.iter().any(granted), "an ended run is dispatched");
        }
    }

    fn leave(&mut self, call: u8) {
        let Some(place) = pick(call, self.order.len()) else {
            return;
        };
        let call = self.order[place];
        let (node, Some(key)) = (self.calls[call].node, self.calls[call].key) else {
            return;
        };
        self.calls[call].left = true;
        let key = self.keys[key].key;
        self.step(node, Event::Disconnect { call, key });
    }

    fn export(&mut self, node: usize, heir: usize, lost: u8) {
        if node == heir || self.nodes[node].dead || self.nodes[heir].dead {
            return;
        }
        self.nodes[node].heir = Some(heir);
        let mut pieces = self.nodes[node].table.export(PIECE_BYTES);
        // Two thirds of the hand-overs lose a piece.
        if !lost.is_multiple_of(3) {
            pieces.remove(usize::from(lost) % pieces.len());
        }
        for piece in pieces {
            self.step(heir, Event::Import(piece));
        }
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
        self.open.retain(|run| run.node != node);
    }

    fn answered(&mut self, call: Call, answer: &Answer) {
        let asked = &mut self.calls[call];
        assert!(!asked.answered, "a call is answered twice");
        assert!(!asked.left, "a call that left is answered");
        asked.answered = true;
        let Some(key) = asked.key else {
            return;
        };
        let issued = &mut self.keys[key];
        if answer.outcome() == Outcome::NotRun {
            assert!(!asked.dispatched, "a call was told not-run and ran");
        }
        match answer {
            Answer::Recorded(record) => assert_eq!(Some(&**record), issued.recorded.as_ref()),
            Answer::Refused(Reason::NeverRun | Reason::NodeStopping) => {
                assert_eq!(issued.runs, 0, "a key that ran is certified as never run");
                issued.closed = true;
            }
            Answer::Refused(Reason::TooManyKeys | Reason::NotStarted) => assert_eq!(issued.runs, 0),
            Answer::Refused(Reason::Expired | Reason::RecordDropped | Reason::Interrupted) => {
                issued.closed = true;
            }
            Answer::Refused(Reason::Forged | Reason::OtherBinding) => panic!("a good key is refused"),
            Answer::Refused(_) => {}
        }
    }
}

fn binding() -> Binding {
    Binding::new(Name::new("cyfrif"), Name::new("tills"))
}

fn pick(choice: u8, among: usize) -> Option<usize> {
    usize::from(choice).checked_rem(among)
}
