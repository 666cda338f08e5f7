//! What was meant for a former life of a worker and reaches the later one breaks no rule.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use workswood::ops::jobs::relay::messages::WorkerOrder;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::owed_batch::OwedBatch;
use workswood_core::jobs::{
    Action, Batch, EndKind, EndedIncarnationRecord, Event, Host, HostReply, HostState, JobKey, Listing,
    Record, ReportedEnd, Scheduler, StartReply, StoreAccess, TaskId, WorkerAddress, WorkerInfo, WorkerUpdate,
};
use workswood_platform::jobs::JobPlatform;
use workswood_test_support::host_world::{HostWorld, host, limits, listed, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::TurnStore;

use super::misdelivered_leases::{JOB, NAME, decide, life, one_task, starts, with_former_life};

/// The only task.
const TASK: TaskId = TaskId { job: JobKey::of_number(JOB), round: 0, step: 0, index: 0 };
/// When the former life ends, in milliseconds.
const ENDS_AT: u64 = 100;
/// Before and after the end of the longest lease that a worker holds, in milliseconds: 10 s on a clock that may be 2%
/// slow, and a slack.
const IN_LEASE: u64 = 10_400;
const AFTER_LEASE: u64 = 10_600;
/// The same of a lease of the usual length, which is 5 s.
const IN_USUAL_LEASE: u64 = 5_100;
const AFTER_USUAL_LEASE: u64 = 5_700;
/// Longest time between two records of an incarnation that is over, with a slack, in milliseconds.
const RECORD_SLACK: u64 = 1_300;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What is recorded of incarnations that are over.
fn ended_records(batch: &Batch) -> Vec<(WorkerId, Option<EndedIncarnationRecord>)> {
    let ended = |rec: &Record| match rec {
        Record::EndedIncarnation(id, ended) => Some((id.clone(), ended.clone())),
        _ => None,
    };
    batch.records.iter().filter_map(ended).collect()
}

/// A life is listed and answers.
fn appears(world: &mut HostWorld, life: WorkerInfo) {
    let id = life.id.clone();
    world.sched.handle(Event::WorkerListed(life));
    world.answers(&id, Listing::default());
}

/// A life answers that another one has started, which answers then.
fn restarts(world: &mut HostWorld, at: u64, former: u64, later: u64) {
    world.at(at);
    world.sched.handle(Event::WorkerRestarted(life(former).id, later, Duration::ZERO));
    appears(world, life(later));
}

/// The task is started on a life, which takes it; returns the records of the start.
fn runs_on(world: &mut HostWorld, id: &WorkerId) -> Batch {
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let batch = decide(world);
    assert_eq!(starts(&batch), [(id.clone(), 1)]);
    world.taken(id, TASK, 1);
    batch
}

/// A life is heard no more; another worker could take the task.
fn cut_off(world: &mut HostWorld, at: u64, id: &WorkerId) {
    world.at(at);
    world.tells_silence(id, ms(at + 5_000), ms(at - 50));
    appears(world, worker(0, 0));
}

/// The task is started on the other worker between two times, and not before.
fn assert_starts_between(world: &mut HostWorld, not_before: u64, by: u64) {
    let now = world.sched.now.as_millis() as u64;
    for at in (now + 250..not_before).step_by(250).chain([not_before]) {
        world.at(at);
        assert_eq!(starts(&decide(world)), [], "the later life runs it at {at} ms");
    }
    world.at(by);
    assert_eq!(starts(&decide(world)), [(worker(0, 0).id, 2)], "at {by} ms");
}

/// The later life answers first at `at`, takes the task and is cut off: it may hold the longest lease from then on.
fn assert_longest_lease_from(world: &mut HostWorld, at: u64, later: u64) {
    runs_on(world, &life(later).id);
    cut_off(world, at + 100, &life(later).id);
    assert_starts_between(world, at + IN_LEASE, at + AFTER_LEASE);
}

/// TWICE: an order is carried out seconds after its life was over, by the next one.
#[test]
fn order_carried_out_late_extends_the_next_life() {
    let at = ENDS_AT + 11_500;
    let mut world = with_former_life();
    world.at(ENDS_AT);
    world.sched.handle(Event::WorkerUnlisted(life(10).id));
    world.at(at - 500);
    decide(&mut world);
    world.at(at);
    appears(&mut world, life(20));
    assert_longest_lease_from(&mut world, at, 20);
}

/// TWICE: an order reaches the later life a moment before its first answer.
#[test]
fn order_just_before_the_first_answer() {
    let at = 5_000;
    let mut world = with_former_life();
    world.at(ENDS_AT);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    decide(&mut world);
    world.at(at);
    appears(&mut world, life(20));
    assert_longest_lease_from(&mut world, at, 20);
}

/// A host of the worker, as the platform lists it.
fn host_of_worker(state: HostState, name: Option<&str>) -> Host {
    Host { state, worker: name.map(|name| WorkerId::new(name, None)), ..host(1, SERVICE, None) }
}

/// The host of the former life goes down for maintenance.
fn maintain(world: &mut HostWorld) {
    world.list(vec![host_of_worker(HostState::Up, Some(NAME))]);
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for at in (ENDS_AT..ENDS_AT + 3_000).step_by(150) {
        world.at(at);
        world.answers(&life(10).id, Listing::default());
        let batch = decide(world);
        if batch.actions.iter().any(|a| matches!(a, Action::MaintainHost(..))) {
            world.sched.handle(Event::HostOrderAnswered("m-1".to_string(), HostReply::Done));
            return;
        }
    }
    panic!("it is ordered down");
}

/// How the former life ends.
type EndOfLife = fn(&mut HostWorld);

/// TWICE: the later life's lease is counted in whatever way the former life is found to be over.
#[test]
fn every_end_of_a_life_leaves_its_lease() {
    let ends: [(&str, EndOfLife); 4] = [
        ("unlisted", |world| world.sched.handle(Event::WorkerUnlisted(life(10).id))),
        ("another life answers", |world| {
            world.sched.handle(Event::OtherIncarnationAnswered(life(10).id, Duration::ZERO))
        }),
        ("host without it", |world| {
            world.tells_silence(&life(10).id, ms(5_000), ms(50));
            world.list(vec![host_of_worker(HostState::Down, None)]);
        }),
        ("maintenance", maintain),
    ];
    for (how, end) in ends {
        let mut world = with_former_life();
        decide(&mut world);
        world.at(ENDS_AT);
        end(&mut world);
        assert!(!world.sched.workers.contains_key(&life(10).id), "{how}");
        let batch = decide(&mut world);
        let dropped =
            batch.records.iter().any(|rec| matches!(rec, Record::DropWorker(id) if *id == life(10).id));
        let ended = ended_records(&batch);
        assert!(dropped && matches!(&ended[..], [(id, Some(_))] if *id == life(10).id), "{how}: one batch");
        let ended_at = world.sched.now.as_millis() as u64;
        let at = ended_at + 4_000;
        for listed_at in [ended_at + 2_000, at] {
            world.at(listed_at);
            world.list(vec![host_of_worker(HostState::Up, Some(NAME))]);
            decide(&mut world);
        }
        appears(&mut world, life(20));
        assert_longest_lease_from(&mut world, at, 20);
    }
}

/// TWICE: a worker restarts twice, and orders for the life between reach the last one.
#[test]
fn two_restarts_in_a_row() {
    for between_answers in [false, true] {
        let mut world = with_former_life();
        world.at(ENDS_AT);
        world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
        if between_answers {
            appears(&mut world, life(20));
        }
        decide(&mut world);
        restarts(&mut world, 6_000, 20, 30);
        assert_longest_lease_from(&mut world, 6_000, 30);
    }
}

/// TWICE: a run that the former life may have is started again while an order for it may be under way.
#[test]
fn poll_of_a_relay_that_does_not_know_yet() {
    let mut world = with_former_life();
    runs_on(&mut world, &life(10).id);
    let grace = limits().extension_grace.as_millis() as u64;
    world.sched.workers.get_mut(&life(10).id).expect("it is known").relay = Some("entry-2".to_string());
    world.at(ENDS_AT);
    world.sched.handle(Event::WorkerListed(life(20)));
    appears(&mut world, worker(0, 0));
    assert_starts_between(&mut world, ENDS_AT + grace + IN_LEASE, ENDS_AT + grace + AFTER_LEASE);
}

/// A holder that takes over from these records.
fn successor(claimed_at: u64, records: &[Record]) -> HostWorld {
    let mut world = HostWorld::new(0);
    let config = world.sched.config.clone();
    world.sched = Scheduler::new(2, limits(), ms(claimed_at), claimed_at);
    world.at(claimed_at);
    world.sched.predecessors_extend_until = Some(ms(claimed_at));
    world.sched.handle(Event::ConfigChanged(config));
    // Jobs come last, as after a claim.
    let (jobs, workers): (Vec<_>, Vec<_>) =
        records.iter().cloned().partition(|rec| matches!(rec, Record::Job(..)));
    for rec in workers.into_iter().chain(jobs) {
        match rec {
            Record::Worker(id, rec) => world.sched.restore_worker(id, rec),
            Record::EndedIncarnation(id, Some(ended)) => world.sched.restore_ended(id, &ended),
            Record::Job(key, rec) => world.sched.restore_job(key, Some(one_task()), Some(rec)),
            other => panic!("{other:?}"),
        }
    }
    world
}

/// The records of batches that have waited for the store.
fn merged<'a>(batches: impl IntoIterator<Item = &'a Batch>) -> Batch {
    let mut owed = OwedBatch::default();
    for batch in batches {
        owed.add(Batch { records: batch.records.clone(), ..Batch::default() });
    }
    owed.into_batch()
}

/// What the store has once these batches are stored.
fn stored<'a>(batches: impl IntoIterator<Item = &'a Batch>) -> Vec<Record> {
    let kept = |rec: &Record| !matches!(rec, Record::DropWorker(_) | Record::EndedIncarnation(_, None));
    merged(batches).records.into_iter().filter(kept).collect()
}

/// The later life runs the task after a restart at [`ENDS_AT`]; returns what is stored then.
fn records_of_restart(former_runs: bool) -> Vec<Record> {
    let mut world = with_former_life();
    let mut batches = Vec::new();
    if former_runs {
        world.sched.handle(Event::Submitted(JOB + 1, one_task()));
        batches.push(decide(&mut world));
        assert_eq!(world.sched.workers.get(&life(10).id).map(|w| w.runs.len()), Some(1));
        world.sched.handle(Event::Cancelled(JobKey::of_number(JOB + 1)));
    }
    restarts(&mut world, ENDS_AT, 10, 20);
    batches.push(runs_on(&mut world, &life(20).id));
    let of_task = |rec: &Record| !matches!(rec, Record::Job(key, _) if *key != JobKey::of_number(JOB));
    stored(&batches).into_iter().filter(of_task).collect()
}

/// TWICE: holders are killed in a row, and each counts what the first one knew.
#[test]
fn holder_killed_twice() {
    for former_runs in [false, true] {
        let records = records_of_restart(former_runs);
        // The second holder lived too shortly to record anything.
        for claimed_at in [1_000, 3_000] {
            let mut world = successor(claimed_at, &records);
            appears(&mut world, worker(0, 0));
            assert_starts_between(&mut world, ENDS_AT + IN_LEASE, claimed_at + AFTER_LEASE);
        }
    }
}

/// Holders in a row that live for a while add little to the end of the lease.
#[test]
fn holders_in_a_row_add_little() {
    let mut records = records_of_restart(false);
    for claimed_at in [1_000, 3_500, 6_000] {
        let mut world = successor(claimed_at, &records);
        let mut batches = vec![Batch { records, ..Batch::default() }];
        for at in (claimed_at..claimed_at + 2_500).step_by(250) {
            world.at(at);
            batches.push(decide(&mut world));
        }
        records = stored(&batches);
    }
    let mut world = successor(8_500, &records);
    appears(&mut world, worker(0, 0));
    let longest = ENDS_AT + AFTER_LEASE + 4 * RECORD_SLACK;
    assert_starts_between(&mut world, ENDS_AT + IN_LEASE, longest);
}

/// A takeover waits for a worker that has not restarted as it does for any other.
#[test]
fn takeover_waits_no_longer_without_restart() {
    let mut world = with_former_life();
    let records = stored([&runs_on(&mut world, &life(10).id)]);
    let mut world = successor(1_000, &records);
    appears(&mut world, worker(0, 0));
    assert_starts_between(&mut world, 1_000 + IN_USUAL_LEASE, 1_000 + AFTER_USUAL_LEASE);
}

/// The record is on its way in one batch with the end of the life, also if that batch waits for the store.
#[test]
fn record_waits_for_the_store() {
    let mut world = with_former_life();
    decide(&mut world);
    world.sched.set_store_access(StoreAccess::Away);
    world.at(ENDS_AT);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    let first = decide(&mut world);
    world.at(1_000);
    appears(&mut world, life(20));
    let second = decide(&mut world);
    assert_eq!(starts(&second), []);
    for at in [2_500, 4_000] {
        world.at(at);
        assert_eq!(ended_records(&decide(&mut world)), [], "at {at} ms");
    }
    let owed = merged([&first, &second]);
    assert!(owed.records.iter().any(|rec| matches!(rec, Record::DropWorker(id) if *id == life(10).id)));
    let left = ended_records(&owed);
    let [(id, Some(rec))] = &left[..] else { panic!("{left:?}") };
    assert!(*id == life(10).id && rec.is_final && rec.lease_left > IN_LEASE, "{rec:?}");
    world.sched.set_store_access(StoreAccess::Answering);
    world.at(4_250);
    assert!(matches!(&ended_records(&decide(&mut world))[..], [(_, Some(rec))] if rec.lease_left < IN_LEASE));
    world.at(1_000 + AFTER_LEASE);
    assert_eq!(ended_records(&decide(&mut world)), [(life(10).id, None)]);
}

/// A task that is done would start again: the later life counts its ends from 1, which the former one had told of.
#[test]
fn ends_of_the_later_life_are_read() {
    let mut world = with_former_life();
    let done = |task: TaskId, sequence_number| ReportedEnd {
        sequence_number,
        task,
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let three = Arc::new(job(vec![step(3, vec![])], 0));
    world.sched.handle(Event::Submitted(JOB + 1, three));
    let others: Vec<TaskId> = decide(&mut world).actions.iter().filter_map(listed).map(|r| r.task).collect();
    let ended = others.iter().enumerate().map(|(n, task)| done(*task, n as u64 + 1)).collect();
    world.answers(&life(10).id, Listing { ended, ..Listing::default() });
    assert_eq!(decide(&mut world).acked_ends, [(life(10).id, 3)]);
    restarts(&mut world, ENDS_AT, 10, 20);
    runs_on(&mut world, &life(20).id);
    world.at(ENDS_AT + 500);
    world.answers(&life(20).id, Listing { ended: vec![done(TASK, 1)], ..Listing::default() });
    let batch = decide(&mut world);
    assert_eq!(batch.acked_ends, [(life(20).id, 1)]);
    assert!(
        starts(&batch).is_empty()
            && !world.sched.jobs.get(&JobKey::of_number(JOB)).is_some_and(|j| j.is_open())
    );
}

/// A stop for the former life has the later one refuse the task up to that attempt: each start has a higher one.
#[test]
fn stop_for_the_former_life() {
    let mut world = with_former_life();
    runs_on(&mut world, &life(10).id);
    world.sched.handle(Event::WorkerUpdate(
        life(10).id,
        world.sched.token_of(&life(10).id).unwrap_or(0),
        WorkerUpdate::Started(TASK, 1, StartReply::Unsure),
    ));
    restarts(&mut world, ENDS_AT, 10, 20);
    let mut last = 1;
    for at in [1_000, 4_000, 8_000] {
        world.at(at);
        world.answers(&life(20).id, Listing::default());
        let batch = decide(&mut world);
        let [(id, attempt)] = &starts(&batch)[..] else { panic!("at {at} ms: {:?}", batch.actions) };
        assert!(*id == life(20).id && *attempt > last, "{attempt} after {last}");
        last = *attempt;
        world.tells(id, WorkerUpdate::Started(TASK, last, StartReply::Refused));
    }
    assert!(
        world.sched.jobs.get(&JobKey::of_number(JOB)).is_some_and(|j| j.is_open()),
        "a refusal is no failure"
    );
}

/// When the worker has started, as its id tells.
const STARTED: u64 = 1_000;

/// A relay that has polled a life of a worker which may return under its name.
async fn relay_of_life() -> (RelaySite, Arc<TurnStore>) {
    let store = Arc::new(TurnStore::new(ms(4), &[]));
    let relay = RelaySite::new(store.clone(), "10.0.0.1:80", Some(STARTED)).await;
    (relay, store)
}

/// The events of a silence: how often a confirmed lease was reported before it.
async fn confirmed_before_silence(relay: &mut RelaySite) -> usize {
    let confirmed = Cell::new(0);
    let silence = |ev: &Event| match ev {
        Event::WorkerUpdate(_, _, WorkerUpdate::LeaseConfirmed(_)) => {
            confirmed.set(confirmed.get() + 1);
            None
        }
        Event::WorkerUpdate(_, _, WorkerUpdate::Unanswered { .. }) => Some(()),
        _ => None,
    };
    relay.event(silence).await;
    confirmed.get()
}

/// TWICE: a poll that is sent again, since the worker has restarted, gives the later life a lease.
#[tokio::test(start_paused = true)]
async fn second_poll_extends_the_later_life() {
    let (mut relay, store) = relay_of_life().await;
    store.falls_silent();
    confirmed_before_silence(&mut relay).await;
    let leases = store.unanswered_leases();
    assert!(matches!(leases[..], [Some(_), None]), "{leases:?}");
}

/// A run that lapsed counts as a crash: a lease is taken for confirmed that only a lost poll has carried.
#[tokio::test(start_paused = true)]
async fn answer_to_a_copy_confirms_no_lease() {
    for copies in [false, true] {
        let (mut relay, store) = relay_of_life().await;
        if copies {
            store.answers_copies();
        }
        let extended = store.leases() + 3;
        while store.leases() < extended {
            tokio::time::sleep(ms(10)).await;
        }
        store.falls_silent();
        let confirmed = confirmed_before_silence(&mut relay).await;
        assert_eq!(confirmed > 0, !copies, "{confirmed} confirmed leases");
    }
}

/// A worker lists ends for ever: an acknowledgement is taken for received that only a lost poll has carried.
#[tokio::test(start_paused = true)]
async fn answer_to_a_copy_acknowledges_nothing() {
    for copies in [false, true] {
        let (mut relay, store) = relay_of_life().await;
        if copies {
            store.answers_copies();
        }
        relay.order(WorkerOrder::AckEnds(5));
        let sent = store.acks().len();
        // Fewer looks than until the next one that is lost.
        while store.acks().len() < sent + 5 {
            tokio::time::sleep(ms(10)).await;
        }
        let acks = store.acks().into_iter().filter(|end| *end == 5).count();
        assert_eq!(acks > 1, copies, "{:?}", store.acks());
        assert!(acks > 0);
    }
}

/// Reads one request from a connection; returns its body.
async fn read_body(conn: &mut TcpStream) -> serde_json::Value {
    let mut text = Vec::new();
    loop {
        assert_ne!(conn.read_buf(&mut text).await.expect("a request"), 0, "the request is whole");
        let read = String::from_utf8_lossy(&text);
        if let Some((_, body)) = read.split_once("\r\n\r\n")
            && let Ok(body) = serde_json::from_str(body)
        {
            return body;
        }
    }
}

/// TWICE, LOST: the copy of a poll without an answer gives the later life a lease, or has it forget ends.
#[tokio::test]
async fn copy_of_a_poll_reaches_the_later_life() {
    let nowhere = "127.0.0.1:1".to_string();
    let client = PlatformClient::new(Addresses { store: nowhere.clone(), machines: nowhere, adviser: None });
    for wait in [Duration::ZERO, ms(50)] {
        let worker = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = WorkerAddress {
            id: WorkerId::new("w", Some(STARTED)),
            address: worker.local_addr().expect("an address").to_string(),
            data_centre: "north".to_string(),
        };
        let answers = async {
            let (mut first, _) = worker.accept().await.expect("the poll");
            let poll = read_body(&mut first).await;
            let (mut second, _) = worker.accept().await.expect("its copy");
            let copy = read_body(&mut second).await;
            let body = format!(r#"{{"clock_ms":5,"born":{STARTED}}}"#);
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            second.write_all(answer.as_bytes()).await.expect("it is read");
            (poll, copy)
        };
        let polled = client.poll_worker(&address, 7, 5, Some(ms(9_000)), wait);
        let (listing, (poll, copy)) = tokio::join!(polled, answers);
        assert!(listing.expect("the copy is answered").answers_copy);
        assert_eq!((&poll["deadline_ms"], &poll["last_seen"]), (&9_000.into(), &5.into()));
        assert_eq!((&copy["deadline_ms"], &copy["last_seen"]), (&serde_json::Value::Null, &0.into()));
    }
}
