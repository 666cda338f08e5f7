//! `plan`: placements, waves and measures of files, offline.

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

/// Rounds of deciding after which an offline plan must have settled.
const MOST_ROUNDS: u64 = 200;
const TERM: u64 = 1;
const PLANNER: &str = "offline";
/// Address that instances have in an offline plan.
const ADDRESS: &str = "127.0.0.1:1";

/// A plan of one maintenance.
pub struct MaintenancePlan {
    /// The maintenance.
    pub maintenance: Maintenance,
    /// Our waves.
    pub waves: SimulatedRollout,
    /// One rack after the other.
    pub racks: SimulatedRollout,
    /// What no safe plan can beat.
    pub bound: LowerBound,
}

/// A log of one writer, folded as it is written.
struct Offline {
    state: State,
    seq: u64,
    now: UnixMs,
}

impl Offline {
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

/// The state of files in force on hosts that are all well, with every
/// instance placed and ready.
pub fn settled(files: &[FleetFile], now: UnixMs) -> State {
    let mut log = Offline { state: State::default(), seq: 0, now };
    let take =
        Record::Take { role: Role::Planner, holder: PLANNER.to_string(), term: TERM, seen_renewals: 0 };
    log.append(vec![take]);
    for f in files {
        log.append(vec![Record::Apply {
            change_id: f.file.clone(),
            base: 0,
            author: PLANNER.to_string(),
            // Waves are measured apart, on the settled state.
            file: Box::new(FleetFile { maintenance: Vec::new(), jobs: Vec::new(), ..f.clone() }),
        }]);
    }
    let mut seen = live(files);
    for _ in 0..MOST_ROUNDS {
        let records = decide(&log.state, &seen, &EntryReports::default(), now, TERM);
        if records.is_empty() {
            break;
        }
        show(&mut seen, &records);
        log.append(records);
    }
    log.state
}

/// A list of all hosts of the files, live and in no pool.
fn live(files: &[FleetFile]) -> ObservedFleet {
    let hosts = files.iter().flat_map(|f| &f.hosts).map(|h| {
        let seen = ObservedHost::newly_declared(h);
        (h.name.clone(), seen)
    });
    ObservedFleet { hosts: hosts.collect(), entries: Vec::new() }
}

/// The list that a platform without faults would show for a state.
pub fn listed(state: &State) -> ObservedFleet {
    let mut seen = ObservedFleet::default();
    for (id, h) in &state.hosts {
        let on = state.by_host.get(id).into_iter().flatten();
        let task = |i: &String| ObservedTask {
            id: i.clone(),
            address: ADDRESS.to_string(),
            ready: true,
            used_millicores: 0,
            ended: None,
            token: state.instances.get(i).map_or(0, |r| r.token),
        };
        let host = ObservedHost {
            place: h.location.clone(),
            cpus: h.cpus,
            memory_gib: h.memory_gib,
            accelerators: h.accelerators,
            pool: h.pool.clone(),
            state: HostState::Live,
            draining: false,
            drained: false,
            boot: "1".to_string(),
            token: h.generation,
            tasks: on.map(task).collect(),
        };
        seen.hosts.insert(id.clone(), host);
    }
    seen
}

/// Lets the list show what was decided, as a platform without faults would.
fn show(seen: &mut ObservedFleet, records: &[Record]) {
    for r in records {
        if let Record::Instance { instance, change: InstanceChange::Place { host }, .. } = r
            && let Some(h) = seen.hosts.get_mut(host)
        {
            h.tasks.push(ObservedTask {
                id: instance.clone(),
                address: ADDRESS.to_string(),
                ready: true,
                used_millicores: 0,
                ended: None,
                token: 1,
            });
        }
    }
}

/// Plans all maintenance of files.
pub fn run(files: &[FleetFile], now: UnixMs) -> (State, Vec<MaintenancePlan>) {
    let state = settled(files, now);
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

/// Refuses maintenance that can't finish; names the nearest plan that can.
pub fn refuse_impossible(files: &[FleetFile], now: UnixMs) -> Result<()> {
    let (state, plans) = run(files, now);
    for p in &plans {
        if p.maintenance.paused || p.waves.not_maintained.is_empty() {
            continue;
        }
        let free = Maintenance { deadline: 0, ..p.maintenance.clone() };
        let nearest = simulate_rollout(&state, &free, Strategy::Waves, now);
        let start = now.max(p.maintenance.start);
        let hint = match nearest.not_maintained.is_empty() {
            true => {
                let end = start + nearest.rollout.as_millis() as UnixMs;
                format!("the nearest deadline that can be kept is {}", format_rfc3339(end + 1_000))
            }
            false => {
                format!(
                    "host `{}` can't leave at all: the budgets allow no maintenance",
                    nearest.not_maintained[0]
                )
            }
        };
        let message = format!(
            "maintenance `{}` leaves {} host(s) undone; {hint}",
            p.maintenance.name,
            p.waves.not_maintained.len()
        );
        return Err(Error::PlanImpossible { message });
    }
    Ok(())
}

fn show_time(t: Duration) -> String {
    humantime::format_duration(Duration::from_secs(t.as_secs())).to_string()
}

/// The plan as text.
pub fn text(state: &State, plans: &[MaintenancePlan]) -> String {
    let mut out = String::new();
    for (id, i) in &state.instances {
        let h = state.hosts.get(&i.host);
        let (centre, rack) =
            h.map(|h| (h.location.data_centre.as_str(), h.location.rack.as_str())).unwrap_or_default();
        out += &format!("place {id} host={} data_centre={centre} rack={rack}\n", i.host);
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
                show_time(m.rollout),
                m.host_moves,
                m.instance_moves,
                m.spare_instances
            )
        };
        out += &line("waves", &p.waves);
        out += &line("rack by rack", &p.racks);
        out +=
            &format!("  lower bound: rollout={} in {} rounds\n", show_time(p.bound.rollout), p.bound.rounds);
    }
    out
}
