//! The connections of a listener: how many there may be, how much memory they may hold together, and which
//! one has to go if there is no room for another.
//!
//! A connection goes only while no request of it is being handled, so whoever loses one was not served
//! and may send the request again.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::Limits;
use crate::held_bytes::HeldBytes;
use crate::losses::{Loss, Losses};

/// How long a new connection may take to send its first request before it goes ahead of those that were
/// served.
const FIRST_REQUEST_GRACE_MS: u64 = 250;
/// Part of the memory that is freed beyond what is needed, so that not every frame looks for room.
const FREED_PART: usize = 8;
/// Part of each limit by which connections that are being closed may exceed it.
const CLOSING_PART: usize = 8;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// It waits for a request, or for the rest of its head.
    Waiting = 0,
    /// It waits for the rest of a body.
    Receiving = 1,
    /// Its request is handled.
    Handling = 2,
    /// It is to be closed.
    Closing = 3,
}

impl Phase {
    /// What a client loses whose connection is closed in this phase.
    fn loss(self) -> Loss {
        match self {
            Phase::Receiving => Loss::BodyClosed,
            Phase::Waiting | Phase::Handling | Phase::Closing => Loss::IdleClosed,
        }
    }
}

/// All connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: Limits,
    created: Instant,
    /// Bytes that connections and requests hold.
    held: AtomicUsize,
    /// Those of them that belong to connections that are being closed.
    closing: AtomicUsize,
    discards: AtomicUsize,
    entries: Mutex<Entries>,
    losses: Losses,
}

#[derive(Debug, Default)]
struct Entries {
    open: HashMap<u64, Arc<Entry>>,
    last_id: u64,
    /// Number of connections that are not being closed.
    staying: usize,
}

/// One connection, as others see it.
#[derive(Debug)]
struct Entry {
    phase: AtomicU8,
    /// When the phase began, or the connection, in milliseconds since the table was created.
    since: AtomicU64,
    /// Bytes of buffers and of an unfinished body.
    held: AtomicUsize,
    /// Those that it held when it was told to close.
    held_at_close: AtomicUsize,
    /// Number of requests that were answered.
    served: AtomicU64,
    task: OnceLock<AbortHandle>,
}

impl Entry {
    fn is(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Acquire) == phase as u8
    }

    /// Moves from one phase to another; returns whether it was in the first one.
    fn transition(&self, from: Phase, to: Phase) -> bool {
        self.phase.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// For how long it has waited for its client; `None` if it doesn't.
    fn waits_for_client(&self, now: u64) -> Option<u64> {
        let waits = self.is(Phase::Waiting) || self.is(Phase::Receiving);
        waits.then(|| now.saturating_sub(self.since.load(Ordering::Relaxed)))
    }

    /// The byte-milliseconds that it has cost while it waited for its client.
    fn cost(&self, waited: u64) -> u64 {
        (waited + 1).saturating_mul(self.held.load(Ordering::Relaxed) as u64)
    }

    /// How soon it goes if there are too many connections, the highest first; `None` if it has to stay.
    fn closing_order(&self, now: u64) -> Option<(u8, u64)> {
        let waited = self.waits_for_client(now)?;
        if self.is(Phase::Receiving) {
            return Some((0, self.cost(waited)));
        }
        let served = self.served.load(Ordering::Relaxed) > 0;
        let class = match (served, waited >= FIRST_REQUEST_GRACE_MS) {
            (false, true) => 3,
            (true, _) => 2,
            (false, false) => 1,
        };
        Some((class, waited))
    }

    /// Has the connection closed; returns the phase that it was in, or `None` if it has to stay.
    fn close(&self) -> Option<Phase> {
        [Phase::Waiting, Phase::Receiving].into_iter().find(|p| self.transition(*p, Phase::Closing))
    }
}

impl ConnectionTable {
    /// Returns an empty table.
    pub fn new(limits: Limits) -> Arc<ConnectionTable> {
        Arc::new(ConnectionTable {
            limits,
            created: Instant::now(),
            held: AtomicUsize::new(0),
            closing: AtomicUsize::new(0),
            discards: AtomicUsize::new(0),
            entries: Mutex::default(),
            losses: Losses::default(),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.entries.lock().open.len()
    }

    /// Bytes that connections and requests hold.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// What clients have lost so far, by reason.
    pub fn losses(&self) -> &Losses {
        &self.losses
    }

    /// Counts a loss, and logs it unless that was done lately.
    pub(crate) fn count(&self, loss: Loss) {
        if let Some(count) = self.losses.count(loss, self.created.elapsed()) {
            let (reason, bytes) = (loss.label(), self.held());
            log::warn!("event=caller_lost reason={reason} count={count} bytes={bytes}");
        }
    }

    fn now(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// Whether another connection may be accepted; connections that are being closed count until they are.
    pub(crate) fn may_accept(&self) -> bool {
        let most = self.limits.max_connections;
        self.entries.lock().open.len() < most + most / CLOSING_PART + 1
    }

    /// Admits a connection. If there are too many, another one is closed; `None` if all have to stay.
    pub fn admit(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let now = self.now();
        let mut entries = self.entries.lock();
        if entries.staying >= self.limits.max_connections && !self.close_one(&mut entries, now) {
            drop(entries);
            self.count(Loss::NotAccepted);
            return None;
        }
        let entry = Arc::new(Entry {
            phase: AtomicU8::new(Phase::Waiting as u8),
            since: AtomicU64::new(now),
            held: AtomicUsize::new(0),
            held_at_close: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            task: OnceLock::new(),
        });
        entries.last_id += 1;
        let id = entries.last_id;
        entries.open.insert(id, entry.clone());
        entries.staying += 1;
        drop(entries);
        Some(Arc::new(Connection { table: self.clone(), entry, id, buffers: AtomicUsize::new(0) }))
    }

    /// Closes the connection that goes first.
    fn close_one(&self, entries: &mut Entries, now: u64) -> bool {
        let ranked = entries.open.values().filter_map(|e| Some((e.closing_order(now)?, e)));
        let Some((_, first)) = ranked.max_by_key(|(order, _)| *order) else { return false };
        let first = first.clone();
        self.close(entries, &first).is_some()
    }

    /// Closes a connection unless it has to stay; returns how many bytes that gives back.
    fn close(&self, entries: &mut Entries, entry: &Entry) -> Option<usize> {
        let phase = entry.close()?;
        let bytes = entry.held.load(Ordering::Relaxed);
        entry.held_at_close.store(bytes, Ordering::Relaxed);
        self.closing.fetch_add(bytes, Ordering::Relaxed);
        entries.staying -= 1;
        if let Some(task) = entry.task.get() {
            task.abort();
        }
        self.count(phase.loss());
        Some(bytes)
    }

    /// Bytes held, without those that are about to be given back.
    fn staying_bytes(&self) -> usize {
        self.held().saturating_sub(self.closing.load(Ordering::Relaxed))
    }

    /// Whether connections that are being closed still hold too much.
    fn waits_for_closing(&self) -> bool {
        self.held() > self.limits.max_bytes + self.limits.max_bytes / CLOSING_PART
            && self.closing.load(Ordering::Relaxed) > 0
    }

    /// Closes the connections that have cost most while they waited for their clients, except one, until
    /// the limit is kept; returns whether it is.
    fn make_room(&self, except: u64) -> bool {
        let max = self.limits.max_bytes;
        let mut entries = self.entries.lock();
        let excess = self.staying_bytes().saturating_sub(max);
        if excess == 0 {
            return true;
        }
        let now = self.now();
        let mut waiting: Vec<(u64, Arc<Entry>)> = entries
            .open
            .iter()
            .filter(|(id, _)| **id != except)
            .filter_map(|(_, e)| Some((e.cost(e.waits_for_client(now)?), e.clone())))
            .collect();
        waiting.sort_unstable_by_key(|(cost, _)| std::cmp::Reverse(*cost));
        let mut freed = 0;
        for (_, entry) in waiting {
            if freed >= excess + max / FREED_PART {
                break;
            }
            freed += self.close(&mut entries, &entry).unwrap_or_default();
        }
        freed >= excess
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Allows the rest of a body to be discarded, unless too many are.
    pub(crate) fn begin_discard(self: &Arc<Self>) -> Option<DiscardPermit> {
        let before = self.discards.fetch_add(1, Ordering::Relaxed);
        let permit = DiscardPermit(self.clone());
        (before < self.limits.max_discards).then_some(permit)
    }
}

/// Allows the rest of a body to be discarded.
pub(crate) struct DiscardPermit(Arc<ConnectionTable>);

impl Drop for DiscardPermit {
    fn drop(&mut self) {
        self.0.discards.fetch_sub(1, Ordering::Relaxed);
    }
}

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// A connection of a listener; it leaves the table when it is dropped.
#[derive(Debug)]
pub struct Connection {
    table: Arc<ConnectionTable>,
    entry: Arc<Entry>,
    id: u64,
    buffers: AtomicUsize,
}

impl Connection {
    /// Names the task that is aborted if the connection has to go.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        let task = self.entry.task.get_or_init(|| task);
        if self.is_closing() {
            task.abort();
        }
    }

    /// The table that it belongs to.
    pub(crate) fn table(&self) -> &Arc<ConnectionTable> {
        &self.table
    }

    /// Whether it has to go.
    pub fn is_closing(&self) -> bool {
        self.entry.is(Phase::Closing)
    }

    /// Number of requests that were answered.
    pub(crate) fn served(&self) -> u64 {
        self.entry.served.load(Ordering::Relaxed)
    }

    /// Whether it waits for a request.
    pub(crate) fn is_waiting(&self) -> bool {
        self.entry.is(Phase::Waiting)
    }

    /// The head of a request has come. Returns false if the connection has to go.
    pub fn begin_request(&self) -> bool {
        self.entry.transition(Phase::Waiting, Phase::Handling)
    }

    /// The body of the request is awaited from now on.
    pub fn begin_body(&self) {
        self.entry.since.store(self.table.now(), Ordering::Relaxed);
        self.entry.transition(Phase::Handling, Phase::Receiving);
    }

    /// The body has come, or is not awaited any longer. Returns false if the connection has to go.
    pub fn end_body(&self) -> bool {
        self.entry.transition(Phase::Receiving, Phase::Handling)
    }

    /// The request is answered.
    pub fn end_request(&self) {
        self.entry.since.store(self.table.now(), Ordering::Relaxed);
        self.entry.served.fetch_add(1, Ordering::Relaxed);
        let _ = self.entry.transition(Phase::Handling, Phase::Waiting)
            || self.entry.transition(Phase::Receiving, Phase::Waiting);
    }

    /// The buffers of the connection have grown to so many bytes.
    pub fn note_buffers(&self, bytes: usize) {
        let before = self.buffers.fetch_max(bytes, Ordering::Relaxed);
        let Some(more) = bytes.checked_sub(before).filter(|more| *more > 0) else { return };
        self.entry.held.fetch_add(more, Ordering::Relaxed);
        self.table.add(more);
        if self.table.staying_bytes() > self.table.limits.max_bytes {
            self.table.make_room(self.id);
        }
    }

    /// Takes room for bytes of a body; other connections go for it if necessary.
    pub fn take(&self, bytes: usize) -> Result<HeldBytes, Full> {
        let taken = HeldBytes::take(self.table.clone(), bytes);
        if self.table.staying_bytes() <= self.table.limits.max_bytes || self.table.make_room(self.id) {
            self.entry.held.fetch_add(bytes, Ordering::Relaxed);
            return Ok(taken);
        }
        // What is alone in the table fits whatever its size.
        let alone = self.table.held() <= self.entry.held.load(Ordering::Relaxed) + bytes;
        if alone {
            self.entry.held.fetch_add(bytes, Ordering::Relaxed);
            return Ok(taken);
        }
        Err(Full)
    }

    /// Bytes of a body no longer belong to the connection.
    pub(crate) fn hand_on(&self, bytes: usize) {
        self.entry.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Whether connections that are being closed have yet to give back what a body needs.
    pub(crate) fn waits_for_room(&self) -> bool {
        self.table.waits_for_closing()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut entries = self.table.entries.lock();
        entries.open.remove(&self.id);
        if self.is_closing() {
            let bytes = self.entry.held_at_close.load(Ordering::Relaxed);
            self.table.closing.fetch_sub(bytes, Ordering::Relaxed);
        } else {
            entries.staying -= 1;
        }
        drop(entries);
        self.table.give_back(self.buffers.load(Ordering::Relaxed));
    }
}

/// Longest time between two log lines about the same loss.
pub const LOSS_LOG_INTERVAL: Duration = Duration::from_secs(1);
