//! Builders for small fleet files.

use std::time::Duration;

use workswood_core::fleet::{
    Budget, FleetFile, Host, Job, Maintenance, Objective, Pool, PriorityClass, Route, Service, Team,
};

/// Creates hosts `h0`, `h1`, … in racks of two; racks alternate between two data centres.
pub fn hosts(n: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("h{i}"),
        data_centre: format!("dc{}", (i / 2) % 2),
        rack: format!("r{}", i / 2),
        cpus: 32,
        memory_gib: 128,
        accelerators: 0,
    };
    (0..n).map(host).collect()
}

/// Creates a pool without requirements on its hosts.
pub fn pool(name: &str, size: u32) -> Pool {
    Pool { name: name.to_string(), size, min_cpus: 0, min_memory_gib: 0, min_accelerators: 0 }
}

/// Creates a service with an urgent, a long and a deferred route, and two routes that must not be
/// repeated.
pub fn service(name: &str, pool: &str, instances: u32, min_available: u32) -> Service {
    let route = |path: &str, class, repeatable| Route {
        path: format!("/{name}/{path}"),
        class,
        repeatable,
        deadline: Duration::from_secs(10),
    };
    Service {
        name: name.to_string(),
        pool: pool.to_string(),
        instances,
        cpus: 4,
        memory_gib: 8,
        slots: 8,
        window: 0,
        connections: 64,
        budget: Budget { min_available, max_unavailable_per_data_centre: None, reserve_rack: false },
        routes: vec![
            route("get", PriorityClass::Urgent, true),
            route("once", PriorityClass::Normal, false),
            route("long", PriorityClass::Long, true),
            route("later", PriorityClass::Later, true),
            route("later-once", PriorityClass::Later, false),
        ],
    }
}

/// Creates a maintenance of a pool that may run at any time.
pub fn maintenance(name: &str, pool: &str) -> Maintenance {
    Maintenance {
        name: name.to_string(),
        pool: pool.to_string(),
        duration: Duration::from_secs(60),
        start: 0,
        deadline: 0,
        blackout_windows: Vec::new(),
        max_parallel: 0,
        paused: false,
    }
}

/// Creates a job.
pub fn job(name: &str, pool: &str, class: PriorityClass, repeatable: bool) -> Job {
    Job {
        name: name.to_string(),
        team: "team".to_string(),
        pool: pool.to_string(),
        cpus: 8,
        memory_gib: 8,
        class,
        repeatable,
    }
}

/// Creates a team with a large quota.
pub fn team() -> Team {
    Team { name: "team".to_string(), quota_cpus: 10_000 }
}

/// Creates a file named `small` with one pool of `n` hosts and one service.
pub fn small(n: usize, instances: u32, min_available: u32) -> FleetFile {
    FleetFile {
        file: "small".to_string(),
        objective: Objective::default(),
        hosts: hosts(n),
        pools: vec![pool("main", n as u32)],
        services: vec![service("shop", "main", instances, min_available)],
        ..FleetFile::default()
    }
}
