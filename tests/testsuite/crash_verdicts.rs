//! What follows from the crashes under a task: it is given up on proof only, paced without one, and taken
//! back once the proof is gone.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence, MAX_CRASHES};
use workswood_core::jobs::crash_rate::CrashRate;
use workswood_core::jobs::{Action, Event, Job, JobKey, JobStatus, Outcome, StepSpec, TaskId, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of a site.
const HOSTS: usize = 4;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 100;
/// Time after which the run of a silent worker has lapsed, and the entry of a crashed one may still be
/// listed, in milliseconds.
const LAPSED_AFTER_MS: u64 = 6000;
/// Longest wait of a task whose restarts are paced, in milliseconds.
const LONGEST_PACE_MS: u64 = 2000;

/// Time at work after which a task is taken to be sound, in milliseconds.
const PROVEN_AFTER_MS: u64 = 11_000;

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn ordinary() -> StepSpec {
    step(1, vec![])
}

fn lasting() -> StepSpec {
    StepSpec { long_running: true, ..ordinary() }
}

/// A crash right after the start of a run, on a worker that is not known by its name now.
fn crash(certainty: Certainty) -> CrashRecord {
    let max_run_time = Some(Duration::from_millis(10));
    CrashRecord { certainty, ..CrashRecord::possible(Evidence::LikelyCause, max_run_time) }
}

/// A site with one task, and where it has been started.
struct Site {
    world: HostWorld,
    lives: Vec<usize>,
    /// Hosts that don't answer.
    silent: Vec<usize>,
    run: Option<(usize, Action)>,
    ms: u64,
}

impl Site {
    /// Takes over a job whose first task has these crashes on record.
    fn restored(step: StepSpec, crashes: &[CrashRecord], given_up: bool) -> Site {
        let mut world = HostWorld::new(HOSTS);
        let spec = Arc::new(job(vec![step], 0));
        let mut before = Job::new(TASK.job, spec.clone());
        before.open_round();
        let mut record = before.record();
        let task = &mut record.rounds[0][0][0];
        task.crashes = CrashHistory((1..).zip(crashes.iter().cloned()).collect());
        task.latest_attempt = crashes.len() as u32;
        task.given_up = given_up;
        world.sched.restore_job(TASK.job, Some(spec), Some(record));
        Site { world, lives: vec![0; HOSTS], silent: vec![], run: None, ms: 0 }
    }

    fn tick(&mut self) {
        self.ms += TICK_MS;
        self.world.at(self.ms);
        for n in (0..HOSTS).filter(|n| !self.silent.contains(n)) {
            let here: Vec<Action> =
                self.run.iter().filter(|(on, _)| *on == n).map(|(_, a)| a.clone()).collect();
            self.world.report(n, self.lives[n], &here);
        }
        for a in self.world.tick() {
            if let Action::Start { worker, task, attempt, .. } = &a
                && *task == TASK
            {
                self.world.taken(worker, *task, *attempt);
                let n = worker.split('-').nth(1).and_then(|n| n.parse().ok()).expect("a host");
                self.run = Some((n, a));
            }
        }
    }

    fn play(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.tick();
        }
    }

    /// Time until the task is started; `None` if that is not within ten seconds.
    fn wait_for_start(&mut self) -> Option<u64> {
        let begin = self.ms;
        while self.run.is_none() && self.ms < begin + 10_000 {
            self.tick();
        }
        self.run.as_ref().map(|_| self.ms - begin)
    }

    /// The worker of the task falls silent; returns its host.
    fn silence(&mut self) -> usize {
        let (n, _) = self.run.take().expect("the task runs");
        let heard = self.world.sched.now;
        let lease_end = heard + Duration::from_secs(5);
        self.world.tells(&worker(n, self.lives[n]).id, WorkerUpdate::Unanswered { lease_end, heard });
        self.silent.push(n);
        n
    }

    /// Another worker is on a host, and runs nothing.
    fn replace(&mut self, n: usize) {
        self.lives[n] += 1;
        self.silent.retain(|other| *other != n);
        let hosts = self.lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life)));
        self.world.list(hosts.collect());
        self.world.sched.handle(Event::WorkerListed(worker(n, self.lives[n])));
    }

    /// The worker of the task crashes right after the start.
    fn crash(&mut self) {
        self.wait_for_start().expect("it is started");
        let n = self.silence();
        self.ms += TICK_MS;
        self.world.at(self.ms);
        self.replace(n);
    }

    /// The worker of the task is cut off right after the start, and replaced after the run has lapsed.
    fn cut_off(&mut self) {
        self.wait_for_start().expect("it is started");
        let n = self.silence();
        self.play(LAPSED_AFTER_MS);
        self.replace(n);
    }

    /// A worker that was counted as crashed lives.
    fn take_back_crash(&mut self, host: usize) {
        let id = worker(host, 0).id;
        let task = self.world.sched.jobs.get_mut(&TASK.job).and_then(|job| job.task_mut(&TASK));
        assert_eq!(task.expect("it is known").crashes.withdraw(&id).len(), 1);
        self.world.sched.reconsider_task(&TASK);
    }

    fn given_up(&self) -> u64 {
        self.world.sched.counters.tasks_given_up
    }

    fn certain_crashes(&self) -> (usize, usize) {
        let crashes = &self.world.sched.jobs[&TASK.job].task(&TASK).expect("it is known").crashes;
        (crashes.certain_count(), crashes.count())
    }

    fn status(&self) -> Option<JobStatus> {
        self.world.sched.jobs.status(&TASK.job)
    }
}

/// Given up by two crashes; returns the host of the first one too.
fn given_up_site() -> (Site, usize) {
    let mut site = Site::restored(lasting(), &[], false);
    site.wait_for_start();
    let (first, _) = site.run.clone().expect("it runs");
    site.crash();
    site.crash();
    assert_eq!((site.given_up(), site.certain_crashes()), (1, (2, 2)));
    (site, first)
}

#[test]
fn possible_crashes_never_prove() {
    for step in [lasting(), ordinary()] {
        let mut site = Site::restored(step, &vec![crash(Certainty::Possible); 4], false);
        for count in 5..8 {
            site.cut_off();
            assert_eq!((site.given_up(), site.certain_crashes()), (0, (0, count)));
        }
    }
}

#[test]
fn one_certain_among_many_is_no_proof() {
    for step in [lasting(), ordinary()] {
        let mut site = Site::restored(step, &vec![crash(Certainty::Possible); 6], false);
        site.crash();
        assert_eq!((site.given_up(), site.certain_crashes()), (0, (1, 7)));
    }
}

#[test]
fn two_certain_prove() {
    for step in [lasting(), ordinary()] {
        let mut site = Site::restored(step, &[crash(Certainty::Certain)], false);
        site.crash();
        site.crash();
        assert_eq!(site.given_up(), 1);
        assert_eq!(site.wait_for_start(), None);
    }
}

/// The run of the last one lapses; its life may have ended at any time after that.
#[test]
fn two_certain_of_five_exhaust() {
    let crashes = [Certainty::Certain, Certainty::Possible, Certainty::Certain, Certainty::Possible];
    let mut site = Site::restored(lasting(), &crashes.map(crash), false);
    site.cut_off();
    assert_eq!((site.given_up(), site.certain_crashes()), (1, (2, 5)));
}

/// What a crash is on record as that came before a change of the holder.
fn inherited() -> CrashRecord {
    CrashRecord::possible(Evidence::Unconfirmed, None)
}

/// The holder has changed after each of the others, so that they can't be certain.
#[test]
fn one_certain_among_inherited_exhausts() {
    let one_certain = [vec![inherited(); 4], vec![crash(Certainty::Certain)]].concat();
    let site = Site::restored(lasting(), &one_certain, true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 0);
    let site = Site::restored(lasting(), &one_certain[1..], true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
}

/// Each may have been cut off, however many there are.
#[test]
fn inherited_alone_are_no_proof() {
    let site = Site::restored(lasting(), &vec![inherited(); 8], true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
}

/// No run of it had started when its workers crashed; the others have lapsed.
#[test]
fn unstarted_and_lapsed_are_no_proof() {
    let unstarted = CrashRecord { evidence: Evidence::Unconfirmed, ..crash(Certainty::Certain) };
    let crashes = [vec![unstarted; 2], vec![crash(Certainty::Lapsed); 3]].concat();
    let site = Site::restored(lasting(), &crashes, true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
}

#[test]
fn history_is_bounded() {
    let mut history = CrashHistory::default();
    history.record(1, crash(Certainty::Certain));
    for attempt in 2..100 {
        assert!(history.record(attempt, crash(Certainty::Possible)), "it is new");
    }
    assert_eq!((history.count(), history.certain_count()), (MAX_CRASHES, 1));
    assert!(history.0.contains_key(&99), "the latest are kept");
}

/// They may have been cut off, each under another holder.
#[test]
fn five_lapsed_are_no_proof() {
    let lapsed = CrashRecord { certainty: Certainty::Lapsed, ..inherited() };
    let site = Site::restored(lasting(), &vec![lapsed; 5], true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
}

/// It is given up for the lapse of an earlier run.
#[test]
fn task_at_work_comes_back() {
    let mut site = Site::restored(lasting(), &[crash(Certainty::Certain)], false);
    site.wait_for_start();
    let job = site.world.sched.jobs.get_mut(&TASK.job);
    job.and_then(|job| job.task_mut(&TASK)).expect("it is known").given_up = true;
    site.play(PROVEN_AFTER_MS);
    assert_eq!((site.world.sched.counters.tasks_reinstated, site.certain_crashes()), (1, (0, 0)));
}

/// This holder has seen the run of the fifth one lapse.
#[test]
fn lapse_beside_inherited_is_no_proof() {
    let mut site = Site::restored(lasting(), &vec![inherited(); 4], false);
    site.cut_off();
    assert_eq!((site.given_up(), site.certain_crashes()), (0, (0, 5)));
}

/// Whether the start arrived before the crash is not known.
#[test]
fn unstarted_runs_are_no_proof_on_trial() {
    let unstarted = CrashRecord { evidence: Evidence::Unconfirmed, ..crash(Certainty::Certain) };
    let mut site = Site::restored(lasting(), &[unstarted], false);
    site.crash();
    assert_eq!((site.given_up(), site.certain_crashes()), (0, (2, 2)));
}

#[test]
fn five_possible_are_paced() {
    let mut site = Site::restored(lasting(), &vec![crash(Certainty::Possible); 5], false);
    site.play(LONGEST_PACE_MS - TICK_MS);
    assert!(site.run.is_none(), "it is started at once");
    assert!(site.wait_for_start().is_some_and(|ms| ms <= 2 * TICK_MS), "it stays away");
}

/// It has no restart deadline that a pace would give way to.
#[test]
fn ordinary_task_is_not_paced() {
    let mut site = Site::restored(ordinary(), &vec![crash(Certainty::Possible); 5], false);
    assert!(site.wait_for_start().is_some_and(|ms| ms <= 2 * TICK_MS), "it waits");
}

#[test]
fn fewer_are_not_paced() {
    let mut site = Site::restored(lasting(), &vec![crash(Certainty::Possible); 4], false);
    assert!(site.wait_for_start().is_some_and(|ms| ms <= 2 * TICK_MS), "it waits");
}

#[test]
fn paced_member_holds_its_gang() {
    let gang = StepSpec { gang: true, count: 2, ..lasting() };
    let mut site = Site::restored(gang, &vec![crash(Certainty::Possible); 5], false);
    site.play(LONGEST_PACE_MS - TICK_MS);
    let starts = |a: &&Action| matches!(a, Action::Start { .. });
    assert_eq!(site.world.actions.iter().filter(starts).count(), 0);
    site.play(2 * TICK_MS);
    assert_eq!(site.world.actions.iter().filter(starts).count(), 2);
}

#[test]
fn task_comes_back() {
    let (mut site, first) = given_up_site();
    assert_eq!(site.wait_for_start(), None, "there is proof");
    site.take_back_crash(first);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
    assert_eq!(site.wait_for_start(), Some(TICK_MS), "it has been away for long");
    let record = site.world.sched.jobs[&TASK.job].record();
    assert!(!record.rounds[0][0][0].given_up);
}

#[test]
fn task_with_proof_left_stays() {
    let mut site = Site::restored(lasting(), &vec![crash(Certainty::Certain); 3], true);
    site.world.sched.reconsider_task(&TASK);
    assert_eq!((site.wait_for_start(), site.world.sched.counters.tasks_reinstated), (None, 0));
}

#[test]
fn given_up_again_after_its_return() {
    let (mut site, first) = given_up_site();
    site.take_back_crash(first);
    site.crash();
    assert_eq!(site.given_up(), 2);
    assert_eq!(site.wait_for_start(), None);
}

#[test]
fn suspicion_ends_with_the_last_crash() {
    let mut site = Site::restored(lasting(), &[], false);
    site.wait_for_start();
    let (first, _) = site.run.clone().expect("it runs");
    site.crash();
    let suspected =
        |site: &Site| site.world.sched.jobs[&TASK.job].task(&TASK).is_some_and(|t| t.suspicion.is_some());
    assert!(suspected(&site));
    site.take_back_crash(first);
    assert!(!suspected(&site));
}

#[test]
fn given_up_on_old_record_comes_back() {
    let mut site = Site::restored(lasting(), &vec![crash(Certainty::Possible); 5], true);
    assert_eq!(site.world.sched.counters.tasks_reinstated, 1);
    assert!(site.wait_for_start().is_some_and(|ms| ms <= LONGEST_PACE_MS + TICK_MS), "it stays away");
}

/// The next holder does not know the rate of crashes.
#[test]
fn given_up_on_proof_outlasts_the_holder() {
    let slow = CrashRecord { max_run_time: Some(Duration::from_secs(100)), ..crash(Certainty::Certain) };
    let mut site = Site::restored(lasting(), &[slow.clone(), slow], true);
    assert_eq!((site.wait_for_start(), site.world.sched.counters.tasks_reinstated), (None, 0));
}

#[test]
fn ordinary_job_not_failed_on_lapses() {
    let mut site = Site::restored(ordinary(), &[], false);
    for _ in 0..7 {
        site.cut_off();
        assert_ne!(site.status(), Some(JobStatus::Ended(Outcome::Failed)));
    }
}

/// Tasks that were given up lower the threshold for others, and explain crashes.
#[test]
fn taken_back_task_lowers_no_threshold() {
    let at = Duration::from_secs(1);
    let mut rate = CrashRate::default();
    let other = TaskId { job: JobKey::of_number(2), ..TASK };
    let rate_of_other = |rate: &CrashRate| rate.rate_without(&other, at, 10, at);
    rate.record_crash(at, "w-1".into(), vec![TASK], 1.0);
    let before = rate_of_other(&rate);
    rate.record_given_up(&TASK, at);
    assert_eq!(rate.recently_given_up(at), 1);
    assert!(rate_of_other(&rate) < before);
    rate.withdraw_given_up(&TASK);
    assert_eq!((rate.recently_given_up(at), rate_of_other(&rate)), (0, before));
}

/// It was at work on another worker already when it was given up, and stays so.
#[test]
fn task_at_work_is_proven_safe() {
    let crashes = [Certainty::Certain, Certainty::Possible, Certainty::Certain, Certainty::Possible];
    let mut site = Site::restored(lasting(), &crashes.map(crash), false);
    site.cut_off();
    let is_given_up = |site: &Site| site.world.sched.jobs[&TASK.job].task(&TASK).is_some_and(|t| t.given_up);
    assert!(is_given_up(&site) && site.run.is_some());
    site.play(11_000);
    assert!(!is_given_up(&site), "it would not be started again");
}
