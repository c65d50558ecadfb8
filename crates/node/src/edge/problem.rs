//! Refusals as problem details (RFC 9457), with an outcome and `Retry-After`.

use std::borrow::Cow;

use axum::response::{IntoResponse, Response};
use base::{Millis, Outcome};
use http::{HeaderValue, StatusCode, header};
use route::Refusal;
use route::refusal::Reason;
use serde::Serialize;

use crate::dispatch::header::OUTCOME;

/// Prefix of problem types.
const TYPE_PREFIX: &str = "https://bilberrylatch.example/problems/";

/// Media type of problem details.
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// A refusal as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Label of the reason, also used by the refusal counter.
    pub label: Cow<'static, str>,
    /// Description of the problem and what to do about it.
    pub detail: String,
    /// Whether the request ran, as far as the caller may conclude.
    pub outcome: Outcome,
    /// When to retry; `None` if a retry won't help.
    pub retry_after: Option<Millis>,
}

/// Body of the response.
#[derive(Debug, Serialize)]
struct Body<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Refusal of a request that did not run, without a retry time.
    pub fn new<L, D>(status: StatusCode, label: L, detail: D) -> Self
    where
        L: Into<Cow<'static, str>>,
        D: Into<String>,
    {
        let outcome = Outcome::NotRun;
        Self {
            status,
            label: label.into(),
            detail: detail.into(),
            outcome,
            retry_after: None,
        }
    }

    /// Sets the outcome.
    pub const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the retry time.
    pub const fn with_retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Converts a refusal of the router.
    pub fn from_refusal(refusal: Refusal) -> Self {
        let reason = refusal.reason;
        let problem =
            Self::new(status(reason), reason.as_str(), detail(reason)).with_outcome(refusal.outcome);
        match refusal.retry_after {
            Some(span) => problem.with_retry_after(span),
            None => problem,
        }
    }

    /// Converts a refusal of the claims actor.
    pub fn from_claim(reason: claim::Reason) -> Self {
        const RETRY_AFTER: Millis = Millis::from_secs(1);
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let problem = Self::new(status, reason.label(), reason.to_string()).with_outcome(reason.outcome());
        if reason.is_retryable() {
            problem.with_retry_after(RETRY_AFTER)
        } else {
            problem
        }
    }

    /// Refusal while the node is stopping.
    pub fn stopping() -> Self {
        const RETRY_IMMEDIATELY: Millis = Millis(1);
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "node-stopping",
            "this node is stopping; look the addresses up again and send the request to another node",
        )
        .with_retry_after(RETRY_IMMEDIATELY)
    }

    /// Encodes the body as JSON.
    pub fn to_json(&self) -> String {
        let body = Body {
            r#type: format!("{TYPE_PREFIX}{}", self.label),
            title: &self.label,
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|span| span.0),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Counts the refusal. Refusals of the router and the claims actor are counted where they are decided.
    pub fn counted(self) -> Self {
        metrics::counter!("bilberrylatch_refusals_total", "reason" => self.label.clone()).increment(1);
        self
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut response = (self.status, self.to_json()).into_response();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, MEDIA_TYPE);
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(span) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(span.as_secs_ceil()));
        }
        response
    }
}

const fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoEndpoint | Reason::NoWorkspace => StatusCode::NOT_FOUND,
        Reason::WorkspaceLimit | Reason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        Reason::NoReplica | Reason::Overloaded | Reason::DeadlineUnmet => StatusCode::SERVICE_UNAVAILABLE,
        Reason::AttemptsExhausted | Reason::MayHaveRun => StatusCode::BAD_GATEWAY,
    }
}

const fn detail(reason: Reason) -> &'static str {
    match reason {
        Reason::NoEndpoint => "the endpoint is not in the catalogue",
        Reason::NoWorkspace => "the workspace may not use this endpoint",
        Reason::NoReplica => "no replica of the endpoint takes new work now; come back later",
        Reason::Overloaded => "the endpoint's queue is full; come back later",
        Reason::DeadlineUnmet => "the answer would not begin in time; come back later",
        Reason::WorkspaceLimit => "the workspace is at its limit; wait for its other requests",
        Reason::RetryBudget => "the request failed and no more retries are allowed now; come back later",
        Reason::AttemptsExhausted => "the request failed at every replica that was tried; come back later",
        Reason::MayHaveRun => "the request may have run; it will not be run again",
    }
}
