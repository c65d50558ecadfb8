//! Metrics in the Prometheus text form.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// One recorder a process; a demo runs several nodes under it.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once.
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
