//! Measures the time of planning and the quality of maintenance plans.

use std::time::{Duration, Instant};

use workswood_core::fleet::{FleetFile, Maintenance};
use workswood_core::fold::State;
use workswood_core::ids::UnixMs;
use workswood_core::plan::{
    EntryReports, LowerBound, ObservedFleet, Strategy, decide, missing_actions, simulate_rollout,
};
use workswood_core::record::{Envelope, FORMAT_VERSION};

use super::fold::fleet;
use super::quantiles::median;
use crate::ops::check::read_text;
use crate::ops::dev::DEFAULT_FILE;
use crate::ops::plan::{observed_fleet, settled_state};

/// Time of the first planning round, in milliseconds since 1970.
const NOW: UnixMs = 1_000_000;
/// Runs of which the median is printed.
const RUNS: usize = 5;
const GRIDLARK: &str = include_str!("../../../../examples/gridlark.json");

/// Prints the time of planning by number of hosts, then the quality of plans for several fleets.
pub fn run() {
    crate::outln!("hosts pools first_plan_ms quiet_round_ms replan_after_loss_ms wave_choice_ms");
    for (hosts, pools) in [(50, 2), (500, 4), (5_000, 12), (24_000, 52)] {
        let file = fleet(hosts, pools);
        let started = Instant::now();
        let state = settled_state(std::slice::from_ref(&file), NOW);
        let first_ms = started.elapsed().as_secs_f64() * 1e3;
        let observed = observed_fleet(&state);
        let quiet_ms = median((0..RUNS).map(|_| time_ms(|| plan_round(&state, &observed, NOW))).collect());
        let replan_ms = median((0..RUNS).map(|_| replan(&state, &observed)).collect());
        let m = maintenance("pool0");
        let started = Instant::now();
        let rounds = simulate_rollout(&state, &m, Strategy::Waves, NOW).rounds.len();
        let wave_ms = started.elapsed().as_secs_f64() * 1e3 / rounds.max(1) as f64;
        crate::outln!("{hosts} {pools} {first_ms:.0} {quiet_ms:.1} {replan_ms:.1} {wave_ms:.1}");
    }
    crate::outln!(
        "fleet maintenance way rollout_min ratio_to_bound host_moves instance_moves spare_instances undone"
    );
    for (name, text) in [("factoring", DEFAULT_FILE), ("gridlark", GRIDLARK)] {
        let Ok(file) = read_text(name, text) else { continue };
        print_plan_quality(name, &file, &file.maintenance);
        let tenfold = times_ten(&file);
        print_plan_quality(&format!("{name}_x10"), &tenfold, &tenfold.maintenance);
    }
    let file = fleet(24_000, 52);
    let all: Vec<Maintenance> = (0..52).map(|p| maintenance(&format!("pool{p}"))).collect();
    print_plan_quality("target", &file, &all[..3]);
}

/// Returns the time that a call takes, in milliseconds.
fn time_ms(f: impl FnOnce()) -> f64 {
    let started = Instant::now();
    f();
    started.elapsed().as_secs_f64() * 1e3
}

fn plan_round(state: &State, observed: &ObservedFleet, now: UnixMs) {
    let reports = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
    std::hint::black_box(decide(state, observed, &reports, now, 1));
    std::hint::black_box(missing_actions(state, observed));
}

/// Removes a host from the list and plans until nothing is left to decide. Returns the time of
/// the longest round, in milliseconds.
fn replan(state: &State, observed: &ObservedFleet) -> f64 {
    let mut state = state.clone();
    let Some(host) = state.by_host.keys().next().cloned() else { return f64::NAN };
    let mut observed = observed.clone();
    observed.hosts.remove(&host);
    let mut now = NOW;
    let reports = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
    let mut longest_ms = 0.0;
    for seq in 1_000_000..1_000_006 {
        let started = Instant::now();
        let records = decide(&state, &observed, &reports, now, 1);
        longest_ms = f64::max(longest_ms, started.elapsed().as_secs_f64() * 1e3);
        now += 31_000;
        if records.is_empty() {
            break;
        }
        let env = Envelope {
            format_version: FORMAT_VERSION,
            sender: "offline".to_string(),
            seq,
            written_at: now,
            records,
        };
        state.fold(state.next_offset, &env);
    }
    longest_ms
}

fn maintenance(pool: &str) -> Maintenance {
    Maintenance {
        name: format!("m-{pool}"),
        pool: pool.to_string(),
        duration: Duration::from_secs(600),
        start: 0,
        deadline: 0,
        blackout_windows: Vec::new(),
        max_parallel: 0,
        paused: false,
    }
}

/// Returns the file with ten copies of every host and service.
fn times_ten(file: &FleetFile) -> FleetFile {
    let mut tenfold = FleetFile { hosts: Vec::new(), services: Vec::new(), ..file.clone() };
    for n in 0..10 {
        tenfold.hosts.extend(file.hosts.iter().cloned().map(|mut h| {
            h.name = format!("{}-{n}", h.name);
            h.rack = format!("{}-{n}", h.rack);
            h
        }));
        tenfold.services.extend(file.services.iter().cloned().map(|mut s| {
            s.name = format!("{}-{n}", s.name);
            s.routes.clear();
            s
        }));
    }
    tenfold.pools.iter_mut().for_each(|p| p.size *= 10);
    tenfold
}

/// Prints the quality of both rollout strategies for each maintenance, after its start, deadline
/// and blackout windows are dropped.
fn print_plan_quality(name: &str, file: &FleetFile, maintenance: &[Maintenance]) {
    let state = settled_state(std::slice::from_ref(file), NOW);
    for m in maintenance {
        let m = Maintenance { start: 0, deadline: 0, blackout_windows: Vec::new(), ..m.clone() };
        let bound = LowerBound::for_maintenance(&state, &m);
        for (way, strategy) in [("waves", Strategy::Waves), ("rack_by_rack", Strategy::RackByRack)] {
            let outcome = simulate_rollout(&state, &m, strategy, NOW);
            crate::outln!(
                "{name} {} {way} {:.0} {:.2} {} {} {} {}",
                m.name,
                outcome.rollout.as_secs_f64() / 60.0,
                outcome.rollout.as_secs_f64() / bound.duration.as_secs_f64(),
                outcome.host_moves,
                outcome.instance_moves,
                outcome.spare_instances,
                outcome.not_maintained.len()
            );
        }
    }
}
