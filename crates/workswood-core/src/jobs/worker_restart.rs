//! Workers that restart under the same name.
//!
//! A restarted worker has lost all state of its earlier incarnation; its clock and the sequence
//! numbers of its ends start anew. Calls address a worker by name only, so a call meant for the
//! earlier incarnation may still reach the later one.
//!
//! * The later incarnation is polled with a higher token than the earlier one. Once it has
//!   answered, it refuses calls meant for the earlier one, and its answer lists the runs that it has
//!   started for such calls before.
//! * Until then, runs of the earlier incarnation may exist in the later one. They are settled with
//!   the first full report of it: listed runs go on in the later incarnation, the others are over.
//! * A lease that was meant for the earlier incarnation is read on the clock of the later one.
//!   There it may last as long as the longest lease that the platform accepts. What is left of that counts for the later
//!   one, also when the earlier one is forgotten ([`ended_incarnations`](super::ended_incarnations)).

use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::ended_incarnations::MAX_ORDER_DELAY;
use super::job::{Phase, Run, StartOrder, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::worker::{Report, Worker, WorkerInfo};
use crate::ids::UnixMs;

impl Scheduler {
    /// Handles an answer that shows that the worker `id` has restarted at `started`; the earlier
    /// incarnation last answered at `heard`.
    pub(super) fn worker_restarted(&mut self, id: &WorkerId, started: UnixMs, heard: Duration) {
        self.record_last_heard(id, heard);
        let Some(info) = self.workers.get(id).map(|w| w.info.clone()) else { return };
        let later = WorkerId::new(id.name(), Some(started));
        // The answer may be older than what is known by now.
        if !later.supersedes(id) || self.has_later_incarnation(&later) {
            return;
        }
        if let Some(info) = info.filter(|_| !self.workers.contains_key(&later)) {
            // The restarted worker may differ in capacity and labels, which become known once it is
            // listed.
            let info = WorkerInfo::from_record(later.clone(), info.record());
            let now = self.now;
            self.workers.get_or_insert_with(&later, || Worker::new(now, now)).info = Some(info.into());
            self.dirty_workers.insert(later.clone());
            self.request_relay(&later);
        }
        self.note_first_heard(&later);
        self.supersede_earlier_incarnations(&later);
    }

    /// Whether a later incarnation of the same worker is known.
    pub(super) fn has_later_incarnation(&self, id: &WorkerId) -> bool {
        self.workers.incarnations_of(id.name()).iter().any(|other| other.supersedes(id))
    }

    /// Known incarnations of the same worker before this one.
    fn earlier_incarnations(&self, id: &WorkerId) -> Vec<WorkerId> {
        self.workers.incarnations_of(id.name()).iter().filter(|other| id.supersedes(other)).cloned().collect()
    }

    /// Supersedes all known incarnations of the worker of `id` except the latest, and ends those without runs.
    pub(super) fn keep_latest_incarnation(&mut self, id: &WorkerId) {
        if let Some(latest) = self.latest_of_several(id) {
            self.supersede_earlier_incarnations(&latest);
        }
        self.count_earlier_leases(id);
    }

    /// Supersedes them while the runs that a predecessor recorded are not known yet.
    pub(super) fn restore_latest_incarnation(&mut self, id: &WorkerId) {
        if let Some(latest) = self.latest_of_several(id) {
            self.supersede(&latest);
        }
        self.count_earlier_leases(id);
    }

    /// The latest incarnation of the worker of `id`, if several are known.
    fn latest_of_several(&self, id: &WorkerId) -> Option<WorkerId> {
        let incarnations = self.workers.incarnations_of(id.name());
        let latest = incarnations.iter().max_by_key(|incarnation| incarnation.started_at());
        latest.filter(|_| incarnations.len() > 1).cloned()
    }

    /// Stops polling earlier incarnations. Their runs are settled with the first answer of this
    /// one.
    fn supersede_earlier_incarnations(&mut self, later: &WorkerId) {
        for id in self.supersede(later) {
            if self.runs_on(&id).is_empty() && self.is_settled(&id) {
                self.end_incarnation(&id, IncarnationEnd::OtherIncarnation);
            }
        }
        self.count_earlier_leases(later);
    }

    /// Supersedes earlier incarnations; returns those that were not before.
    fn supersede(&mut self, later: &WorkerId) -> Vec<WorkerId> {
        let mut superseded = Vec::new();
        for id in self.earlier_incarnations(later) {
            let misdelivered = self.left_lease_end(&id);
            self.note_unanswered_starts(&id);
            let Some(mut w) = self.workers.get_mut(&id).filter(|w| !w.superseded) else { continue };
            w.superseded = true;
            w.listed = false;
            // A predecessor that knew of the later incarnation has counted all that is sent to this one.
            let lease_end = w.superseded_lease_end.unwrap_or(misdelivered);
            w.own_lease_end = Some(w.lease_end);
            w.lease_end = w.lease_end.max(lease_end);
            let (runs, relays) = (w.runs.len(), w.relay_count);
            drop(w);
            self.record_relay_count(&id, relays);
            self.notes.push(format_args!("event=worker_restarted worker={later} before={id} runs={runs}"));
            self.withdraw_relay(&id);
            self.raise_lease_end(later, lease_end);
            superseded.push(id);
        }
        superseded
    }

    /// Notes that the starts that are under way to an incarnation have no answer: a later one may carry them out.
    fn note_unanswered_starts(&mut self, id: &WorkerId) {
        for (task, attempt) in self.runs_on(id) {
            let Some(run) = self.run_mut(id, &task, attempt) else { continue };
            let under_way = run.phase == Phase::Starting && run.start_order == StartOrder::HandedOn;
            if under_way || run.phase == Phase::Unanswered {
                run.unanswered_starts = run.unanswered_starts.max(1);
            }
        }
    }

    /// Whether a later incarnation may still carry out the start of a run, which had no answer.
    pub(super) fn may_begin_late(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> bool {
        let Some(w) = self.workers.get(id).filter(|w| w.superseded) else { return false };
        let run = self.run(id, task, attempt).filter(|run| run.confirmed_at.is_none());
        let unanswered = run.is_some_and(|run| run.unanswered_starts > 0);
        unanswered && self.now <= w.lease_end + MAX_ORDER_DELAY
    }

    /// Settles the runs of earlier incarnations with the first full report of a later one. Those of
    /// which an answer before it tells are carried over.
    pub(super) fn settle_earlier_incarnations(&mut self, later: &WorkerId, report: &Report) {
        if !report.full && self.workers.get(later).is_some_and(|w| w.runs_known) {
            return;
        }
        let incarnations = self.earlier_incarnations(later);
        if !incarnations.is_empty() {
            self.raise_lease_end(later, self.misdelivered_lease_end());
        }
        let running = report.running.iter().map(|r| (r.task, r.attempt));
        let ended = report.ended.iter().map(|e| (e.task, e.attempt));
        let listed: Vec<(TaskId, u32)> = running.chain(ended).collect();
        for id in incarnations {
            for (task, attempt) in &listed {
                self.carry_over_run(&id, later, task, *attempt);
            }
            if report.full {
                self.end_incarnation(&id, IncarnationEnd::OtherIncarnation);
            }
        }
        self.finalize_earlier_leases(later);
    }

    /// Moves a run of an earlier incarnation to a later one that lists the run or its end.
    fn carry_over_run(&mut self, earlier: &WorkerId, later: &WorkerId, task: &TaskId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(task.step)) else { return };
        let Some(t) = job.task_mut(task) else { return };
        let same_run = |r: &&mut Run| r.worker == *earlier && r.attempt == attempt;
        let Some(run) = t.runs.iter_mut().find(same_run) else { return };
        run.worker = later.clone();
        if let Some(mut w) = self.workers.get_mut(earlier) {
            w.remove_run(*task, attempt);
        }
        if let Some(mut w) = self.workers.get_mut(later) {
            w.add_run(*task, attempt, spec.reservation(step));
            w.note_task_kind(task, step);
        }
        self.dirty_jobs.insert(task.job);
        self.notes.push(format_args!(
            "event=run_carried_over worker={later} before={earlier} task={task} attempt={attempt}"
        ));
    }
}
