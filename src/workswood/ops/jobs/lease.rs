//! The scheduler lease: who runs the scheduler.
//!
//! The lease is a topic of the store. A process claims it with an append that succeeds only if the
//! topic ends where the process last read; the term is one more than that offset, so it rises with
//! every claim. The holder renews the lease by appends that the store rejects once it has seen a
//! higher term. A process takes itself for the holder only after it has read its own claim from
//! the topic, since the reply to the claim may be lost. [`workswood_core::jobs::lease_claim`] decides
//! when a process claims the lease.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_core::ids::{Incarnation, Offset, Term};
use workswood_core::jobs::lease_claim::{
    Candidate, ClaimReason, ClaimTimes, EntryCapacity, LEASE_EXPIRES_AFTER, ObservedHolder, stable_jitter,
};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Tail, Topic};

use super::earlier_grants::{EarlierGrants, RecordFacts};
use super::lease_renewal::{EXTENSION_GRACE, FULL_LEASE_GRACE};
use super::node::{Holder, Node, SchedulerHandle};
use super::scheduler_task;
use super::topic_reader::retry_delay;

/// Longest time that a read waits for a record: longer than the renewal interval, so that one read
/// per renewal suffices, but short enough to notice an outage of the store early.
const MAX_READ_WAIT: Duration = Duration::from_millis(700);
/// Shortest time that a read waits for a record, by which a claim that is due may be delayed.
const MIN_READ_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks by a process that does not follow each renewal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Largest addition to that interval; it differs between entries, so that they don't check at the
/// same time.
const CHECK_JITTER: Duration = Duration::from_secs(2);
/// Key of the lease's record.
pub(super) const KEY: &str = "holder";

/// Stored form of the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LeaseRecord {
    /// Incarnation of the holder.
    pub id: Incarnation,
    /// Name of its entry.
    pub name: String,
    /// Address where it listens for peers.
    #[serde(rename = "peers")]
    pub peer_address: String,
    /// Its term.
    pub term: Term,
    /// Whether it releases the lease.
    #[serde(default)]
    pub released: bool,
    /// Number of workers that the entry can serve as lease holder.
    #[serde(default)]
    pub strength: Option<EntryCapacity>,
    /// For how many milliseconds after sending the record its writer and holders before it may give workers full
    /// leases. Absent in records of versions that do so as long as they may extend leases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub full_leases_ms: Option<u64>,
    /// For how many milliseconds after sending the record anybody but the process that wrote it may give workers
    /// full leases. Absent in records of versions that didn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub others_full_leases_ms: Option<u64>,
    /// Network stack in which the writer has bound the address for peers until it ends. Absent if that is not certain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound_in: Option<String>,
    /// Whether the holder tells jobs of several queues under one number apart. Absent in records of versions that don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_queues: bool,
    /// In a release: for how many milliseconds from then on anybody may still give workers full leases
    /// under this term or an earlier one. Absent if the scheduler may not have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extensions_left_ms: Option<u64>,
}

impl LeaseRecord {
    /// Returns a record that tells for how long its writer itself and others may give full leases.
    fn new(node: &Node, term: Term, own_grace: Duration, others_left: Duration) -> LeaseRecord {
        LeaseRecord {
            id: node.id.clone(),
            name: node.settings.name.clone(),
            peer_address: node.settings.peers.to_string(),
            term,
            released: false,
            strength: Some(node.settings.strength()),
            full_leases_ms: Some(full_ms(own_grace.max(others_left))),
            others_full_leases_ms: Some(full_ms(others_left)),
            bound_in: node.bound_in().cloned(),
            knows_queues: true,
            extensions_left_ms: None,
        }
    }

    /// Returns the record with which a process claims a term. It gives no leases before its first renewal.
    fn claim(node: &Node, term: Term, earlier: &EarlierGrants) -> LeaseRecord {
        let unknown = || EXTENSION_GRACE.max(node.others_full_leases_left());
        let others_left = earlier.left(term, node.now()).unwrap_or_else(unknown);
        LeaseRecord::new(node, term, Duration::ZERO, others_left)
    }

    /// Returns the record with which a holder renews the lease.
    pub(super) fn renewal(node: &Node, handle: &SchedulerHandle) -> LeaseRecord {
        // A holder before may have renewed its lease until the first renewal of this term.
        let unknown = || FULL_LEASE_GRACE.max(node.others_full_leases_left());
        let earlier = handle.earlier_grants_left(node.now()).unwrap_or_else(unknown);
        let others_left = earlier.max(handle.relay_grants.left_to_tell(node.now()));
        LeaseRecord::new(node, handle.term, FULL_LEASE_GRACE, others_left)
    }

    /// Returns the record with which a holder releases the lease.
    pub(super) fn release(node: &Node, handle: &SchedulerHandle) -> LeaseRecord {
        LeaseRecord { released: true, ..LeaseRecord::renewal(node, handle) }
    }

    /// Returns the record with which a peer releases the lease for a holder that can't write. Relays may go on.
    pub(super) fn release_by_peer(node: &Node, term: Term) -> LeaseRecord {
        let others_left = FULL_LEASE_GRACE.max(node.others_full_leases_left());
        LeaseRecord { released: true, ..LeaseRecord::new(node, term, FULL_LEASE_GRACE, others_left) }
    }

    /// Returns the record with which a process releases the lease after its scheduler has ended.
    pub(super) fn release_after_end(node: &Node, handle: &SchedulerHandle) -> LeaseRecord {
        let left = handle.extensions_left(node.now()).map(|left| left.as_millis() as u64);
        LeaseRecord { extensions_left_ms: left, ..LeaseRecord::release(node, handle) }
    }

    /// Whether a former life of a process wrote the record, which has ended since.
    fn is_of_former_life(&self, node: &Node) -> bool {
        let same_entry = self.name == node.settings.name && self.id != node.id;
        let same_address = self.peer_address == node.settings.peers.to_string();
        let same_network = self.bound_in.is_some() && self.bound_in.as_ref() == node.bound_in();
        same_entry && same_address && same_network
    }

    /// Returns what the record tells about the end of its writer's grants.
    fn facts(&self, node: &Node) -> RecordFacts {
        RecordFacts {
            term: self.term,
            released: self.released,
            grace: self.full_leases_ms.map(Duration::from_millis),
            others_grace: self.others_full_leases_ms.map(Duration::from_millis),
            writer_ended: self.is_of_former_life(node),
            extensions_left: self.extensions_left_ms.map(Duration::from_millis),
        }
    }

    /// Returns the holder as a candidate for the lease sees it.
    fn observed_holder(&self) -> ObservedHolder {
        ObservedHolder {
            id: self.id.clone(),
            name: self.name.clone(),
            term: self.term,
            released: self.released,
            capacity: self.strength,
        }
    }

    /// Returns the record under the key of the lease.
    pub(super) fn keyed(&self) -> KeyedRecord {
        let value = serde_json::to_vec(self).unwrap_or_default();
        KeyedRecord { key: KEY.to_string(), value: Some(value.into()) }
    }
}

/// A time in milliseconds, rounded up.
fn full_ms(time: Duration) -> u64 {
    time.as_micros().div_ceil(1000) as u64
}

/// What a process knows of the lease.
struct LeaseView {
    /// Offset of the first record that was not read yet.
    next: Offset,
    /// The holder, once one is known.
    holder: Option<ObservedHolder>,
    /// Start of the period after which the lease counts as expired: when a record of the holder was
    /// last read, or a read last failed.
    expiry_counted_from: Duration,
    /// When the holder's term was first seen.
    term_seen_at: Duration,
    /// Latest term in which the scheduler ran in this process.
    last_own_term: Term,
    /// Until when holders of earlier terms may extend workers' leases.
    earlier_grants: EarlierGrants,
    /// Whether to read continuously until the next renewal, because the process is new, or the
    /// holder or the store may be gone.
    awaits_renewal: bool,
}

impl LeaseView {
    /// Returns a view before the first read.
    fn new(node: &Node, last_own_term: Term) -> LeaseView {
        let now = node.now();
        LeaseView {
            next: 0,
            holder: None,
            expiry_counted_from: now,
            term_seen_at: now,
            last_own_term,
            earlier_grants: EarlierGrants::default(),
            awaits_renewal: true,
        }
    }

    /// How long a read waits: at most until the lease can be claimed if no renewal comes. Shorter
    /// reads would only make more calls to the store.
    fn read_wait(&self, now: Duration) -> Duration {
        if self.holder.as_ref().is_none_or(|h| h.released) {
            return MIN_READ_WAIT;
        }
        LEASE_EXPIRES_AFTER.saturating_sub(now - self.expiry_counted_from).clamp(MIN_READ_WAIT, MAX_READ_WAIT)
    }

    /// Whether this process follows each renewal at present.
    fn follows_renewals(&self, node: &Node) -> bool {
        let free = self.holder.as_ref().is_none_or(|h| h.released);
        let needed = free || node.scheduler.load().is_some() || self.awaits_renewal;
        needed || node.peers.follows_renewals(&node.settings.name)
    }

    /// Returns why this process, which does not run the scheduler now, may claim the lease.
    fn reason_to_claim(&self, node: &Node) -> Option<ClaimReason> {
        let candidate = Candidate {
            id: node.id.clone(),
            name: node.settings.name.clone(),
            capacity: node.settings.strength(),
            last_held_term: self.last_own_term,
        };
        let now = node.now();
        let times = ClaimTimes {
            since_heard: now - self.expiry_counted_from,
            since_term_seen: now - self.term_seen_at,
            uptime: now,
        };
        candidate.claim_reason(self.holder.as_ref(), times)
    }
}

/// Watches the lease and claims it when it is free.
///
/// A process may not claim before it has read the operators' records from the store. It starts to read
/// the lease only then: if a read before that found the lease free, the claim would have to wait for the next read.
pub async fn run(node: Arc<Node>) {
    node.wait_until_configured().await;
    // Waves and evacuations must be known before the scheduler starts.
    node.operator_state.wait_until_read_here().await;
    let mut view: Option<LeaseView> = None;
    let mut failures = 0;
    loop {
        if let Some(v) = view.as_mut().filter(|v| !v.follows_renewals(&node)) {
            check_renewed(&node, v).await;
            continue;
        }
        node.set_store_polled(true);
        let res = match &view {
            None => read_newest(&node).await,
            Some(v) => {
                // After a failure, find out at once whether the store answers again.
                let wait = if failures > 0 { Duration::ZERO } else { v.read_wait(node.now()) };
                node.platform.tail(Topic::Lease, v.next, wait).await
            }
        };
        log_read_result(failures > 0, &res);
        failures = if res.is_err() { failures + 1 } else { 0 };
        match res {
            Ok(tail) => {
                node.note_store_answer();
                let renewed = view.is_some() && !tail.records.is_empty();
                let v = view.get_or_insert_with(|| LeaseView::new(&node, 0));
                apply_records(&node, v, tail);
                v.awaits_renewal &= !renewed;
                // The claim succeeds only if the topic has no further records.
                claim_if_free(&node, v).await;
                update_scheduler(&node, v);
            }
            Err(StoreError::RecordsGone) => match restart_view(&node, view.as_ref()).await {
                Some(restarted) => view = Some(restarted),
                // The view keeps the last own term; the next read finds the records gone again.
                None => tokio::time::sleep(retry_delay(failures)).await,
            },
            // Logged above.
            Err(_) => {
                // Renewals can't be read while the store is unreachable, so the full time to
                // expiry starts anew afterwards.
                if let Some(v) = &mut view {
                    v.expiry_counted_from = node.now();
                }
                tokio::time::sleep(retry_delay(failures)).await;
            }
        }
    }
}

/// Waits for the check interval, or until a check is requested, and then checks whether the lease
/// was renewed since the last check.
async fn check_renewed(node: &Node, v: &mut LeaseView) {
    node.set_store_polled(false);
    let interval = CHECK_INTERVAL + stable_jitter(&node.settings.name, CHECK_JITTER);
    let requested = tokio::time::timeout(interval, node.check_lease.notified()).await.is_ok();
    let res = read_newest(node).await;
    let now = node.now();
    v.awaits_renewal = requested || res.is_err();
    match res {
        Ok(tail) => {
            node.note_store_answer();
            if tail.next != v.next {
                apply_records(node, v, tail);
            } else if !requested {
                log::info!("event=lease_not_renewed_since_look");
                // Nothing was written for the whole interval, so the lease counts as expired.
                v.expiry_counted_from = now.saturating_sub(LEASE_EXPIRES_AFTER);
                v.awaits_renewal = true;
            }
        }
        Err(e) => {
            log::info!("event=lease_look_failed error=\"{e}\"");
            v.expiry_counted_from = now;
        }
    }
}

/// Logs when reads of the lease start to fail, and when they succeed again.
fn log_read_result(failed_before: bool, res: &Result<Tail, StoreError>) {
    match res {
        Err(e) if !failed_before => {
            log::warn!("event=dependency_lost dependency=store topic=Lease error=\"{e}\"")
        }
        Ok(_) if failed_before => log::info!("event=dependency_regained dependency=store topic=Lease"),
        Ok(_) | Err(_) => {}
    }
}

/// Reads the newest record of the lease, and the offset to continue from.
async fn read_newest(node: &Node) -> Result<Tail, StoreError> {
    let newest = node.platform.latest(Topic::Lease).await?;
    Ok(Tail { records: newest.records, next: newest.next })
}

/// Returns a new view built from the newest record, after the store has deleted records that the
/// previous view had not read; `None` if the read fails.
async fn restart_view(node: &Node, previous: Option<&LeaseView>) -> Option<LeaseView> {
    let last_own_term = previous.map_or(0, |v| v.last_own_term);
    let tail = read_newest(node).await.ok()?;
    let mut view = LeaseView::new(node, last_own_term);
    apply_records(node, &mut view, tail);
    Some(view)
}

/// Applies records of the lease to a view.
fn apply_records(node: &Node, v: &mut LeaseView, tail: Tail) {
    v.next = tail.next;
    tail.records.iter().for_each(|rec| apply_record(node, v, rec));
}

/// Applies one record to a view, unless a later term is known.
fn apply_record(node: &Node, v: &mut LeaseView, rec: &KeyedRecord) {
    let value = rec.value.as_deref().unwrap_or_default();
    let Ok(lease) = serde_json::from_slice::<LeaseRecord>(value) else {
        log::error!("event=lease_not_read code=203");
        v.earlier_grants.note_unknown_record();
        return;
    };
    let facts = lease.facts(node);
    v.earlier_grants.note_record(facts, node.now());
    if lease.id != node.id {
        node.note_full_leases_of_other(facts.longest_grace());
    }
    // A renewal or release of an earlier term may arrive late.
    if v.holder.as_ref().is_some_and(|h| lease.term < h.term) {
        return;
    }
    let seen = lease.observed_holder();
    v.expiry_counted_from = node.now();
    if v.holder.as_ref() == Some(&seen) {
        return;
    }
    if v.holder.as_ref().is_none_or(|h| h.term != seen.term) {
        v.term_seen_at = v.expiry_counted_from;
    }
    log_holder(&seen);
    node.set_holder(Holder {
        id: lease.id,
        peer_address: lease.peer_address,
        term: lease.term,
        released: lease.released,
        knows_queues: lease.knows_queues,
    });
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

/// Claims the lease if this process may. Later reads show whether the claim succeeded.
async fn claim_if_free(node: &Arc<Node>, v: &mut LeaseView) {
    if node.is_stopping() || node.scheduler.load().is_some() {
        return;
    }
    let Some(reason) = v.reason_to_claim(node) else { return };
    let reason = reason.label();
    let term = v.next + 1;
    v.earlier_grants.note_claim(term);
    let rec = LeaseRecord::claim(node, term, &v.earlier_grants).keyed();
    let res = node.platform.append(Topic::Lease, vec![rec], Guard::EndsAt(v.next)).await;
    match res {
        Ok(_) => log::info!("event=lease_claimed term={term} reason={reason}"),
        Err(e) => log::info!("event=lease_claim_failed term={term} reason={reason} error=\"{e}\""),
    }
}

/// Starts the scheduler if this process holds the lease, and stops it if a later term has begun.
fn update_scheduler(node: &Arc<Node>, v: &mut LeaseView) {
    let Some(h) = &v.holder else { return };
    let held_here = h.id == node.id && !h.released;
    match node.scheduler.load().as_ref() {
        None if held_here && h.term > v.last_own_term && !node.is_stopping() => {
            v.last_own_term = h.term;
            scheduler_task::start(node, h.term, v.earlier_grants.extended_until(h.term));
        }
        Some(running) if running.term < h.term => {
            log::warn!("event=lease_lost term={} to={} to_term={}", running.term, h.name, h.term);
            let _ = running.stop.send(true);
        }
        Some(running) => running.set_earlier_grants_end(v.earlier_grants.extended_until(running.term)),
        _ => {}
    }
}
