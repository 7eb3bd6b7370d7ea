use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.2, 0.35, 0.5, 1.0, 5.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of metrics for this process; later calls change nothing.
pub fn install_metrics() {
    if HANDLE.get().is_some() {
        return;
    }
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_SECONDS);
    match builder.map(PrometheusBuilder::install_recorder) {
        Ok(Ok(handle)) => {
            HANDLE.set(handle).ok();
        }
        Ok(Err(error)) | Err(error) => log::warn!("no metrics: {error}"),
    }
}

/// Returns the metrics in the Prometheus text format.
pub(crate) fn render_metrics() -> String {
    HANDLE
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

/// Merges recorded samples, so that memory stays bounded between scrapes.
pub(crate) fn run_metrics_upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}
