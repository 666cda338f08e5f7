//! Which workers may run a step, where only the adviser knows.
//!
//! The adviser takes one call at a time from each entry and needs time for each
//! worker that a call names. So each entry, the lease holder first, has one call
//! under way at a time, about few workers: those that the placement would take
//! next ([`advice_batch`](super::advice_batch)). Steps that wait come first, in
//! the order of their tasks; while none does, steps that will open soon. What the
//! adviser said is kept with the life of the worker. A new lease holder knows
//! nothing of it and asks again.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advice_batch::{Share, choose_batch};
use super::advice_need::{Pools, Wanted};
use super::config::AdviceConfig;
use super::job::WorkerId;
use super::sched::Scheduler;
use super::spec::{JobKey, QueueId, StepId, TaskId};
use super::types::{Action, Advice, AdviceReply, Advised};
use super::worker::Verdict;

/// An answer is waited for this much longer than the adviser should need: the
/// way there and back on a busy entry takes a hundred milliseconds.
const PATIENCE: Duration = Duration::from_millis(300);
/// After calls without an answer, the wait grows to this at most.
const MOST_PATIENCE: Duration = Duration::from_secs(5);
/// Pause after a call that failed; it doubles with each one in a row,
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// up to this: an adviser that is back is heard of soon;
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// or up to this for an entry that fails while others are answered: each try with a
/// gone entry delays a step.
const MOST_PAUSE_BESIDE: Duration = Duration::from_secs(8);
/// Doublings after which waits and pauses are at their longest.
const MOST_DOUBLINGS: u32 = 8;
/// A worker whose ticket was turned down is not asked about for so long: were
/// tickets turned down always, starts would be lost at this rate.
const TURNED_DOWN_FOR: Duration = Duration::from_millis(500);

/// When the adviser is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvicePolicy {
    /// Whether it is asked about steps that open soon.
    pub ahead: bool,
    /// How many other entries have calls under way for the lease holder. Each entry
    /// has a turn of its own at the adviser: at 0.3 s a call the holder alone has
    /// three steps a second advised.
    pub helpers: usize,
    /// A ticket is used until this long before its end, or a fifth of its time if
    /// that is less: a start is stored first, and may need a second try.
    #[serde(with = "humantime_serde")]
    pub margin: Duration,
}

impl Default for AdvicePolicy {
    fn default() -> AdvicePolicy {
        AdvicePolicy { ahead: true, helpers: 5, margin: Duration::from_millis(250) }
    }
}

/// A call under way.
#[derive(Debug)]
struct Call {
    step: StepId,
    /// When the adviser should have answered.
    due: Duration,
}

/// Calls by one entry: its turn at the adviser is its own.
#[derive(Debug, Default)]
struct Lane {
    call: Option<Call>,
    /// No call before this time.
    next_call: Duration,
    /// The adviser may be at work on lost calls until then.
    busy_until: Duration,
    /// Failed calls in a row.
    failures: u32,
    /// Whether the last call was answered.
    answered: bool,
    /// By how much answers were late; the latest counts, older ones halve.
    late: Duration,
}

impl Lane {
    /// Takes in that a call failed; `most_pause` bounds the time until the next.
    fn failed(&mut self, call: &Call, now: Duration, at_work: bool, most_pause: Duration) {
        if at_work {
            self.busy_until = self.busy_until.max(call.due);
        }
        let pause = FIRST_PAUSE * (1 << self.failures.min(MOST_DOUBLINGS));
        self.next_call = now + pause.min(most_pause);
        self.answered = false;
        self.failures += 1;
    }

    /// Takes in an answer that was late by this much.
    fn answered(&mut self, late: Duration) {
        *self = Lane { answered: true, late: late.max(self.late / 2), ..Lane::default() };
    }

    /// How long the answer to a call is waited for that should take `work`, when
    /// every entry has had so many failures in a row.
    fn patience(&self, work: Duration, failures: u32) -> Duration {
        let slack = PATIENCE * (1 << failures.min(MOST_DOUBLINGS)) + self.late;
        work + slack.min(MOST_PATIENCE)
    }
}

/// Calls to the adviser.
#[derive(Debug, Default)]
pub struct AdviceState {
    /// Open jobs of queues with advice.
    pub(super) jobs: BTreeSet<JobKey>,
    /// Of the workers asked about, those that were good, by queue.
    shares: HashMap<QueueId, Share>,
    /// Calls by entry; the first is the lease holder.
    lanes: Vec<Lane>,
    /// Step of the last call that failed; others go first.
    failed: Option<StepId>,
}

impl AdviceState {
    /// An entry that may call now, those whose last calls went well first.
    fn free_lane(&self, now: Duration, most_calls: usize) -> Option<usize> {
        if self.lanes.iter().filter(|l| l.call.is_some()).count() >= most_calls {
            return None;
        }
        let free = self.lanes.iter().enumerate().filter(|(_, l)| l.call.is_none() && l.next_call <= now);
        free.min_by_key(|(n, l)| (l.failures, *n)).map(|(n, _)| n)
    }

    /// Whether the last call of some other entry was answered.
    fn others_answered(&self, lane: usize) -> bool {
        self.lanes.iter().enumerate().any(|(n, l)| n != lane && l.answered)
    }

    /// Failures in a row that every entry has had: with more, it is the adviser that
    /// is slow or away.
    fn common_failures(&self) -> u32 {
        self.lanes.iter().map(|l| l.failures).min().unwrap_or(0)
    }

    /// Whether a step is being asked about.
    fn is_asked(&self, step: &StepId) -> bool {
        self.lanes.iter().filter_map(|l| l.call.as_ref()).any(|c| c.step == *step)
    }
}

impl Scheduler {
    /// How the adviser works for a job; `None` if all workers may run its steps.
    pub(super) fn advice_of(&self, job: JobKey) -> Option<&AdviceConfig> {
        let job = self.jobs.get(&job)?;
        self.config.queues.get(&job.spec.queue)?.advice.as_ref()
    }

    /// Whether tasks of a step need a ticket.
    pub(super) fn is_advised(&self, id: &StepId) -> bool {
        self.advice.jobs.contains(&id.job)
    }

    /// Notes a job whose queue has advice.
    pub(super) fn watch_advised(&mut self, key: JobKey) {
        let open = self.jobs.get(&key).is_some_and(|j| j.is_open());
        if open && self.advice_of(key).is_some() {
            self.advice.jobs.insert(key);
        }
    }

    /// Notes all of them anew: queues have changed.
    pub(super) fn watch_all_advised(&mut self) {
        self.advice.jobs.clear();
        if self.config.queues.values().all(|q| q.advice.is_none()) {
            return;
        }
        let keys: Vec<JobKey> = self.jobs.values().map(|j| j.key).collect();
        for key in keys {
            self.watch_advised(key);
        }
    }

    /// Forgets what was said of the steps of a job that has ended.
    pub(super) fn drop_advice(&mut self, key: JobKey) {
        if !self.advice.jobs.remove(&key) {
            return;
        }
        self.workers.for_each_mut(|w| w.advice.retain(|step, _| step.job != key));
    }

    /// Workers of a list that may run a step, as far as is known.
    pub(super) fn may_be_good(&self, workers: &[WorkerId], step: &StepId) -> usize {
        let bad =
            |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.advice.get(step) == Some(&Verdict::Bad));
        workers.len() - workers.iter().filter(bad).count()
    }

    /// A worker has turned a ticket down: it is asked for again.
    pub(super) fn ticket_turned_down(&mut self, id: &WorkerId, task: &TaskId) {
        let until = self.now + TURNED_DOWN_FOR;
        if !self.advice.jobs.contains(&task.job) {
            return;
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.advice.insert(task.step_id(), Verdict::TurnedDown(until));
        }
    }

    /// Tells how many entries may call the adviser, the lease holder included.
    pub fn set_advice_entries(&mut self, entries: usize) {
        let entries = entries.max(1);
        // An entry that is gone may have a call under way.
        let under_way = self.advice.lanes.iter().rposition(|l| l.call.is_some()).map_or(0, |n| n + 1);
        self.advice.lanes.resize_with(entries.max(under_way), Lane::default);
    }

    /// Takes the outcome of a call in.
    pub(super) fn advised(&mut self, a: Advised) {
        let now = self.now;
        let most_pause = match self.advice.others_answered(a.lane) {
            true => MOST_PAUSE_BESIDE,
            false => MOST_PAUSE,
        };
        let Some(lane) = self.advice.lanes.get_mut(a.lane) else { return };
        let Some(call) = lane.call.take() else { return };
        match a.reply {
            AdviceReply::Answered(answer) => {
                lane.answered(now.saturating_sub(call.due));
                self.advice.failed = self.advice.failed.filter(|step| *step != call.step);
                self.take_advice(a.step, &a.asked, now.saturating_sub(call.due), answer);
                return;
            }
            AdviceReply::NoAnswer => lane.failed(&call, now, true, most_pause),
            AdviceReply::Busy | AdviceReply::Refused | AdviceReply::NotSent => {
                lane.failed(&call, now, false, most_pause);
            }
        }
        self.advice.failed = Some(call.step);
    }

    /// Keeps tickets and refusals with the lives that they are about; the answer was
    /// late by so much.
    fn take_advice(&mut self, step: StepId, asked: &[WorkerId], late: Duration, answer: Advice) {
        if !self.advice.jobs.contains(&step.job) {
            return;
        }
        let Some(cfg) = self.advice_of(step.job).copied() else { return };
        let valid = answer.valid.unwrap_or(cfg.ticket_lifetime);
        let margin = self.policy.advice.margin.min(valid / 5);
        // An answer may have been late on its way, so that its tickets are as old. Were
        // they always taken to be, a slow adviser's would never be used.
        let until = self.now + valid - margin - late.min(valid / 2);
        let good: HashMap<WorkerId, _> = answer.good.into_iter().collect();
        if let Some(job) = self.jobs.get(&step.job) {
            let share = self.advice.shares.entry(job.spec.queue.clone()).or_default();
            let known = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.advice.contains_key(&step));
            let fresh: Vec<&WorkerId> = asked.iter().filter(|id| !known(id)).collect();
            share.observe(fresh.len(), fresh.iter().filter(|id| good.contains_key(**id)).count());
            self.place_again.insert(job.spec.service.clone());
        }
        for id in asked {
            let Some(mut w) = self.workers.get_mut(id) else { continue };
            let verdict = match good.get(id) {
                Some(ticket) => Verdict::Good(ticket.clone(), until),
                None => Verdict::Bad,
            };
            w.advice.insert(step, verdict);
        }
    }

    /// Asks the adviser about the steps that are next.
    pub(super) fn ask_adviser(&mut self) {
        if self.advice.jobs.is_empty() {
            return;
        }
        if self.advice.lanes.is_empty() {
            self.advice.lanes.push(Lane::default());
        }
        let most_calls = 1 + self.policy.advice.helpers;
        if self.advice.free_lane(self.now, most_calls).is_none() {
            return;
        }
        let pools = self.advised_pools();
        let mut steps = self.steps_to_ask(&pools).into_iter();
        while let Some(lane) = self.advice.free_lane(self.now, most_calls) {
            let Some((step, workers, cfg)) = steps.find_map(|w| self.call_for(&w, &pools)) else { return };
            let failures = self.advice.common_failures();
            let entry = &mut self.advice.lanes[lane];
            let before = entry.busy_until.saturating_sub(self.now);
            let work = before + cfg.base_call_time + cfg.time_per_worker * workers.len() as u32;
            let patience = entry.patience(work, failures);
            entry.call = Some(Call { step, due: self.now + work });
            self.actions.push(Action::Advise { lane, step, workers, patience });
        }
    }

    /// Steps that want advice, the next one first: those that wait, then those that
    /// open soon, and the one whose last call failed.
    fn steps_to_ask(&self, pools: &Pools) -> Vec<Wanted> {
        let mut steps = self.waiting_for_advice(pools);
        if self.policy.advice.ahead {
            steps.extend(self.opening_soon());
        }
        steps.retain(|w| !self.advice.is_asked(&w.step));
        steps.sort_by_key(|w| self.advice.failed == Some(w.step));
        steps
    }

    /// Workers to ask about for a step; `None` if its tickets are enough, or
    /// nobody is left to ask about.
    fn call_for(&self, wanted: &Wanted, pools: &Pools) -> Option<(StepId, Vec<WorkerId>, AdviceConfig)> {
        let cfg = self.advice_of(wanted.step.job).copied()?;
        let (need, candidates) = self.need_and_candidates(wanted, &cfg, pools)?;
        let queue = &self.jobs.get(&wanted.step.job)?.spec.queue;
        let share = self.advice.shares.get(queue).copied().unwrap_or_default().value();
        let ids = choose_batch(&candidates, need, share, &cfg);
        (!ids.is_empty()).then_some((wanted.step, ids, cfg))
    }
}
