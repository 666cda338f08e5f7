//! Texts and bytes as this version stores and sends them are read and written back unchanged.
//!
//! A type or field that is renamed without its written name makes one of these tests fail. The texts are in
//! the folder beside this file: a name in each line, then what is written; bytes are in hex.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use workswood::ops::explain::job_history::{HostLog, job_history};
use workswood::ops::job_status::{self, aggregate_status};
use workswood::ops::jobs::inbox::Stored;
use workswood::ops::jobs::node::Holder;
use workswood::ops::jobs::operator_state::Evacuations;
use workswood::ops::jobs::record::{
    InboxRecordKind, StateKey, cancel_record, deletion_record, job_record, parse_inbox_key, parse_state_key,
    state_record,
};
use workswood::ops::jobs::relay::codec::{read_event, read_orders, write_events, write_orders};
use workswood::ops::jobs::relay::messages::{WorkerEvent, WorkerOrder};
use workswood::ops::jobs::{Node, job_spec, job_state, lease, peers};
use workswood::ops::model;
use workswood::ops::model::compare::{Gain, Variant};
use workswood::ops::model::spec::FaultKind;
use workswood::ops::model::{Comparison, RunMetrics};
use workswood::util::job_settings::JobSettings;
use workswood::util::settings::Settings;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::fleet::{FleetFile, PriorityClass, parse};
use workswood_core::fold::{
    BudgetStatus, CheckpointAssembler, HostPhase, JobPhase, KeyState, Rejection, State,
};
use workswood_core::ids::{HostId, Offset, ServiceId, Term};
use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use workswood_core::jobs::job::{AbsenceRecord, StateSlot, TaskRecord, WorkerId};
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::policy::ShareOrder;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    AdviceReply, EndKind, Host, HostReply, HostState as JobHostState, JobKey, JobRecord, JobSpec, Listing,
    Outcome, Owner, Record, Report, SchedConfig, StartReply, StepId, StopReply, TaskId, WorkerAddress,
    WorkerInfo,
};
use workswood_core::membership::Liveness;
use workswood_core::plan::{HostAction, HostState, ObservedFleet, WaveState, WaveStatus};
use workswood_core::record::{
    AttemptOutcome, DrainReason, Envelope, FORMAT_VERSION, HostChange, Record as LogRecord, Role,
};
use workswood_operators::{ApplyReply, ApplyRequest, Status};
use workswood_peers::relay::{RelayOrders, RelayUpdate};
use workswood_peers::{
    AdviceOutcome, CallError, Frame, HandInOutcome, JobState, Msg, StoreCallRequest, StoreOperation,
    StoreOutcome, StoreTopic,
};
use workswood_platform::ReadReply;
use workswood_platform::jobs::{
    Guard, JobPlatform, KeyedRecord, LatestRecords, OperatorRecord, StartOrder, StoreError, Tail, Topic,
    WorkerClock, WorkerError,
};
use workswood_test_support::job_node::settings;

const PEER_FRAMES: &str = include_str!("stored_formats/peer_frames.txt");
const SCHEDULER_STATE: &str = include_str!("stored_formats/scheduler_state.txt");
const INBOX: &str = include_str!("stored_formats/inbox.txt");
const EARLIER_JOBS: &str = include_str!("stored_formats/earlier_jobs.txt");
const LOG_ENVELOPE: &str = include_str!("stored_formats/log_envelope.json");
const FOLD_STATE: &str = include_str!("stored_formats/fold_state.json");
const FOLD_CHECKPOINT: &str = include_str!("stored_formats/fold_checkpoint.json");
const ENTRY_SETTINGS: &str = include_str!("stored_formats/entry_settings.json");
const JOB_SETTINGS: &str = include_str!("stored_formats/job_settings.json");
const FLEET_FILE: &str = include_str!("stored_formats/fleet_file.json");
const EARLIER_JOB_SETTINGS: &str = include_str!("stored_formats/earlier_job_settings.json");
const EARLIER_MODEL_FILE: &str = include_str!("stored_formats/earlier_model_file.json");
const MODEL_FILE: &str = include_str!("stored_formats/model_file.json");
const MODEL_COMPARISON: &str = include_str!("stored_formats/model_comparison.json");
const OPERATORS: &str = include_str!("stored_formats/operators.txt");
const CODES: &str = include_str!("stored_formats/codes.txt");
const PLATFORM: &str = include_str!("stored_formats/platform.txt");
const LEASE_AND_PEERS: &str = include_str!("stored_formats/lease_and_peers.txt");
const OPERATOR_RECORDS: &str = include_str!("stored_formats/operator_records.txt");
const JOBS_SHOWN: &str = include_str!("stored_formats/jobs_shown.txt");
const DECISIONS: &str = include_str!("stored_formats/decisions.txt");
const JOB_LOG: &str = include_str!("stored_formats/job_log.txt");

/// The lines of a file, each as its name and its text.
fn lines(file: &str) -> Vec<(&str, &str)> {
    file.lines().map(|line| line.split_once(' ').expect("a name and a text")).collect()
}

/// The text of a name in a file.
fn text<'a>(file: &'a str, name: &str) -> &'a str {
    let found = lines(file).into_iter().find(|(n, _)| *n == name);
    found.unwrap_or_else(|| panic!("there is no line {name}")).1
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |n: usize| u8::from_str_radix(&hex[n..n + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn message(name: &str) -> Msg {
    let frame = Frame::decode(from_hex(text(PEER_FRAMES, name)).as_slice());
    frame.expect("a frame").msg.expect("a message that is known")
}

macro_rules! message {
    ($kind:ident $name:literal) => {
        match message($name) {
            Msg::$kind(m) => m,
            _ => panic!("{} is another message", $name),
        }
    };
}

/// Processes of the version before and after an upgrade must understand each other's messages.
#[test]
fn peer_frames() {
    let all = lines(PEER_FRAMES);
    assert_eq!(all.len(), 46);
    for (n, (name, hex)) in all.into_iter().enumerate() {
        let frame = Frame::decode(from_hex(hex).as_slice()).expect(name);
        assert!(frame.msg.is_some(), "{name}");
        assert_eq!(frame.call, 500 + n as u64, "{name}");
        assert_eq!(to_hex(&frame.encode_to_vec()), hex, "{name}");
    }
}

/// Fields of a message that are exchanged for one another, or have another tag.
#[test]
fn peer_message_fields() {
    let m = message!(Hello "hello");
    assert_eq!((m.version, m.token.as_str(), m.incarnation.as_str()), (3, "secret", "entry-1#1"));
    let m = message!(Heartbeat "beats");
    let sender = m.sender.expect("the sender's own");
    assert_eq!((sender.address.as_str(), sender.incarnation.as_str()), ("10.0.0.1:7001", "entry-1#1"));
    assert_eq!(
        (sender.data_centre.as_str(), sender.sequence, sender.next_offset, sender.stopping),
        ("north", 41, 91, true)
    );
    assert_eq!(m.others[0].sequence, 42);
    assert_eq!((m.in_flight[0].instance.as_str(), m.in_flight[0].requests), ("shop/3", 5));
    let m = message!(SlotRequest "slot-ask");
    assert_eq!((m.service.as_str(), m.slots, m.borrower.as_str()), ("shop", 6, "entry-1#1"));
    let m = message!(SlotReply "slot-loan");
    assert_eq!((m.loans[1].id, m.loans[1].endpoint.as_str()), (72, "shop/2"));
    let m = message!(SlotLoanUpdate "slot-state");
    assert_eq!((m.service.as_str(), m.borrower.as_str()), ("shop", "entry-2#1"));
    assert_eq!((m.kept, m.returned), (vec![71, 300], vec![72]));
    let m = message!(KeyReply "key-reply");
    assert_eq!((m.known, m.roster.len()), (true, 2));
    let m = message!(JobStateRequest "job-ask");
    assert_eq!((m.job, m.owner), (0x0123_4567_89ab_cdef, Some(0xfedc_ba98_7654_3210)));
    assert_eq!(message!(JobStateRequest "job-ask-of-earlier-version").owner, None);
    let m = message!(PendingJobsReply "pending-reply");
    assert_eq!((m.authoritative, m.pending), (true, 42));
    let m = message!(InboxAppendRequest "hand-in");
    assert_eq!((m.records[0].key.as_str(), m.timeout_ms), ("00000000000000ab", 700));
    assert_eq!(m.records[0].value.as_ref(), [1, 2, 255]);
    let m = message!(AdviceRequest "advice-ask");
    assert_eq!((m.job, m.round, m.step, m.timeout_ms), (1_000, 2, 3, 800));
    assert_eq!(m.workers, ["w-1@5", "w-2"]);
    let m = message!(RelayOpen "relay-open");
    assert_eq!((m.term, m.session, m.holder.as_str()), (7, 8, "entry-9"));
    let m = message!(ConfigReply "config-reply");
    let (evacuated, holder) = (m.evacuated.expect("evacuated"), m.holder.expect("a holder"));
    assert_eq!((m.record.as_ref(), evacuated.age_ms), (b"config".as_slice(), 1_500));
    assert_eq!(evacuated.data_centres, ["north", "south"]);
    assert_eq!(
        (holder.incarnation.as_str(), holder.peer_address.as_str(), holder.term),
        ("entry-3#9", "10.0.0.3:7001", 21)
    );
}

/// Fields of a call to the store for a lease holder.
#[test]
fn store_call_fields() {
    let operation = |m: StoreCallRequest| (m.topic, m.partition, m.operation.expect("an operation"));
    let (topic, _, append) = operation(message!(StoreCallRequest "store-append"));
    let StoreOperation::Append(append) = append else { panic!("{append:?}") };
    assert_eq!((topic, append.term, append.number), (StoreTopic::State as i32, 52, 17));
    assert_eq!((append.records[0].key.as_str(), append.records[1].value.as_ref()), ("job/1", None));
    assert_eq!(append.records[0].value.as_deref(), Some(b"state".as_slice()));
    let (topic, partition, read) = operation(message!(StoreCallRequest "store-read"));
    let StoreOperation::Read(read) = read else { panic!("{read:?}") };
    assert_eq!((topic, partition, read.from, read.wait_ms), (StoreTopic::Inbox as i32, 7, 91, 500));
    let (_, partition, delete) = operation(message!(StoreCallRequest "store-delete"));
    let StoreOperation::Delete(delete) = delete else { panic!("{delete:?}") };
    assert_eq!((partition, delete.keys), (3, vec!["job-1".to_string()]));
    let m = message!(StoreCallReply "store-reply");
    assert_eq!((m.outcome(), m.offset, m.records[0].key.as_str()), (StoreOutcome::Done, 93, "job/1"));
}

/// Outcomes and states that are told by another number.
#[test]
fn peer_message_numbers() {
    let states = [
        (message!(JobStateReply "job-reply-queued"), Some(JobState::Queued)),
        (message!(JobStateReply "job-reply-running"), Some(JobState::Running)),
        (message!(JobStateReply "job-reply-completed"), Some(JobState::Completed)),
        (message!(JobStateReply "job-reply-failed"), Some(JobState::Failed)),
        (message!(JobStateReply "job-reply-canceled"), Some(JobState::Canceled)),
        (message!(JobStateReply "job-reply-unknown"), None),
    ];
    for (reply, state) in states {
        assert!(reply.authoritative);
        assert_eq!(reply.state.map(|s| JobState::try_from(s).expect("a state")), state);
    }
    let stored: Vec<_> = message!(InboxAppendReply "hand-in-reply").outcomes().collect();
    assert_eq!(stored, [HandInOutcome::Unknown, HandInOutcome::Stored, HandInOutcome::NotStored]);
    let advice = [
        (message!(AdviceReply "advice-reply-no-answer"), AdviceOutcome::NoAnswer),
        (message!(AdviceReply "advice-reply-answered"), AdviceOutcome::Answered),
        (message!(AdviceReply "advice-reply-busy"), AdviceOutcome::Busy),
        (message!(AdviceReply "advice-reply-refused"), AdviceOutcome::Refused),
        (message!(AdviceReply "advice-reply-not-sent"), AdviceOutcome::NotSent),
    ];
    for (reply, outcome) in &advice {
        assert_eq!(reply.outcome(), *outcome);
    }
    let answered = &advice[1].0;
    assert_eq!((answered.suitable[0].worker.as_str(), answered.suitable[0].ticket.as_str()), ("w-1", "t-1"));
    assert_eq!(answered.valid_ms, Some(60_000));
}

fn task() -> TaskId {
    TaskId { job: JobKey::of_number(0x0123_4567_89ab_cdef), round: 1, step: 2, index: 3 }
}

/// Orders that a relay takes for other ones than the lease holder sent.
#[test]
fn relay_orders() {
    let m = message!(RelayOrders "relay-orders");
    assert_eq!(m.grant.map(|g| (g.heartbeat, g.duration_ms)), Some((5, 1_800)));
    let orders = read_orders(m.orders.clone()).expect("orders that are known");
    let written = RelayOrders { orders: write_orders(orders.clone()), ..m.clone() };
    assert_eq!(to_hex(&written.encode_to_vec()), to_hex(&m.encode_to_vec()));
    assert_eq!(orders.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (11..20).collect::<Vec<_>>());
    let WorkerOrder::Assign { worker, token, extensions } = &orders[0].1 else { panic!("{:?}", orders[0]) };
    assert_eq!((worker.id.name(), worker.id.started_at(), *token), ("w-1", Some(1_700_000_000_123), 77));
    assert_eq!((worker.address.as_str(), worker.data_centre.as_str()), ("10.0.1.1:9000", "north"));
    assert_eq!(*extensions, ExtensionOrders::NotNeeded);
    let WorkerOrder::Assign { worker, .. } = &orders[1].1 else { panic!("{:?}", orders[1]) };
    assert_eq!(worker.id.started_at(), None);
    assert_eq!((&orders[2].1, &orders[3].1), (&WorkerOrder::Unassign, &WorkerOrder::AckEnds(19)));
    assert_eq!(orders[4].1, WorkerOrder::ReportLoad(true));
    let WorkerOrder::Start(start) = &orders[5].1 else { panic!("{:?}", orders[5]) };
    assert_eq!((start.task, start.attempt, start.spec.as_ref()), (task(), 4, "run this"));
    assert_eq!((start.checkpoint.as_str(), start.ticket.as_deref()), ("c-17", Some("ticket-1")));
    let WorkerOrder::Start(start) = &orders[6].1 else { panic!("{:?}", orders[6]) };
    assert_eq!((start.spec.as_ref(), &start.ticket), ("run this", &None));
    assert_eq!(orders[7].1, WorkerOrder::Stop { task: task(), attempt: 5 });
    assert_eq!(orders[8].1, WorkerOrder::Throttle { task: task(), attempt: 6, percent: 45 });
}

/// Orders that only relays of this version and later ones get.
#[test]
fn relay_lease_orders() {
    let m = message!(RelayOrders "relay-lease-orders");
    let orders = read_orders(m.orders.clone()).expect("orders that are known");
    let written = RelayOrders { orders: write_orders(orders.clone()), ..m.clone() };
    assert_eq!(to_hex(&written.encode_to_vec()), to_hex(&m.encode_to_vec()));
    let (11, WorkerOrder::Assign { worker, token, extensions }) = &orders[0] else { panic!("{orders:?}") };
    assert_eq!(*extensions, ExtensionOrders::FromStart);
    assert_eq!((worker.id.name(), *token, worker.data_centre.as_str()), ("w-1", 77, "north"));
    assert_eq!(orders[1], (12, WorkerOrder::ExtendLeases(3)));
}

/// Orders and news about silent workers, and of sessions that end by plan.
#[test]
fn relay_silence_and_end() {
    let m = message!(RelayOrders "relay-silence-orders");
    assert_eq!(m.grant.map(|g| (g.heartbeat, g.duration_ms, g.shortened_ms)), Some((5, 1_800, 1_000)));
    assert!(m.end);
    let orders = read_orders(m.orders.clone()).expect("orders that are known");
    let written = RelayOrders { orders: write_orders(orders.clone()), ..m.clone() };
    assert_eq!(to_hex(&written.encode_to_vec()), to_hex(&m.encode_to_vec()));
    let (11, WorkerOrder::Assign { extensions, .. }) = &orders[0] else { panic!("{orders:?}") };
    assert_eq!(*extensions, ExtensionOrders::AfterSilence);
    let m = message!(RelayUpdate "relay-silence-news");
    assert!(m.ended);
    let news = read_event(m.events[0].clone()).expect("news that are known");
    assert_eq!(news, (11, WorkerEvent::AwaitsOrder));
    let written = RelayUpdate { events: write_events(vec![news]), ..m.clone() };
    assert_eq!(to_hex(&written.encode_to_vec()), to_hex(&m.encode_to_vec()));
}

fn check_report(report: &Report) {
    let running = &report.running[0];
    assert_eq!((report.full, running.task, running.attempt), (true, task(), 8));
    assert_eq!((running.checkpoint.as_str(), running.percent, running.load), ("c-18", 55, 1_234));
    assert_eq!(running.stalled_for, millis(2_500));
    assert_eq!(report.missing, [(TaskId { index: 9, ..task() }, 10)]);
    let kinds: Vec<EndKind> = report.ended.iter().map(|e| e.kind).collect();
    let known = [EndKind::Done, EndKind::Failed, EndKind::Stopped];
    assert_eq!((&kinds[..3], kinds.len()), (known.as_slice(), 6));
    assert_eq!(kinds[3..], [EndKind::Lapsed, EndKind::Broken, EndKind::Alone]);
    let end = &report.ended[5];
    assert_eq!((end.sequence_number, end.task, end.attempt, end.checkpoint.as_str()), (36, task(), 7, "e-5"));
}

/// What a relay told to be read as this: the rest of a lease is written rounded up by a millisecond.
fn as_told((number, what): (u32, WorkerEvent)) -> (u32, WorkerEvent) {
    let what = match what {
        WorkerEvent::Unanswered { lease_left, silent_for } => {
            WorkerEvent::Unanswered { lease_left: lease_left - millis(1), silent_for }
        }
        other => other,
    };
    (number, what)
}

/// News of workers that the lease holder takes for other ones than its relay told.
#[test]
fn relay_news() {
    let m = message!(RelayUpdate "relay-news");
    assert_eq!((m.heartbeat, m.stopping), (6, true));
    let news: Vec<_> = m.events.iter().map(|n| read_event(n.clone()).expect("news that are known")).collect();
    let told = news.iter().cloned().map(as_told).collect();
    let written = RelayUpdate { events: write_events(told), ..m.clone() };
    assert_eq!(to_hex(&written.encode_to_vec()), to_hex(&m.encode_to_vec()));
    assert_eq!(news.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (21..37).collect::<Vec<_>>());
    let WorkerEvent::Reported(report) = &news[0].1 else { panic!("{:?}", news[0]) };
    check_report(report);
    assert_eq!(news[1].1, WorkerEvent::ReplyLate);
    assert_eq!(news[2].1, WorkerEvent::Unanswered { lease_left: millis(1_501), silent_for: millis(900) });
    assert_eq!(news[3].1, WorkerEvent::IncarnationEnded(millis(901)));
    assert_eq!(news[4].1, WorkerEvent::Restarted(1_700_000_000_456, millis(902)));
    assert_eq!(news[5].1, WorkerEvent::Fenced);
    let replies = [
        StartReply::Taken,
        StartReply::Refused,
        StartReply::Ticket,
        StartReply::Unwell,
        StartReply::Unsure,
        StartReply::NoAnswer,
        StartReply::NotSent,
        StartReply::Deposed,
    ];
    for (reply, (_, what)) in replies.into_iter().zip(&news[6..14]) {
        assert_eq!(*what, WorkerEvent::Started { task: task(), attempt: 11, reply });
    }
    assert_eq!(news[14].1, WorkerEvent::Stopped { task: task(), attempt: 12, reply: StopReply::Taken });
    assert_eq!(news[15].1, WorkerEvent::Stopped { task: task(), attempt: 13, reply: StopReply::NoAnswer });
}

/// A line of a file as a record of the store: JSON, bytes in hex, or that its key is dropped.
fn keyed((key, value): (&str, &str)) -> KeyedRecord {
    let value = match value {
        "dropped" => return deletion_record(key.to_string()),
        json if json.starts_with(['{', '"']) => json.as_bytes().to_vec(),
        hex => from_hex(hex),
    };
    KeyedRecord { key: key.to_string(), value: Some(value.into()) }
}

/// A record of the scheduler's state, read as a new lease holder reads it.
fn read_state(rec: &KeyedRecord) -> Record {
    let value = rec.value.as_deref();
    match (parse_state_key(&rec.key).expect("a key of the state"), value) {
        (StateKey::Job(job, StateSlot::Number), Some(value)) => {
            Record::Job(job, job_state::decode(value).expect("a job's state"))
        }
        (StateKey::Job(job, slot), Some(value)) => {
            let state = job_state::decode(value).expect("a job's state");
            Record::Job(job, JobRecord { owner: Some(job.owner.workspace), slot, ..state })
        }
        (StateKey::Job(job, slot), None) => Record::DropJob(job, slot),
        (StateKey::Wave(n), value) => {
            Record::Wave(n, serde_json::from_slice(value.expect("a value")).expect("a wave's progress"))
        }
        (StateKey::Worker(id), Some(value)) => {
            Record::Worker(id, serde_json::from_slice(value).expect("a worker"))
        }
        (StateKey::Worker(id), None) => Record::DropWorker(id),
        (StateKey::EndedIncarnation(id), value) => {
            let ended = value.map(|v| serde_json::from_slice(v).expect("an incarnation that is over"));
            Record::EndedIncarnation(id, ended)
        }
        (StateKey::Checkpoint(..), _) => panic!("no record of the scheduler, but a part of one"),
        (StateKey::HostOrderMark(host), value) => {
            Record::HostOrderMark(host, value.map(|v| serde_json::from_slice(v).expect("a holder's name")))
        }
    }
}

fn state_of(key: &str) -> Record {
    read_state(&keyed((key, text(SCHEDULER_STATE, key))))
}

fn job_state_of(key: &str) -> JobRecord {
    match state_of(key) {
        Record::Job(_, state) => state,
        other => panic!("{other:?}"),
    }
}

/// A new lease holder reads what one of the version before has recorded, and the other way around.
#[test]
fn scheduler_state() {
    let all = lines(SCHEDULER_STATE);
    assert_eq!(all.len(), 16);
    for line in all {
        let stored = keyed(line);
        assert_eq!(state_record(&read_state(&stored)), stored, "{}", line.0);
    }
    let Record::Wave(12, wave) = state_of("wave-12") else { panic!("another record") };
    assert_eq!((&wave.ordered["m-1"], &wave.ordered["m-2"]), (&Some("w-1@5".to_string()), &None));
    assert!(wave.settled.contains("m-1") && wave.finished.contains("m-3"));
    assert!(wave.draining.is_empty() && wave.requested_at_ms.is_none(), "of a version before");
    let Record::Wave(13, wave) = state_of("wave-13") else { panic!("another record") };
    assert_eq!((wave.draining.contains("m-4"), wave.requested_at_ms), (true, Some(1_700_000_000_000)));
    let Record::Worker(id, worker) = state_of("worker-w-1@1700000000000") else { panic!("another record") };
    assert_eq!((id.name(), id.started_at()), ("w-1", Some(1_700_000_000_000)));
    assert_eq!((worker.address.as_str(), worker.service.as_str()), ("10.0.1.1:9000", "till"));
    assert_eq!((worker.host.as_str(), worker.data_centre.as_str()), ("m-1", "north"));
    assert_eq!(worker.lease_left, None);
    let Record::Worker(_, worker) = state_of("worker-w-3@1700000000000") else { panic!("another record") };
    assert_eq!((worker.lease_left, worker.superseded), (Some(1_200), false));
    let Record::Worker(_, worker) = state_of("worker-w-4@1700000000000") else { panic!("another record") };
    assert_eq!((worker.lease_left, worker.superseded), (Some(9_200), true));
    let Record::HostOrderMark(host, holder) = state_of("ordered-m-1") else { panic!("another record") };
    assert_eq!((host.as_str(), holder.as_deref()), ("m-1", Some("entry-4")));
}

/// Fields of a job's state that are exchanged for one another, or have another tag.
#[test]
fn job_state_fields() {
    let job = job_state_of("00000000000000ab");
    assert_eq!((job.cancelled, job.started, job.outcome), (true, true, Some(Outcome::Failed)));
    check_tasks(&job);
    let done: Vec<bool> = job.rounds[0][1].iter().map(|t| t.done).collect();
    assert_eq!(done, (0..11).map(|n| n % 3 == 0).collect::<Vec<_>>());
    assert_eq!(job.rounds[1], [vec![]]);
    let ended = [
        ("00000000000000ac", Outcome::Completed, Some(123_456)),
        ("00000000000000ad", Outcome::Failed, None),
        ("00000000000000ae", Outcome::Canceled, Some(0)),
    ];
    for (key, outcome, work) in ended {
        let job = job_state_of(key);
        let over = job.over.expect("it is over");
        assert_eq!(
            (job.outcome, over.work_core_ms, over.accepted_at),
            (Some(outcome), work, 1_700_000_000_789)
        );
        assert_eq!((over.queue.as_str(), over.service.as_str()), ("desk", "till"));
        assert_eq!(
            (
                over.max_task_resources.cpu_millis,
                over.max_task_resources.mem_mb,
                over.max_task_resources.gpus
            ),
            (1_500, 2_048, 2)
        );
        assert_eq!(over.owner, Owner::of_workspace(Some("team-a")));
    }
}

/// The tasks of the first step: one done, two that run, one given up, and one with all that is stored.
fn check_tasks(job: &JobRecord) {
    let tasks = &job.rounds[0][0];
    assert_eq!((tasks.len(), tasks[0].done, tasks[1].done), (5, true, false));
    assert_eq!(tasks[1].runs, [("w-1@1700000000000".into(), 1)].into());
    assert_eq!((tasks[2].latest_attempt, tasks[3].latest_attempt, tasks[3].given_up), (2, 3, true));
    let full = &tasks[4];
    assert_eq!((full.latest_attempt, &*full.checkpoint), (9, "c-5"));
    assert_eq!(full.failed_runs.iter().collect::<Vec<_>>(), [(1, None), (2, None)]);
    assert_eq!(full.evicted_attempts, [6].into());
    let runs: Vec<_> = full.runs.iter().map(|(worker, attempt)| (worker.as_str(), *attempt)).collect();
    assert_eq!(runs, [("w-2", 6), ("w-3", 7)]);
    let crash = |evidence, max_run_time| CrashRecord::possible(evidence, max_run_time);
    assert_eq!(full.crashes.0[&3], crash(Evidence::LikelyCause, Some(millis(40))));
    assert_eq!(full.crashes.0[&4], crash(Evidence::Bystander, Some(millis(0))));
    assert_eq!(full.crashes.0[&5], crash(Evidence::Unconfirmed, None));
}

fn inbox_spec(key: &str) -> JobSpec {
    let stored = keyed((key, text(INBOX, key)));
    job_spec::decode(&stored.value.expect("a value")).expect("a job")
}

/// Jobs and cancels that a host of another version has accepted.
#[test]
fn inbox() {
    let all = lines(INBOX);
    assert_eq!(all.len(), 4);
    for line in all {
        let stored = keyed(line);
        let key = parse_inbox_key(line.0).expect("a key of the inbox");
        let written = match key.kind {
            InboxRecordKind::Job => job_record(key.job.number, &inbox_spec(line.0)),
            InboxRecordKind::Cancel => cancel_record(key.job),
        };
        assert_eq!(written, stored, "{}", line.0);
        assert_eq!(key.deletion_record(), deletion_record(line.0.to_string()));
    }
    check_spec(&inbox_spec("00000000000000ab-828a5f41ad4304c3"));
    let open = inbox_spec("00000000000000ac");
    assert_eq!((open.workspace, open.repeat), (None, None));
}

fn check_spec(spec: &JobSpec) {
    assert_eq!((spec.queue.as_str(), spec.service.as_str()), ("desk", "till"));
    assert_eq!((spec.workspace.as_deref(), spec.priority, spec.max_attempts), (Some("team-a"), 5, 6));
    assert_eq!((spec.task_input.as_ref(), spec.accepted_at), ("run this \"text\"", 1_700_000_000_321));
    let repeat = spec.repeat.expect("rounds");
    assert_eq!((repeat.count, repeat.first_due_at, repeat.interval), (4, 1_700_000_060_000, millis(90_000)));
    let step = &spec.steps[2];
    assert_eq!((step.resources.cpu_millis, step.resources.mem_mb, step.resources.gpus), (500, 256, 1));
    assert_eq!((step.count, step.max_per_worker, step.max_unavailable), (3, 2, 4));
    assert_eq!(
        (step.estimate, step.latency_target, &step.depends_on),
        (millis(1_250), Some(millis(350)), &vec![0, 1])
    );
    let texts = [&step.label, &step.data_rack, &step.image].map(|t| t.as_deref());
    assert_eq!(texts, [Some("ssd"), Some("north-r1"), Some("img:7")]);
    assert!(step.checkpointing && step.gang && step.same_rack);
    assert!(step.speculative && step.long_running && step.best_effort);
}

/// Jobs and their state as versions before this one have stored them, in JSON.
#[test]
fn jobs_of_earlier_versions() {
    for name in ["state", "state-of-completed", "state-of-failed"] {
        let json = text(EARLIER_JOBS, name);
        let state = job_state::decode(json.as_bytes()).expect("a job's state");
        assert_eq!(serde_json::to_string(&state).expect("JSON"), json);
    }
    let read = |name: &str| job_state::decode(text(EARLIER_JOBS, name).as_bytes()).expect("a job's state");
    assert_eq!((read("state").cancelled, read("state").outcome), (true, Some(Outcome::Canceled)));
    check_tasks(&read("state"));
    assert_eq!(read("state-of-completed").outcome, Some(Outcome::Completed));
    assert_eq!(read("state-of-failed").outcome, Some(Outcome::Failed));
    let json = text(EARLIER_JOBS, "spec");
    let spec = job_spec::decode(json.as_bytes()).expect("a job");
    assert_eq!(serde_json::to_string(&spec).expect("JSON"), json);
    check_spec(&spec);
}

/// A job with a task that has been absent for a while, and one without.
const JOB_WITH_ABSENCE: &str = "10012a1a0a1808022214080110034a0e08fbd095ffbc3110a39796ffbc31";

/// The restart deadline of a task that a new lease holder doesn't read as its predecessor wrote it.
#[test]
fn absence_of_a_task() {
    let state = job_state::decode(&from_hex(JOB_WITH_ABSENCE)).expect("a job's state");
    let absence = AbsenceRecord { since: 1_700_000_000_123, restart_by: 1_700_000_009_123 };
    let absent = TaskRecord { latest_attempt: 3, absence: Some(absence), ..TaskRecord::default() };
    assert_eq!(state.rounds, [[[TaskRecord::default(), absent]]]);
    assert_eq!(to_hex(&job_state::encode(&state)), JOB_WITH_ABSENCE);
}

/// A job with a task under which workers have crashed, certainly or not, and one without.
const JOB_WITH_CRASHES: &str = "10012211772d3140313730303030303030303030302203772d322211772d3340313730303030303030303030302a270a250802222108011005320801000203040005023a052900018507400152030100015a03010203";

/// A crash on record that a new lease holder can't take back, or takes for less certain than its predecessor did.
#[test]
fn crashes_of_a_task() {
    let state = job_state::decode(&from_hex(JOB_WITH_CRASHES)).expect("a job's state");
    let certain = |evidence, ms, worker: &str| CrashRecord {
        evidence,
        max_run_time: Some(millis(ms)),
        certainty: Certainty::Certain,
        worker: Some(worker.into()),
    };
    let unconfirmed =
        CrashRecord { worker: Some("w-2".into()), ..CrashRecord::possible(Evidence::Unconfirmed, None) };
    let crashes = [
        (1, certain(Evidence::LikelyCause, 40, "w-1@1700000000000")),
        (2, unconfirmed),
        (4, certain(Evidence::LikelyCause, 0, "w-3@1700000000000")),
        (5, CrashRecord::possible(Evidence::Bystander, Some(millis(900)))),
    ];
    let crashes = CrashHistory(crashes.into());
    let given_up = TaskRecord { latest_attempt: 5, crashes, given_up: true, ..TaskRecord::default() };
    let expected = JobRecord {
        started: true,
        rounds: vec![vec![vec![TaskRecord::default(), given_up]]],
        ..JobRecord::default()
    };
    assert_eq!(to_hex(&job_state::encode(&expected)), JOB_WITH_CRASHES);
    assert_eq!(state.rounds, expected.rounds);
}

/// Crashes of a version that stored neither certainty nor worker, which must not count as certain.
#[test]
fn crashes_of_former_version() {
    let earlier = job_state::decode(text(EARLIER_JOBS, "state").as_bytes()).expect("a job's state");
    for state in [job_state_of("00000000000000ab"), earlier] {
        let crashes = &state.rounds[0][0][4].crashes;
        assert_eq!((crashes.count(), crashes.certain_count()), (3, 0));
        assert!(crashes.0.values().all(|crash| crash.worker.is_none()), "{crashes:?}");
    }
}

/// One text of a file that holds nothing else.
fn whole(file: &str) -> &str {
    file.strip_suffix('\n').expect("a line")
}

fn from_json<T: DeserializeOwned>(json: &str) -> T {
    serde_json::from_str(json).expect("it is read")
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it is written")
}

/// Whether a text is read and written back unchanged; returns what was read.
fn read_back<T: DeserializeOwned + Serialize>(json: &str) -> T {
    let value: T = from_json(json);
    assert_eq!(to_json(&value), json);
    value
}

/// Processes of another version fold the log to the same state: a record whose kind or field has another
/// name is taken for one of an unknown kind.
#[test]
fn log_envelope() {
    let env: Envelope = read_back(whole(LOG_ENVELOPE));
    assert_eq!(
        (env.format_version, env.sender.as_str(), env.seq, env.written_at),
        (1, "entry-1#1", 12, 1_764_640_000_123)
    );
    assert_eq!(env.records.len(), 34);
    let known = env.records.iter().position(|r| matches!(r, LogRecord::Unknown(_)));
    assert_eq!(known, Some(33), "only the last record is of an unknown kind");
    let LogRecord::Apply { change_id: id, base, author, file } = &env.records[0] else {
        panic!("another record")
    };
    assert_eq!((id.as_str(), *base, author.as_str()), ("c-1", 4, "ann"));
    check_fleet(file);
    let LogRecord::Take { role, holder, term, seen_renewals } = &env.records[1] else {
        panic!("another record")
    };
    assert_eq!((*role, holder.as_str(), *term, *seen_renewals), (Role::Planner, "entry-1#1", 5, 6));
    assert!(matches!(env.records[2], LogRecord::Renew { role: Role::Checkpointer, term: 7 }));
    assert!(matches!(env.records[3], LogRecord::GiveUp { role: Role::Planner, term: 8 }));
    check_host_records(&env.records[5..18]);
    let LogRecord::Claim { digest, last_moment, deferred, .. } = &env.records[22] else {
        panic!("another record")
    };
    let deferred = deferred.as_ref().expect("a deferred request");
    assert_eq!((*digest, *last_moment, deferred.repeatable), (15, 16, true));
    assert_eq!((deferred.method.as_str(), deferred.path.as_str()), ("POST", "/d?x=1"));
    let LogRecord::Finish { outcome, .. } = &env.records[24] else { panic!("another record") };
    assert_eq!(*outcome, AttemptOutcome::Answered { status: 200, body: Some("b2s=".to_string()) });
}

/// Records of one host, a record for each change.
fn check_host_records(records: &[LogRecord]) {
    let changes = records.iter().map(|r| match r {
        LogRecord::Host { term: 10, generation: 11, change, .. } => change,
        other => panic!("{other:?}"),
    });
    let changes: Vec<&HostChange> = changes.collect();
    assert!(matches!(changes[0], HostChange::Seen { cpus: 16, memory_gib: 64, accelerators: 2, .. }));
    assert_eq!(
        (changes[1], changes[2]),
        (&HostChange::Health { up: true }, &HostChange::Foreign { foreign: true })
    );
    let moved = DrainReason::Move { to: "batch".to_string() };
    assert_eq!(*changes[4], HostChange::Drain { reason: moved });
    let maintained = DrainReason::Maintain { name: "kernel".to_string() };
    assert_eq!(*changes[5], HostChange::Drain { reason: maintained });
    assert_eq!(*changes[6], HostChange::Drain { reason: DrainReason::Release });
    assert_eq!(
        (changes[7], changes[8], changes[9]),
        (&HostChange::Drained, &HostChange::Undrain, &HostChange::Flip)
    );
    assert_eq!(*changes[10], HostChange::Reboot { boot: "b-1".to_string() });
    assert_eq!((changes[11], changes[12]), (&HostChange::Return, &HostChange::Forget));
}

/// A process that starts takes a state over that another version has written.
#[test]
fn fold_state() {
    let text = whole(FOLD_STATE);
    let state = State::from_text(text).expect("a state");
    assert_eq!(state.text(), text);
    let file = &state.files["shop"];
    assert_eq!((file.version, file.offset, file.change_id.as_str(), file.digest), (3, 60, "c-1", 61));
    check_fleet(&file.file);
    let lease = &state.leases[&Role::Checkpointer];
    assert_eq!((&lease.holder, lease.term, lease.renewals), (&None, 7, 8));
    let host = &state.hosts["h-6"];
    assert_eq!((host.generation, host.changed_at_offset, host.changed_at), (106, 206, 306));
    assert_eq!((host.pool_generation, host.action_generation), (406, 506));
    let rebooting = HostPhase::Rebooting { name: "kernel".to_string(), boot: "b-1".to_string() };
    assert_eq!((&host.phase, host.maintained.len()), (&rebooting, 1));
    assert!(matches!(state.hosts["h-4"].phase, HostPhase::Drained(DrainReason::Release)));
    let key = &state.keys["order-1"];
    assert_eq!((key.digest, key.last_moment, key.attempts), (601, 1_764_640_000_001, 3));
    assert_eq!(key.state, KeyState::Running { holder: "entry-1#1".to_string() });
    let job = &state.jobs["report-3"];
    assert_eq!((&job.phase, job.token, job.changed_at), (&JobPhase::Failed, 63, 64));
    assert_eq!((job.failures, job.losses, state.jobs["report-0"].losses), (1, 3, 0));
    assert_eq!((state.unknown_records, state.host_moves, state.instance_removals), (66, 67, 68));
    assert_eq!((state.next_offset, state.roster_generation), (70, 9));
}

/// The checkpoint of a state has another digest, or can't be put together.
#[test]
fn fold_checkpoint() {
    let mut state = State::from_text(whole(FOLD_STATE)).expect("a state");
    let holder = "entry-1#1".to_string();
    let take =
        LogRecord::Take { role: Role::Checkpointer, holder: holder.clone(), term: 8, seen_renewals: 8 };
    let records = vec![take, LogRecord::Mark { term: 8 }];
    let env = Envelope {
        format_version: FORMAT_VERSION,
        sender: holder,
        seq: 66,
        written_at: 1_764_640_000_500,
        records,
    };
    assert_eq!(state.fold(70, &env), [Ok(()), Ok(())]);
    let written: Vec<String> = state.checkpoint().iter().map(to_json).collect();
    assert_eq!(written, [whole(FOLD_CHECKPOINT)]);
    let read = CheckpointAssembler::default().add(&read_back(whole(FOLD_CHECKPOINT)));
    assert_eq!(read.expect("the one part is the whole state").text(), state.text());
}

/// The path of a file that is read by its path.
fn path(name: &str) -> String {
    format!("{}/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// A settings file of an entry process that no longer reads, or of which a field is left out.
#[test]
fn entry_settings() {
    let name = "tests/testsuite/stored_formats/entry_settings.json";
    let s = Settings::read(&path(name)).expect("good settings");
    assert_eq!(to_json(&s), whole(ENTRY_SETTINGS));
    assert_eq!((s.name.as_str(), s.data_centre.as_str()), ("entry-1", "north"));
    let ports = [s.callers, s.operators, s.peers, s.platform].map(|a| a.port());
    assert_eq!((ports, s.seeds.len()), ([8001, 8002, 8003, 8004], 2));
    assert_eq!(
        (s.operators_token_file.as_str(), s.peers_token_file.as_str()),
        ("operators.token", "peers.token")
    );
    assert_eq!((s.balancer_lag, s.stop_limit), (millis(4_500), millis(61_000)));
    assert_eq!((s.checkpoint_every, s.appends_per_second), (millis(62_500), 91));
}

/// Likewise of a process that runs jobs; every value of the policy differs from its default.
/// Settings and models of versions before seeds and newer policies are read, and what uses neither is
/// written so that these versions can read it.
#[test]
fn earlier_settings() {
    let settings: JobSettings = from_json(whole(EARLIER_JOB_SETTINGS));
    assert_eq!(to_json(&settings), whole(EARLIER_JOB_SETTINGS));
    assert_eq!((settings.memory_mb, settings.max_fds), (260, 4096));
    let spec: model::ModelSpec = from_json(whole(EARLIER_MODEL_FILE));
    assert_eq!(to_json(&spec), whole(EARLIER_MODEL_FILE));
}

#[test]
fn job_settings() {
    let s =
        JobSettings::read(&path("tests/testsuite/stored_formats/job_settings.json")).expect("good settings");
    assert_eq!(to_json(&s), whole(JOB_SETTINGS));
    let ports = [s.callers, s.readiness, s.peers, s.metrics].map(|a| a.port());
    assert_eq!((ports, s.store_partitions), ([8011, 8012, 8013, 8014], 3));
    assert_eq!((s.store.as_str(), s.hosts.as_str()), ("10.0.0.2:9001", "10.0.0.2:9002"));
    assert_eq!(s.seed_listener.map(|a| a.port()), Some(8015));
    assert_eq!(s.seeds().collect::<Vec<_>>(), ["10.0.0.3:8015", "10.0.0.4:8015"]);
    assert_eq!((s.adviser(), s.cores, s.link_mbps), (Some("10.0.0.2:9003"), 0.125, 20.5));
    assert_eq!((s.memory_mb, s.max_fds), (270, 4097));
    assert_eq!((s.max_lease_ms, s.host_handover_ms, s.catch_up_within_ms), (10_001, 3_002, 3_003));
    assert_eq!((s.host_orders_per_s, s.round_lead_ms), (65.5, 104));
    assert_eq!((s.ended_job_retention_s, s.stop_timeout_s), (120.5, 6.25));
    let p = &s.policy;
    assert_eq!((p.order.min_samples, p.order.share_order), (9, ShareOrder::Excess));
    assert_eq!((p.placement.max_misses, p.need.surge_min_jobs, p.pools.margin), (9, 4, 0.01875));
    assert_eq!((p.waves.lead_time, p.health.shun_one_of), (millis(4_007), 4));
    assert_eq!(
        (p.crashes.suspect_after_crashes, p.pace.step_percent, p.calls.write_for_others),
        (4, 16, false)
    );
    assert_eq!((p.advice.helpers, p.relays.max_workers), (6, 101));
    assert_eq!((p.handover.through_peers, p.handover.decides_until_answered), (true, true));
    assert_eq!(p.handover.late_after, millis(251));
    for (name, order) in [("plain", ShareOrder::Plain), ("dominant", ShareOrder::Dominant)] {
        let other = whole(JOB_SETTINGS).replace("\"excess\"", &format!("\"{name}\""));
        assert_eq!(read_back::<JobSettings>(&other).policy.order.share_order, order);
    }
}

fn check_fleet(file: &FleetFile) {
    assert_eq!((file.objective.moves, file.objective.rollout, file.objective.buffer), (2, 3, 4));
    let (host, pool) = (&file.hosts[0], &file.pools[0]);
    assert_eq!((host.cpus, host.memory_gib, host.accelerators), (16, 64, 2));
    assert_eq!((pool.min_cpus, pool.min_memory_gib, pool.min_accelerators), (8, 32, 1));
    let service = &file.services[0];
    assert_eq!((service.instances, service.cpus, service.memory_gib), (3, 5, 9));
    assert_eq!((service.slots, service.window, service.connections), (7, 10, 65));
    let budget = &service.budget;
    assert_eq!((budget.min_available, budget.max_unavailable_per_data_centre), (2, Some(1)));
    assert!(budget.reserve_rack);
    let classes: Vec<PriorityClass> = service.routes.iter().map(|r| r.class).collect();
    assert_eq!(classes, PriorityClass::ALL);
    let m = &file.maintenance[0];
    assert_eq!((m.duration, m.start, m.deadline), (millis(600_000), 1_764_640_800_000, 1_764_900_000_000));
    assert_eq!(
        (m.blackout_windows[0].from, m.blackout_windows[0].to),
        (1_764_700_000_000, 1_764_710_000_000)
    );
    assert_eq!((m.max_parallel, m.paused), (4, true));
    assert_eq!((file.teams[0].quota_cpus, file.jobs[0].cpus, file.jobs[0].memory_gib), (40, 3, 6));
    assert_eq!((file.jobs[0].class, file.jobs[0].repeatable), (PriorityClass::Later, true));
}

fn example(name: &str) -> String {
    std::fs::read_to_string(path(&format!("examples/{name}.json"))).expect("an example")
}

fn json(text: &str) -> Value {
    from_json(text)
}

/// Whether all that an operator wrote stands in what was read; times may be worded otherwise.
fn holds(read: &Value, wrote: &Value) -> bool {
    match (read, wrote) {
        (Value::Object(read), Value::Object(wrote)) => {
            wrote.iter().all(|(field, value)| read.get(field).is_some_and(|r| holds(r, value)))
        }
        (Value::Array(read), Value::Array(wrote)) => {
            read.len() == wrote.len() && read.iter().zip(wrote).all(|(r, w)| holds(r, w))
        }
        (Value::String(read), Value::String(wrote)) => {
            let time = |text: &str| humantime::parse_duration(text).ok();
            read == wrote || time(read).is_some_and(|t| Some(t) == time(wrote))
        }
        (Value::Number(read), Value::Number(wrote)) => read.as_f64() == wrote.as_f64(),
        _ => read == wrote,
    }
}

/// Operators' fleet files that no longer read, or of which a field is left out.
#[test]
fn fleet_files() {
    let file = parse(FLEET_FILE).expect("a good file");
    assert_eq!(to_json(&file), whole(FLEET_FILE));
    check_fleet(&file);
    for name in ["factoring", "gridlark"] {
        let example = example(name);
        let file = parse(&example).expect("a good file");
        assert!(holds(&json(&to_json(&file)), &json(&example)), "{name}");
        assert_eq!(parse(&to_json(&file)).expect("what was written is read"), file);
    }
}

/// Files of the model that no longer read, or of which a field is left out.
#[test]
fn model_files() {
    let spec = model::read(&path("tests/testsuite/stored_formats/model_file.json")).expect("a good file");
    assert_eq!(to_json(&spec), whole(MODEL_FILE));
    let kinds: Vec<FaultKind> = spec.faults.iter().map(|f| f.kind).collect();
    assert_eq!(kinds[..2], [FaultKind::HolderDies, FaultKind::StoreSlow(2.5)]);
    assert_eq!(kinds[2..4], [FaultKind::MachinesDark(3), FaultKind::ReportsLate(0.25)]);
    assert_eq!(kinds[4..], [FaultKind::TasksCrash(0.125), FaultKind::Evacuated(1)]);
    assert_eq!(
        (spec.duration, spec.peak_duration, spec.peak_factor, spec.off_peak_factor),
        (millis(42_500), millis(8_250), 4.5, 0.0625)
    );
    for name in ["model-crashes", "model-overload", "model-turns"] {
        let spec = model::read(&path(&format!("examples/{name}.json"))).expect("a good file");
        assert!(holds(&json(&to_json(&spec)), &json(&example(name))), "{name}");
    }
}

/// Commands and entry hosts of two versions, and operators' tools that read what they say.
#[test]
fn operators_api() {
    let request: ApplyRequest = read_back(text(OPERATORS, "apply-request"));
    assert_eq!((request.id.as_str(), request.base, request.wait_ms), ("c-1", 4, 5_000));
    assert_eq!((request.author.as_str(), request.text.as_str()), ("ann", "{}"));
    let accepted: ApplyReply = read_back(text(OPERATORS, "apply-accepted"));
    assert_eq!(accepted, ApplyReply::Accepted { version: 5, offset: 6, behind: vec!["entry-2".to_string()] });
    let refused: ApplyReply = read_back(text(OPERATORS, "apply-refused"));
    let ApplyReply::Refused { code: Code::StaleBase, issues, .. } = refused else { panic!("{refused:?}") };
    assert_eq!((issues[0].code, issues[0].path.as_str()), (204, "pools[0].size"));
    let unknown: ApplyReply = read_back(text(OPERATORS, "apply-unknown"));
    assert_eq!(unknown, ApplyReply::Unknown { code: Code::ApplyUnknown });
    let status: Status = read_back(text(OPERATORS, "status"));
    assert!(status.ready && status.log_up && status.entries[0].on_roster);
    assert_eq!((status.next, status.entries[0].next, status.files[0].offset), (70, 69, 60));
    assert_eq!((status.keys, status.open_deferred, status.unknown_records), (11, 12, 13));
    assert_eq!((status.invariants_broken, status.host_moves, status.instance_moves), (14, 15, 16));
    let pool = &status.hosts[0];
    assert_eq!(
        (pool.active, &pool.away[0], &pool.down[0], &pool.foreign[0]),
        (4, &"h-1".into(), &"h-2".into(), &"h-3".into())
    );
}

/// The names of codes, which answers to operators carry.
#[test]
fn code_names() {
    let written: Vec<String> = Code::ALL.iter().map(|c| format!("{} {}", c.number(), to_json(c))).collect();
    assert_eq!(written, CODES.lines().collect::<Vec<_>>());
    for (code, (_, json)) in Code::ALL.iter().zip(lines(CODES)) {
        assert_eq!(from_json::<Code>(json), *code);
    }
    assert_eq!(
        read_back::<[ExecutionStatus; 3]>(r#"["run","not-run","unknown"]"#),
        [ExecutionStatus::Run, ExecutionStatus::NotRun, ExecutionStatus::Unknown]
    );
}

/// Where waves and budgets stand, which is within what `status` tells.
#[test]
fn waves_and_budgets() {
    let at = |day: u32| format!("2026-12-0{day}T02:00:00Z");
    let states = [
        WaveState::Finished,
        WaveState::Paused,
        WaveState::NotYet { start: at(2) },
        WaveState::Deadline { deadline: at(3) },
        WaveState::KeepClear { from: at(4) },
        WaveState::Canary { host: "h-1".to_string() },
        WaveState::Unwell { host: "h-2".to_string() },
        WaveState::Budget { service: "shop".to_string() },
        WaveState::MaxParallel,
        WaveState::HostsMissing { host: "h-3".to_string() },
        WaveState::Running,
    ];
    let wave = |(n, state)| WaveStatus {
        name: format!("wave-{n}"),
        done: 1,
        away: vec!["h-4".to_string()],
        remaining: 2,
        state,
    };
    let waves: Vec<WaveStatus> = states.into_iter().enumerate().map(wave).collect();
    assert_eq!(to_json(&waves), text(OPERATORS, "waves"));
    let budget = BudgetStatus { service: "shop".to_string(), available: 3, min_available: 2, slack: -1 };
    assert_eq!(to_json(&[budget]), text(OPERATORS, "budgets"));
}

/// Calls to the platform and its answers.
#[test]
fn platform_api() {
    let read: ReadReply = read_back(text(PLATFORM, "read"));
    assert_eq!((read.first, read.head, read.records[0].offset), (3, 9, 4));
    let actions: Vec<HostAction> = read_back(text(PLATFORM, "acts"));
    let (host, task) = ("h-1".to_string(), "shop/1".to_string());
    assert_eq!(actions[0], HostAction::SetPool { host: host.clone(), pool: "web".to_string(), token: 1 });
    assert_eq!(actions[1], HostAction::Drain { host: host.clone(), token: 2 });
    assert_eq!(actions[2], HostAction::Undrain { host: host.clone(), token: 3 });
    assert_eq!(actions[3], HostAction::Reboot { host: host.clone(), boot: "b-1".to_string(), token: 4 });
    assert_eq!(actions[4], HostAction::Start { host: host.clone(), task: task.clone(), token: 5 });
    assert_eq!(actions[5], HostAction::Stop { host, task, token: 6 });
    let observed: ObservedFleet = read_back(text(PLATFORM, "hosts"));
    let states = ["h-1", "h-2", "h-3"].map(|h| observed.hosts[h].state);
    assert_eq!(states, [HostState::Live, HostState::Leaving, HostState::Down]);
    let host = &observed.hosts["h-1"];
    assert_eq!((host.draining, host.drained, host.token), (true, true, 8));
    assert_eq!(
        (host.tasks[0].ended, host.tasks[1].ended, host.tasks[1].used_millicores),
        (None, Some(true), 1_500)
    );
}

/// Metrics of the model as `--json` prints them.
#[test]
fn model_comparison() {
    let figures = |n: f64| RunMetrics {
        jobs: n,
        on_time_share: n + 0.5,
        worst_windows_share: n + 1.0,
        worst_windows_std_dev: n + 1.5,
        hosts: n + 2.0,
        busy_hosts: n + 2.5,
        min_hosts: n + 3.0,
        forecast_hosts: n + 3.5,
        host_moves: n + 4.0,
        worker_crashes: n + 4.5,
        late_share: n + 5.0,
        refused_share: n + 5.5,
    };
    let gain = Some(Gain { on_time_share: 0.25, standard_error: 0.125 });
    let variant =
        Variant { name: "full=0.5".to_string(), mean: figures(1.0), gain, runs: vec![figures(2.0)] };
    let told = Comparison { first_seed: 3, seeds: 2, variants: vec![variant] };
    assert_eq!(to_json(&told), whole(MODEL_COMPARISON));
}

/// A store of one topic. It runs on the clock of the test; nothing else answers.
struct OneTopic {
    topic: Topic,
    records: Mutex<Vec<KeyedRecord>>,
}

impl OneTopic {
    fn new(topic: Topic, first: KeyedRecord) -> Arc<OneTopic> {
        Arc::new(OneTopic { topic, records: Mutex::new(vec![first]) })
    }

    /// The first record that a process appends: its key and its text.
    async fn appended(&self) -> (String, String) {
        let appended = async {
            while self.records.lock().len() == 1 {
                tokio::time::sleep(millis(100)).await;
            }
        };
        tokio::time::timeout(millis(60_000), appended).await.expect("a record is appended");
        let KeyedRecord { key, value } = self.records.lock()[1].clone();
        (key, String::from_utf8(value.expect("a value").to_vec()).expect("JSON"))
    }

    fn read(&self, topic: Topic, from: Offset) -> Result<Tail, StoreError> {
        let records = self.records.lock();
        let next = records.len() as Offset;
        let read = records.iter().skip(from as usize).cloned().collect();
        if topic == self.topic { Ok(Tail { records: read, next }) } else { Err(not_done()) }
    }
}

fn not_done() -> StoreError {
    StoreError::NotDone { text: "nothing but one topic is here".to_string() }
}

fn no_worker<T: Send + 'static>() -> BoxFuture<'static, Result<T, WorkerError>> {
    async { Err(WorkerError::NotSent) }.boxed()
}

impl JobPlatform for OneTopic {
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        _: Guard,
    ) -> BoxFuture<'_, Result<Offset, StoreError>> {
        let appended = self.read(topic, 0).map(|tail| tail.next);
        if appended.is_ok() {
            self.records.lock().extend(records);
        }
        async { appended }.boxed()
    }

    fn latest(&self, topic: Topic) -> BoxFuture<'_, Result<LatestRecords, StoreError>> {
        let tail = self.read(topic, 0);
        async { tail.map(|t| LatestRecords { records: t.records, next: t.next }) }.boxed()
    }

    fn tail(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Tail, StoreError>> {
        async move {
            tokio::time::sleep(wait).await;
            self.read(topic, from)
        }
        .boxed()
    }

    fn parse_operator_record(&self, _: &KeyedRecord) -> Result<Option<OperatorRecord>, String> {
        Ok(None)
    }

    fn parse_worker_info(&self, _: &KeyedRecord) -> Result<WorkerInfo, String> {
        Err("no workers here".to_string())
    }

    fn wave_status_record(&self, number: u64, _: bool) -> KeyedRecord {
        deletion_record(number.to_string())
    }

    fn poll_worker<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        _: u64,
        _: Option<WorkerClock>,
        _: Duration,
    ) -> BoxFuture<'a, Result<Listing, WorkerError>> {
        no_worker()
    }

    fn start_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        _: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        no_worker()
    }

    fn stop_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        _: TaskId,
        _: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        no_worker()
    }

    fn throttle_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        _: TaskId,
        _: u32,
        _: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        no_worker()
    }

    fn advise<'a>(&'a self, _: StepId, _: &'a [WorkerId], _: Duration) -> BoxFuture<'a, AdviceReply> {
        async { AdviceReply::NotSent }.boxed()
    }

    fn list_hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>> {
        async { Err(not_done()) }.boxed()
    }

    fn maintain_host(&self, _: &str, _: Term, _: HostId, _: u64) -> BoxFuture<'_, HostReply> {
        async { HostReply::Later }.boxed()
    }

    fn move_host(&self, _: &str, _: Term, _: HostId, _: ServiceId) -> BoxFuture<'_, HostReply> {
        async { HostReply::Later }.boxed()
    }
}

/// A process that follows the lease in a store whose newest record is this one.
fn lease_follower(text: &str) -> (Arc<OneTopic>, Arc<Node>) {
    let store = OneTopic::new(Topic::Lease, keyed(("holder", text)));
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    node.configure(Arc::new(SchedConfig { version: 1, ..SchedConfig::default() }), "config".into());
    node.operator_state.set_evacuations(Evacuations::default());
    node.operator_state.note_read_success();
    tokio::spawn(lease::run(node.clone()));
    (store, node)
}

/// Who holds the lease, as a process takes it from this record.
async fn holder_read(text: &str) -> Arc<Holder> {
    let (_, node) = lease_follower(text);
    tokio::time::sleep(millis(100)).await;
    node.holder.load_full().expect("the holder is known")
}

/// A process does not see that the lease is held by one of another version, or claims it in another form.
#[tokio::test(start_paused = true)]
async fn lease_record() {
    let held = holder_read(text(LEASE_AND_PEERS, "lease-held")).await;
    assert_eq!((held.id.as_str(), held.peer_address.as_str()), ("a1", "10.0.0.3:7001"));
    assert_eq!((held.term, held.released), (7, false));
    let earlier = holder_read(text(LEASE_AND_PEERS, "lease-of-earlier-version")).await;
    assert_eq!((earlier.term, earlier.released), (8, false));
    let before = holder_read(text(LEASE_AND_PEERS, "lease-claimed-by-version-before")).await;
    assert_eq!((before.term, before.released), (2, false));
    let without_others = holder_read(text(LEASE_AND_PEERS, "lease-claimed-without-others")).await;
    assert_eq!((without_others.term, without_others.released), (2, false));
    for name in ["lease-claimed-without-queues", "lease-bound-without-queues"] {
        let without_queues = holder_read(text(LEASE_AND_PEERS, name)).await;
        assert_eq!((without_queues.term, without_queues.knows_queues), (2, false));
    }
    let claimed = text(LEASE_AND_PEERS, "lease-claimed");
    assert!(holder_read(claimed).await.knows_queues);
    let released = text(LEASE_AND_PEERS, "lease-released");
    assert!(holder_read(released).await.released);
    assert!(holder_read(text(LEASE_AND_PEERS, "lease-released-after-end")).await.released);
    let (store, node) = lease_follower(released);
    let (key, claimed) = store.appended().await;
    assert_eq!(claimed.replace(&node.id, "ID"), text(LEASE_AND_PEERS, "lease-claimed"));
    assert_eq!(key, "holder");
    let (store, node) = lease_follower(released);
    node.note_bound_in("boot/net:[1]".to_string());
    let (_, claimed) = store.appended().await;
    assert_eq!(claimed.replace(&node.id, "ID"), text(LEASE_AND_PEERS, "lease-bound"));
}

/// Processes of two versions do not find each other.
#[tokio::test(start_paused = true)]
async fn peer_record() {
    let other = text(LEASE_AND_PEERS, "peer-read");
    let store = OneTopic::new(Topic::Peers, keyed(("entry-7", other)));
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    tokio::spawn(peers::run(node.clone()));
    let (key, written) = store.appended().await;
    assert_eq!(node.peers.address_of("entry-7").as_deref(), Some("10.0.0.7:7001"));
    let entries = node.peers.changed_relay_entries(&mut 0).expect("they are known");
    assert_eq!((entries[0].name.as_str(), entries[0].data_centre.as_str()), ("entry-7", "south"));
    assert_eq!((entries.len(), entries[0].holder_capacity), (1, 1_200));
    let at = json(&written)["at"].as_u64().expect("when it was written");
    assert_eq!(written.replace(&at.to_string(), "AT"), text(LEASE_AND_PEERS, "peer-written"));
    assert_eq!(key, "entry-1");
}

fn host(name: &str, state: JobHostState) -> Host {
    Host {
        name: name.to_string(),
        pool: "till".to_string(),
        state,
        data_centre: "north".to_string(),
        labels: Vec::new(),
        capacity: Resources::default(),
        worker: None,
    }
}

/// Operators' tools that read `status --jobs --json`.
#[test]
fn jobs_status() {
    let away = "127.0.0.1:1".to_string();
    let platform = PlatformClient::new(Addresses { store: away.clone(), machines: away, adviser: None });
    let records = |file| lines(file).into_iter().map(keyed).collect();
    let states = [JobHostState::Up, JobHostState::Moving, JobHostState::Upkeep, JobHostState::Down];
    let mut seen = job_status::StatusInputs {
        read_at: 1_700_000_100_000,
        lease: Some(keyed(("holder", text(LEASE_AND_PEERS, "lease-held")))),
        renewed: true,
        operators: records(OPERATOR_RECORDS),
        inbox: records(INBOX),
        state: records(SCHEDULER_STATE),
        workers: vec![keyed(("w-9", "\"no worker\""))],
        published: vec![platform.wave_status_record(12, true)],
        hosts: Ok(states.map(|state| host("m-1", state)).into()),
    };
    assert_eq!(to_json(&aggregate_status(&platform, &seen)), text(JOBS_SHOWN, "status"));
    let open = JobRecord { outcome: None, ..job_state_of("00000000000000ab") };
    let spec = inbox_spec("00000000000000ab-828a5f41ad4304c3");
    seen.inbox.extend([1, 2, 3, 4, 5, 6].map(|job| job_record(job, &spec)));
    seen.state
        .extend([4, 5].map(|job| state_record(&Record::Job(JobKey::of_number(job), JobRecord::default()))));
    seen.state.push(state_record(&Record::Job(JobKey::of_number(6), open)));
    seen.hosts = Err("no answer: late".to_string());
    seen.lease = Some(keyed(("holder", text(LEASE_AND_PEERS, "lease-released"))));
    assert_eq!(to_json(&aggregate_status(&platform, &seen)), text(JOBS_SHOWN, "status-with-open-jobs"));
}

/// Operators' tools that read `explain --json` of a job.
#[test]
fn job_account() {
    let log = HostLog { host: "entry-1".to_string(), text: JOB_LOG.to_string() };
    let told = job_history(0xa1, &[log]).expect("there are lines about it");
    assert_eq!(to_json(&told), text(JOBS_SHOWN, "account"));
}

/// What `{:?}` makes of some values, one after the other.
fn debug<T: Debug>(values: &[T]) -> Vec<String> {
    values.iter().map(|v| format!("{v:?}")).collect()
}

/// Status texts that are made with `{:?}` and change with the name of a variant.
#[test]
fn debug_names_in_status() {
    assert_eq!(debug(&[Liveness::Alive, Liveness::Suspect, Liveness::Dead]), ["Alive", "Suspect", "Dead"]);
    assert_eq!(debug(&Role::ALL), ["Planner", "Checkpointer"]);
    let states = [
        WaveState::Deadline { deadline: "d".to_string() },
        WaveState::Unwell { host: "h".to_string() },
        WaveState::Budget { service: "s".to_string() },
        WaveState::HostsMissing { host: "h".to_string() },
    ];
    let written = [
        r#"Deadline { deadline: "d" }"#,
        r#"Unwell { host: "h" }"#,
        r#"Budget { service: "s" }"#,
        r#"HostsMissing { host: "h" }"#,
    ];
    assert_eq!(debug(&states), written);
    let rejections = [
        Rejection::Term,
        Rejection::Generation,
        Rejection::Phase,
        Rejection::Missing,
        Rejection::Budget("s".to_string()),
    ];
    assert_eq!(debug(&rejections), ["Term", "Generation", "Phase", "Missing", r#"Budget("s")"#]);
    let rejections = [Rejection::KeyTaken, Rejection::Expired, Rejection::Unknown, Rejection::Repeated];
    assert_eq!(debug(&rejections), ["KeyTaken", "Expired", "Unknown", "Repeated"]);
    let stale = Rejection::Stale { version: 1, author: "a".to_string() };
    let claimed = Rejection::Claimed { what: "w".to_string(), file: "f".to_string() };
    let written = [r#"Stale { version: 1, author: "a" }"#, r#"Claimed { what: "w", file: "f" }"#];
    assert_eq!(debug(&[stale, claimed]), written);
}

/// Values of log lines that are made with `{:?}`; `explain` and `late` read some of them.
#[test]
fn debug_names_in_logs() {
    let outcomes = [Outcome::Completed, Outcome::Failed, Outcome::Canceled];
    assert_eq!(debug(&outcomes), ["Completed", "Failed", "Canceled"]);
    assert_eq!(debug(&[Stored::Yes, Stored::No, Stored::Unknown]), ["Yes", "No", "Unknown"]);
    let kinds = [EndKind::Done, EndKind::Failed, EndKind::Stopped];
    assert_eq!(debug(&kinds), ["Done", "Failed", "Stopped"]);
    let kinds = [EndKind::Lapsed, EndKind::Broken, EndKind::Alone];
    assert_eq!(debug(&kinds), ["Lapsed", "Broken", "Alone"]);
    let replies = [StartReply::Taken, StartReply::Refused, StartReply::Ticket, StartReply::Unwell];
    assert_eq!(debug(&replies), ["Taken", "Refused", "Ticket", "Unwell"]);
    let replies = [StartReply::Unsure, StartReply::NoAnswer, StartReply::NotSent, StartReply::Deposed];
    assert_eq!(debug(&replies), ["Unsure", "NoAnswer", "NotSent", "Deposed"]);
    let replies = [HostReply::Done, HostReply::Busy, HostReply::Impossible];
    assert_eq!(debug(&replies), ["Done", "Busy", "Impossible"]);
    let replies = [HostReply::Fenced, HostReply::NoAnswer, HostReply::Later];
    assert_eq!(debug(&replies), ["Fenced", "NoAnswer", "Later"]);
    let states = [JobHostState::Up, JobHostState::Moving, JobHostState::Upkeep, JobHostState::Down];
    assert_eq!(debug(&states), ["Up", "Moving", "Upkeep", "Down"]);
    let errors = [WorkerError::Fenced, WorkerError::Refused, WorkerError::Ticket, WorkerError::Unwell];
    assert_eq!(debug(&errors), ["Fenced", "Refused", "Ticket", "Unwell"]);
    let errors = [WorkerError::OtherLife, WorkerError::Restarted(5), WorkerError::NotSent];
    assert_eq!(debug(&errors), ["OtherLife", "Restarted(5)", "NotSent"]);
    assert_eq!(debug(&[WorkerError::NoAnswer]), ["NoAnswer"]);
    let topics = [Topic::Lease, Topic::Inbox(3), Topic::State, Topic::Operators];
    assert_eq!(debug(&topics), ["Lease", "Inbox(3)", "State", "Operators"]);
    assert_eq!(debug(&[Topic::Workers, Topic::Status, Topic::Peers]), ["Workers", "Status", "Peers"]);
    assert_eq!(debug(&[CallError::NotSent, CallError::NoAnswer]), ["NotSent", "NoAnswer"]);
}

/// Decisions of the planner, which entry hosts log with `{:?}`.
#[test]
fn debug_names_of_decisions() {
    let env: Envelope = from_json(whole(LOG_ENVELOPE));
    let change = |r: &LogRecord| match r {
        LogRecord::Host { change, .. } => Some(format!("{change:?}")),
        LogRecord::Instance { change, .. } => Some(format!("{change:?}")),
        LogRecord::Job { change, .. } => Some(format!("{change:?}")),
        _ => None,
    };
    let changes: Vec<String> = env.records.iter().filter_map(change).collect();
    let actions: Vec<HostAction> = from_json(text(PLATFORM, "acts"));
    let written: Vec<String> = changes.into_iter().chain(debug(&actions)).collect();
    assert_eq!(written, DECISIONS.lines().collect::<Vec<_>>());
}
