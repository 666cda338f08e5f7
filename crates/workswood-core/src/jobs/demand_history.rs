//! How much work came in for a service lately.
//!
//! Demand turns among services: one asks for several times its mean for some
//! seconds, then for next to nothing. What came in is known from the jobs on
//! record, so a new lease holder knows the history of its predecessors.

use std::collections::VecDeque;
use std::time::Duration;

/// A moment in milliseconds on the scheduler's steady clock; below zero for what
/// came in before the process began.
type AtMs = i64;

/// What came in is remembered for this long: as long as ended jobs are kept for
/// questions on the deployments known to us.
const HISTORY_LENGTH: Duration = Duration::from_secs(120);

/// Work that came in at a time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: AtMs,
    /// All work that came in until then, in core-milliseconds.
    total_work: u64,
}

/// Work that came in for one service, in the order of its coming.
///
/// What came in within any span is the difference of two sums: a pool is planned from
/// several spans of up to some seconds many times a second, and hundreds of jobs come
/// in each.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    arrivals: VecDeque<Arrival>,
    /// Work that is no longer remembered.
    forgotten_work: u64,
    /// Work that came in before this holder began, in any order.
    restored: Vec<(AtMs, u64)>,
    /// Each rate that was higher than all before it, in cores, and when.
    peaks: Vec<(AtMs, f64)>,
}

fn to_ms(at: Duration) -> AtMs {
    at.as_millis() as AtMs
}

impl DemandHistory {
    /// Takes in work that came in now; `window` is that of the highest rate.
    pub fn add(&mut self, now: Duration, work: u64, window: Duration) {
        let now = to_ms(now);
        self.push(now, work);
        self.update_peak(now, window);
        self.forget_old(now);
    }

    fn push(&mut self, at: AtMs, work: u64) {
        let total = self.arrivals.back().map_or(self.forgotten_work, |c| c.total_work) + work;
        self.arrivals.push_back(Arrival { at, total_work: total });
    }

    /// Takes in work that came in before this holder began, in any order:
    /// `ago` before `now`.
    pub fn restore(&mut self, now: Duration, ago: Duration, work: u64) {
        self.restored.push((to_ms(now) - to_ms(ago), work));
    }

    /// Orders what was restored, and finds the highest rate that it shows.
    pub fn finish_restore(&mut self, now: Duration, window: Duration) {
        self.restored.sort_unstable();
        for (at, work) in std::mem::take(&mut self.restored) {
            self.push(at, work);
        }
        let ends: Vec<AtMs> = self.arrivals.iter().map(|c| c.at).collect();
        ends.into_iter().for_each(|at| self.update_peak(at, window));
        self.forget_old(to_ms(now));
    }

    fn update_peak(&mut self, at: AtMs, window: Duration) {
        let rate = self.rate_between(at - to_ms(window), at);
        if self.peaks.last().is_none_or(|(_, highest)| rate > *highest) {
            self.peaks.push((at, rate));
        }
    }

    fn forget_old(&mut self, now: AtMs) {
        let oldest = now - to_ms(HISTORY_LENGTH);
        while let Some(c) = self.arrivals.front().filter(|c| c.at < oldest) {
            self.forgotten_work = c.total_work;
            self.arrivals.pop_front();
        }
    }

    /// Cores that the work keeps busy that came in for `span` until `ago` before
    /// now.
    pub fn rate(&self, now: Duration, ago: Duration, span: Duration) -> f64 {
        let to = to_ms(now) - to_ms(ago);
        self.rate_between(to - to_ms(span), to)
    }

    /// Jobs that came in for `span` until now.
    pub fn job_count(&self, now: Duration, span: Duration) -> usize {
        let from = to_ms(now) - to_ms(span);
        self.arrivals.len() - self.arrivals.partition_point(|c| c.at <= from)
    }

    /// The highest rate that any window showed, in cores.
    pub fn peak_rate(&self) -> f64 {
        self.peaks.last().map_or(0.0, |(_, rate)| *rate)
    }

    /// The highest rate that any window showed that ended `ago` before now.
    pub fn peak_rate_before(&self, now: Duration, ago: Duration) -> f64 {
        let until = to_ms(now) - to_ms(ago);
        let before = self.peaks.iter().rev().find(|(at, _)| *at <= until);
        before.map_or(0.0, |(_, rate)| *rate)
    }

    /// Cores that the work keeps busy that came in after `from` until `to`.
    fn rate_between(&self, from: AtMs, to: AtMs) -> f64 {
        let work = self.work_until(to) - self.work_until(from);
        work as f64 / (to - from).max(1) as f64
    }

    /// All work that came in until a time.
    fn work_until(&self, at: AtMs) -> u64 {
        let count = self.arrivals.partition_point(|c| c.at <= at);
        count.checked_sub(1).map_or(self.forgotten_work, |n| self.arrivals[n].total_work)
    }
}
