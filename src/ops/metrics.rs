use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of every histogram, in seconds.
const HISTOGRAM_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.2, 0.35, 0.5, 1.0, 5.0,
];

/// Handle of the recorder, once it is installed.
static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of this process; later calls change nothing.
pub fn install_metrics() {
    if HANDLE.get().is_some() {
        return;
    }
    let builder = PrometheusBuilder::new().set_buckets(&HISTOGRAM_BUCKETS);
    match builder.map(PrometheusBuilder::install_recorder) {
        Ok(Ok(handle)) => {
            HANDLE.set(handle).ok();
        }
        Ok(Err(error)) | Err(error) => log::warn!("metrics are not recorded: {error}"),
    }
}

/// Returns the metrics in the Prometheus text format; empty if no recorder is installed.
pub(crate) fn render_metrics() -> String {
    HANDLE
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

/// Merges recorded samples; called regularly so that memory stays bounded between scrapes.
pub(crate) fn run_metrics_upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}
