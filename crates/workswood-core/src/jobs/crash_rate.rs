//! The rate of worker crashes without a known cause, and how well a task explains its crashes.
//!
//! Workers may crash one by one, by racks or continually, whatever runs on them, and most runs that
//! are lost did not cause the crash. So the run times of a task's lost runs are compared with the
//! rate at which workers crash without it: a task that crashes its workers does so soon after each
//! start, far sooner than chance would.

use std::collections::VecDeque;
use std::time::Duration;

use super::spec::TaskId;
use super::worker_id::WorkerId;

/// The rate is taken over this time; long enough to cover recurring crashes.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Crashes that the rate assumes before any are seen, in [`PRIOR_WORKER_SECONDS`].
const PRIOR_CRASHES: f64 = 0.5;
/// Worker-seconds that the rate assumes before any are observed. Keeps a single crash in the first
/// seconds of a term from looking like a high rate.
const PRIOR_WORKER_SECONDS: f64 = 60.0;
/// How long a task that was given up counts as recent.
/// Tasks that crash their workers come in groups, of one queue or one caller.
const RECENTLY_GIVEN_UP_AGE: Duration = Duration::from_secs(30);
/// Shortest run time that enters a score, since the reported times are late by a few milliseconds.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// A crash of a worker.
#[derive(Clone, Debug)]
struct WorkerCrash {
    at: Duration,
    /// The life that is counted as crashed.
    worker: WorkerId,
    /// Tasks that ran on the worker.
    running_tasks: Vec<TaskId>,
    /// Probability that the crash was not caused by one of the tasks.
    chance_probability: f64,
}

/// Recent crashes of workers, and the tasks that are known to have caused some of them.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    crashes: VecDeque<WorkerCrash>,
    /// Tasks that were given up lately, and when.
    given_up: VecDeque<(TaskId, Duration)>,
}

impl CrashRate {
    /// Records the crash of a worker with the tasks that ran on it. `chance_probability` is 1 if
    /// none of them explains the crash, else the share of workers that had such a task: where most
    /// workers have one, its presence says little.
    pub fn record_crash(
        &mut self,
        at: Duration,
        worker: WorkerId,
        running_tasks: Vec<TaskId>,
        chance_probability: f64,
    ) {
        while self.crashes.front().is_some_and(|c| c.at + RATE_WINDOW < at) {
            self.crashes.pop_front();
        }
        self.crashes.push_back(WorkerCrash { at, worker, running_tasks, chance_probability });
    }

    /// Takes back the crash of a life that has not ended.
    pub fn withdraw(&mut self, worker: &WorkerId) {
        self.crashes.retain(|c| c.worker != *worker);
    }

    /// Records that a task was given up. Its crashes no longer count towards the rate.
    pub fn record_given_up(&mut self, task: &TaskId, at: Duration) {
        while self.given_up.front().is_some_and(|(_, before)| *before + RECENTLY_GIVEN_UP_AGE < at) {
            self.given_up.pop_front();
        }
        self.given_up.push_back((*task, at));
    }

    /// Takes back that a task was given up: its crashes count again.
    pub fn withdraw_given_up(&mut self, task: &TaskId) {
        self.given_up.retain(|(id, _)| id != task);
    }

    /// Number of tasks that were given up recently.
    pub fn recently_given_up(&self, now: Duration) -> usize {
        self.given_up.iter().filter(|(_, at)| *at + RECENTLY_GIVEN_UP_AGE >= now).count()
    }

    /// Whether a task that was given up explains a crash.
    fn is_explained(&self, crash: &WorkerCrash) -> bool {
        self.given_up.iter().any(|(task, _)| crash.running_tasks.contains(task))
    }

    /// Crashes per worker-second, without those during runs of the task, when `workers` were
    /// observed for the time `watched`.
    pub fn rate_without(&self, task: &TaskId, now: Duration, workers: usize, watched: Duration) -> f64 {
        let others =
            self.crashes.iter().filter(|c| c.at + RATE_WINDOW >= now && !c.running_tasks.contains(task));
        let others = others.filter(|c| !self.is_explained(c));
        let seconds = workers as f64 * watched.min(RATE_WINDOW).as_secs_f64();
        (others.map(|c| c.chance_probability).sum::<f64>() + PRIOR_CRASHES) / (seconds + PRIOR_WORKER_SECONDS)
    }
}

/// Logarithm of the likelihood ratio of two hypotheses: that the task's runs crash at the rate that
/// was observed of them, or at the background `rate`, in crashes per worker-second. `run_time` is
/// the total run time of the crashed runs. Zero if the background rate explains the crashes as well.
pub fn task_fault_score(crashes: usize, run_time: Duration, rate: f64) -> f64 {
    let count = crashes as f64;
    let expected = run_time.max(MIN_RUN_TIME * crashes as u32).as_secs_f64() * rate;
    if crashes == 0 || expected >= count {
        return 0.0;
    }
    count * (count / expected).ln() - count + expected
}
