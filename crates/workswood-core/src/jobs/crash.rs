//! Tasks that crash their workers.
//!
//! A worker that crashes tells nothing of the runs that were there. Most of them are lost by
//! chance, and are started again; but where one of them has brought the worker down, it would bring
//! the next one down, and all that runs there, without end.
//!
//! * Each run that is lost with a crashed worker is on record, with how long it may have lasted.
//! * How well a task explains the crashes under it is weighed against the rate at which workers
//!   crash that did not run it ([`crash_rate`](super::crash_rate)). So on a day on which workers
//!   crash by themselves, sound work neither waits nor fails for that.
//! * Suspected are the runs that had begun just before the worker was last heard; if there is none,
//!   those that may never have begun. Others fall under suspicion when they are lost several
//!   times.
//! * A suspected task is started as a *trial* ([`trials`](super::trials)): nothing else begins beside
//!   it. Where the worker crashes under it nevertheless, and chance does not explain it, the task is
//!   given up. Its job fails; but a job that lasts goes on without it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash_rate::blame;
use super::job::{Job, Outcome, Phase, Run, Task, WorkerId};
use super::sched::Scheduler;
use super::spec::TaskId;
use super::worker::Worker;

/// How crashes of workers are put down to tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashPolicy {
    /// A run that had lasted for less than this when its worker was last heard is suspected of
    /// having crashed it. Tasks that crash their worker do so within some ten milliseconds; the
    /// answer to their start comes a few times that later on a busy entry.
    #[serde(with = "humantime_serde")]
    pub young: Duration,
    /// A task that was lost with so many workers is suspected however long it had run.
    pub suspect_after: usize,
    /// A task is tried alone when its crashes are explained better by itself than by chance by
    /// this much, as a logarithm: after one crash within 100 ms of the start where workers crash
    /// less than once in 25 s each, after two where they crash less than once in 3 s.
    pub suspicious: f64,
    /// It is given up when they are by so much, and its trial alone explains the last one. Of a
    /// million sound tasks about five are lost so often within so short a time, whatever the rate
    /// is. Two crashes within 50 ms of the start are enough where workers crash less than once in
    /// 33 s each, three where they crash less than once in 6 s.
    pub sure: f64,
    /// Longest time that a task waits for a trial that was lost once. While it waits, those that
    /// crash their workers show themselves elsewhere.
    #[serde(with = "humantime_serde")]
    pub first_wait: Duration,
    /// Share of a service's workers that are in quarantine at most.
    pub most_quarantined: f64,
}

impl Default for CrashPolicy {
    fn default() -> CrashPolicy {
        CrashPolicy {
            young: Duration::from_millis(150),
            suspect_after: 3,
            suspicious: 4.5,
            sure: 11.0,
            first_wait: Duration::from_secs(4),
            most_quarantined: 0.25,
        }
    }
}

impl CrashPolicy {
    /// How sure one must be after so many tasks were given up lately: where there are some,
    /// another one is likelier.
    fn sure_after(&self, given_up: usize) -> f64 {
        self.sure - SURER_EACH * given_up.min(MOST_SURER) as f64
    }
}

/// By how much each task that was given up makes the next one likelier, as a logarithm,
const SURER_EACH: f64 = 1.5;
/// and how many do.
const MOST_SURER: usize = 2;
/// A start without an answer explains a crash that was noticed within this time: a task that
/// crashes its worker does so within some ten milliseconds, a refused connection is
/// noticed within some more, and a busy entry takes a few times that to see it.
const PROMPT: Duration = Duration::from_millis(300);
/// A worker that leaves without a word answers for longer than this after it was taken from the list
/// (2 s at least on the prepared platform); an answer of one that crashed may be on its way for as long.
const ANSWERS_ON: Duration = Duration::from_secs(1);
/// A task is suspected after so many crashes of which it isn't known how long its runs had lasted.
const SUSPECT_INHERITED: usize = 2;
/// A task that was lost so often is held to less, whether it was seen to run or not: the platform
/// allows two starts after the third crash.
const MOST_CRASHES: usize = 5;
/// Share of [`CrashPolicy::sure`] that is asked for then.
const LESS_SURE: f64 = 0.7;
/// What a crash adds to that of which it isn't known how long the run had lasted.
const UNTIMED_EACH: f64 = 1.0;
/// Share of it from which a task is suspected that was lost several times.
const DOUBTFUL: f64 = 0.15;
/// A lasting task that has been at work for this long does not crash its worker.
pub(super) const PROVEN_AFTER: Duration = Duration::from_secs(10);

/// What is known of a run under which a worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// It explains the crash.
    Explains,
    /// It was there, by chance as far as is known.
    Beside,
    /// It may never have begun: its start had no answer, or an earlier holder sent it.
    Supposed,
}

/// A crash of a worker under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// What the run has to do with it.
    pub evidence: Evidence,
    /// The longest time after its start at which the worker may have crashed; `None` if it isn't
    /// known when the run began.
    pub within: Option<Duration>,
}

/// Crashes of workers under one task, by the numbers of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes(pub BTreeMap<u32, Crash>);

impl Crashes {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there may have been.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// How long runs had lasted, at most, of which it is known when they began.
    fn timed(&self) -> impl Iterator<Item = Duration> {
        self.0.values().filter_map(|c| c.within)
    }

    /// How many there were while the task was known to run.
    fn seen(&self) -> usize {
        self.0.values().filter(|c| c.evidence != Evidence::Supposed).count()
    }

    /// How much better the task explains them than chance does, those counted too of which it
    /// is only supposed that it ran.
    fn suspicion(&self, rate: f64) -> f64 {
        blame(self.timed().count(), self.timed().sum(), rate)
    }

    /// Whether they prove that the task crashes its workers, the last one being explained
    /// by its trial.
    fn prove(&self, sure: f64, rate: f64) -> bool {
        self.seen() >= 2 && self.suspicion(rate) >= sure
    }

    /// Whether they are too many to go on, although the proof is weaker. Where it isn't known of
    /// any run when it began, with a new lease holder after each crash, their number is all there is.
    fn exhaust(&self, policy: &CrashPolicy, rate: f64) -> bool {
        let (count, timed) = (self.count(), self.timed().count());
        if count < MOST_CRASHES || timed == 0 {
            return count >= MOST_CRASHES;
        }
        let untimed = (count - timed) as f64 * UNTIMED_EACH;
        self.suspicion(rate) + untimed >= policy.sure * LESS_SURE
    }

    /// Whether the task is suspected for their number.
    fn are_many(&self, policy: &CrashPolicy, rate: f64) -> bool {
        let (count, timed) = (self.count(), self.timed().count());
        let doubtful = timed < 2 || self.suspicion(rate) >= policy.sure * DOUBTFUL;
        doubtful && (count >= policy.suspect_after || count >= SUSPECT_INHERITED && timed < 2)
    }

    /// Notes a crash under a run; returns whether it is new.
    fn note(&mut self, attempt: u32, crash: Crash) -> bool {
        let new = !self.0.contains_key(&attempt);
        self.0.entry(attempt).or_insert(crash);
        new
    }
}

/// Why a task is tried alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// Since when.
    pub since: Duration,
    /// The longest time that a run of it had lasted when its worker crashed.
    pub lasted: Option<Duration>,
}

/// How a life of a worker was found to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifeEnd {
    /// Its address is answered by another life.
    OtherLife,
    /// The list of hosts shows its host without it.
    NotOnHost,
    /// Its host was ordered down for maintenance.
    Upkeep,
    /// Its host was ordered to another pool.
    Moved,
    /// It answers no more, and is not listed any more.
    Gone,
}

impl LifeEnd {
    /// Its name in the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            LifeEnd::OtherLife => "other_life",
            LifeEnd::NotOnHost => "machine_listed_without_it",
            LifeEnd::Upkeep => "upkeep",
            LifeEnd::Moved => "moved",
            LifeEnd::Gone => "gone",
        }
    }

    /// Whether nobody ordered it.
    fn is_sudden(self) -> bool {
        matches!(self, LifeEnd::OtherLife | LifeEnd::NotOnHost | LifeEnd::Gone)
    }
}

/// What a run that is lost with its worker may have to do with the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Part {
    /// It was on trial.
    OnTrial,
    /// It had just begun.
    Young,
    /// It may have begun, and was not heard of.
    Unheard,
    /// It had been there for a while.
    Old,
}

/// A run that is lost with its worker.
#[derive(Clone, Debug)]
pub struct Lost {
    task: TaskId,
    attempt: u32,
    /// How long it was known to be there; `None` if it may never have begun.
    lasted: Option<Duration>,
    /// How long it had lasted at most; `None` if it isn't known when it began.
    within: Option<Duration>,
    part: Part,
}

impl Scheduler {
    /// Puts the crash of a worker down to one of its runs, if that is what ended its life.
    pub(super) fn take_crash(&mut self, id: &WorkerId, end: LifeEnd) {
        let Some(w) = self.workers.get(id) else { return };
        if !end.is_sudden() || !self.is_crash(w) {
            return;
        }
        let here = w.runs.keys().filter_map(|(task, n)| self.lost(id, task, *n));
        let mut lost: Vec<Lost> = w.lapsed.iter().cloned().chain(here).collect();
        lost.sort_by_key(|l| (l.task, l.attempt));
        // The first of these parts explains the crash; other runs are lost by chance.
        let part = lost.iter().map(|l| l.part).min();
        let chance = if part.is_some_and(|p| p != Part::Old) { self.share_with_suspects() } else { 1.0 };
        self.crash_rate.note(self.now, lost.iter().map(|l| l.task).collect(), chance);
        let Some(part) = part else { return };
        let alike = lost.iter().filter(|l| l.part == part).count();
        self.notes.push(format_args!(
            "event=worker_crashed worker={id} runs={} part={part:?} alike={alike}",
            lost.len()
        ));
        for l in lost {
            self.take_lost(id, &l, part, alike);
        }
    }

    /// Whether a life that is over has crashed: it was not about to leave, and no order of
    /// ours ended it. One that leaves without a word is taken from the list, and answers on.
    fn is_crash(&self, w: &Worker) -> bool {
        if w.unlisted_at.is_some_and(|at| at + ANSWERS_ON < w.heard) {
            return false;
        }
        // Of one that only records of runs speak of, nothing says otherwise.
        let Some(info) = &w.info else { return true };
        !info.draining && !self.is_ordered_since(&info.host, w.known_since)
    }

    fn lost(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<Lost> {
        let w = self.workers.get(id)?;
        let run = self.run(id, task, attempt)?;
        let lasted = run.known_runtime(w.heard);
        // It crashed between its last answer and when it was found to be silent.
        let found = w.heard + w.silent_for;
        let within = run.placed_at.map(|at| found.saturating_sub(at));
        Some(Lost { task: *task, attempt, lasted, within, part: self.part(run, lasted, within) })
    }

    fn part(&self, run: &Run, lasted: Option<Duration>, within: Option<Duration>) -> Part {
        let unheard = lasted.is_none() && run.phase != Phase::Inherited;
        if !unheard && run.trial_quarantine.is_some_and(|trial| lasted.is_none_or(|ran| ran < trial)) {
            return Part::OnTrial;
        }
        match lasted {
            Some(ran) if ran < self.policy.crashes.young && run.placed_at.is_some() => Part::Young,
            // The answer to its start, too, was lost with the worker.
            None if unheard && within.is_some_and(|w| w < PROMPT) => Part::Young,
            None if unheard => Part::Unheard,
            _ => Part::Old,
        }
    }

    /// Share of the workers that have a run now to which a crash would be put down.
    fn share_with_suspects(&self) -> f64 {
        let young = |w: &Worker| w.last_start.is_some_and(|at| at + self.policy.crashes.young > self.now);
        let trial = |w: &Worker| w.quarantine.is_some_and(|q| q.trial.is_some() && q.until > self.now);
        let all = self.workers.len().max(1);
        self.workers.values().filter(|w| young(w) || trial(w)).count() as f64 / all as f64
    }

    /// Crashes a second of one worker, those under a task left out.
    fn rate_without(&self, task: &TaskId) -> f64 {
        self.crash_rate.without(task, self.now, self.workers.len(), self.now.saturating_sub(self.since))
    }

    /// A run was lost with a worker that crashed; `part` explains that, for so many runs.
    fn take_lost(&mut self, id: &WorkerId, l: &Lost, part: Part, alike: usize) {
        let rate = self.rate_without(&l.task);
        let Some(job) = self.jobs.get_mut(&l.task.job).filter(|j| j.is_open()) else { return };
        let Some(task) = job.task_mut(&l.task).filter(|t| !t.done) else { return };
        let policy = &self.policy.crashes;
        let sure = policy.sure_after(self.crash_rate.found_lately(self.now));
        let explains = l.part == part && l.part != Part::Old;
        let evidence = match l.lasted {
            Some(_) if explains => Evidence::Explains,
            Some(_) => Evidence::Beside,
            None => Evidence::Supposed,
        };
        if task.crashes.note(l.attempt, Crash { evidence, within: l.within }) {
            self.dirty.insert(l.task.job);
        }
        let count = task.crashes.count();
        let suspicion = task.crashes.suspicion(rate);
        let proved = l.part == Part::OnTrial && l.lasted.is_some() && task.crashes.prove(sure, rate);
        if l.part == part && alike == 1 && (proved || task.crashes.exhaust(policy, rate)) {
            self.give_up(id, &l.task, count, suspicion);
            return;
        }
        if explains && suspicion >= policy.suspicious || task.crashes.are_many(policy, rate) {
            suspect(task, l.lasted, self.now);
            self.notes.push(format_args!(
                "event=task_suspected worker={id} task={} attempt={} part={:?} crashes={count} \
                 suspicion={suspicion:.1} crashes_per_s={rate:.4}",
                l.task, l.attempt, l.part
            ));
        }
    }

    /// Gives a task up. A job that lasts goes on without it: what is at work of it serves its
    /// users, and to stop all of that at once would break its availability budget.
    fn give_up(&mut self, id: &WorkerId, task: &TaskId, crashes: usize, suspicion: f64) {
        self.notes.push(format_args!(
            "event=task_given_up worker={id} task={task} crashes={crashes} suspicion={suspicion:.1}"
        ));
        self.tally.given_up += 1;
        self.crash_rate.explain(task, self.now);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if !job.step(task).is_some_and(|s| s.long_running) {
            self.end_job(task.job, Outcome::Failed);
            return;
        }
        if let Some(t) = job.task_mut(task) {
            t.given_up = true;
        }
        self.dirty.insert(task.job);
        if job.all_done_or_given_up() {
            self.end_job(task.job, Outcome::Failed);
        }
    }

    /// A run is over since the lease of its worker has ended. Whether that has crashed or is
    /// cut off shows later; until then young runs are suspected.
    pub(super) fn take_lapsed(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32) {
        let Some(l) = self.lost(id, task_id, attempt) else { return };
        let rate = self.rate_without(task_id);
        let threshold = self.policy.crashes.suspicious;
        if l.part < Part::Unheard
            && let Some(task) = self.jobs.get_mut(&task_id.job).and_then(|j| j.task_mut(task_id))
        {
            let timed: Vec<Duration> = task.crashes.timed().chain(l.within).collect();
            if blame(timed.len(), timed.iter().sum(), rate) >= threshold {
                suspect(task, l.lasted, self.now);
            }
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.lapsed.push(l);
        }
    }

    /// Suspects tasks that were lost with several workers under earlier lease holders.
    pub(super) fn suspect_inherited(&self, job: &mut Job) {
        let rate = self.rate_without(&TaskId { job: job.key, round: 0, step: 0, index: 0 });
        for task in job.rounds.iter_mut().flatten().flatten() {
            let many = task.crashes.count() >= SUSPECT_INHERITED;
            let timed = task.crashes.timed().count();
            let chance = timed >= 2 && task.crashes.suspicion(rate) < self.policy.crashes.suspicious;
            if many && !chance {
                suspect(task, None, self.now);
            }
        }
    }

    /// Forgets crashes under lasting tasks that have been at work for long since.
    pub(super) fn clear_proven(&mut self) {
        let lasting = self.workers.values().filter(|w| w.reachable).flat_map(|w| &w.lasting);
        let proven: Vec<TaskId> = lasting.filter(|id| self.is_proven(id)).copied().collect();
        for id in proven {
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(&id)) {
                task.crashes = Crashes::default();
                task.suspicion = None;
                self.dirty.insert(id.job);
            }
        }
    }

    fn is_proven(&self, id: &TaskId) -> bool {
        let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else { return false };
        let proven =
            |r: &Run| r.is_warmed_up() && r.confirmed_at.is_some_and(|at| at + PROVEN_AFTER <= self.now);
        !task.crashes.is_empty() && task.runs.iter().any(proven)
    }
}

/// Puts a task under suspicion, whose run had lasted for so long.
fn suspect(task: &mut Task, lasted: Option<Duration>, now: Duration) {
    let longest = task.suspicion.and_then(|s| s.lasted).max(lasted);
    task.suspicion = Some(Suspicion { since: now, lasted: longest });
}
