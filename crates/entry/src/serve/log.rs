//! Log lines and metrics of requests.

use std::fmt;

use base::Millis;
use http::StatusCode;
use place::{Echo, Refusal};
use quota::Denial;

use super::Reason;
use super::call::Call;
use super::target::Target;
use crate::Shared;

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct End<'a> {
    /// Outcome for the caller: the kind of response, or how the stream ended.
    pub outcome: &'a str,
    /// Status of the response.
    pub status: u16,
    /// The last replica.
    pub target: &'a Target,
    /// Number of replicas that the request was sent to.
    pub attempts: usize,
    /// Cause of the last failure, if any.
    pub cause: &'a str,
    /// Time from the request to its first event, for streams that started.
    pub first_event: Option<Millis>,
}

/// Logs a request that was not admitted.
pub(super) fn refused(shared: &Shared, id: &[u8], path: &str, reason: Reason) {
    let (version, age) = {
        let view = shared.view();
        let version = view.table.as_ref().map(|table| table.version());
        (version, view.freshness.age(shared.now()))
    };
    metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
    log::info!(
        id = str::from_utf8(id).unwrap_or(""),
        path,
        reason = reason.label(),
        status = reason.status().as_u16(),
        retry_after_ms = reason.retry_after().map_or(0, |it| it.0),
        configuration = version.unwrap_or(0),
        view_age_ms = age.map_or(-1, |it| it.0 as i64);
        "request refused"
    );
}

/// Logs a request refused because its workspace's limit is used up.
pub(super) fn over_limit(shared: &Shared, call: &Call, denial: &Denial, wait: Millis) {
    count_refusal(call, "over_limit", wait);
    log::info!(
        reason = "over_limit",
        class = call.class().label(),
        balance = denial.balance,
        report_age_ms = denial.report_age.map_or(-1, |it| it.0 as i64),
        id = call.id(),
        route:% = call.route().name,
        workspace = call.workspace().map_or("", |it| &it.name),
        tokens = call.token_cost(),
        rate = call.workspace().map_or(0.0, |it| it.rate),
        wait_ms = wait.0,
        connected = shared.is_connected();
        "limit used up"
    );
}

/// Logs a request refused because there is not enough capacity for it.
pub(super) fn no_capacity(shared: &Shared, call: &Call, refusal: Refusal, wait: Millis) {
    count_refusal(call, refusal.label(), wait);
    let occupancy = shared.with_pool(&call.endpoint, |pool| pool.occupancy(shared.now()));
    log::info!(
        id = call.id(),
        endpoint:% = call.endpoint,
        workspace = call.workspace().map_or("", |it| &it.name),
        reason = refusal.label(),
        class = call.class().label(),
        balance = 1.0 - occupancy.slots,
        report_age_ms = occupancy.report_age.map_or(-1, |it| it.0 as i64),
        wait_ms = wait.0,
        left_ms = call.time_left(shared.now()).0;
        "no capacity"
    );
}

/// Counts a refusal for want of tokens or capacity.
fn count_refusal(call: &Call, cause: &'static str, wait: Millis) {
    let class = call.class().label();
    metrics::counter!("bilberrylatch_class_refusals_total", "class" => class, "cause" => cause).increment(1);
    metrics::histogram!("bilberrylatch_retry_after_ms", "class" => class).record(wait.0 as f64);
}

/// Logs a request refused because it or parts of its prompt crash replicas.
pub(super) fn blocked(call: &Call, wait: Millis) {
    log::info!(
        id = call.id(),
        route:% = call.route().name,
        workspace = call.workspace().map_or("", |it| &it.name),
        content:% = Ids(call.content()),
        parts:% = Ids(call.suspects.parts()),
        wait_ms = wait.0;
        "request crashes replicas"
    );
}

/// Logs the end of an admitted request.
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
        replica:% = end.target.replica,
        through = end.target.through(),
        attempts = end.attempts,
        outcome = end.outcome,
        status = end.status,
        cause = end.cause,
        expected_ms = end.target.expected_wait.0,
        unread_tokens = end.target.prefill_tokens,
        spare = end.target.is_spare,
        view_age_ms = end.target.view_age.map_or(-1, |it| it.0 as i64),
        send_delay_ms = end.target.send_delay.get().map_or(-1, |it| it.0 as i64),
        first_event_ms = end.first_event.map_or(-1, |it| it.0 as i64),
        target_ms = call.route().target_latency.0,
        took_ms = took.0,
        left_ms = call.time_left(now).0,
        configuration = call.table.version();
        "request ended"
    );
}

/// A failed dispatch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failed<'a> {
    /// The replica.
    pub target: &'a Target,
    /// Why it failed.
    pub cause: &'a str,
    /// Time since the replica was sent the request, or sent its last event.
    pub silent: Millis,
    /// Why the request is not sent to another replica; `None` if it may be.
    pub denial: Option<place::Denial>,
}

/// Ids in hexadecimal, separated by commas.
struct Ids<'a>(&'a [u64]);

impl fmt::Display for Ids<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}

/// Logs a failed dispatch.
pub(super) fn dispatch_failed(shared: &Shared, call: &Call, failed: Failed<'_>) {
    let allowed = failed.denial.is_none();
    let in_force = shared.view().table.as_ref().map(|table| table.version());
    metrics::counter!("bilberrylatch_repeats_total", "allowed" => allowed.to_string()).increment(1);
    log::info!(
        id = call.id(),
        endpoint:% = call.endpoint,
        replica:% = failed.target.replica,
        through = failed.target.through(),
        cause = failed.cause,
        silent_ms = failed.silent.0,
        content:% = Ids(call.content()),
        parts:% = Ids(call.suspects.parts()),
        allowed,
        denied_by = failed.denial.map_or("", place::Denial::label),
        left_ms = call.time_left(shared.now()).0,
        configuration = call.table.version(),
        configuration_in_force = in_force.unwrap_or(0);
        "dispatch failed"
    );
}

/// Logs what becomes of a request whose replica is silent: it moves to another replica, or stays for a reason.
pub(super) fn silent(
    call: &Call,
    replica: &str,
    silent: Millis,
    successor: Result<&str, &str>,
    left: Millis,
) {
    let moves = successor.is_ok().to_string();
    metrics::counter!("bilberrylatch_silences_total", "moves" => moves).increment(1);
    log::info!(
        id = call.id(),
        endpoint:% = call.endpoint,
        replica,
        silent_ms = silent.0,
        successor = successor.unwrap_or(""),
        stays_for = successor.err().unwrap_or(""),
        left_ms = left.0;
        "replica silent"
    );
}

/// Logs a response that belongs to another request, or to none.
pub(super) fn foreign_response(call: &Call, target: &Target, echo: Echo, status: StatusCode) {
    let kind = match echo {
        Echo::Missing => "without_id",
        Echo::Own | Echo::Other => "other_id",
    };
    metrics::counter!("bilberrylatch_foreign_responses_total", "kind" => kind).increment(1);
    log::info!(id = call.id(), endpoint:% = call.endpoint, replica:% = target.replica, through = target.through(), kind,
        status = status.as_u16(); "response to another request");
}

/// Logs that a request is sent to a replica that named a rate limit.
pub(super) fn sent_to_limited_replica(call: &Call, replica: &str, per_s: f64, age: Millis, attempt: usize) {
    metrics::counter!("bilberrylatch_limited_replica_sends_total").increment(1);
    log::info!(id = call.id(), endpoint:% = call.endpoint, replica, per_s, limit_age_ms = age.0, attempt;
        "sent to a replica with a rate limit");
}

fn kind(call: &Call) -> &'static str {
    match call.route().kind {
        table::Kind::Safe => "safe",
        table::Kind::Unsafe => "unsafe",
        table::Kind::Stream { .. } => "stream",
    }
}

/// Records and returns the time from the request to its first event.
pub(super) fn first_event(shared: &Shared, call: &Call) -> Millis {
    let took = shared.now().since(call.received);
    metrics::histogram!("bilberrylatch_first_event_ms").record(took.0 as f64);
    took
}
