//! Checks what callers and replicas observed against the guarantees, without I/O.

use std::collections::HashMap;

use base::Millis;
use standin::replica::{STREAM_EVENTS, stream_body};

use crate::attempt::{Attempt, End, Key, Kind, Response};
use crate::disruption::{Cause, Disruption, Revocation};
use crate::finding::{Finding, Rule};

/// Longest time for which a key still works after its revocation: `revoke-ms` of both sites.
pub const REVOCATION_LIMIT: Millis = Millis(5_000);
/// Time beyond a deadline after which a response is late: `loss-slack-ms` of both sites plus the hops of the soak test
/// itself.
const LATENESS_SLACK: Millis = Millis(500);
/// Most memory that a node may take: that of the smallest VMs of both sites.
pub const MEMORY_LIMIT_KIB: u64 = 160 * 1024;
/// Time within which callers notice that a connection has closed after its process has exited.
const CLOSE_DELAY: Millis = Millis(200);

/// Observations of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests as callers observed them.
    pub attempts: Vec<Attempt>,
    /// How often replicas executed each request, by id.
    pub executions: HashMap<String, usize>,
    /// Disruptions of nodes.
    pub disruptions: Vec<Disruption>,
    /// Periods in which the second API key was revoked.
    pub revocations: Vec<Revocation>,
    /// Peak memory of each node's last process, in KiB.
    pub peak_memory_kib: Vec<u64>,
}

/// Returns the violated guarantees.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in &history.attempts {
        history.check_attempt(attempt, &mut findings);
    }
    history.check_memory(&mut findings);
    findings
}

impl History {
    fn check_attempt(&self, attempt: &Attempt, findings: &mut Vec<Finding>) {
        let executions = self.executions.get(&attempt.id).copied().unwrap_or(0);
        let mut report = |rule| {
            findings.push(Finding::new(
                rule,
                format!("{attempt:?}, executed {executions} times"),
            ));
        };
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
        // A stream counts as served once its response head has arrived; its events may take longer.
        let has_deadline = attempt.kind != Kind::Stream || attempt.end == End::Silent;
        if has_deadline && attempt.ended.0 > latest && !self.was_unresponsive(attempt) {
            report(Rule::Deadline);
        }
    }

    fn check_memory(&self, findings: &mut Vec<Finding>) {
        for (node, peak) in self.peak_memory_kib.iter().enumerate() {
            if *peak > MEMORY_LIMIT_KIB {
                findings.push(Finding::new(Rule::Memory, format!("node {node} took {peak} KiB")));
            }
        }
    }

    /// Whether the key had been revoked for so long that every node must reject it.
    fn is_revoked(&self, attempt: &Attempt) -> bool {
        let is_in_force = |revocation: &Revocation| {
            revocation.from.0 + REVOCATION_LIMIT.0 <= attempt.sent.0 && attempt.ended.0 < revocation.to.0
        };
        attempt.key == Key::Second && self.revocations.iter().any(is_in_force)
    }

    /// Whether a disruption of the node allows a connection to close without a response.
    fn may_be_cut(&self, attempt: &Attempt, executions: usize) -> bool {
        self.overlapping(attempt)
            .any(|disruption| match disruption.cause {
                Cause::Killed | Cause::Impaired => true,
                // A node that is shutting down completes the requests that it has accepted.
                Cause::Terminated => executions == 0,
                Cause::Paused => false,
            })
    }

    /// Whether the node or the connection to it was disrupted in a way that may delay a response.
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

/// Whether a successful response is the replica's complete response to this request.
fn is_correct(attempt: &Attempt, response: &Response) -> bool {
    let seal = response.seal.as_deref().unwrap_or("");
    match (attempt.kind, response.body.as_deref()) {
        (Kind::Safe | Kind::Unsafe, Some(body)) => body == "done" && seal == format!("seal-{}", attempt.id),
        (Kind::Stream, Some(body)) => body == stream_body(1, STREAM_EVENTS) && seal.starts_with("seal-"),
        // Truncated, which the caller can detect.
        (_, None) => true,
    }
}
