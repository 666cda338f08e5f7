//! Metrics of one process.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bounds of the times of urgent requests, in seconds: from a call within a data
/// centre to several seconds.
const URGENT_SECONDS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// All metrics; the names are the ones in `docs/OPERATIONS.md`.
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and result.
    pub requests: IntCounterVec,
    /// Time from arrival to answer of urgent requests, in seconds.
    pub urgent_seconds: Histogram,
    /// Requests sent to endpoints.
    pub sends: IntCounter,
    /// Requests sent again.
    pub retries: IntCounter,
    /// Slots borrowed from peers.
    pub loans: IntCounter,
    /// Envelopes appended to the log.
    pub appends: IntCounter,
    /// Records in those envelopes.
    pub records: IntCounter,
    /// Appends that were sent again because no answer came.
    pub append_retries: IntCounter,
    /// Envelopes folded.
    pub folded: IntCounter,
    /// Acts on the platform.
    pub acts: IntCounter,
    /// Next offset to fold.
    pub next: IntGauge,
    /// Broken invariants.
    pub broken: IntGauge,
    /// Log lines dropped.
    pub lines_dropped: IntGauge,
}

pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let c = IntCounter::with_opts(Opts::new(name, help)).expect("metric names are constants");
    registry.register(Box::new(c.clone())).expect("each metric is registered once");
    c
}

pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let g = IntGauge::with_opts(Opts::new(name, help)).expect("metric names are constants");
    registry.register(Box::new(g.clone())).expect("each metric is registered once");
    g
}

pub(super) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let g = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric names are constants");
    registry.register(Box::new(g.clone())).expect("each metric is registered once");
    g
}

pub(super) fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let c = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are constants");
    registry.register(Box::new(c.clone())).expect("each metric is registered once");
    c
}

pub(super) fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let h = Histogram::with_opts(opts).expect("metric names are constants");
    registry.register(Box::new(h.clone())).expect("each metric is registered once");
    h
}

/// All metrics of a registry as text.
pub(super) fn text(registry: &Registry) -> String {
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
            requests: counters(
                &registry,
                "workswood_requests_total",
                "requests by service, class and result",
                &["service", "class", "result"],
            ),
            urgent_seconds: histogram(
                &registry,
                "workswood_urgent_seconds",
                "time to answer urgent requests",
                &URGENT_SECONDS,
            ),
            sends: counter(&registry, "workswood_sends_total", "requests sent to endpoints"),
            retries: counter(&registry, "workswood_retries_total", "requests sent again"),
            loans: counter(&registry, "workswood_loans_total", "slots borrowed from peers"),
            appends: counter(&registry, "workswood_appends_total", "envelopes appended"),
            records: counter(&registry, "workswood_records_total", "records appended"),
            append_retries: counter(&registry, "workswood_append_retries_total", "appends sent again"),
            folded: counter(&registry, "workswood_folded_total", "envelopes folded"),
            acts: counter(&registry, "workswood_acts_total", "acts on the platform"),
            next: gauge(&registry, "workswood_next_offset", "next offset to fold"),
            broken: gauge(&registry, "workswood_invariants_broken", "broken invariants"),
            lines_dropped: gauge(&registry, "workswood_log_lines_dropped", "log lines dropped"),
            registry,
        }
    }
}

impl Metrics {
    /// All metrics as text.
    pub fn text(&self) -> String {
        text(&self.registry)
    }
}
