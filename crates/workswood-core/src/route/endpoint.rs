//! An endpoint as one dispatcher sees it: the slots it may use there, and
//! whether it may use them.

use std::time::Duration;

use super::health::Health;
use super::table::Endpoint;
use crate::ids::{DataCentre, Incarnation, InstanceId};

/// How long a slot gained by a change of the roster stays unused, so that its
/// former owner's work can end.
const SETTLE: Duration = Duration::from_secs(1);

/// One slot of an endpoint, lent by one entry process to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Number of the loan at its lender.
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
    pub(super) closed_until: Duration,
    pub(super) owned: u32,
    pub(super) gained: Option<(u32, Duration)>,
    pub(super) lent: Vec<(Loan, Duration)>,
    pub(super) borrowed: Vec<(Loan, Duration)>,
    pub(super) in_flight: u32,
    pub(super) health: Health,
}

impl EndpointView {
    /// An endpoint just seen, without slots.
    pub(super) fn new(e: &Endpoint) -> EndpointView {
        EndpointView {
            address: e.address.clone(),
            data_centre: e.data_centre.clone(),
            open: e.open,
            closed_until: Duration::ZERO,
            owned: 0,
            gained: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            in_flight: 0,
            health: Health::default(),
        }
    }

    /// Slots that may be used here at a time.
    pub(super) fn held(&self, now: Duration) -> u32 {
        let gained = self.gained.filter(|(_, from)| now >= *from).map_or(0, |(n, _)| n);
        let own = (self.owned + gained).saturating_sub(self.lent.len() as u32);
        own + self.borrowed.len() as u32
    }

    /// Takes a share over; what is gained settles first.
    pub(super) fn set_share(&mut self, now: Duration, share: u32, settle: bool) {
        let held = self.owned + self.gained.map_or(0, |(n, _)| n);
        if share == held {
            return;
        }
        self.gained = None;
        if share > self.owned && settle {
            self.gained = Some((share - self.owned, now + SETTLE));
        } else {
            self.owned = share;
        }
    }

    pub(super) fn settle(&mut self, now: Duration) {
        if let Some((n, from)) = self.gained
            && now >= from
        {
            self.owned += n;
            self.gained = None;
        }
    }

    /// Whether it may get a new request, slots aside.
    pub(super) fn usable(&self, now: Duration) -> bool {
        self.open && now >= self.closed_until && self.health.may_send(now)
    }

    pub(super) fn free(&self, now: Duration) -> u32 {
        self.held(now).saturating_sub(self.in_flight)
    }
}
