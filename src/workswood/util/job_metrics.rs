//! Metrics of a process that queues and runs jobs. The names are the ones in
//! `docs/OPERATIONS.md`.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};
use workswood_core::invariant;
use workswood_traffic::Traffic;

use super::logs;
use super::metrics::{counter, counters, gauge, gauges, histogram, text};

/// Bounds of the histograms, in seconds: from one store call to the longest
/// wait of a caller.
const SECONDS: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0];

/// Metrics of one process.
pub struct JobMetrics {
    registry: Registry,
    /// Jobs handed in, by what came of it: `accepted`, `refused`, `unknown`.
    pub handed_in: IntCounterVec,
    /// Time from a job's arrival to its answer, in seconds.
    pub hand_in_seconds: Histogram,
    /// Questions for the state of a job, by answer: `known`, `unknown`, `unreachable`.
    pub asked: IntCounterVec,
    /// Calls refused for their key, by reason: `missing`, `unknown`.
    pub keys_refused: IntCounterVec,
    /// What workspaces have at work as a share of their limits, in percent: the largest.
    pub fullest_workspace: IntGauge,
    /// Workspaces that have something at work.
    pub workspaces_at_work: IntGauge,
    /// Starts of tasks, by outcome.
    pub starts: IntCounterVec,
    /// Workers that this process attends for a lease holder elsewhere.
    pub relayed_workers: IntGauge,
    /// Hosts that attend workers for this process.
    pub relays: IntGauge,
    /// Calls to the adviser, by outcome.
    pub advice: IntCounterVec,
    /// Time from closing a batch of the scheduler to its being stored, in seconds.
    pub batch_seconds: Histogram,
    /// Terms of the scheduler lease that began here.
    pub terms: IntCounter,
    /// Whether this process runs the scheduler.
    pub leading: IntGauge,
    /// Term of the lease as last read.
    pub lease_term: IntGauge,
    /// Version of the configuration in force here.
    pub config_version: IntGauge,
    /// Data centres that are being evacuated, as this process knows.
    pub evacuated: IntGauge,
    /// How long ago the store last answered, in milliseconds.
    pub store_silence_ms: IntGauge,
    /// Connections that were found half-open.
    pub half_open: IntGauge,
    /// How long this process has stood still, in milliseconds, while it led or relayed.
    pub stood_still_ms: IntGauge,
    /// Lives of workers that were over while something ran there, in this term.
    pub lives_lost: IntGauge,
    /// Runs that were lost with them.
    pub runs_lost: IntGauge,
    /// Tasks that were given up since their workers crash.
    pub given_up: IntGauge,
    /// Bytes over the link, by purpose and direction.
    bytes: IntGaugeVec,
    /// Calls and messages over the link, by purpose.
    calls: IntGaugeVec,
    broken: IntGauge,
    lines_dropped: IntGauge,
}

impl Default for JobMetrics {
    fn default() -> JobMetrics {
        let r = Registry::new();
        JobMetrics {
            handed_in: counters(
                &r,
                "workswood_jobs_handed_in_total",
                "jobs handed in, by result",
                &["result"],
            ),
            hand_in_seconds: histogram(
                &r,
                "workswood_hand_in_seconds",
                "time to answer a job handed in",
                &SECONDS,
            ),
            asked: counters(
                &r,
                "workswood_jobs_asked_total",
                "questions for the state of a job",
                &["result"],
            ),
            keys_refused: counters(
                &r,
                "workswood_keys_refused_total",
                "calls refused for their key, by reason",
                &["reason"],
            ),
            fullest_workspace: gauge(
                &r,
                "workswood_fullest_workspace_percent",
                "largest share of its limit that a workspace has at work",
            ),
            workspaces_at_work: gauge(
                &r,
                "workswood_workspaces_at_work",
                "workspaces that have something at work",
            ),
            starts: counters(&r, "workswood_task_starts_total", "starts of tasks, by outcome", &["outcome"]),
            batch_seconds: histogram(
                &r,
                "workswood_batch_seconds",
                "time to store a batch of the scheduler",
                &SECONDS,
            ),
            advice: counters(
                &r,
                "workswood_advice_calls_total",
                "calls to the adviser, by outcome",
                &["outcome"],
            ),
            terms: counter(&r, "workswood_lease_terms_total", "terms of the lease that began here"),
            relayed_workers: gauge(
                &r,
                "workswood_relayed_workers",
                "workers attended for a lease holder elsewhere",
            ),
            relays: gauge(&r, "workswood_relays", "hosts that attend workers for this one"),
            leading: gauge(&r, "workswood_leading", "1 while the scheduler runs here"),
            lease_term: gauge(&r, "workswood_lease_term", "term of the lease as last read"),
            config_version: gauge(&r, "workswood_config_version", "version in force here"),
            evacuated: gauge(&r, "workswood_evacuated_data_centres", "data centres where nothing begins"),
            store_silence_ms: gauge(&r, "workswood_store_silence_ms", "time since the store answered"),
            half_open: gauge(
                &r,
                "workswood_connections_half_open",
                "connections found half-open since the start",
            ),
            stood_still_ms: gauge(
                &r,
                "workswood_stood_still_ms",
                "time in which this process stood still while it led or relayed",
            ),
            lives_lost: gauge(
                &r,
                "workswood_worker_lives_lost",
                "workers that were lost with what ran there, in this term",
            ),
            runs_lost: gauge(
                &r,
                "workswood_runs_lost",
                "runs that were lost with their worker, in this term",
            ),
            given_up: gauge(
                &r,
                "workswood_tasks_given_up",
                "tasks that were given up since their workers crash, in this term",
            ),
            bytes: gauges(
                &r,
                "workswood_link_bytes",
                "bytes over the link since the start, without heads of lower layers",
                &["purpose", "direction"],
            ),
            calls: gauges(
                &r,
                "workswood_link_calls",
                "calls and messages over the link since the start",
                &["purpose"],
            ),
            broken: gauge(&r, "workswood_invariants_broken", "broken invariants"),
            lines_dropped: gauge(&r, "workswood_log_lines_dropped", "log lines dropped"),
            registry: r,
        }
    }
}

impl JobMetrics {
    /// Takes in what went over the link so far.
    pub fn set_traffic(&self, traffic: &Traffic) {
        for (purpose, amount) in traffic.totals() {
            self.bytes.with_label_values(&[purpose, "sent"]).set(amount.sent as i64);
            self.bytes.with_label_values(&[purpose, "received"]).set(amount.received as i64);
            self.calls.with_label_values(&[purpose]).set(amount.count as i64);
        }
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        self.broken.set(invariant::failed_checks() as i64);
        self.lines_dropped.set(logs::dropped() as i64);
        text(&self.registry)
    }
}
