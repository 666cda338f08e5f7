//! Orders to machines: waves of maintenance, moves between pools, and what the
//! list of machines tells of lives.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::spec::Room;
use workswood_core::jobs::{
    Action, Event, Limits, Machine, MachineReply, MachineState, Record, Report, ReportedRun, Scheduler,
    ServiceConfig, StartReply, Wave, WorkerInfo,
};
use workswood_test_support::job_world::{SERVICE, config, job, step};

const SPARE: &str = "spare";

struct Bench {
    sched: Scheduler,
    actions: Vec<Action>,
    /// Machines on record as ordered about lately.
    ordered: Vec<String>,
}

fn room() -> Room {
    Room { cpu_millis: 4000, mem_mb: 8000, gpus: 0 }
}

fn worker(n: usize, life: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w-{n}-{life}").as_str().into(),
        service: SERVICE.to_string(),
        address: format!("10.0.0.{n}:80"),
        data_centre: "north".to_string(),
        machine: format!("m-{n}"),
        capacity: room(),
        labels: Vec::new(),
        draining: false,
    }
}

fn machine(n: usize, pool: &str, life: Option<usize>) -> Machine {
    Machine {
        name: format!("m-{n}"),
        pool: pool.to_string(),
        state: MachineState::Up,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: room(),
        worker: life.map(|l| worker(n, l).id),
    }
}

impl Bench {
    fn new(workers: usize) -> Bench {
        let limits = Limits {
            lease: Duration::from_secs(5),
            grace: Duration::from_secs(4),
            drift: 0.02,
            machine_handover: Duration::ZERO,
            keep_ended: Duration::from_secs(60),
            early: Duration::ZERO,
        };
        let mut cfg = config();
        let spare = ServiceConfig { name: SPARE.to_string(), guards_room: true, spare: true };
        cfg.services.insert(SPARE.to_string(), spare);
        let mut b = Bench {
            sched: Scheduler::new(1, limits, Duration::ZERO, 0),
            actions: Vec::new(),
            ordered: Vec::new(),
        };
        b.sched.handle(Event::Config(Arc::new(cfg)));
        for n in 0..workers {
            b.sched.handle(Event::WorkerListed(worker(n, 0)));
            b.report(n, 0, &[]);
        }
        b
    }

    fn at(&mut self, ms: u64) {
        self.sched.now = Duration::from_millis(ms);
        self.sched.wall = ms;
    }

    /// A worker answers a look and lists what it was told to start.
    fn report(&mut self, n: usize, life: usize, runs: &[Action]) {
        let listed = runs.iter().filter_map(|a| match a {
            Action::Start { task, attempt, .. } => Some(ReportedRun {
                task: *task,
                attempt: *attempt,
                checkpoint: String::new(),
                percent: 100,
                figure: 0,
            }),
            _ => None,
        });
        let report = Report { asked: self.sched.now, running: listed.collect(), ended: Vec::new() };
        let end = self.sched.now + Duration::from_secs(6);
        self.sched.handle(Event::Reported(worker(n, life).id, report, end));
    }

    fn tick(&mut self) -> Vec<Action> {
        self.sched.handle(Event::Tick);
        let batch = self.sched.take_batch();
        for rec in &batch.records {
            match rec {
                Record::Ordered(machine, true) => self.ordered.push(machine.clone()),
                Record::Ordered(machine, false) => self.ordered.retain(|m| m != machine),
                _ => {}
            }
        }
        self.actions.extend(batch.actions.clone());
        batch.actions
    }

    fn list(&mut self, machines: Vec<Machine>) {
        let now = self.sched.now;
        self.sched.handle(Event::Machines(machines, now));
    }
}

fn upkeeps(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| match a {
        Action::Upkeep(m, _) => Some(m.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

fn moves(actions: &[Action]) -> Vec<(String, String)> {
    let of = |a: &Action| match a {
        Action::Move(m, pool) => Some((m.clone(), pool.clone())),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn wave(machines: &[usize], most_at_once: usize) -> Wave {
    let machines = machines.iter().map(|n| format!("m-{n}")).collect();
    Wave { number: 1, machines, within: Duration::from_secs(20), most_at_once }
}

#[test]
fn most_at_once() {
    let mut b = Bench::new(6);
    b.list((0..6).map(|n| machine(n, SERVICE, Some(0))).collect());
    b.sched.handle(Event::Wave(wave(&[0, 1, 2, 3, 4, 5], 2), None));
    let mut down = Vec::new();
    for t in 1..40 {
        b.at(t * 150);
        let actions = b.tick();
        for m in upkeeps(&actions) {
            if !down.contains(&m) {
                down.push(m.clone());
            }
            b.sched.handle(Event::MachineOrdered(m, MachineReply::Done));
        }
    }
    assert_eq!(down.len(), 2, "none has come back yet: {down:?}");
}

#[test]
fn earlier_list_finishes_nothing() {
    let mut b = Bench::new(1);
    // The workers that stand on these machines are not known yet.
    b.list(vec![machine(1, SERVICE, None), machine(2, SERVICE, None)]);
    b.sched.handle(Event::Wave(wave(&[1, 2], 1), None));
    b.at(150);
    b.tick();
    b.at(300);
    b.tick();
    assert_eq!(upkeeps(&b.actions), ["m-1"]);
    // Asked for before the order was carried out, answered after it.
    let asked = b.sched.now;
    b.at(400);
    b.sched.handle(Event::MachineOrdered("m-1".to_string(), MachineReply::Done));
    let list = vec![machine(1, SERVICE, Some(3)), machine(2, SERVICE, None)];
    b.sched.handle(Event::Machines(list, asked));
    for t in 0..10 {
        b.at(500 + t * 150);
        b.tick();
    }
    let ordered = upkeeps(&b.actions);
    assert!(!ordered.contains(&"m-2".to_string()), "one may be down at once: {ordered:?}");
}

#[test]
fn busy_machine() {
    let mut b = Bench::new(2);
    b.list(vec![machine(0, SERVICE, Some(0)), machine(1, SERVICE, Some(0))]);
    b.sched.handle(Event::Wave(wave(&[0], 1), None));
    b.at(150);
    b.tick();
    b.at(300);
    b.tick();
    assert_eq!(upkeeps(&b.actions), ["m-0"]);
    b.sched.handle(Event::MachineOrdered("m-0".to_string(), MachineReply::Busy));
    // The machine is back with another life, which takes no work meanwhile.
    b.sched.handle(Event::LifeOver(worker(0, 0).id));
    b.sched.handle(Event::WorkerListed(worker(0, 1)));
    b.report(0, 1, &[]);
    let mut lasting = step(2, vec![]);
    lasting.lasting = true;
    lasting.most_per_worker = 1;
    lasting.may_miss = 1;
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = b.sched.take_batch().actions;
    let on_first =
        starts.iter().any(|a| matches!(a, Action::Start { worker: w, .. } if *w == worker(0, 1).id));
    assert!(!on_first, "a machine that is to go down gets no new work: {starts:?}");
}

#[test]
fn short_pool_gets_machine() {
    let mut b = Bench::new(1);
    b.list(vec![machine(0, SERVICE, Some(0)), machine(7, SPARE, None)]);
    b.at(150);
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(12, vec![])], 100))));
    b.tick();
    b.at(300);
    b.tick();
    assert_eq!(moves(&b.actions), [("m-7".to_string(), SERVICE.to_string())]);
}

#[test]
fn busy_machine_stays() {
    let mut b = Bench::new(3);
    b.list((0..3).map(|n| machine(n, SERVICE, Some(0))).collect());
    b.at(100);
    // Five fit on each of the three machines.
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(15, vec![])], 100))));
    let starts = b.sched.take_batch().actions;
    assert_eq!(starts.len(), 15);
    for a in &starts {
        if let Action::Start { worker, task, attempt, .. } = a {
            let end = Duration::from_secs(6);
            b.sched.handle(Event::Started(worker.clone(), *task, *attempt, StartReply::Taken, end));
        }
    }
    for t in 1..100 {
        b.at(100 + t * 150);
        b.tick();
    }
    assert_eq!(moves(&b.actions), [], "each machine runs something");
}

#[test]
fn other_life_ends_runs() {
    let mut b = Bench::new(1);
    b.list(vec![machine(0, SERVICE, Some(0))]);
    b.at(100);
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = b.sched.take_batch().actions;
    b.report(0, 0, &starts);
    b.at(2000);
    b.sched.handle(Event::Unanswered(worker(0, 0).id, Duration::from_secs(6)));
    // The list was asked for before the life was known: it tells nothing.
    b.sched.handle(Event::Machines(vec![machine(0, SERVICE, Some(9))], Duration::ZERO));
    assert!(b.sched.workers.contains_key(&worker(0, 0).id));
    b.list(vec![machine(0, SERVICE, Some(1))]);
    assert!(!b.sched.workers.contains_key(&worker(0, 0).id), "another life stands on its machine");
}

#[test]
fn lingering_entry_ends_nothing() {
    let mut b = Bench::new(1);
    b.at(100);
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = b.sched.take_batch().actions;
    b.report(0, 0, &starts);
    // An entry of another life on the same machine, written late.
    b.sched.handle(Event::WorkerListed(worker(0, 5)));
    let actions = b.sched.take_batch().actions;
    let again = actions.iter().any(|a| matches!(a, Action::Start { .. }));
    assert!(!again && b.sched.workers.contains_key(&worker(0, 0).id), "{actions:?}");
}

#[test]
fn order_on_record_before() {
    let mut b = Bench::new(1);
    b.list(vec![machine(0, SERVICE, Some(0)), machine(7, SPARE, None)]);
    b.at(150);
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(12, vec![])], 100))));
    b.tick();
    assert_eq!(moves(&b.actions).len(), 1);
    assert_eq!(b.ordered, ["m-7"], "in the batch whose records are stored before the order is sent");
    b.sched.handle(Event::MachineOrdered("m-7".to_string(), MachineReply::Done));
    b.at(300);
    b.tick();
    assert_eq!(b.ordered, [""; 0], "with no time to wait, the mark is dropped");
}

#[test]
fn new_holder_waits_for_ordered() {
    let mut b = Bench::new(1);
    b.sched.limits.machine_handover = Duration::from_secs(3);
    b.sched.restore_mark("m-7".to_string());
    let list = || vec![machine(0, SERVICE, Some(0)), machine(7, SPARE, None), machine(8, SPARE, None)];
    b.list(list());
    b.at(150);
    b.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(30, vec![])], 100))));
    b.tick();
    assert_eq!(moves(&b.actions), [("m-8".to_string(), SERVICE.to_string())], "nobody ordered m-8 lately");
    b.at(2900);
    b.tick();
    assert!(moves(&b.actions).iter().all(|(m, _)| m == "m-8"), "a predecessor may have ordered m-7");
    b.sched.handle(Event::MachineOrdered("m-8".to_string(), MachineReply::Done));
    b.at(3050);
    b.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(30, vec![])], 3000))));
    b.tick();
    assert!(moves(&b.actions).iter().any(|(m, _)| m == "m-7"));
}

#[test]
fn tasks_fill_one_machine() {
    let mut b = Bench::new(3);
    for n in 1..4 {
        b.sched.handle(Event::Submitted(n, Arc::new(job(vec![step(1, vec![])], 100))));
    }
    let starts = b.sched.take_batch().actions;
    let mut used: Vec<String> = starts
        .iter()
        .filter_map(|a| match a {
            Action::Start { worker, .. } => Some(worker.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(used.len(), 3);
    used.dedup();
    assert_eq!(used.len(), 1, "the others stay empty, and can go where they are needed: {used:?}");
}

#[test]
fn moving_machine_not_ordered_down() {
    let mut b = Bench::new(1);
    let mut moving = machine(1, SERVICE, None);
    moving.state = MachineState::Moving;
    b.list(vec![machine(0, SERVICE, Some(0)), moving]);
    b.sched.handle(Event::Wave(wave(&[1], 1), None));
    for t in 1..10 {
        b.at(t * 150);
        b.tick();
    }
    assert_eq!(upkeeps(&b.actions), [""; 0], "it would be turned down every time");
    b.list(vec![machine(0, SERVICE, Some(0)), machine(1, SERVICE, None)]);
    b.at(2000);
    b.tick();
    assert_eq!(upkeeps(&b.actions), ["m-1"]);
}

#[test]
fn filling_tasks_share_machine() {
    let mut b = Bench::new(3);
    for n in 1..4 {
        let mut fills = step(1, vec![]);
        (fills.lasting, fills.fills) = (true, true);
        b.sched.handle(Event::Submitted(n, Arc::new(job(vec![fills], 0))));
    }
    let starts = b.sched.take_batch().actions;
    let mut used: Vec<String> = starts
        .iter()
        .filter_map(|a| match a {
            Action::Start { worker, .. } => Some(worker.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(used.len(), 3);
    used.dedup();
    assert_eq!(used.len(), 1, "each machine with one of them is never empty: {used:?}");
}
