//! Hosts, and the answers to orders to them.

use std::time::Duration;

use super::job::WorkerId;
use super::spec::Room;
use crate::ids::{DataCentre, HostId, ServiceId};

/// An order without an outcome is sent again after this time.
pub(super) const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It works, or could.
    Up,
    /// It changes its pool.
    Moving,
    /// It is being maintained.
    Upkeep,
    /// It is off or lost.
    Down,
}

/// A host, as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: HostId,
    /// The service whose pool it is in.
    pub pool: ServiceId,
    /// Its state.
    pub state: HostState,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Its room.
    pub capacity: Room,
    /// Its worker, of which the list may tell the name only.
    pub worker: Option<WorkerId>,
}

/// Answer to an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// Done, now or before.
    Done,
    /// Not now: the host is busy.
    Busy,
    /// Never: no such host, or not part of this wave.
    Impossible,
    /// Another holder has used a higher token for it.
    Fenced,
    /// No answer; it may have been done.
    NoAnswer,
    /// Refused for now without effect.
    Later,
}
