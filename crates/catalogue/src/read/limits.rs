//! Reads the limits of an endpoint.

use super::reader::Reader;
use crate::Limits;

/// Maximum of a limit on a number of requests.
const MAX_REQUESTS: u64 = 1_000_000;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Maximum number of retries, as a percentage of requests.
const MAX_RETRY_PERCENT: u64 = 100;

pub fn read(reader: &mut Reader<'_>) -> Option<Limits> {
    let default = Limits::new(1, 1);
    let in_flight = reader.number("in_flight", 1..=MAX_REQUESTS);
    let queue = reader.number("queue", 1..=MAX_REQUESTS);
    let body_bytes = reader.number_or("body_bytes", default.body_bytes, 1..=MAX_BODY_BYTES);
    let timeout_ms = reader.number_or("timeout_ms", default.timeout_ms, 1..=MAX_TIMEOUT_MS);
    let retry_percent = reader.number_or(
        "retry_percent",
        u64::from(default.retry_percent),
        0..=MAX_RETRY_PERCENT,
    );
    Some(Limits {
        in_flight: in_flight? as u32,
        queue: queue? as u32,
        body_bytes: body_bytes?,
        timeout_ms: timeout_ms?,
        retry_percent: retry_percent? as u32,
    })
}
