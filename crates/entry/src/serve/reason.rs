//! Answers of the node's own: what it refuses and why.

use base::Millis;
use http::{HeaderValue, Response, StatusCode, header};
use place::Refusal;
use serde_json::json;

use super::body::{self, Body};

/// Why the node answers itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// The head can't be decoded.
    BadHead,
    /// The body is larger than allowed, or was broken off.
    BadBody(StatusCode),
    /// The node's process is about to end.
    Leaving,
    /// The node knows no configuration yet.
    NoConfiguration,
    /// The node's view is too old to let API keys in.
    StaleView,
    /// No route takes the request.
    NoRoute,
    /// The API key is unknown.
    Denied,
    /// The workspace's limit is used up; there will be room after this time.
    OverLimit(Millis),
    /// No replica takes the request, and it was not run.
    NoReplica(Refusal),
    /// The replicas that it was sent to did not run it.
    NotRun(Millis),
    /// It may have run, and its answer is lost.
    Unknown,
    /// It has no answer in time, and it may have run.
    TimedOut,
}

/// When to come back to a node without a usable view: after its next try at the store, or to another node at once.
const VIEW_RETRY_AFTER: Millis = Millis(300);

impl Reason {
    /// Label in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadHead => "bad_head",
            Self::BadBody(_) => "bad_body",
            Self::Leaving => "leaving",
            Self::NoConfiguration => "no_configuration",
            Self::StaleView => "stale_view",
            Self::NoRoute => "no_route",
            Self::Denied => "denied",
            Self::OverLimit(_) => "over_limit",
            Self::NoReplica(refusal) => refusal.label(),
            Self::NotRun(_) => "not_run",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// Label of a stream that ended for this reason after its first event.
    pub const fn stream_label(self) -> &'static str {
        match self {
            Self::TimedOut => "stream_timed_out",
            _ => "stream_broken",
        }
    }

    /// Status of the answer. 503 and 429 are given only if the request did not run.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::BadBody(status) => status,
            Self::Leaving
            | Self::NoConfiguration
            | Self::StaleView
            | Self::NoReplica(_)
            | Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Denied => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller should come back, if that can help.
    pub const fn retry_after(self) -> Option<Millis> {
        match self {
            Self::Leaving => Some(Millis::ZERO),
            Self::NoConfiguration | Self::StaleView => Some(VIEW_RETRY_AFTER),
            Self::OverLimit(wait) | Self::NotRun(wait) => Some(wait),
            Self::NoReplica(refusal) => Some(refusal.retry_after()),
            Self::BadHead
            | Self::BadBody(_)
            | Self::NoRoute
            | Self::Denied
            | Self::Unknown
            | Self::TimedOut => None,
        }
    }

    /// The answer.
    pub fn response(self) -> Response<Body> {
        let text = json!({ "reason": self.label() }).to_string();
        let mut response = Response::new(body::full(text.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.3}", wait.as_duration().as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
