//! The recent history of the work submitted for a service.
//!
//! Arrivals are derived from the jobs on record, so a new lease holder knows the history of its
//! predecessors.

use std::collections::VecDeque;
use std::time::Duration;

/// Milliseconds on the scheduler's monotonic clock; negative for arrivals before this process
/// started.
type AtMs = i64;

/// How long arrivals are kept.
const HISTORY_LENGTH: Duration = Duration::from_secs(120);

/// An arrival of work.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: AtMs,
    /// Total work that arrived up to and including this arrival, in core-milliseconds.
    total_work: u64,
}

/// Arrivals of work for one service, in order of time.
///
/// Each arrival holds a running total, so the work in any span is the difference of two totals.
/// Pools are planned from several spans many times per second, with hundreds of jobs in each.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    arrivals: VecDeque<Arrival>,
    /// Running total of the arrivals that were dropped.
    forgotten_work: u64,
    /// Arrivals before this process started, in any order, until `finish_restore` appends them.
    restored: Vec<(AtMs, u64)>,
    /// Rates that exceeded all earlier ones, in cores, each with its time.
    record_rates: Vec<(AtMs, f64)>,
}

fn to_ms(at: Duration) -> AtMs {
    at.as_millis() as AtMs
}

impl DemandHistory {
    /// Adds work that arrives now. `window` is the window of the peak rate.
    pub fn add(&mut self, now: Duration, work: u64, window: Duration) {
        let now = to_ms(now);
        self.push(now, work);
        self.update_peak(now, window);
        self.forget_old(now);
    }

    fn push(&mut self, at: AtMs, work: u64) {
        let total = self.arrivals.back().map_or(self.forgotten_work, |arrival| arrival.total_work) + work;
        self.arrivals.push_back(Arrival { at, total_work: total });
    }

    /// Adds work that arrived `ago` before `now`, before this process started, in any order.
    pub fn restore(&mut self, now: Duration, ago: Duration, work: u64) {
        self.restored.push((to_ms(now) - to_ms(ago), work));
    }

    /// Sorts the restored arrivals, appends them, and finds their peak rate. Called before any
    /// other arrival is added.
    pub fn finish_restore(&mut self, now: Duration, window: Duration) {
        self.restored.sort_unstable();
        for (at, work) in std::mem::take(&mut self.restored) {
            self.push(at, work);
        }
        let ends: Vec<AtMs> = self.arrivals.iter().map(|arrival| arrival.at).collect();
        ends.into_iter().for_each(|at| self.update_peak(at, window));
        self.forget_old(to_ms(now));
    }

    fn update_peak(&mut self, at: AtMs, window: Duration) {
        let rate = self.rate_between(at - to_ms(window), at);
        if self.record_rates.last().is_none_or(|(_, highest)| rate > *highest) {
            self.record_rates.push((at, rate));
        }
    }

    fn forget_old(&mut self, now: AtMs) {
        let oldest = now - to_ms(HISTORY_LENGTH);
        while let Some(arrival) = self.arrivals.front().filter(|arrival| arrival.at < oldest) {
            self.forgotten_work = arrival.total_work;
            self.arrivals.pop_front();
        }
    }

    /// Rate of the arrivals in the `span` that ended `ago` before now, in cores.
    pub fn rate(&self, now: Duration, ago: Duration, span: Duration) -> f64 {
        let to = to_ms(now) - to_ms(ago);
        self.rate_between(to - to_ms(span), to)
    }

    /// Number of jobs that arrived within `span` before now.
    pub fn job_count(&self, now: Duration, span: Duration) -> usize {
        let from = to_ms(now) - to_ms(span);
        self.arrivals.len() - self.arrivals.partition_point(|arrival| arrival.at <= from)
    }

    /// The peak rate, in cores.
    pub fn peak_rate(&self) -> f64 {
        self.record_rates.last().map_or(0.0, |(_, rate)| *rate)
    }

    /// The peak rate of all windows that ended at least `ago` before now, in cores.
    pub fn peak_rate_before(&self, now: Duration, ago: Duration) -> f64 {
        let until = to_ms(now) - to_ms(ago);
        let before = self.record_rates.iter().rev().find(|(at, _)| *at <= until);
        before.map_or(0.0, |(_, rate)| *rate)
    }

    /// Rate of the arrivals after `from` and up to `to`, in cores.
    fn rate_between(&self, from: AtMs, to: AtMs) -> f64 {
        let work = self.work_until(to) - self.work_until(from);
        work as f64 / (to - from).max(1) as f64
    }

    /// Total work that arrived up to a time.
    fn work_until(&self, at: AtMs) -> u64 {
        let count = self.arrivals.partition_point(|arrival| arrival.at <= at);
        count.checked_sub(1).map_or(self.forgotten_work, |n| self.arrivals[n].total_work)
    }
}
