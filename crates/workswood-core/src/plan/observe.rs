//! Facts of the platform's list that belong in the log.

use super::EntryReports;
use super::observed::{HostState, ObservedFleet, ObservedHost};
use crate::fold::{HostRec, Phase, State};
use crate::ids::{HostId, Term};
use crate::record::{DrainReason, HostStep, InstanceStep, Record};

/// Records of what the list shows and the state does not say yet.
pub(super) fn records(state: &State, observed: &ObservedFleet, term: Term) -> Vec<Record> {
    let mut all = Vec::new();
    for (id, rec) in &state.hosts {
        let steps = host_facts(rec, observed.hosts.get(id));
        for (i, step) in steps.into_iter().enumerate() {
            let generation = rec.generation + i as u64;
            all.push(Record::Host { term, host: id.clone(), generation, step });
        }
    }
    all.extend(instance_facts(state, observed, term));
    all
}

fn host_facts(rec: &HostRec, observed: Option<&ObservedHost>) -> Vec<HostStep> {
    let mut steps = Vec::new();
    let up = observed.is_some_and(|s| s.state == HostState::Live);
    // A host under reboot is away anyhow; its return is decided on its boot id.
    let rebooting = matches!(rec.phase, Phase::Rebooting { .. });
    if up != rec.up && !rebooting {
        steps.push(HostStep::Health { up });
    }
    let Some(s) = observed else { return steps };
    let same = s.place == rec.place
        && (s.cpus, s.memory_gib, s.accelerators) == (rec.cpus, rec.memory_gib, rec.accelerators);
    if !same {
        steps.push(HostStep::Seen {
            place: s.place.clone(),
            cpus: s.cpus,
            memory_gib: s.memory_gib,
            accelerators: s.accelerators,
        });
    }
    // Our own moves carry a token. Another pool than ours, with our token on
    // the host, was set by somebody else.
    let other = rec.pool.is_some() && s.pool.is_some() && s.pool != rec.pool;
    let foreign = other && s.token >= rec.pool_generation;
    if foreign != rec.foreign {
        steps.push(HostStep::Foreign { foreign });
    }
    steps
}

fn instance_facts(state: &State, observed: &ObservedFleet, term: Term) -> Vec<Record> {
    let mut all = Vec::new();
    for (id, rec) in &state.instances {
        let host = observed.hosts.get(&rec.host);
        let task = host.and_then(|h| h.tasks.iter().find(|t| t.id == *id && t.ended.is_none()));
        let rec_host = state.hosts.get(&rec.host);
        // The list must show the end of a drain before the instance counts.
        let back = host.zip(rec_host).is_some_and(|(s, h)| !s.draining && s.token >= h.act_generation);
        let ready = back && task.is_some_and(|t| t.ready);
        let address = task.map_or(rec.address.clone(), |t| t.address.clone());
        // While the host is away the instance keeps its last record.
        let away = rec_host.is_some_and(HostRec::away);
        if !away && (ready != rec.ready || address != rec.address) {
            let step = InstanceStep::Ready { address, ready };
            all.push(Record::Instance { term, instance: id.clone(), step });
        }
    }
    all
}

/// Steps of hosts under way whose condition the list now shows.
pub(super) fn progress(
    state: &State,
    observed: &ObservedFleet,
    reports: &EntryReports,
    term: Term,
) -> Vec<Record> {
    let mut all = Vec::new();
    for (id, rec) in state.hosts.iter().filter(|(_, r)| r.away() && !r.foreign) {
        let Some(step) = next_step(state, id, rec, observed.hosts.get(id), reports) else { continue };
        all.push(Record::Host { term, host: id.clone(), generation: rec.generation, step });
    }
    all
}

fn next_step(
    state: &State,
    id: &HostId,
    rec: &HostRec,
    observed: Option<&ObservedHost>,
    reports: &EntryReports,
) -> Option<HostStep> {
    let busy = |id: &HostId| {
        let on = state.by_host.get(id).into_iter().flatten();
        on.map(|i| reports.in_flight.get(i).copied().unwrap_or(0)).sum::<u32>() > 0
    };
    let empty = !state.by_host.contains_key(id);
    match &rec.phase {
        Phase::Draining(reason) => {
            let withdrawn = match reason {
                DrainReason::Maintain { name } => !state.maintenance().any(|m| m.name == *name),
                DrainReason::Move { to } => !state.pools().any(|p| p.name == *to),
                DrainReason::Release => !rec.released,
            };
            if withdrawn {
                return Some(HostStep::Undrain);
            }
            // A host that has failed has no work left to wait for.
            let acted = |s: &&ObservedHost| s.token >= rec.act_generation;
            let drained = !rec.up || observed.filter(acted).is_some_and(|s| s.drained && s.draining);
            let told = reports.folded_by_all > rec.offset;
            (drained && told && !busy(id)).then_some(HostStep::Drained)
        }
        Phase::Drained(DrainReason::Move { .. }) => empty.then_some(HostStep::Flip),
        Phase::Drained(DrainReason::Release) => empty.then_some(HostStep::Forget),
        Phase::Drained(DrainReason::Maintain { .. }) => {
            let s = observed.filter(|s| s.state == HostState::Live)?;
            Some(HostStep::Reboot { boot: s.boot.clone() })
        }
        Phase::Rebooting { boot, .. } => {
            // An older list may show a boot before the one that was ended.
            let after = |s: &ObservedHost| s.token >= rec.act_generation && s.boot != *boot;
            let back = observed.is_some_and(|s| s.state == HostState::Live && after(s));
            back.then_some(HostStep::Return)
        }
        Phase::Free | Phase::Active => None,
    }
}
