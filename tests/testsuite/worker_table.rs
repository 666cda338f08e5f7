//! What is kept of all workers agrees with what a walk over them finds.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::worker::{Worker, WorkerInfo};
use workswood_core::jobs::worker_id::WorkerId;
use workswood_core::jobs::worker_table::WorkerTable;
use workswood_core::jobs::{JobKey, TaskId};

const SERVICES: [&str; 2] = ["desk", "till"];
const HOSTS: [&str; 3] = ["m-0", "m-1", "m-2"];

fn info(u: &mut Unstructured<'_>, id: &WorkerId) -> Result<WorkerInfo> {
    Ok(WorkerInfo {
        id: id.clone(),
        service: u.choose(&SERVICES)?.to_string(),
        address: "10.0.0.1:80".to_string(),
        data_centre: "north".to_string(),
        host: u.choose(&HOSTS)?.to_string(),
        capacity: Resources { cpu_millis: u.int_in_range(2..=5)? * 1000, mem_mb: 800, gpus: 0 },
        labels: Vec::new(),
        draining: u.ratio(1, 4)?,
    })
}

fn task(u: &mut Unstructured<'_>) -> Result<TaskId> {
    Ok(TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: u.int_in_range(0..=3)? })
}

/// Changes one worker, or forgets it.
fn change(u: &mut Unstructured<'_>, all: &mut WorkerTable) -> Result<()> {
    let id = WorkerId::from(format!("w-{}", u.int_in_range(0..=4)?));
    let info = info(u, &id)?;
    let run = (task(u)?, 1);
    let room = Resources { cpu_millis: u.int_in_range(0..=2)? * 500, mem_mb: 100, gpus: 0 };
    let what = u.int_in_range(0..=9)?;
    if what == 0 {
        all.remove(&id);
        return Ok(());
    }
    let mut w = all.get_or_insert_with(&id, || Worker::new(Duration::ZERO, Duration::ZERO));
    match what {
        1 | 2 => w.info = Some(info.into()),
        3 => w.listed = u.arbitrary()?,
        4 => w.reachable = u.arbitrary()?,
        5 => w.runs_known = u.arbitrary()?,
        6 => w.cordoned = u.arbitrary()?,
        7 => w.faults = u.int_in_range(0..=2)?,
        8 => w.add_run(run.0, run.1, room),
        _ => w.remove_run(run.0, run.1),
    }
    Ok(())
}

fn walk<'a>(all: &'a WorkerTable, service: &str) -> impl Iterator<Item = (&'a WorkerId, &'a Worker)> {
    let of = |w: &Worker| w.info.as_ref().is_some_and(|i| i.service == service);
    let mut found: Vec<_> = all.iter().filter(|(_, w)| of(w)).collect();
    found.sort_by_key(|(id, w)| (w.faults, w.free_resources().cpu_millis, *id));
    found.into_iter()
}

fn check(all: &WorkerTable) {
    for service in SERVICES {
        let takers =
            walk(all, service).filter(|(_, w)| w.accepts_work() && w.free_resources().cpu_millis >= 1500);
        let takers: Vec<&WorkerId> = takers.map(|(id, _)| id).collect();
        assert_eq!(all.available(service, 1500).map(|(id, _)| id).collect::<Vec<_>>(), takers);
        let used: u64 = walk(all, service).map(|(_, w)| w.used_resources.cpu_millis).sum();
        assert_eq!(all.resources_in_use(service).cpu_millis, used);
        let listed = walk(all, service).filter(|(_, w)| w.listed);
        let largest = listed.filter_map(|(_, w)| w.info.as_ref()).map(|i| i.capacity.cpu_millis).max();
        assert_eq!(all.largest_capacity(service).cpu_millis, largest.unwrap_or(0));
    }
    for host in HOSTS {
        let here = all.iter().filter(|(_, w)| w.info.as_ref().is_some_and(|i| i.host == host));
        let mut here: Vec<&WorkerId> = here.map(|(id, _)| id).collect();
        let mut kept: Vec<&WorkerId> = all.on_host(host).iter().collect();
        here.sort();
        kept.sort();
        assert_eq!(kept, here);
    }
    let silent = all.iter().filter(|(_, w)| !w.reachable).count();
    assert_eq!(all.unreachable().count(), silent);
    let leaving = all.iter().filter(|(_, w)| w.info.as_ref().is_some_and(|i| i.draining)).count();
    assert_eq!(all.draining().count(), leaving);
}

#[test]
fn random_changes() {
    for i in 0..60 {
        arbtest(|u| {
            let mut all = WorkerTable::default();
            while !u.is_empty() {
                change(u, &mut all)?;
                check(&all);
            }
            Ok(())
        })
        .seed((1_200 + i) << 32 | 8_192);
    }
}
