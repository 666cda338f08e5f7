//! The scheduler lease: who runs the scheduler.
//!
//! The lease is a topic of the store. A process claims it with an append that
//! is done only if the topic ends where the process last read; the term is one
//! more than that offset, so it rises with every claim. The holder renews by
//! appends that are refused once a higher term has been seen. Everybody reads
//! the topic; nobody trusts the answer to its own claim, which may be lost.
//! When a process claims is decided by [`workswood_core::jobs::lease_claim`].

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_core::ids::{Incarnation, Offset, Term};
use workswood_core::jobs::lease_claim::{
    Candidate, ClaimReason, ClaimTimes, EntryCapacity, LEASE_EXPIRES_AFTER, ObservedHolder, stable_jitter,
};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Tail, Topic};

use super::follow::pause_after;
use super::lead;
use super::node::{Holder, Node};

/// Longest time that one read waits for a record: longer than between two
/// renewals, so that one read each is enough, and short enough to notice that the
/// store is gone before callers wait for it.
const LONGEST_READ: Duration = Duration::from_millis(700);
/// Shortest time that one read waits for a record: how late a claim may be made
/// once it is due.
const SHORTEST_READ: Duration = Duration::from_millis(300);
/// Time between two looks of a process that does not hear of each renewal, and what is added to it for some.
const LOOK_EVERY: Duration = Duration::from_secs(5);
const LOOK_SPREAD: Duration = Duration::from_secs(2);
/// Key of the lease.
pub(super) const KEY: &str = "holder";

/// Stored form of the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LeaseRecord {
    /// Incarnation of the holder.
    pub id: Incarnation,
    /// Name of its host.
    pub name: String,
    /// Its peer listener.
    pub peers: String,
    /// Its term.
    pub term: Term,
    /// Whether it gives the lease back.
    #[serde(default)]
    pub released: bool,
    /// Workers that it can look after.
    #[serde(default)]
    pub strength: Option<EntryCapacity>,
}

impl LeaseRecord {
    /// The record with which a process claims, renews or releases the lease.
    pub(super) fn of(node: &Node, term: Term, released: bool) -> LeaseRecord {
        LeaseRecord {
            id: node.id.clone(),
            name: node.settings.name.clone(),
            peers: node.settings.peers.to_string(),
            term,
            released,
            strength: Some(node.settings.strength()),
        }
    }

    /// The holder, as other processes know it.
    fn holder_seen(&self) -> ObservedHolder {
        ObservedHolder {
            id: self.id.clone(),
            name: self.name.clone(),
            term: self.term,
            released: self.released,
            capacity: self.strength,
        }
    }

    /// The record under the key of the lease.
    pub(super) fn keyed(&self) -> KeyedRecord {
        let value = serde_json::to_vec(self).unwrap_or_default();
        KeyedRecord { key: KEY.to_string(), value: Some(value.into()) }
    }
}

/// What a process knows of the lease.
struct View {
    /// Offset of the first record that was not read yet.
    next: Offset,
    /// The holder, once one is known.
    holder: Option<ObservedHolder>,
    /// When the holder was last heard of, or could not have been heard of.
    heard: Duration,
    /// When the holder's term was first seen.
    term_seen: Duration,
    /// Latest term that was led here.
    led: Term,
    /// Whether the next renewal is waited for: the process is new, or in doubt about holder or store.
    awaits_renewal: bool,
}

impl View {
    /// A view that has read nothing.
    fn new(node: &Node, led: Term) -> View {
        let now = node.now();
        View { next: 0, holder: None, heard: now, term_seen: now, led, awaits_renewal: true }
    }

    /// How long a read waits, at the longest until the lease could be claimed if
    /// no renewal comes. Shorter reads would tell nothing new, and are paid for.
    fn read_wait(&self, now: Duration) -> Duration {
        if self.holder.as_ref().is_none_or(|h| h.released) {
            return SHORTEST_READ;
        }
        LEASE_EXPIRES_AFTER.saturating_sub(now - self.heard).clamp(SHORTEST_READ, LONGEST_READ)
    }

    /// Whether this process hears of each renewal now.
    fn is_close(&self, node: &Node) -> bool {
        let free = self.holder.as_ref().is_none_or(|h| h.released);
        let needed = free || node.leading.load().is_some() || self.awaits_renewal;
        needed || node.peers.hears_renewals(&node.settings.name)
    }

    /// Why this process, which does not lead now, may claim the lease.
    fn reason_to_claim(&self, node: &Node) -> Option<ClaimReason> {
        let candidate = Candidate {
            id: node.id.clone(),
            name: node.settings.name.clone(),
            capacity: node.settings.strength(),
            last_held_term: self.led,
        };
        let now = node.now();
        let ages =
            ClaimTimes { since_heard: now - self.heard, since_term_seen: now - self.term_seen, uptime: now };
        candidate.claim_reason(self.holder.as_ref(), ages)
    }
}

/// Watches the lease and claims it when it is free. A process without a
/// configuration may not claim; it begins to read once it has one, since a read
/// that finds the lease free too early is followed by one that waits.
pub async fn run(node: Arc<Node>) {
    node.until_configured().await;
    // What it must not start is known before it can lead.
    node.operators.until_known().await;
    let mut view: Option<View> = None;
    let mut failures = 0;
    loop {
        if let Some(v) = view.as_mut().filter(|v| !v.is_close(&node)) {
            look(&node, v).await;
            continue;
        }
        node.store_is_asked(true);
        let res = match &view {
            None => newest(&node).await,
            Some(v) => {
                // After a failure the answer is wanted at once.
                let wait = if failures > 0 { Duration::ZERO } else { v.read_wait(node.now()) };
                node.platform.tail(Topic::Lease, v.next, wait).await
            }
        };
        note_reading(failures > 0, &res);
        failures = if res.is_err() { failures + 1 } else { 0 };
        match res {
            Ok(tail) => {
                node.store_is_up();
                let renewed = view.is_some() && !tail.records.is_empty();
                let v = view.get_or_insert_with(|| View::new(&node, 0));
                take(&node, v, tail);
                v.awaits_renewal &= !renewed;
                // Done only if nothing follows what was read.
                claim_if_free(&node, v).await;
                lead_if_mine(&node, v);
            }
            Err(StoreError::RecordsGone) => view = read_anew(&node, view.as_ref()).await,
            // Logged above.
            Err(_) => {
                // The holder can't be heard while the store is away; it gets
                // its full time again afterwards.
                if let Some(v) = &mut view {
                    v.heard = node.now();
                }
                tokio::time::sleep(pause_after(failures)).await;
            }
        }
    }
}

/// Looks after some time, or in doubt at once, whether the lease was renewed since the last look.
async fn look(node: &Node, v: &mut View) {
    node.store_is_asked(false);
    let every = LOOK_EVERY + stable_jitter(&node.settings.name, LOOK_SPREAD);
    let doubted = tokio::time::timeout(every, node.doubt.notified()).await.is_ok();
    let res = newest(node).await;
    let now = node.now();
    v.awaits_renewal = doubted || res.is_err();
    match res {
        Ok(tail) => {
            node.store_is_up();
            if tail.next != v.next {
                take(node, v, tail);
            } else if !doubted {
                log::info!("event=lease_not_renewed_since_look");
                v.heard = now.saturating_sub(LEASE_EXPIRES_AFTER);
                v.awaits_renewal = true;
            }
        }
        Err(e) => {
            log::info!("event=lease_look_failed error=\"{e}\"");
            v.heard = now;
        }
    }
}

/// Logs that reading the lease begins to fail, or goes on again.
fn note_reading(failed_before: bool, res: &Result<Tail, StoreError>) {
    match res {
        Err(e) if !failed_before => {
            log::warn!("event=dependency_lost dependency=store topic=Lease error=\"{e}\"")
        }
        Ok(_) if failed_before => log::info!("event=dependency_regained dependency=store topic=Lease"),
        Ok(_) | Err(_) => {}
    }
}

/// The newest record of the lease, and where to read on.
async fn newest(node: &Node) -> Result<Tail, StoreError> {
    let newest = node.platform.latest(Topic::Lease).await?;
    Ok(Tail { records: newest.records, next: newest.next })
}

/// A view from the newest record, where the store no longer has what followed
/// the one before.
async fn read_anew(node: &Node, before: Option<&View>) -> Option<View> {
    let led = before.map_or(0, |v| v.led);
    let tail = newest(node).await.ok()?;
    let mut view = View::new(node, led);
    take(node, &mut view, tail);
    Some(view)
}

/// Takes records in.
fn take(node: &Node, v: &mut View, tail: Tail) {
    v.next = tail.next;
    tail.records.iter().for_each(|rec| take_one(node, v, rec));
}

/// Takes one record in, unless a later term is known.
fn take_one(node: &Node, v: &mut View, rec: &KeyedRecord) {
    let value = rec.value.as_deref().unwrap_or_default();
    let Ok(l) = serde_json::from_slice::<LeaseRecord>(value) else {
        log::error!("event=lease_not_read code=203");
        return;
    };
    // A renewal or release of an earlier term may arrive late.
    if v.holder.as_ref().is_some_and(|h| l.term < h.term) {
        return;
    }
    let seen = l.holder_seen();
    v.heard = node.now();
    if v.holder.as_ref() == Some(&seen) {
        return;
    }
    if v.holder.as_ref().is_none_or(|h| h.term != seen.term) {
        v.term_seen = v.heard;
    }
    log_holder(&seen);
    let holder = Holder { id: l.id, peers: l.peers, term: l.term, released: l.released };
    node.know_holder(holder);
    v.holder = Some(seen);
}

fn log_holder(seen: &ObservedHolder) {
    log::info!(
        "event=lease_holder name={} id={} term={} released={} strength={}",
        seen.name,
        seen.id,
        seen.term,
        seen.released,
        seen.capacity.unwrap_or_default()
    );
}

/// Claims the lease if this process may; the answer only shows in later reads.
async fn claim_if_free(node: &Arc<Node>, v: &mut View) {
    if node.is_stopping() || node.leading.load().is_some() {
        return;
    }
    let Some(why) = v.reason_to_claim(node) else { return };
    let why = why.label();
    let term = v.next + 1;
    let rec = LeaseRecord::of(node, term, false).keyed();
    let res = node.platform.append(Topic::Lease, vec![rec], Guard::EndsAt(v.next)).await;
    match res {
        Ok(_) => log::info!("event=lease_claimed term={term} reason={why}"),
        Err(e) => log::info!("event=lease_claim_failed term={term} reason={why} error=\"{e}\""),
    }
}

/// Starts the scheduler when the lease turns out to be ours.
fn lead_if_mine(node: &Arc<Node>, v: &mut View) {
    let Some(h) = &v.holder else { return };
    let mine = h.id == node.id && !h.released;
    match node.leading.load().as_ref() {
        None if mine && h.term > v.led && !node.is_stopping() => {
            v.led = h.term;
            lead::start(node, h.term);
        }
        Some(l) if l.term < h.term => {
            log::warn!("event=lease_lost term={} to={} to_term={}", l.term, h.name, h.term);
            let _ = l.end.send(true);
        }
        _ => {}
    }
}
