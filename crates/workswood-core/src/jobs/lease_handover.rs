//! How a lease holder that the store refuses to serve, or that is told to stop, keeps the scheduler running.
//!
//! While the store refuses only the holder, other entries call the store for it. A holder that is told to stop
//! decides until the store answers, so that its release is written at once and a successor can follow.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::lease_claim::PeerEntry;

/// Time at the end of a stop in which the scheduler ends and the lease is released even if the store does not
/// answer.
const RELEASE_RESERVE: Duration = Duration::from_millis(600);

/// Parameters of a holder that the store refuses to serve, or that is told to stop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HandoverPolicy {
    /// Whether a holder that the store refuses to serve reads and writes through peers. Otherwise it releases
    /// the lease through one.
    pub through_peers: bool,
    /// Shortest time after which an append without an answer counts as late and is also sent through a peer.
    #[serde(with = "humantime_serde")]
    pub late_after: Duration,
    /// Whether a holder that is told to stop decides until the store answers. Otherwise it stops at once and
    /// tries to release the lease once.
    pub decides_until_answered: bool,
    /// Whether it is recorded when the leases of workers that don't answer end. All entries must be of a
    /// version that knows this setting. Such records are obeyed in any case.
    #[serde(skip_serializing_if = "is_true")]
    pub records_lease_ends: bool,
}

/// Whether a setting has its default `true`, with which it is not written.
fn is_true(setting: &bool) -> bool {
    *setting
}

impl Default for HandoverPolicy {
    fn default() -> HandoverPolicy {
        HandoverPolicy {
            through_peers: false,
            late_after: Duration::from_millis(250),
            decides_until_answered: false,
            records_lease_ends: true,
        }
    }
}

/// The entries that may call the store for the entry `own_name`, those with the highest capacity first. Of
/// entries with the same capacity, those of the same data centre come first.
pub fn rank_helpers<'a>(own_name: &str, entries: impl Iterator<Item = PeerEntry<'a>>) -> Vec<&'a str> {
    let mut entries: Vec<PeerEntry<'a>> = entries.collect();
    let own_data_centre = entries.iter().find(|e| e.name == own_name).map(|e| e.data_centre);
    entries.retain(|e| e.name != own_name);
    entries.sort_by_key(|e| (Reverse(e.capacity), Some(e.data_centre) != own_data_centre, e.name));
    entries.into_iter().map(|e| e.name).collect()
}

/// A holder that was told to stop.
#[derive(Clone, Copy, Debug)]
pub struct StoppingHolder {
    /// Whether the scheduler still runs.
    pub decides: bool,
    /// Whether a later term has begun.
    pub succeeded: bool,
    /// Whether the lease was renewed since the stop was asked for: the store answers.
    pub renewed: bool,
    /// Whether the release is written.
    pub released: bool,
    /// Time that is left for the stop.
    pub time_left: Duration,
}

/// What a holder that was told to stop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Go on deciding, and renew the lease.
    Decide,
    /// Stop the scheduler. Nothing may be decided once a release may be written.
    StopDeciding,
    /// Release the lease.
    Release,
    /// End.
    End,
}

impl StoppingHolder {
    /// The next step.
    pub fn next_step(self) -> StopStep {
        let waits = !self.renewed && self.time_left > RELEASE_RESERVE;
        if self.succeeded || self.released || self.time_left.is_zero() {
            if self.decides { StopStep::StopDeciding } else { StopStep::End }
        } else if !self.decides {
            StopStep::Release
        } else if waits {
            StopStep::Decide
        } else {
            StopStep::StopDeciding
        }
    }
}
