//! Which other entry processes are alive, from their heartbeats.
//!
//! Membership only steers who is asked and who is proposed for the roster. It
//! never decides anything that the log decides, so a cut that two processes
//! see differently splits no decision.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::ids::{DataCentre, Incarnation, Offset};

/// Silence after which a process is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a process counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(4_000);
/// Silence after which a dead process is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Members beyond which silence of those without a link counts less.
const MEMBERS_PER_DETOUR: u32 = 8;
/// Relays of a data centre: its first processes by address.
const RELAYS: usize = 2;
/// Neighbours on the ring of a data centre that a process talks to.
const NEIGHBOURS: usize = 8;

/// How a process seems from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// Heard of lately.
    Alive,
    /// Silent for a while.
    Suspect,
    /// Silent for long; not proposed for the roster.
    Dead,
}

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Beat {
    /// Address of its peer listener.
    pub address: String,
    /// Its incarnation.
    pub id: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Counts up with each beat; an older one changes nothing.
    pub number: u64,
    /// Next offset that it folds.
    pub next: Offset,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A process as known here.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRec {
    /// Its newest beat.
    pub beat: Beat,
    /// When the newest beat came, since the start of this process.
    pub heard: Duration,
    /// How it seems.
    pub liveness: Liveness,
    /// Whether the newest beat came from the process itself.
    pub direct: bool,
}

/// All processes known here, by address.
#[derive(Clone, Debug, Default)]
pub struct Members {
    all: BTreeMap<String, MemberRec>,
}

impl Members {
    /// Takes a beat in, from the process itself or told on by another; true if
    /// it told of something new about who is there.
    pub fn heard(&mut self, now: Duration, beat: Beat, direct: bool) -> bool {
        let old = self.all.get(&beat.address);
        let same = old.filter(|m| m.beat.id == beat.id);
        if same.is_some_and(|m| m.beat.number >= beat.number) {
            return false;
        }
        // Another incarnation at the address replaces the former one.
        let news = same.is_none_or(|m| m.liveness != Liveness::Alive || m.beat.stopping != beat.stopping);
        let rec = MemberRec { beat: beat.clone(), heard: now, liveness: Liveness::Alive, direct };
        self.all.insert(beat.address, rec);
        news
    }

    /// Ages all members; returns those whose liveness changed.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberRec> {
        let mut changed = Vec::new();
        // News told on by others takes longer the more members there are.
        let detours = 1 + self.all.len() as u32 / MEMBERS_PER_DETOUR;
        for m in self.all.values_mut() {
            let silence = now.saturating_sub(m.heard);
            let liveness = aged(if m.direct { silence } else { silence / detours });
            if liveness != m.liveness {
                m.liveness = liveness;
                changed.push(m.clone());
            }
        }
        self.all.retain(|_, m| now.saturating_sub(m.heard) < FORGET_AFTER);
        changed
    }

    /// All members known.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRec> {
        self.all.values()
    }

    /// Members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &MemberRec> {
        self.all.values().filter(|m| m.liveness != Liveness::Dead)
    }

    /// Whether an incarnation is present.
    pub fn has(&self, id: &str) -> bool {
        self.present().any(|m| m.beat.id == id)
    }

    /// Up to `n` members to tell others of, starting at a place that moves on
    /// with `round`, so that a beat stays small in a large fleet.
    pub fn sample(&self, round: u64, n: usize) -> Vec<Beat> {
        let present: Vec<&MemberRec> = self.present().collect();
        if present.is_empty() {
            return Vec::new();
        }
        let start = (round as usize).wrapping_mul(n) % present.len();
        let picked = present.iter().cycle().skip(start).take(n.min(present.len()));
        picked.map(|m| m.beat.clone()).collect()
    }

    /// Addresses that the process at `own` keeps links to: its neighbours on
    /// the ring of its data centre and that centre's relays; a relay also
    /// links to the relays of every other data centre.
    pub fn contacts(&self, own: &str, data_centre: &str) -> Vec<String> {
        let mut centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        centres.entry(data_centre).or_default().push(own);
        for m in self.present().filter(|m| m.beat.address != own) {
            centres.entry(&m.beat.data_centre).or_default().push(&m.beat.address);
        }
        for c in centres.values_mut() {
            c.sort_unstable();
        }
        let home = &centres[data_centre];
        let at = home.iter().position(|a| *a == own).unwrap_or(0);
        let ring = home.iter().cycle().skip(at + 1).take(NEIGHBOURS.min(home.len() - 1));
        let mut links: Vec<&str> = ring.copied().collect();
        links.extend(home.iter().take(RELAYS));
        if at < RELAYS {
            let others = centres.iter().filter(|(name, _)| **name != data_centre);
            links.extend(others.flat_map(|(_, c)| c.iter().take(RELAYS)));
        }
        links.sort_unstable();
        links.dedup();
        links.retain(|a| *a != own);
        links.into_iter().map(str::to_string).collect()
    }
}

fn aged(silence: Duration) -> Liveness {
    if silence >= DEAD_AFTER {
        Liveness::Dead
    } else if silence >= SUSPECT_AFTER {
        Liveness::Suspect
    } else {
        Liveness::Alive
    }
}
