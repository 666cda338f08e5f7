//! Time of planning, and the three measures of plans.

use std::time::{Duration, Instant};

use workswood_core::fleet::{FleetFile, Maintenance};
use workswood_core::fold::State;
use workswood_core::ids::UnixMs;
use workswood_core::plan::{
    EntryReports, LowerBound, ObservedFleet, Strategy, decide, missing_actions, simulate_rollout,
};
use workswood_core::record::{Envelope, FORMAT_VERSION};

use super::fold::fleet;
use super::stats::median;
use crate::ops::check::read_text;
use crate::ops::dev::DEFAULT_FILE;
use crate::ops::plan::{listed, settled};

const NOW: UnixMs = 1_000_000;
const RUNS: usize = 5;
const GRIDLARK: &str = include_str!("../../../../examples/gridlark.json");

/// Prints the time of planning by hosts, then the measures.
pub fn run() {
    crate::outln!("hosts pools first_plan_ms quiet_round_ms replan_after_loss_ms wave_choice_ms");
    for (hosts, pools) in [(50, 2), (500, 4), (5_000, 12), (24_000, 52)] {
        let file = fleet(hosts, pools);
        let started = Instant::now();
        let state = settled(std::slice::from_ref(&file), NOW);
        let first = started.elapsed().as_secs_f64() * 1e3;
        let seen = listed(&state);
        let quiet = median((0..RUNS).map(|_| time(|| round(&state, &seen, NOW))).collect());
        let loss = median((0..RUNS).map(|_| replan(&state, &seen)).collect());
        let m = maintenance("pool0");
        let started = Instant::now();
        let rounds = simulate_rollout(&state, &m, Strategy::Waves, NOW).rounds.len();
        let wave = started.elapsed().as_secs_f64() * 1e3 / rounds.max(1) as f64;
        crate::outln!("{hosts} {pools} {first:.0} {quiet:.1} {loss:.1} {wave:.1}");
    }
    crate::outln!(
        "fleet maintenance way rollout_min ratio_to_bound host_moves instance_moves spare_instances undone"
    );
    for (name, text) in [("factoring", DEFAULT_FILE), ("gridlark", GRIDLARK)] {
        let Ok(file) = read_text(name, text) else { continue };
        show(name, &file, &file.maintenance);
        let big = times_ten(&file);
        show(&format!("{name}_x10"), &big, &big.maintenance);
    }
    let file = fleet(24_000, 52);
    let all: Vec<Maintenance> = (0..52).map(|p| maintenance(&format!("pool{p}"))).collect();
    show("target", &file, &all[..3]);
}

fn time(f: impl FnOnce()) -> f64 {
    let started = Instant::now();
    f();
    started.elapsed().as_secs_f64() * 1e3
}

fn round(state: &State, seen: &ObservedFleet, now: UnixMs) {
    let facts = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
    std::hint::black_box(decide(state, seen, &facts, now, 1));
    std::hint::black_box(missing_actions(state, seen));
}

/// Time from the loss of a host in the list to its instances placed anew.
fn replan(state: &State, seen: &ObservedFleet) -> f64 {
    let mut state = state.clone();
    let Some(host) = state.by_host.keys().next().cloned() else { return f64::NAN };
    let mut seen = seen.clone();
    seen.hosts.remove(&host);
    let mut now = NOW;
    let facts = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
    let mut total = 0.0;
    for seq in 1_000_000..1_000_006 {
        let started = Instant::now();
        let records = decide(&state, &seen, &facts, now, 1);
        total = f64::max(total, started.elapsed().as_secs_f64() * 1e3);
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
    total
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

/// The file with ten copies of every host and service.
fn times_ten(file: &FleetFile) -> FleetFile {
    let mut big = FleetFile { hosts: Vec::new(), services: Vec::new(), ..file.clone() };
    for n in 0..10 {
        big.hosts.extend(file.hosts.iter().cloned().map(|mut h| {
            h.name = format!("{}-{n}", h.name);
            h.rack = format!("{}-{n}", h.rack);
            h
        }));
        big.services.extend(file.services.iter().cloned().map(|mut s| {
            s.name = format!("{}-{n}", s.name);
            s.routes.clear();
            s
        }));
    }
    big.pools.iter_mut().for_each(|p| p.size *= 10);
    big
}

fn show(name: &str, file: &FleetFile, maintenance: &[Maintenance]) {
    let state = settled(std::slice::from_ref(file), NOW);
    for m in maintenance {
        let m = Maintenance { start: 0, deadline: 0, blackout_windows: Vec::new(), ..m.clone() };
        let bound = LowerBound::for_maintenance(&state, &m);
        for (way, strategy) in [("waves", Strategy::Waves), ("rack_by_rack", Strategy::RackByRack)] {
            let x = simulate_rollout(&state, &m, strategy, NOW);
            crate::outln!(
                "{name} {} {way} {:.0} {:.2} {} {} {} {}",
                m.name,
                x.rollout.as_secs_f64() / 60.0,
                x.rollout.as_secs_f64() / bound.duration.as_secs_f64(),
                x.host_moves,
                x.instance_moves,
                x.spare_instances,
                x.not_maintained.len()
            );
        }
    }
}
