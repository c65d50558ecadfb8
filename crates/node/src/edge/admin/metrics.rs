//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The recorder is shared by the process, as the demo runs several nodes in one.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder on the first call.
pub fn install() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// `GET /metrics`.
pub async fn render() -> String {
    HANDLE
        .get()
        .and_then(Option::as_ref)
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
