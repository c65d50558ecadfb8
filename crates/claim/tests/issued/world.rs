//! Model of three nodes with tables, their callers and the endpoint. Panics if an invariant is violated.

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

/// Labels of the actions and reasons covered by any schedule.
static COVERED: Mutex<BTreeSet<&str>> = Mutex::new(BTreeSet::new());

/// Whether any schedule covered `label`.
pub fn covered(label: &str) -> bool {
    COVERED.lock().unwrap().contains(label)
}

fn cover(action: &Action) {
    let label = match action {
        Action::Issued { .. } => "issued",
        Action::Run { .. } => "run",
        Action::Join { .. } => "join",
        Action::Forward { .. } => "forward",
        Action::DispatchGranted { .. } => "dispatch-granted",
        Action::DispatchDenied { .. } => "dispatch-denied",
        Action::Answer { answer, .. } => match answer {
            Answer::Recorded(_) => "recorded",
            Answer::Refused(reason) => reason.label(),
        },
    };
    COVERED.lock().unwrap().insert(label);
}

pub struct World {
    now: Millis,
    nodes: Vec<Node>,
    keys: Vec<Issued>,
    calls: SlotMap<Call, Caller>,
    arrivals: Vec<Call>,
    /// Runs that were started and have not ended.
    running: Vec<Run>,
    /// Runs that have ended or were denied dispatch.
    ended: Vec<Run>,
}

struct Node {
    table: Table,
    partitioned: bool,
    crashed: bool,
    successor: Option<usize>,
}

struct Issued {
    key: Key,
    /// Oracle: number of granted dispatches of this key.
    runs: usize,
    recorded: Option<Record>,
    /// A node gave an answer after which the key must not be dispatched.
    final_refusal: bool,
}

struct Caller {
    key: Option<usize>,
    node: usize,
    answered: bool,
    dispatched: bool,
    disconnected: bool,
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
            partitioned: false,
            crashed: false,
            successor: None,
        };
        Self {
            now: Millis::ZERO,
            nodes: (1..=3).map(node).collect(),
            keys: Vec::new(),
            calls: SlotMap::with_key(),
            arrivals: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
        }
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Issue { node } => self.issue(node.into()),
            Op::Arrive {
                node,
                key,
                other_body,
            } => {
                if let Some(key) = pick(key, self.keys.len()) {
                    let call = self.call(Some(key), node.into());
                    self.arrive(node.into(), call, key, other_body);
                }
            }
            Op::Dispatch { run } => {
                if let Some(run) = pick(run, self.running.len()) {
                    self.dispatch(run);
                }
            }
            Op::Finish { run, result } => {
                if let Some(run) = pick(run, self.running.len()) {
                    self.end(run, result);
                }
            }
            Op::Stale { run, finish } => {
                if let Some(run) = pick(run, self.ended.len()) {
                    self.act_after_end(self.ended[run], finish);
                }
            }
            Op::Disconnect { call } => self.disconnect(call),
            Op::Drain { node } => {
                self.step(node.into(), Event::Drain);
            }
            Op::Export {
                node,
                successor,
                lost_piece,
            } => self.export(node.into(), successor.into(), lost_piece),
            Op::Crash { node } => self.crash(node.into()),
            Op::TogglePartition { node } => self.nodes[usize::from(node)].partitioned ^= true,
            Op::Advance { millis } => self.now = self.now + Millis(millis.into()),
        }
    }

    /// Ends every run and checks that no call is left waiting.
    pub fn finish(&mut self) {
        while !self.running.is_empty() {
            self.end(0, 2);
        }
        for caller in self.calls.values() {
            let unanswerable = self.nodes[caller.node].crashed || caller.disconnected;
            assert!(caller.answered || unanswerable, "a call was never answered");
        }
    }

    fn call(&mut self, key: Option<usize>, node: usize) -> Call {
        let call = self.calls.insert(Caller {
            key,
            node,
            answered: false,
            dispatched: false,
            disconnected: false,
        });
        self.arrivals.push(call);
        call
    }

    fn step(&mut self, node: usize, event: Event) -> Actions {
        if self.nodes[node].crashed {
            return Actions::new();
        }
        let actions = self.nodes[node].table.step(self.now, event);
        self.check_limits(node);
        for action in &actions {
            cover(action);
            if let Action::Answer { call, answer } = action {
                self.check_answer(*call, answer);
            }
        }
        actions
    }

    fn check_limits(&self, node: usize) {
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
                    final_refusal: false,
                });
            }
        }
    }

    fn arrive(&mut self, node: usize, call: Call, key: usize, other_body: bool) {
        let event = Event::Arrive {
            call,
            key: self.keys[key].key,
            binding: binding(),
            fingerprint: Fingerprint::new(b"POST", b"/", &[u8::from(other_body)]),
            home: self.home_state(key),
        };
        if self.nodes[node].crashed {
            return;
        }
        let actions = self.step(node, event);
        assert_eq!(
            actions.len(),
            1,
            "an arrival must cause exactly one action: {actions:?}"
        );
        match &actions[0] {
            Action::Run { call, .. } => {
                let dispatched = false;
                self.running.push(Run {
                    call: *call,
                    key,
                    node,
                    dispatched,
                });
            }
            Action::Forward { to, .. } => {
                let to = usize::try_from(to.0).unwrap() - 1;
                assert_ne!(to, node, "a node forwarded a call to itself");
                self.calls[call].node = to;
                self.arrive(to, call, key, other_body);
            }
            Action::Join { .. } | Action::Answer { .. } => {}
            action => panic!("unexpected action {action:?}"),
        }
    }

    fn home_state(&self, key: usize) -> Home {
        let home = &self.nodes[self.keys[key].key.home.0 as usize - 1];
        match home.successor {
            Some(successor) if home.crashed && !self.nodes[successor].crashed => {
                Home::Successor(Incarnation(successor as u64 + 1))
            }
            _ if home.crashed => Home::Gone,
            _ if home.partitioned => Home::Unreachable,
            _ => Home::Alive,
        }
    }

    fn dispatch(&mut self, index: usize) {
        let run = self.running[index];
        let (call, key) = (run.call, self.keys[run.key].key);
        match &self.step(run.node, Event::Dispatch { call, key })[0] {
            Action::DispatchGranted { .. } => {
                assert!(
                    !self.keys[run.key].final_refusal,
                    "a key was dispatched after a final refusal"
                );
                self.keys[run.key].runs += 1;
                assert_eq!(self.keys[run.key].runs, 1, "a key was dispatched twice");
                self.calls[call].dispatched = true;
                self.running[index].dispatched = true;
            }
            Action::DispatchDenied { .. } if run.dispatched => {}
            Action::DispatchDenied { .. } => {
                self.running.swap_remove(index);
                self.ended.push(run);
            }
            action => panic!("unexpected action {action:?}"),
        }
    }

    fn end(&mut self, index: usize, result_choice: u8) {
        let run = self.running.swap_remove(index);
        self.ended.push(run);
        let body = vec![result_choice; usize::from(result_choice % 32)];
        let record = Record {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(body),
        };
        let result = match result_choice % 4 {
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

    /// Lets a run that has ended or was denied dispatch end again or ask for its dispatch again.
    fn act_after_end(&mut self, run: Run, finish: bool) {
        let (call, key) = (run.call, self.keys[run.key].key);
        if finish {
            let result = Finish::NotRun;
            let actions = self.step(run.node, Event::Finish { call, key, result });
            assert!(actions.is_empty(), "the second end of a run caused actions");
        } else {
            let actions = self.step(run.node, Event::Dispatch { call, key });
            let granted = |action: &Action| matches!(action, Action::DispatchGranted { .. });
            assert!(!actions.iter().any(granted), "a run was dispatched after its end");
        }
    }

    fn disconnect(&mut self, call: u8) {
        let Some(index) = pick(call, self.arrivals.len()) else {
            return;
        };
        let call = self.arrivals[index];
        let (node, Some(key)) = (self.calls[call].node, self.calls[call].key) else {
            return;
        };
        self.calls[call].disconnected = true;
        let key = self.keys[key].key;
        self.step(node, Event::Disconnect { call, key });
    }

    fn export(&mut self, node: usize, successor: usize, lost_piece: u8) {
        if node == successor || self.nodes[node].crashed || self.nodes[successor].crashed {
            return;
        }
        self.nodes[node].successor = Some(successor);
        let mut pieces = self.nodes[node].table.export(PIECE_BYTES);
        // Two thirds of the handovers lose a piece.
        if !lost_piece.is_multiple_of(3) {
            pieces.remove(usize::from(lost_piece) % pieces.len());
        }
        for piece in pieces {
            self.step(successor, Event::Import(piece));
        }
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node].crashed = true;
        self.running.retain(|run| run.node != node);
    }

    fn check_answer(&mut self, call: Call, answer: &Answer) {
        let caller = &mut self.calls[call];
        assert!(!caller.answered, "a call was answered twice");
        assert!(!caller.disconnected, "a disconnected call was answered");
        caller.answered = true;
        let Some(key) = caller.key else {
            return;
        };
        let issued = &mut self.keys[key];
        if answer.outcome() == Outcome::NotRun {
            assert!(!caller.dispatched, "a dispatched call was answered with not-run");
        }
        match answer {
            Answer::Recorded(record) => assert_eq!(Some(&**record), issued.recorded.as_ref()),
            Answer::Refused(Reason::NeverRun | Reason::NodeStopping) => {
                assert_eq!(issued.runs, 0, "a key that ran was certified as never run");
                issued.final_refusal = true;
            }
            Answer::Refused(Reason::TooManyKeys | Reason::NotStarted) => assert_eq!(issued.runs, 0),
            Answer::Refused(Reason::Expired | Reason::RecordDropped | Reason::Interrupted) => {
                issued.final_refusal = true;
            }
            Answer::Refused(Reason::Forged | Reason::OtherBinding) => panic!("a valid key was refused"),
            Answer::Refused(_) => {}
        }
    }
}

fn binding() -> Binding {
    Binding::new(Name::new("cyfrif"), Name::new("tills"))
}

fn pick(choice: u8, count: usize) -> Option<usize> {
    usize::from(choice).checked_rem(count)
}
