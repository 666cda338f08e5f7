//! Workers that crash, by themselves or under a task.

use std::collections::BTreeMap;
use std::time::Duration;

use workswood_core::jobs::{JobKey, TaskId};

use super::World;

/// Crashes of workers under one task after which it may be given up.
const MAY_GIVE_UP: u32 = 2;
/// Crashes after which it may be started this often at most, counted from then on.
const MUST_GIVE_UP: u32 = 3;
const STARTS_BEYOND: u32 = 3;
/// A holder is in touch that has held the lease, and not been paused, for so long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// How long a worker is away that has crashed: at least, and at most.
const AWAY: (u64, u64) = (1500, 4000);

/// What crashes, and what was lost with it.
#[derive(Default)]
pub(super) struct Crashes {
    /// Tasks that crash their workers, and how long after their start.
    tasks: BTreeMap<TaskId, Duration>,
    /// Workers that are to crash, by their places.
    due: Vec<(Duration, usize, TaskId)>,
    /// Workers that are to come back, by their places.
    back: Vec<(Duration, usize)>,
    /// How many workers have crashed while they ran a task, and come back later.
    under: BTreeMap<TaskId, u32>,
    /// How many have crashed or been replaced.
    lost_under: BTreeMap<TaskId, u32>,
    /// Starts of a task after it must have been given up.
    beyond: BTreeMap<TaskId, u32>,
}

impl World {
    /// From now on a task crashes each worker that starts it, some time after the start.
    pub fn crashes(&mut self, task: TaskId, after: Duration) {
        self.crashes.tasks.insert(task, after);
    }

    /// How many workers have crashed while they ran a task.
    pub fn crashed_under(&self, task: &TaskId) -> u32 {
        self.crashes.under.get(task).copied().unwrap_or(0)
    }

    /// How many workers have crashed under tasks that crash them.
    pub fn crashed(&self) -> u32 {
        self.crashes.tasks.keys().map(|t| self.crashed_under(t)).sum()
    }

    /// A worker crashes, and comes back later.
    pub fn crash(&mut self, n: usize) {
        let n = n % self.workers.len();
        if !self.workers[n].up {
            return;
        }
        for task in self.workers[n].running.keys() {
            *self.crashes.under.entry(*task).or_default() += 1;
        }
        self.note_lost(n);
        let away = Duration::from_millis(AWAY.0 + self.rng.below(AWAY.1 - AWAY.0));
        self.take_down(n, away);
    }

    /// A worker is away for some time, and has lost what it ran.
    pub(super) fn take_down(&mut self, n: usize, away: Duration) {
        self.workers[n].up = false;
        self.workers[n].running.clear();
        self.crashes.back.push((self.now + away, n));
    }

    /// Notes what a worker runs whose life ends.
    pub(super) fn note_lost(&mut self, n: usize) {
        for task in self.workers[n].running.keys() {
            *self.crashes.lost_under.entry(*task).or_default() += 1;
        }
    }

    /// How long after its start a task crashes its worker; zero if it doesn't.
    pub(super) fn crash_delay(&self, task: &TaskId) -> Duration {
        self.crashes.tasks.get(task).copied().unwrap_or_default()
    }

    /// A worker has begun a task.
    pub(super) fn crash_under(&mut self, at: usize, task: &TaskId) {
        if let Some(after) = self.crashes.tasks.get(task) {
            self.crashes.due.push((self.now + *after, at, *task));
        }
    }

    /// Lets workers crash and come back whose time has come.
    pub(super) fn crash_due(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.crashes.due).into_iter().partition(|d| d.0 <= now);
        self.crashes.due = later;
        let due: Vec<(Duration, usize, TaskId)> = due;
        for (_, at, task) in due {
            if self.workers[at].running.contains_key(&task) {
                self.crash(at);
            }
        }
        let (back, later) = std::mem::take(&mut self.crashes.back).into_iter().partition(|b| b.0 <= now);
        self.crashes.back = later;
        let back: Vec<(Duration, usize)> = back;
        back.into_iter().for_each(|(_, n)| self.replace(n));
    }

    /// Since when the newest holder has held the lease and not been paused.
    fn calm_since(&self) -> Duration {
        self.holders.last().map_or(self.now, |h| h.paused_until.max(h.sched.claimed_at))
    }

    /// A task is started; whether that is beyond what its crashes allow.
    pub(super) fn started_beyond_crashes(&mut self, task: &TaskId) -> bool {
        if !self.crashes.tasks.contains_key(task) || self.crashed_under(task) < MUST_GIVE_UP {
            return false;
        }
        if self.now < self.calm_since() + IN_TOUCH {
            return false;
        }
        let beyond = self.crashes.beyond.entry(*task).or_default();
        *beyond += 1;
        *beyond >= STARTS_BEYOND
    }

    /// Whether two workers have crashed, or been replaced, while they ran some task of a job.
    pub(super) fn lost_twice(&self, key: JobKey) -> bool {
        self.crashes.lost_under.iter().any(|(t, n)| t.job == key && *n >= MAY_GIVE_UP)
    }
}
