//! Records that follow from the platform's list: changes of hosts and instances that it shows, and
//! the next phase of hosts that are out of service.

use super::EntryReports;
use super::observed::{HostState, ObservedFleet, ObservedHost};
use crate::fold::{HostPhase, ManagedHost, State};
use crate::ids::{HostId, Term};
use crate::record::{DrainReason, HostChange, InstanceChange, Record};

/// Returns the records of what the list shows and the state does not contain yet.
pub(super) fn observed_changes(state: &State, observed: &ObservedFleet, term: Term) -> Vec<Record> {
    let mut records = Vec::new();
    for (id, rec) in &state.hosts {
        let changes = host_changes(rec, observed.hosts.get(id));
        for (i, change) in changes.into_iter().enumerate() {
            let generation = rec.generation + i as u64;
            records.push(Record::Host { term, host: id.clone(), generation, change });
        }
    }
    records.extend(instance_changes(state, observed, term));
    records
}

fn host_changes(rec: &ManagedHost, observed: Option<&ObservedHost>) -> Vec<HostChange> {
    let mut changes = Vec::new();
    let up = observed.is_some_and(|s| s.state == HostState::Live);
    // The return of a rebooting host is decided by its boot id.
    let rebooting = matches!(rec.phase, HostPhase::Rebooting { .. });
    if up != rec.up && !rebooting {
        changes.push(HostChange::Health { up });
    }
    let Some(s) = observed else { return changes };
    let unchanged = s.location == rec.location
        && (s.cpus, s.memory_gib, s.accelerators) == (rec.cpus, rec.memory_gib, rec.accelerators);
    if !unchanged {
        changes.push(HostChange::Seen {
            place: s.location.clone(),
            cpus: s.cpus,
            memory_gib: s.memory_gib,
            accelerators: s.accelerators,
        });
    }
    // A host whose token is at least `pool_generation` has carried out the planner's `SetPool`. If it
    // is in another pool all the same, something else has moved it.
    let other_pool = rec.pool.is_some() && s.pool.is_some() && s.pool != rec.pool;
    let foreign = other_pool && s.token >= rec.pool_generation;
    if foreign != rec.externally_moved {
        changes.push(HostChange::Foreign { foreign });
    }
    changes
}

fn instance_changes(state: &State, observed: &ObservedFleet, term: Term) -> Vec<Record> {
    let mut records = Vec::new();
    for (id, rec) in &state.instances {
        let host = observed.hosts.get(&rec.host);
        let task = host.and_then(|h| h.tasks.iter().find(|t| t.id == *id && t.ended.is_none()));
        let host_rec = state.hosts.get(&rec.host);
        // An instance is not ready before the list shows the end of the drain of its host.
        let drain_ended =
            host.zip(host_rec).is_some_and(|(s, h)| !s.draining && s.token >= h.action_generation);
        let ready = drain_ended && task.is_some_and(|t| t.ready);
        let address = task.map_or(rec.address.clone(), |t| t.address.clone());
        // The instance of a host that is out of service keeps its recorded state.
        let out_of_service = host_rec.is_some_and(ManagedHost::out_of_service);
        if !out_of_service && (ready != rec.ready || address != rec.address) {
            let change = InstanceChange::Ready { address, ready };
            records.push(Record::Instance { term, instance: id.clone(), change });
        }
    }
    records
}

/// Returns the records that take the hosts that are out of service to their next phase, where the list and
/// the reports show that the condition for it is met.
pub(super) fn phase_changes(
    state: &State,
    observed: &ObservedFleet,
    reports: &EntryReports,
    term: Term,
) -> Vec<Record> {
    let mut records = Vec::new();
    for (id, rec) in state.hosts.iter().filter(|(_, r)| r.out_of_service() && !r.externally_moved) {
        let Some(change) = next_phase_change(state, id, rec, observed.hosts.get(id), reports) else {
            continue;
        };
        records.push(Record::Host { term, host: id.clone(), generation: rec.generation, change });
    }
    records
}

fn next_phase_change(
    state: &State,
    id: &HostId,
    rec: &ManagedHost,
    observed: Option<&ObservedHost>,
    reports: &EntryReports,
) -> Option<HostChange> {
    let has_requests = |id: &HostId| {
        let instances = state.by_host.get(id).into_iter().flatten();
        instances.map(|i| reports.in_flight.get(i).copied().unwrap_or(0)).sum::<u32>() > 0
    };
    let has_no_instances = !state.by_host.contains_key(id);
    match &rec.phase {
        HostPhase::Draining(reason) => {
            let withdrawn = match reason {
                DrainReason::Maintain { name } => !state.maintenance().any(|m| m.name == *name),
                DrainReason::Move { to } => !state.pools().any(|p| p.name == *to),
                DrainReason::Release => !rec.released,
            };
            if withdrawn {
                return Some(HostChange::Undrain);
            }
            // A host that is down has no work left.
            let has_drain_token = |s: &&ObservedHost| s.token >= rec.action_generation;
            let drained =
                !rec.up || observed.filter(has_drain_token).is_some_and(|s| s.drained && s.draining);
            let drain_known = reports.folded_by_all > rec.changed_at_offset;
            (drained && drain_known && !has_requests(id)).then_some(HostChange::Drained)
        }
        HostPhase::Drained(DrainReason::Move { .. }) => has_no_instances.then_some(HostChange::Flip),
        HostPhase::Drained(DrainReason::Release) => has_no_instances.then_some(HostChange::Forget),
        HostPhase::Drained(DrainReason::Maintain { .. }) => {
            let s = observed.filter(|s| s.state == HostState::Live)?;
            Some(HostChange::Reboot { boot: s.boot.clone() })
        }
        HostPhase::Rebooting { boot, .. } => {
            // The token rules out an old list, which may show an earlier boot.
            let has_rebooted = |s: &ObservedHost| s.token >= rec.action_generation && s.boot != *boot;
            let back = observed.is_some_and(|s| s.state == HostState::Live && has_rebooted(s));
            back.then_some(HostChange::Return)
        }
        HostPhase::Free | HostPhase::Active => None,
    }
}
