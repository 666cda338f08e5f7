//! Workers that start again under their names: nothing of the earlier life is believed.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::relay::codec;
use workswood::ops::jobs::relay::messages::{WorkerEvent, WorkerOrder};
use workswood::ops::jobs::topic_reader::TopicUpdate;
use workswood::ops::jobs::worker_list::WorkerList;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{
    Action, EndCoverage, EndKind, Event, JobKey, Listing, Report, ReportedEnd, TaskId, WorkerAddress,
    WorkerInfo, WorkerUpdate,
};
use workswood_platform::jobs::KeyedRecord;
use workswood_test_support::host_world::{HostWorld, host, listed, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// A life of the only worker, by when it started.
fn life(started: u64) -> WorkerInfo {
    WorkerInfo { id: WorkerId::new("w", Some(started)), ..worker(0, 0) }
}

fn nothing() -> Listing {
    Listing::default()
}

/// Four cores; one task is placed on the life that started at 10.
fn one_task() -> (HostWorld, Vec<Action>) {
    let mut world = HostWorld::new(0);
    world.sched.handle(Event::WorkerListed(life(10)));
    world.answers(&life(10).id, nothing());
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 0))));
    let starts = world.sched.take_batch().actions;
    assert_eq!(starts.len(), 1, "{starts:?}");
    (world, starts)
}

fn starts(actions: &[Action]) -> Vec<(&WorkerId, u32)> {
    let mut starts = Vec::new();
    for a in actions {
        if let Action::Start { worker, attempt, .. } = a {
            starts.push((worker, *attempt));
        }
    }
    starts
}

#[test]
fn names_and_lives() {
    let of = |name, started| WorkerId::new(name, started);
    for (name, started) in [("w", None), ("w", Some(7)), ("a@b", None), ("a@5", None), ("a@5", Some(6))] {
        let read = WorkerId::from(of(name, started).as_str());
        assert_eq!((read.name(), read.started_at()), (name, started));
    }
    assert!(of("w", Some(2)).supersedes(&of("w", Some(1))) && of("w", Some(1)).supersedes(&of("w", None)));
    assert!(
        !of("w", Some(1)).supersedes(&of("w", Some(1))) && !of("w", Some(2)).supersedes(&of("v", Some(1)))
    );
}

/// What the earlier life ran is started again, but not before the later one has answered: until then
/// it may run there.
#[test]
fn run_is_over_with_the_answer() {
    let (mut world, begun) = one_task();
    world.answers(
        &life(10).id,
        Listing { running: begun.iter().filter_map(listed).collect(), ..Listing::default() },
    );
    world.at(100);
    world.sched.handle(Event::WorkerListed(life(20)));
    assert_eq!(starts(&world.tick()), [], "it may run there");
    world.answers(&life(20).id, nothing());
    let again = world.tick();
    assert_eq!(starts(&again), [(&life(20).id, 2)]);
    assert!(!world.sched.workers.contains_key(&life(10).id));
}

/// A start that was meant for the earlier life was taken by the later one: it goes on there.
#[test]
fn start_taken_by_the_later_life() {
    let (mut world, begun) = one_task();
    world.at(100);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    assert_eq!(starts(&world.tick()), []);
    world.answers(
        &life(20).id,
        Listing { running: begun.iter().filter_map(listed).collect(), ..Listing::default() },
    );
    let told = world.tick();
    assert!(!told.iter().any(|a| matches!(a, Action::Start { .. } | Action::Stop(..))), "{told:?}");
    let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    let done =
        ReportedEnd { sequence_number: 1, task, attempt: 1, kind: EndKind::Done, checkpoint: String::new() };
    world.answers(&life(20).id, Listing { ended: vec![done], ..Listing::default() });
    world.tick();
    assert!(
        world.sched.jobs.is_archived(&JobKey::of_number(1))
            || world.sched.jobs.get(&JobKey::of_number(1)).is_some_and(|j| !j.is_open())
    );
}

/// Likewise, and the first answer lacks ends: the run is not stopped, and the earlier life is over only once
/// all ends are known.
#[test]
fn start_taken_and_ends_lacking() {
    let (mut world, begun) = one_task();
    world.at(100);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    world.tick();
    let running: Vec<_> = begun.iter().filter_map(listed).collect();
    let listing = Listing { running, ..Listing::default() };
    world.answers(&life(20).id, Listing { coverage: EndCoverage::Earliest, ..listing.clone() });
    assert!(world.sched.workers.contains_key(&life(10).id));
    world.answers(&life(20).id, listing);
    let told = world.tick();
    assert!(!told.iter().any(|a| matches!(a, Action::Start { .. } | Action::Stop(..))), "{told:?}");
    assert!(!world.sched.workers.contains_key(&life(10).id));
}

/// Likewise, and its end is in the first answer already.
#[test]
fn end_in_the_first_answer() {
    let (mut world, _) = one_task();
    world.at(100);
    world.sched.handle(Event::WorkerListed(life(20)));
    let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    let done =
        ReportedEnd { sequence_number: 1, task, attempt: 1, kind: EndKind::Done, checkpoint: String::new() };
    world.answers(&life(20).id, Listing { ended: vec![done], ..Listing::default() });
    assert_eq!(starts(&world.tick()), [], "it is done");
}

/// News of the earlier life, and entries of it, that come once the later one is known.
#[test]
fn late_news_of_the_earlier_life() {
    let (mut world, begun) = one_task();
    let token = world.sched.token_of(&life(10).id).expect("it is attended");
    world.sched.handle(Event::WorkerListed(life(20)));
    world.answers(&life(20).id, nothing());
    world.tick();
    let Action::Start { task, attempt, .. } = begun[0] else { panic!("a start") };
    let end =
        ReportedEnd { sequence_number: 1, task, attempt, kind: EndKind::Done, checkpoint: String::new() };
    for news in [
        WorkerUpdate::Reported(Report { full: true, ended: vec![end], ..Report::default() }),
        WorkerUpdate::Started(task, attempt, workswood_core::jobs::StartReply::Taken),
        WorkerUpdate::Unanswered { lease_end: Duration::from_secs(9), heard: Duration::ZERO },
        WorkerUpdate::Deposed,
    ] {
        world.sched.handle(Event::WorkerUpdate(life(10).id, token, news));
    }
    world.sched.handle(Event::WorkerListed(life(10)));
    world.sched.handle(Event::WorkerUnlisted(life(10).id));
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    assert!(!world.sched.deposed && !world.sched.workers.contains_key(&life(10).id));
    assert!(world.sched.workers.get(&life(20).id).is_some_and(|w| w.listed && w.reachable));
    assert!(world.sched.jobs.get(&JobKey::of_number(1)).is_some_and(|j| j.is_open()), "its task is not done");
}

/// An answer of a life comes after its worker has started once more.
#[test]
fn overtaken_news_of_a_restart() {
    let (mut world, _) = one_task();
    world.sched.handle(Event::WorkerListed(life(30)));
    let token = |world: &HostWorld| world.sched.token_of(&life(30).id);
    world.answers(&life(30).id, nothing());
    let before = token(&world);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    world.tick();
    assert!(!world.sched.workers.contains_key(&life(20).id), "it is over already");
    assert_eq!(token(&world), before);
}

/// Tokens rise from life to life, also where the one before was forgotten meanwhile.
#[test]
fn tokens_rise() {
    let mut world = HostWorld::new(0);
    let mut last = 0;
    for started in [10, 20, 30] {
        let id = life(started).id;
        world.sched.handle(Event::WorkerListed(life(started)));
        world.answers(&id, nothing());
        let token = world.sched.token_of(&id).expect("it is attended");
        assert!(token > last, "{token} after {last}");
        last = token;
        world.sched.handle(Event::WorkerUnlisted(id.clone()));
        assert!(!world.sched.workers.contains_key(&id), "nothing ran there");
    }
}

/// A lease that was meant for the earlier life may last on the later one's clock as long as any.
#[test]
fn lease_on_the_later_clock() {
    let (mut world, begun) = one_task();
    world.sched.handle(Event::WorkerListed(life(20)));
    world.at(1000);
    world.answers(
        &life(20).id,
        Listing { running: begun.iter().filter_map(listed).collect(), ..Listing::default() },
    );
    let lost = WorkerUpdate::Unanswered { lease_end: Duration::from_secs(6), heard: Duration::from_secs(1) };
    world.tells(&life(20).id, lost);
    world.at(10_900);
    assert_eq!(starts(&world.tick()), [], "it may run there still");
    world.sched.handle(Event::WorkerListed(WorkerInfo { host: "m-1".to_string(), ..worker(1, 0) }));
    world.report(1, 0, &[]);
    world.at(11_700);
    world.tick();
    world.at(11_850);
    world.tick();
    let again = starts(&world.actions);
    assert_eq!(again.last(), Some(&(&worker(1, 0).id, 2)));
}

/// Jobs of a predecessor name the earlier life, or one of which no start is known; the list
/// shows the later one.
#[test]
fn next_holder() {
    for before in [life(10).id, WorkerId::new("w", None)] {
        let (mut first, _) = one_task();
        let mut rec = first.sched.jobs.get(&JobKey::of_number(1)).expect("it is open").record();
        let tasks = rec.rounds.iter_mut().flatten().flatten();
        tasks.for_each(|t| t.runs.iter_mut().for_each(|(worker, _)| *worker = before.clone()));
        first.tick();
        let mut world = HostWorld::new(0);
        world.sched.restore_worker(before.clone(), life(10).record());
        world.sched.restore_job(
            JobKey::of_number(1),
            Some(Arc::new(job(vec![step(1, vec![])], 0))),
            Some(rec),
        );
        world.sched.handle(Event::WorkerListed(life(20)));
        assert_eq!(starts(&world.tick()), []);
        world.answers(&life(20).id, nothing());
        assert_eq!(starts(&world.tick()), [(&life(20).id, 2)]);
    }
}

/// The list of hosts names the worker, not its life: it ends no life, and shows a host as back
/// from maintenance although the name is the same.
#[test]
fn hosts_name_the_worker() {
    let mut world = HostWorld::new(0);
    let listed = || {
        let mut m = host(0, SERVICE, None);
        m.worker = Some(WorkerId::new("w", None));
        m
    };
    world.sched.handle(Event::WorkerListed(life(10)));
    world.answers(&life(10).id, nothing());
    world.at(100);
    world.tells(
        &life(10).id,
        WorkerUpdate::Unanswered { lease_end: Duration::from_secs(6), heard: Duration::ZERO },
    );
    world.list(vec![listed()]);
    assert!(world.sched.workers.contains_key(&life(10).id));
    world.answers(&life(10).id, nothing());
    world.sched.handle(Event::WaveRequested(wave(&[0], 1), None));
    for t in 1..20 {
        world.at(100 + t * 150);
        world.tick();
    }
    assert!(upkeeps(&world.actions).iter().all(|m| m == "m-0"));
    assert!(!world.actions.is_empty(), "it is ordered down");
    world.sched.handle(Event::HostOrderAnswered("m-0".to_string(), workswood_core::jobs::HostReply::Done));
    world.at(3300);
    world.list(vec![listed()]);
    assert!(!world.sched.waves[&1].is_complete(), "it may not have begun to go down");
    world.at(5300);
    world.list(vec![listed()]);
    assert!(world.sched.waves[&1].is_complete());
}

fn record(started: u64) -> KeyedRecord {
    KeyedRecord { key: "w".to_string(), value: Some(started.to_string().into()) }
}

fn read(rec: &KeyedRecord) -> Result<WorkerInfo, String> {
    let text = std::str::from_utf8(rec.value.as_deref().unwrap_or_default()).map_err(|e| e.to_string())?;
    text.parse().map(life).map_err(|e: std::num::ParseIntError| e.to_string())
}

#[test]
fn entries_in_any_order() {
    let mut list = WorkerList::default();
    let listed = |events: Vec<Event>| -> Vec<String> {
        let text = |ev| match ev {
            Event::WorkerListed(info) => format!("listed {}", info.id),
            Event::WorkerUnlisted(id) => format!("unlisted {id}"),
            other => format!("{other:?}"),
        };
        events.into_iter().map(text).collect()
    };
    let heard = TopicUpdate::Changes(vec![record(10), record(20), record(10)]);
    assert_eq!(listed(list.apply(heard, read)), ["listed w@10", "listed w@20"], "the last one comes late");
    let gone = KeyedRecord { key: "w".to_string(), value: None };
    assert_eq!(listed(list.apply(TopicUpdate::Changes(vec![gone]), read)), ["unlisted w@20"]);
}

/// Orders and news between processes of this version, and what one of the version before reads.
#[test]
fn orders_and_news_between_processes() {
    let worker = WorkerAddress {
        id: WorkerId::new("w", Some(20)),
        address: "10.0.0.1:80".to_string(),
        data_centre: "north".to_string(),
    };
    let order = WorkerOrder::Assign { worker, token: 7, extensions: ExtensionOrders::NotNeeded };
    let written = codec::write_orders(vec![(1, order.clone())]);
    let Some(workswood_peers::relay::Order::Assign(a)) = written[0].order.clone() else { panic!("an order") };
    assert_eq!(a.name, "w", "calls name the worker only");
    assert_eq!(codec::read_orders(written), Some(vec![(1, order)]));
    let what = WorkerEvent::Restarted(30, Duration::from_millis(400));
    let mut news = codec::write_events(vec![(1, what.clone())]).remove(0);
    assert_eq!(codec::read_event(news.clone()), Some((1, what)));
    news.restarted_at = None;
    assert_eq!(codec::read_event(news), Some((1, WorkerEvent::IncarnationEnded(Duration::from_millis(400)))));
}
