//! Which workers a call to the adviser names, and about which step.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::advice_batch::{Candidate, EligibleRate, choose_batch};
use workswood_core::jobs::{Action, AdviceConfig, Event, JobKey, StepId, StepSpec};
use workswood_test_support::advised_world::{advice, advised, asked};
use workswood_test_support::job_world::{job, step};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A call takes 300 ms and 2 ms a worker.
fn cfg() -> AdviceConfig {
    AdviceConfig { base_call_time: ms(300), time_per_worker: ms(2), ticket_lifetime: ms(3000) }
}

fn candidates(count: usize, fits: u32, good: bool) -> Vec<Candidate> {
    (0..count).map(|n| Candidate { worker: format!("w-{n}").as_str().into(), fits, eligible: good }).collect()
}

fn size(count: usize, fits: u32, need: u32, share: f64) -> usize {
    choose_batch(&candidates(count, fits, false), need, share, &cfg()).len()
}

#[test]
fn as_many_as_pay() {
    // One place at one of five: a 24th worker would save a call one time in 169.
    assert_eq!(size(100, 1, 1, 0.2), 23);
    // At one of two, a 9th would do so one time in 256.
    assert_eq!(size(100, 1, 1, 0.5), 8);
    assert!(size(100, 1, 4, 0.5) > size(100, 1, 1, 0.5));
    assert!(size(100, 4, 4, 0.5) < size(100, 1, 4, 0.5), "places on one worker are worth as much");
    assert_eq!(size(100, 1, 1, 1.0), 1);
    assert_eq!(size(3, 1, 8, 0.5), 3, "all there are");
    assert!(size(500, 1, 400, 0.1) <= 100, "a call names a hundred at most");
}

#[test]
fn dear_workers_are_few() {
    let dear = AdviceConfig { base_call_time: ms(20), time_per_worker: ms(10), ticket_lifetime: ms(3000) };
    assert_eq!(choose_batch(&candidates(100, 1, false), 1, 0.5, &dear).len(), 1);
    let large = choose_batch(&candidates(100, 1, false), 90, 0.5, &dear).len();
    assert_eq!(large, 30, "the first answers come soon");
    let free =
        AdviceConfig { base_call_time: ms(20), time_per_worker: Duration::ZERO, ticket_lifetime: ms(3000) };
    assert_eq!(choose_batch(&candidates(200, 1, false), 90, 0.5, &free).len(), 100);
}

/// Without a call no task of the step is placed, whatever a call costs.
#[test]
fn first_one_is_always_named() {
    for (base, each) in [(5, 5), (0, 5), (0, 0), (1, 40), (5, 500), (0, 86_400_000)] {
        let cfg =
            AdviceConfig { base_call_time: ms(base), time_per_worker: ms(each), ticket_lifetime: ms(3000) };
        for good in [true, false] {
            let named = choose_batch(&candidates(12, 1, good), 4, 0.5, &cfg).len();
            assert_eq!(named, 1, "{base} ms, {each} ms for each worker");
        }
        assert!(choose_batch(&candidates(12, 1, false), 0, 0.5, &cfg).is_empty());
    }
}

#[test]
fn known_good_ones_are_enough() {
    assert_eq!(choose_batch(&candidates(10, 2, true), 4, 0.5, &cfg()).len(), 2);
    assert!(choose_batch(&[], 4, 0.5, &cfg()).is_empty());
    assert!(choose_batch(&candidates(10, 2, true), 0, 0.5, &cfg()).is_empty());
}

#[test]
fn share_is_learned() {
    let mut share = EligibleRate::default();
    assert_eq!(share.value(), 0.5);
    share.observe(100, 10);
    assert!((0.1..0.12).contains(&share.value()));
    (0..10).for_each(|_| share.observe(100, 90));
    assert!(share.value() > 0.8, "what was long ago counts little: {}", share.value());
}

#[test]
fn in_order_of_placement() {
    let mut world = advised(6, cfg());
    // Worker 3 is fuller than the others: the placement would take it first.
    let mut beside = job(vec![step(2, vec![])], 0);
    beside.queue = "plain".to_string();
    world.sched.handle(Event::Submitted(1, Arc::new(beside)));
    let started = world.tick();
    let full = started.iter().find_map(|a| match a {
        Action::Start { worker, .. } => Some(worker.clone()),
        _ => None,
    });
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(1, vec![])], 0))));
    let (step, ids) = asked(&world.tick()).expect("the adviser is asked");
    assert_eq!(step, StepId { job: JobKey::of_number(2), round: 0, step: 0 });
    assert_eq!(Some(&ids[0]), full.as_ref(), "the fullest first");
}

#[test]
fn label_and_room_are_heeded() {
    let mut world = advised(3, cfg());
    let mut huge = step(1, vec![]);
    huge.resources.cpu_millis = 5000;
    let labelled = StepSpec { label: Some("gold".to_string()), ..step(1, vec![]) };
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![huge], 0))));
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![labelled], 0))));
    assert_eq!(asked(&world.tick()), None, "nobody could run them");
}

#[test]
fn waiting_before_ahead() {
    let mut world = advised(3, cfg());
    let chain = job(vec![step(1, vec![]), step(1, vec![0])], 0);
    world.sched.handle(Event::Submitted(1, Arc::new(chain.clone())));
    let (first, ids) = asked(&world.tick()).expect("the first step is asked about");
    assert_eq!(first.step, 0);
    world.sched.handle(advice(first, &ids, &ids, ms(3000)));
    world.at(400);
    let actions = world.tick();
    assert!(actions.iter().any(|a| matches!(a, Action::Start { .. })));
    // Its next step opens soon; but another job waits.
    world.sched.handle(Event::Submitted(2, Arc::new(chain)));
    let step = |n: Option<(StepId, _)>| n.map(|(s, _)| (s.job.number, s.step));
    let late = step(asked(&actions));
    assert_eq!(late, Some((1, 1)), "nothing waited when the first one began");
    world.sched.handle(advice(StepId { job: JobKey::of_number(1), round: 0, step: 1 }, &[], &[], ms(3000)));
    assert_eq!(step(asked(&world.tick())), Some((2, 0)));
}
