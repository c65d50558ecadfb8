//! The checker.

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};

use super::reader::{History, Line};
use super::record::{Answer, Invoke, Run};
use super::{Content, End, Finding, Kind, Record};

/// Everything that is wrong with a history, in the order of its lines.
pub fn check(history: &History) -> Vec<Finding> {
    let mut checker = Checker::new(history);
    for line in &history.lines {
        checker.meet(line);
    }
    checker.close();
    checker
        .findings
        .sort_by_key(|finding| (finding.line, finding.kind));
    checker.findings
}

#[derive(Debug)]
struct Checker<'a> {
    findings: Vec<Finding>,
    calls: IndexMap<&'a str, Call<'a>>,
    /// Call of each dispatch.
    dispatches: IndexMap<&'a str, &'a str>,
    /// First body seen for each key.
    bodies: IndexMap<&'a str, &'a str>,
    /// First run of each non-idempotent request, by key or else by call.
    ran: IndexMap<&'a str, usize>,
    generations: IndexMap<&'a str, u64>,
    /// Calls that a later one makes good.
    repeated: IndexSet<&'a str>,
}

#[derive(Debug)]
struct Call<'a> {
    line: usize,
    invoke: &'a Invoke,
    ends: usize,
    refused: bool,
}

impl<'a> Checker<'a> {
    /// Knows all calls and dispatches, as runs may be recorded before them.
    fn new(history: &'a History) -> Self {
        let mut checker = Self {
            findings: history.malformed.clone(),
            calls: IndexMap::new(),
            dispatches: IndexMap::new(),
            bodies: IndexMap::new(),
            ran: IndexMap::new(),
            generations: IndexMap::new(),
            repeated: IndexSet::new(),
        };
        for line in &history.lines {
            match &line.record {
                Record::Invoke(invoke) => checker.open(line.number, invoke),
                Record::Dispatch(dispatch) => {
                    checker.dispatches.insert(&dispatch.dispatch, &dispatch.call);
                }
                Record::Answer(answer) if answer.end == End::NotRun => checker.refuse(&answer.call),
                Record::Run(_) | Record::Answer(_) | Record::Generation(_) => {}
            }
        }
        checker
    }

    fn open(&mut self, line: usize, invoke: &'a Invoke) {
        let call = Call {
            line,
            invoke,
            ends: 0,
            refused: false,
        };
        if let Some(before) = &invoke.repeats {
            self.repeated.insert(before);
        }
        match self.calls.entry(&invoke.call) {
            Entry::Vacant(vacant) => {
                vacant.insert(call);
            }
            Entry::Occupied(_) => self.find(line, Kind::RepeatedCall, &invoke.call),
        }
    }

    fn refuse(&mut self, call: &str) {
        if let Some(call) = self.calls.get_mut(call) {
            call.refused = true;
        }
    }

    fn meet(&mut self, line: &'a Line) {
        match &line.record {
            Record::Invoke(_) | Record::Dispatch(_) => {}
            Record::Run(run) => self.run(line.number, run),
            Record::Answer(answer) => self.answer(line.number, answer),
            Record::Generation(applied) => {
                let highest = self.generations.entry(&applied.node).or_default();
                let back = applied.generation < *highest;
                *highest = applied.generation.max(*highest);
                if back {
                    self.find(line.number, Kind::GenerationBack, &applied.node);
                }
            }
        }
    }

    fn run(&mut self, line: usize, run: &'a Run) {
        let told = run
            .dispatch
            .as_deref()
            .and_then(|dispatch| self.dispatches.get(dispatch));
        let id = run.call.as_deref().or(told.copied());
        let Some(call) = id.and_then(|id| self.calls.get(id)) else {
            return self.find(line, Kind::Stray, &run.replica);
        };
        let invoke = call.invoke;
        if call.refused {
            self.find(line, Kind::NotRunRan, &invoke.call);
        }
        if invoke.idempotent {
            return;
        }
        let request = invoke.key.as_deref().unwrap_or(&invoke.call);
        if self.ran.insert(request, line).is_some() {
            self.find(line, Kind::DoubleRun, request);
        }
    }

    fn answer(&mut self, line: usize, answer: &'a Answer) {
        let Some(call) = self.calls.get_mut(answer.call.as_str()) else {
            return self.find(line, Kind::Stray, &answer.call);
        };
        call.ends += 1;
        let invoke = call.invoke;
        match answer.end {
            End::Answered => self.answered(line, invoke, answer),
            End::Lost if !self.repeated.contains(answer.call.as_str()) => {
                self.find(line, Kind::Lost, &answer.call);
            }
            End::Failed | End::Lost | End::NotRun | End::Unknown | End::Unreached => {}
        }
    }

    fn answered(&mut self, line: usize, invoke: &'a Invoke, answer: &'a Answer) {
        let fault = match &answer.content {
            Some(content) => compare(&invoke.expects, content),
            None => Some(Kind::Truncated),
        };
        if let Some(kind) = fault {
            self.find(line, kind, &answer.call);
        }
        let (Some(key), Some(body)) = (&invoke.key, &answer.body) else {
            return;
        };
        let first = *self.bodies.entry(key).or_insert(body);
        if first != body {
            self.find(line, Kind::Differing, key);
        }
    }

    fn close(&mut self) {
        let open = self.calls.values().filter(|call| call.ends != 1);
        let open = open.map(|call| Finding {
            line: call.line,
            kind: Kind::Ends,
            about: call.invoke.call.clone(),
        });
        self.findings.extend(open.collect::<Vec<_>>());
    }

    fn find(&mut self, line: usize, kind: Kind, about: &str) {
        let about = about.to_owned();
        self.findings.push(Finding { line, kind, about });
    }
}

/// What is wrong with content delivered as whole.
fn compare(expected: &Content, seen: &Content) -> Option<Kind> {
    if seen.parts < expected.parts {
        return Some(Kind::Truncated);
    }
    if seen.parts > expected.parts {
        return Some(Kind::Excess);
    }
    (seen.digest != expected.digest).then_some(Kind::Swapped)
}
