//! Handling of worker events other than reports: listing, unreachability, replies to starts and
//! stops, ends of incarnations and of leases; and settling of the runs that these end.
//!
//! A task may be started again only when its earlier run cannot be executing any more. This is
//! known when the worker refused the start and accepted no earlier request for it, when a later
//! report does not list the run, when that incarnation of the worker is over, or when the lease of
//! the worker has expired.

use std::sync::Arc;
use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::host::HostState;
use super::job::{FULL_PACE_PERCENT, Phase, Run, StartOrder, WorkerId};
use super::log_lines::OrWord;
use super::outage::StoreAccess;
use super::over_runs::{OverAs, START_REFUSED};
use super::scheduler::Scheduler;
use super::spec::{StepSpec, TaskId};
use super::types::{Action, StartReply, StopReply};
use super::worker::{Worker, WorkerInfo};

/// A stop that had no effect is sent again after this time.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// A stop that the worker accepted is sent again only after this time, since probes that were sent
/// before it may still list the run.
const ACCEPTED_STOP_RETRY_AFTER: Duration = Duration::from_millis(4000);
/// Most orders of one start without an answer before its run is stopped, to a worker that falls silent each time.
const MAX_UNANSWERED_STARTS: u32 = 3;
/// The same to a worker that answers polls meanwhile.
const MAX_STARTS_UNANSWERED_BESIDE_POLLS: u32 = 2;

/// Worker, task and attempt of a run.
type WorkerRun = (WorkerId, TaskId, u32);

/// Runs for which a stop is due.
#[derive(Default)]
struct RunsToStop {
    /// Runs whose earlier stop had no effect.
    retries: Vec<WorkerRun>,
    /// Runs that make no progress.
    stalled: Vec<WorkerRun>,
    /// Runs whose start had no answer.
    unanswered: Vec<WorkerRun>,
}

impl Scheduler {
    /// Handles a worker in the worker list that is new or changed.
    pub(super) fn worker_listed(&mut self, info: WorkerInfo) {
        let id = info.id.clone();
        if self.has_later_incarnation(&id) {
            self.notes.push(format_args!("event=worker_ignored worker={id} reason=has_started_again"));
            return;
        }
        if !self.config.services.contains_key(&info.service) {
            self.notes.push(format_args!("event=worker_ignored worker={id} service={}", info.service));
            self.worker_unlisted(&id);
            self.workers_without_service.insert(id, info);
            return;
        }
        let now = self.now;
        let cordoned = self.is_cordoned(&info.host);
        let evacuated = self.evacuated.contains(&info.data_centre);
        let mut w = self.workers.get_or_insert_with(&id, || Worker::new(now, now));
        w.cordoned = cordoned;
        w.evacuated = evacuated;
        let newly_listed = w.info.is_none() || !w.listed;
        let same_kind = |i: &Arc<WorkerInfo>| {
            i.capacity == info.capacity && i.labels == info.labels && i.service == info.service
        };
        let new_kind = newly_listed || !w.info.as_ref().is_some_and(same_kind);
        let starts_draining = info.draining && !w.info.as_ref().is_some_and(|i| i.draining);
        let recorded = w.info.as_ref().is_some_and(|i| i.record() == info.record());
        let changes_service = w.info.as_ref().is_some_and(|i| i.service != info.service);
        // The worker is open on record for the tasks of the service that the record names.
        w.open_on_record &= !changes_service;
        // A worker that is recorded, or was missing from the list for a while, may have a relay
        // already.
        let has_relay = w.info.as_ref().is_some_and(|i| i.address == info.address);
        self.services_to_place.insert(info.service.clone());
        w.info = Some(Arc::new(info.clone()));
        w.listed = true;
        w.unlisted_at = None;
        drop(w);
        if new_kind {
            self.restore_steps_for(&info);
        }
        self.forget_ended(&id);
        if newly_listed && !recorded || changes_service {
            self.dirty_workers.insert(id.clone());
        }
        if newly_listed {
            self.notes.push(format_args!(
                "event=worker_listed worker={id} service={} address={} machine={}",
                info.service, info.address, info.host
            ));
            if !has_relay {
                self.request_relay(&id);
            }
        } else if starts_draining {
            self.notes.push(format_args!("event=worker_draining worker={id} service={}", info.service));
            self.withdraw_starts_on(&id);
        }
        self.keep_latest_incarnation(&id);
    }

    /// Ends unreachable incarnations whose host, according to the host list, is down without a
    /// worker, is in the spare pool without a worker, or runs another worker. The worker list
    /// cannot show this: its records outlive the incarnation, and a late write may appear after its
    /// end. `requested_at` is when the host list was requested; only incarnations known before that
    /// are ended. A host without a worker tells nothing of one that has answered since: the list may be
    /// older than the answer. Another worker on its host began later.
    pub(super) fn end_incarnations_by_host_list(&mut self, requested_at: Duration) {
        let spare = self.spare_pool();
        let is_over = |id: &WorkerId, w: &Worker| {
            let Some(info) = &w.info else { return false };
            let Some(host) = self.hosts.get(&info.host) else { return false };
            let absent_from_host = match (host.state, &host.worker) {
                // The host list names workers, not their incarnations.
                (HostState::Up, Some(listed)) => listed.name() != id.name(),
                (HostState::Down, None) => true,
                (HostState::Up, None) => spare.as_ref() == Some(&host.pool),
                _ => false,
            };
            let older_than_answer = host.worker.is_none() && w.last_heard >= requested_at;
            absent_from_host && !w.reachable && w.known_since < requested_at && !older_than_answer
        };
        let ended: Vec<WorkerId> =
            self.workers.iter().filter(|(id, w)| is_over(id, w)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end_incarnation(&id, IncarnationEnd::HostWithoutWorker);
        }
    }

    /// Handles a worker that is no longer listed. It may still run, cut off from the store.
    pub(super) fn worker_unlisted(&mut self, id: &WorkerId) {
        self.workers_without_service.remove(id);
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.listed = false;
        w.unlisted_at = Some(self.now);
        self.notes.push(format_args!("event=worker_unlisted worker={id} runs={}", w.runs.len()));
        drop(w);
        self.forget_if_unlisted_and_idle(id);
    }

    /// Forgets a worker that is neither listed nor has any runs, whether or not it is reachable.
    pub(super) fn forget_if_unlisted_and_idle(&mut self, id: &WorkerId) {
        let idle = self.workers.get(id).is_some_and(|w| !w.listed && w.runs.is_empty());
        if idle && self.is_settled(id) {
            self.attribute_crash(id, IncarnationEnd::UnreachableAndUnlisted);
            self.forget_worker(id);
        }
    }

    /// Forgets a worker. Returns whether it was known.
    fn forget_worker(&mut self, id: &WorkerId) -> bool {
        let left_lease_end = self.left_lease_end(id);
        let Some(w) = self.workers.remove(id) else { return false };
        self.remember_ended(id, if w.superseded { w.lease_end.max(left_lease_end) } else { left_lease_end });
        self.keep_forgotten_bound(id, &w);
        self.settle_barrier(id);
        self.dirty_workers.insert(id.clone());
        self.forget_relay_assignment(id, &w);
        true
    }

    /// Marks a worker that did not answer a probe as unreachable.
    pub(super) fn mark_unreachable(&mut self, id: &WorkerId, lease_end: Duration) {
        let now = self.now;
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let first = w.reachable;
        if first {
            w.silent_for = self.now.saturating_sub(w.last_heard);
            let silent = w.silent_for.as_millis();
            self.notes.push(format_args!(
                "event=worker_unreachable worker={id} runs={} silent_ms={silent}",
                w.runs.len()
            ));
        }
        w.reachable = false;
        w.lease_end = w.lease_end.max(lease_end);
        w.extensions.note_unanswered(first, now);
        drop(w);
        self.update_open(id);
    }

    /// Marks that the answer of a worker is late.
    pub(super) fn mark_answer_late(&mut self, id: &WorkerId) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.poll_overdue = true;
        }
    }

    /// Handles that another incarnation answers at the address of a worker.
    pub(super) fn handle_other_incarnation(&mut self, id: &WorkerId, heard: Duration) {
        self.record_last_heard(id, heard);
        self.end_incarnation(id, IncarnationEnd::OtherIncarnation);
    }

    /// Records when an incarnation that is over last answered, and for how long it had been silent.
    pub(super) fn record_last_heard(&mut self, id: &WorkerId, heard: Duration) {
        self.note_last_heard(id, heard);
        let now = self.now;
        if let Some(mut w) = self.workers.get_mut(id).filter(|w| w.reachable) {
            w.silent_for = now.saturating_sub(w.last_heard);
        }
    }

    /// Ends an incarnation of a worker: none of its runs exists any more.
    pub(super) fn end_incarnation(&mut self, id: &WorkerId, end: IncarnationEnd) {
        let reason = end.label();
        self.attribute_crash(id, end);
        let lost = self.workers.get(id).map_or(0, |w| w.runs.len());
        self.counters.incarnations_lost += u64::from(lost > 0);
        self.counters.runs_lost += lost as u64;
        let long_running = self.workers.get(id).map(|w| w.long_running.clone()).unwrap_or_default();
        self.settle_all_runs(id, reason);
        self.note_life_over(id, &long_running);
        if self.forget_worker(id) {
            self.notes.push(format_args!("event=worker_life_over worker={id} runs={lost} reason={reason}"));
        }
    }

    /// Runs that may exist on a worker.
    pub(super) fn runs_on(&self, id: &WorkerId) -> Vec<(TaskId, u32)> {
        self.workers.get(id).map(|w| w.runs.keys().copied().collect()).unwrap_or_default()
    }

    /// Settles all runs that may exist on a worker; `reason` is for the log.
    fn settle_all_runs(&mut self, id: &WorkerId, reason: &'static str) {
        for (task, attempt) in self.runs_on(id) {
            self.settle_run(id, &task, attempt, reason);
        }
    }

    /// Settles a run that is over without a reported end: releases its resources and queues its
    /// task again.
    pub(super) fn settle_run(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32, reason: &'static str) {
        let heard = self.workers.get_mut(id).map_or(Duration::ZERO, |mut w| {
            w.remove_run(*task_id, attempt);
            w.last_heard
        });
        let Some(task) = self.jobs.get_mut(&task_id.job).and_then(|j| j.task_mut(task_id)) else { return };
        let run = task.runs.iter().position(|r| r.worker == *id && r.attempt == attempt);
        let Some(run) = run.map(|n| task.runs.remove(n)) else { return };
        let confirmed_ago = run.confirmed_at.map(|at| self.now.saturating_sub(at));
        self.notes.push(format_args!(
            "event=run_settled worker={id} task={task_id} attempt={attempt} ran_ms={} reason={reason} \
             phase={:?} confirmed_ms_ago={}",
            OrWord::unknown(run.known_runtime(heard).map(|t| t.as_millis())),
            run.phase,
            OrWord(confirmed_ago.map(|t| t.as_millis()), "unconfirmed")
        ));
        self.remember_over(id, (*task_id, attempt), OverAs::Settled(reason));
        self.dirty_jobs.insert(task_id.job);
        self.note_run_over(task_id, &run);
        self.queue_task(task_id);
    }

    /// Looks up a run by its worker, task and attempt.
    pub(super) fn run(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<&Run> {
        let t = self.jobs.get(&task.job)?.task(task)?;
        t.runs.iter().find(|r| r.worker == *id && r.attempt == attempt)
    }

    /// Looks up a run by its worker, task and attempt, mutably.
    pub(super) fn run_mut(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<&mut Run> {
        let t = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        t.runs.iter_mut().find(|r| r.worker == *id && r.attempt == attempt)
    }

    /// Handles the reply to a start.
    pub(super) fn handle_start_reply(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
        reply: StartReply,
    ) {
        let now = self.now;
        if reply != StartReply::Taken {
            self.notes.push(format_args!(
                "event=start_not_taken worker={id} task={task} attempt={attempt} reply={reply:?}"
            ));
        }
        let recalled = self.run(id, &task, attempt).is_some_and(|r| r.start_order == StartOrder::Recalled);
        // A worker that has accepted the stop refuses the start.
        if !recalled {
            self.back_off_after_refusal(id, reply);
        }
        if reply == StartReply::Ticket {
            self.ticket_rejected(id, &task);
        }
        let wanted = self.is_run_wanted(&task);
        // A relay that has taken a start back sends no stop; an earlier order may have been carried out.
        let stop_ordered = recalled && reply != StartReply::NotSent;
        let Some(run) = self.run_mut(id, &task, attempt) else { return };
        let may_exist = reply == StartReply::NoAnswer || run.unanswered_starts > 0;
        let was_in_vain = matches!(reply, StartReply::NoAnswer | StartReply::NotSent);
        run.unanswered_starts += u32::from(may_exist && was_in_vain);
        let is_listed = run.phase == Phase::Running;
        match reply {
            StartReply::Taken if wanted => {
                run.confirmed_at.get_or_insert(now);
                if run.phase == Phase::Starting {
                    run.set_phase(Phase::Running, now);
                    run.progressed_at = now;
                }
                self.note_tasks_at_work(id);
            }
            // A listing has told before the reply that the run exists.
            StartReply::Unsure | StartReply::NoAnswer if wanted && is_listed && !recalled => {}
            StartReply::NoAnswer | StartReply::NotSent
                if may_exist && !recalled && self.may_repeat_start(id, &task, attempt) =>
            {
                self.set_unanswered(id, &task, attempt);
            }
            StartReply::Taken | StartReply::Unsure | StartReply::NoAnswer => {
                self.stop_run_once(id, &task, attempt, stop_ordered);
            }
            StartReply::Refused | StartReply::Ticket | StartReply::Unwell | StartReply::NotSent
                if may_exist =>
            {
                self.stop_run_once(id, &task, attempt, stop_ordered);
            }
            StartReply::Refused | StartReply::Ticket | StartReply::Unwell | StartReply::NotSent => {
                self.settle_run(id, &task, attempt, START_REFUSED);
            }
            StartReply::Deposed => self.note_higher_token(id),
        }
    }

    /// Whether a run of a task is still wanted.
    fn is_run_wanted(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|j| j.is_open() && j.task(task).is_some_and(|t| !t.done))
    }

    /// Has a run stopped.
    pub(super) fn stop_run(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) {
        self.stop_run_once(id, task, attempt, false);
    }

    /// Has a run stopped that is not being stopped; the relay needs no order if it has one already.
    fn stop_run_once(&mut self, id: &WorkerId, task: &TaskId, attempt: u32, ordered: bool) {
        let now = self.now;
        let Some(run) = self.run_mut(id, task, attempt) else { return };
        if matches!(run.phase, Phase::Stopping | Phase::Stopped) {
            return;
        }
        run.set_phase(Phase::Stopping, now);
        if !ordered {
            self.actions.push(Action::Stop(id.clone(), *task, attempt));
        }
    }

    /// Whether a start without an answer may be ordered again with the same attempt. A worker starts each attempt
    /// once at most, so this does no harm, whatever became of the earlier orders; and a long-running task is at work
    /// as soon as the worker answers. The number of orders is limited.
    fn may_repeat_start(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> bool {
        let Some(run) = self.run(id, task, attempt) else { return false };
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let lasts = step.is_some_and(|s| s.long_running && !s.gang) && run.trial_length.is_none();
        let silent = self.workers.get(id).is_none_or(|w| !w.reachable || w.poll_overdue);
        let most = if silent { MAX_UNANSWERED_STARTS } else { MAX_STARTS_UNANSWERED_BESIDE_POLLS };
        let starting = matches!(run.phase, Phase::Starting | Phase::Unanswered);
        lasts && starting && self.is_run_wanted(task) && run.unanswered_starts < most
    }

    /// Notes that a start had no answer, and orders it again if the worker answers.
    fn set_unanswered(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) {
        let now = self.now;
        if let Some(run) = self.run_mut(id, task, attempt) {
            run.set_phase(Phase::Unanswered, now);
        }
        self.resume_unanswered_start(id, task, attempt);
    }

    /// Orders the starts on a worker again that had no answer, or has their runs stopped.
    pub(super) fn resume_unanswered_starts(&mut self, id: &WorkerId) {
        let Some(w) = self.workers.get(id).filter(|w| !w.long_running.is_empty()) else { return };
        // Only starts of long-running tasks are repeated.
        let starts = w.runs.keys().filter(|(task, _)| w.long_running.contains(task));
        for (task, attempt) in starts.copied().collect::<Vec<_>>() {
            self.resume_unanswered_start(id, &task, attempt);
        }
    }

    fn resume_unanswered_start(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) {
        let unanswered = self.run(id, task, attempt).is_some_and(|run| run.phase == Phase::Unanswered);
        let Some(w) = self.workers.get(id).filter(|w| unanswered && w.reachable && !w.poll_overdue) else {
            return;
        };
        let store_answers = self.store_access == StoreAccess::Answering;
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let may_start = step.is_some_and(|step| self.may_start_now(step, &task.step_id()));
        let on_record = store_answers || w.open_on_record;
        if w.accepts_work() && on_record && may_start && self.is_run_wanted(task) {
            self.repeat_start(id, task, attempt);
        } else if !(w.waits_for_lease() && store_answers) {
            self.stop_run(id, task, attempt);
        }
    }

    /// Orders a start again that had no answer, with the same attempt.
    fn repeat_start(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) {
        let now = self.now;
        let Some(run) = self.run_mut(id, task, attempt) else { return };
        run.set_phase(Phase::Starting, now);
        run.start_order = StartOrder::Decided;
        let unanswered = run.unanswered_starts;
        self.notes.push(format_args!(
            "event=start_repeated worker={id} task={task} attempt={attempt} unanswered={unanswered}"
        ));
        let checkpoint =
            self.jobs.get(&task.job).and_then(|job| job.task(task)).map(|t| t.checkpoint.clone());
        self.order_start(task, id, attempt, &checkpoint.unwrap_or_default());
    }

    /// Puts a worker into backoff after it refused a start.
    fn back_off_after_refusal(&mut self, id: &WorkerId, reply: StartReply) {
        let backoff = match reply {
            StartReply::Unwell => self.policy.health.unwell_for,
            // Its free resources differ from what is known here; the next report will show them.
            StartReply::Refused => self.policy.health.refused_for,
            StartReply::Taken
            | StartReply::Ticket
            | StartReply::Unsure
            | StartReply::NoAnswer
            | StartReply::NotSent
            | StartReply::Deposed => return,
        };
        let until = self.now + backoff;
        if let Some(mut w) = self.workers.get_mut(id) {
            w.backoff_until = w.backoff_until.max(until);
        }
    }

    /// Handles the reply to a stop.
    pub(super) fn handle_stop_reply(&mut self, id: &WorkerId, task: TaskId, attempt: u32, reply: StopReply) {
        let now = self.now;
        match reply {
            StopReply::Taken => {
                if let Some(run) = self.run_mut(id, &task, attempt)
                    && run.phase == Phase::Stopping
                {
                    run.set_phase(Phase::Stopped, now);
                }
            }
            // The stop of a known run is retried by `send_due_stops`.
            StopReply::NoAnswer => {
                if self.workers.contains_key(id) && self.run_mut(id, &task, attempt).is_none() {
                    self.actions.push(Action::Stop(id.clone(), task, attempt));
                }
            }
            StopReply::Deposed => self.note_higher_token(id),
        }
    }

    /// Logs that the lease of a worker with runs is taken for over, and what that rests on.
    fn log_lease_over(&mut self, id: &WorkerId, runs: usize) {
        let Some(w) = self.workers.get(id) else { return };
        let since = |at: Duration| self.now.saturating_sub(at).as_millis();
        self.notes.push(format_args!(
            "event=worker_lease_over worker={id} runs={runs} over_ms={} heard_ms_ago={} known_ms={} \
             inherited={} superseded={}",
            since(w.lease_end),
            OrWord(w.first_heard.map(|_| since(w.last_heard)), "never"),
            since(w.known_since),
            w.known_since == self.claimed_at,
            w.superseded
        ));
    }

    /// Settles the runs of workers whose lease has expired.
    pub(super) fn settle_expired_leases(&mut self) {
        let now = self.now;
        let expired = self.workers.unreachable().filter(|(_, w)| w.lease_end < now);
        let expired: Vec<WorkerId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            // The reply to a start that is still under way may extend the lease.
            let may_begin = |(task, n): &(TaskId, u32)| {
                let is_starting = self.run(&id, task, *n).is_some_and(|r| r.phase == Phase::Starting);
                is_starting || self.may_begin_late(&id, task, *n)
            };
            let over: Vec<(TaskId, u32)> =
                self.runs_on(&id).into_iter().filter(|run| !may_begin(run)).collect();
            if !over.is_empty() {
                self.log_lease_over(&id, over.len());
            }
            for (task, attempt) in over {
                self.record_lapsed_run(&id, &task, attempt);
                self.settle_run(&id, &task, attempt, "lease_ended");
            }
            self.forget_if_unlisted_and_idle(&id);
        }
    }

    /// Resends stops that had no effect and starts without an answer, and stops runs that make no progress.
    pub(super) fn send_due_stops(&mut self) {
        let RunsToStop { retries: mut stops, stalled, unanswered } = self.runs_to_stop();
        for (id, task, attempt) in unanswered {
            self.resume_unanswered_start(&id, &task, attempt);
        }
        for (id, task, attempt) in stalled {
            self.notes.push(format_args!("event=run_stuck worker={id} task={task} attempt={attempt}"));
            self.record_fault(&id, &task);
            if let Some(t) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task)) {
                t.avoid_worker(&id, self.now);
            }
            stops.push((id, task, attempt));
        }
        let now = self.now;
        for (id, task, attempt) in stops {
            if let Some(run) = self.run_mut(&id, &task, attempt) {
                run.set_phase(Phase::Stopping, now);
            }
            self.actions.push(Action::Stop(id, task, attempt));
        }
    }

    /// Runs whose stop had no effect, and runs that make no progress.
    fn runs_to_stop(&self) -> RunsToStop {
        let mut due = RunsToStop::default();
        for (id, w) in self.workers.iter().filter(|(_, w)| w.reachable) {
            for (task, attempt) in w.runs.keys() {
                let Some(step) = self.jobs.get(&task.job).and_then(|j| j.step(task)) else { continue };
                let Some(run) = self.run(id, task, *attempt) else { continue };
                match run.phase {
                    Phase::Stopping if run.phase_since + STOP_RETRY_AFTER < self.now => {
                        due.retries.push((id.clone(), *task, *attempt));
                    }
                    // The stop was accepted; a later report settles the run.
                    Phase::Stopped if run.phase_since + ACCEPTED_STOP_RETRY_AFTER < self.now => {
                        due.retries.push((id.clone(), *task, *attempt));
                    }
                    Phase::Unanswered => due.unanswered.push((id.clone(), *task, *attempt)),
                    Phase::Running if self.is_stalled(step, run) => {
                        due.stalled.push((id.clone(), *task, *attempt));
                    }
                    _ => {}
                }
            }
        }
        due
    }

    /// Whether a run makes no progress although its worker answers. Members of a gang may wait for
    /// each other, a throttled task may be slow, and a long-running task has no progress to make
    /// after its warm-up.
    fn is_stalled(&self, step: &StepSpec, run: &Run) -> bool {
        let Some(stalled_since) = run.stalled_since else { return false };
        let policy = &self.policy.health;
        // Progress is reported in whole percent, so a long task shows none for a while.
        let limit = stalled_since + policy.stuck_after + step.estimate.mul_f64(policy.stuck_share);
        let slowed = run.pace_percent < FULL_PACE_PERCENT;
        let may_be_idle = slowed || step.long_running && run.progress_percent >= 100;
        limit < self.now && !may_be_idle && !step.gang
    }
}
