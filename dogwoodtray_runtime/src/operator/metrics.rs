//! Metrics of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: OnceLock<MetricsHandle> = OnceLock::new();

/// Handle that renders the metrics of the process.
#[derive(Clone, Debug)]
pub struct MetricsHandle {
    inner: Option<PrometheusHandle>,
}

impl MetricsHandle {
    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.inner.as_ref().map(PrometheusHandle::render).unwrap_or_default()
    }

    /// Aggregates the recorded histogram samples. Without this call they use memory until the
    /// metrics are rendered, which may never happen.
    pub fn run_upkeep(&self) {
        if let Some(handle) = &self.inner {
            handle.run_upkeep();
        }
    }
}

/// Installs the metrics recorder of the process on the first call and returns its handle.
///
/// Metrics stay empty if another recorder was installed first.
pub fn install_metrics() -> MetricsHandle {
    HANDLE
        .get_or_init(|| MetricsHandle { inner: PrometheusBuilder::new().install_recorder().ok() })
        .clone()
}
