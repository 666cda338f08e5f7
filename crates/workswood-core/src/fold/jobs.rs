//! Jobs: started at most once where they may not be repeated.

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{HostId, Term};
use crate::record::{JobChange, Role};

/// Where a job is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum JobPhase {
    /// Not running; may be started.
    Waiting,
    /// Started on a host under a token.
    Running {
        /// The host.
        host: HostId,
    },
    /// Ended well.
    Done,
    /// Ended badly, or not known how; not started again.
    Failed,
}

/// A job that was started at least once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartedJob {
    /// Where it is.
    pub phase: JobPhase,
    /// Offset of the last start; its token, the platform refuses lower ones.
    pub token: u64,
    /// Log time of the last change.
    pub since: u64,
    /// Failed runs.
    pub failures: u32,
    /// Runs that were lost with their host.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub losses: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Failed runs after which a job is not started again.
const MAX_FAILURES: u32 = 3;
/// Lost runs after which a job is not started again: it may be the job that brings its hosts
/// down, and a host tells nothing of that.
const MAX_LOSSES: u32 = 3;

impl State {
    pub(super) fn change_job(&mut self, term: Term, job: &str, change: &JobChange) -> RecordResult {
        self.holds(Role::Planner, term)?;
        let declared = self.declared_jobs().find(|j| j.name == job).ok_or(Rejection::Missing)?;
        let (repeatable, pool) = (declared.repeatable, declared.pool.clone());
        let (time, offset) = (self.log_time, self.next_offset - 1);
        if let JobChange::Start { host } = change {
            let h = self.hosts.get(host).ok_or(Rejection::Missing)?;
            if !h.takes_work() || h.pool.as_ref() != Some(&pool) {
                return Err(Rejection::Phase);
            }
        }
        let fresh = StartedJob { phase: JobPhase::Waiting, token: 0, since: time, failures: 0, losses: 0 };
        let rec = self.jobs.entry(job.to_string()).or_insert(fresh);
        match (change, &rec.phase) {
            (JobChange::Start { host }, JobPhase::Waiting) => {
                // A second start of a job that may not be repeated needs a
                // checkpointed stop, which only `Preempt` gives.
                rec.token = offset;
                rec.phase = JobPhase::Running { host: host.clone() };
            }
            (JobChange::Preempt, JobPhase::Running { .. }) if repeatable => rec.phase = JobPhase::Waiting,
            (JobChange::Lost, JobPhase::Running { .. }) => {
                rec.losses += 1;
                let again = repeatable && rec.losses < MAX_LOSSES;
                rec.phase = if again { JobPhase::Waiting } else { JobPhase::Failed };
            }
            (JobChange::End { ok: true }, JobPhase::Running { .. }) => rec.phase = JobPhase::Done,
            (JobChange::End { ok: false }, JobPhase::Running { .. }) => {
                rec.failures += 1;
                let again = repeatable && rec.failures < MAX_FAILURES;
                rec.phase = if again { JobPhase::Waiting } else { JobPhase::Failed };
            }
            _ => return Err(Rejection::Phase),
        }
        rec.since = time;
        Ok(())
    }
}
