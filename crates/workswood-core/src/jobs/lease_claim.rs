//! When an entry claims the scheduler lease.
//!
//! The holder probes every worker several times a second and reads all state when it takes over,
//! which overloads a small entry. So the lower the capacity of an entry, the longer it delays its
//! claim of a free lease, and an entry with a much higher capacity takes the lease over from the
//! holder once the holder has held it, and the entry has been up, for some time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, Term};

/// Number of workers that an entry can manage as lease holder.
pub type EntryCapacity = u32;

/// Workers that one core can manage, including probes, starts and decisions.
const WORKERS_PER_CORE: f64 = 2400.0;
/// Workers that one Mbit/s of bandwidth can serve: probes, and as much again for state and orders.
const WORKERS_PER_MBPS: f64 = 35.0;
/// An entry with at least this capacity claims without delay: relays manage any further workers for
/// the holder.
const SUFFICIENT_CAPACITY: EntryCapacity = 450;
/// Claim delay of an entry with no capacity; shorter than the time after which a lease expires.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(1500);
/// A lease that was not renewed for this long has expired. Longer than the interval of several
/// renewals, so that a single lost one does not matter.
pub const LEASE_EXPIRES_AFTER: Duration = Duration::from_millis(1800);
/// A candidate takes the lease over from a holder if its capacity is at least this many times as
/// high.
const TAKEOVER_FACTOR: EntryCapacity = 2;
/// How long the holder must have held the lease, and the candidate must have been up, before a
/// takeover; keeps an entry that restarts repeatedly from taking the lease each time.
const MIN_AGE_FOR_TAKEOVER: Duration = Duration::from_secs(4);

/// Minimum number of entries of each data centre that listen for renewals, so that one remains when
/// the holder is lost.
const MIN_LISTENERS_PER_DATA_CENTRE: usize = 2;
/// Minimum number of listening entries over all data centres; matters where there are few.
const MIN_LISTENERS: usize = 8;

/// Number of workers that an entry can manage with this many cores and this much bandwidth in
/// Mbit/s.
pub fn entry_capacity(cores: f64, link_mbps: f64) -> EntryCapacity {
    (cores * WORKERS_PER_CORE).min(link_mbps * WORKERS_PER_MBPS) as EntryCapacity
}

/// The lease holder as observed by a candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedHolder {
    /// Incarnation of the holder.
    pub id: Incarnation,
    /// Name of the entry.
    pub name: String,
    /// Term of the lease.
    pub term: Term,
    /// Whether the holder released the lease.
    pub released: bool,
    /// Capacity of the holder; `None` if unknown.
    pub capacity: Option<EntryCapacity>,
}

/// An entry that may claim the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Incarnation of the entry.
    pub id: Incarnation,
    /// Name of the entry.
    pub name: String,
    /// Capacity of the entry.
    pub capacity: EntryCapacity,
    /// Latest term in which this incarnation held the lease.
    pub last_held_term: Term,
}

/// The times that decide whether a lease may be claimed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTimes {
    /// Time since a renewal by the holder was last observed, or since the candidate became able to
    /// observe one, whichever is later.
    pub since_heard: Duration,
    /// Time since the term of the holder was first observed.
    pub since_term_seen: Duration,
    /// Time since the candidate started.
    pub uptime: Duration,
}

/// Why the lease may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// The lease was never held.
    NeverHeld,
    /// The holder released the lease.
    Released,
    /// The holder was an earlier incarnation of this entry.
    OwnEarlierIncarnation,
    /// This incarnation held the lease and gave it up.
    GivenUpHere,
    /// The holder did not renew the lease in time.
    Expired,
    /// The capacity of the candidate is much higher than the holder's.
    MuchHigherCapacity,
}

impl ClaimReason {
    /// Name of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            ClaimReason::NeverHeld => "never_held",
            ClaimReason::Released => "released",
            ClaimReason::OwnEarlierIncarnation => "own_former_life",
            ClaimReason::GivenUpHere => "given_up_here",
            ClaimReason::Expired => "expired",
            ClaimReason::MuchHigherCapacity => "far_stronger",
        }
    }
}

/// A jitter between zero and `max` that depends only on `name`, so that periodic work of the
/// entries does not coincide.
pub fn stable_jitter(name: &str, max: Duration) -> Duration {
    max.mul_f64(xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64)
}

/// An entry that may claim the lease, as known to the other entries.
#[derive(Clone, Copy, Debug)]
pub struct PeerEntry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Data centre of the entry.
    pub data_centre: &'a str,
    /// Capacity of the entry.
    pub capacity: EntryCapacity,
}

/// Whether the entry named `own_name` listens for each renewal of the lease, to claim it as soon as
/// it expires. The entries with the highest capacity do, of each data centre and overall. The
/// others are spared the traffic; they notice an expired lease later. Returns true if `own_name` is
/// not among `entries`.
pub fn listens_for_renewals<'a>(
    own_name: &str,
    entries: impl Iterator<Item = PeerEntry<'a>> + Clone,
) -> bool {
    let Some(own) = entries.clone().find(|e| e.name == own_name) else { return true };
    let ranks_higher = |e: &PeerEntry<'_>| (e.capacity, e.name) > (own.capacity, own.name);
    let higher = entries.filter(ranks_higher);
    let same_data_centre = higher.clone().filter(|e| e.data_centre == own.data_centre).count();
    same_data_centre < MIN_LISTENERS_PER_DATA_CENTRE || higher.count() < MIN_LISTENERS
}

impl Candidate {
    /// How long this entry leaves a free lease to candidates with a higher capacity.
    fn claim_delay(&self) -> Duration {
        let shortfall =
            1.0 - f64::from(self.capacity.min(SUFFICIENT_CAPACITY)) / f64::from(SUFFICIENT_CAPACITY);
        MAX_CLAIM_DELAY.mul_f64(shortfall)
    }

    /// Why this entry, which does not hold the lease, may claim it; `None` if it may not.
    pub fn claim_reason(&self, holder: Option<&ObservedHolder>, times: ClaimTimes) -> Option<ClaimReason> {
        let delay = self.claim_delay();
        let waited = times.since_heard >= delay;
        let Some(holder) = holder else { return waited.then_some(ClaimReason::NeverHeld) };
        let free = self.free_reason(holder).filter(|_| waited);
        if free.is_some() {
            return free;
        }
        if times.since_heard > LEASE_EXPIRES_AFTER + delay {
            return Some(ClaimReason::Expired);
        }
        self.should_take_over(holder, times).then_some(ClaimReason::MuchHigherCapacity)
    }

    /// Why the lease is free even if a renewal was observed recently; `None` if it is not.
    fn free_reason(&self, holder: &ObservedHolder) -> Option<ClaimReason> {
        if holder.released {
            Some(ClaimReason::Released)
        } else if holder.name == self.name && holder.id != self.id {
            Some(ClaimReason::OwnEarlierIncarnation)
        } else if holder.id == self.id && self.last_held_term >= holder.term {
            Some(ClaimReason::GivenUpHere)
        } else {
            None
        }
    }

    /// Whether this entry takes the lease over from a holder that still renews it.
    fn should_take_over(&self, holder: &ObservedHolder, times: ClaimTimes) -> bool {
        let other_incarnation = holder.id != self.id;
        let lower_capacity =
            holder.capacity.is_some_and(|c| c.saturating_mul(TAKEOVER_FACTOR) <= self.capacity);
        let old_enough =
            times.since_term_seen >= MIN_AGE_FOR_TAKEOVER && times.uptime >= MIN_AGE_FOR_TAKEOVER;
        other_incarnation && lower_capacity && old_enough
    }
}
