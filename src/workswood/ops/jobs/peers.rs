//! The other processes that run jobs, and calls to them.
//!
//! Every process stores a record with the address of its peer listener, and regularly reads those of the
//! others. They are read in advance, because they are also needed while the store refuses this process.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;
use workswood_core::ids::{DataCentre, Offset, UnixMs};
use workswood_core::jobs::RelayCandidate;
use workswood_core::jobs::bridges::BridgeEntry;
use workswood_core::jobs::lease_claim::{self, EntryCapacity, PeerEntry};
use workswood_core::jobs::lease_handover::rank_helpers;
use workswood_liveness::HalfOpenDetector;
use workswood_peers::{CallError, Link, Msg};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};
use workswood_traffic::Traffic;

use super::node::Node;
use super::record::{deletion_record, json_record};

/// Token of peers; empty, since their network is private.
pub const TOKEN: &str = "";
/// Maximum number of open links.
/// One leads to the lease holder, the others to helpers.
const MAX_LINKS: usize = 6;
/// Time between two reads of the records.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two reads during the startup period, when other processes may also have just started.
const STARTUP_READ_INTERVAL: Duration = Duration::from_secs(5);
/// How long after its start a process reads the records more often.
const STARTUP_PERIOD: Duration = Duration::from_secs(20);
/// Time between two reads by the lease holder, which assigns workers to the other entries as relays.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two renewals of the process's own record.
const RENEW_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum age of the record of a peer that is still called.
/// Five renewals have failed by then.
const MAX_PEER_AGE: Duration = Duration::from_secs(300);
/// Age after which a record is removed from the store.
const RECORD_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stored form of a process. The key is the name of its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PeerRecord {
    /// Address of the peer listener.
    #[serde(rename = "peers")]
    address: String,
    /// When the record was written.
    #[serde(rename = "at")]
    written_at: UnixMs,
    /// Data centre of the entry.
    #[serde(default)]
    data_centre: DataCentre,
    /// Number of workers that the entry can serve as lease holder.
    #[serde(default)]
    strength: EntryCapacity,
}

/// The processes that have a recent record, as last read.
#[derive(Default)]
struct PeerList {
    by_entry: BTreeMap<String, PeerRecord>,
    /// Number of reads that changed the list.
    version: u64,
}

/// An open link.
struct CachedLink {
    link: Link,
    /// When it was last used for a call.
    last_used: Instant,
}

/// The other processes, and links to some of them.
#[derive(Default)]
pub struct Peers {
    peer_list: Mutex<PeerList>,
    /// Wakes [`run`] to read the records.
    read_requested: Notify,
    links: Mutex<HashMap<String, CachedLink>>,
    half_open: HalfOpenDetector,
    traffic: Traffic,
    /// Rotates the order in which peers are called.
    next_first: AtomicUsize,
}

impl PeerRecord {
    /// The entry as a candidate for the lease.
    fn as_entry<'a>(&'a self, name: &'a str) -> PeerEntry<'a> {
        PeerEntry { name, data_centre: &self.data_centre, capacity: self.strength }
    }

    /// Whether the records are equal but for the time of writing.
    fn is_same_peer(&self, other: &PeerRecord) -> bool {
        *self == PeerRecord { written_at: self.written_at, ..other.clone() }
    }
}

impl Peers {
    /// Creates an empty list of peers. The detector of half-open connections and the traffic counts are
    /// shared with other connections of the process.
    pub fn sharing(half_open: HalfOpenDetector, traffic: Traffic) -> Peers {
        Peers { half_open, traffic, ..Peers::default() }
    }

    /// Calls a process. Drops the link if there is no reply, since the process may be gone for good.
    pub async fn call(
        &self,
        from: &str,
        address: &str,
        msg: Msg,
        timeout: Duration,
    ) -> Result<Msg, CallError> {
        let link = self.link(from, address);
        let reply = link.try_call(msg, timeout).await;
        if reply.is_err() {
            self.drop_link(address, &link);
        }
        reply
    }

    /// Drops a link, unless another one has replaced it already.
    fn drop_link(&self, address: &str, link: &Link) {
        let mut links = self.links.lock();
        if links.get(address).is_some_and(|cached| cached.link.is_clone_of(link)) {
            links.remove(address);
        }
    }

    /// Calls a process with an idempotent request. Retries once within the timeout if the connection
    /// breaks or goes silent.
    pub async fn call_with_retry(
        &self,
        from: &str,
        address: &str,
        msg: Msg,
        timeout: Duration,
    ) -> Result<Msg, CallError> {
        let deadline = Instant::now() + timeout;
        let reply = self.call(from, address, msg.clone(), timeout).await;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if reply.is_ok() || remaining.is_zero() {
            return reply;
        }
        self.call(from, address, msg, remaining).await
    }

    /// The link to an address, opened if necessary. The least recently used link is dropped if there are
    /// too many.
    fn link(&self, from: &str, address: &str) -> Link {
        let mut links = self.links.lock();
        if links.len() >= MAX_LINKS && !links.contains_key(address) {
            let oldest = links.iter().min_by_key(|(_, cached)| cached.last_used).map(|(a, _)| a.clone());
            oldest.and_then(|a| links.remove(&a));
        }
        let open = || {
            let half_open = self.half_open.clone();
            let traffic = self.traffic.clone();
            let link =
                Link::open(address.to_string(), TOKEN.to_string(), from.to_string(), half_open, traffic);
            CachedLink { link, last_used: Instant::now() }
        };
        let cached = links.entry(address.to_string()).or_insert_with(open);
        cached.last_used = Instant::now();
        cached.link.clone()
    }

    /// Adds the process of an entry, with the address of its peer listener and the number of workers that the
    /// entry can serve as lease holder. Used by tests.
    pub fn add_peer(&self, entry: &str, address: &str, strength: EntryCapacity) {
        self.add_peer_in("", entry, address, strength);
    }

    /// Like [`Self::add_peer`], for an entry of a data centre.
    pub fn add_peer_in(&self, data_centre: &str, entry: &str, address: &str, strength: EntryCapacity) {
        let rec = PeerRecord {
            address: address.to_string(),
            written_at: 0,
            data_centre: data_centre.to_string(),
            strength,
        };
        self.peer_list.lock().by_entry.insert(entry.to_string(), rec);
    }

    /// Address of the peer listener of an entry.
    pub fn address_of(&self, entry: &str) -> Option<String> {
        self.peer_list.lock().by_entry.get(entry).map(|rec| rec.address.clone())
    }

    /// All entries that are known, as the choice of a bridge sees them.
    pub fn bridge_entries(&self) -> Vec<BridgeEntry> {
        let peer_list = self.peer_list.lock();
        let entry = |(name, rec): (&String, &PeerRecord)| BridgeEntry {
            name: name.clone(),
            address: rec.address.clone(),
            data_centre: rec.data_centre.clone(),
            capacity: rec.strength,
        };
        peer_list.by_entry.iter().map(entry).collect()
    }

    /// Wakes [`run`] to read the records.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Entries that may be relays, if the list has changed since `seen_version`, which is updated.
    pub fn changed_relay_entries(&self, seen_version: &mut u64) -> Option<Vec<RelayCandidate>> {
        let peer_list = self.peer_list.lock();
        if peer_list.version == *seen_version {
            return None;
        }
        *seen_version = peer_list.version;
        // Entries of earlier versions state no strength, and can't be relays.
        let known = peer_list.by_entry.iter().filter(|(_, rec)| rec.strength > 0);
        let entry = |(name, rec): (&String, &PeerRecord)| RelayCandidate {
            name: name.clone(),
            data_centre: rec.data_centre.clone(),
            holder_capacity: rec.strength,
        };
        Some(known.map(entry).collect())
    }

    /// Whether the process of this entry follows each renewal of the lease.
    pub fn follows_renewals(&self, own_entry: &str) -> bool {
        let peer_list = self.peer_list.lock();
        let entries = peer_list.by_entry.iter().map(|(name, rec)| rec.as_entry(name));
        lease_claim::listens_for_renewals(own_entry, entries)
    }

    /// Addresses of the entries that may call the store for `own_entry`, the best ones first.
    pub fn helper_addresses(&self, own_entry: &str) -> Vec<String> {
        let peer_list = self.peer_list.lock();
        let entries = peer_list.by_entry.iter().map(|(name, rec)| rec.as_entry(name));
        let ranked = rank_helpers(own_entry, entries);
        ranked.into_iter().filter_map(|e| peer_list.by_entry.get(e)).map(|rec| rec.address.clone()).collect()
    }

    /// Replaces the list with the records that were read.
    fn set_peers(&self, by_entry: BTreeMap<String, PeerRecord>) {
        let mut peer_list = self.peer_list.lock();
        let unchanged = peer_list.by_entry.len() == by_entry.len()
            && peer_list.by_entry.iter().zip(&by_entry).all(|((a, x), (b, y))| a == b && x.is_same_peer(y));
        peer_list.by_entry = by_entry;
        peer_list.version += u64::from(!unchanged);
    }

    /// Addresses of all other processes, always in the same order.
    pub fn other_addresses(&self, own_address: &str) -> Vec<String> {
        let peer_list = self.peer_list.lock();
        peer_list.by_entry.values().map(|rec| &rec.address).filter(|a| *a != own_address).cloned().collect()
    }

    /// Addresses of up to `count` other processes; each call starts with another one.
    pub fn rotated_addresses(&self, own_address: &str, count: usize) -> Vec<String> {
        let peer_list = self.peer_list.lock();
        let others: Vec<&String> =
            peer_list.by_entry.values().map(|rec| &rec.address).filter(|a| *a != own_address).collect();
        let first = self.next_first.fetch_add(1, Ordering::Relaxed);
        (0..others.len().min(count)).map(|n| others[(first + n) % others.len()].clone()).collect()
    }
}

/// Renews the process's own record and reads those of others, until the task is aborted.
pub async fn run(node: Arc<Node>) {
    let mut renewed_at: Option<Duration> = None;
    let mut records = KnownRecords::default();
    loop {
        match read_records(&node, &mut records).await {
            Ok(()) => node.note_store_answer(),
            Err(e) => {
                log::debug!("event=peers_not_read error=\"{e}\"");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        if renewed_at.is_none_or(|at| node.now() > at + RENEW_INTERVAL) && renew_record(&node).await {
            renewed_at = Some(node.now());
        }
        // The records are read again after the interval, or at once on request.
        let _ = tokio::time::timeout(read_interval(&node), node.peers.read_requested.notified()).await;
    }
}

/// Time until the next read of the records.
fn read_interval(node: &Node) -> Duration {
    if node.scheduler.load().is_some() {
        HOLDER_READ_INTERVAL
    } else if node.now() < STARTUP_PERIOD {
        STARTUP_READ_INTERVAL
    } else {
        READ_INTERVAL
    }
}

/// Writes the process's own record; returns whether it is stored.
async fn renew_record(node: &Node) -> bool {
    let s = &node.settings;
    let own = PeerRecord {
        address: s.peers.to_string(),
        written_at: node.wall(),
        data_centre: s.data_centre.clone(),
        strength: s.strength(),
    };
    let rec = json_record(node.settings.name.clone(), &own);
    let res = node.platform.append(Topic::Peers, vec![rec], Guard::None).await;
    res.inspect_err(|e| log::warn!("event=peer_record_not_written error=\"{e}\"")).is_ok()
}

/// The records of all processes as they were read, and the offset of the next read.
#[derive(Default)]
struct KnownRecords {
    by_entry: BTreeMap<String, PeerRecord>,
    next: Option<Offset>,
}

impl KnownRecords {
    /// Applies a record from the store.
    fn apply(&mut self, rec: KeyedRecord) {
        let Some(value) = rec.value.as_deref() else {
            self.by_entry.remove(&rec.key);
            return;
        };
        match serde_json::from_slice::<PeerRecord>(value) {
            Ok(peer) => drop(self.by_entry.insert(rec.key, peer)),
            Err(e) => log::error!("event=record_not_read code=203 key={} error=\"{e}\"", rec.key),
        }
    }
}

/// Reads changes of the records of all processes, and removes outdated records from the store.
async fn read_records(node: &Node, known: &mut KnownRecords) -> Result<(), StoreError> {
    let changes = match known.next {
        Some(from) => match node.platform.tail(Topic::Peers, from, Duration::ZERO).await {
            Err(StoreError::RecordsGone) => None,
            tail => Some(tail?),
        },
        None => None,
    };
    let (records, next) = match changes {
        Some(tail) => (tail.records, tail.next),
        None => {
            let latest = node.platform.latest(Topic::Peers).await?;
            known.by_entry.clear();
            (latest.records, latest.next)
        }
    };
    records.into_iter().for_each(|rec| known.apply(rec));
    known.next = Some(next);
    let now = node.wall();
    let age = |peer: &PeerRecord| Duration::from_millis(now.saturating_sub(peer.written_at));
    let outdated = known.by_entry.iter().filter(|(_, peer)| age(peer) > RECORD_RETENTION);
    let outdated: Vec<KeyedRecord> = outdated.map(|(entry, _)| deletion_record(entry.clone())).collect();
    let recent = known.by_entry.iter().filter(|(_, peer)| age(peer) < MAX_PEER_AGE);
    node.peers.set_peers(recent.map(|(entry, peer)| (entry.clone(), peer.clone())).collect());
    if outdated.is_empty() {
        return Ok(());
    }
    node.platform.append(Topic::Peers, outdated, Guard::None).await.map(|_| ())
}
