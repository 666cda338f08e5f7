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
const WINDOW: Duration = Duration::from_secs(10);
/// Before anything is seen, workers are taken to crash this often,
const SUPPOSED_CRASHES: f64 = 0.5;
/// in so many seconds of one worker: a little more than once in two hours a host would
/// let a single crash in the first seconds of a term look like many.
const SUPPOSED_SECONDS: f64 = 60.0;
/// Tasks that crash their workers come in rows: of one job class, or from one caller.
const FOUND_LATELY: Duration = Duration::from_secs(30);
/// Shortest time that a run counts for: times are told by answers, which come a few
/// milliseconds after what they tell of.
const SHORTEST: Duration = Duration::from_millis(5);

/// A crash that no task is known for certain to have caused.
#[derive(Clone, Debug)]
struct Unexplained {
    at: Duration,
    /// What ran there.
    beside: Vec<TaskId>,
    /// How likely it came by chance.
    chance: f64,
}

/// Crashes of workers that no task is known for certain to have caused.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    crashes: VecDeque<Unexplained>,
    /// When tasks were found to crash their workers.
    found: VecDeque<Duration>,
}

impl CrashRate {
    /// Notes that a worker has crashed on which these tasks ran, how likely by chance. That is
    /// 1 if none of them explains it; else the share of workers that would have had such a task
    /// as well: where most have one it says nothing, where few do it is hardly chance.
    pub fn note(&mut self, at: Duration, beside: Vec<TaskId>, chance: f64) {
        while self.crashes.front().is_some_and(|c| c.at + WINDOW < at) {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Unexplained { at, beside, chance });
    }

    /// A task is known to have caused the crashes under it.
    pub fn explain(&mut self, task: &TaskId, at: Duration) {
        self.crashes.retain(|c| !c.beside.contains(task));
        self.found.push_back(at);
    }

    /// How many tasks were found lately to crash their workers.
    pub fn found_lately(&self, now: Duration) -> usize {
        self.found.iter().filter(|at| **at + FOUND_LATELY >= now).count()
    }

    /// Crashes a second of one worker, those under a task left out, while so many workers
    /// were watched for so long.
    pub fn without(&self, task: &TaskId, now: Duration, workers: usize, watched: Duration) -> f64 {
        let others = self.crashes.iter().filter(|c| c.at + WINDOW >= now && !c.beside.contains(task));
        let seconds = workers as f64 * watched.min(WINDOW).as_secs_f64();
        (others.map(|c| c.chance).sum::<f64>() + SUPPOSED_CRASHES) / (seconds + SUPPOSED_SECONDS)
    }
}

/// How much better some crashes under a task are explained if it crashes its workers than by
/// chance: the logarithm of the ratio of likelihoods, where runs of the task crash at a
/// rate of their own, and where they do at the rate of all workers. The runs lasted for
/// `lasted` in all. Zero where chance explains them as well.
pub fn blame(crashes: usize, lasted: Duration, rate: f64) -> f64 {
    let count = crashes as f64;
    let by_chance = lasted.max(SHORTEST * crashes as u32).as_secs_f64() * rate;
    if crashes == 0 || by_chance >= count {
        return 0.0;
    }
    count * (count / by_chance).ln() - count + by_chance
}
