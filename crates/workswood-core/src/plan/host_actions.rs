//! Actions that the platform must carry out so that its hosts match the state.

use serde::{Deserialize, Serialize};

use super::observed::{HostState, ObservedFleet, ObservedHost};
use crate::fold::{HostPhase, JobPhase, ManagedHost, State};
use crate::ids::{HostId, PoolId};

/// An action of the platform on a host or on a task there. An action may be requested more than
/// once: the platform refuses a token that is lower than the highest one it has received for the
/// host or task, and a reboot names the boot that it ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum HostAction {
    /// Assigns a host to a pool.
    SetPool {
        /// The host.
        host: HostId,
        /// The pool.
        pool: PoolId,
        /// Fencing token.
        token: u64,
    },
    /// Stops new work on a host.
    Drain {
        /// The host.
        host: HostId,
        /// Fencing token.
        token: u64,
    },
    /// Ends a drain, so that the host takes work again.
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
        /// Boot id before the reboot.
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
    /// The host that the action affects.
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

/// Returns the actions that follow from the state and whose effect the platform's list does not
/// show. Hosts that are down, or that something else moved to another pool, are left out.
pub fn missing_actions(state: &State, observed: &ObservedFleet) -> Vec<HostAction> {
    let mut actions = Vec::new();
    for (id, rec) in state.hosts.iter().filter(|(_, r)| !r.externally_moved) {
        let Some(host) = observed.hosts.get(id).filter(|h| h.state != HostState::Down) else { continue };
        actions.extend(missing_host_actions(id, rec, host));
        actions.extend(missing_starts(state, id, rec, host));
        actions.extend(missing_stops(state, id, host));
    }
    actions
}

/// Actions on the host itself: its pool, a drain or its end, a reboot.
fn missing_host_actions(id: &HostId, rec: &ManagedHost, observed: &ObservedHost) -> Vec<HostAction> {
    let mut actions = Vec::new();
    let host = id.clone();
    if let Some(pool) =
        rec.pool.clone().filter(|p| observed.pool.as_ref() != Some(p) && observed.token < rec.pool_generation)
    {
        // Other actions wait until the list shows the pool. They carry higher tokens, and with
        // those on the host the old pool would look as if something else had set it.
        return vec![HostAction::SetPool { host, pool, token: rec.pool_generation }];
    }
    match &rec.phase {
        HostPhase::Draining(_) | HostPhase::Drained(_)
            if !observed.draining || observed.token < rec.action_generation =>
        {
            actions.push(HostAction::Drain { host, token: rec.action_generation });
        }
        // The token of an `Undrain` also fences off an earlier `Drain` that has not arrived yet.
        // A drain that something else requests later is left in place.
        HostPhase::Active if observed.token < rec.action_generation => {
            actions.push(HostAction::Undrain { host, token: rec.action_generation });
        }
        HostPhase::Rebooting { boot, .. } if observed.boot == *boot => {
            actions.push(HostAction::Reboot { host, boot: boot.clone(), token: rec.action_generation });
        }
        _ => {}
    }
    actions
}

/// Starts of the instances and jobs that should run on a host and do not.
fn missing_starts(state: &State, id: &HostId, rec: &ManagedHost, observed: &ObservedHost) -> Vec<HostAction> {
    if !rec.takes_work() || observed.draining {
        return Vec::new();
    }
    // A task that has ended counts as started: its start must not be repeated.
    let was_started =
        |task: &str, token: u64| observed.tasks.iter().any(|t| t.id == task && t.token >= token);
    let instances = state.by_host.get(id).into_iter().flatten();
    let instances = instances.filter_map(|i| state.instances.get(i).map(|r| (i, r.token)));
    let jobs =
        state.jobs.iter().filter(|(_, j)| matches!(&j.phase, JobPhase::Running { host } if host == id));
    let tasks = instances.chain(jobs.map(|(name, j)| (name, j.token)));
    let missing = tasks.filter(|(task, token)| !was_started(task, *token));
    missing.map(|(task, token)| HostAction::Start { host: id.clone(), task: task.clone(), token }).collect()
}

/// Stops of the tasks of declared services and jobs that run on a host and should not.
fn missing_stops(state: &State, id: &HostId, observed: &ObservedHost) -> Vec<HostAction> {
    let mut actions = Vec::new();
    // A task's token is the log offset of its start. A start at or after `next_offset` is not folded
    // yet, so its task may be wanted.
    for t in observed.tasks.iter().filter(|t| t.ended.is_none() && t.token > 0 && t.token < state.next_offset)
    {
        let unwanted = match (state.instances.get(&t.id), state.jobs.get(&t.id)) {
            (Some(i), _) => i.host != *id && t.token < i.token,
            (None, Some(j)) => {
                t.token < j.token || !matches!(&j.phase, JobPhase::Running { host } if host == id)
            }
            // An instance that a declared service no longer has. Other tasks do not belong to this
            // system.
            (None, None) => {
                t.token > 0 && t.id.rsplit_once('/').is_some_and(|(name, _)| state.service(name).is_some())
            }
        };
        if unwanted {
            actions.push(HostAction::Stop { host: id.clone(), task: t.id.clone(), token: t.token });
        }
    }
    actions
}
