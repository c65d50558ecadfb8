//! Faults of a replica, which is an engine or a service.

use serde::{Deserialize, Serialize};

use super::{Regression, Trigger};

/// Default HTTP status of failed requests.
const DEFAULT_STATUS: u16 = 503;

/// Active faults. An omitted field disables its fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each request runs, in milliseconds.
    pub slow_ms: u64,
    /// Time from now during which nothing runs and no data is sent, in milliseconds.
    pub freeze_ms: u64,
    /// Time from now during which connections are reset and refused, including those of admin calls, in milliseconds.
    pub refuse_ms: u64,
    /// Requests rejected without running, with 503, `Bilberrylatch-Outcome: not-run` and `Retry-After: 1`.
    pub reject: Trigger,
    /// Requests that fail without running and without `Bilberrylatch-Outcome`.
    pub fail_before: Trigger,
    /// Requests that run and then fail with `status`.
    pub fail_after: Trigger,
    /// HTTP status of failed requests.
    pub status: u16,
    /// Requests whose connection is reset before they run.
    pub reset_before: Trigger,
    /// Requests whose connection is reset after they have run.
    pub reset_after: Trigger,
    /// Responses that echo a dispatch id that belongs to no request.
    pub wrong_dispatch: Trigger,
    /// Requests that receive the body and the dispatch id of the previous response.
    pub crossed: Trigger,
    /// Responses delayed by `late_ms`.
    pub late: Trigger,
    /// Delay of late responses, in milliseconds.
    pub late_ms: u64,
    /// Responses whose parts are sent twice: each event of a stream, or the entire body.
    pub duplicate: Trigger,
    /// Streams that end cleanly without the terminal event, and bodies shorter than their `Content-Length`.
    pub truncate: Trigger,
    /// Responses during which the connection is reset.
    pub cut: Trigger,
    /// Regression of the served version.
    #[serde(rename = "bad")]
    pub regression: Option<Regression>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_ms: 0,
            freeze_ms: 0,
            refuse_ms: 0,
            reject: Trigger::default(),
            fail_before: Trigger::default(),
            fail_after: Trigger::default(),
            status: DEFAULT_STATUS,
            reset_before: Trigger::default(),
            reset_after: Trigger::default(),
            wrong_dispatch: Trigger::default(),
            crossed: Trigger::default(),
            late: Trigger::default(),
            late_ms: 0,
            duplicate: Trigger::default(),
            truncate: Trigger::default(),
            cut: Trigger::default(),
            regression: None,
        }
    }
}
