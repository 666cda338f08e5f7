//! Figures of a queue's advice from the whole range that is read: a job with room begins soon, or
//! is refused at once.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use workswood_adapter_standin::caller::config;
use workswood_core::jobs::config::{MAX_ADVICE_TIME, MIN_TICKET_LIFETIME};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{AdviceConfig, Event};
use workswood_test_support::advised_world::{advice, advised, asked, started};
use workswood_test_support::host_world::worker;
use workswood_test_support::job_world::{job, step};

use super::queue_figures::{self, FIGURES};

/// Drawn cases.
const RUNS: u64 = 300;
const WORKERS: usize = 12;
/// A job with room begins within this time, beside the time that the adviser itself takes.
const WITHIN: Duration = Duration::from_secs(3);
/// Time between two events of the scheduler, in milliseconds.
const TICK_MS: u64 = 10;

/// Reads the advice of a queue from these fields; a field may be left out.
fn read(fields: &[(&str, Option<&str>)]) -> AdviceConfig {
    let written: Vec<String> =
        fields.iter().filter_map(|(name, value)| Some(format!("\"{name}\":{}", (*value)?))).collect();
    let mut cfg: serde_json::Value = serde_json::from_str(&config("desk", 1)).expect("a manifest");
    let body = format!("{{{}}}", written.join(","));
    cfg["routes"][0]["advice"] = serde_json::from_str(&body).expect("figures");
    queue_figures::read(&cfg.to_string()).expect("a configuration").queues["q"].advice.expect("advice")
}

fn draw(u: &mut Unstructured<'_>) -> Result<Option<&'static str>> {
    let left_out = u.ratio(1u8, 8u8)?;
    Ok(if left_out { None } else { Some(*u.choose(&FIGURES)?) })
}

/// How long a job waits until its first start beside the calls that are under way, on idle workers of which every
/// second one may run it; `None` if it waits longer than it may.
fn wait_for_start(cfg: AdviceConfig) -> Option<Duration> {
    let mut world = advised(WORKERS, cfg);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(4, vec![])], 0))));
    let mut at_ms = 0;
    let mut waited = Duration::ZERO;
    while waited <= WITHIN {
        let actions = world.tick();
        if !started(&actions).is_empty() {
            return Some(waited);
        }
        match asked(&actions) {
            Some((step, ids)) => {
                let work = cfg.base_call_time + cfg.time_per_worker * ids.len() as u32;
                at_ms += work.as_millis() as u64;
                world.at(at_ms);
                (0..WORKERS).for_each(|n| world.report(n, 0, &[]));
                let suitable: Vec<WorkerId> = (1..WORKERS).step_by(2).map(|n| worker(n, 0).id).collect();
                let may_run = |id: &&WorkerId| suitable.contains(id);
                let good: Vec<WorkerId> = ids.iter().filter(may_run).cloned().collect();
                world.sched.handle(advice(step, &ids, &good, cfg.ticket_lifetime));
            }
            None => {
                at_ms += TICK_MS;
                waited += Duration::from_millis(TICK_MS);
                world.at(at_ms);
            }
        }
    }
    None
}

#[test]
fn job_begins_or_is_refused() {
    for i in 0..RUNS {
        arbtest(|u| {
            let fields = [("decide_ms", draw(u)?), ("each_ms", draw(u)?), ("valid_ms", draw(u)?)];
            let cfg = read(&fields);
            if cfg.is_usable() {
                assert!(wait_for_start(cfg).is_some(), "{fields:?}: accepted, and never begins");
            }
            Ok(())
        })
        .seed((2_100 + i) << 32 | 4_096);
    }
}

/// What is refused can't be served; nothing else is refused.
#[test]
fn what_is_refused() {
    let usable = |decide, each, valid| {
        read(&[("decide_ms", decide), ("each_ms", each), ("valid_ms", valid)]).is_usable()
    };
    let just = MIN_TICKET_LIFETIME.as_millis().to_string();
    let longest = MAX_ADVICE_TIME.as_millis().to_string();
    for decide in [None, Some("0"), Some("-5"), Some("0.5"), Some("3000"), Some(longest.as_str())] {
        assert!(usable(decide, None, Some(&just)));
        assert!(usable(decide, None, Some("1e300")));
        for valid in [None, Some("0"), Some("-3000"), Some("9.9")] {
            assert!(!usable(decide, Some("5"), valid), "{valid:?}");
        }
    }
    assert!(!usable(Some("1e300"), None, Some("3000")));
    assert!(!usable(None, Some("1e300"), Some("3000")));
}

/// Tickets that end at once though the configuration says otherwise: the adviser is asked now and then only.
#[test]
fn answers_with_short_tickets() {
    let cfg = AdviceConfig {
        base_call_time: Duration::from_millis(5),
        time_per_worker: Duration::from_millis(1),
        ticket_lifetime: Duration::from_secs(3),
    };
    let mut world = advised(WORKERS, cfg);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(4, vec![])], 0))));
    let mut calls = 0;
    for n in 1..1000 {
        let actions = world.tick();
        assert!(started(&actions).is_empty());
        world.at(n * TICK_MS);
        if let Some((step, ids)) = asked(&actions) {
            calls += 1;
            world.sched.handle(advice(step, &ids, &ids, Duration::ZERO));
        }
    }
    assert!((5..25).contains(&calls), "{calls} calls in 10 s");
}
