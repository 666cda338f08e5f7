//! Choice of the hosts that are maintained now.
//!
//! The wave of a maintenance is its progress over the hosts of its pool: those that have been
//! maintained, those that are out of service for it, and those that remain.
//!
//! A host keeps its instances during maintenance, so maintenance moves none of them. As many
//! hosts leave together as the budgets of all services allow. The first host of a maintenance
//! is a canary: no other host leaves until it is back and its instances are ready.

use serde::Serialize;

use super::fleet_index::FleetIndex;
use crate::fleet::{Maintenance, format_rfc3339};
use crate::fold::{HostPhase, ManagedHost, State};
use crate::ids::{HostId, Term, UnixMs};
use crate::record::{DrainReason, HostChange, Record};

/// A host whose reboot takes more than this many times the expected duration counts as unwell.
const OVERDUE_FACTOR: u64 = 3;

/// State of a wave, with the reason why no further host leaves.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "stop", rename_all = "snake_case")]
pub enum WaveState {
    /// Every host has been maintained.
    Finished,
    /// The fleet file pauses the maintenance.
    Paused,
    /// The start time has not come.
    NotYet {
        /// The start time.
        start: String,
    },
    /// A host that left now could not be back before the deadline.
    Deadline {
        /// The deadline.
        deadline: String,
    },
    /// A host that left now would still be out of service in a blackout window.
    KeepClear {
        /// Start of the window.
        from: String,
    },
    /// The first host is not back yet.
    Canary {
        /// The host.
        host: HostId,
    },
    /// A host has been rebooting for too long, or came back and is unhealthy.
    Unwell {
        /// The host.
        host: HostId,
    },
    /// Each of the remaining hosts would break the budget of a service.
    Budget {
        /// One of these services.
        service: String,
    },
    /// The maximum number of hosts is out of service.
    MaxParallel,
    /// No remaining host takes work: each is down, was moved to another pool by something else, or
    /// is out of service for a move or for another maintenance.
    HostsMissing {
        /// One of them.
        host: HostId,
    },
    /// Nothing stops the wave, or its last hosts are out of service.
    Running,
}

/// Progress of a maintenance.
#[derive(Clone, Debug, Serialize)]
pub struct WaveStatus {
    /// Name of the maintenance.
    pub name: String,
    /// Number of hosts that have been maintained.
    pub done: usize,
    /// Hosts that are out of service for the maintenance.
    pub away: Vec<HostId>,
    /// Number of hosts that still have to leave.
    #[serde(rename = "left")]
    pub remaining: usize,
    /// State of the wave.
    #[serde(rename = "stop")]
    pub state: WaveState,
}

/// The hosts of a maintained pool by their progress.
struct WaveHosts<'a> {
    done: usize,
    out_of_service: Vec<(&'a HostId, &'a ManagedHost)>,
    remaining: Vec<(&'a HostId, &'a ManagedHost)>,
}

fn hosts_of_wave<'a>(index: &FleetIndex<'a>, m: &Maintenance) -> WaveHosts<'a> {
    let mut hosts = WaveHosts { done: 0, out_of_service: Vec::new(), remaining: Vec::new() };
    for (id, rec) in index.pool_hosts(&m.pool).iter().filter(|(_, r)| !r.released) {
        if rec.maintenance() == Some(&m.name) {
            hosts.out_of_service.push((id, rec));
        } else if rec.maintained.contains(&m.name) {
            hosts.done += 1;
        } else {
            hosts.remaining.push((id, rec));
        }
    }
    hosts
}

/// Returns the records that drain hosts for maintenance.
pub(super) fn records(state: &State, index: &mut FleetIndex, now: UnixMs, term: Term) -> Vec<Record> {
    let mut records = Vec::new();
    for m in state.maintenance() {
        for id in choose_hosts(index, m, now) {
            let rec = &state.hosts[&id];
            let change = HostChange::Drain { reason: DrainReason::Maintain { name: m.name.clone() } };
            records.push(Record::Host { term, host: id, generation: rec.generation, change });
        }
    }
    records
}

/// Chooses the hosts that leave for a maintenance now, and withdraws them from the index.
pub(super) fn choose_hosts(index: &mut FleetIndex, m: &Maintenance, now: UnixMs) -> Vec<HostId> {
    let hosts = hosts_of_wave(index, m);
    if state_before_limits(index, m, &hosts, now).is_some() {
        return Vec::new();
    }
    let canary = hosts.done == 0;
    let max_out_of_service = match (canary, m.max_parallel) {
        (true, _) => 1,
        (false, 0) => usize::MAX,
        (false, n) => n as usize,
    };
    let max_leaving = max_out_of_service.saturating_sub(hosts.out_of_service.len());
    let takes_work = |(_, r): &&(&HostId, &ManagedHost)| r.takes_work();
    let mut candidates: Vec<&HostId> = hosts.remaining.iter().filter(takes_work).map(|(id, _)| *id).collect();
    let has_instances = |id: &&HostId| index.state.by_host.contains_key(*id);
    if canary && candidates.iter().any(has_instances) {
        // A canary without instances would not show whether instances become ready again.
        candidates.retain(has_instances);
    }
    withdraw_cheapest(index, candidates, max_leaving)
}

/// Withdraws up to `max_hosts` hosts that the budgets allow, in order of their cost.
fn withdraw_cheapest(index: &mut FleetIndex, candidates: Vec<&HostId>, max_hosts: usize) -> Vec<HostId> {
    let mut ranked: Vec<(f64, &HostId)> =
        candidates.into_iter().map(|id| (index.withdrawal_cost(id), id)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    let mut withdrawn = Vec::new();
    for (_, id) in ranked {
        if withdrawn.len() >= max_hosts {
            break;
        }
        if index.withdraw_host(id) {
            withdrawn.push(id.clone());
        }
    }
    withdrawn
}

/// The state of a wave in which no further host may leave, apart from budgets and the maximum
/// number of hosts; `None` if hosts may leave.
fn state_before_limits(
    index: &FleetIndex,
    m: &Maintenance,
    hosts: &WaveHosts,
    now: UnixMs,
) -> Option<WaveState> {
    let duration_ms = m.duration.as_millis() as UnixMs;
    if hosts.remaining.is_empty() && hosts.out_of_service.is_empty() {
        return Some(WaveState::Finished);
    }
    if m.paused {
        return Some(WaveState::Paused);
    }
    if now < m.start {
        return Some(WaveState::NotYet { start: format_rfc3339(m.start) });
    }
    let is_overdue = |(_, r): &&(&HostId, &ManagedHost)| {
        let rebooting = matches!(r.phase, HostPhase::Rebooting { .. });
        rebooting && now.saturating_sub(r.changed_at) > duration_ms * OVERDUE_FACTOR
    };
    if let Some((id, _)) = hosts.out_of_service.iter().find(is_overdue) {
        return Some(WaveState::Unwell { host: (*id).clone() });
    }
    if let Some(host) = unhealthy_host(index, m) {
        return Some(WaveState::Unwell { host });
    }
    if hosts.done == 0
        && let Some((id, _)) = hosts.out_of_service.first()
    {
        return Some(WaveState::Canary { host: (*id).clone() });
    }
    if m.deadline != 0 && now + duration_ms > m.deadline {
        return Some(WaveState::Deadline { deadline: format_rfc3339(m.deadline) });
    }
    let conflict = m.blackout_windows.iter().find(|w| now + duration_ms > w.from && now < w.to);
    conflict.map(|w| WaveState::KeepClear { from: format_rfc3339(w.from) })
}

/// A host that has been maintained and is down, or has instances that are not ready.
fn unhealthy_host(index: &FleetIndex, m: &Maintenance) -> Option<HostId> {
    let state = index.state;
    let maintained = index.pool_hosts(&m.pool).iter().filter(|(_, r)| {
        r.maintained.contains(&m.name) && r.phase == HostPhase::Active && !r.externally_moved
    });
    let is_unhealthy = |id: &HostId, r: &ManagedHost| {
        let instances = state.by_host.get(id).into_iter().flatten();
        let unready = instances.filter_map(|i| state.instances.get(i)).any(|i| !i.ready);
        !r.up || unready
    };
    maintained.into_iter().find(|(id, r)| is_unhealthy(id, r)).map(|(id, _)| (*id).clone())
}

/// The status of every maintenance in force at a time.
pub fn wave_status(state: &State, now: UnixMs) -> Vec<WaveStatus> {
    let index = FleetIndex::new(state);
    state.maintenance().map(|m| status(&index, m, now)).collect()
}

fn status(index: &FleetIndex, m: &Maintenance, now: UnixMs) -> WaveStatus {
    let hosts = hosts_of_wave(index, m);
    let state =
        state_before_limits(index, m, &hosts, now).unwrap_or_else(|| state_by_limits(index.state, m, &hosts));
    WaveStatus {
        name: m.name.clone(),
        done: hosts.done,
        away: hosts.out_of_service.iter().map(|(id, _)| (*id).clone()).collect(),
        remaining: hosts.remaining.len(),
        state,
    }
}

/// The state of a wave that [`state_before_limits`] does not stop: whether the maximum number, a
/// budget or missing hosts do.
fn state_by_limits(state: &State, m: &Maintenance, hosts: &WaveHosts) -> WaveState {
    if m.max_parallel > 0 && hosts.out_of_service.len() >= m.max_parallel as usize {
        return WaveState::MaxParallel;
    }
    let mut service_at_limit = None;
    for (id, r) in &hosts.remaining {
        if !r.takes_work() {
            continue;
        }
        match state.check_drain_budgets(id) {
            Ok(()) => return WaveState::Running,
            Err(crate::fold::Rejection::Budget(service)) => service_at_limit = Some(service),
            Err(_) => {}
        }
    }
    match (service_at_limit, hosts.remaining.first()) {
        (Some(service), _) => WaveState::Budget { service },
        (None, Some((id, _))) => WaveState::HostsMissing { host: (*id).clone() },
        (None, None) => WaveState::Running,
    }
}
