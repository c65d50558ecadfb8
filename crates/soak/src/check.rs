//! Holds what callers and replicas saw against the promises. Pure.

use std::collections::HashMap;

use base::Millis;
use standin::replica::{STREAM_EVENTS, stream_body};

use crate::attempt::{Attempt, End, Key, Kind, Told};
use crate::disturbance::{Disturbance, Removal, What};
use crate::finding::{Finding, Rule};

/// Longest use of a key after its removal: `revoke-ms` of both sites.
pub const REVOKE: Millis = Millis(5_000);
/// Time beyond a deadline after which an answer is late: `loss-slack-ms` of both sites, and the soak's own hops.
const LATE: Millis = Millis(500);
/// Time that callers need to see the end of a connection after its process has gone.
const AFTERMATH: Millis = Millis(200);

/// All that was seen in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests as callers saw them.
    pub attempts: Vec<Attempt>,
    /// How often replicas ran each request, by id.
    pub runs: HashMap<String, usize>,
    /// What was done to nodes.
    pub disturbances: Vec<Disturbance>,
    /// When the second API key was away.
    pub removals: Vec<Removal>,
}

/// Finds the broken promises.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in &history.attempts {
        history.look(attempt, &mut findings);
    }
    findings
}

impl History {
    fn look(&self, attempt: &Attempt, findings: &mut Vec<Finding>) {
        let runs = self.runs.get(&attempt.id).copied().unwrap_or(0);
        let mut found = |rule| findings.push(Finding::new(rule, format!("{attempt:?}, run {runs} times")));
        if attempt.kind == Kind::Unsafe && runs > 1 {
            found(Rule::Once);
        }
        match &attempt.end {
            End::Told(told) => {
                if matches!(told.status, 408 | 421 | 429 | 503) && runs > 0 {
                    found(Rule::NotRun);
                }
                if matches!(told.status, 429 | 503) && !told.has_retry_after {
                    found(Rule::RetryAfter);
                }
                if told.status == 200 && !(runs > 0 && is_true(attempt, told)) {
                    found(Rule::Truth);
                }
                if told.status == 200 && self.is_revoked(attempt) {
                    found(Rule::Revoked);
                }
            }
            End::Cut if self.may_be_cut(attempt, runs) => {}
            End::Cut => found(Rule::Lost),
            End::Unsent | End::Silent => {}
        }
        let due = attempt.sent.0 + attempt.patience.as_millis() as u64 + LATE.0;
        // A stream is served once its head has come: its events may take longer.
        let is_bounded = attempt.kind != Kind::Stream || attempt.end == End::Silent;
        if is_bounded && attempt.ended.0 > due && !self.is_held(attempt) {
            found(Rule::Deadline);
        }
    }

    /// Whether the key was away for so long that every node must know.
    fn is_revoked(&self, attempt: &Attempt) -> bool {
        let is_away =
            |removal: &Removal| removal.from.0 + REVOKE.0 <= attempt.sent.0 && attempt.ended.0 < removal.to.0;
        attempt.key == Key::Second && self.removals.iter().any(is_away)
    }

    /// Whether what was done to the node allows a connection to end without an answer.
    fn may_be_cut(&self, attempt: &Attempt, runs: usize) -> bool {
        self.around(attempt).any(|disturbance| match disturbance.what {
            What::Killed | What::Troubled => true,
            // One that leaves finishes what it has taken.
            What::Left => runs == 0,
            What::Paused => false,
        })
    }

    /// Whether the node or the way to it could not answer for a while.
    fn is_held(&self, attempt: &Attempt) -> bool {
        let mut around = self.around(attempt);
        around.any(|disturbance| disturbance.what != What::Left)
    }

    fn around<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a Disturbance> {
        let mine = self.disturbances.iter().filter(|it| it.node == attempt.node);
        mine.filter(|it| it.meets(Millis(attempt.sent.0.saturating_sub(AFTERMATH.0)), attempt.ended))
    }
}

/// Whether a success is the replica's whole answer to this request.
fn is_true(attempt: &Attempt, told: &Told) -> bool {
    let seal = told.seal.as_deref().unwrap_or("");
    match (attempt.kind, told.body.as_deref()) {
        (Kind::Safe | Kind::Unsafe, Some(body)) => body == "done" && seal == format!("seal-{}", attempt.id),
        (Kind::Stream, Some(body)) => body == stream_body(1, STREAM_EVENTS) && seal.starts_with("seal-"),
        // Broken off, which the caller can see.
        (_, None) => true,
    }
}
