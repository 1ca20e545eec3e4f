//! Metrics in the text form of Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The upper bounds of histograms of seconds.
const SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.6, 3.0, 10.0, 60.0,
];

/// The upper bounds of histograms of the ratio of a time to its estimate.
const RATIOS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.33, 2.0, 4.0, 10.0];

/// Installs the recorder of this process. Later calls do nothing.
pub fn install_metrics() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&SECONDS).ok()?;
        let ratios = Matcher::Suffix("_ratio".to_owned());
        let builder = builder.set_buckets_for_metric(ratios, &RATIOS).ok()?;
        builder.install_recorder().ok()
    });
}

/// Renders all metrics; empty if no recorder was installed.
pub fn render_metrics() -> String {
    match HANDLE.get() {
        Some(Some(handle)) => handle.render(),
        _ => String::new(),
    }
}

/// Does the recorder's upkeep. Call it every few seconds.
pub fn run_upkeep() {
    if let Some(Some(handle)) = HANDLE.get() {
        handle.run_upkeep();
    }
}
