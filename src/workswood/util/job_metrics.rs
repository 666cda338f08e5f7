//! Metrics of the `jobs` process. `docs/OPERATIONS.md` lists them.

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};
use workswood_callers::{ConnectionTable, Loss};
use workswood_core::invariant;
use workswood_core::jobs::EndedAbsence;
use workswood_core::jobs::crash_history::Certainty;
use workswood_core::jobs::crash_log::certainty_label;
use workswood_core::jobs::scheduler::SchedulerCounters;
use workswood_traffic::Traffic;

use super::logs;
use super::metrics::{
    encode, register_counter, register_counter_vec, register_gauge, register_gauge_vec, register_histogram,
    register_histogram_vec,
};

/// Bucket bounds of the histograms, in seconds: from one call to the store to the longest wait of
/// a caller.
const BUCKETS_S: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0];

/// Bucket bounds of the absences of long-running tasks, in seconds: finer around the restart deadline.
const ABSENCE_BUCKETS_S: [f64; 14] =
    [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 15.0, 30.0, 60.0];

/// Metrics of one `jobs` process.
pub struct JobMetrics {
    registry: Registry,
    /// Jobs that callers submitted, by result: `accepted`, `refused`, `unknown`.
    pub submissions: IntCounterVec,
    /// Time from the arrival of a job to the response to its caller, in seconds.
    pub submission_seconds: Histogram,
    /// Queries for the status of a job, by result: `known`, `unknown`, `unreachable`.
    pub status_queries: IntCounterVec,
    /// Calls rejected for their API key, by reason: `missing`, `unknown`.
    pub rejected_keys: IntCounterVec,
    /// Largest share of its limit that a workspace uses, in percent.
    pub max_workspace_usage_percent: IntGauge,
    /// Workspaces that use resources.
    pub active_workspaces: IntGauge,
    /// Start orders for tasks, by outcome.
    pub task_starts: IntCounterVec,
    /// Time that orders to workers waited in the relay before they were sent, in seconds, by order:
    /// `start`, `stop`, `throttle`.
    pub order_wait_seconds: HistogramVec,
    /// Polls before a start, to make sure that the worker has not restarted, by outcome.
    pub incarnation_checks: IntCounterVec,
    /// Answers to polls that may lack ends.
    pub partial_end_lists: IntCounter,
    /// Workers that this process relays for a lease holder in another process.
    pub relayed_workers: IntGauge,
    /// Other entries that relay workers for this lease holder.
    pub active_relays: IntGauge,
    /// Calls to the adviser, by outcome.
    pub advice_calls: IntCounterVec,
    /// Time to store a batch of the scheduler's records, in seconds.
    pub batch_seconds: Histogram,
    /// Records of the state and the inbox that the store has refused for good, by kind: `job`, `checkpoint`, `inbox`, `other`.
    pub refused_records: IntCounterVec,
    /// Time for which events, a tick or a batch keep the scheduler from anything else.
    pub pass_seconds: Histogram,
    /// Terms of the scheduler lease that this process has started.
    pub lease_terms: IntCounter,
    /// Calls to the store that peers made for this lease holder.
    pub store_calls_through_peers: IntCounter,
    /// Calls to the store that this process made for a lease holder in another process.
    pub store_calls_for_peers: IntCounter,
    /// Calls to the store that this process could not make for a lease holder in another process.
    pub refused_store_calls: IntCounter,
    /// Whether this process runs the scheduler.
    pub leading: IntGauge,
    /// Term of the lease as last read.
    pub lease_term: IntGauge,
    /// Version of the configuration that this process uses.
    pub config_version: IntGauge,
    /// Data centres that are evacuated, as known to this process.
    pub evacuated_data_centres: IntGauge,
    /// Data centres that this process reaches through a bridge.
    pub bridged_data_centres: IntGauge,
    /// Calls passed on for entries that can't reach the called one, by outcome.
    pub passed_on_calls: IntCounterVec,
    /// How long ago the store last answered, in milliseconds.
    pub store_silence_ms: IntGauge,
    /// Connections that were found half-open.
    pub half_open_connections: IntGauge,
    /// For how long this process was stalled while it led or relayed, in milliseconds.
    pub stalled_ms: IntGauge,
    /// Incarnations of workers that ended while tasks ran there, in this term.
    pub lost_workers: IntGauge,
    /// Task runs that were lost with their workers, in this term.
    pub lost_runs: IntGauge,
    /// Whether the store takes no records from this lease holder.
    pub store_away: IntGauge,
    /// Starts that preceded their record.
    pub unrecorded_starts: IntCounter,
    /// Jobs that were shown as completed before that was on record.
    pub early_completed_jobs: IntCounter,
    /// Tasks that are not started again because they crash their workers, in this term.
    abandoned_tasks: IntGauge,
    /// Crashes put on record for tasks, by certainty, in this term.
    counted_crashes: IntGaugeVec,
    /// Crashes on record that were taken back, in this term.
    withdrawn_crashes: IntGauge,
    /// Tasks that were given up and came back, in this term.
    reinstated_tasks: IntGauge,
    /// Times that the restarts of a task were paced from then on, in this term.
    paced_tasks: IntGauge,
    /// Long-running tasks that have had no known run for a second or longer.
    pub absent_tasks: IntGauge,
    /// Absences of long-running tasks that ended, by what the task waited for longest.
    pub absences: IntCounterVec,
    /// How long they lasted, in seconds.
    pub absence_seconds: Histogram,
    /// Absences that lasted beyond the restart deadline.
    pub late_restarts: IntCounter,
    /// Workers that were kept from new work because they were slow, in this term.
    pub slow_workers: IntGauge,
    /// Second runs that were started, in this term.
    pub second_runs: IntGauge,
    /// Second runs that completed their task first, in this term.
    pub second_runs_first: IntGauge,
    /// Runs that were settled without an end and came back, in this term.
    pub settled_runs_returned: IntGauge,
    /// Times that a step was set aside since no known worker could ever take it, in this term.
    pub steps_set_aside: IntGauge,
    /// Passes over waiting tasks that did not look at all steps in order, in this term.
    pub passes_cut: IntGauge,
    /// What callers lost to the limits of their listener, by reason.
    caller_losses: IntGaugeVec,
    /// Open connections of callers.
    caller_connections: IntGauge,
    /// Bytes that these and their requests hold.
    caller_bytes: IntGauge,
    /// Bytes sent and received over the network link, by purpose and direction.
    link_bytes: IntGaugeVec,
    /// Calls and messages over the network link, by purpose.
    link_calls: IntGaugeVec,
    failed_invariants: IntGauge,
    dropped_log_lines: IntGauge,
}

impl Default for JobMetrics {
    fn default() -> JobMetrics {
        let registry = Registry::new();
        JobMetrics {
            submissions: register_counter_vec(
                &registry,
                "workswood_jobs_handed_in_total",
                "submitted jobs, by result",
                &["result"],
            ),
            submission_seconds: register_histogram(
                &registry,
                "workswood_hand_in_seconds",
                "time to respond to the submission of a job",
                &BUCKETS_S,
            ),
            status_queries: register_counter_vec(
                &registry,
                "workswood_jobs_asked_total",
                "queries for the status of a job, by result",
                &["result"],
            ),
            rejected_keys: register_counter_vec(
                &registry,
                "workswood_keys_refused_total",
                "calls rejected for their API key, by reason",
                &["reason"],
            ),
            max_workspace_usage_percent: register_gauge(
                &registry,
                "workswood_fullest_workspace_percent",
                "largest share of its limit that a workspace uses, in percent",
            ),
            active_workspaces: register_gauge(
                &registry,
                "workswood_workspaces_at_work",
                "workspaces that use resources",
            ),
            task_starts: register_counter_vec(
                &registry,
                "workswood_task_starts_total",
                "start orders for tasks, by outcome",
                &["outcome"],
            ),
            order_wait_seconds: register_histogram_vec(
                &registry,
                "workswood_order_wait_seconds",
                "time that orders to workers waited before they were sent, by order",
                &BUCKETS_S,
                &["order"],
            ),
            incarnation_checks: register_counter_vec(
                &registry,
                "workswood_incarnation_checks_total",
                "polls before a start that make sure that the worker has not restarted, by outcome",
                &["outcome"],
            ),
            partial_end_lists: register_counter(
                &registry,
                "workswood_partial_end_lists_total",
                "answers to polls that may lack ends",
            ),
            refused_records: register_counter_vec(
                &registry,
                "workswood_records_refused_total",
                "records that the store has refused for good, by kind",
                &["kind"],
            ),
            batch_seconds: register_histogram(
                &registry,
                "workswood_batch_seconds",
                "time to store a batch of the scheduler's records",
                &BUCKETS_S,
            ),
            pass_seconds: register_histogram(
                &registry,
                "workswood_scheduler_pass_seconds",
                "time for which events, a tick or a batch keep the scheduler",
                &BUCKETS_S,
            ),
            advice_calls: register_counter_vec(
                &registry,
                "workswood_advice_calls_total",
                "calls to the adviser, by outcome",
                &["outcome"],
            ),
            lease_terms: register_counter(
                &registry,
                "workswood_lease_terms_total",
                "terms of the scheduler lease that this process has started",
            ),
            store_calls_through_peers: register_counter(
                &registry,
                "workswood_store_calls_through_peers_total",
                "calls to the store that peers made for this lease holder",
            ),
            store_calls_for_peers: register_counter(
                &registry,
                "workswood_store_calls_for_peers_total",
                "calls to the store made for a lease holder in another process",
            ),
            refused_store_calls: register_counter(
                &registry,
                "workswood_refused_store_calls_total",
                "calls to the store that could not be made for a lease holder in another process",
            ),
            store_away: register_gauge(
                &registry,
                "workswood_store_away",
                "whether the store takes no records from this lease holder",
            ),
            unrecorded_starts: register_counter(
                &registry,
                "workswood_unrecorded_starts_total",
                "starts of tasks that preceded their record",
            ),
            early_completed_jobs: register_counter(
                &registry,
                "workswood_early_completed_jobs_total",
                "jobs shown as completed before that was on record",
            ),
            relayed_workers: register_gauge(
                &registry,
                "workswood_relayed_workers",
                "workers relayed for a lease holder in another process",
            ),
            active_relays: register_gauge(
                &registry,
                "workswood_relays",
                "other entries that relay workers for this lease holder",
            ),
            bridged_data_centres: register_gauge(
                &registry,
                "workswood_bridged_data_centres",
                "data centres that are reached through a bridge",
            ),
            passed_on_calls: register_counter_vec(
                &registry,
                "workswood_passed_on_calls_total",
                "calls passed on for entries that can't reach the called one, by outcome",
                &["outcome"],
            ),
            leading: register_gauge(
                &registry,
                "workswood_leading",
                "1 while this process runs the scheduler",
            ),
            lease_term: register_gauge(
                &registry,
                "workswood_lease_term",
                "term of the scheduler lease as last read",
            ),
            config_version: register_gauge(
                &registry,
                "workswood_config_version",
                "version of the configuration that this process uses",
            ),
            evacuated_data_centres: register_gauge(
                &registry,
                "workswood_evacuated_data_centres",
                "data centres that are evacuated",
            ),
            store_silence_ms: register_gauge(
                &registry,
                "workswood_store_silence_ms",
                "time since the store last answered, in milliseconds",
            ),
            half_open_connections: register_gauge(
                &registry,
                "workswood_connections_half_open",
                "connections found half-open since the start",
            ),
            stalled_ms: register_gauge(
                &registry,
                "workswood_stood_still_ms",
                "time in which this process was stalled while it led or relayed, in milliseconds",
            ),
            lost_workers: register_gauge(
                &registry,
                "workswood_worker_lives_lost",
                "worker incarnations that ended while tasks ran there, in this term",
            ),
            lost_runs: register_gauge(
                &registry,
                "workswood_runs_lost",
                "task runs that were lost with their workers, in this term",
            ),
            abandoned_tasks: register_gauge(
                &registry,
                "workswood_tasks_given_up",
                "tasks not started again because they crash their workers, in this term",
            ),
            counted_crashes: register_gauge_vec(
                &registry,
                "workswood_task_crashes_counted",
                "crashes of workers put on record for tasks, by certainty, in this term",
                &["certainty"],
            ),
            withdrawn_crashes: register_gauge(
                &registry,
                "workswood_task_crashes_withdrawn",
                "crashes on record for tasks that were taken back, in this term",
            ),
            reinstated_tasks: register_gauge(
                &registry,
                "workswood_tasks_reinstated",
                "tasks that were given up and came back, in this term",
            ),
            paced_tasks: register_gauge(
                &registry,
                "workswood_tasks_paced",
                "times that the restarts of a task were paced from then on, in this term",
            ),
            absent_tasks: register_gauge(
                &registry,
                "workswood_long_running_tasks_absent",
                "long-running tasks that have had no known run for a second or longer",
            ),
            absences: register_counter_vec(
                &registry,
                "workswood_long_running_absences_total",
                "absences of long-running tasks that ended, by what the task waited for longest",
                &["reason"],
            ),
            absence_seconds: register_histogram(
                &registry,
                "workswood_long_running_absence_seconds",
                "how long absences of long-running tasks lasted",
                &ABSENCE_BUCKETS_S,
            ),
            late_restarts: register_counter(
                &registry,
                "workswood_long_running_late_restarts_total",
                "absences of long-running tasks that lasted beyond the restart deadline",
            ),
            slow_workers: register_gauge(
                &registry,
                "workswood_workers_slow",
                "times that a worker was kept from new work because it was slow, in this term",
            ),
            second_runs: register_gauge(
                &registry,
                "workswood_second_runs",
                "second runs of late tasks that were started, in this term",
            ),
            second_runs_first: register_gauge(
                &registry,
                "workswood_second_runs_first",
                "second runs that completed their task before the first run, in this term",
            ),
            settled_runs_returned: register_gauge(
                &registry,
                "workswood_settled_runs_returned",
                "runs that were settled without an end and came back, in this term",
            ),
            steps_set_aside: register_gauge(
                &registry,
                "workswood_steps_set_aside",
                "times that a step was set aside since no known worker could ever take it, in this term",
            ),
            passes_cut: register_gauge(
                &registry,
                "workswood_placement_passes_cut",
                "passes over waiting tasks that did not look at all steps in order, in this term",
            ),
            caller_losses: register_gauge_vec(
                &registry,
                "workswood_callers_lost",
                "connections and requests of callers lost to the limits of their listener since the start",
                &["reason"],
            ),
            caller_connections: register_gauge(
                &registry,
                "workswood_caller_connections",
                "open connections of callers",
            ),
            caller_bytes: register_gauge(
                &registry,
                "workswood_caller_bytes",
                "memory that connections and requests of callers hold, in bytes",
            ),
            link_bytes: register_gauge_vec(
                &registry,
                "workswood_link_bytes",
                "bytes over the network link since the start, without headers of lower layers",
                &["purpose", "direction"],
            ),
            link_calls: register_gauge_vec(
                &registry,
                "workswood_link_calls",
                "calls and messages over the network link since the start",
                &["purpose"],
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

impl JobMetrics {
    /// Counts a start that was taken back before it was sent.
    pub fn count_withdrawn_start(&self) {
        self.task_starts.with_label_values(&["withdrawn"]).inc();
    }

    /// Counts an absence after which a long-running task is at work again.
    pub fn count_absence(&self, absence: &EndedAbsence) {
        self.absences.with_label_values(&[absence.waited_for.label()]).inc();
        self.absence_seconds.observe(absence.length.as_secs_f64());
        self.late_restarts.inc_by(u64::from(!absence.in_time));
    }

    /// Updates the metrics of the crashes on record for tasks, and of what follows from them.
    pub fn set_crash_counters(&self, counters: &SchedulerCounters) {
        let counted = [
            (Certainty::Certain, counters.certain_crashes),
            (Certainty::Possible, counters.possible_crashes),
        ];
        for (certainty, crashes) in counted {
            self.counted_crashes.with_label_values(&[certainty_label(certainty)]).set(crashes as i64);
        }
        self.withdrawn_crashes.set(counters.crashes_withdrawn as i64);
        self.abandoned_tasks.set(counters.tasks_given_up as i64);
        self.reinstated_tasks.set(counters.tasks_reinstated as i64);
        self.paced_tasks.set(counters.tasks_paced as i64);
    }

    /// Updates the metrics of the listener for callers.
    pub fn set_callers(&self, connections: &ConnectionTable) {
        for loss in Loss::ALL {
            let total = connections.losses().total(loss) as i64;
            self.caller_losses.with_label_values(&[loss.label()]).set(total);
        }
        self.caller_connections.set(connections.open() as i64);
        self.caller_bytes.set(connections.held() as i64);
    }

    /// Updates the metrics of the network link.
    pub fn set_traffic(&self, traffic: &Traffic) {
        for (purpose, amount) in traffic.totals() {
            self.link_bytes.with_label_values(&[purpose, "sent"]).set(amount.sent as i64);
            self.link_bytes.with_label_values(&[purpose, "received"]).set(amount.received as i64);
            self.link_calls.with_label_values(&[purpose]).set(amount.count as i64);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.failed_invariants.set(invariant::failed_checks() as i64);
        self.dropped_log_lines.set(logs::dropped_lines() as i64);
        encode(&self.registry)
    }
}
