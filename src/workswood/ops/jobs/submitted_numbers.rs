//! What an entry knows of the jobs that were handed in to it, by number and owner, and what follows for a job whose
//! number another owner's job has.
//!
//! Callers hand a job in again, at any entry, when they got no answer. A refusal says that the job never runs, so it has
//! to be true of every earlier hand-in of the same job.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use workswood_core::ids::ServiceId;
use workswood_core::jobs::JobKey;
use workswood_platform::jobs::CopyOutcome;

/// How long a hand-in is remembered: longer than callers try again, and than a store that is away carries out late appends.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Maximum number of hand-ins that are remembered.
const MAX_REMEMBERED: usize = 10_000;

/// The hand-ins of one job.
#[derive(Clone, Debug)]
struct HandIns {
    /// The service whose workers run the job.
    service: ServiceId,
    /// Number of them that may store the job at any moment.
    under_way: u32,
    /// What is known of the others.
    outcome: CopyOutcome,
    /// When the first of them began.
    since: Duration,
}

impl HandIns {
    /// What is known of the job over all of them.
    fn outcome(&self) -> CopyOutcome {
        if self.under_way > 0 { self.outcome.with(CopyOutcome::Unknown) } else { self.outcome }
    }
}

/// The jobs that were handed in to one entry lately. A job of which all hand-ins were refused is not among them.
#[derive(Debug, Default)]
pub struct SubmittedNumbers {
    by_job: BTreeMap<JobKey, HandIns>,
    /// When each job was handed in first, in that order.
    order: VecDeque<(Duration, JobKey)>,
}

impl SubmittedNumbers {
    /// Notes a hand-in that may store the job from now on; returns what was known of the job before.
    pub fn begin(&mut self, job: JobKey, service: &str, now: Duration) -> CopyOutcome {
        let earlier = self.outcome(job);
        self.forget_old(now);
        let order = &mut self.order;
        let first = || {
            order.push_back((now, job));
            HandIns { service: service.to_string(), under_way: 0, outcome: CopyOutcome::NotDone, since: now }
        };
        self.by_job.entry(job).or_insert_with(first).under_way += 1;
        earlier
    }

    /// Notes the outcome of a hand-in that was begun; returns what is known of the job over all of its hand-ins.
    pub fn settle(&mut self, job: JobKey, outcome: CopyOutcome) -> CopyOutcome {
        let Some(hand_ins) = self.by_job.get_mut(&job) else { return outcome };
        hand_ins.under_way = hand_ins.under_way.saturating_sub(1);
        hand_ins.outcome = hand_ins.outcome.with(outcome);
        let known = hand_ins.outcome();
        if known == CopyOutcome::NotDone {
            self.by_job.remove(&job);
        }
        known
    }

    /// What is known of a job: not done if it was not handed in here, or refused.
    pub fn outcome(&self, job: JobKey) -> CopyOutcome {
        self.by_job.get(&job).map_or(CopyOutcome::NotDone, HandIns::outcome)
    }

    /// Whether a job of another owner was stored under this number on a service.
    pub fn is_other_owners(&self, job: JobKey, service: &str) -> bool {
        let others = self.by_job.range(JobKey::all_of(job.number)).filter(|(other, _)| **other != job);
        let mut on_service = others.filter(|(_, hand_ins)| hand_ins.service == service);
        on_service.any(|(_, hand_ins)| hand_ins.outcome == CopyOutcome::Done)
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |at: Duration, count: usize| at + REMEMBERED_FOR < now || count >= MAX_REMEMBERED;
        while let Some((at, job)) = self.order.front().copied()
            && is_old(at, self.order.len())
        {
            self.order.pop_front();
            // The job may have been refused and handed in anew since.
            if self.by_job.get(&job).is_some_and(|hand_ins| hand_ins.since == at) {
                self.by_job.remove(&job);
            }
        }
    }
}

/// What the lease holder knows of a caller's own job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnJob {
    /// It knows the job.
    Known,
    /// It has read all that was stored before this hand-in, and the job is not there.
    NotStored,
    /// It did not answer, or has not read the inbox since.
    Unclear,
}

impl OwnJob {
    /// What follows from the answer of a holder that knows what was in the inbox `inbox_age` before, to a question that was
    /// sent this long after the hand-in came.
    pub fn of(is_known: bool, inbox_age: Option<Duration>, asked_after: Duration) -> OwnJob {
        match inbox_age {
            _ if is_known => OwnJob::Known,
            Some(age) if age <= asked_after => OwnJob::NotStored,
            Some(_) | None => OwnJob::Unclear,
        }
    }
}

/// What a number is to the owner who hands a job in under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberUse {
    /// The job is to be stored: no other owner's job is known.
    Free,
    /// The job is to be stored, and is not to be refused: an earlier hand-in of it may be stored.
    PerhapsOwn,
    /// The caller's own job was accepted before.
    Accepted,
    /// Another owner's job has the number, and the caller's own was never stored.
    Taken,
    /// Another owner's job has the number, and it is not known whether the caller's own was stored.
    Unclear,
}

impl NumberUse {
    /// What follows from earlier hand-ins of the caller's own job to the same entry; `None` if nothing does.
    pub fn of_earlier(earlier: CopyOutcome) -> Option<NumberUse> {
        match earlier {
            CopyOutcome::Done => Some(NumberUse::Accepted),
            CopyOutcome::Unknown => Some(NumberUse::PerhapsOwn),
            CopyOutcome::NotDone => None,
        }
    }

    /// What a number that another owner's job has is to the caller, by what the entries and the lease holder know of the
    /// caller's own job.
    pub fn of_taken(at_entries: CopyOutcome, at_holder: OwnJob) -> NumberUse {
        match (at_entries, at_holder) {
            (CopyOutcome::Done, _) | (_, OwnJob::Known) => NumberUse::Accepted,
            (CopyOutcome::Unknown, _) => NumberUse::PerhapsOwn,
            (CopyOutcome::NotDone, OwnJob::NotStored) => NumberUse::Taken,
            (CopyOutcome::NotDone, OwnJob::Unclear) => NumberUse::Unclear,
        }
    }
}
