//! Gangs: their members work jointly, break together and are done together. Faulty workers fail all that they start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use workswood_core::jobs::{EndKind, JobKey, StepId, StepSpec, TaskId};

use super::worker::Running;
use super::{ATTEMPTS, JobNumber, STEP, World};

/// A member that waits this long for the others ends alone.
const MEMBER_WAITS: Duration = Duration::from_secs(3);
/// A faulty worker fails a run within this time, in milliseconds.
const FAILS_WITHIN_MS: u64 = 150;
/// Of so many gangs that work, one has members that fail.
const FAILING_INTERVAL: u64 = 4;

/// One joint run of a gang.
type JointRun = (StepId, u32);

/// What is known of gangs, and which workers are faulty.
#[derive(Default)]
pub(super) struct Gangs {
    /// Until when each worker fails all that it starts, by its index.
    faulty_until: BTreeMap<usize, Duration>,
    /// Joint runs all of whose members have come together.
    joined: BTreeSet<JointRun>,
    /// Joint runs of which a member has ended.
    ended: BTreeSet<JointRun>,
    /// Attempts in which members failed.
    failed: BTreeMap<StepId, BTreeSet<u32>>,
}

impl World {
    /// Has a worker fail all that it starts for a while.
    pub fn make_faulty(&mut self, at: usize, long: Duration) {
        self.gangs.faulty_until.insert(at, self.now + long);
    }

    /// The step of a gang that a task belongs to.
    pub(super) fn gang_step(&self, task: &TaskId) -> Option<&StepSpec> {
        let spec = self.jobs.get(&task.job.number)?;
        spec.steps.get(usize::from(task.step)).filter(|s| s.gang)
    }

    /// All members of the gang of a task, or the task alone.
    pub(super) fn members(&self, task: TaskId) -> Vec<TaskId> {
        match self.gang_step(&task) {
            Some(step) => (0..step.count).map(|index| TaskId { index, ..task }).collect(),
            None => vec![task],
        }
    }

    /// Changes a run that begins: a faulty worker fails it, and a member of a gang waits for the others.
    pub(super) fn begin_jointly(&mut self, at: usize, task: &TaskId, run: Running) -> Running {
        let now = self.now;
        if self.gangs.faulty_until.get(&at).is_some_and(|until| now < *until) {
            let after = Duration::from_millis(1 + self.rng.below(FAILS_WITHIN_MS));
            return Running { kind: EndKind::Failed, ends_at: now + after, ..run };
        }
        if self.gang_step(task).is_none() {
            return run;
        }
        Running { kind: EndKind::Alone, ends_at: now + MEMBER_WAITS, ..run }
    }

    /// Notes which joint runs have failed.
    pub(super) fn note_joint_failure(&mut self, task: &TaskId, attempt: u32) {
        if self.gang_step(task).is_some() {
            self.gangs.failed.entry(task.step_id()).or_default().insert(attempt);
            self.seen.failed_gangs += 1;
        }
    }

    /// Whether some gang of a job has failed in all of its attempts.
    pub(super) fn gang_exhausted(&self, key: JobNumber) -> bool {
        let of_job = |step: &StepId| step.job == JobKey::of_number(key);
        self.gangs.failed.iter().any(|(step, attempts)| of_job(step) && attempts.len() >= ATTEMPTS as usize)
    }

    /// Breaks joint runs of which a member has ended or is gone, and begins those whose members are all there.
    pub(super) fn settle_gangs(&mut self, ended: &[(usize, TaskId, u32, EndKind)]) {
        for (_, task, attempt, _) in ended {
            if self.gang_step(task).is_some() {
                self.gangs.ended.insert((task.step_id(), *attempt));
            }
        }
        let mut joint: BTreeMap<JointRun, u32> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| w.up) {
            for (task, run) in w.running.iter().filter(|(task, _)| self.gang_step(task).is_some()) {
                *joint.entry((task.step_id(), run.attempt)).or_default() += 1;
            }
        }
        for (run, members) in joint {
            let count = self.gang_step(&run.0.task(0)).map_or(0, |s| s.count);
            let complete = members == count;
            if self.gangs.ended.contains(&run) || !complete && self.gangs.joined.contains(&run) {
                self.break_joint_run(run);
            } else if complete && self.gangs.joined.insert(run) {
                self.begin_joint_run(run);
            }
        }
    }

    fn break_joint_run(&mut self, run: JointRun) {
        let ends_at = self.now + STEP;
        self.change_members(run, |_, member| {
            if member.kind != EndKind::Failed && member.kind != EndKind::Broken {
                (member.kind, member.ends_at) = (EndKind::Broken, ends_at);
            }
        });
    }

    /// All members are there: they are done together, or some of them fail together.
    fn begin_joint_run(&mut self, run: JointRun) {
        let ends_at = self.now + self.draw_run_time();
        let fails = self.rng.below(FAILING_INTERVAL) == 0;
        let failing = self.rng.below(u64::from(u32::MAX)) as u32 | 1;
        self.change_members(run, |task, member| {
            if member.kind == EndKind::Alone {
                let kind = match (fails, failing >> (task.index % u32::BITS) & 1) {
                    (false, _) => EndKind::Done,
                    (true, 1) => EndKind::Failed,
                    (true, _) => EndKind::Broken,
                };
                (member.kind, member.ends_at) = (kind, ends_at);
            }
        });
    }

    fn change_members(&mut self, run: JointRun, change: impl Fn(&TaskId, &mut Running)) {
        let (step, attempt) = run;
        for w in &mut self.workers {
            let members = w.running.iter_mut().filter(|(t, r)| t.step_id() == step && r.attempt == attempt);
            members.for_each(|(task, member)| change(task, member));
        }
    }
}
