//! Which runs are over although no end was reported.
//!
//! A task may be started again only when its earlier run can't be at work any
//! more. That is known in four ways: the worker refused the start and has had
//! no earlier try of it; a report that was asked for later does not list it;
//! that life of the worker is over; or the worker's lease has ended.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::host::HostState;
use super::job::{FULL_PACE_PERCENT, Phase, Run, WorkerId};
use super::scheduler::Scheduler;
use super::spec::{StepSpec, TaskId};
use super::types::{Action, StartReply, StopReply};
use super::worker::{Worker, WorkerInfo};

/// A stop without an effect is sent again after this time.
const STOP_AGAIN: Duration = Duration::from_millis(1000);

/// Worker, task and number of a run.
type RunName = (WorkerId, TaskId, u32);

/// How long a run was known to be on its worker, in milliseconds, for the log.
struct Ran(Option<Duration>);

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(ran) => write!(f, "{}", ran.as_millis()),
            None => f.write_str("unknown"),
        }
    }
}

/// Looks that may be under way when a stop is taken; the stop is sent again
/// only after as many looks without an effect.
const LOOKS_AFTER_STOP: u32 = 4;

impl Scheduler {
    /// Takes a worker in that is listed, new or changed.
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
        let fresh = w.info.is_none() || !w.listed;
        let draining = info.draining && !w.info.as_ref().is_some_and(|i| i.draining);
        let recorded = w.info.as_ref().is_some_and(|i| i.record() == info.record());
        // One that is on record, or was not listed for a while, may be attended already.
        let attended = w.info.as_ref().is_some_and(|i| i.address == info.address);
        self.services_to_place.insert(info.service.clone());
        w.info = Some(Arc::new(info.clone()));
        w.listed = true;
        w.unlisted_at = None;
        drop(w);
        if fresh {
            self.notes.push(format_args!(
                "event=worker_listed worker={id} service={} address={} machine={}",
                info.service, info.address, info.host
            ));
            if !recorded {
                self.dirty_workers.insert(id.clone());
            }
            if !attended {
                self.request_relay(&id);
            }
        } else if draining {
            self.notes.push(format_args!("event=worker_draining worker={id} service={}", info.service));
        }
        self.keep_latest_incarnation(&id);
    }

    /// Ends lives that a list of hosts shows to be over: their host is
    /// down or off, or has another life. The list of workers does not tell: entries
    /// linger, and may be written late by a life that is over. `asked` is when
    /// the list was asked for; what was known before can't be newer than it.
    pub(super) fn end_listed_over(&mut self, asked: Duration) {
        let spare = self.spare_pool();
        let over = |id: &WorkerId, w: &Worker| {
            let Some(info) = &w.info else { return false };
            let Some(m) = self.hosts.get(&info.host) else { return false };
            let other = match (m.state, &m.worker) {
                // The list names workers, not their lives.
                (HostState::Up, Some(listed)) => listed.name() != id.name(),
                (HostState::Down, None) => true,
                (HostState::Up, None) => spare.as_ref() == Some(&m.pool),
                _ => false,
            };
            other && !w.reachable && w.known_since < asked
        };
        let over: Vec<WorkerId> =
            self.workers.iter().filter(|(id, w)| over(id, w)).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.life_over(&id, IncarnationEnd::HostWithoutWorker);
        }
    }

    /// A worker is no longer listed. It may live on, cut off from the store.
    pub(super) fn worker_unlisted(&mut self, id: &WorkerId) {
        self.workers_without_service.remove(id);
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.listed = false;
        w.unlisted_at = Some(self.now);
        self.notes.push(format_args!("event=worker_unlisted worker={id} runs={}", w.runs.len()));
        drop(w);
        self.drop_if_idle(id);
    }

    /// Forgets a worker that is neither listed nor runs anything.
    fn drop_if_idle(&mut self, id: &WorkerId) {
        let idle = self.workers.get(id).is_some_and(|w| !w.listed && w.runs.is_empty());
        if idle {
            self.attribute_crash(id, IncarnationEnd::UnreachableAndUnlisted);
            self.drop_worker(id);
        }
    }

    /// Forgets a worker; returns whether it was known.
    fn drop_worker(&mut self, id: &WorkerId) -> bool {
        let Some(w) = self.workers.remove(id) else { return false };
        self.dirty_workers.insert(id.clone());
        self.forget_relay_assignment(id, w.relay);
        true
    }

    /// A worker did not answer a look.
    pub(super) fn unanswered(&mut self, id: &WorkerId, lease_end: Duration) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        if w.reachable {
            w.silent_for = self.now.saturating_sub(w.last_heard);
            let silent = w.silent_for.as_millis();
            self.notes.push(format_args!(
                "event=worker_unreachable worker={id} runs={} silent_ms={silent}",
                w.runs.len()
            ));
        }
        w.reachable = false;
        w.lease_end = w.lease_end.max(lease_end);
    }

    /// The answer of a worker is late.
    pub(super) fn doubt(&mut self, id: &WorkerId) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.poll_overdue = true;
        }
    }

    /// A worker's address is answered by another life.
    pub(super) fn other_life_answered(&mut self, id: &WorkerId, heard: Duration) {
        self.note_last_heard(id, heard);
        self.life_over(id, IncarnationEnd::OtherIncarnation);
    }

    /// Notes when a life last answered that is over.
    pub(super) fn note_last_heard(&mut self, id: &WorkerId, heard: Duration) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.last_heard = w.last_heard.max(heard);
            if w.reachable {
                w.silent_for = self.now.saturating_sub(w.last_heard);
            }
        }
    }

    /// A life of a worker is over: nothing runs there.
    pub(super) fn life_over(&mut self, id: &WorkerId, end: IncarnationEnd) {
        let why = end.label();
        self.attribute_crash(id, end);
        let lost = self.workers.get(id).map_or(0, |w| w.runs.len());
        self.counters.incarnations_lost += u64::from(lost > 0);
        self.counters.runs_lost += lost as u64;
        self.settle_all(id, why);
        if self.drop_worker(id) {
            self.notes.push(format_args!("event=worker_life_over worker={id} runs={lost} reason={why}"));
        }
    }

    /// Runs that may exist on a worker.
    fn runs_on(&self, id: &WorkerId) -> Vec<(TaskId, u32)> {
        self.workers.get(id).map(|w| w.runs.keys().copied().collect()).unwrap_or_default()
    }

    fn settle_all(&mut self, id: &WorkerId, why: &str) {
        for (task, attempt) in self.runs_on(id) {
            self.settle(id, &task, attempt, why);
        }
    }

    /// A run is over without an end of its own.
    pub(super) fn settle(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32, why: &str) {
        let heard = self.workers.get_mut(id).map_or(Duration::ZERO, |mut w| {
            w.remove_run(*task_id, attempt);
            w.last_heard
        });
        let Some(task) = self.jobs.get_mut(&task_id.job).and_then(|j| j.task_mut(task_id)) else { return };
        let run = task.runs.iter().position(|r| r.worker == *id && r.attempt == attempt);
        let Some(run) = run.map(|n| task.runs.remove(n)) else { return };
        self.notes.push(format_args!(
            "event=run_settled worker={id} task={task_id} attempt={attempt} ran_ms={} reason={why}",
            Ran(run.known_runtime(heard))
        ));
        self.dirty_jobs.insert(task_id.job);
        self.queue_task(task_id);
    }

    pub(super) fn run(&self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<&Run> {
        let t = self.jobs.get(&task.job)?.task(task)?;
        t.runs.iter().find(|r| r.worker == *id && r.attempt == attempt)
    }

    pub(super) fn run_mut(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) -> Option<&mut Run> {
        let t = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        t.runs.iter_mut().find(|r| r.worker == *id && r.attempt == attempt)
    }

    /// The outcome of a start.
    pub(super) fn started(&mut self, id: &WorkerId, task: TaskId, attempt: u32, reply: StartReply) {
        let now = self.now;
        if reply != StartReply::Taken {
            self.notes.push(format_args!(
                "event=start_not_taken worker={id} task={task} attempt={attempt} reply={reply:?}"
            ));
        }
        self.shun_after_refusal(id, reply);
        if reply == StartReply::Ticket {
            self.ticket_rejected(id, &task);
        }
        let job = self.jobs.get(&task.job);
        let wanted = job.is_some_and(|j| j.open() && j.task(&task).is_some_and(|t| !t.done));
        let Some(run) = self.run_mut(id, &task, attempt) else { return };
        match reply {
            StartReply::Taken if wanted => {
                run.confirmed_at.get_or_insert(now);
                if run.phase == Phase::Starting {
                    run.set_phase(Phase::Running, now);
                    run.progressed_at = now;
                }
            }
            StartReply::Taken | StartReply::Unsure | StartReply::NoAnswer => {
                if !matches!(run.phase, Phase::Stopping | Phase::Stopped) {
                    run.set_phase(Phase::Stopping, now);
                    self.actions.push(Action::Stop(id.clone(), task, attempt));
                }
            }
            StartReply::Refused | StartReply::Ticket | StartReply::Unwell | StartReply::NotSent => {
                self.settle(id, &task, attempt, "start_refused");
            }
            StartReply::Deposed => self.note_higher_token(id),
        }
    }

    /// Keeps new work away for a while from a worker that refused a start.
    fn shun_after_refusal(&mut self, id: &WorkerId, reply: StartReply) {
        let shun_for = match reply {
            StartReply::Unwell => self.policy.health.unwell_for,
            // Its room is not what we think: a look will tell.
            StartReply::Refused => self.policy.health.refused_for,
            StartReply::Taken
            | StartReply::Ticket
            | StartReply::Unsure
            | StartReply::NoAnswer
            | StartReply::NotSent
            | StartReply::Deposed => return,
        };
        let until = self.now + shun_for;
        if let Some(mut w) = self.workers.get_mut(id) {
            w.backoff_until = w.backoff_until.max(until);
        }
    }

    /// The outcome of a stop.
    pub(super) fn stopped(&mut self, id: &WorkerId, task: TaskId, attempt: u32, reply: StopReply) {
        let now = self.now;
        match reply {
            StopReply::Taken => {
                if let Some(run) = self.run_mut(id, &task, attempt)
                    && run.phase == Phase::Stopping
                {
                    run.set_phase(Phase::Stopped, now);
                }
            }
            // Sent again by `settle_slow`, unless nothing is known of the run.
            StopReply::NoAnswer => {
                if self.workers.contains_key(id) && self.run_mut(id, &task, attempt).is_none() {
                    self.actions.push(Action::Stop(id.clone(), task, attempt));
                }
            }
            StopReply::Deposed => self.note_higher_token(id),
        }
    }

    /// Settles what ran on workers whose lease has ended.
    pub(super) fn settle_lapsed(&mut self) {
        let now = self.now;
        let lapsed = self.workers.unreachable().filter(|(_, w)| w.lease_end < now);
        let lapsed: Vec<WorkerId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            for (task, attempt) in self.runs_on(&id) {
                // The outcome of a start on its way brings a later end of the lease.
                let starting = self.run_mut(&id, &task, attempt).is_some_and(|r| r.phase == Phase::Starting);
                if !starting {
                    self.record_lapsed_run(&id, &task, attempt);
                    self.settle(&id, &task, attempt, "lease_ended");
                }
            }
            self.drop_if_idle(&id);
        }
    }

    /// Sends stops again that had no effect, and stops runs that stand still.
    pub(super) fn settle_slow(&mut self) {
        let (mut stops, stuck) = self.slow_runs();
        for (id, task, attempt) in stuck {
            self.notes.push(format_args!("event=run_stuck worker={id} task={task} attempt={attempt}"));
            self.blame(&id, &task);
            if let Some(t) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task)) {
                t.avoid_worker = Some(id.clone());
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

    /// Runs whose stop had no effect, and runs that stand still.
    fn slow_runs(&self) -> (Vec<RunName>, Vec<RunName>) {
        let mut stops = Vec::new();
        let mut stuck = Vec::new();
        for (id, w) in self.workers.iter().filter(|(_, w)| w.reachable) {
            for (task, attempt) in w.runs.keys() {
                let Some(step) = self.jobs.get(&task.job).and_then(|j| j.step(task)) else { continue };
                let Some(run) = self.run(id, task, *attempt) else { continue };
                match run.phase {
                    Phase::Stopping if run.phase_since + STOP_AGAIN < self.now => {
                        stops.push((id.clone(), *task, *attempt));
                    }
                    // Taken; a look that is sent later settles it.
                    Phase::Stopped if run.phase_since + STOP_AGAIN * LOOKS_AFTER_STOP < self.now => {
                        stops.push((id.clone(), *task, *attempt));
                    }
                    Phase::Running if self.stands_still(step, run) => {
                        stuck.push((id.clone(), *task, *attempt));
                    }
                    _ => {}
                }
            }
        }
        (stops, stuck)
    }

    /// Whether a run makes no progress although its worker answers. Members of a
    /// gang wait for each other, and a lasting task past its warm-up has no more
    /// progress to make.
    fn stands_still(&self, step: &StepSpec, run: &Run) -> bool {
        let Some(since) = run.stalled_since else { return false };
        let policy = &self.policy.health;
        // Progress is told in whole percent: a long task shows none for a while.
        let limit = since + policy.stuck_after + step.estimate.mul_f64(policy.stuck_share);
        let slowed = run.pace_percent < FULL_PACE_PERCENT;
        let working = slowed || step.long_running && run.progress_percent >= 100;
        limit < self.now && !working && !step.gang
    }
}
