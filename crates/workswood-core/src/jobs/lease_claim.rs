//! When a process claims the scheduler lease.
//!
//! Entries differ. The holder looks at every worker about three times a second and
//! reads all state when it takes over; on a small entry that takes seconds in
//! which nobody gets an answer. So an entry claims a free lease the later the less
//! it can carry, and one that can carry far more takes the lease over from a
//! small entry once both have been up for some time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, Term};

/// Workers that an entry can look after as holder.
pub type EntryCapacity = u32;

/// Workers that one core can look after, looks, starts and decisions together.
const WORKERS_PER_CORE: f64 = 2400.0;
/// Workers that one Mbit/s carries: three looks a second of a kilobyte each,
/// with as much again for state and orders.
const WORKERS_PER_MBPS: f64 = 35.0;
/// An entry that can look after as many workers claims at once: with relays, a
/// holder need not look after more by itself.
const SUFFICIENT_CAPACITY: EntryCapacity = 450;
/// How long an entry waits before a claim that could carry no worker at all; less
/// than it takes to notice that a holder is gone.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(1500);
/// A holder that has not renewed for this long is taken to be gone: three
/// renewals and an answer that was lost.
pub const LEASE_EXPIRES_AFTER: Duration = Duration::from_millis(1800);
/// A holder is replaced by one that can carry this many times as much.
const TAKEOVER_FACTOR: EntryCapacity = 2;
/// How long holder and candidate must have been there before that: an entry that
/// restarts again and again must not take the lease each time.
const MIN_AGE_FOR_TAKEOVER: Duration = Duration::from_secs(4);

/// Entries of each data centre that hear of each renewal: one may be lost with the holder.
const MIN_LISTENERS_PER_DATA_CENTRE: usize = 2;
/// Entries that do at least, where data centres are few.
const MIN_LISTENERS: usize = 8;

/// Workers that an entry can look after with this many cores and a link of this
/// many Mbit/s.
pub fn entry_capacity(cores: f64, link_mbps: f64) -> EntryCapacity {
    (cores * WORKERS_PER_CORE).min(link_mbps * WORKERS_PER_MBPS) as EntryCapacity
}

/// The holder, as a candidate knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedHolder {
    /// Its incarnation.
    pub id: Incarnation,
    /// Name of its entry.
    pub name: String,
    /// Its term.
    pub term: Term,
    /// Whether it gave the lease back.
    pub released: bool,
    /// What it can carry; `None` if it does not say.
    pub capacity: Option<EntryCapacity>,
}

/// A process that may claim the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// This life of the process.
    pub id: Incarnation,
    /// Name of its entry.
    pub name: String,
    /// What it can carry.
    pub capacity: EntryCapacity,
    /// Latest term that was led here.
    pub last_led_term: Term,
}

/// How long ago things happened.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTimes {
    /// Since the holder was last heard of, or could not have been heard of.
    pub since_heard: Duration,
    /// Since this holder's term was first seen.
    pub since_term_seen: Duration,
    /// Since the candidate started.
    pub uptime: Duration,
}

/// Why the lease may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// Nobody ever held it.
    NeverHeld,
    /// The holder gave it back.
    Released,
    /// The holder was a former life of this process.
    OwnFormerLife,
    /// It was led here and given up.
    GivenUpHere,
    /// The holder has not renewed it.
    Expired,
    /// The holder can carry far less.
    FarStronger,
}

impl ClaimReason {
    /// Its name in logs.
    pub fn label(self) -> &'static str {
        match self {
            ClaimReason::NeverHeld => "never_held",
            ClaimReason::Released => "released",
            ClaimReason::OwnFormerLife => "own_former_life",
            ClaimReason::GivenUpHere => "given_up_here",
            ClaimReason::Expired => "expired",
            ClaimReason::FarStronger => "far_stronger",
        }
    }
}

/// A part of a time that is the same for an entry whenever it is worked out: what all do now and then, they
/// do not do at once.
pub fn stable_jitter(name: &str, most: Duration) -> Duration {
    most.mul_f64(xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64)
}

/// An entry that may claim the lease, as others know it.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it stands.
    pub data_centre: &'a str,
    /// What it can carry.
    pub capacity: EntryCapacity,
}

/// Whether an entry is one of those that hear of each renewal of the lease, and claim it as soon as it
/// expires: the strongest of each data centre, and of all. If all of them are lost, others find out
/// later; the rest would be woken for nothing.
pub fn listens_for_renewals<'a>(own: &str, entries: impl Iterator<Item = Entry<'a>> + Clone) -> bool {
    let Some(own) = entries.clone().find(|h| h.name == own) else { return true };
    let stronger = |h: &Entry<'_>| (h.capacity, h.name) > (own.capacity, own.name);
    let before = entries.filter(stronger);
    let here = before.clone().filter(|h| h.data_centre == own.data_centre).count();
    here < MIN_LISTENERS_PER_DATA_CENTRE || before.count() < MIN_LISTENERS
}

impl Candidate {
    /// How long this entry lets stronger ones claim a free lease first.
    fn claim_delay(&self) -> Duration {
        let lacking =
            1.0 - f64::from(self.capacity.min(SUFFICIENT_CAPACITY)) / f64::from(SUFFICIENT_CAPACITY);
        MAX_CLAIM_DELAY.mul_f64(lacking)
    }

    /// Why this process, which does not lead now, may claim the lease.
    pub fn claim_reason(&self, holder: Option<&ObservedHolder>, ages: ClaimTimes) -> Option<ClaimReason> {
        let delay = self.claim_delay();
        let waited = ages.since_heard >= delay;
        let Some(holder) = holder else { return waited.then_some(ClaimReason::NeverHeld) };
        let free = self.free_reason(holder).filter(|_| waited);
        if free.is_some() {
            return free;
        }
        if ages.since_heard > LEASE_EXPIRES_AFTER + delay {
            return Some(ClaimReason::Expired);
        }
        self.should_take_over(holder, ages).then_some(ClaimReason::FarStronger)
    }

    /// Why the lease is free though its holder may have been heard of just now.
    fn free_reason(&self, holder: &ObservedHolder) -> Option<ClaimReason> {
        if holder.released {
            Some(ClaimReason::Released)
        } else if holder.name == self.name && holder.id != self.id {
            Some(ClaimReason::OwnFormerLife)
        } else if holder.id == self.id && self.last_led_term >= holder.term {
            Some(ClaimReason::GivenUpHere)
        } else {
            None
        }
    }

    /// Whether this process takes the lease from a holder that renews it.
    fn should_take_over(&self, holder: &ObservedHolder, ages: ClaimTimes) -> bool {
        let other = holder.id != self.id;
        let weaker = holder.capacity.is_some_and(|s| s.saturating_mul(TAKEOVER_FACTOR) <= self.capacity);
        let settled = ages.since_term_seen >= MIN_AGE_FOR_TAKEOVER && ages.uptime >= MIN_AGE_FOR_TAKEOVER;
        other && weaker && settled
    }
}
