//! Holds what callers and replicas saw against the promises. Pure.

use std::collections::HashMap;

use base::Millis;
use standin::replica::{STREAM_EVENTS, stream_body};

use crate::attempt::{Attempt, End, Key, Kind, Response};
use crate::disruption::{Cause, Disruption, Revocation};
use crate::finding::{Finding, Rule};

/// Longest use of a key after its removal: `revoke-ms` of both sites.
pub const REVOCATION_LIMIT: Millis = Millis(5_000);
/// Time beyond a deadline after which an answer is late: `loss-slack-ms` of both sites, and the soak's own hops.
const LATENESS_SLACK: Millis = Millis(500);
/// Time that callers need to see the end of a connection after its process has gone.
const CLOSE_DELAY: Millis = Millis(200);

/// All that was seen in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests as callers saw them.
    pub attempts: Vec<Attempt>,
    /// How often replicas ran each request, by id.
    pub executions: HashMap<String, usize>,
    /// What was done to nodes.
    pub disruptions: Vec<Disruption>,
    /// When the second API key was away.
    pub revocations: Vec<Revocation>,
}

/// Finds the broken promises.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in &history.attempts {
        history.check_attempt(attempt, &mut findings);
    }
    findings
}

impl History {
    fn check_attempt(&self, attempt: &Attempt, findings: &mut Vec<Finding>) {
        let executions = self.executions.get(&attempt.id).copied().unwrap_or(0);
        let mut report =
            |rule| findings.push(Finding::new(rule, format!("{attempt:?}, run {executions} times")));
        if attempt.kind == Kind::Unsafe && executions > 1 {
            report(Rule::Once);
        }
        match &attempt.end {
            End::Told(response) => {
                if matches!(response.status, 408 | 421 | 429 | 503) && executions > 0 {
                    report(Rule::NotRun);
                }
                if matches!(response.status, 429 | 503) && !response.has_retry_after {
                    report(Rule::RetryAfter);
                }
                if response.status == 200 && !(executions > 0 && is_correct(attempt, response)) {
                    report(Rule::Truth);
                }
                if response.status == 200 && self.is_revoked(attempt) {
                    report(Rule::Revoked);
                }
            }
            End::Cut if self.may_be_cut(attempt, executions) => {}
            End::Cut => report(Rule::Lost),
            End::Unsent | End::Silent => {}
        }
        let latest = attempt.sent.0 + attempt.patience.as_millis() as u64 + LATENESS_SLACK.0;
        // A stream is served once its head has come: its events may take longer.
        let has_deadline = attempt.kind != Kind::Stream || attempt.end == End::Silent;
        if has_deadline && attempt.ended.0 > latest && !self.was_unresponsive(attempt) {
            report(Rule::Deadline);
        }
    }

    /// Whether the key was away for so long that every node must know.
    fn is_revoked(&self, attempt: &Attempt) -> bool {
        let is_in_force = |revocation: &Revocation| {
            revocation.from.0 + REVOCATION_LIMIT.0 <= attempt.sent.0 && attempt.ended.0 < revocation.to.0
        };
        attempt.key == Key::Second && self.revocations.iter().any(is_in_force)
    }

    /// Whether what was done to the node allows a connection to end without an answer.
    fn may_be_cut(&self, attempt: &Attempt, executions: usize) -> bool {
        self.overlapping(attempt)
            .any(|disruption| match disruption.cause {
                Cause::Killed | Cause::Impaired => true,
                // One that leaves finishes what it has taken.
                Cause::Terminated => executions == 0,
                Cause::Paused => false,
            })
    }

    /// Whether the node or the way to it could not answer for a while.
    fn was_unresponsive(&self, attempt: &Attempt) -> bool {
        let mut overlapping = self.overlapping(attempt);
        overlapping.any(|disruption| disruption.cause != Cause::Terminated)
    }

    fn overlapping<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a Disruption> {
        let same_node = self.disruptions.iter().filter(|it| it.node == attempt.node);
        same_node.filter(|it| {
            it.overlaps(
                Millis(attempt.sent.0.saturating_sub(CLOSE_DELAY.0)),
                attempt.ended,
            )
        })
    }
}

/// Whether a success is the replica's whole answer to this request.
fn is_correct(attempt: &Attempt, response: &Response) -> bool {
    let seal = response.seal.as_deref().unwrap_or("");
    match (attempt.kind, response.body.as_deref()) {
        (Kind::Safe | Kind::Unsafe, Some(body)) => body == "done" && seal == format!("seal-{}", attempt.id),
        (Kind::Stream, Some(body)) => body == stream_body(1, STREAM_EVENTS) && seal.starts_with("seal-"),
        // Broken off, which the caller can see.
        (_, None) => true,
    }
}
