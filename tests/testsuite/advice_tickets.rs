//! Queues whose steps need tickets: kept while they hold, asked for again, and
//! no burden to other queues.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, AdviceConfig, AdviceReply, EndKind, Event, JobKey, Listing, ReportedEnd, StartReply, StepId,
    TaskId, WorkerUpdate,
};
use workswood_test_support::advised_world::{
    PLAIN, advice, advised, advised_config, asked, calls, failed, started,
};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

const STEP: StepId = StepId { job: JobKey::of_number(1), round: 0, step: 0 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cfg() -> AdviceConfig {
    AdviceConfig { base_call_time: ms(100), time_per_worker: ms(5), ticket_lifetime: ms(3000) }
}

/// A world whose job 1 of this many tasks waits, and the workers asked about.
fn waiting(workers: usize, tasks: u32) -> (HostWorld, Vec<WorkerId>) {
    let mut world = advised(workers, cfg());
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(tasks, vec![])], 0))));
    let actions = world.tick();
    assert!(started(&actions).is_empty(), "nothing is started without a ticket");
    let (step, ids) = asked(&actions).expect("the adviser is asked");
    assert_eq!(step, STEP);
    (world, ids)
}

/// What ends at a worker: a task of job 1 fails there.
fn fails(world: &mut HostWorld, worker: &WorkerId, attempt: u32) {
    let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    let end = ReportedEnd {
        sequence_number: u64::from(attempt),
        task,
        attempt,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    world.answers(worker, Listing { ended: vec![end], ..Listing::default() });
}

#[test]
fn starts_carry_tickets() {
    let (mut world, ids) = waiting(3, 1);
    assert_eq!(asked(&world.tick()), None, "one call at a time");
    let good = &ids[1..2];
    world.at(120);
    world.sched.handle(advice(STEP, &ids, good, ms(3000)));
    let starts = started(&world.tick());
    assert_eq!(starts, [(good[0].clone(), Some(format!("for-{}", good[0]).as_str().into()))]);
}

#[test]
fn refused_workers_are_remembered() {
    let (mut world, ids) = waiting(2, 1);
    assert_eq!(ids.len(), 2);
    world.at(120);
    world.sched.handle(advice(STEP, &ids, &[], ms(3000)));
    for at in [200, 5_000, 60_000] {
        world.at(at);
        let actions = world.tick();
        assert!(asked(&actions).is_none() && started(&actions).is_empty(), "at {at}");
    }
    // A new worker is asked about, alone.
    world.sched.handle(Event::WorkerListed(worker(2, 0)));
    world.report(2, 0, &[]);
    assert_eq!(asked(&world.tick()), Some((STEP, vec![worker(2, 0).id])));
}

#[test]
fn ticket_ends() {
    let (mut world, ids) = waiting(1, 5);
    world.at(110);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 4, "the worker is full");
    // Made at 105 ms at the earliest, good for 3 s, used until 250 ms before its end.
    let free = |world: &mut HostWorld, at: u64| {
        world.at(at);
        fails(world, &ids[0], 1);
        world.tick()
    };
    let mut late = world;
    let actions = free(&mut late, 2860);
    assert!(started(&actions).is_empty(), "it would end on the way");
    assert_eq!(asked(&actions), Some((STEP, ids.clone())), "it is asked for again");
    late.at(2990);
    late.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&late.tick()).len(), 1);
}

#[test]
fn renewed_while_task_waits() {
    let (mut world, ids) = waiting(1, 5);
    world.at(110);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    world.tick();
    world.at(1000);
    assert_eq!(asked(&world.tick()), None, "the ticket holds");
    world.at(2750);
    assert_eq!(asked(&world.tick()), Some((STEP, ids)), "before the old one ends");
}

#[test]
fn life_has_its_own_tickets() {
    let (mut world, ids) = waiting(1, 5);
    world.at(110);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 4);
    world.sched.handle(Event::OtherIncarnationAnswered(ids[0].clone(), Duration::ZERO));
    world.sched.handle(Event::WorkerListed(worker(0, 1)));
    world.report(0, 1, &[]);
    let actions = world.tick();
    assert!(started(&actions).is_empty());
    assert_eq!(asked(&actions), Some((STEP, vec![worker(0, 1).id])));
}

#[test]
fn answer_for_life_that_is_over() {
    let (mut world, ids) = waiting(2, 1);
    world.sched.handle(Event::OtherIncarnationAnswered(ids[0].clone(), Duration::ZERO));
    world.at(120);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick())[0].0, ids[1]);
}

#[test]
fn turned_down_ticket_is_asked_for_again() {
    let (mut world, ids) = waiting(1, 1);
    world.at(110);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 1);
    let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    world.tells(&ids[0], WorkerUpdate::Started(task, 1, StartReply::Ticket));
    let actions = world.tick();
    assert!(started(&actions).is_empty() && asked(&actions).is_none(), "not in a hurry");
    world.at(620);
    assert_eq!(asked(&world.tick()), Some((STEP, ids.clone())));
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 1, "the worker is not shunned");
}

#[test]
fn failed_calls_are_spaced() {
    for reply in [AdviceReply::Busy, AdviceReply::NoAnswer, AdviceReply::NotSent, AdviceReply::Refused] {
        let (mut world, mut ids) = waiting(2, 1);
        let mut sent = 0;
        let mut gaps = Vec::new();
        world.sched.handle(failed(0, STEP, &ids, reply.clone()));
        for at in (0..20_000).step_by(10) {
            world.at(at);
            if let Some((step, again)) = asked(&world.tick()) {
                assert_eq!(step, STEP);
                gaps.push(at - sent);
                (sent, ids) = (at, again);
                world.sched.handle(failed(0, STEP, &ids, reply.clone()));
            }
        }
        assert!(gaps[0] <= 50 && gaps[1] <= 110, "{reply:?}: {gaps:?}");
        assert!(gaps.iter().all(|g| *g <= 1010), "{reply:?}: {gaps:?}");
        assert!((20..28).contains(&gaps.len()), "{reply:?}: {gaps:?}");
        // One answer, and all is as before.
        world.at(sent + 1010);
        let (_, ids) = asked(&world.tick()).expect("it is asked again");
        world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
        assert_eq!(started(&world.tick()).len(), 1);
    }
}

#[test]
fn slow_adviser_gets_time() {
    let (mut world, ids) = waiting(2, 1);
    let patience = |world: &HostWorld| match world.actions.last() {
        Some(Action::Advise { timeout: patience, .. }) => *patience,
        other => panic!("no call but {other:?}"),
    };
    let mut last = patience(&world);
    assert_eq!(last, ms(100 + 5 * ids.len() as u64 + 300), "the call itself, and the way");
    let mut at = 0;
    for _ in 0..8 {
        world.sched.handle(failed(0, STEP, &ids, AdviceReply::NoAnswer));
        at += 1100;
        world.at(at);
        world.tick();
        assert!(patience(&world) >= last && patience(&world) <= ms(6000));
        last = patience(&world);
    }
    assert!(last >= ms(5000));
}

#[test]
fn late_answers_are_learned() {
    let (mut world, ids) = waiting(1, 9);
    // The answer comes 2 s after it was due; its ticket is used for half its time.
    world.at(2105);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 4, "such a ticket is used all the same");
    world.at(3340);
    fails(&mut world, &ids[0], 1);
    assert_eq!(started(&world.tick()).len(), 1);
    world.at(3360);
    fails(&mut world, &ids[0], 2);
    let actions = world.tick();
    assert!(started(&actions).is_empty(), "it may have ended");
    let wait = world.actions.iter().rev().find_map(|a| match a {
        Action::Advise { timeout: patience, .. } => Some(*patience),
        _ => None,
    });
    assert_eq!(wait, Some(ms(105 + 300 + 2000)), "the next answer may be as late");
}

#[test]
fn lost_call_is_still_worked_on() {
    let (mut world, ids) = waiting(2, 1);
    world.at(60);
    world.sched.handle(failed(0, STEP, &ids, AdviceReply::NoAnswer));
    world.at(110);
    let actions = world.tick();
    let Some(Action::Advise { timeout: patience, .. }) =
        actions.iter().find(|a| matches!(a, Action::Advise { .. }))
    else {
        panic!("it is asked again");
    };
    // The first call ends at 110 ms; this one takes as long, and the way is given twice the time.
    assert_eq!(*patience, ms(110 + 600));
}

#[test]
fn other_queues_go_on() {
    let mut world = advised(4, cfg());
    // Far more steps than a pass of the placement gives up after.
    for n in 1..40 {
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![step(1, vec![])], 0))));
    }
    let (step_id, ids) = asked(&world.tick()).expect("it is asked");
    world.sched.handle(failed(0, step_id, &ids, AdviceReply::NoAnswer));
    let mut plain = job(vec![step(3, vec![])], 10);
    plain.queue = PLAIN.to_string();
    world.sched.handle(Event::Submitted(100, Arc::new(plain)));
    let starts = started(&world.tick());
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, ticket)| ticket.is_none()));
}

#[test]
fn hard_step_does_not_hold_others_up() {
    let mut world = advised(4, cfg());
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 0))));
    let (first, ids) = asked(&world.tick()).expect("it is asked");
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(1, vec![])], 10))));
    world.sched.handle(failed(0, first, &ids, AdviceReply::Refused));
    world.at(60);
    assert_eq!(asked(&world.tick()).map(|(s, _)| s.job.number), Some(2));
}

#[test]
fn entries_call_side_by_side() {
    let mut world = advised(4, cfg());
    world.sched.set_advice_entries(3);
    for n in 1..6 {
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![step(1, vec![])], n))));
    }
    let first = calls(&world.tick());
    assert_eq!(
        first.iter().map(|(lane, s, _)| (*lane, s.job.number)).collect::<Vec<_>>(),
        [(0, 1), (1, 2), (2, 3)]
    );
    // The second entry fails: while the others are free, it is not asked again.
    let (_, step_id, ids) = &first[1];
    world.sched.handle(failed(1, *step_id, ids, AdviceReply::NotSent));
    world.at(1000);
    let (_, step_id, ids) = &first[0];
    world.sched.handle(advice(*step_id, ids, ids, ms(3000)));
    let lanes: Vec<usize> = calls(&world.tick()).iter().map(|c| c.0).collect();
    assert_eq!(lanes, [0, 1]);
    // An entry that is gone frees its lane when its call is over.
    world.sched.set_advice_entries(1);
    let (_, step_id, ids) = &first[2];
    world.sched.handle(failed(2, *step_id, ids, AdviceReply::NoAnswer));
    world.sched.set_advice_entries(1);
    assert!(calls(&world.tick()).is_empty());
}

#[test]
fn entry_that_is_gone_delays_little() {
    let mut world = advised(4, cfg());
    world.sched.set_advice_entries(2);
    for n in 1..200 {
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![step(1, vec![])], n))));
    }
    let mut at = 0;
    let (mut lost, mut waited) = (0, ms(0));
    // The first entry is always answered, with nobody good; the second one never.
    for _ in 0..200 {
        at += 150;
        world.at(at);
        let actions = world.tick();
        for (lane, step_id, ids) in calls(&actions) {
            if lane == 0 {
                world.sched.handle(advice(step_id, &ids, &[], ms(3000)));
            } else {
                let patience = actions.iter().find_map(|a| match a {
                    Action::Advise { channel: 1, timeout: patience, .. } => Some(*patience),
                    _ => None,
                });
                waited = waited.max(patience.unwrap_or_default());
                world.sched.handle(failed(1, step_id, &ids, AdviceReply::NoAnswer));
                lost += 1;
            }
        }
    }
    assert!((3..14).contains(&lost), "{lost} calls lost in 30 s");
    assert!(waited <= ms(1000), "the adviser itself is well: {waited:?}");
}

#[test]
fn failed_task_goes_elsewhere_if_it_may() {
    for others in [true, false] {
        let (mut world, ids) = waiting(2, 1);
        world.at(110);
        let good = if others { ids.clone() } else { ids[..1].to_vec() };
        world.sched.handle(advice(STEP, &ids, &good, ms(3000)));
        let starts = started(&world.tick());
        assert_eq!(starts.len(), 1);
        let first = starts[0].0.clone();
        world.at(500);
        fails(&mut world, &first, 1);
        let again = started(&world.tick());
        assert_eq!(again.len(), 1, "with {} good", good.len());
        assert_eq!(again[0].0 == first, !others, "the only one that may run it is taken again");
    }
}

#[test]
fn gang_needs_tickets_for_all() {
    let mut world = advised(3, cfg());
    let mut gang = step(3, vec![]);
    (gang.gang, gang.max_per_worker) = (true, 1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![gang], 0))));
    let (_, ids) = asked(&world.tick()).expect("it is asked");
    assert_eq!(ids.len(), 3);
    world.at(120);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    assert_eq!(started(&world.tick()).len(), 3);
}

#[test]
fn next_holder_asks_again() {
    let (mut world, ids) = waiting(1, 5);
    world.at(110);
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    world.tick();
    let mut next = advised(1, cfg());
    next.at(200);
    let spec = world.sched.jobs[&JobKey::of_number(1)].spec.clone();
    next.sched.restore_job(
        JobKey::of_number(1),
        Some(spec),
        Some(world.sched.jobs[&JobKey::of_number(1)].record()),
    );
    // What the predecessor started is not listed by the worker, and waits again.
    next.report(0, 0, &[]);
    let actions = next.tick();
    assert!(started(&actions).is_empty());
    assert_eq!(asked(&actions), Some((STEP, ids)));
}

#[test]
fn queue_may_lose_and_get_advice() {
    let (mut world, _) = waiting(2, 1);
    let mut without = advised_config(cfg(), 3);
    without.queues.values_mut().for_each(|q| q.advice = None);
    world.sched.handle(Event::ConfigChanged(Arc::new(without)));
    assert_eq!(started(&world.tick()).len(), 1, "any worker may run it now");
    world.sched.handle(Event::ConfigChanged(Arc::new(advised_config(cfg(), 4))));
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(1, vec![])], 0))));
    assert!(started(&world.tick()).is_empty());
}

#[test]
fn ended_job_is_asked_about_no_more() {
    let (mut world, ids) = waiting(2, 1);
    world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    world.sched.handle(advice(STEP, &ids, &ids, ms(3000)));
    let actions = world.tick();
    assert!(asked(&actions).is_none() && started(&actions).is_empty());
    assert!(world.sched.workers.values().all(|w| w.advice.is_empty()), "nothing is left of it");
}
