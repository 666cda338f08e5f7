//! Calls to the store that an entry makes for the lease holder, as messages.
//!
//! The calling side is [`super::helped_store`]. An entry carries out such a call only while it does not run the
//! scheduler itself, so that a call is never passed on.

use std::time::Duration;

use workswood_peers::{
    CallError, Deletion, GuardedAppend, Latest, Msg, StoreCallReply, StoreCallRequest, StoreOperation,
    StoreOutcome, StoreRecord, StoreTopic, TopicRead,
};
use workswood_platform::jobs::{Guard, KeyedRecord, LatestRecords, Partition, StoreError, Tail, Topic};

use super::node::Node;
use super::record::deletion_record;

/// Longest wait of a read for a peer.
pub(super) const MAX_READ_WAIT: Duration = Duration::from_millis(500);

/// What a call to the store returned: records if it was a read, and an offset.
pub(super) type StoreAnswer = Result<Tail, StoreError>;

/// A request to append records, if that may be done twice: they are guarded by a term, or delete keys of the
/// inbox.
pub(super) fn append_request(topic: Topic, records: &[KeyedRecord], guard: Guard) -> Option<Msg> {
    match (guard, topic) {
        (Guard::Term(term, number), Topic::Lease | Topic::State) => {
            let records = records.iter().map(record_to_wire).collect();
            request(topic, StoreOperation::Append(GuardedAppend { records, term, number }))
        }
        (Guard::None, Topic::Inbox(_)) if records.iter().all(|rec| rec.value.is_none()) => {
            let keys = records.iter().map(|rec| rec.key.clone()).collect();
            request(topic, StoreOperation::Delete(Deletion { keys }))
        }
        _ => None,
    }
}

/// A request to read records from an offset on.
pub(super) fn read_request(topic: Topic, from: u64, wait: Duration) -> Option<Msg> {
    request(topic, StoreOperation::Read(TopicRead { from, wait_ms: wait.as_millis() as u32 }))
}

/// A request to read the latest record of every key.
pub(super) fn latest_request(topic: Topic) -> Option<Msg> {
    request(topic, StoreOperation::Latest(Latest {}))
}

fn request(topic: Topic, operation: StoreOperation) -> Option<Msg> {
    let (topic, partition) = topic_to_wire(topic)?;
    let operation = Some(operation);
    Some(Msg::StoreCallRequest(StoreCallRequest { topic: topic as i32, partition, operation }))
}

/// Reads the reply of a peer.
pub(super) fn read_reply(reply: Result<Msg, CallError>) -> StoreAnswer {
    let reply = match reply {
        Ok(Msg::StoreCallReply(reply)) => reply,
        Err(CallError::NotSent) => return Err(not_done("no connection to the peer")),
        Ok(_) | Err(CallError::NoAnswer) => return Err(unknown("the peer did not answer")),
    };
    match StoreOutcome::try_from(reply.outcome).unwrap_or(StoreOutcome::Unknown) {
        StoreOutcome::Done => {
            let records = reply.records.into_iter().map(record_from_wire).collect();
            Ok(Tail { records, next: reply.offset })
        }
        StoreOutcome::NotDone => Err(not_done("the peer is refused too")),
        StoreOutcome::Rejected => Err(StoreError::Rejected { text: "as a peer was told".to_string() }),
        StoreOutcome::GuardFailed => Err(StoreError::GuardFailed),
        StoreOutcome::RecordsGone => Err(StoreError::RecordsGone),
        StoreOutcome::Unknown => Err(unknown("the store did not answer the peer")),
    }
}

pub(super) fn not_done(text: &str) -> StoreError {
    StoreError::NotDone { text: text.to_string() }
}

fn unknown(text: &str) -> StoreError {
    StoreError::Unknown { text: text.to_string() }
}

/// Carries out a call for the lease holder.
pub(super) async fn answer(node: &Node, request: StoreCallRequest) -> StoreCallReply {
    let res = match topic_from_wire(&request) {
        Some(topic) if node.scheduler.load().is_none() => carry_out(node, topic, request.operation).await,
        Some(_) | None => Err(not_done("not served")),
    };
    match &res {
        Ok(_) => node.metrics.store_calls_for_peers.inc(),
        Err(e) => {
            node.metrics.refused_store_calls.inc();
            log::warn!("event=help_failed what=store_call error=\"{e}\"");
        }
    }
    reply_to_wire(res)
}

async fn carry_out(node: &Node, topic: Topic, operation: Option<StoreOperation>) -> StoreAnswer {
    match operation {
        Some(StoreOperation::Append(append)) if matches!(topic, Topic::Lease | Topic::State) => {
            let records = append.records.into_iter().map(record_from_wire).collect();
            let guard = Guard::Term(append.term, append.number);
            let offset = node.platform.append(topic, records, guard).await?;
            Ok(Tail { records: Vec::new(), next: offset })
        }
        Some(StoreOperation::Delete(deletion)) if matches!(topic, Topic::Inbox(_)) => {
            let records = deletion.keys.into_iter().map(deletion_record).collect();
            let offset = node.platform.append(topic, records, Guard::None).await?;
            Ok(Tail { records: Vec::new(), next: offset })
        }
        Some(StoreOperation::Append(_) | StoreOperation::Delete(_)) => Err(not_done("not served")),
        Some(StoreOperation::Read(read)) => {
            let wait = Duration::from_millis(u64::from(read.wait_ms)).min(MAX_READ_WAIT);
            node.platform.tail(topic, read.from, wait).await
        }
        Some(StoreOperation::Latest(Latest {})) => {
            let LatestRecords { records, next } = node.platform.latest(topic).await?;
            Ok(Tail { records, next })
        }
        None => Err(not_done("unknown operation")),
    }
}

fn reply_to_wire(res: StoreAnswer) -> StoreCallReply {
    let (outcome, tail) = match res {
        Ok(tail) => (StoreOutcome::Done, tail),
        Err(StoreError::NotDone { .. }) => (StoreOutcome::NotDone, Tail::default()),
        Err(StoreError::Rejected { .. }) => (StoreOutcome::Rejected, Tail::default()),
        Err(StoreError::Unknown { .. }) => (StoreOutcome::Unknown, Tail::default()),
        Err(StoreError::GuardFailed) => (StoreOutcome::GuardFailed, Tail::default()),
        Err(StoreError::RecordsGone) => (StoreOutcome::RecordsGone, Tail::default()),
    };
    let records = tail.records.iter().map(record_to_wire).collect();
    StoreCallReply { outcome: outcome as i32, offset: tail.next, records }
}

fn record_to_wire(rec: &KeyedRecord) -> StoreRecord {
    StoreRecord { key: rec.key.clone(), value: rec.value.clone() }
}

fn record_from_wire(rec: StoreRecord) -> KeyedRecord {
    KeyedRecord { key: rec.key, value: rec.value }
}

/// The topic and its partition; `None` for topics that no peer calls for the holder.
fn topic_to_wire(topic: Topic) -> Option<(StoreTopic, u32)> {
    match topic {
        Topic::Lease => Some((StoreTopic::Lease, 0)),
        Topic::Inbox(partition) => Some((StoreTopic::Inbox, u32::from(partition))),
        Topic::State => Some((StoreTopic::State, 0)),
        Topic::Operators => Some((StoreTopic::Operators, 0)),
        Topic::Workers => Some((StoreTopic::Workers, 0)),
        Topic::Status | Topic::Peers => None,
    }
}

fn topic_from_wire(request: &StoreCallRequest) -> Option<Topic> {
    match StoreTopic::try_from(request.topic).ok()? {
        StoreTopic::None => None,
        StoreTopic::Lease => Some(Topic::Lease),
        StoreTopic::Inbox => Some(Topic::Inbox(Partition::try_from(request.partition).ok()?)),
        StoreTopic::State => Some(Topic::State),
        StoreTopic::Operators => Some(Topic::Operators),
        StoreTopic::Workers => Some(Topic::Workers),
    }
}
