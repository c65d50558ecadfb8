//! Statistics shown in a report.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Statistics of a stream. Latencies are measured from the due time, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StreamStats {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Workspace of the callers.
    pub workspace: String,
    /// Finished arrivals.
    pub arrived: u64,
    /// Finished arrivals by result.
    pub ends: IndexMap<&'static str, u64>,
    /// Arrivals whose last call was refused, by reason.
    pub reasons: IndexMap<String, u64>,
    /// Average number of calls per arrival.
    pub calls: f64,
    /// Tokens received.
    pub tokens: u64,
    /// Latency to the first token or whole body, for answered arrivals.
    pub first: Percentiles,
    /// Latency to the end of the response, for answered arrivals.
    pub whole: Percentiles,
}

/// Percentiles of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Cost of the VMs of one class, zone and reclaimability.
#[derive(Clone, Debug, Serialize)]
pub struct CostStats {
    /// VM class.
    pub class: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the VMs are reclaimable.
    pub reclaimable: bool,
    /// Total running time in hours.
    pub hours: f64,
    /// Total price; none if the catalogue has no price.
    pub price: Option<f64>,
}

/// Statistics of an endpoint's arrivals that were due in one second.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Second of the run.
    pub second: u64,
    /// Endpoint.
    pub endpoint: String,
    /// Number of arrivals.
    pub arrived: u64,
    /// Arrivals answered.
    pub answered: u64,
    /// Arrivals that ended with any other result.
    pub failed: u64,
    /// 95th percentile of the latency to the first token or whole body, in milliseconds.
    pub p95_ms: f64,
    /// Number of answers by version, as `version=count` separated by spaces.
    pub versions: String,
}

impl Percentiles {
    /// Computes the percentiles of a histogram whose values are in microseconds.
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
