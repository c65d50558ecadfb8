//! Faults of a replica: engine or service.

use serde::{Deserialize, Serialize};

use super::{Regression, Trigger};

/// Status of a failure when none is set.
const DEFAULT_STATUS: u16 = 503;

/// The faults in force; a field left out is no fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each request runs, in milliseconds.
    pub slow_ms: u64,
    /// Span from now for which nothing runs and no byte is sent, in milliseconds.
    pub freeze_ms: u64,
    /// Span from now for which connections are cut and refused, in milliseconds; admin calls are refused too.
    pub refuse_ms: u64,
    /// Requests refused with 503, `Bilberrylatch-Outcome: not-run` and `Retry-After: 1`; they do not run.
    pub reject: Trigger,
    /// Requests that fail without having run, and without saying so.
    pub fail_before: Trigger,
    /// Requests that run and are then answered with the failure status.
    pub fail_after: Trigger,
    /// Status of failed requests.
    pub status: u16,
    /// Requests whose connection is reset before they run.
    pub reset_before: Trigger,
    /// Requests whose connection is reset after they have run.
    pub reset_after: Trigger,
    /// Answers that echo a dispatch id of no request.
    pub wrong_dispatch: Trigger,
    /// Requests that get the body and the dispatch id of the answer before.
    pub crossed: Trigger,
    /// Answers that come late by `late_ms`.
    pub late: Trigger,
    /// Delay of late answers, in milliseconds.
    pub late_ms: u64,
    /// Answers whose parts are sent twice: each event of a stream, or the whole body.
    pub duplicate: Trigger,
    /// Streams that end in good form without the terminal event; bodies shorter than their length.
    pub truncate: Trigger,
    /// Answers in the middle of which the connection is reset.
    pub cut: Trigger,
    /// The version that is served is bad.
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
