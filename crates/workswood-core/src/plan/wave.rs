//! Which hosts are maintained now.
//!
//! A host leaves for maintenance with its instances in place and comes back
//! with them, so maintenance moves nothing. As many hosts leave together as
//! the budgets of all services allow. The first host of a maintenance goes
//! alone: if it does not come back well, nothing else follows.

use serde::Serialize;

use super::fleet_index::FleetIndex;
use crate::fleet::{Maintenance, rfc3339_ms};
use crate::fold::{HostRec, Phase, State};
use crate::ids::{HostId, Term, UnixMs};
use crate::record::{DrainReason, HostStep, Record};

/// A host that is away for this many times the expected duration is unwell.
const OVERDUE_FACTOR: u64 = 3;

/// Why a wave takes no further hosts now.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "stop", rename_all = "snake_case")]
pub enum WaveState {
    /// Every host has been through.
    Finished,
    /// The file pauses it.
    Paused,
    /// Its start has not come.
    NotYet {
        /// The start.
        start: String,
    },
    /// A host could not be back before the deadline.
    Deadline {
        /// The deadline.
        deadline: String,
    },
    /// A host could not be back before a span that is kept clear.
    KeepClear {
        /// The start of the span.
        from: String,
    },
    /// The first host is not back yet.
    Canary {
        /// The host.
        host: HostId,
    },
    /// A host has been away for too long, or came back unwell.
    Unwell {
        /// The host.
        host: HostId,
    },
    /// Every host left would break the budget of the service named.
    Budget {
        /// A service that allows no further host.
        service: String,
    },
    /// As many hosts are away as the file allows.
    MaxParallel,
    /// Hosts that are left are down or left to other scripts.
    HostsMissing {
        /// One of them.
        host: HostId,
    },
    /// Nothing stops it; hosts are on their way.
    Running,
}

/// Where a maintenance stands.
#[derive(Clone, Debug, Serialize)]
pub struct WaveStatus {
    /// The maintenance.
    pub name: String,
    /// Hosts that have been through.
    pub done: usize,
    /// Hosts that are away for it.
    pub away: Vec<HostId>,
    /// Hosts that are left.
    #[serde(rename = "left")]
    pub remaining: usize,
    /// Why no further host leaves now.
    #[serde(rename = "stop")]
    pub state: WaveState,
}

struct Members<'a> {
    done: usize,
    away: Vec<(&'a HostId, &'a HostRec)>,
    left: Vec<(&'a HostId, &'a HostRec)>,
}

fn members<'a>(index: &FleetIndex<'a>, m: &Maintenance) -> Members<'a> {
    let mut all = Members { done: 0, away: Vec::new(), left: Vec::new() };
    for (id, rec) in index.pool_hosts(&m.pool).iter().filter(|(_, r)| !r.released) {
        if rec.under() == Some(&m.name) {
            all.away.push((id, rec));
        } else if rec.maintained.contains(&m.name) {
            all.done += 1;
        } else {
            all.left.push((id, rec));
        }
    }
    all
}

/// Records that start the maintenance of hosts.
pub(super) fn records(state: &State, index: &mut FleetIndex, now: UnixMs, term: Term) -> Vec<Record> {
    let mut all = Vec::new();
    for m in state.maintenance() {
        for id in choose(index, m, now) {
            let rec = &state.hosts[&id];
            let step = HostStep::Drain { reason: DrainReason::Maintain { name: m.name.clone() } };
            all.push(Record::Host { term, host: id, generation: rec.generation, step });
        }
    }
    all
}

/// The hosts that leave for a maintenance now; takes them from the index.
pub(super) fn choose(index: &mut FleetIndex, m: &Maintenance, now: UnixMs) -> Vec<HostId> {
    let all = members(index, m);
    if barrier(index, m, &all, now).is_some() {
        return Vec::new();
    }
    let canary = all.done == 0;
    let room = match (canary, m.max_parallel) {
        (true, _) => 1,
        (false, 0) => usize::MAX,
        (false, n) => n as usize,
    };
    let room = room.saturating_sub(all.away.len());
    let usable = |(_, r): &&(&HostId, &HostRec)| r.takes_work();
    let mut left: Vec<&HostId> = all.left.iter().filter(usable).map(|(id, _)| *id).collect();
    let works = |id: &&HostId| index.state.by_host.contains_key(*id);
    if canary && left.iter().any(works) {
        // A first host without instances would show nothing.
        left.retain(works);
    }
    pack(index, left, room)
}

/// Takes hosts one by one, each time the one whose leaving costs the tightest
/// budgets least, until none fits.
fn pack(index: &mut FleetIndex, left: Vec<&HostId>, room: usize) -> Vec<HostId> {
    let mut ranked: Vec<(f64, &HostId)> =
        left.into_iter().map(|id| (index.withdrawal_cost(id), id)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    let mut picked = Vec::new();
    for (_, id) in ranked {
        if picked.len() >= room {
            break;
        }
        if index.withdraw_host(id) {
            picked.push(id.clone());
        }
    }
    picked
}

/// What keeps any further host from leaving, apart from budgets.
fn barrier(index: &FleetIndex, m: &Maintenance, all: &Members, now: UnixMs) -> Option<WaveState> {
    let length = m.duration.as_millis() as UnixMs;
    if all.left.is_empty() && all.away.is_empty() {
        return Some(WaveState::Finished);
    }
    if m.paused {
        return Some(WaveState::Paused);
    }
    if now < m.start {
        return Some(WaveState::NotYet { start: rfc3339_ms(m.start) });
    }
    let overdue = |(_, r): &&(&HostId, &HostRec)| {
        let rebooting = matches!(r.phase, Phase::Rebooting { .. });
        rebooting && now.saturating_sub(r.since) > length * OVERDUE_FACTOR
    };
    if let Some((id, _)) = all.away.iter().find(overdue) {
        return Some(WaveState::Unwell { host: (*id).clone() });
    }
    if let Some(host) = unwell(index, m) {
        return Some(WaveState::Unwell { host });
    }
    if all.done == 0
        && let Some((id, _)) = all.away.first()
    {
        return Some(WaveState::Canary { host: (*id).clone() });
    }
    if m.deadline != 0 && now + length > m.deadline {
        return Some(WaveState::Deadline { deadline: rfc3339_ms(m.deadline) });
    }
    let clash = m.keep_clear.iter().find(|w| now + length > w.from && now < w.to);
    clash.map(|w| WaveState::KeepClear { from: rfc3339_ms(w.from) })
}

/// A host that has been through and is down, or has instances that are not
/// ready again.
fn unwell(index: &FleetIndex, m: &Maintenance) -> Option<HostId> {
    let state = index.state;
    let through = index
        .pool_hosts(&m.pool)
        .iter()
        .filter(|(_, r)| r.maintained.contains(&m.name) && r.phase == Phase::Active && !r.foreign);
    let ill = |id: &HostId, r: &HostRec| {
        let on = state.by_host.get(id).into_iter().flatten();
        let idle = on.filter_map(|i| state.instances.get(i)).any(|i| !i.ready);
        !r.up || idle
    };
    through.into_iter().find(|(id, r)| ill(id, r)).map(|(id, _)| (*id).clone())
}

/// Where every maintenance in force stands at a time.
pub fn wave_status(state: &State, now: UnixMs) -> Vec<WaveStatus> {
    let index = FleetIndex::new(state);
    state.maintenance().map(|m| status(&index, m, now)).collect()
}

fn status(index: &FleetIndex, m: &Maintenance, now: UnixMs) -> WaveStatus {
    let all = members(index, m);
    let state = barrier(index, m, &all, now).unwrap_or_else(|| hold(index.state, m, &all));
    WaveStatus {
        name: m.name.clone(),
        done: all.done,
        away: all.away.iter().map(|(id, _)| (*id).clone()).collect(),
        remaining: all.left.len(),
        state,
    }
}

fn hold(state: &State, m: &Maintenance, all: &Members) -> WaveState {
    if m.max_parallel > 0 && all.away.len() >= m.max_parallel as usize {
        return WaveState::MaxParallel;
    }
    let mut budget = None;
    for (id, r) in &all.left {
        if !r.takes_work() {
            continue;
        }
        match state.may_leave(id) {
            Ok(()) => return WaveState::Running,
            Err(crate::fold::Void::Budget(service)) => budget = Some(service),
            Err(_) => {}
        }
    }
    match (budget, all.left.first()) {
        (Some(service), _) => WaveState::Budget { service },
        (None, Some((id, _))) => WaveState::HostsMissing { host: (*id).clone() },
        (None, None) => WaveState::Running,
    }
}
