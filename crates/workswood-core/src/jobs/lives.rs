//! Workers that start again under their name.
//!
//! Such a worker holds and knows nothing of its life before; its clock and the numbers of its ends start
//! anew. Calls name only the worker, so what was sent to the earlier life may still reach the later one.
//!
//! * The later life is attended with a token that is higher than those of the earlier one. Once it has
//!   answered, it refuses what was meant for the earlier life, and its answer lists what it took of that.
//! * Until then, what the earlier life ran may run in the later one. So it is settled with that answer:
//!   what is listed goes on in the later life, the rest is over.
//! * A lease that was meant for the earlier life is read on the clock of the later one, on which it may
//!   last as long as the platform lets any lease last.

use std::time::Duration;

use super::crash::LifeEnd;
use super::job::{Run, WorkerId};
use super::sched::Scheduler;
use super::spec::TaskId;
use super::types::lease_span;
use super::worker::{Report, Worker, WorkerInfo};
use crate::ids::UnixMs;

impl Scheduler {
    /// An answer shows that a worker has started again at a time; when its life before last answered.
    pub(super) fn restarted(&mut self, id: &WorkerId, started: UnixMs, heard: Duration) {
        self.record_last_heard(id, heard);
        let Some(info) = self.workers.get(id).map(|w| w.info.clone()) else { return };
        let later = WorkerId::life(id.name(), Some(started));
        // The answer may be older than what is known by now.
        if !later.follows(id) || self.has_later_life(&later) {
            return;
        }
        if let Some(info) = info.filter(|_| !self.workers.contains_key(&later)) {
            // It may be of another kind: its room and labels are known once it is listed.
            let info = WorkerInfo::restore(later.clone(), info.record());
            let now = self.now;
            self.workers.get_or_insert_with(&later, || Worker::unknown(now, now)).info = Some(info.into());
            self.dirty_workers.insert(later.clone());
            self.attend(&later);
        }
        self.replace_earlier_lives(&later);
    }

    /// Whether a later life of the same worker is known.
    pub(super) fn has_later_life(&self, id: &WorkerId) -> bool {
        self.workers.lives_of(id.name()).iter().any(|other| other.follows(id))
    }

    /// Lives of the same worker that were before this one.
    fn earlier_lives(&self, id: &WorkerId) -> Vec<WorkerId> {
        self.workers.lives_of(id.name()).iter().filter(|other| id.follows(other)).cloned().collect()
    }

    /// Takes in that a life is known: of the lives of its worker only the latest goes on.
    pub(super) fn note_life(&mut self, id: &WorkerId) {
        let lives = self.workers.lives_of(id.name());
        if lives.len() > 1
            && let Some(latest) = lives.iter().max_by_key(|life| life.started()).cloned()
        {
            self.replace_earlier_lives(&latest);
        }
    }

    /// Lives before this one are attended no longer; what they ran is settled with the first
    /// answer of this one.
    fn replace_earlier_lives(&mut self, later: &WorkerId) {
        for id in self.earlier_lives(later) {
            let bound = self.stray_lease_end();
            let Some(mut w) = self.workers.get_mut(&id).filter(|w| !w.replaced) else { continue };
            w.replaced = true;
            w.listed = false;
            w.lease_end = w.lease_end.max(bound);
            let (runs, relays) = (w.runs.len(), w.relays);
            drop(w);
            self.note_relays(&id, relays);
            self.notes.push(format_args!("event=worker_restarted worker={later} before={id} runs={runs}"));
            self.stop_attending(&id);
            if runs == 0 {
                self.end_incarnation(&id, LifeEnd::OtherLife);
            }
        }
    }

    /// When a lease has ended that is sent now and is read on the clock of a later life.
    fn stray_lease_end(&self) -> Duration {
        self.now + lease_span(self.limits.longest_lease, self.limits.drift)
    }

    /// Settles what earlier lives ran with the first answer of a later one.
    pub(super) fn settle_earlier_lives(&mut self, later: &WorkerId, report: &Report) {
        let lives = self.earlier_lives(later);
        if lives.is_empty() {
            return;
        }
        let bound = self.stray_lease_end();
        if let Some(mut w) = self.workers.get_mut(later) {
            w.lease_end = w.lease_end.max(bound);
        }
        let running = report.running.iter().map(|r| (r.task, r.attempt));
        let ended = report.ended.iter().map(|e| (e.task, e.attempt));
        let listed: Vec<(TaskId, u32)> = running.chain(ended).collect();
        for id in lives {
            for (task, attempt) in &listed {
                self.carry_over(&id, later, task, *attempt);
            }
            self.end_incarnation(&id, LifeEnd::OtherLife);
        }
    }

    /// A run that was meant for an earlier life goes on in a later one, or has ended there.
    fn carry_over(&mut self, earlier: &WorkerId, later: &WorkerId, task: &TaskId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(task.step)) else { return };
        let Some(t) = job.task_mut(task) else { return };
        let meant = |r: &&mut Run| r.worker == *earlier && r.attempt == attempt;
        let Some(run) = t.runs.iter_mut().find(meant) else { return };
        run.worker = later.clone();
        if let Some(mut w) = self.workers.get_mut(earlier) {
            w.release(*task, attempt);
        }
        if let Some(mut w) = self.workers.get_mut(later) {
            w.take(*task, attempt, spec.reservation(step));
            w.mark(task, step);
        }
        self.dirty.insert(task.job);
        self.notes.push(format_args!(
            "event=run_carried_over worker={later} before={earlier} task={task} attempt={attempt}"
        ));
    }
}
