//! Reading an endpoint's limits.

use super::cursor::Cursor;
use crate::Limits;

/// Largest number of requests in a limit.
const REQUESTS_MAX: u64 = 1_000_000;

/// Largest body, in bytes.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Longest time of a request, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// Most retries, in percent of requests.
const RETRY_MAX_PERCENT: u64 = 100;

pub fn read(cursor: &mut Cursor<'_>) -> Option<Limits> {
    let default = Limits::new(1, 1);
    let in_flight = cursor.number("in_flight", 1..=REQUESTS_MAX);
    let queue = cursor.number("queue", 1..=REQUESTS_MAX);
    let body_bytes = cursor.number_or("body_bytes", default.body_bytes, 1..=BODY_MAX_BYTES);
    let timeout_ms = cursor.number_or("timeout_ms", default.timeout_ms, 1..=TIMEOUT_MAX_MS);
    let retry_percent = cursor.number_or(
        "retry_percent",
        u64::from(default.retry_percent),
        0..=RETRY_MAX_PERCENT,
    );
    Some(Limits {
        in_flight: in_flight? as u32,
        queue: queue? as u32,
        body_bytes: body_bytes?,
        timeout_ms: timeout_ms?,
        retry_percent: retry_percent? as u32,
    })
}
