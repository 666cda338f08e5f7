//! The crashes of workers during runs of a task, as they are stored with it.
//!
//! Each crash says what the run has to do with it ([`Evidence`]) and whether it is certain that the worker
//! crashed under the run ([`Certainty`]).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash_attribution::CrashPolicy;
use super::crash_rate::task_fault_score;
use super::job::WorkerId;

/// A task is suspected after this many crashes if the run times are unknown.
pub(super) const SUSPECT_AFTER_UNTIMED_CRASHES: usize = 2;
/// Most crashes that are kept of one task.
pub const MAX_CRASHES: usize = 16;
/// Fewest crashes that prove that a task crashes its workers.
const PROOF_CRASHES: usize = 2;
/// After this many crashes, possible ones included, a lower score suffices to give a task up if
/// [`CrashHistory::allows_giving_up`]. If not, its restarts are paced.
/// The platform allows two starts after the third crash.
const EXHAUSTED_AFTER_CRASHES: usize = 5;
/// Share of [`CrashPolicy::give_up_threshold`] that suffices then.
const EXHAUSTED_THRESHOLD_SHARE: f64 = 0.7;
/// Added to the score for each crash with an unknown run time.
const SCORE_PER_UNTIMED_CRASH: f64 = 1.0;
/// Share of [`CrashPolicy::give_up_threshold`] from which a task with several crashes is suspected.
pub(super) const MANY_CRASHES_THRESHOLD_SHARE: f64 = 0.15;

/// What is known of a run during which its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The run is the likely cause of the crash.
    #[serde(rename = "Explains")]
    LikelyCause,
    /// The run was there, but is not the likely cause. If its start time is unknown and it is
    /// of a long-running task, it lasted for [`LONG_RUN`](super::crash_attribution::LONG_RUN) at least.
    #[serde(rename = "Beside")]
    Bystander,
    /// The run may never have started: its start was not answered, or was sent by an earlier lease
    /// holder.
    #[serde(rename = "Supposed")]
    Unconfirmed,
}

/// Whether a worker is known to have crashed under a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Certainty {
    /// The run may have lapsed before the life of its worker ended, or the life may not have ended at all.
    #[default]
    Possible,
    /// The life is not known to have ended before all leases of its worker had, so that the run had lapsed.
    Lapsed,
    /// The life is known to have ended before the lease of the run could have.
    Certain,
}

impl Certainty {
    fn is_possible(&self) -> bool {
        *self == Certainty::Possible
    }
}

/// A crash of a worker during a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// What the run has to do with the crash.
    pub evidence: Evidence,
    /// Longest time that the run may have lasted; `None` if its start time is unknown.
    #[serde(rename = "within")]
    pub max_run_time: Option<Duration>,
    /// Whether the worker is known to have crashed under the run.
    #[serde(default, skip_serializing_if = "Certainty::is_possible")]
    pub certainty: Certainty,
    /// The life that is counted as crashed; `None` in records of versions that did not store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
}

impl CrashRecord {
    /// A possible crash under a run, as versions without certainty have stored it.
    pub fn possible(evidence: Evidence, max_run_time: Option<Duration>) -> CrashRecord {
        CrashRecord { evidence, max_run_time, certainty: Certainty::Possible, worker: None }
    }

    /// Whether it is counted under this life.
    pub(super) fn is_of(&self, worker: &WorkerId) -> bool {
        self.worker.as_ref() == Some(worker)
    }

    /// Whether it is certain that the worker crashed under the run.
    pub fn is_certain(&self) -> bool {
        self.certainty == Certainty::Certain
    }

    /// Whether the run was started by an earlier lease holder than the one that found the crash, before the run
    /// had lapsed, and is not known to have lasted for long.
    fn is_inherited(&self) -> bool {
        let in_doubt = self.certainty == Certainty::Possible;
        in_doubt && self.max_run_time.is_none() && self.evidence != Evidence::Bystander
    }

    /// Whether it is certain that the worker crashed under a run that had started.
    pub fn is_proving(&self) -> bool {
        self.is_certain() && self.evidence != Evidence::Unconfirmed
    }
}

/// Crashes of workers during runs of one task, by attempt number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory(pub BTreeMap<u32, CrashRecord>);

impl CrashHistory {
    /// Whether there are no crashes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of crashes, including those during unconfirmed runs.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Number of crashes that are certain to have come under a run.
    pub fn certain_count(&self) -> usize {
        self.0.values().filter(|c| c.is_certain()).count()
    }

    /// Crashes that are certain to have come under a run that had started.
    fn proving(&self) -> impl Iterator<Item = &CrashRecord> {
        self.0.values().filter(|c| c.is_proving())
    }

    /// Whether enough is known of the crashes for the task to be given up. Does not depend on the rate of
    /// crashes, which a later lease holder does not know.
    ///
    /// That is so if [`PROOF_CRASHES`] are certain and their runs had started. Where the lease holder changes after
    /// each crash, nothing can make them certain, and the platform allows two starts after the third: then
    /// [`EXHAUSTED_AFTER_CRASHES`] are enough, of which a long-running task needs a certain one. Those whose runs had
    /// lapsed are none of them.
    pub fn allows_giving_up(&self, long_running: bool) -> bool {
        let certain = self.certain_count();
        let inherited = self.0.values().filter(|c| c.is_inherited()).count();
        let exhausted = certain + inherited >= EXHAUSTED_AFTER_CRASHES;
        self.proving().count() >= PROOF_CRASHES || exhausted && (certain > 0 || !long_running)
    }

    /// Whether the crash during an attempt is certain to have come under a run that had started.
    pub(super) fn is_proving(&self, attempt: u32) -> bool {
        self.0.get(&attempt).is_some_and(CrashRecord::is_proving)
    }

    /// Takes back the crashes of a life that has not ended; returns them by attempt number.
    pub fn withdraw(&mut self, worker: &WorkerId) -> BTreeMap<u32, CrashRecord> {
        self.withdraw_if(|_, crash| crash.is_of(worker))
    }

    /// Takes back the crashes, by attempt number, for which `is_refuted` holds; returns them.
    pub fn withdraw_if(
        &mut self,
        is_refuted: impl Fn(u32, &CrashRecord) -> bool,
    ) -> BTreeMap<u32, CrashRecord> {
        let all = std::mem::take(&mut self.0).into_iter();
        let (withdrawn, left) = all.partition(|(attempt, crash)| is_refuted(*attempt, crash));
        self.0 = left;
        withdrawn
    }

    /// Number of crashes that may tell something of the task. Those during long runs of a long-running
    /// task don't.
    pub(super) fn telling_count(&self, long_running: bool) -> usize {
        let tells = |c: &&CrashRecord| c.max_run_time.is_some() || c.evidence != Evidence::Bystander;
        self.0.values().filter(|c| !long_running || tells(c)).count()
    }

    /// Longest possible run times, of the runs whose start time is known.
    pub(super) fn known_run_times(&self) -> impl Iterator<Item = Duration> {
        self.0.values().filter_map(|c| c.max_run_time)
    }

    /// How much better the task explains the crashes than chance does. Includes unconfirmed runs.
    pub(super) fn score(&self, rate: f64) -> f64 {
        task_fault_score(self.known_run_times().count(), self.known_run_times().sum(), rate)
    }

    /// Whether the crashes prove that the task crashes its workers, given that the last one
    /// happened during its trial. Possible crashes and runs that may never have started prove nothing.
    pub(super) fn is_proof(&self, threshold: f64, rate: f64) -> bool {
        let times = || self.proving().filter_map(|c| c.max_run_time);
        let enough = self.proving().count() >= PROOF_CRASHES;
        enough && task_fault_score(times().count(), times().sum(), rate) >= threshold
    }

    /// Whether there are too many crashes to go on as before, possible ones included. If no start time is
    /// known, because the lease holder changed after each crash, only their number counts.
    pub(super) fn exhausts_retries(&self, policy: &CrashPolicy, rate: f64, long_running: bool) -> bool {
        let (count, timed) = (self.telling_count(long_running), self.known_run_times().count());
        if count < EXHAUSTED_AFTER_CRASHES || timed == 0 {
            return count >= EXHAUSTED_AFTER_CRASHES;
        }
        let untimed = (count - timed) as f64 * SCORE_PER_UNTIMED_CRASH;
        self.score(rate) + untimed >= policy.give_up_threshold * EXHAUSTED_THRESHOLD_SHARE
    }

    /// Whether the task is suspect for the number of its crashes, unless chance explains them.
    pub(super) fn are_suspiciously_many(&self, policy: &CrashPolicy, rate: f64, long_running: bool) -> bool {
        let (count, timed) = (self.telling_count(long_running), self.known_run_times().count());
        let untimed = if long_running { timed == 0 } else { timed < 2 };
        let doubtful = untimed || self.score(rate) >= policy.give_up_threshold * MANY_CRASHES_THRESHOLD_SHARE;
        doubtful
            && (count >= policy.suspect_after_crashes || count >= SUSPECT_AFTER_UNTIMED_CRASHES && timed < 2)
    }

    /// Records a crash during an attempt; returns whether it is new. Of many, the earliest that prove nothing are
    /// dropped.
    pub fn record(&mut self, attempt: u32, crash: CrashRecord) -> bool {
        let new = !self.0.contains_key(&attempt);
        self.0.entry(attempt).or_insert(crash);
        if self.count() > MAX_CRASHES {
            let dropped = self.0.iter().find(|(_, c)| !c.is_proving()).or(self.0.iter().next());
            let dropped = dropped.map(|(attempt, _)| *attempt);
            dropped.and_then(|attempt| self.0.remove(&attempt));
        }
        new
    }
}
