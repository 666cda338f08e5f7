//! Calls on the platform that bring its list nearer to the state.

use serde::{Deserialize, Serialize};

use super::observed::{HostState, ObservedFleet, ObservedHost};
use crate::fold::{HostRec, JobPhase, Phase, State};
use crate::ids::{HostId, PoolId};

/// One call on the platform. Every call may be made twice: the platform
/// refuses a token lower than the highest it has seen for the same thing, and
/// a reboot names the boot that it ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum HostAction {
    /// Puts a host into a pool.
    SetPool {
        /// The host.
        host: HostId,
        /// The pool.
        pool: PoolId,
        /// Fencing token.
        token: u64,
    },
    /// Lets a host take no new work.
    Drain {
        /// The host.
        host: HostId,
        /// Fencing token.
        token: u64,
    },
    /// Lets a host take work again.
    Undrain {
        /// The host.
        host: HostId,
        /// Fencing token.
        token: u64,
    },
    /// Reboots a host if its boot id is still the one named.
    Reboot {
        /// The host.
        host: HostId,
        /// Boot id that ends.
        boot: String,
        /// Fencing token.
        token: u64,
    },
    /// Starts a task.
    Start {
        /// The host.
        host: HostId,
        /// Name of the instance or job.
        task: String,
        /// Fencing token of the task.
        token: u64,
    },
    /// Stops a task.
    Stop {
        /// The host.
        host: HostId,
        /// Name of the instance or job.
        task: String,
        /// Fencing token of the task.
        token: u64,
    },
}

impl HostAction {
    /// The host that the act is on.
    pub fn host(&self) -> &HostId {
        match self {
            HostAction::SetPool { host, .. }
            | HostAction::Drain { host, .. }
            | HostAction::Undrain { host, .. }
            | HostAction::Reboot { host, .. }
            | HostAction::Start { host, .. }
            | HostAction::Stop { host, .. } => host,
        }
    }
}

/// All calls that the list shows to be missing.
pub fn missing_actions(state: &State, observed: &ObservedFleet) -> Vec<HostAction> {
    let mut all = Vec::new();
    for (id, rec) in state.hosts.iter().filter(|(_, r)| !r.foreign) {
        let Some(s) = observed.hosts.get(id).filter(|s| s.state != HostState::Down) else { continue };
        all.extend(actions_for_host(id, rec, s));
        all.extend(starts(state, id, rec, s));
        all.extend(stops(state, id, s));
    }
    all
}

fn actions_for_host(id: &HostId, rec: &HostRec, s: &ObservedHost) -> Vec<HostAction> {
    let mut all = Vec::new();
    let host = id.clone();
    if let Some(pool) =
        rec.pool.clone().filter(|p| s.pool.as_ref() != Some(p) && s.token < rec.pool_generation)
    {
        // Later acts carry higher tokens, which would make the pool look as if
        // others had set it: they wait until the list shows this one.
        return vec![HostAction::SetPool { host, pool, token: rec.pool_generation }];
    }
    match &rec.phase {
        Phase::Draining(_) | Phase::Drained(_) if !s.draining || s.token < rec.act_generation => {
            all.push(HostAction::Drain { host, token: rec.act_generation });
        }
        // It also fences off a drain that is still on its way. A later drain
        // by other scripts stays.
        Phase::Active if s.token < rec.act_generation => {
            all.push(HostAction::Undrain { host, token: rec.act_generation });
        }
        Phase::Rebooting { boot, .. } if s.boot == *boot => {
            all.push(HostAction::Reboot { host, boot: boot.clone(), token: rec.act_generation });
        }
        _ => {}
    }
    all
}

fn starts(state: &State, id: &HostId, rec: &HostRec, s: &ObservedHost) -> Vec<HostAction> {
    if !rec.takes_work() || s.draining {
        return Vec::new();
    }
    let running = |task: &str, token: u64| s.tasks.iter().any(|t| t.id == task && t.token >= token);
    let instances = state.by_host.get(id).into_iter().flatten();
    let placed = instances.filter_map(|i| state.instances.get(i).map(|r| (i, r.token)));
    let jobs =
        state.jobs.iter().filter(|(_, j)| matches!(&j.phase, JobPhase::Running { host } if host == id));
    let all = placed.chain(jobs.map(|(name, j)| (name, j.token)));
    let missing = all.filter(|(task, token)| !running(task, *token));
    missing.map(|(task, token)| HostAction::Start { host: id.clone(), task: task.clone(), token }).collect()
}

/// Tasks of ours that run where they should not.
fn stops(state: &State, id: &HostId, s: &ObservedHost) -> Vec<HostAction> {
    let mut all = Vec::new();
    // Tokens are offsets: a start that is not folded yet is not judged.
    for t in s.tasks.iter().filter(|t| t.ended.is_none() && t.token > 0 && t.token < state.next) {
        let elsewhere = match (state.instances.get(&t.id), state.jobs.get(&t.id)) {
            (Some(i), _) => i.host != *id && t.token < i.token,
            (None, Some(j)) => {
                t.token < j.token || !matches!(&j.phase, JobPhase::Running { host } if host == id)
            }
            // Only a service in force is ours to stop; its number is not wanted.
            (None, None) => {
                t.token > 0 && t.id.rsplit_once('/').is_some_and(|(name, _)| state.service(name).is_some())
            }
        };
        if elsewhere {
            all.push(HostAction::Stop { host: id.clone(), task: t.id.clone(), token: t.token });
        }
    }
    all
}
