//! Calls to the adviser about which workers may run a step, where only the adviser knows.
//!
//! The adviser handles one call at a time from each entry and needs time for each worker that a
//! call names. So each entry, the lease holder first, has one call under way at a time, about a few
//! workers: those that the placement would choose next ([`advice_batch`](super::advice_batch)).
//! Waiting steps come first, in the order of their tasks, then steps that open soon. Answers are
//! kept with the incarnation of the worker. A new lease holder has none of them and asks again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advice_batch::{EligibleRate, choose_batch};
use super::advice_candidates::{AdviceRequest, WorkersByService};
use super::config::{AdviceConfig, MIN_TICKET_LIFETIME, SchedConfig};
use super::job::WorkerId;
use super::job_key::{JobKey, QueueTag};
use super::scheduler::Scheduler;
use super::spec::{QueueId, StepId, TaskId};
use super::types::{Action, Advice, AdviceReply, AdviceResult};
use super::worker::AdviceVerdict;

/// Slack of a call's timeout beyond the time that the adviser should need; it doubles with each
/// failure in a row.
const BASE_SLACK: Duration = Duration::from_millis(300);
/// Largest slack of a call's timeout.
const MAX_SLACK: Duration = Duration::from_secs(5);
/// Delay after a failed call; it doubles with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Largest delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Largest delay for an entry whose calls fail while those of others are answered: each attempt
/// through an entry that is gone delays a step.
const MAX_BACKOFF_OF_ONE_ENTRY: Duration = Duration::from_secs(8);
/// Largest number of doublings of slack and backoff.
const MAX_DOUBLINGS: u32 = 8;
/// How long the adviser is not asked about a worker that rejected a ticket. This bounds the rate of
/// lost starts if tickets are always rejected.
const REJECTED_TICKET_DELAY: Duration = Duration::from_millis(500);

/// What is assumed of an adviser of which nothing is known but that a worker asks for its tickets.
const UNKNOWN_ADVISER: AdviceConfig = AdviceConfig {
    base_call_time: Duration::from_millis(100),
    time_per_worker: Duration::from_millis(5),
    ticket_lifetime: Duration::from_secs(1),
};

/// Parameters of calls to the adviser.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvicePolicy {
    /// Whether the adviser is asked about steps that open soon.
    #[serde(rename = "ahead")]
    pub ask_ahead: bool,
    /// Number of other entries that call the adviser for the lease holder. The adviser queues the
    /// calls of each entry separately.
    pub helpers: usize,
    /// A ticket is used until this long before its end, or a fifth of its validity if that is less:
    /// a start is stored first, and may need a second attempt.
    #[serde(rename = "margin", with = "humantime_serde")]
    pub ticket_margin: Duration,
}

impl Default for AdvicePolicy {
    fn default() -> AdvicePolicy {
        AdvicePolicy { ask_ahead: true, helpers: 5, ticket_margin: Duration::from_millis(250) }
    }
}

/// A call under way.
#[derive(Debug)]
struct Call {
    step: StepId,
    /// When the adviser should have answered.
    due: Duration,
}

/// The calls by one entry, at most one at a time.
#[derive(Debug, Default)]
struct Channel {
    call: Option<Call>,
    /// No call is made before this time.
    next_call: Duration,
    /// The adviser may be working on lost calls until this time.
    adviser_busy_until: Duration,
    /// Number of failed calls in a row.
    failures: u32,
    /// Whether the last call was answered.
    last_call_answered: bool,
    /// How late answers were: the latest lateness, or half of the previous value if that is larger.
    lateness: Duration,
}

impl Channel {
    /// Records a failed call; `max_backoff` bounds the delay before the next.
    fn record_failure(&mut self, call: &Call, now: Duration, adviser_busy: bool, max_backoff: Duration) {
        if adviser_busy {
            self.adviser_busy_until = self.adviser_busy_until.max(call.due);
        }
        let backoff = INITIAL_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        self.next_call = now + backoff.min(max_backoff);
        self.last_call_answered = false;
        self.failures += 1;
    }

    /// Records an answer that was late by this much.
    fn record_answer(&mut self, late: Duration) {
        *self =
            Channel { last_call_answered: true, lateness: late.max(self.lateness / 2), ..Channel::default() };
    }

    /// Timeout of a call that should take `work`, when every entry has had at least `failures`
    /// failures in a row.
    fn timeout(&self, work: Duration, failures: u32) -> Duration {
        let slack = BASE_SLACK * (1 << failures.min(MAX_DOUBLINGS)) + self.lateness;
        work + slack.min(MAX_SLACK)
    }
}

/// The state of calls to the adviser.
#[derive(Debug, Default)]
pub struct AdviceState {
    /// Open jobs that need advice.
    pub(super) jobs: BTreeSet<JobKey>,
    /// Advisers of queues of which the configuration tells none, by address and name. They are known from an earlier
    /// configuration, or since a worker asked for a ticket.
    unconfigured: BTreeMap<(QueueTag, QueueId), AdviceConfig>,
    /// Share of the workers asked about that were eligible, by queue.
    eligible_rates: HashMap<QueueId, EligibleRate>,
    /// One channel per entry; the first is that of the lease holder.
    channels: Vec<Channel>,
    /// Step of the last failed call; other steps go first.
    last_failed: Option<StepId>,
}

impl AdviceState {
    /// A channel that may be used now, those with the fewest failures first.
    fn free_channel(&self, now: Duration, max_calls: usize) -> Option<usize> {
        if self.channels.iter().filter(|c| c.call.is_some()).count() >= max_calls {
            return None;
        }
        let free = self.channels.iter().enumerate().filter(|(_, c)| c.call.is_none() && c.next_call <= now);
        free.min_by_key(|(n, c)| (c.failures, *n)).map(|(n, _)| n)
    }

    /// Whether the last call of some other channel was answered.
    fn others_answered(&self, channel: usize) -> bool {
        self.channels.iter().enumerate().any(|(n, c)| n != channel && c.last_call_answered)
    }

    /// Smallest number of failures in a row of any channel. While it is above 0, the adviser itself
    /// is slow or away.
    fn min_failures(&self) -> u32 {
        self.channels.iter().map(|c| c.failures).min().unwrap_or(0)
    }

    /// Whether a call about a step is under way.
    fn has_call_for(&self, step: &StepId) -> bool {
        self.channels.iter().filter_map(|c| c.call.as_ref()).any(|call| call.step == *step)
    }
}

impl Scheduler {
    /// The adviser's settings for the queue of a job; `None` if all workers may run its steps.
    pub(super) fn advice_config(&self, key: JobKey) -> Option<&AdviceConfig> {
        let spec = &self.jobs.get(&key)?.spec;
        let configured = self.config.queue_at(spec.tag, &spec.queue).and_then(|q| q.advice.as_ref());
        if configured.is_some() || self.advice.unconfigured.is_empty() {
            return configured;
        }
        self.advice.unconfigured.get(&(spec.tag, spec.queue.clone()))
    }

    /// Whether tasks of a step need a ticket.
    pub(super) fn needs_ticket(&self, id: &StepId) -> bool {
        self.advice.jobs.contains(&id.job)
    }

    /// Tracks a job if its queue needs advice.
    pub(super) fn track_advised_job(&mut self, key: JobKey) {
        let open = self.jobs.get(&key).is_some_and(|j| j.is_open());
        if open && self.advice_config(key).is_some() {
            self.advice.jobs.insert(key);
        }
    }

    /// Recomputes which jobs need advice after a change of the configuration.
    pub(super) fn track_all_advised_jobs(&mut self) {
        self.advice.jobs.clear();
        let none_configured = self.config.queues.values().all(|q| q.advice.is_none());
        if none_configured && self.advice.unconfigured.is_empty() {
            return;
        }
        let keys: Vec<JobKey> = self.jobs.values().map(|j| j.key).collect();
        for key in keys {
            self.track_advised_job(key);
        }
    }

    /// Forgets the verdicts on the steps of a job that has ended.
    pub(super) fn drop_advice(&mut self, key: JobKey) {
        if !self.advice.jobs.remove(&key) {
            return;
        }
        self.workers.for_each_mut(|w| w.advice.retain(|step, _| step.job != key));
    }

    /// Number of workers of a list that may run a step, as far as is known.
    pub(super) fn count_possible_workers(&self, workers: &[WorkerId], step: &StepId) -> usize {
        let ineligible = |id: &&WorkerId| {
            self.workers.get(id).is_some_and(|w| w.advice.get(step) == Some(&AdviceVerdict::Ineligible))
        };
        workers.len() - workers.iter().filter(ineligible).count()
    }

    /// Handles that a worker rejected a ticket: a new one is asked for.
    pub(super) fn ticket_rejected(&mut self, id: &WorkerId, task: &TaskId) {
        let until = self.now + REJECTED_TICKET_DELAY;
        if !self.advice.jobs.contains(&task.job) && !self.note_unknown_adviser(task.job) {
            return;
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.advice.insert(task.step_id(), AdviceVerdict::TicketRejected(until));
        }
    }

    /// Keeps the advisers of queues that a configuration takes away while their jobs are open.
    pub(super) fn keep_advisers(&mut self, next: &SchedConfig) {
        let mut kept = BTreeMap::new();
        for key in &self.advice.jobs {
            let Some(spec) = self.jobs.get(key).map(|job| &job.spec) else { continue };
            let Some(adviser) = self.advice_config(*key) else { continue };
            if next.queue_at(spec.tag, &spec.queue).is_none() {
                kept.insert((spec.tag, spec.queue.clone()), *adviser);
            }
        }
        self.advice.unconfigured = kept;
    }

    /// Notes that jobs of a queue that the configuration doesn't have need advice; returns false for any other queue.
    fn note_unknown_adviser(&mut self, key: JobKey) -> bool {
        let Some(spec) = self.jobs.get(&key).map(|job| job.spec.clone()) else { return false };
        if self.config.queue_at(spec.tag, &spec.queue).is_some() {
            return false;
        }
        self.notes.push(format_args!("event=advice_not_configured job={key:016x} queue={}", spec.queue));
        self.advice.unconfigured.insert((spec.tag, spec.queue.clone()), UNKNOWN_ADVISER);
        self.track_all_advised_jobs();
        true
    }

    /// Sets how many entries may call the adviser, the lease holder included.
    pub fn set_advice_entries(&mut self, entries: usize) {
        let entries = entries.max(1);
        // An entry that is gone may still have a call under way.
        let under_way = self.advice.channels.iter().rposition(|c| c.call.is_some()).map_or(0, |n| n + 1);
        self.advice.channels.resize_with(entries.max(under_way), Channel::default);
    }

    /// Handles the result of a call.
    pub(super) fn advice_received(&mut self, a: AdviceResult) {
        let now = self.now;
        let max_backoff = match self.advice.others_answered(a.channel) {
            true => MAX_BACKOFF_OF_ONE_ENTRY,
            false => MAX_BACKOFF,
        };
        let Some(channel) = self.advice.channels.get_mut(a.channel) else { return };
        let Some(call) = channel.call.take() else { return };
        match a.reply {
            AdviceReply::Answered(answer) if answer.valid_for.is_some_and(|v| v < MIN_TICKET_LIFETIME) => {
                channel.record_failure(&call, now, false, max_backoff);
                self.notes.push(format_args!(
                    "event=tickets_too_short step={} valid={:?} least={MIN_TICKET_LIFETIME:?}",
                    call.step, answer.valid_for
                ));
            }
            AdviceReply::Answered(answer) => {
                channel.record_answer(now.saturating_sub(call.due));
                self.advice.last_failed = self.advice.last_failed.filter(|step| *step != call.step);
                self.store_verdicts(a.step, &a.workers, now.saturating_sub(call.due), answer);
                return;
            }
            AdviceReply::NoAnswer => channel.record_failure(&call, now, true, max_backoff),
            AdviceReply::Busy | AdviceReply::Refused | AdviceReply::NotSent => {
                channel.record_failure(&call, now, false, max_backoff);
            }
        }
        self.advice.last_failed = Some(call.step);
    }

    /// Stores tickets and refusals with the incarnations of the workers; the answer was late by
    /// `late`.
    fn store_verdicts(&mut self, step: StepId, asked: &[WorkerId], late: Duration, answer: Advice) {
        if !self.advice.jobs.contains(&step.job) {
            return;
        }
        let Some(cfg) = self.advice_config(step.job).copied() else { return };
        let valid = answer.valid_for.unwrap_or(cfg.ticket_lifetime);
        let margin = self.policy.advice.ticket_margin.min(valid / 5);
        // The delay may have been on the way back, so the tickets count as older. The deduction is
        // bounded, since otherwise the tickets of a slow adviser would never be used.
        let until = self.now + valid - margin - late.min(valid / 2);
        let tickets: HashMap<WorkerId, _> = answer.tickets.into_iter().collect();
        if let Some(job) = self.jobs.get(&step.job) {
            let rate = self.advice.eligible_rates.entry(job.spec.queue.clone()).or_default();
            let known = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.advice.contains_key(&step));
            let fresh: Vec<&WorkerId> = asked.iter().filter(|id| !known(id)).collect();
            rate.observe(fresh.len(), fresh.iter().filter(|id| tickets.contains_key(**id)).count());
            self.services_to_place.insert(job.spec.service.clone());
        }
        for id in asked {
            let Some(mut w) = self.workers.get_mut(id) else { continue };
            let verdict = match tickets.get(id) {
                Some(ticket) => AdviceVerdict::Eligible(ticket.clone(), until),
                None => AdviceVerdict::Ineligible,
            };
            w.advice.insert(step, verdict);
        }
    }

    /// Asks the adviser about the steps that are next.
    pub(super) fn ask_adviser(&mut self) {
        if self.advice.jobs.is_empty() {
            return;
        }
        if self.advice.channels.is_empty() {
            self.advice.channels.push(Channel::default());
        }
        let max_calls = 1 + self.policy.advice.helpers;
        if self.advice.free_channel(self.now, max_calls).is_none() {
            return;
        }
        let workers_by_service = self.advised_workers();
        let mut steps = self.steps_to_ask(&workers_by_service).into_iter();
        while let Some(n) = self.advice.free_channel(self.now, max_calls) {
            let Some((step, workers, cfg)) =
                steps.find_map(|request| self.plan_call(&request, &workers_by_service))
            else {
                return;
            };
            let failures = self.advice.min_failures();
            let channel = &mut self.advice.channels[n];
            let before = channel.adviser_busy_until.saturating_sub(self.now);
            let work = before + cfg.base_call_time + cfg.time_per_worker * workers.len() as u32;
            let timeout = channel.timeout(work, failures);
            channel.call = Some(Call { step, due: self.now + work });
            self.actions.push(Action::Advise { channel: n, step, workers, timeout });
        }
    }

    /// Steps that need advice, the next one first: waiting steps, then steps that open soon, then
    /// the step whose last call failed.
    fn steps_to_ask(&self, workers: &WorkersByService) -> Vec<AdviceRequest> {
        let mut steps = self.steps_waiting_for_advice(workers);
        if self.policy.advice.ask_ahead {
            steps.extend(self.steps_opening_soon());
        }
        steps.retain(|r| !self.advice.has_call_for(&r.step));
        steps.sort_by_key(|r| self.advice.last_failed == Some(r.step));
        steps
    }

    /// Plans a call about a step; `None` if its tickets are enough or no worker is left to ask
    /// about.
    fn plan_call(
        &self,
        request: &AdviceRequest,
        workers: &WorkersByService,
    ) -> Option<(StepId, Vec<WorkerId>, AdviceConfig)> {
        let cfg = self.advice_config(request.step.job).copied().filter(AdviceConfig::is_usable)?;
        let (need, candidates) = self.need_and_candidates(request, &cfg, workers)?;
        let queue = &self.jobs.get(&request.step.job)?.spec.queue;
        let share = self.advice.eligible_rates.get(queue).copied().unwrap_or_default().value();
        let ids = choose_batch(&candidates, need, share, &cfg);
        (!ids.is_empty()).then_some((request.step, ids, cfg))
    }
}
