//! Through which entry another one is reached.
//!
//! Two data centres may be cut off from each other while a third reaches both. An entry then reaches
//! those of the other data centre through a *bridge*, an entry of a third one. [`Routes`] remembers
//! for each data centre which way worked last, and which entries failed as bridges recently.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::lease_claim::EntryCapacity;
use crate::ids::{DataCentre, HostId};

/// A relay whose way is lost again within this time is taken to be silent: a slow connection loses any way.
const REPEATED_LOSS: Duration = Duration::from_secs(5);

/// Settings for the use of bridges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BridgePolicy {
    /// Whether entries of other data centres are reached through bridges.
    pub enabled: bool,
    /// How long one way may stay without an answer before another one is tried beside it.
    #[serde(with = "humantime_serde")]
    pub hedge_after: Duration,
    /// How long a relay may be silent before it is looked for by other ways.
    #[serde(with = "humantime_serde")]
    pub suspect_after: Duration,
    /// Time between two checks of the direct way while a bridge is used.
    #[serde(rename = "direct_again", with = "humantime_serde")]
    pub direct_interval: Duration,
    /// Time for which an entry that failed as a bridge is not chosen again.
    #[serde(rename = "shun_for", with = "humantime_serde")]
    pub backoff: Duration,
}

impl Default for BridgePolicy {
    fn default() -> BridgePolicy {
        BridgePolicy {
            enabled: false,
            hedge_after: Duration::from_millis(150),
            suspect_after: Duration::from_millis(450),
            direct_interval: Duration::from_secs(2),
            backoff: Duration::from_secs(2),
        }
    }
}

/// An entry as the choice of a bridge sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BridgeEntry {
    /// Name of the entry.
    pub name: HostId,
    /// Address of its peer listener.
    pub address: String,
    /// Data centre of the entry; empty if unknown.
    pub data_centre: DataCentre,
    /// Its capacity as lease holder; its share of the connections rises with it.
    pub capacity: EntryCapacity,
}

/// A way to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// A connection of its own.
    Direct,
    /// Through the entry of this name.
    Bridge(HostId),
}

impl Way {
    /// Whether this way goes through the entry of a name.
    pub fn is_through(&self, entry: &str) -> bool {
        matches!(self, Way::Bridge(bridge) if bridge == entry)
    }
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Way::Direct => write!(f, "direct"),
            Way::Bridge(bridge) => write!(f, "bridge:{bridge}"),
        }
    }
}

/// Which way is tried first, and whether it is time to check the direct one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstWay {
    /// The way that is tried first.
    pub way: Way,
    /// Whether to check the direct way beside it.
    pub direct_due: bool,
}

/// A data centre that is reached through a bridge.
#[derive(Clone, Debug)]
struct BridgedRoute {
    bridge: HostId,
    /// When the direct way is to be tried again.
    direct_due: Duration,
}

/// Which way to each data centre worked last.
#[derive(Debug, Default)]
pub struct Routes {
    /// Data centres that are not reached directly.
    bridged: BTreeMap<DataCentre, BridgedRoute>,
    /// Entries that are not chosen as bridges before the given time: to an entry, or to any with
    /// `None`.
    backoff_until: BTreeMap<(HostId, Option<HostId>), Duration>,
    /// When the way to a relay was last lost.
    ways_lost: BTreeMap<HostId, Duration>,
}

impl Routes {
    /// The way to try first to an entry of a data centre. Counts a try of the direct way that it
    /// asks for.
    pub fn first_way(&mut self, data_centre: &str, policy: &BridgePolicy, now: Duration) -> FirstWay {
        let Some(route) = self.bridged.get_mut(data_centre) else {
            return FirstWay { way: Way::Direct, direct_due: false };
        };
        let direct_due = route.direct_due <= now;
        if direct_due {
            route.direct_due = now + policy.direct_interval;
        }
        FirstWay { way: Way::Bridge(route.bridge.clone()), direct_due }
    }

    /// Bridges from an entry to another, best first: the one that worked last for the data centre of
    /// `to`, then by rank. An entry of either data centre, or that failed recently, is left out.
    pub fn bridges(
        &self,
        from: &BridgeEntry,
        to: &BridgeEntry,
        entries: &[BridgeEntry],
        now: Duration,
    ) -> Vec<BridgeEntry> {
        if from.data_centre == to.data_centre {
            return Vec::new();
        }
        let last = self.bridged.get(&to.data_centre).map(|route| &route.bridge);
        let pair = format!("{}/{}", from.name, to.name);
        let mut ranked: Vec<(bool, f64, &BridgeEntry)> = entries
            .iter()
            .filter(|e| e.data_centre != from.data_centre && e.data_centre != to.data_centre)
            .filter(|e| e.capacity > 0 && !e.data_centre.is_empty())
            .filter(|e| !self.is_shunned(e, to, now))
            .map(|e| (Some(&e.name) != last, weighted_rank(e, &pair), e))
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, e)| e.clone()).collect()
    }

    /// Notes that an entry of a data centre answered by a way. Returns whether another way is now
    /// used for that data centre.
    pub fn answered(&mut self, data_centre: &str, way: &Way, policy: &BridgePolicy, now: Duration) -> bool {
        match way {
            Way::Direct => self.bridged.remove(data_centre).is_some(),
            Way::Bridge(bridge) => {
                let before = self.bridged.get(data_centre);
                let changed = before.is_none_or(|route| route.bridge != *bridge);
                // The direct way may only have been slow, so it is checked soon.
                let direct_due = before.map_or(now + policy.hedge_after, |route| route.direct_due);
                let route = BridgedRoute { bridge: bridge.clone(), direct_due };
                self.bridged.insert(data_centre.to_string(), route);
                changed
            }
        }
    }

    /// Notes that a bridge failed to reach an entry, or that the bridge itself was not reached if `to`
    /// is `None`. Others are chosen for some time.
    pub fn bridge_failed(
        &mut self,
        bridge: &HostId,
        to: Option<&BridgeEntry>,
        policy: &BridgePolicy,
        now: Duration,
    ) {
        self.backoff_until.retain(|_, until| *until > now);
        let key = (bridge.clone(), to.map(|e| e.name.clone()));
        self.backoff_until.insert(key, now + policy.backoff);
        let leads_there = |data_centre: &DataCentre| to.is_none_or(|e| e.data_centre == *data_centre);
        self.bridged.retain(|data_centre, route| route.bridge != *bridge || !leads_there(data_centre));
    }

    /// Notes that the way to a relay was lost. Returns whether that had happened shortly before.
    pub fn way_lost(&mut self, relay: &HostId, now: Duration) -> bool {
        self.ways_lost.retain(|_, lost| *lost + REPEATED_LOSS > now);
        self.ways_lost.insert(relay.clone(), now).is_some()
    }

    /// Whether a bridge to an entry failed recently.
    fn is_shunned(&self, bridge: &BridgeEntry, to: &BridgeEntry, now: Duration) -> bool {
        let keys = [(bridge.name.clone(), None), (bridge.name.clone(), Some(to.name.clone()))];
        keys.iter().any(|key| self.backoff_until.get(key).is_some_and(|until| *until > now))
    }

    /// Number of data centres that are reached through a bridge.
    pub fn bridged_count(&self) -> usize {
        self.bridged.len()
    }
}

/// At most `max` of the bridges, which are given best first: the best, then the best of each other data
/// centre, then the rest. The one that `except` goes through is left out.
pub fn spread_bridges(ranked: Vec<BridgeEntry>, except: Option<&Way>, max: usize) -> Vec<BridgeEntry> {
    let usable = ranked.into_iter().filter(|e| except.is_none_or(|way| !way.is_through(&e.name)));
    let mut seen = BTreeSet::new();
    let (mut chosen, rest): (Vec<_>, Vec<_>) = usable.partition(|e| seen.insert(e.data_centre.clone()));
    chosen.extend(rest);
    chosen.truncate(max);
    chosen
}

/// Rank for weighted rendezvous hashing; the lowest is the best. An entry comes first for a share of
/// all pairs that is proportional to its capacity.
fn weighted_rank(entry: &BridgeEntry, pair: &str) -> f64 {
    let hash = xxh3_64(format!("{}/{pair}", entry.name).as_bytes());
    // Uniform between 0 and 1, and never 0.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / f64::from(entry.capacity)
}
