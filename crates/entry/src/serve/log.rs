//! One log line for each request, and its metrics.

use base::Millis;

use super::Reason;
use super::call::Call;
use crate::Shared;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End<'a> {
    /// What the caller got: a status, or how a stream ended.
    pub outcome: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// Id of the last replica.
    pub replica: &'a str,
    /// Replicas that it was sent to.
    pub attempts: usize,
    /// What went wrong last, if anything.
    pub cause: &'a str,
}

/// A request that was not let in.
pub(super) fn refused(shared: &Shared, id: &[u8], path: &str, reason: Reason) {
    let (version, age) = {
        let view = shared.view();
        let version = view.table.as_ref().map(|table| table.version());
        (version, view.proof.age(shared.now()))
    };
    metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
    log::info!(
        id = str::from_utf8(id).unwrap_or(""),
        path,
        reason = reason.label(),
        status = reason.status().as_u16(),
        retry_after_ms:? = reason.retry_after().map(|it| it.0),
        configuration:? = version,
        view_age_ms:? = age.map(|it| it.0);
        "request refused"
    );
}

/// A request that was let in has ended.
pub(super) fn ended(shared: &Shared, call: &Call, end: End<'_>) {
    let now = shared.now();
    let took = now.since(call.received);
    let route = &call.route().name;
    metrics::counter!("bilberrylatch_requests_total", "outcome" => end.outcome.to_owned()).increment(1);
    metrics::histogram!("bilberrylatch_request_ms", "kind" => kind(call)).record(took.0 as f64);
    log::info!(
        id = call.id(),
        route:% = route,
        endpoint:% = call.endpoint,
        workspace = call.workspace().map_or("", |it| &it.name),
        replica = end.replica,
        attempts = end.attempts,
        outcome = end.outcome,
        status = end.status,
        cause = end.cause,
        took_ms = took.0,
        left_ms = call.left(now).0,
        configuration = call.table.version();
        "request ended"
    );
}

/// A request is sent to another replica.
pub(super) fn repeated(shared: &Shared, call: &Call, replica: &str, cause: &str, allowed: bool) {
    metrics::counter!("bilberrylatch_repeats_total", "allowed" => allowed.to_string()).increment(1);
    log::info!(
        id = call.id(),
        endpoint:% = call.endpoint,
        replica,
        cause,
        allowed,
        left_ms = call.left(shared.now()).0;
        "dispatch failed"
    );
}

fn kind(call: &Call) -> &'static str {
    match call.route().kind {
        table::Kind::Safe => "safe",
        table::Kind::Unsafe => "unsafe",
        table::Kind::Stream { .. } => "stream",
    }
}

/// Time from the request until its first event.
pub(super) fn first_event(shared: &Shared, call: &Call) -> Millis {
    let took = shared.now().since(call.received);
    metrics::histogram!("bilberrylatch_first_event_ms").record(took.0 as f64);
    took
}
