//! Rows of a report.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Figures of a stream; latencies in milliseconds from the due time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StreamStats {
    /// Endpoint asked for.
    pub endpoint: String,
    /// Workspace of the callers.
    pub workspace: String,
    /// Arrivals that ended.
    pub arrived: u64,
    /// By end.
    pub ends: IndexMap<&'static str, u64>,
    /// Last refusals by reason.
    pub reasons: IndexMap<String, u64>,
    /// Calls for each arrival.
    pub calls: f64,
    /// Tokens received.
    pub tokens: u64,
    /// Latency of the first token or whole body of answered arrivals.
    pub first: Percentiles,
    /// Latency of the end of answered arrivals.
    pub whole: Percentiles,
}

/// Points of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// Cost of the VMs of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct CostStats {
    /// Class.
    pub class: String,
    /// Availability zone.
    pub zone: String,
    /// Whether reclaimable.
    pub reclaimable: bool,
    /// Hours of all VMs of the kind.
    pub hours: f64,
    /// Price of these hours; none if the catalogue has no price.
    pub price: Option<f64>,
}

/// One second of arrivals of an endpoint, by due time.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Second of the run.
    pub second: u64,
    /// Endpoint.
    pub endpoint: String,
    /// Arrivals due.
    pub arrived: u64,
    /// Answered.
    pub answered: u64,
    /// Ended as not run, unreached, unknown or lost.
    pub failed: u64,
    /// 95th percentile of the first token or whole body, in milliseconds.
    pub p95_ms: f64,
    /// Answers by version, as `version=count` separated by spaces.
    pub versions: String,
}

impl Percentiles {
    /// The points of a histogram in microseconds.
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1_000.0;
        Self {
            p50: ms(histogram.value_at_quantile(0.5)),
            p95: ms(histogram.value_at_quantile(0.95)),
            p99: ms(histogram.value_at_quantile(0.99)),
            max: ms(histogram.max()),
        }
    }
}
