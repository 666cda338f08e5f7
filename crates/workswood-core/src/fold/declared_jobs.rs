//! Jobs that are declared in fleet files; a job that is not repeatable is started at most once. The
//! jobs that callers submit are in [`crate::jobs`].

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{HostId, Term};
use crate::record::{JobChange, Role};

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum JobPhase {
    /// Not running, may be started.
    Waiting,
    /// Started on a host.
    Running {
        /// The host.
        host: HostId,
    },
    /// Ended successfully.
    Done,
    /// Failed, or lost with its host; not started again.
    Failed,
}

/// A declared job for which a change was recorded; in phase [`JobPhase::Waiting`] if it was not
/// started yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeclaredJobState {
    /// Its phase.
    pub phase: JobPhase,
    /// Offset of the last start, which is its fencing token: the platform refuses
    /// lower ones.
    pub token: u64,
    /// Log time of the last change.
    #[serde(rename = "since")]
    pub changed_at: u64,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of runs that were lost with their host.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub losses: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Failed runs after which a job is not started again.
const MAX_FAILURES: u32 = 3;
/// Lost runs after which a job is not started again: the job may be what brings its
/// hosts down, and a lost host can't report the cause.
const MAX_LOSSES: u32 = 3;

impl State {
    /// Applies a change of a declared job.
    pub(super) fn change_job(&mut self, term: Term, name: &str, change: &JobChange) -> RecordResult {
        self.check_term(Role::Planner, term)?;
        let declared = self.declared_jobs().find(|j| j.name == name).ok_or(Rejection::Missing)?;
        let (repeatable, pool) = (declared.repeatable, declared.pool.clone());
        let (time, offset) = (self.log_time, self.next_offset - 1);
        if let JobChange::Start { host } = change {
            let h = self.hosts.get(host).ok_or(Rejection::Missing)?;
            if !h.takes_work() || h.pool.as_ref() != Some(&pool) {
                return Err(Rejection::Phase);
            }
        }
        let waiting =
            DeclaredJobState { phase: JobPhase::Waiting, token: 0, changed_at: time, failures: 0, losses: 0 };
        let job = self.jobs.entry(name.to_string()).or_insert(waiting);
        match (change, &job.phase) {
            (JobChange::Start { host }, JobPhase::Waiting) => {
                // Only repeatable jobs return to `Waiting`, so a job that is not
                // repeatable starts at most once.
                job.token = offset;
                job.phase = JobPhase::Running { host: host.clone() };
            }
            (JobChange::Preempt, JobPhase::Running { .. }) if repeatable => job.phase = JobPhase::Waiting,
            (JobChange::Lost, JobPhase::Running { .. }) => {
                job.losses += 1;
                let restart = repeatable && job.losses < MAX_LOSSES;
                job.phase = if restart { JobPhase::Waiting } else { JobPhase::Failed };
            }
            (JobChange::End { ok: true }, JobPhase::Running { .. }) => job.phase = JobPhase::Done,
            (JobChange::End { ok: false }, JobPhase::Running { .. }) => {
                job.failures += 1;
                let restart = repeatable && job.failures < MAX_FAILURES;
                job.phase = if restart { JobPhase::Waiting } else { JobPhase::Failed };
            }
            _ => return Err(Rejection::Phase),
        }
        job.changed_at = time;
        Ok(())
    }
}
