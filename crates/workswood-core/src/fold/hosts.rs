//! Hosts: each is in at most one pool, and each change names the generation of the
//! host that it was decided on.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::fleet::{Host, HostLocation};
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
    /// Log time of the last change of phase or health.
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
    pub location: HostLocation,
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
        host: &str,
        generation: u64,
        change: &HostChange,
    ) -> RecordResult {
        self.check_term(Role::Planner, term)?;
        let rec = self.hosts.get(host).ok_or(Rejection::Missing)?;
        if rec.generation != generation {
            return Err(Rejection::Generation);
        }
        if let HostChange::Drain { .. } = change {
            self.check_drain_budgets(host)?;
        }
        if let HostChange::Flip | HostChange::Forget = change
            && self.by_host.contains_key(host)
        {
            return Err(Rejection::Phase);
        }
        if let HostChange::Forget = change {
            let released = rec.released && matches!(rec.phase, HostPhase::Drained(DrainReason::Release));
            if !released {
                return Err(Rejection::Phase);
            }
            self.hosts.remove(host);
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
        let rec = self.hosts.get_mut(host).ok_or(Rejection::Missing)?;
        let changed_pool = apply_change(rec, change)?;
        rec.generation += 1;
        rec.changed_at_offset = offset;
        if !matches!(change, HostChange::Seen { .. }) {
            rec.changed_at = time;
        }
        update_fencing_generations(rec, change);
        let consistent = rec.pool.is_some() || rec.phase == HostPhase::Free;
        invariant::check(consistent, || format!("host {host} is in no pool and not free"));
        self.host_moves += u64::from(changed_pool);
        // An instance that was ready before the action counts as ready again only
        // once the platform lists it as ready after the action.
        if let HostChange::Reboot { .. } | HostChange::Undrain | HostChange::Return = change {
            self.mark_instances_not_ready(host);
        }
        Ok(())
    }

    /// Marks the instances on a host as not ready.
    fn mark_instances_not_ready(&mut self, host: &str) {
        for id in self.by_host.get(host).into_iter().flatten() {
            if let Some(i) = self.instances.get_mut(id) {
                i.ready = false;
            }
        }
    }
}

/// Updates the generations that are fencing tokens of actions on the platform.
fn update_fencing_generations(rec: &mut ManagedHost, change: &HostChange) {
    match change {
        HostChange::Assign { .. } => rec.pool_generation = rec.generation,
        // A flip is followed by two actions on the platform: setting the pool and
        // ending the drain. Each has a generation of its own.
        HostChange::Flip => {
            rec.pool_generation = rec.generation;
            rec.generation += 1;
            rec.action_generation = rec.generation;
        }
        HostChange::Drain { .. } | HostChange::Undrain | HostChange::Reboot { .. } | HostChange::Return => {
            rec.action_generation = rec.generation;
        }
        _ => {}
    }
}

/// Applies a change to a host; returns true if it moved the host to another pool.
fn apply_change(rec: &mut ManagedHost, change: &HostChange) -> Result<bool, Rejection> {
    match (change, rec.phase.clone()) {
        (HostChange::Seen { location, cpus, memory_gib, accelerators }, _) => {
            rec.location = location.clone();
            rec.cpus = *cpus;
            rec.memory_gib = *memory_gib;
            rec.accelerators = *accelerators;
        }
        (HostChange::Health { up }, _) => rec.up = *up,
        (HostChange::Foreign { foreign }, _) => rec.externally_moved = *foreign,
        (HostChange::Assign { pool }, HostPhase::Free) => {
            rec.pool = Some(pool.clone());
            rec.phase = HostPhase::Active;
        }
        (HostChange::Drain { reason }, HostPhase::Active) => rec.phase = HostPhase::Draining(reason.clone()),
        (HostChange::Drained, HostPhase::Draining(reason)) => rec.phase = HostPhase::Drained(reason),
        (HostChange::Undrain, HostPhase::Draining(_) | HostPhase::Drained(_)) => {
            rec.phase = HostPhase::Active
        }
        (HostChange::Flip, HostPhase::Drained(DrainReason::Move { to })) => {
            rec.pool = Some(to);
            rec.phase = HostPhase::Active;
            return Ok(true);
        }
        (HostChange::Reboot { boot }, HostPhase::Drained(DrainReason::Maintain { name })) => {
            rec.phase = HostPhase::Rebooting { name, boot: boot.clone() };
        }
        (HostChange::Return, HostPhase::Rebooting { name, .. }) => {
            rec.maintained.insert(name);
            rec.phase = HostPhase::Active;
        }
        _ => return Err(Rejection::Phase),
    }
    Ok(false)
}
