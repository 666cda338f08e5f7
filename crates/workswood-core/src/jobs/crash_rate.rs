//! How often workers crash by themselves, and how well a task explains crashes under it.
//!
//! Workers may crash one by one, by racks or all the time, whatever runs there. What is
//! lost with them has mostly done nothing. So the time for which the lost runs of a task had
//! lasted is held against the rate at which workers crash that did not run it: a task that
//! crashes its workers does so again and again soon after its starts, far sooner than
//! chance would.

use std::collections::VecDeque;
use std::time::Duration;

use super::spec::TaskId;

/// Crashes of this long tell the rate: a few of the rounds, 1.5 to 2.5 s apart, in which
/// racks and shares of a service were seen to crash again and again.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Before anything is seen, workers are taken to crash this often,
const PRIOR_CRASHES: f64 = 0.5;
/// in so many seconds of one worker: a little more than once in two hours a host would
/// let a single crash in the first seconds of a term look like many.
const PRIOR_WORKER_SECONDS: f64 = 60.0;
/// Tasks that crash their workers come in rows: of one job class, or from one caller.
const RECENT_CULPRIT_AGE: Duration = Duration::from_secs(30);
/// Shortest time that a run counts for: times are told by answers, which come a few
/// milliseconds after what they tell of.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// A crash that no task is known for certain to have caused.
#[derive(Clone, Debug)]
struct UnexplainedCrash {
    at: Duration,
    /// What ran there.
    running_tasks: Vec<TaskId>,
    /// How likely it came by chance.
    chance_probability: f64,
}

/// Crashes of workers that no task is known for certain to have caused.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    crashes: VecDeque<UnexplainedCrash>,
    /// When tasks were found to crash their workers.
    culprit_times: VecDeque<Duration>,
}

impl CrashRate {
    /// Notes that a worker has crashed on which these tasks ran, how likely by chance. That is
    /// 1 if none of them explains it; else the share of workers that would have had such a task
    /// as well: where most have one it says nothing, where few do it is hardly chance.
    pub fn record_crash(&mut self, at: Duration, beside: Vec<TaskId>, chance: f64) {
        while self.crashes.front().is_some_and(|c| c.at + RATE_WINDOW < at) {
            self.crashes.pop_front();
        }
        self.crashes.push_back(UnexplainedCrash { at, running_tasks: beside, chance_probability: chance });
    }

    /// A task is known to have caused the crashes under it.
    pub fn record_culprit(&mut self, task: &TaskId, at: Duration) {
        self.crashes.retain(|c| !c.running_tasks.contains(task));
        self.culprit_times.push_back(at);
    }

    /// How many tasks were found lately to crash their workers.
    pub fn recent_culprits(&self, now: Duration) -> usize {
        self.culprit_times.iter().filter(|at| **at + RECENT_CULPRIT_AGE >= now).count()
    }

    /// Crashes a second of one worker, those under a task left out, while so many workers
    /// were watched for so long.
    pub fn rate_without(&self, task: &TaskId, now: Duration, workers: usize, watched: Duration) -> f64 {
        let others =
            self.crashes.iter().filter(|c| c.at + RATE_WINDOW >= now && !c.running_tasks.contains(task));
        let seconds = workers as f64 * watched.min(RATE_WINDOW).as_secs_f64();
        (others.map(|c| c.chance_probability).sum::<f64>() + PRIOR_CRASHES) / (seconds + PRIOR_WORKER_SECONDS)
    }
}

/// How much better some crashes under a task are explained if it crashes its workers than by
/// chance: the logarithm of the ratio of likelihoods, where runs of the task crash at a
/// rate of their own, and where they do at the rate of all workers. The runs lasted for
/// `lasted` in all. Zero where chance explains them as well.
pub fn task_fault_score(crashes: usize, lasted: Duration, rate: f64) -> f64 {
    let count = crashes as f64;
    let by_chance = lasted.max(MIN_RUN_TIME * crashes as u32).as_secs_f64() * rate;
    if crashes == 0 || by_chance >= count {
        return 0.0;
    }
    count * (count / by_chance).ln() - count + by_chance
}
