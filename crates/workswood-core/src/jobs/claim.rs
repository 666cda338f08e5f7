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
pub type Strength = u32;

/// Workers that one core can look after, looks, starts and decisions together.
const WORKERS_PER_CORE: f64 = 2400.0;
/// Workers that one Mbit/s carries: three looks a second of a kilobyte each,
/// with as much again for state and orders.
const WORKERS_PER_MBPS: f64 = 35.0;
/// An entry that can look after as many workers claims at once: with relays, a
/// holder need not look after more by itself.
const ENOUGH: Strength = 450;
/// How long an entry waits before a claim that could carry no worker at all; less
/// than it takes to notice that a holder is gone.
const LONGEST_DELAY: Duration = Duration::from_millis(1500);
/// A holder that has not renewed for this long is taken to be gone: three
/// renewals and an answer that was lost.
pub const EXPIRES: Duration = Duration::from_millis(1800);
/// A holder is replaced by one that can carry this many times as much.
const FAR_STRONGER: Strength = 2;
/// How long holder and candidate must have been there before that: an entry that
/// restarts again and again must not take the lease each time.
const SETTLED: Duration = Duration::from_secs(4);

/// Entries of each data centre that hear of each renewal: one may be lost with the holder.
const HEARS_HERE: usize = 2;
/// Entries that do at least, where data centres are few.
const HEARS: usize = 8;

/// Workers that an entry can look after with this many cores and a link of this
/// many Mbit/s.
pub fn strength(cores: f64, link_mbps: f64) -> Strength {
    (cores * WORKERS_PER_CORE).min(link_mbps * WORKERS_PER_MBPS) as Strength
}

/// The holder, as a candidate knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderSeen {
    /// Its incarnation.
    pub id: Incarnation,
    /// Name of its entry.
    pub name: String,
    /// Its term.
    pub term: Term,
    /// Whether it gave the lease back.
    pub released: bool,
    /// What it can carry; `None` if it does not say.
    pub strength: Option<Strength>,
}

/// A process that may claim the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// This life of the process.
    pub id: Incarnation,
    /// Name of its entry.
    pub name: String,
    /// What it can carry.
    pub strength: Strength,
    /// Latest term that was led here.
    pub led: Term,
}

/// How long ago things happened.
#[derive(Clone, Copy, Debug)]
pub struct Ages {
    /// Since the holder was last heard of, or could not have been heard of.
    pub heard: Duration,
    /// Since this holder's term was first seen.
    pub term: Duration,
    /// Since the candidate started.
    pub up: Duration,
}

/// Why the lease may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
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

impl Reason {
    /// Its name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Reason::NeverHeld => "never_held",
            Reason::Released => "released",
            Reason::OwnFormerLife => "own_former_life",
            Reason::GivenUpHere => "given_up_here",
            Reason::Expired => "expired",
            Reason::FarStronger => "far_stronger",
        }
    }
}

/// A part of a time that is the same for an entry whenever it is worked out: what all do now and then, they
/// do not do at once.
pub fn spread(name: &str, most: Duration) -> Duration {
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
    pub strength: Strength,
}

/// Whether an entry is one of those that hear of each renewal of the lease, and claim it as soon as it
/// expires: the strongest of each data centre, and of all. If all of them are lost, others find out
/// later; the rest would be woken for nothing.
pub fn hears_renewals<'a>(own: &str, entries: impl Iterator<Item = Entry<'a>> + Clone) -> bool {
    let Some(own) = entries.clone().find(|h| h.name == own) else { return true };
    let stronger = |h: &Entry<'_>| (h.strength, h.name) > (own.strength, own.name);
    let before = entries.filter(stronger);
    let here = before.clone().filter(|h| h.data_centre == own.data_centre).count();
    here < HEARS_HERE || before.count() < HEARS
}

impl Candidate {
    /// How long this entry lets stronger ones claim a free lease first.
    fn delay(&self) -> Duration {
        let lacking = 1.0 - f64::from(self.strength.min(ENOUGH)) / f64::from(ENOUGH);
        LONGEST_DELAY.mul_f64(lacking)
    }

    /// Why this process, which does not lead now, may claim the lease.
    pub fn reason_to_claim(&self, holder: Option<&HolderSeen>, ages: Ages) -> Option<Reason> {
        let delay = self.delay();
        let waited = ages.heard >= delay;
        let Some(holder) = holder else { return waited.then_some(Reason::NeverHeld) };
        let free = self.reason_free(holder).filter(|_| waited);
        if free.is_some() {
            return free;
        }
        if ages.heard > EXPIRES + delay {
            return Some(Reason::Expired);
        }
        self.replaces(holder, ages).then_some(Reason::FarStronger)
    }

    /// Why the lease is free though its holder may have been heard of just now.
    fn reason_free(&self, holder: &HolderSeen) -> Option<Reason> {
        if holder.released {
            Some(Reason::Released)
        } else if holder.name == self.name && holder.id != self.id {
            Some(Reason::OwnFormerLife)
        } else if holder.id == self.id && self.led >= holder.term {
            Some(Reason::GivenUpHere)
        } else {
            None
        }
    }

    /// Whether this process takes the lease from a holder that renews it.
    fn replaces(&self, holder: &HolderSeen, ages: Ages) -> bool {
        let other = holder.id != self.id;
        let weaker = holder.strength.is_some_and(|s| s.saturating_mul(FAR_STRONGER) <= self.strength);
        let settled = ages.term >= SETTLED && ages.up >= SETTLED;
        other && weaker && settled
    }
}
