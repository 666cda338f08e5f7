//! Writes jobs and cancellations into the store's inbox.
//!
//! The store carries out appends one after the other, so with one append per record a slow store could
//! not keep up with the jobs that arrive. Records that arrive while an append is in flight are therefore
//! queued and sent together in the next one. Further appends may be sent while one is late, so that an
//! append without a reply does not block the others. Each entry writes into one partition of the inbox,
//! which its name determines. A caller that retries at another entry may write the same job into another
//! partition, which has no further effect.
//!
//! The store may refuse this entry while it serves others. The records of an append that is refused or
//! late are therefore also sent through a peer. Until an append from here succeeds again, both are tried
//! at once.
//!
//! A record is reported as accepted once the store has acknowledged it, as refused only if no append with
//! it can have succeeded, and as unknown otherwise.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use workswood_adapter::size_in_append;
use workswood_callers::HeldBytes;
use workswood_core::code::Code;
use workswood_core::jobs::JobKey;
use workswood_liveness::AdaptiveTimeout;
use workswood_platform::jobs::{CopyOutcome, Guard, KeyedRecord, Partition, StoreError, Topic};
use xxhash_rust::xxh3::xxh3_64;

use super::node::Node;
use super::peer_requests;
use super::record::{InboxKey, InboxRecordKind};

/// Maximum number of appends in flight. The second and the third are sent only while others are late.
/// The store carries out the appends to a partition one after the other, so that more gain nothing while
/// it answers.
const MAX_CONCURRENT_APPENDS: usize = 3;
/// Maximum number of records in one append.
const MAX_APPEND_RECORDS: usize = 100;
/// Maximum number of queued records. More could not be stored before their callers time out.
const MAX_QUEUED_RECORDS: usize = 2000;
/// Number of refused appends after which a record is given up.
const MAX_REFUSALS: u32 = 3;
/// Delay after the store refused an append.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// An append is late after this multiple of the mean latency.
const LATE_APPEND_MULTIPLE: f64 = 4.0;
/// Lower bound of the time after which an append is late.
/// By then the HTTP client has sent the append again over a new connection.
const MIN_LATE_APPEND_DELAY: Duration = Duration::from_millis(250);
/// Maximum silence of the store at which appends are sent. A read that succeeds ends the silence.
const APPEND_MAX_STORE_SILENCE: Duration = Duration::from_millis(1700);
/// The store is asked whether it answers before an append, unless it has answered this recently.
const PROBE_AFTER: Duration = Duration::from_millis(300);
/// Interval between the reads with which it is asked, and the longest time that they take.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long after a failed append this entry refuses records of peers.
const RECENT_FAILURE_PERIOD: Duration = Duration::from_millis(1000);
/// Maximum number of inbox partitions in use. The lease holder reads each of them continuously.
/// That is about one call a second for each.
const MAX_PARTITIONS: Partition = 12;

/// Whether a record is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// The record is in the store.
    Yes,
    /// The record is not in the store, and will not be.
    No,
    /// The record may be in the store, or may be stored later.
    Unknown,
}

impl From<CopyOutcome> for Stored {
    fn from(outcome: CopyOutcome) -> Stored {
        match outcome {
            CopyOutcome::Done => Stored::Yes,
            CopyOutcome::NotDone => Stored::No,
            CopyOutcome::Unknown => Stored::Unknown,
        }
    }
}

impl From<Stored> for CopyOutcome {
    fn from(stored: Stored) -> CopyOutcome {
        match stored {
            Stored::Yes => CopyOutcome::Done,
            Stored::No => CopyOutcome::NotDone,
            Stored::Unknown => CopyOutcome::Unknown,
        }
    }
}

/// Stage of a record: it is queued, it has been sent to the store or only to a peer, or its caller timed
/// out before it was sent.
#[derive(Debug, Default)]
struct Stage(AtomicU8);

impl Stage {
    const QUEUED: u8 = 0;
    const SENT: u8 = 1;
    const ABANDONED: u8 = 2;
    const SENT_TO_PEER: u8 = 3;

    /// Moves a record from one stage to another; returns whether it was in the first one.
    fn transition(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    fn is(&self, stage: u8) -> bool {
        self.0.load(Ordering::Acquire) == stage
    }

    /// Marks the record as sent to the store; returns false if it was abandoned.
    fn mark_sent(&self) -> bool {
        self.transition(Self::QUEUED, Self::SENT)
            || self.transition(Self::SENT_TO_PEER, Self::SENT)
            || self.is(Self::SENT)
    }

    /// Marks the record as sent to a peer; returns false if it was abandoned.
    fn mark_sent_to_peer(&self) -> bool {
        self.transition(Self::QUEUED, Self::SENT_TO_PEER) || !self.is(Self::ABANDONED)
    }

    /// Marks the record as queued again, since the store has refused it.
    fn mark_refused(&self) {
        self.transition(Self::SENT, Self::QUEUED);
    }

    /// Marks the record as queued again, since all peers that it was sent to have refused it.
    fn mark_refused_by_peers(&self) {
        self.transition(Self::SENT_TO_PEER, Self::QUEUED);
    }

    /// Whether the caller timed out before the record was sent.
    fn is_abandoned(&self) -> bool {
        self.is(Self::ABANDONED)
    }

    /// Abandons the record; returns whether it had not been sent.
    fn abandon(&self) -> bool {
        self.transition(Self::QUEUED, Self::ABANDONED)
    }
}

/// A record that has yet to be stored.
struct QueuedRecord {
    rec: KeyedRecord,
    stage: Arc<Stage>,
    /// Number of appends with the record that were refused.
    refusals: u32,
    /// Maximum number of records in an append with it. The store may refuse an append for one of its records.
    max_batch: usize,
    /// What is known of the appends with the record that were sent, from here and by peers.
    outcome: CopyOutcome,
    /// Whether a peer sent the record. It is not sent on to other peers.
    for_peer: bool,
    /// Whether the peers that were asked have refused the record. It is not sent to peers again: its
    /// caller may retry at another entry.
    refused_by_peers: bool,
    reply: oneshot::Sender<Stored>,
    /// Memory of the caller's request, which is held until the record is stored or given up.
    _held: HeldBytes,
}

/// Writes records into the inbox: the queue of those that have yet to be stored.
pub struct InboxWriter {
    tx: mpsc::Sender<QueuedRecord>,
    rx: Mutex<Option<mpsc::Receiver<QueuedRecord>>>,
    /// Latency of appends, from which follows when an append is late.
    append_latency: AdaptiveTimeout,
    /// Number of appends from here that are in flight.
    appends_in_flight: AtomicUsize,
    /// Whether the last append from here failed or was late.
    last_append_failed: AtomicBool,
    /// When an append from here last failed or was late, in milliseconds since the process started.
    failed_at_ms: AtomicU64,
}

impl Default for InboxWriter {
    fn default() -> InboxWriter {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_RECORDS);
        InboxWriter {
            tx,
            rx: Mutex::new(Some(rx)),
            append_latency: AdaptiveTimeout::new(LATE_APPEND_MULTIPLE, MIN_LATE_APPEND_DELAY),
            appends_in_flight: AtomicUsize::new(0),
            last_append_failed: AtomicBool::new(false),
            failed_at_ms: AtomicU64::new(0),
        }
    }
}

/// The inbox partitions in use, given the number of partitions of the store's topics.
pub fn partitions(store_partitions: Partition) -> impl Iterator<Item = Partition> + Clone {
    0..store_partitions.clamp(1, MAX_PARTITIONS)
}

/// The partition that an entry writes into.
pub fn partition_of(entry: &str, store_partitions: Partition) -> Partition {
    let count = u64::from(store_partitions.clamp(1, MAX_PARTITIONS));
    (xxh3_64(entry.as_bytes()) % count) as Partition
}

/// Which partitions of the inbox hold each key, as a bit set of partition numbers. It tells which records
/// to delete once a job has finished or is forgotten.
#[derive(Debug, Default)]
pub struct InboxIndex(BTreeMap<InboxKey, u64>);

impl InboxIndex {
    /// Records that a partition holds a key.
    pub fn insert(&mut self, partition: Partition, key: InboxKey) {
        *self.0.entry(key).or_insert(0) |= 1 << partition;
    }

    /// Whether a partition holds a key.
    pub fn contains(&self, partition: Partition, key: InboxKey) -> bool {
        self.0.get(&key).is_some_and(|partitions| partitions & (1 << partition) != 0)
    }

    /// Keys of a job in a partition. The cancellation of a job without a record of its own is that of this one if it has
    /// the same number and workspace and only one of the two tells the queue.
    pub fn keys_of_job(&self, partition: Partition, job: JobKey) -> Vec<InboxKey> {
        let is_own = |key: &InboxKey| {
            let told_otherwise =
                key.kind == InboxRecordKind::Cancel && key.job.has_queue() != job.has_queue();
            key.job == job
                || told_otherwise && !self.0.contains_key(&InboxKey { kind: InboxRecordKind::Job, ..*key })
        };
        let all = JobKey::all_of_workspace(job.number, job.owner.workspace);
        let (first, last) = (*all.start(), *all.end());
        let of_workspace = self.0.range(
            InboxKey { job: first, kind: InboxRecordKind::Job }..=InboxKey {
                job: last,
                kind: InboxRecordKind::Cancel,
            },
        );
        let own = of_workspace.map(|(key, _)| *key).filter(is_own);
        own.filter(|key| self.contains(partition, *key)).collect()
    }

    /// Records that a partition no longer holds a key.
    pub fn remove(&mut self, partition: Partition, key: InboxKey) {
        let Some(partitions) = self.0.get_mut(&key) else { return };
        *partitions &= !(1 << partition);
        if *partitions == 0 {
            self.0.remove(&key);
        }
    }
}

impl InboxWriter {
    /// Stores a record of a caller within `timeout`, through peers if necessary. Returns [`Stored::No`] at
    /// once if the store is too slow for that.
    pub async fn store(&self, rec: KeyedRecord, timeout: Duration) -> Stored {
        self.enqueue(rec, timeout, false, HeldBytes::default()).await
    }

    /// Stores a record like [`InboxWriter::store`], and holds memory until it is stored or given up.
    pub async fn store_holding(&self, rec: KeyedRecord, timeout: Duration, held: HeldBytes) -> Stored {
        self.enqueue(rec, timeout, false, held).await
    }

    /// Stores a record that a peer sent, without sending it on to other peers.
    pub async fn store_for_peer(&self, rec: KeyedRecord, timeout: Duration) -> Stored {
        self.enqueue(rec, timeout, true, HeldBytes::default()).await
    }

    /// Queues a record and waits until it is stored, given up or abandoned.
    async fn enqueue(&self, rec: KeyedRecord, timeout: Duration, for_peer: bool, held: HeldBytes) -> Stored {
        // The record has to wait for the append in flight and then for its own. With none in flight it is
        // sent whatever the mean latency, so that a store that is fast again is noticed.
        let busy = self.appends_in_flight.load(Ordering::Relaxed) > 0;
        if busy && self.append_latency.mean() * 2 > timeout {
            return Stored::No;
        }
        let stage = Arc::new(Stage::default());
        let (reply, outcome) = oneshot::channel();
        let queued = QueuedRecord {
            rec,
            stage: stage.clone(),
            refusals: 0,
            max_batch: MAX_APPEND_RECORDS,
            outcome: CopyOutcome::NotDone,
            for_peer,
            refused_by_peers: false,
            reply,
            _held: held,
        };
        if self.tx.try_send(queued).is_err() {
            return Stored::No;
        }
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) | Err(_) if stage.abandon() => Stored::No,
            Ok(Err(_)) | Err(_) => Stored::Unknown,
        }
    }

    /// Whether an append from here has failed or been late recently, and none has succeeded since.
    pub fn is_failing(&self, now: Duration) -> bool {
        let failed_at = Duration::from_millis(self.failed_at_ms.load(Ordering::Relaxed));
        self.last_append_failed.load(Ordering::Relaxed) && now < failed_at + RECENT_FAILURE_PERIOD
    }

    fn record_failure(&self, now: Duration) {
        self.failed_at_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.last_append_failed.store(true, Ordering::Relaxed);
    }
}

/// Writes queued records until the task is aborted.
pub async fn run(node: Arc<Node>) {
    let Some(mut rx) = node.inbox_writer.rx.lock().take() else { return };
    let partition = partition_of(&node.settings.name, node.settings.store_partitions);
    let mut queue: Vec<QueuedRecord> = Vec::new();
    let mut appends: JoinSet<Vec<QueuedRecord>> = JoinSet::new();
    let mut last_append_at = node.now();
    loop {
        let next_append_at = last_append_at + node.inbox_writer.append_latency.late_after();
        tokio::select! {
            Some(done) = appends.join_next() => match done {
                Ok(retries) => queue.extend(retries),
                Err(e) => log::error!("event=inbox_append_failed error=\"{e}\""),
            },
            n = rx.recv_many(&mut queue, MAX_APPEND_RECORDS), if queue.len() < MAX_APPEND_RECORDS => {
                if n == 0 {
                    return;
                }
            }
            () = tokio::time::sleep(next_append_at.saturating_sub(node.now())),
                if !queue.is_empty() && appends.len() < MAX_CONCURRENT_APPENDS => {}
        }
        let may_append = |in_flight: usize| {
            in_flight == 0 || in_flight < MAX_CONCURRENT_APPENDS && node.now() >= next_append_at
        };
        while may_append(appends.len()) && !queue.is_empty() {
            let count = records_of_append(&queue, node.settings.store_sizes().append);
            let batch: Vec<QueuedRecord> =
                queue.drain(..count).filter(|queued| !queued.stage.is_abandoned()).collect();
            if !batch.is_empty() {
                appends.spawn(append(node.clone(), partition, batch));
                last_append_at = node.now();
                break;
            }
        }
    }
}

/// Number of the first records that one append takes; the first one in any case.
fn records_of_append(queue: &[QueuedRecord], max_bytes: usize) -> usize {
    let (mut bytes, mut count, mut max_count) = (0, 0, MAX_APPEND_RECORDS);
    let fits = |queued: &&QueuedRecord| {
        bytes += size_in_append(&queued.rec);
        count += 1;
        max_count = max_count.min(queued.max_batch);
        bytes <= max_bytes && count <= max_count
    };
    queue.iter().take_while(fits).count().max(1)
}

/// Stores records with one append; returns those that have to be sent again.
async fn append(node: Arc<Node>, partition: Partition, mut batch: Vec<QueuedRecord>) -> Vec<QueuedRecord> {
    node.inbox_writer.appends_in_flight.fetch_add(1, Ordering::Relaxed);
    let result = append_with_fallback(&node, partition, &batch).await;
    node.inbox_writer.appends_in_flight.fetch_sub(1, Ordering::Relaxed);
    if result.is_rejected {
        divide_rejected(&node, &mut batch);
    }
    let probes = node.settings.policy.outage.probe_before_append;
    for (queued, by_peer) in batch.iter_mut().zip(&result.by_peers) {
        queued.outcome = queued.outcome.with(result.local).with(by_peer.unwrap_or_default());
        if queued.outcome == CopyOutcome::NotDone {
            queued.stage.mark_refused();
        }
        queued.refused_by_peers |= probes && *by_peer == Some(CopyOutcome::NotDone);
        queued.refusals += u32::from(result.local == CopyOutcome::NotDone);
    }
    if result.local == CopyOutcome::NotDone && batch.iter().any(|queued| queued.outcome != CopyOutcome::Done)
    {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let (finished, retries): (Vec<_>, Vec<_>) = batch.into_iter().partition(QueuedRecord::is_finished);
    finished.into_iter().for_each(QueuedRecord::reply_with_outcome);
    retries
}

/// Has the records of an append that the store refuses for good sent in smaller appends. A single one is given up.
fn divide_rejected(node: &Node, batch: &mut [QueuedRecord]) {
    let max_batch = batch.len() / 2;
    for queued in batch.iter_mut() {
        queued.max_batch = max_batch.max(1);
    }
    if let [single] = batch {
        single.refusals = MAX_REFUSALS;
        node.metrics.refused_records.with_label_values(&["inbox"]).inc();
        log::error!(
            "event=record_refused code={} kind=inbox key={} bytes={}",
            Code::RecordTooLarge.number(),
            single.rec.key,
            size_in_append(&single.rec)
        );
    }
}

/// Outcome of an append from here, and of sending its records through peers; `None` for a record that was
/// not sent to a peer. The first is also unknown if it was not awaited since peers have stored all records.
struct AppendResult {
    local: CopyOutcome,
    /// Whether the store never takes the append.
    is_rejected: bool,
    by_peers: Vec<Option<CopyOutcome>>,
}

impl AppendResult {
    fn new(local: CopyOutcome, by_peers: Vec<Option<CopyOutcome>>) -> AppendResult {
        AppendResult { local, is_rejected: false, by_peers }
    }

    /// The result of an append that was not sent through peers.
    fn of_local(local: LocalAppend, batch: &[QueuedRecord]) -> AppendResult {
        let is_rejected = local == LocalAppend::Rejected;
        AppendResult { is_rejected, ..AppendResult::new(local.outcome(), vec![None; batch.len()]) }
    }
}

/// What became of an append from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LocalAppend {
    /// It was made, refused for now, or had no answer.
    Settled(CopyOutcome),
    /// The store never takes it.
    Rejected,
}

impl LocalAppend {
    /// What is known of the records.
    fn outcome(self) -> CopyOutcome {
        match self {
            LocalAppend::Settled(outcome) => outcome,
            LocalAppend::Rejected => CopyOutcome::NotDone,
        }
    }

    /// Whether peers needn't be asked.
    fn is_final(self) -> bool {
        self == LocalAppend::Rejected || self.outcome() == CopyOutcome::Done
    }
}

/// Sends an append, and sends its records through peers if it is refused or late.
async fn append_with_fallback(node: &Node, partition: Partition, batch: &[QueuedRecord]) -> AppendResult {
    if !node.settings.policy.calls.write_for_others {
        return AppendResult::of_local(append_locally(node, partition, batch).await, batch);
    }
    let mut local = pin!(append_locally(node, partition, batch));
    let timeout = if node.inbox_writer.last_append_failed.load(Ordering::Relaxed) {
        Duration::ZERO
    } else {
        node.inbox_writer.append_latency.late_after()
    };
    let in_time = tokio::time::timeout(timeout, &mut local).await.ok();
    if let Some(local) = in_time.filter(|local| local.is_final()) {
        return AppendResult::of_local(local, batch);
    }
    node.inbox_writer.record_failure(node.now());
    let mut through_peers = pin!(store_through_peers(node, batch));
    let Some(in_time) = in_time else {
        return tokio::select! {
            local = &mut local => match local.is_final() {
                true => AppendResult::of_local(local, batch),
                false => AppendResult::new(local.outcome(), through_peers.await),
            },
            by_peers = &mut through_peers => {
                let all_stored = by_peers.iter().all(|stored| *stored == Some(CopyOutcome::Done));
                let local = if all_stored { CopyOutcome::Unknown } else { local.await.outcome() };
                AppendResult::new(local, by_peers)
            }
        };
    };
    AppendResult::new(in_time.outcome(), through_peers.await)
}

/// Sends an append from here, unless the store has been silent for too long.
async fn append_locally(node: &Node, partition: Partition, batch: &[QueuedRecord]) -> LocalAppend {
    const NOT_DONE: LocalAppend = LocalAppend::Settled(CopyOutcome::NotDone);
    if node.store_silence() > APPEND_MAX_STORE_SILENCE {
        return NOT_DONE;
    }
    if node.settings.policy.outage.probe_before_append && !store_answers(node).await {
        return NOT_DONE;
    }
    let wanted = batch.iter().filter(|queued| queued.stage.mark_sent());
    let records: Vec<KeyedRecord> = wanted.map(|queued| queued.rec.clone()).collect();
    if records.is_empty() {
        return NOT_DONE;
    }
    let start = node.now();
    let res = node.platform.append(Topic::Inbox(partition), records, Guard::None).await;
    match res {
        Ok(_) => {
            node.inbox_writer.append_latency.record(node.now() - start);
            node.note_store_answer();
            node.inbox_writer.last_append_failed.store(false, Ordering::Relaxed);
            LocalAppend::Settled(CopyOutcome::Done)
        }
        Err(e @ StoreError::Rejected { .. }) => {
            node.note_store_answer();
            log_failed(batch, &e);
            LocalAppend::Rejected
        }
        Err(e) => {
            node.check_lease.notify_one();
            log_failed(batch, &e);
            LocalAppend::Settled(e.outcome())
        }
    }
}

/// Whether the store answers: it has answered lately, or answers a read now. Records that are appended
/// while it is silent may be stored later, so their callers can't be told that they are not.
pub(super) async fn store_answers(node: &Node) -> bool {
    let started = node.now();
    if started < node.store_answered_at() + PROBE_AFTER {
        return true;
    }
    let mut reads = FuturesUnordered::new();
    while node.now() < started + PROBE_TIMEOUT {
        // What was sent while the store was silent stays without an answer when it is back.
        reads.push(node.platform.latest(Topic::Lease));
        match tokio::time::timeout(PROBE_INTERVAL, reads.next()).await {
            Ok(Some(Ok(_))) => {
                node.note_store_answer();
                return true;
            }
            Ok(Some(Err(e))) => {
                log::info!("event=store_probe_failed error=\"{e}\"");
                return false;
            }
            Ok(None) | Err(_) if node.store_answered_at() >= started => return true,
            Ok(None) | Err(_) => {}
        }
    }
    log::info!("event=store_probe_failed error=\"no answer\"");
    false
}

/// Sends the records of callers, but not those of peers, to peers that store them.
async fn store_through_peers(node: &Node, batch: &[QueuedRecord]) -> Vec<Option<CopyOutcome>> {
    let sent: Vec<bool> = batch
        .iter()
        .map(|queued| queued.may_be_sent_to_peers() && queued.stage.mark_sent_to_peer())
        .collect();
    let wanted = batch.iter().zip(&sent).filter(|(_, sent)| **sent);
    let records: Vec<KeyedRecord> = wanted.map(|(queued, _)| queued.rec.clone()).collect();
    if records.is_empty() {
        return vec![None; batch.len()];
    }
    let mut outcomes = peer_requests::store_through_peers(node, &records).await.into_iter();
    let by_peers: Vec<Option<CopyOutcome>> =
        sent.into_iter().map(|sent| if sent { outcomes.next() } else { None }).collect();
    // A peer that was asked earlier and did not answer may yet store the record.
    let refused = batch.iter().zip(&by_peers).filter(|(queued, by_peer)| {
        **by_peer == Some(CopyOutcome::NotDone) && queued.outcome == CopyOutcome::NotDone
    });
    refused.for_each(|(queued, _)| queued.stage.mark_refused_by_peers());
    by_peers
}

fn log_failed(batch: &[QueuedRecord], error: &StoreError) {
    let event = match error.outcome() {
        CopyOutcome::NotDone => "inbox_append_refused",
        CopyOutcome::Unknown | CopyOutcome::Done => "inbox_append_unanswered",
    };
    for queued in batch {
        log::warn!("event={event} key={} error=\"{error}\"", queued.rec.key);
    }
}

impl QueuedRecord {
    fn may_be_sent_to_peers(&self) -> bool {
        !self.for_peer && !self.refused_by_peers
    }

    /// Whether the record is not sent again: it is stored, it was refused too often, or its caller no longer
    /// waits.
    fn is_finished(&self) -> bool {
        self.outcome == CopyOutcome::Done || self.refusals >= MAX_REFUSALS || self.reply.is_closed()
    }

    /// Replies to the caller with the outcome of all attempts.
    fn reply_with_outcome(self) {
        // Nobody receives the reply once the caller's timeout has passed.
        let _ = self.reply.send(self.outcome.into());
    }
}
