//! Hosts as the platform lists them, and replies to orders to hosts.

use std::time::Duration;

use super::job::WorkerId;
use super::spec::Resources;
use crate::ids::{DataCentre, HostId, ServiceId};

/// An order without a reply is sent again after this time.
pub(super) const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It is in service, or turned off in the spare pool.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is under maintenance.
    Upkeep,
    /// It is unreachable, lost or turned off.
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
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// Labels such as its kind and rack.
    pub labels: Vec<String>,
    /// Its capacity.
    pub capacity: Resources,
    /// The worker on it. The list may tell only the name, not the incarnation.
    pub worker: Option<WorkerId>,
}

/// Reply to an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// The order was carried out, now or before.
    Done,
    /// The host is busy; nothing was done.
    Busy,
    /// The order can never be carried out: no such host, or it is not part of the wave.
    Impossible,
    /// A holder with a higher fencing token has ordered the host.
    Fenced,
    /// No answer came; the order may have been carried out.
    NoAnswer,
    /// The order was refused for now, without effect.
    Later,
}
