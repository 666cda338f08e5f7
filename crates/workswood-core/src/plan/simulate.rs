//! Simulation of a maintenance on a copy of the state, to compare the cost of strategies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use super::fleet_index::FleetIndex;
use super::wave::choose_hosts;
use crate::fleet::Maintenance;
use crate::fold::{HostPhase, State};
use crate::ids::{HostId, Rack, UnixMs};
use crate::record::DrainReason;

/// How a maintenance is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// As the planner does it: in rounds of as many hosts as the budgets allow.
    Waves,
    /// One rack after the other, with enough spare instances of each service to replace those of
    /// any rack.
    RackByRack,
}

/// Course and cost of a simulated maintenance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SimulatedRollout {
    /// Number of instances needed beyond the declared ones.
    pub spare_instances: u32,
    /// Time from the first drain to the return of the last host.
    pub rollout: Duration,
    /// Number of hosts that change their pool; 0 for both strategies.
    pub host_moves: u32,
    /// Number of instances that change their host; 0 for both strategies.
    pub instance_moves: u32,
    /// The hosts that leave in each round.
    pub rounds: Vec<Vec<HostId>>,
    /// Hosts that could not be maintained; none for [`Strategy::RackByRack`].
    #[serde(rename = "left")]
    pub not_maintained: Vec<HostId>,
}

/// Simulates a maintenance from `now` on a state whose instances are placed and ready.
pub fn simulate_rollout(state: &State, m: &Maintenance, strategy: Strategy, now: UnixMs) -> SimulatedRollout {
    match strategy {
        Strategy::Waves => simulate_waves(state, m, now.max(m.start)),
        Strategy::RackByRack => simulate_racks(state, m),
    }
}

fn simulate_waves(state: &State, m: &Maintenance, start: UnixMs) -> SimulatedRollout {
    let mut state = state.clone();
    let duration_ms = m.duration.as_millis() as UnixMs;
    let mut now = start;
    let mut rounds = Vec::new();
    let mut end = start;
    loop {
        let mut index = FleetIndex::new(&state);
        let leaving = choose_hosts(&mut index, m, now);
        if leaving.is_empty() {
            // Only a blackout window ends by itself; any other reason is final.
            let Some(w) = m.blackout_windows.iter().find(|w| now + duration_ms > w.from && now < w.to) else {
                break;
            };
            now = w.to;
            continue;
        }
        for id in &leaving {
            set_phase(&mut state, id, HostPhase::Draining(DrainReason::Maintain { name: m.name.clone() }));
        }
        now += duration_ms;
        end = now;
        for id in &leaving {
            set_phase(&mut state, id, HostPhase::Active);
            if let Some(h) = state.hosts.get_mut(id) {
                h.maintained.insert(m.name.clone());
            }
        }
        rounds.push(leaving);
    }
    let not_maintained = state
        .hosts
        .iter()
        .filter(|(_, h)| h.pool.as_ref() == Some(&m.pool) && !h.maintained.contains(&m.name));
    let not_maintained = not_maintained.map(|(id, _)| id.clone()).collect();
    let rollout = Duration::from_millis(end - start);
    SimulatedRollout { spare_instances: 0, rollout, host_moves: 0, instance_moves: 0, rounds, not_maintained }
}

fn set_phase(state: &mut State, host: &HostId, phase: HostPhase) {
    if let Some(h) = state.hosts.get_mut(host) {
        h.phase = phase;
    }
}

fn simulate_racks(state: &State, m: &Maintenance) -> SimulatedRollout {
    let mut hosts_by_rack: BTreeMap<&Rack, Vec<HostId>> = BTreeMap::new();
    for (id, h) in state.hosts.iter().filter(|(_, h)| h.pool.as_ref() == Some(&m.pool)) {
        hosts_by_rack.entry(&h.location.rack).or_default().push(id.clone());
    }
    let mut spare_instances = 0;
    for s in state.services().filter(|s| s.pool == m.pool) {
        let mut by_rack: BTreeMap<&Rack, u32> = BTreeMap::new();
        for (_, i) in state.instances_of(&s.name) {
            if let Some(h) = state.hosts.get(&i.host) {
                *by_rack.entry(&h.location.rack).or_default() += 1;
            }
        }
        // The instances of the largest rack that the slack of the budget does not cover.
        let slack = s.instances.saturating_sub(s.budget.min_available);
        spare_instances += by_rack.values().max().copied().unwrap_or(0).saturating_sub(slack);
    }
    let rounds: Vec<Vec<HostId>> = hosts_by_rack.into_values().collect();
    let rollout = m.duration * rounds.len() as u32;
    let maintained: BTreeSet<&HostId> = rounds.iter().flatten().collect();
    let not_maintained =
        state.hosts.iter().filter(|(id, h)| h.pool.as_ref() == Some(&m.pool) && !maintained.contains(id));
    let not_maintained = not_maintained.map(|(id, _)| id.clone()).collect();
    SimulatedRollout { spare_instances, rollout, host_moves: 0, instance_moves: 0, rounds, not_maintained }
}
