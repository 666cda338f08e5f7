//! Other processes that run jobs, and calls to them.
//!
//! Every process keeps a record in the store of where its peers reach it, and
//! reads those of the others now and then: by the time that the store turns a
//! entry away, it is too late to ask there who could help.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;
use workswood_core::ids::{DataCentre, Offset, UnixMs};
use workswood_core::jobs::RelayEntry;
use workswood_core::jobs::lease_claim::{self, EntryCapacity, PeerEntry};
use workswood_liveness::HalfOpenDetector;
use workswood_peers::{CallError, Link, Msg};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};
use workswood_traffic::Traffic;

use super::node::Node;
use super::record::{drop_record, value_record};

/// Peers on the prepared platform share no secret: their network is their own.
pub const TOKEN: &str = "";
/// Connections that are kept: one to the lease holder, and a few to helpers.
const MOST_LINKS: usize = 6;
/// Time between two readings of the records.
const READ_EVERY: Duration = Duration::from_secs(30);
/// Likewise while a process is new: those that started with it write theirs.
const READ_EVERY_NEW: Duration = Duration::from_secs(5);
/// How long a process is new.
const NEW_FOR: Duration = Duration::from_secs(20);
/// Likewise by the lease holder, which has others attend workers.
const READ_EVERY_LEADING: Duration = Duration::from_secs(2);
/// Time between two renewals of a process's own record.
const RENEW_EVERY: Duration = Duration::from_secs(60);
/// A process whose record is older is not asked: five renewals failed.
const FRESH_FOR: Duration = Duration::from_secs(300);
/// A record that is older is dropped.
const KEPT_FOR: Duration = Duration::from_secs(24 * 3600);
/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(500);

/// Stored form of a process, under the name of its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PeerRecord {
    /// Its peer listener.
    peers: String,
    /// When the record was written.
    at: UnixMs,
    /// Where it stands.
    #[serde(default)]
    data_centre: DataCentre,
    /// Workers that it could look after as lease holder.
    #[serde(default)]
    strength: EntryCapacity,
}

/// The other processes, as they were last read.
#[derive(Default)]
struct Roster {
    by_entry: BTreeMap<String, PeerRecord>,
    /// Counts the readings that told something new.
    version: u64,
}

/// A connection that is kept.
struct Kept {
    link: Link,
    /// When a call last went over it.
    used: Instant,
}

/// Other processes, and connections to some of them.
#[derive(Default)]
pub struct Peers {
    roster: Mutex<Roster>,
    /// Has the records read soon.
    wanted: Notify,
    links: Mutex<HashMap<String, Kept>>,
    half_open: HalfOpenDetector,
    traffic: Traffic,
    /// Whose turn it is to be asked for help.
    turn: AtomicUsize,
}

impl PeerRecord {
    fn as_entry<'a>(&'a self, name: &'a str) -> PeerEntry<'a> {
        PeerEntry { name, data_centre: &self.data_centre, capacity: self.strength }
    }

    /// Whether it says the same as another, written at any time.
    fn same_as(&self, other: &PeerRecord) -> bool {
        *self == PeerRecord { at: self.at, ..other.clone() }
    }
}

impl Peers {
    /// Connections to nobody yet; what is found out of them, and what goes over them, is
    /// shared with others.
    pub fn sharing(half_open: HalfOpenDetector, traffic: Traffic) -> Peers {
        Peers { half_open, traffic, ..Peers::default() }
    }

    /// Asks a process. A link that gave no answer is given up: there may be nobody
    /// there any more to connect to.
    pub async fn call(
        &self,
        from: &str,
        address: &str,
        msg: Msg,
        timeout: Duration,
    ) -> Result<Msg, CallError> {
        let link = self.link(from, address);
        let answer = link.try_call(msg, timeout).await;
        if answer.is_err() {
            self.give_up(address, &link);
        }
        answer
    }

    /// Gives a link up, unless another one took its place already.
    fn give_up(&self, address: &str, link: &Link) {
        let mut links = self.links.lock();
        if links.get(address).is_some_and(|kept| kept.link.is_clone_of(link)) {
            links.remove(address);
        }
    }

    /// Asks a process what can be asked twice: once more in the same time if the
    /// connection broke or went silent.
    pub async fn call_again(
        &self,
        from: &str,
        address: &str,
        msg: Msg,
        timeout: Duration,
    ) -> Result<Msg, CallError> {
        let until = Instant::now() + timeout;
        let answer = self.call(from, address, msg.clone(), timeout).await;
        let left = until.saturating_duration_since(Instant::now());
        if answer.is_ok() || left.is_zero() {
            return answer;
        }
        self.call(from, address, msg, left).await
    }

    fn link(&self, from: &str, address: &str) -> Link {
        let mut links = self.links.lock();
        if links.len() >= MOST_LINKS && !links.contains_key(address) {
            let idlest = links.iter().min_by_key(|(_, kept)| kept.used).map(|(a, _)| a.clone());
            idlest.and_then(|a| links.remove(&a));
        }
        let open = || {
            let half_open = self.half_open.clone();
            let traffic = self.traffic.clone();
            let link =
                Link::open(address.to_string(), TOKEN.to_string(), from.to_string(), half_open, traffic);
            Kept { link, used: Instant::now() }
        };
        let kept = links.entry(address.to_string()).or_insert_with(open);
        kept.used = Instant::now();
        kept.link.clone()
    }

    /// Notes where the process of an entry listens for its peers, and how many workers it could look after.
    pub fn know(&self, entry: &str, peers: &str, strength: EntryCapacity) {
        let rec = PeerRecord { peers: peers.to_string(), at: 0, data_centre: DataCentre::new(), strength };
        self.roster.lock().by_entry.insert(entry.to_string(), rec);
    }

    /// Where the process of an entry listens for its peers.
    pub fn address_of(&self, entry: &str) -> Option<String> {
        self.roster.lock().by_entry.get(entry).map(|rec| rec.peers.clone())
    }

    /// Has the records read soon.
    pub fn read_soon(&self) {
        self.wanted.notify_one();
    }

    /// Entries that may be relays, if they changed since the list that was seen.
    pub fn news_of_entries(&self, seen: &mut u64) -> Option<Vec<RelayEntry>> {
        let roster = self.roster.lock();
        if roster.version == *seen {
            return None;
        }
        *seen = roster.version;
        // Entries of versions before this one say no strength, and can't be relays.
        let known = roster.by_entry.iter().filter(|(_, rec)| rec.strength > 0);
        let entry = |(name, rec): (&String, &PeerRecord)| RelayEntry {
            name: name.clone(),
            data_centre: rec.data_centre.clone(),
            strength: rec.strength,
        };
        Some(known.map(entry).collect())
    }

    /// Whether an entry is one of those that hear of each renewal of the lease.
    pub fn hears_renewals(&self, own: &str) -> bool {
        let roster = self.roster.lock();
        let entries = roster.by_entry.iter().map(|(name, rec)| rec.as_entry(name));
        lease_claim::listens_for_renewals(own, entries)
    }

    /// Takes in the records as they were read.
    fn set_roster(&self, by_entry: BTreeMap<String, PeerRecord>) {
        let mut roster = self.roster.lock();
        let same = roster.by_entry.len() == by_entry.len()
            && roster.by_entry.iter().zip(&by_entry).all(|((a, x), (b, y))| a == b && x.same_as(y));
        roster.by_entry = by_entry;
        roster.version += u64::from(!same);
    }

    /// All other processes by their listeners, always in the same order.
    pub fn others(&self, own: &str) -> Vec<String> {
        let roster = self.roster.lock();
        roster.by_entry.values().map(|rec| &rec.peers).filter(|a| *a != own).cloned().collect()
    }

    /// Up to `count` other processes that may help, by their listeners; another
    /// one comes first each time.
    pub fn helpers(&self, own: &str, count: usize) -> Vec<String> {
        let roster = self.roster.lock();
        let others: Vec<&String> =
            roster.by_entry.values().map(|rec| &rec.peers).filter(|a| *a != own).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        (0..others.len().min(count)).map(|n| others[(turn + n) % others.len()].clone()).collect()
    }
}

/// Keeps the process's own record, and reads those of others, for ever.
pub async fn run(node: Arc<Node>) {
    let mut renewed: Option<Duration> = None;
    let mut records = Records::default();
    loop {
        match read(&node, &mut records).await {
            Ok(()) => node.store_is_up(),
            Err(e) => {
                log::debug!("event=peers_not_read error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        }
        if renewed.is_none_or(|at| node.now() > at + RENEW_EVERY) && renew(&node).await {
            renewed = Some(node.now());
        }
        // The answer to who asked for it is the reading that follows.
        let _ = tokio::time::timeout(read_every(&node), node.peers.wanted.notified()).await;
    }
}

/// Time until the records are read again.
fn read_every(node: &Node) -> Duration {
    if node.leading.load().is_some() {
        READ_EVERY_LEADING
    } else if node.now() < NEW_FOR {
        READ_EVERY_NEW
    } else {
        READ_EVERY
    }
}

/// Writes the process's own record; returns whether it is stored.
async fn renew(node: &Node) -> bool {
    let s = &node.settings;
    let own = PeerRecord {
        peers: s.peers.to_string(),
        at: node.wall(),
        data_centre: s.data_centre.clone(),
        strength: s.strength(),
    };
    let rec = value_record(node.settings.name.clone(), &own);
    let res = node.platform.append(Topic::Peers, vec![rec], Guard::None).await;
    res.inspect_err(|e| log::warn!("event=peer_record_not_written error=\"{e}\"")).is_ok()
}

/// The records of all processes as they were read, and where to read on.
#[derive(Default)]
struct Records {
    by_entry: BTreeMap<String, PeerRecord>,
    next: Option<Offset>,
}

impl Records {
    fn take(&mut self, rec: KeyedRecord) {
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

/// Reads what is new in the records of all processes.
async fn read(node: &Node, known: &mut Records) -> Result<(), StoreError> {
    let news = match known.next {
        Some(from) => match node.platform.tail(Topic::Peers, from, Duration::ZERO).await {
            Err(StoreError::RecordsGone) => None,
            tail => Some(tail?),
        },
        None => None,
    };
    let (records, next) = match news {
        Some(tail) => (tail.records, tail.next),
        None => {
            let newest = node.platform.latest(Topic::Peers).await?;
            known.by_entry.clear();
            (newest.records, newest.next)
        }
    };
    records.into_iter().for_each(|rec| known.take(rec));
    known.next = Some(next);
    let now = node.wall();
    let age = |peer: &PeerRecord| Duration::from_millis(now.saturating_sub(peer.at));
    let old = known.by_entry.iter().filter(|(_, peer)| age(peer) > KEPT_FOR);
    let old: Vec<KeyedRecord> = old.map(|(entry, _)| drop_record(entry.clone())).collect();
    let fresh = known.by_entry.iter().filter(|(_, peer)| age(peer) < FRESH_FOR);
    node.peers.set_roster(fresh.map(|(entry, peer)| (entry.clone(), peer.clone())).collect());
    if old.is_empty() {
        return Ok(());
    }
    node.platform.append(Topic::Peers, old, Guard::None).await.map(|_| ())
}
