//! The three measures of a plan, by going through it without touching anything.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use super::fleet_index::FleetIndex;
use super::wave::choose_hosts;
use crate::fleet::Maintenance;
use crate::fold::{Phase, State};
use crate::ids::{HostId, Rack, UnixMs};
use crate::record::DrainReason;

/// A way to carry a maintenance out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The planner's own waves.
    Waves,
    /// One rack after the other, with enough extra instances of each service
    /// to cover any rack.
    RackByRack,
}

/// What a way costs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SimulatedRollout {
    /// Instances run beyond those declared.
    pub spare_instances: u32,
    /// Time from the first drain to the last return.
    pub rollout: Duration,
    /// Hosts that change their pool.
    pub host_moves: u32,
    /// Instances that change their host.
    pub instance_moves: u32,
    /// Hosts by the round they leave in.
    pub rounds: Vec<Vec<HostId>>,
    /// Hosts that could not be maintained in time, with the reason.
    #[serde(rename = "left")]
    pub not_maintained: Vec<HostId>,
}

/// Goes through a maintenance from `now` on a state whose instances are placed.
pub fn simulate_rollout(state: &State, m: &Maintenance, strategy: Strategy, now: UnixMs) -> SimulatedRollout {
    match strategy {
        Strategy::Waves => waves(state, m, now.max(m.start)),
        Strategy::RackByRack => racks(state, m),
    }
}

fn waves(state: &State, m: &Maintenance, start: UnixMs) -> SimulatedRollout {
    let mut state = state.clone();
    let length = m.duration.as_millis() as UnixMs;
    let mut now = start;
    let mut rounds = Vec::new();
    let mut end = start;
    loop {
        let mut index = FleetIndex::new(&state);
        let picked = choose_hosts(&mut index, m, now);
        if picked.is_empty() {
            // A span that is kept clear is waited out; anything else is final.
            let Some(w) = m.keep_clear.iter().find(|w| now + length > w.from && now < w.to) else { break };
            now = w.to;
            continue;
        }
        for id in &picked {
            set_phase(&mut state, id, Phase::Draining(DrainReason::Maintain { name: m.name.clone() }));
        }
        now += length;
        end = now;
        for id in &picked {
            set_phase(&mut state, id, Phase::Active);
            if let Some(h) = state.hosts.get_mut(id) {
                h.maintained.insert(m.name.clone());
            }
        }
        rounds.push(picked);
    }
    let missed = state
        .hosts
        .iter()
        .filter(|(_, h)| h.pool.as_ref() == Some(&m.pool) && !h.maintained.contains(&m.name));
    let not_maintained = missed.map(|(id, _)| id.clone()).collect();
    let rollout = Duration::from_millis(end - start);
    SimulatedRollout { spare_instances: 0, rollout, host_moves: 0, instance_moves: 0, rounds, not_maintained }
}

fn set_phase(state: &mut State, host: &HostId, phase: Phase) {
    if let Some(h) = state.hosts.get_mut(host) {
        h.phase = phase;
    }
}

fn racks(state: &State, m: &Maintenance) -> SimulatedRollout {
    let mut by_rack: BTreeMap<&Rack, Vec<HostId>> = BTreeMap::new();
    for (id, h) in state.hosts.iter().filter(|(_, h)| h.pool.as_ref() == Some(&m.pool)) {
        by_rack.entry(&h.place.rack).or_default().push(id.clone());
    }
    let mut spare = 0;
    for s in state.services().filter(|s| s.pool == m.pool) {
        let mut held: BTreeMap<&Rack, u32> = BTreeMap::new();
        for (_, i) in state.instances_of(&s.name) {
            if let Some(h) = state.hosts.get(&i.host) {
                *held.entry(&h.place.rack).or_default() += 1;
            }
        }
        // Extra instances that the budget's own slack does not cover.
        let slack = s.instances.saturating_sub(s.budget.min_available);
        spare += held.values().max().copied().unwrap_or(0).saturating_sub(slack);
    }
    let rounds: Vec<Vec<HostId>> = by_rack.into_values().collect();
    let rollout = m.duration * rounds.len() as u32;
    let through: BTreeSet<&HostId> = rounds.iter().flatten().collect();
    let not_maintained =
        state.hosts.iter().filter(|(id, h)| h.pool.as_ref() == Some(&m.pool) && !through.contains(id));
    let not_maintained = not_maintained.map(|(id, _)| id.clone()).collect();
    SimulatedRollout {
        spare_instances: spare,
        rollout,
        host_moves: 0,
        instance_moves: 0,
        rounds,
        not_maintained,
    }
}
