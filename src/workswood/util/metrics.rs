//! Metrics of the `entry` process, and functions to register metrics.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Bucket bounds for the response times of urgent requests, in seconds.
const URGENT_BUCKETS_S: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metrics of one `entry` process. `docs/OPERATIONS.md` lists them.
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and result.
    pub requests: IntCounterVec,
    /// Time from the arrival of an urgent request to its response, in seconds.
    pub urgent_seconds: Histogram,
    /// Requests sent to endpoints.
    pub endpoint_requests: IntCounter,
    /// Requests sent to an endpoint again.
    pub retries: IntCounter,
    /// Slots borrowed from other entries.
    pub borrowed_slots: IntCounter,
    /// Envelopes appended to the log.
    pub appends: IntCounter,
    /// Records in those envelopes.
    pub appended_records: IntCounter,
    /// Appends that were retried because no response came.
    pub append_retries: IntCounter,
    /// Envelopes folded.
    pub folded_envelopes: IntCounter,
    /// Actions on the platform.
    pub platform_actions: IntCounter,
    /// Offset of the next envelope to fold.
    pub next_offset: IntGauge,
    /// Invariant checks that failed.
    pub failed_invariants: IntGauge,
    /// Log lines dropped because the queue was full.
    pub dropped_log_lines: IntGauge,
}

pub(super) fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let c = IntCounter::with_opts(Opts::new(name, help)).expect("metric names are constants");
    registry.register(Box::new(c.clone())).expect("each metric is registered once");
    c
}

pub(super) fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let g = IntGauge::with_opts(Opts::new(name, help)).expect("metric names are constants");
    registry.register(Box::new(g.clone())).expect("each metric is registered once");
    g
}

pub(super) fn register_gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntGaugeVec {
    let g = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric names are constants");
    registry.register(Box::new(g.clone())).expect("each metric is registered once");
    g
}

pub(super) fn register_counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let c = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are constants");
    registry.register(Box::new(c.clone())).expect("each metric is registered once");
    c
}

pub(super) fn register_histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let h = Histogram::with_opts(opts).expect("metric names are constants");
    registry.register(Box::new(h.clone())).expect("each metric is registered once");
    h
}

pub(super) fn register_histogram_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
    labels: &[&str],
) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let h = HistogramVec::new(opts, labels).expect("metric names are constants");
    registry.register(Box::new(h.clone())).expect("each metric is registered once");
    h
}

/// All metrics of a registry in the Prometheus text format.
pub(super) fn encode(registry: &Registry) -> String {
    let mut buf = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buf) {
        Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
        Err(e) => format!("# metrics can't be encoded: {e}\n"),
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        Metrics {
            requests: register_counter_vec(
                &registry,
                "workswood_requests_total",
                "requests by service, class and result",
                &["service", "class", "result"],
            ),
            urgent_seconds: register_histogram(
                &registry,
                "workswood_urgent_seconds",
                "time to respond to urgent requests",
                &URGENT_BUCKETS_S,
            ),
            endpoint_requests: register_counter(
                &registry,
                "workswood_sends_total",
                "requests sent to endpoints",
            ),
            retries: register_counter(
                &registry,
                "workswood_retries_total",
                "requests sent to an endpoint again",
            ),
            borrowed_slots: register_counter(
                &registry,
                "workswood_loans_total",
                "slots borrowed from other entries",
            ),
            appends: register_counter(&registry, "workswood_appends_total", "envelopes appended"),
            appended_records: register_counter(&registry, "workswood_records_total", "records appended"),
            append_retries: register_counter(&registry, "workswood_append_retries_total", "appends retried"),
            folded_envelopes: register_counter(&registry, "workswood_folded_total", "envelopes folded"),
            platform_actions: register_counter(&registry, "workswood_acts_total", "actions on the platform"),
            next_offset: register_gauge(
                &registry,
                "workswood_next_offset",
                "offset of the next envelope to fold",
            ),
            failed_invariants: register_gauge(
                &registry,
                "workswood_invariants_broken",
                "invariant checks that failed",
            ),
            dropped_log_lines: register_gauge(
                &registry,
                "workswood_log_lines_dropped",
                "log lines dropped because the queue was full",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        encode(&self.registry)
    }
}
