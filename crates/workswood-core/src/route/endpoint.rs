//! An endpoint as one dispatcher sees it: its health and the slots that the dispatcher
//! holds there.

use std::time::Duration;

use super::health::Health;
use super::table::Endpoint;
use crate::ids::{DataCentre, Incarnation, InstanceId};

/// Delay before a slot gained by a change of the roster is used. Requests that its former
/// owner has in flight there can end meanwhile.
const SLOT_HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// One slot of an endpoint, lent by one entry to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Number of the loan, assigned by its lender.
    pub id: u64,
    /// The other side: the lender at the borrower, the borrower at the lender.
    pub peer: Incarnation,
    /// The endpoint.
    pub endpoint: InstanceId,
}

/// An endpoint as the dispatcher sees it.
#[derive(Clone, Debug)]
pub(super) struct EndpointView {
    pub(super) address: String,
    pub(super) data_centre: DataCentre,
    pub(super) open: bool,
    /// No requests are sent before this time, because the endpoint announced that it is leaving.
    pub(super) leaving_until: Duration,
    /// Owned slots, including those that are lent to peers.
    pub(super) owned: u32,
    /// Slots gained by a change of the roster, and the time from which they are owned.
    pub(super) pending_gain: Option<(u32, Duration)>,
    /// Slots lent to peers, and when each loan was last confirmed.
    pub(super) lent: Vec<(Loan, Duration)>,
    /// Slots borrowed from peers, and when each was borrowed.
    pub(super) borrowed: Vec<(Loan, Duration)>,
    pub(super) in_flight: u32,
    pub(super) health: Health,
}

impl EndpointView {
    /// A new endpoint of the routing table, without slots.
    pub(super) fn new(e: &Endpoint) -> EndpointView {
        EndpointView {
            address: e.address.clone(),
            data_centre: e.data_centre.clone(),
            open: e.open,
            leaving_until: Duration::ZERO,
            owned: 0,
            pending_gain: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            in_flight: 0,
            health: Health::default(),
        }
    }

    /// Number of slots that this dispatcher may use on the endpoint, free or not.
    pub(super) fn held_slots(&self, now: Duration) -> u32 {
        let gained = self.pending_gain.filter(|(_, from)| now >= *from).map_or(0, |(n, _)| n);
        let own = (self.owned + gained).saturating_sub(self.lent.len() as u32);
        own + self.borrowed.len() as u32
    }

    /// Sets the number of owned slots. If the roster has changed, slots that are gained can be
    /// used only after a delay.
    pub(super) fn set_owned(&mut self, now: Duration, owned: u32, roster_changed: bool) {
        let current = self.owned + self.pending_gain.map_or(0, |(n, _)| n);
        if owned == current {
            return;
        }
        self.pending_gain = None;
        if owned > self.owned && roster_changed {
            self.pending_gain = Some((owned - self.owned, now + SLOT_HANDOVER_DELAY));
        } else {
            self.owned = owned;
        }
    }

    /// Turns gained slots into owned ones when their delay is over.
    pub(super) fn apply_pending_gain(&mut self, now: Duration) {
        if let Some((n, from)) = self.pending_gain
            && now >= from
        {
            self.owned += n;
            self.pending_gain = None;
        }
    }

    /// Whether the endpoint may get a new request, apart from free slots.
    pub(super) fn accepts_requests(&self, now: Duration) -> bool {
        self.open && now >= self.leaving_until && self.health.may_send(now)
    }

    /// Number of held slots without a request.
    pub(super) fn free_slots(&self, now: Duration) -> u32 {
        self.held_slots(now).saturating_sub(self.in_flight)
    }
}
