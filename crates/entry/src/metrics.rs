//! Counters, gauges and histograms, exposed as text on the metrics address.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::Error;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0,
];

/// Installs the global metrics recorder.
pub fn install() -> Result<PrometheusHandle, Error> {
    let failed = |error: metrics_exporter_prometheus::BuildError| Error::Setup(format!("metrics: {error}"));
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_ms".to_owned()), &LATENCY_BUCKETS_MS)
        .map_err(failed)?
        .install_recorder()
        .map_err(failed)
}
