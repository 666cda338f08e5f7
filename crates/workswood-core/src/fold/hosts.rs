//! Hosts: each is in at most one pool, and each change names the generation of the
//! host that it was decided on.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::fleet::{Host, Place};
use crate::ids::{FileId, PoolId, Term};
use crate::invariant;
use crate::record::{DrainReason, HostChange, Role};

/// Phase of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum HostPhase {
    /// In no pool.
    Free,
    /// In its pool; takes work.
    Active,
    /// Takes no new work; running work continues.
    Draining(DrainReason),
    /// No work is left on it.
    Drained(DrainReason),
    /// Being rebooted for maintenance.
    Rebooting {
        /// Name of the maintenance.
        name: String,
        /// Boot id before the reboot.
        boot: String,
    },
}

/// A host that a fleet file claims, with what is known and decided about it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManagedHost {
    /// The fleet file that claims it.
    pub file: FileId,
    /// The pool that it is in.
    pub pool: Option<PoolId>,
    /// Grows with each accepted change; the next change must name it.
    pub generation: u64,
    /// Its phase.
    pub phase: HostPhase,
    /// Offset of the last change.
    #[serde(rename = "offset")]
    pub changed_at_offset: u64,
    /// Log time of the last change other than [`HostChange::Seen`].
    #[serde(rename = "since")]
    pub changed_at: u64,
    /// Generation at which the pool was set; fencing token of that action on the
    /// platform.
    pub pool_generation: u64,
    /// Generation of the last change that asks for a drain, a reboot or the end of a
    /// drain; fencing token of that action on the platform.
    #[serde(rename = "act_generation")]
    pub action_generation: u64,
    /// Its data centre and rack.
    #[serde(rename = "place")]
    pub location: Place,
    /// Processors in cores.
    pub cpus: u32,
    /// Memory in GiB.
    pub memory_gib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether it answers.
    pub up: bool,
    /// Whether something other than workswood moved it; it is not managed while set.
    #[serde(rename = "foreign")]
    pub externally_moved: bool,
    /// Whether no file claims it any longer.
    pub released: bool,
    /// Names of the maintenance completed on it.
    pub maintained: BTreeSet<String>,
}

impl ManagedHost {
    /// A newly claimed host that the platform has not listed yet.
    pub fn new(file: &str, host: &Host) -> ManagedHost {
        ManagedHost {
            file: file.to_string(),
            pool: None,
            generation: 0,
            phase: HostPhase::Free,
            changed_at_offset: 0,
            changed_at: 0,
            pool_generation: 0,
            action_generation: 0,
            location: host.location(),
            cpus: host.cpus,
            memory_gib: host.memory_gib,
            accelerators: host.accelerators,
            up: false,
            externally_moved: false,
            released: false,
            maintained: BTreeSet::new(),
        }
    }

    /// Whether instances on it may take new work.
    pub fn takes_work(&self) -> bool {
        self.up && !self.externally_moved && self.phase == HostPhase::Active
    }

    /// Whether it is draining, drained or rebooting by a decision of the planner.
    pub fn out_of_service(&self) -> bool {
        !matches!(self.phase, HostPhase::Free | HostPhase::Active)
    }

    /// The maintenance that it is drained or rebooted for, if any.
    pub fn maintenance(&self) -> Option<&str> {
        match &self.phase {
            HostPhase::Draining(DrainReason::Maintain { name })
            | HostPhase::Drained(DrainReason::Maintain { name }) => Some(name),
            HostPhase::Rebooting { name, .. } => Some(name),
            _ => None,
        }
    }
}

impl State {
    /// Applies a change of a host.
    pub(super) fn change_host(
        &mut self,
        term: Term,
        host_id: &str,
        generation: u64,
        change: &HostChange,
    ) -> RecordResult {
        self.check_term(Role::Planner, term)?;
        let host = self.hosts.get(host_id).ok_or(Rejection::Missing)?;
        if host.generation != generation {
            return Err(Rejection::Generation);
        }
        if let HostChange::Drain { .. } = change {
            self.check_drain_budgets(host_id)?;
        }
        if let HostChange::Flip | HostChange::Forget = change
            && self.by_host.contains_key(host_id)
        {
            return Err(Rejection::Phase);
        }
        if let HostChange::Forget = change {
            let released = host.released && matches!(host.phase, HostPhase::Drained(DrainReason::Release));
            if !released {
                return Err(Rejection::Phase);
            }
            self.hosts.remove(host_id);
            return Ok(());
        }
        let pool_exists = |p: &str| self.pools().any(|x| x.name == p);
        match change {
            HostChange::Assign { pool } if !pool_exists(pool) => return Err(Rejection::Missing),
            HostChange::Drain { reason: DrainReason::Move { to } } if !pool_exists(to) => {
                return Err(Rejection::Missing);
            }
            _ => {}
        }
        let (time, offset) = (self.log_time, self.next_offset - 1);
        let host = self.hosts.get_mut(host_id).ok_or(Rejection::Missing)?;
        let changed_pool = apply_change(host, change)?;
        host.generation += 1;
        host.changed_at_offset = offset;
        if !matches!(change, HostChange::Seen { .. }) {
            host.changed_at = time;
        }
        update_fencing_generations(host, change);
        let consistent = host.pool.is_some() || host.phase == HostPhase::Free;
        invariant::check(consistent, || format!("host {host_id} is in no pool and not free"));
        self.host_moves += u64::from(changed_pool);
        // An instance that was ready before the action counts as ready again only
        // once the platform lists it as ready after the action.
        if let HostChange::Reboot { .. } | HostChange::Undrain | HostChange::Return = change {
            self.mark_instances_not_ready(host_id);
        }
        Ok(())
    }

    /// Marks the instances on a host as not ready.
    fn mark_instances_not_ready(&mut self, host_id: &str) {
        for id in self.by_host.get(host_id).into_iter().flatten() {
            if let Some(i) = self.instances.get_mut(id) {
                i.ready = false;
            }
        }
    }
}

/// Updates the generations that are fencing tokens of actions on the platform.
fn update_fencing_generations(host: &mut ManagedHost, change: &HostChange) {
    match change {
        HostChange::Assign { .. } => host.pool_generation = host.generation,
        // A flip is followed by two actions on the platform: setting the pool and
        // ending the drain. Each has a generation of its own.
        HostChange::Flip => {
            host.pool_generation = host.generation;
            host.generation += 1;
            host.action_generation = host.generation;
        }
        HostChange::Drain { .. } | HostChange::Undrain | HostChange::Reboot { .. } | HostChange::Return => {
            host.action_generation = host.generation;
        }
        _ => {}
    }
}

/// Applies a change to a host; returns true if it moved the host to another pool.
fn apply_change(host: &mut ManagedHost, change: &HostChange) -> Result<bool, Rejection> {
    match (change, host.phase.clone()) {
        (HostChange::Seen { place, cpus, memory_gib, accelerators }, _) => {
            host.location = place.clone();
            host.cpus = *cpus;
            host.memory_gib = *memory_gib;
            host.accelerators = *accelerators;
        }
        (HostChange::Health { up }, _) => host.up = *up,
        (HostChange::Foreign { foreign }, _) => host.externally_moved = *foreign,
        (HostChange::Assign { pool }, HostPhase::Free) => {
            host.pool = Some(pool.clone());
            host.phase = HostPhase::Active;
        }
        (HostChange::Drain { reason }, HostPhase::Active) => host.phase = HostPhase::Draining(reason.clone()),
        (HostChange::Drained, HostPhase::Draining(reason)) => host.phase = HostPhase::Drained(reason),
        (HostChange::Undrain, HostPhase::Draining(_) | HostPhase::Drained(_)) => {
            host.phase = HostPhase::Active
        }
        (HostChange::Flip, HostPhase::Drained(DrainReason::Move { to })) => {
            host.pool = Some(to);
            host.phase = HostPhase::Active;
            return Ok(true);
        }
        (HostChange::Reboot { boot }, HostPhase::Drained(DrainReason::Maintain { name })) => {
            host.phase = HostPhase::Rebooting { name, boot: boot.clone() };
        }
        (HostChange::Return, HostPhase::Rebooting { name, .. }) => {
            host.maintained.insert(name);
            host.phase = HostPhase::Active;
        }
        _ => return Err(Rejection::Phase),
    }
    Ok(false)
}
