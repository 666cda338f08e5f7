//! `plan`: placements and maintenance waves of fleet files, computed offline.

use std::time::Duration;

use workswood_core::fleet::{FleetFile, Maintenance, format_rfc3339};
use workswood_core::fold::State;
use workswood_core::ids::UnixMs;
use workswood_core::plan::{
    EntryReports, HostState, LowerBound, ObservedFleet, ObservedHost, ObservedTask, SimulatedRollout,
    Strategy, decide, simulate_rollout,
};
use workswood_core::record::{Envelope, FORMAT_VERSION, InstanceChange, Record, Role};

use crate::util::errors::{Error, Result};

/// Largest number of rounds of planning. The state settles in fewer rounds.
const MAX_ROUNDS: u64 = 200;
/// Term of the simulated planner.
const TERM: u64 = 1;
/// Name of the simulated planner.
const PLANNER: &str = "offline";
/// Address of all instances; nothing connects to it.
const INSTANCE_ADDRESS: &str = "127.0.0.1:1";

/// The plan of one maintenance.
pub struct MaintenancePlan {
    /// The maintenance.
    pub maintenance: Maintenance,
    /// Simulation of the waves that the planner makes.
    pub waves: SimulatedRollout,
    /// Simulation of one rack after the other, for comparison.
    pub racks: SimulatedRollout,
    /// Lower bound for all safe plans.
    pub bound: LowerBound,
}

/// A log with one writer, which is folded as it is written.
struct SimulatedLog {
    state: State,
    seq: u64,
    now: UnixMs,
}

impl SimulatedLog {
    fn append(&mut self, records: Vec<Record>) {
        self.seq += 1;
        let env = Envelope {
            format_version: FORMAT_VERSION,
            sender: PLANNER.to_string(),
            seq: self.seq,
            written_at: self.now,
            records,
        };
        self.state.fold(self.seq, &env);
    }
}

/// The state after the files were applied and every instance was placed and is ready, if all hosts
/// are live.
pub fn settled_state(files: &[FleetFile], now: UnixMs) -> State {
    let mut log = SimulatedLog { state: State::default(), seq: 0, now };
    let take =
        Record::Take { role: Role::Planner, holder: PLANNER.to_string(), term: TERM, seen_renewals: 0 };
    log.append(vec![take]);
    for f in files {
        log.append(vec![Record::Apply {
            change_id: f.file.clone(),
            base: 0,
            author: PLANNER.to_string(),
            // Maintenance is simulated later, from the settled state.
            file: Box::new(FleetFile { maintenance: Vec::new(), jobs: Vec::new(), ..f.clone() }),
        }]);
    }
    let mut fleet = initial_fleet(files);
    for _ in 0..MAX_ROUNDS {
        let records = decide(&log.state, &fleet, &EntryReports::default(), now, TERM);
        if records.is_empty() {
            break;
        }
        observe_placements(&mut fleet, &records);
        log.append(records);
    }
    log.state
}

/// The observed fleet before anything is planned: all hosts of the files are live and in no pool.
fn initial_fleet(files: &[FleetFile]) -> ObservedFleet {
    let hosts = files.iter().flat_map(|f| &f.hosts).map(|h| {
        let host = ObservedHost::newly_declared(h);
        (h.name.clone(), host)
    });
    ObservedFleet { hosts: hosts.collect(), entries: Vec::new() }
}

/// The fleet that a platform without faults would report for a state.
pub fn observed_fleet(state: &State) -> ObservedFleet {
    let mut fleet = ObservedFleet::default();
    for (id, h) in &state.hosts {
        let instances = state.by_host.get(id).into_iter().flatten();
        let task = |i: &String| ObservedTask {
            id: i.clone(),
            address: INSTANCE_ADDRESS.to_string(),
            ready: true,
            used_millicores: 0,
            ended: None,
            token: state.instances.get(i).map_or(0, |r| r.token),
        };
        let host = ObservedHost {
            location: h.location.clone(),
            cpus: h.cpus,
            memory_gib: h.memory_gib,
            accelerators: h.accelerators,
            pool: h.pool.clone(),
            state: HostState::Live,
            draining: false,
            drained: false,
            boot: "1".to_string(),
            token: h.generation,
            tasks: instances.map(task).collect(),
        };
        fleet.hosts.insert(id.clone(), host);
    }
    fleet
}

/// Adds the decided placements to the observed fleet, as a platform without faults would.
fn observe_placements(fleet: &mut ObservedFleet, records: &[Record]) {
    for r in records {
        if let Record::Instance { instance, change: InstanceChange::Place { host }, .. } = r
            && let Some(h) = fleet.hosts.get_mut(host)
        {
            h.tasks.push(ObservedTask {
                id: instance.clone(),
                address: INSTANCE_ADDRESS.to_string(),
                ready: true,
                used_millicores: 0,
                ended: None,
                token: 1,
            });
        }
    }
}

/// Plans all maintenance of the files. Returns the settled state too.
pub fn run(files: &[FleetFile], now: UnixMs) -> (State, Vec<MaintenancePlan>) {
    let state = settled_state(files, now);
    let all = files.iter().flat_map(|f| &f.maintenance);
    let plans = all.map(|m| MaintenancePlan {
        maintenance: m.clone(),
        waves: simulate_rollout(&state, m, Strategy::Waves, now),
        racks: simulate_rollout(&state, m, Strategy::RackByRack, now),
        bound: LowerBound::for_maintenance(&state, m),
    });
    let plans = plans.collect();
    (state, plans)
}

/// Fails if a maintenance can't finish before its deadline; the error names the nearest feasible
/// plan.
pub fn refuse_impossible(files: &[FleetFile], now: UnixMs) -> Result<()> {
    let (state, plans) = run(files, now);
    for p in &plans {
        if p.maintenance.paused || p.waves.not_maintained.is_empty() {
            continue;
        }
        let without_deadline = Maintenance { deadline: 0, ..p.maintenance.clone() };
        let nearest = simulate_rollout(&state, &without_deadline, Strategy::Waves, now);
        let start = now.max(p.maintenance.start);
        let hint = match nearest.not_maintained.is_empty() {
            true => {
                let end = start + nearest.rollout.as_millis() as UnixMs;
                format!("the nearest deadline that can be kept is {}", format_rfc3339(end + 1_000))
            }
            false => {
                format!("the budgets never allow maintenance of host `{}`", nearest.not_maintained[0])
            }
        };
        let message = format!(
            "maintenance `{}` can't finish {} host(s) before its deadline; {hint}",
            p.maintenance.name,
            p.waves.not_maintained.len()
        );
        return Err(Error::PlanImpossible { message });
    }
    Ok(())
}

fn format_duration(t: Duration) -> String {
    humantime::format_duration(Duration::from_secs(t.as_secs())).to_string()
}

/// Formats the placements of the settled state and the maintenance plans.
pub fn text(state: &State, plans: &[MaintenancePlan]) -> String {
    let mut out = String::new();
    for (id, i) in &state.instances {
        let h = state.hosts.get(&i.host);
        let (data_centre, rack) =
            h.map(|h| (h.location.data_centre.as_str(), h.location.rack.as_str())).unwrap_or_default();
        out += &format!("place {id} host={} data_centre={data_centre} rack={rack}\n", i.host);
    }
    for p in plans {
        out += &format!("\nmaintenance {}\n", p.maintenance.name);
        for (i, hosts) in p.waves.rounds.iter().enumerate() {
            out += &format!("  round {} hosts={}\n", i + 1, hosts.join(","));
        }
        for host in &p.waves.not_maintained {
            out += &format!("  not in time: {host}\n");
        }
        let line = |name: &str, m: &SimulatedRollout| {
            format!(
                "  {name}: rollout={} host_moves={} instance_moves={} spare_instances={}\n",
                format_duration(m.rollout),
                m.host_moves,
                m.instance_moves,
                m.spare_instances
            )
        };
        out += &line("waves", &p.waves);
        out += &line("rack by rack", &p.racks);
        out += &format!(
            "  lower bound: rollout={} in {} rounds\n",
            format_duration(p.bound.duration),
            p.bound.rounds
        );
    }
    out
}
