//! Figures of a queue and its service from the whole range that is read: a job with room begins soon, or the
//! configuration is refused as a whole.

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use serde_json::{Value, json};
use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::caller::config;
use workswood_core::jobs::{Action, Event, JobSpec, SchedConfig, ServiceConfig};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, OperatorRecord};
use workswood_test_support::host_world::{HostWorld, SPARE, host, moves};
use workswood_test_support::job_world::{QUEUE, SERVICE, job, step};

/// Drawn cases.
const RUNS: u64 = 300;
const NOWHERE: &str = "127.0.0.1:1";
const WORKERS: usize = 12;
/// A job with room begins within this time, in milliseconds.
const WITHIN_MS: u64 = 3000;
/// Time between two events of the scheduler, in milliseconds.
const TICK_MS: u64 = 10;
/// Figures at the edges of what is read, as JSON.
pub(super) const FIGURES: [&str; 18] = [
    "0",
    "-1",
    "-1e300",
    "0.0001",
    "0.7",
    "1",
    "2",
    "5",
    "20",
    "40",
    "500",
    "3000",
    "86400000",
    "4294967295",
    "4294967296",
    "1e19",
    "1e300",
    "1e308",
];
/// Figures of a queue that are numbers.
const OF_QUEUE: [&str; 6] =
    ["priority", "max_attempts", "extension", "target_latency_ms", "timeout_ms", "max_connections"];

fn draw(u: &mut Unstructured<'_>) -> Result<Option<Value>> {
    if u.ratio(1u8, 4u8)? {
        return Ok(None);
    }
    Ok(serde_json::from_str(u.choose(&FIGURES)?).ok())
}

/// The text of a manifest whose queue and service have drawn figures.
fn manifest(u: &mut Unstructured<'_>) -> Result<String> {
    let mut cfg: Value = serde_json::from_str(&config(SERVICE, 2)).expect("a manifest");
    let route = cfg["routes"][0].as_object_mut().expect("a route");
    route.insert("name".to_string(), json!(QUEUE));
    for name in OF_QUEUE {
        route.remove(name);
        if let Some(value) = draw(u)? {
            route.insert(name.to_string(), value);
        }
    }
    cfg["backends"][0]["preconditions"] = json!(u.arbitrary::<bool>()?);
    Ok(cfg.to_string())
}

/// Reads a manifest as an entry does; `None` if it is refused.
pub(super) fn read(text: &str) -> Option<SchedConfig> {
    let rec = KeyedRecord { key: "config".to_string(), value: Some(text.to_string().into()) };
    let addresses = Addresses { store: NOWHERE.to_string(), machines: NOWHERE.to_string(), adviser: None };
    match PlatformClient::new(addresses).parse_operator_record(&rec) {
        Ok(Some(OperatorRecord::Config(c))) => Some(c),
        _ => None,
    }
}

/// The configuration whose queue has these figures, if it is read.
fn with_figures(figures: &[(&str, &str)]) -> Option<SchedConfig> {
    let mut cfg: Value = serde_json::from_str(&config(SERVICE, 2)).expect("a manifest");
    cfg["routes"][0]["name"] = json!(QUEUE);
    for (name, figure) in figures {
        cfg["routes"][0][*name] = serde_json::from_str(figure).expect("a figure");
    }
    read(&cfg.to_string())
}

fn begins(cfg: &SchedConfig) -> bool {
    let queue = &cfg.queues[QUEUE];
    let spec = JobSpec {
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        ..job(vec![step(4, vec![]), step(2, vec![0])], 0)
    };
    let mut world = HostWorld::new(WORKERS);
    world.sched.handle(Event::ConfigChanged(Arc::new(cfg.clone())));
    world.sched.handle(Event::Submitted(1, Arc::new(spec)));
    (1..WITHIN_MS / TICK_MS).any(|n| {
        world.at(n * TICK_MS);
        world.tick().iter().any(|a| matches!(a, Action::Start { .. }))
    })
}

/// Whether a pool without hosts gets a spare one for a job that waits.
fn gets_host(cfg: &SchedConfig) -> bool {
    let mut cfg = cfg.clone();
    let spare = ServiceConfig { name: SPARE.to_string(), spare: true, enforces_capacity: true };
    cfg.services.insert(SPARE.to_string(), spare);
    let mut world = HostWorld::new(0);
    world.sched.handle(Event::ConfigChanged(Arc::new(cfg)));
    world.list((0..WORKERS).map(|n| host(n, SPARE, None)).collect());
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(4, vec![])], 0))));
    for n in 1..WITHIN_MS / TICK_MS {
        world.at(n * TICK_MS);
        world.tick();
    }
    moves(&world.actions).iter().any(|(_, to)| to == SERVICE)
}

/// LOST: a job whose queue allows it no time waits for good while hosts are spare.
#[test]
fn spare_host_whatever_the_figures() {
    for extension in FIGURES {
        for target in FIGURES {
            let figures = [("extension", extension), ("target_latency_ms", target)];
            if let Some(cfg) = with_figures(&figures) {
                assert!(gets_host(&cfg), "no host: extension {extension} target {target}");
            }
        }
    }
}

#[test]
fn job_begins_whatever_the_figures() {
    for i in 0..RUNS {
        arbtest(|u| {
            let text = manifest(u)?;
            if let Some(cfg) = read(&text) {
                assert!(begins(&cfg), "never begins: {text}");
            }
            Ok(())
        })
        .seed((2_500 + i) << 32 | 4_096);
    }
}

/// Each figure at each edge, the others as they are.
#[test]
fn each_figure_alone() {
    for name in OF_QUEUE {
        for figure in FIGURES {
            if let Some(cfg) = with_figures(&[(name, figure)]) {
                assert!(begins(&cfg), "never begins: {name} {figure}");
            }
        }
    }
}
