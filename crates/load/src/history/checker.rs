//! History checker.

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};

use super::reader::{History, Line};
use super::record::{Answer, Invoke, Run};
use super::{Content, End, Finding, Kind, Record};

/// Returns all findings of a history, ordered by line.
pub fn check(history: &History) -> Vec<Finding> {
    let mut checker = Checker::new(history);
    for line in &history.lines {
        checker.check_line(line);
    }
    checker.check_end_counts();
    checker
        .findings
        .sort_by_key(|finding| (finding.line, finding.kind));
    checker.findings
}

#[derive(Debug)]
struct Checker<'a> {
    findings: Vec<Finding>,
    calls: IndexMap<&'a str, Call<'a>>,
    /// Call id by dispatch id.
    dispatches: IndexMap<&'a str, &'a str>,
    /// Digest of the first response body for each idempotency key.
    bodies: IndexMap<&'a str, &'a str>,
    /// Line of the last run of each non-idempotent request, by idempotency key or, without one, by call id.
    runs: IndexMap<&'a str, usize>,
    generations: IndexMap<&'a str, u64>,
    /// Calls that were retried by a later call.
    retried: IndexSet<&'a str>,
}

#[derive(Debug)]
struct Call<'a> {
    line: usize,
    invoke: &'a Invoke,
    ends: usize,
    refused: bool,
}

impl<'a> Checker<'a> {
    /// Indexes all calls and dispatches first, because runs may be recorded before them.
    fn new(history: &'a History) -> Self {
        let mut checker = Self {
            findings: history.malformed.clone(),
            calls: IndexMap::new(),
            dispatches: IndexMap::new(),
            bodies: IndexMap::new(),
            runs: IndexMap::new(),
            generations: IndexMap::new(),
            retried: IndexSet::new(),
        };
        for line in &history.lines {
            match &line.record {
                Record::Invoke(invoke) => checker.add_call(line.number, invoke),
                Record::Dispatch(dispatch) => {
                    checker.dispatches.insert(&dispatch.dispatch, &dispatch.call);
                }
                Record::Answer(answer) if answer.end == End::NotRun => checker.mark_refused(&answer.call),
                Record::Run(_) | Record::Answer(_) | Record::Generation(_) => {}
            }
        }
        checker
    }

    fn add_call(&mut self, line: usize, invoke: &'a Invoke) {
        let call = Call {
            line,
            invoke,
            ends: 0,
            refused: false,
        };
        if let Some(previous) = &invoke.retry_of {
            self.retried.insert(previous);
        }
        match self.calls.entry(&invoke.call) {
            Entry::Vacant(vacant) => {
                vacant.insert(call);
            }
            Entry::Occupied(_) => self.add_finding(line, Kind::DuplicateCall, &invoke.call),
        }
    }

    fn mark_refused(&mut self, call: &str) {
        if let Some(call) = self.calls.get_mut(call) {
            call.refused = true;
        }
    }

    fn check_line(&mut self, line: &'a Line) {
        match &line.record {
            Record::Invoke(_) | Record::Dispatch(_) => {}
            Record::Run(run) => self.check_run(line.number, run),
            Record::Answer(answer) => self.check_answer(line.number, answer),
            Record::Generation(applied) => {
                let highest = self.generations.entry(&applied.node).or_default();
                let decreased = applied.generation < *highest;
                *highest = applied.generation.max(*highest);
                if decreased {
                    self.add_finding(line.number, Kind::GenerationDecreased, &applied.node);
                }
            }
        }
    }

    fn check_run(&mut self, line: usize, run: &'a Run) {
        let dispatched_call = run
            .dispatch
            .as_deref()
            .and_then(|dispatch| self.dispatches.get(dispatch));
        let id = run.call.as_deref().or(dispatched_call.copied());
        let Some(call) = id.and_then(|id| self.calls.get(id)) else {
            return self.add_finding(line, Kind::UnknownCall, &run.replica);
        };
        let invoke = call.invoke;
        if call.refused {
            self.add_finding(line, Kind::RunDespiteRefusal, &invoke.call);
        }
        if invoke.idempotent {
            return;
        }
        let request = invoke.key.as_deref().unwrap_or(&invoke.call);
        if self.runs.insert(request, line).is_some() {
            self.add_finding(line, Kind::DoubleRun, request);
        }
    }

    fn check_answer(&mut self, line: usize, answer: &'a Answer) {
        let Some(call) = self.calls.get_mut(answer.call.as_str()) else {
            return self.add_finding(line, Kind::UnknownCall, &answer.call);
        };
        call.ends += 1;
        let invoke = call.invoke;
        match answer.end {
            End::Answered => self.check_content(line, invoke, answer),
            End::Lost if !self.retried.contains(answer.call.as_str()) => {
                self.add_finding(line, Kind::Lost, &answer.call);
            }
            End::Failed | End::Lost | End::NotRun | End::Unknown | End::Unreached => {}
        }
    }

    fn check_content(&mut self, line: usize, invoke: &'a Invoke, answer: &'a Answer) {
        let kind = match &answer.content {
            Some(content) => compare(&invoke.expected, content),
            None => Some(Kind::Truncated),
        };
        if let Some(kind) = kind {
            self.add_finding(line, kind, &answer.call);
        }
        let (Some(key), Some(body)) = (&invoke.key, &answer.body) else {
            return;
        };
        let first = *self.bodies.entry(key).or_insert(body);
        if first != body {
            self.add_finding(line, Kind::InconsistentAnswers, key);
        }
    }

    fn check_end_counts(&mut self) {
        let calls = self.calls.values().filter(|call| call.ends != 1);
        let findings = calls.map(|call| Finding {
            line: call.line,
            kind: Kind::EndCount,
            subject: call.invoke.call.clone(),
        });
        self.findings.extend(findings.collect::<Vec<_>>());
    }

    fn add_finding(&mut self, line: usize, kind: Kind, subject: &str) {
        let subject = subject.to_owned();
        self.findings.push(Finding { line, kind, subject });
    }
}

/// Compares the content of an answer that was delivered as complete with the expected content.
fn compare(expected: &Content, actual: &Content) -> Option<Kind> {
    if actual.parts < expected.parts {
        return Some(Kind::Truncated);
    }
    if actual.parts > expected.parts {
        return Some(Kind::Excess);
    }
    (actual.digest != expected.digest).then_some(Kind::WrongContent)
}
