//! Writes jobs and cancels into the store's inbox.
//!
//! Each append takes its turn at the store, whatever it holds, and with a slow
//! store an append a job would take far longer than jobs come. So all records
//! that come in while appends are on their way wait and go together in the next
//! one. Several appends may be on their way, so that one that hangs does not
//! hold up the others. Each host writes into one part of the inbox, given by its
//! name; a caller that asks again at another host may write the same job into
//! another part, which changes nothing.
//!
//! A store may turn this host away while it serves others. An append that is
//! refused, or that takes far longer than usual, is therefore tried by another
//! process as well; until the store takes appends from here again, both are tried
//! at once.
//!
//! What a caller is told: accepted once the store has acknowledged the record;
//! refused only if no append with the record can have been done; otherwise that
//! it is not known.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use workswood_core::jobs::{JobKey, Owner};
use workswood_liveness::AdaptiveTimeout;
use workswood_platform::jobs::{Guard, KeyedRecord, Partition, StoreError, Topic};
use xxhash_rust::xxh3::xxh3_64;

use super::help;
use super::node::Node;
use super::record::{InboxItem, InboxKey};

/// Appends on their way at a time. The store takes appends in turn, so there is
/// one, and two more only while it hangs.
const LANES: usize = 3;
/// Most records of one append; with a job's text of 4 KB and its steps, about
/// a quarter of what the store takes in one call.
const MOST_RECORDS: usize = 100;
/// Records that may wait; more would not be stored in any caller's time.
const MOST_WAITING: usize = 2000;
/// How often a record is sent that the store refuses.
const MOST_REFUSALS: u32 = 3;
/// Pause after the store refused an append.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);
/// An append that takes this many times the mean is taken to hang,
const HANGS_TIMES: f64 = 4.0;
/// but not before this time: the store answers in 4 ms when it is well, the answers
/// of a busy host come some ten milliseconds late, and after 150 ms the append was
/// sent again over a new connection.
const HANGS_NOT_BEFORE: Duration = Duration::from_millis(250);
/// A store that has been silent for this long is not asked on a caller's time;
/// the process's reads tell when it is back.
const STORE_SILENT: Duration = Duration::from_millis(1700);
/// How long a host whose append has failed helps nobody.
const FAILS_FOR: Duration = Duration::from_millis(1000);
/// Parts of the inbox that are used. Each is read by the lease holder all the
/// time, about one call a second; with twelve, 32 hosts wait for two others.
const MOST_PARTS: Partition = 12;

/// Whether a record is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// It is.
    Yes,
    /// It is not, and will not be.
    No,
    /// It may be, or may come to be.
    Unknown,
}

/// How far a record has come: it waits, it has been sent, or its caller has
/// given up before that.
#[derive(Debug, Default)]
struct Stage(AtomicU8);

impl Stage {
    const WAITS: u8 = 0;
    const SENT: u8 = 1;
    const GIVEN_UP: u8 = 2;

    fn leave_queue(&self, to: u8) -> bool {
        self.0.compare_exchange(Self::WAITS, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Notes that it is about to be sent; returns whether it may be.
    fn send(&self) -> bool {
        self.leave_queue(Self::SENT) || self.0.load(Ordering::Acquire) == Self::SENT
    }

    /// Takes it out of the queue; returns whether it had not been sent.
    fn give_up(&self) -> bool {
        self.leave_queue(Self::GIVEN_UP)
    }
}

/// A record that waits to be stored.
struct Waiting {
    rec: KeyedRecord,
    stage: Arc<Stage>,
    /// Appends with it that were refused.
    refusals: u32,
    /// Whether an append with it had no answer.
    unsure: bool,
    /// Whether another process asked for it, which is not asked back.
    for_peer: bool,
    /// Whether another process has stored it.
    helped: bool,
    reply: oneshot::Sender<Stored>,
}

/// Where callers' records wait for the writer.
pub struct Inbox {
    tx: mpsc::Sender<Waiting>,
    rx: Mutex<Option<mpsc::Receiver<Waiting>>>,
    /// How long appends take.
    patience: AdaptiveTimeout,
    /// Appends from here that are on their way.
    on_the_way: AtomicUsize,
    /// Whether the last append from here failed or hung.
    failing: AtomicBool,
    /// When that was, in milliseconds since the process began.
    failed_at: AtomicU64,
}

impl Default for Inbox {
    fn default() -> Inbox {
        let (tx, rx) = mpsc::channel(MOST_WAITING);
        Inbox {
            tx,
            rx: Mutex::new(Some(rx)),
            patience: AdaptiveTimeout::new(HANGS_TIMES, HANGS_NOT_BEFORE),
            on_the_way: AtomicUsize::new(0),
            failing: AtomicBool::new(false),
            failed_at: AtomicU64::new(0),
        }
    }
}

/// The parts of the inbox, of a store whose topics have so many.
pub fn parts(of_store: Partition) -> impl Iterator<Item = Partition> + Clone {
    0..of_store.clamp(1, MOST_PARTS)
}

/// The part that a host writes into.
pub fn part_of(host: &str, of_store: Partition) -> Partition {
    let count = u64::from(of_store.clamp(1, MOST_PARTS));
    (xxh3_64(host.as_bytes()) % count) as Partition
}

/// Which parts of the inbox hold which keys; what has to be dropped there once a
/// job is forgotten.
#[derive(Debug, Default)]
pub struct Kept(BTreeMap<InboxKey, u64>);

impl Kept {
    /// Notes that a part holds a key.
    pub fn note(&mut self, part: Partition, key: InboxKey) {
        *self.0.entry(key).or_insert(0) |= 1 << part;
    }

    /// Whether a part holds a key.
    pub fn holds(&self, part: Partition, key: InboxKey) -> bool {
        self.0.get(&key).is_some_and(|parts| parts & (1 << part) != 0)
    }

    /// Keys of a job that a part holds, whoever wrote them.
    pub fn keys_of(&self, part: Partition, job: JobKey) -> Vec<InboxKey> {
        let first = InboxKey { job, owner: Owner::PUBLIC, what: InboxItem::Job };
        let of_job = self.0.range(first..).take_while(|(key, _)| key.job == job);
        of_job.filter(|(_, parts)| **parts & (1 << part) != 0).map(|(key, _)| *key).collect()
    }

    /// Notes that a part holds a key no longer.
    pub fn dropped(&mut self, part: Partition, key: InboxKey) {
        let Some(parts) = self.0.get_mut(&key) else { return };
        *parts &= !(1 << part);
        if *parts == 0 {
            self.0.remove(&key);
        }
    }
}

impl Inbox {
    /// Stores a record of a caller within a time, with the help of other
    /// processes if need be. A record that can't be stored in that time is refused
    /// at once.
    pub async fn store(&self, rec: KeyedRecord, within: Duration) -> Stored {
        self.queue(rec, within, false).await
    }

    /// Stores a record that another process asks for, without help.
    pub async fn store_here(&self, rec: KeyedRecord, within: Duration) -> Stored {
        self.queue(rec, within, true).await
    }

    async fn queue(&self, rec: KeyedRecord, within: Duration, for_peer: bool) -> Stored {
        // It waits for an append on its way, then for its own. With none on its
        // way, it is the one that tells whether the store is still so slow.
        let waits = self.on_the_way.load(Ordering::Relaxed) > 0;
        if waits && self.patience.mean() * 2 > within {
            return Stored::No;
        }
        let stage = Arc::new(Stage::default());
        let (reply, answer) = oneshot::channel();
        let waiting =
            Waiting { rec, stage: stage.clone(), refusals: 0, unsure: false, for_peer, helped: false, reply };
        if self.tx.try_send(waiting).is_err() {
            return Stored::No;
        }
        match tokio::time::timeout(within, answer).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) | Err(_) if stage.give_up() => Stored::No,
            Ok(Err(_)) | Err(_) => Stored::Unknown,
        }
    }

    /// Whether an append from here has failed or hung lately, and none has been done
    /// since.
    pub fn fails(&self, now: Duration) -> bool {
        let failed_at = Duration::from_millis(self.failed_at.load(Ordering::Relaxed));
        self.failing.load(Ordering::Relaxed) && now < failed_at + FAILS_FOR
    }

    fn note_failed(&self, now: Duration) {
        self.failed_at.store(now.as_millis() as u64, Ordering::Relaxed);
        self.failing.store(true, Ordering::Relaxed);
    }
}

/// Writes what waits, for ever.
pub async fn run(node: Arc<Node>) {
    let Some(mut rx) = node.inbox.rx.lock().take() else { return };
    let part = part_of(&node.settings.name, node.settings.store_partitions);
    let mut queue: Vec<Waiting> = Vec::new();
    let mut lanes: JoinSet<Vec<Waiting>> = JoinSet::new();
    let mut begun = node.now();
    loop {
        let next_lane = begun + node.inbox.patience.late_after();
        tokio::select! {
            Some(done) = lanes.join_next() => match done {
                Ok(again) => queue.extend(again),
                Err(e) => log::error!("event=inbox_append_failed error=\"{e}\""),
            },
            n = rx.recv_many(&mut queue, MOST_RECORDS), if queue.len() < MOST_RECORDS => {
                if n == 0 {
                    return;
                }
            }
            () = tokio::time::sleep(next_lane.saturating_sub(node.now())),
                if !queue.is_empty() && lanes.len() < LANES => {}
        }
        let free = |lanes: usize| lanes == 0 || lanes < LANES && node.now() >= next_lane;
        while free(lanes.len()) && !queue.is_empty() {
            let count = queue.len().min(MOST_RECORDS);
            let batch: Vec<Waiting> = queue.drain(..count).filter(|w| w.stage.send()).collect();
            if !batch.is_empty() {
                lanes.spawn(append(node.clone(), part, batch));
                begun = node.now();
                break;
            }
        }
    }
}

/// Sends records in one append; returns those that are to be sent again.
async fn append(node: Arc<Node>, part: Partition, mut batch: Vec<Waiting>) -> Vec<Waiting> {
    node.inbox.on_the_way.fetch_add(1, Ordering::Relaxed);
    let tried = try_append(&node, part, &batch).await;
    node.inbox.on_the_way.fetch_sub(1, Ordering::Relaxed);
    for (w, told) in batch.iter_mut().zip(&tried.helped) {
        w.helped = *told == Some(Stored::Yes);
        w.unsure |= *told == Some(Stored::Unknown);
    }
    match tried.own {
        Own::Done => {
            batch.into_iter().for_each(|w| w.answer(Stored::Yes));
            return Vec::new();
        }
        Own::Unsure => batch.iter_mut().for_each(|w| w.unsure = true),
        Own::Refused => {
            batch.iter_mut().for_each(|w| w.refusals += 1);
            if batch.iter().any(|w| !w.helped) {
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        }
    }
    let (over, again): (Vec<_>, Vec<_>) = batch.into_iter().partition(Waiting::is_over);
    over.into_iter().for_each(Waiting::answer_as_known);
    again
}

/// What came of an append from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Own {
    Done,
    Refused,
    Unsure,
}

/// What came of an append from here, and of help with its records; `None` where
/// nobody was asked.
struct Tried {
    own: Own,
    helped: Vec<Option<Stored>>,
}

/// Sends an append, and asks for help with it if it is refused or hangs.
async fn try_append(node: &Node, part: Partition, batch: &[Waiting]) -> Tried {
    if !node.settings.policy.calls.write_for_others {
        return Tried { own: append_here(node, part, batch).await, helped: vec![None; batch.len()] };
    }
    let mut own = pin!(append_here(node, part, batch));
    let nobody = vec![None; batch.len()];
    let patience = if node.inbox.failing.load(Ordering::Relaxed) {
        Duration::ZERO
    } else {
        node.inbox.patience.late_after()
    };
    let first = tokio::time::timeout(patience, &mut own).await.ok();
    if first == Some(Own::Done) {
        return Tried { own: Own::Done, helped: nobody };
    }
    node.inbox.note_failed(node.now());
    let mut help = pin!(ask_for_help(node, batch));
    let Some(first) = first else {
        return tokio::select! {
            own = &mut own => match own {
                Own::Done => Tried { own, helped: nobody },
                Own::Refused | Own::Unsure => Tried { own, helped: help.await },
            },
            helped = &mut help => {
                let all = helped.iter().all(|h| *h == Some(Stored::Yes));
                let own = if all { Own::Unsure } else { own.await };
                Tried { own, helped }
            }
        };
    };
    Tried { own: first, helped: help.await }
}

/// Sends an append from here, unless the store has been silent.
async fn append_here(node: &Node, part: Partition, batch: &[Waiting]) -> Own {
    if node.store_silence() > STORE_SILENT {
        return Own::Refused;
    }
    let records: Vec<KeyedRecord> = batch.iter().map(|w| w.rec.clone()).collect();
    let begun = node.now();
    let res = node.platform.append(Topic::Inbox(part), records, Guard::None).await;
    match res {
        Ok(_) => {
            node.inbox.patience.record(node.now() - begun);
            node.store_is_up();
            node.inbox.failing.store(false, Ordering::Relaxed);
            Own::Done
        }
        Err(StoreError::Unknown { text }) => {
            node.doubt.notify_one();
            log_failed("inbox_append_unanswered", batch, &text);
            Own::Unsure
        }
        Err(e) => {
            node.doubt.notify_one();
            log_failed("inbox_append_refused", batch, &e.to_string());
            Own::Refused
        }
    }
}

/// Asks other processes to store the records of callers.
async fn ask_for_help(node: &Node, batch: &[Waiting]) -> Vec<Option<Stored>> {
    let records: Vec<KeyedRecord> = batch.iter().filter(|w| !w.for_peer).map(|w| w.rec.clone()).collect();
    if records.is_empty() {
        return vec![None; batch.len()];
    }
    let mut told = help::hand_in(node, &records).await.into_iter();
    batch.iter().map(|w| if w.for_peer { None } else { told.next() }).collect()
}

fn log_failed(event: &str, batch: &[Waiting], error: &str) {
    for w in batch {
        log::warn!("event={event} key={} error=\"{error}\"", w.rec.key);
    }
}

impl Waiting {
    /// Whether it is not sent again: it is stored, was refused too often, or its
    /// caller no longer waits for the answer.
    fn is_over(&self) -> bool {
        self.helped || self.refusals >= MOST_REFUSALS || self.reply.is_closed()
    }

    fn answer_as_known(self) {
        let stored = match (self.helped, self.unsure) {
            (true, _) => Stored::Yes,
            (false, true) => Stored::Unknown,
            (false, false) => Stored::No,
        };
        self.answer(stored);
    }

    fn answer(self, stored: Stored) {
        // A caller that has given up has its answer already.
        let _ = self.reply.send(stored);
    }
}
