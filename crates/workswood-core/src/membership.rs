//! Which other entry processes are alive, from their heartbeats.
//!
//! Membership only selects which processes are asked and which are proposed for
//! the roster. Everything that must be consistent is decided by the log, so a
//! network partition that two processes see differently can't split a decision.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::ids::{DataCentre, Incarnation, Offset};

/// Time without a heartbeat after which a process is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time without a heartbeat after which a process counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(4_000);
/// Time without a heartbeat after which a dead process is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(120);
/// The timeouts of a member whose heartbeats are relayed grow by one timeout for each
/// this many members.
const MEMBERS_PER_EXTRA_TIMEOUT: u32 = 8;
/// Number of gateways of a data centre, which link it to other data centres; they are
/// its first processes by address.
const GATEWAYS_PER_DATA_CENTRE: usize = 2;
/// Number of the next processes on the ring of a data centre that a process keeps
/// links to.
const RING_NEIGHBOURS: usize = 8;

/// Liveness of a process as judged by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// A heartbeat arrived within [`SUSPECT_AFTER`].
    Alive,
    /// No heartbeat for [`SUSPECT_AFTER`].
    Suspect,
    /// No heartbeat for [`DEAD_AFTER`]; not proposed for the roster.
    Dead,
}

/// A heartbeat: what a process reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Heartbeat {
    /// Address of its peer listener.
    pub address: String,
    /// Its incarnation.
    pub id: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of the heartbeat; a heartbeat that is not newer is ignored.
    #[serde(rename = "number")]
    pub seq: u64,
    /// Offset of the next envelope that it folds.
    #[serde(rename = "next")]
    pub next_offset: Offset,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A process known to this process.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its newest heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// When the newest heartbeat arrived, as time since the start of this process.
    #[serde(rename = "heard")]
    pub heard_at: Duration,
    /// Its liveness.
    pub liveness: Liveness,
    /// Whether the newest heartbeat came from the process itself and was not relayed.
    #[serde(rename = "direct")]
    pub heard_directly: bool,
}

/// All processes known to this process.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_address: BTreeMap<String, Member>,
}

impl Members {
    /// Records a heartbeat, received from the process itself (`directly`) or
    /// relayed by another one. Returns true if it changes which processes are
    /// alive or stopping.
    pub fn record_heartbeat(&mut self, now: Duration, heartbeat: Heartbeat, directly: bool) -> bool {
        let at_address = self.by_address.get(&heartbeat.address);
        let known = at_address.filter(|m| m.heartbeat.id == heartbeat.id);
        if known.is_some_and(|m| m.heartbeat.seq >= heartbeat.seq) {
            return false;
        }
        // A new incarnation at an address replaces the previous one.
        let changed =
            known.is_none_or(|m| m.liveness != Liveness::Alive || m.heartbeat.stopping != heartbeat.stopping);
        let member = Member {
            heartbeat: heartbeat.clone(),
            heard_at: now,
            liveness: Liveness::Alive,
            heard_directly: directly,
        };
        self.by_address.insert(heartbeat.address, member);
        changed
    }

    /// Updates the liveness of all members; returns those whose liveness changed.
    pub fn update_liveness(&mut self, now: Duration) -> Vec<Member> {
        let mut changed = Vec::new();
        // Relayed heartbeats take longer the more members there are.
        let relayed_timeouts = 1 + self.by_address.len() as u32 / MEMBERS_PER_EXTRA_TIMEOUT;
        for m in self.by_address.values_mut() {
            let silence = now.saturating_sub(m.heard_at);
            let liveness =
                liveness_after(if m.heard_directly { silence } else { silence / relayed_timeouts });
            if liveness != m.liveness {
                m.liveness = liveness;
                changed.push(m.clone());
            }
        }
        self.by_address.retain(|_, m| now.saturating_sub(m.heard_at) < REMOVE_AFTER);
        changed
    }

    /// All known members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_address.values()
    }

    /// Members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.by_address.values().filter(|m| m.liveness != Liveness::Dead)
    }

    /// Whether an incarnation is known and not dead.
    pub fn is_present(&self, id: &str) -> bool {
        self.present().any(|m| m.heartbeat.id == id)
    }

    /// Heartbeats of up to `n` members to relay to others. The selection moves on
    /// with `round`, so that messages stay small in a large fleet.
    pub fn sample_heartbeats(&self, round: u64, n: usize) -> Vec<Heartbeat> {
        let present: Vec<&Member> = self.present().collect();
        if present.is_empty() {
            return Vec::new();
        }
        let start = (round as usize).wrapping_mul(n) % present.len();
        let sample = present.iter().cycle().skip(start).take(n.min(present.len()));
        sample.map(|m| m.heartbeat.clone()).collect()
    }

    /// Addresses that the process at `own` keeps links to: the next processes on
    /// the ring of its data centre and the gateways of that data centre. A gateway also
    /// links to the gateways of every other data centre.
    pub fn link_addresses(&self, own: &str, data_centre: &str) -> Vec<String> {
        let mut centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        centres.entry(data_centre).or_default().push(own);
        for m in self.present().filter(|m| m.heartbeat.address != own) {
            centres.entry(&m.heartbeat.data_centre).or_default().push(&m.heartbeat.address);
        }
        for c in centres.values_mut() {
            c.sort_unstable();
        }
        let home = &centres[data_centre];
        let position = home.iter().position(|a| *a == own).unwrap_or(0);
        let ring = home.iter().cycle().skip(position + 1).take(RING_NEIGHBOURS.min(home.len() - 1));
        let mut links: Vec<&str> = ring.copied().collect();
        links.extend(home.iter().take(GATEWAYS_PER_DATA_CENTRE));
        if position < GATEWAYS_PER_DATA_CENTRE {
            let others = centres.iter().filter(|(name, _)| **name != data_centre);
            links.extend(others.flat_map(|(_, c)| c.iter().take(GATEWAYS_PER_DATA_CENTRE)));
        }
        links.sort_unstable();
        links.dedup();
        links.retain(|a| *a != own);
        links.into_iter().map(str::to_string).collect()
    }
}

/// Liveness of a process that has sent no heartbeat for `silence`.
fn liveness_after(silence: Duration) -> Liveness {
    if silence >= DEAD_AFTER {
        Liveness::Dead
    } else if silence >= SUSPECT_AFTER {
        Liveness::Suspect
    } else {
        Liveness::Alive
    }
}
