//! The dispatcher of one service on one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint::{EndpointView, Loan};
use super::health::HealthState;
use super::queue::{ClassQueues, MAX_QUEUED, QueuedRequest};
use super::retry::RetryBudget;
use super::slot_ownership::owned_slots;
use super::table::ServiceView;
use crate::code::Code;
use crate::fleet::PriorityClass;
use crate::ids::{DataCentre, InstanceId};
use crate::invariant;

/// Number of one attempt to get a slot for a request, unique on this entry.
pub type RequestId = u64;

/// Minimum time between borrowing a slot and returning it because it is free.
const MIN_LOAN_DURATION: Duration = Duration::from_millis(100);
/// A lender takes a slot back when its borrower has not confirmed the loan for this long,
/// because the borrower has presumably failed.
const LOAN_CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of slots to borrow at once.
const MAX_SLOT_DEMAND: u32 = 8;
/// Initial estimate of the mean time that a request holds a slot, in seconds.
const INITIAL_MEAN_SECS: f64 = 0.02;
/// Weight of a new sample in the moving average of that time.
const MEAN_REQUEST_WEIGHT: f64 = 0.02;
/// At most one in this many endpoints of a service is ejected, but one is always allowed.
const ENDPOINTS_PER_EJECTION: usize = 3;
/// Lower bound of the limit on queued urgent requests; that of normal ones is a multiple of it.
const MIN_QUEUE_LIMIT: usize = 16;
/// Delay before peers are asked again after one of them lent nothing.
const BORROW_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval at which the back-off of healthy endpoints is reset.
const BACKOFF_RESET_INTERVAL: Duration = Duration::from_secs(60);
/// How long an endpoint that announced that it is leaving gets no requests. After that only
/// the routing table says whether it is open.
const LEAVING_DURATION: Duration = Duration::from_secs(10);

/// What an entry has to do for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an endpoint.
    Send {
        /// The request.
        request_id: RequestId,
        /// The endpoint.
        endpoint: InstanceId,
        /// Its address.
        address: String,
        /// Whether this entry has more requests in flight to the endpoint than it owns slots there.
        borrowed: bool,
        /// Number of open endpoints that get no requests because of their health.
        passed_over: usize,
    },
    /// Refuses a request without sending it.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// The reason.
        code: Code,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
    /// Returns a borrowed slot to its lender.
    ReturnLoan(Loan),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered without an error.
    Success,
    /// The endpoint failed or could not be reached.
    Failure,
    /// The result says nothing about the endpoint's health, for example because the caller
    /// disconnected.
    Neutral,
}

/// Slots that an entry wants to borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotDemand {
    /// Number of slots.
    pub slots: u32,
}

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Maximum number of queued requests per class.
    pub max_queued: usize,
    /// Whether slots are lent to and borrowed from peers.
    pub lend: bool,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        DispatcherConfig { max_queued: MAX_QUEUED, lend: true }
    }
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct InFlightRequest {
    endpoint: InstanceId,
    class: PriorityClass,
    sent_at: Duration,
    /// Whether it probes an ejected endpoint.
    is_probe: bool,
}

/// The dispatcher of one service on one entry.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
    data_centre: DataCentre,
    endpoints: BTreeMap<InstanceId, EndpointView>,
    queues: ClassQueues,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    retry_budget: RetryBudget,
    /// Moving average of the time that a request holds a slot, in seconds, over the successful
    /// requests of all classes but `long`.
    mean_request_secs: f64,
    last_backoff_reset: Duration,
    /// Number of endpoints chosen so far.
    round_robin: usize,
    /// Index on the roster, if this entry is on it, and the length of the roster.
    roster_position: (Option<usize>, usize),
    last_loan_id: u64,
    borrow_not_before: Duration,
}

/// Maximum number of queued requests of a class while `slots` slots can be used. A longer
/// queue of urgent requests would add waiting time without serving more of them.
fn queue_limit(class: PriorityClass, slots: u32) -> usize {
    let slots = slots as usize;
    match class {
        PriorityClass::Urgent => (2 * slots).max(MIN_QUEUE_LIMIT),
        PriorityClass::Normal => (16 * slots).max(8 * MIN_QUEUE_LIMIT),
        PriorityClass::Long | PriorityClass::Later => MAX_QUEUED,
    }
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints for an entry in a data centre.
    pub fn new(data_centre: &str, config: DispatcherConfig) -> Dispatcher {
        Dispatcher {
            config,
            data_centre: data_centre.to_string(),
            endpoints: BTreeMap::new(),
            queues: ClassQueues::default(),
            in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            mean_request_secs: INITIAL_MEAN_SECS,
            last_backoff_reset: Duration::ZERO,
            round_robin: 0,
            roster_position: (None, 0),
            last_loan_id: 0,
            borrow_not_before: Duration::ZERO,
        }
    }

    /// Applies a new routing table: the service, this entry's index on the roster if it is there,
    /// and the length of the roster.
    pub fn update(
        &mut self,
        now: Duration,
        view: &ServiceView,
        member_index: Option<usize>,
        member_count: usize,
    ) -> Vec<Action> {
        let roster_changed = self.roster_position != (member_index, member_count);
        self.roster_position = (member_index, member_count);
        let mut previous = std::mem::take(&mut self.endpoints);
        for e in &view.endpoints {
            let kept = previous.remove(&e.id).filter(|p| p.address == e.address);
            let mut ep = kept.unwrap_or_else(|| EndpointView::new(e));
            ep.open = e.open;
            let owned =
                member_index.map_or(0, |m| owned_slots(view.slots_per_endpoint, e.number, m, member_count));
            ep.set_owned(now, owned, roster_changed);
            self.endpoints.insert(e.id.clone(), ep);
        }
        self.dispatch_queued(now)
    }

    /// Stops sending requests for a while to an endpoint that announced that it is leaving, before
    /// the routing table shows it as closed.
    pub fn mark_leaving(&mut self, now: Duration, endpoint: &str) {
        if let Some(e) = self.endpoints.get_mut(endpoint) {
            e.leaving_until = now + LEAVING_DURATION;
        }
    }

    /// Takes in a new request: it is sent, queued or refused.
    pub fn submit(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: PriorityClass,
        deadline: Duration,
    ) -> Vec<Action> {
        self.retry_budget.record_first_attempt();
        self.admit(now, request_id, class, deadline, &[])
    }

    /// Takes in a request for another attempt that avoids the endpoints in `tried` if it can be
    /// sent at once. Returns `None` if the retry budget is exhausted.
    pub fn retry(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: PriorityClass,
        deadline: Duration,
        tried: &[InstanceId],
    ) -> Option<Vec<Action>> {
        if !self.retry_budget.try_take() {
            return None;
        }
        Some(self.admit(now, request_id, class, deadline, tried))
    }

    /// Sends, queues or refuses a request.
    fn admit(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: PriorityClass,
        deadline: Duration,
        tried: &[InstanceId],
    ) -> Vec<Action> {
        let slots = self.usable_slots(now);
        let queue_is_empty = self.queues.len(class) == 0;
        if queue_is_empty
            && self.queues.may_take_slot(class, slots)
            && let Some(id) = self.choose_endpoint(now, tried)
        {
            return vec![self.send(now, request_id, class, id)];
        }
        if let Some(refusal) = self.refusal(now, request_id, class, deadline, slots) {
            return vec![refusal];
        }
        self.queues.push(class, QueuedRequest { request_id, deadline });
        Vec::new()
    }

    /// Refuses a request that cannot be queued or would wait past its deadline.
    fn refusal(
        &self,
        now: Duration,
        request_id: RequestId,
        class: PriorityClass,
        deadline: Duration,
        slots: u32,
    ) -> Option<Action> {
        let refuse = |code, retry_after| Some(Action::Refuse { request_id, code, retry_after });
        if !self.endpoints.values().any(|e| e.open) {
            return refuse(Code::NoEndpoint, Duration::from_secs(1));
        }
        let wait = self.expected_wait(class, slots);
        if self.queues.len(class) >= self.config.max_queued.min(queue_limit(class, slots)) {
            return refuse(Code::QueueFull, wait.max(Duration::from_millis(100)));
        }
        if now + wait >= deadline {
            return refuse(Code::WaitTooLong, wait);
        }
        None
    }

    /// Estimated time until a new request of a class gets one of `slots`.
    pub fn expected_wait(&self, class: PriorityClass, slots: u32) -> Duration {
        let ahead = self.queues.len_ahead(class) as f64;
        Duration::from_secs_f64(ahead * self.mean_request_secs / f64::from(slots.max(1)))
    }

    /// Ends a request that held a slot and dispatches queued requests.
    pub fn finish(&mut self, now: Duration, request_id: RequestId, outcome: Outcome) -> Vec<Action> {
        let Some(request) = self.in_flight.remove(&request_id) else {
            return Vec::new();
        };
        self.queues.slot_released(request.class);
        let took = now.saturating_sub(request.sent_at);
        let mut eject = false;
        if let Some(e) = self.endpoints.get_mut(&request.endpoint) {
            e.in_flight = e.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Success => e.health.record_success(now, took),
                Outcome::Failure => eject = e.health.record_failure(now),
                Outcome::Neutral if request.is_probe => e.health.record_lost_probe(now),
                Outcome::Neutral => {}
            }
        }
        if outcome == Outcome::Success && request.class != PriorityClass::Long {
            self.mean_request_secs += MEAN_REQUEST_WEIGHT * (took.as_secs_f64() - self.mean_request_secs);
        }
        if eject {
            self.eject(now, &request.endpoint);
        }
        self.dispatch_queued(now)
    }

    /// Removes a request from its queue; returns whether it was queued.
    pub fn cancel(&mut self, request_id: RequestId) -> bool {
        self.queues.remove(request_id)
    }

    /// Does the periodic work: refuses queued requests past their deadline, ends loans that are
    /// no longer confirmed, ejects endpoints, dispatches requests and returns idle loans.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let slots = self.usable_slots(now);
        let retry_after = self.expected_wait(PriorityClass::Later, slots).max(Duration::from_millis(100));
        let expired = self.queues.remove_expired(now).into_iter();
        let mut actions: Vec<Action> = expired
            .map(|request_id| Action::Refuse { request_id, code: Code::DeadlinePassed, retry_after })
            .collect();
        for e in self.endpoints.values_mut() {
            e.apply_pending_gain(now);
            e.lent.retain(|(_, confirmed)| now.saturating_sub(*confirmed) < LOAN_CONFIRM_TIMEOUT);
        }
        self.eject_outliers(now);
        if now.saturating_sub(self.last_backoff_reset) > BACKOFF_RESET_INTERVAL {
            self.last_backoff_reset = now;
            let healthy = self.endpoints.values_mut().filter(|e| e.health.state() == HealthState::Healthy);
            healthy.for_each(|e| e.health.reset_backoff());
        }
        actions.extend(self.dispatch_queued(now));
        actions.extend(self.return_idle_loans(now));
        actions
    }

    /// Refuses every queued request with a code.
    pub fn refuse_all(&mut self, code: Code) -> Vec<Action> {
        let retry_after = Duration::from_millis(100);
        let queued = self.queues.drain().into_iter();
        queued.map(|request_id| Action::Refuse { request_id, code, retry_after }).collect()
    }

    /// Slots to borrow from peers; `None` if there is nothing to ask for now.
    pub fn slot_demand(&self, now: Duration) -> Option<SlotDemand> {
        if now < self.borrow_not_before {
            return None;
        }
        let queued = self.queues.total_len() as u32;
        let free: u32 = self.usable_endpoints(now).map(|e| e.free_slots(now)).sum();
        let slots = queued.saturating_sub(free).min(MAX_SLOT_DEMAND);
        (slots > 0 && self.config.lend).then_some(SlotDemand { slots })
    }

    /// Lends a peer up to half of the free slots of each healthy endpoint, rounded up. Lends
    /// nothing while requests are queued here.
    pub fn lend(&mut self, now: Duration, to: &str, demand: SlotDemand) -> Vec<Loan> {
        if self.queues.total_len() > 0 || !self.config.lend {
            return Vec::new();
        }
        let mut loans = Vec::new();
        for (id, e) in &mut self.endpoints {
            let still_wanted = demand.slots - loans.len() as u32;
            let own_free = e.free_slots(now).saturating_sub(e.borrowed.len() as u32);
            if !e.open || e.health.state() != HealthState::Healthy {
                continue;
            }
            for _ in 0..own_free.div_ceil(2).min(still_wanted) {
                self.last_loan_id += 1;
                let loan = Loan { id: self.last_loan_id, peer: to.to_string(), endpoint: id.clone() };
                e.lent.push((loan.clone(), now));
                loans.push(loan);
            }
        }
        loans
    }

    /// Takes over slots that a peer has lent. Those of endpoints that are unknown or closed are
    /// returned at once.
    pub fn accept_loans(&mut self, now: Duration, loans: Vec<Loan>) -> Vec<Action> {
        if loans.is_empty() {
            self.borrow_not_before = now + BORROW_RETRY_DELAY;
        }
        let mut actions = Vec::new();
        for loan in loans {
            match self.endpoints.get_mut(&loan.endpoint) {
                Some(e) if e.open => e.borrowed.push((loan, now)),
                _ => actions.push(Action::ReturnLoan(loan)),
            }
        }
        actions.extend(self.dispatch_queued(now));
        actions
    }

    /// Takes back a slot that its borrower has returned.
    pub fn loan_returned(&mut self, now: Duration, loan: u64) -> Vec<Action> {
        for e in self.endpoints.values_mut() {
            e.lent.retain(|(l, _)| l.id != loan);
        }
        self.dispatch_queued(now)
    }

    /// Records that a borrower still holds some loans.
    pub fn loans_confirmed(&mut self, now: Duration, from: &str, loans: &[u64]) {
        for (l, confirmed) in self.endpoints.values_mut().flat_map(|e| &mut e.lent) {
            if l.peer == from && loans.contains(&l.id) {
                *confirmed = now;
            }
        }
    }

    /// Loans from peers that this entry holds.
    pub fn borrowed_loans(&self) -> impl Iterator<Item = &Loan> {
        self.endpoints.values().flat_map(|e| e.borrowed.iter().map(|(l, _)| l))
    }

    /// Returns borrowed slots that are free and have been held for a minimum time.
    fn return_idle_loans(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for e in self.endpoints.values_mut() {
            let free = e.free_slots(now) as usize;
            let is_old = |(_, since): &(Loan, Duration)| now.saturating_sub(*since) >= MIN_LOAN_DURATION;
            let n = e.borrowed.iter().filter(|b| is_old(b)).count().min(free);
            actions.extend(e.borrowed.drain(..n).map(|(l, _)| Action::ReturnLoan(l)));
        }
        actions
    }

    /// Number of requests that hold a slot, for each endpoint.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.endpoints.iter().map(|(id, e)| (id, e.in_flight))
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queues.total_len()
    }

    /// Number of requests that hold a slot.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of slots, free or not, on endpoints that accept requests.
    pub fn usable_slots(&self, now: Duration) -> u32 {
        self.usable_endpoints(now).map(|e| e.held_slots(now)).sum()
    }

    fn usable_endpoints(&self, now: Duration) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values().filter(move |e| e.accepts_requests(now))
    }

    /// Chooses the endpoint with the smallest share of its slots in use, then one in this data
    /// centre, then the next in round-robin order.
    fn choose_endpoint(&mut self, now: Duration, tried: &[InstanceId]) -> Option<InstanceId> {
        let n = self.endpoints.len();
        let start = self.round_robin;
        let rank = |(i, (_, e)): &(usize, (&InstanceId, &EndpointView))| {
            let used = u64::from(e.in_flight) * 1_000 / u64::from(e.held_slots(now).max(1));
            (used, e.data_centre != self.data_centre, (i + n - start % n.max(1)) % n.max(1))
        };
        let has_free_slot = |e: &EndpointView| e.accepts_requests(now) && e.free_slots(now) > 0;
        let candidates =
            self.endpoints.iter().enumerate().filter(|(_, (id, e))| has_free_slot(e) && !tried.contains(id));
        let best = candidates.min_by_key(rank).map(|(_, (id, _))| id.clone());
        if best.is_some() {
            self.round_robin = self.round_robin.wrapping_add(1);
        }
        best
    }

    /// Takes a free slot of an endpoint for a request.
    fn send(&mut self, now: Duration, request_id: RequestId, class: PriorityClass, id: InstanceId) -> Action {
        let passed_over = self.endpoints.values().filter(|e| e.open && !e.health.may_send(now)).count();
        let mut action = Action::Refuse { request_id, code: Code::NoEndpoint, retry_after: Duration::ZERO };
        let mut is_probe = false;
        if let Some(e) = self.endpoints.get_mut(&id) {
            invariant::check(e.free_slots(now) > 0, || {
                format!("a request is sent to {id} without a free slot")
            });
            is_probe = e.health.record_send(now, e.in_flight);
            e.in_flight += 1;
            action = Action::Send {
                request_id,
                endpoint: id.clone(),
                address: e.address.clone(),
                borrowed: e.in_flight > e.owned,
                passed_over,
            };
        }
        self.queues.slot_taken(class);
        self.in_flight.insert(request_id, InFlightRequest { endpoint: id, class, sent_at: now, is_probe });
        action
    }

    /// Sends queued requests while there are free slots.
    fn dispatch_queued(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let slots = self.usable_slots(now);
            let Some(class) = self.queues.next_class(slots) else { break };
            let Some(id) = self.choose_endpoint(now, &[]) else { break };
            let Some(request) = self.queues.pop(class) else { break };
            actions.push(self.send(now, request.request_id, class, id));
        }
        actions
    }

    /// Median of the endpoints' mean response times, in seconds.
    fn typical_secs(&self) -> f64 {
        let mut means: Vec<f64> = self.endpoints.values().filter_map(|e| e.health.mean_secs()).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied().unwrap_or(self.mean_request_secs)
    }

    /// Ejects endpoints that are stalled or slow.
    fn eject_outliers(&mut self, now: Duration) {
        let typical_secs = self.typical_secs();
        let is_outlier = |e: &EndpointView| {
            e.health.is_stalled(now, e.in_flight, typical_secs) || e.health.is_slow(typical_secs)
        };
        let healthy = self.endpoints.iter().filter(|(_, e)| e.health.state() == HealthState::Healthy);
        let outliers: Vec<InstanceId> =
            healthy.filter(|(_, e)| is_outlier(e)).map(|(id, _)| id.clone()).collect();
        for id in outliers {
            self.eject(now, &id);
        }
    }

    /// Ejects an endpoint if [`ENDPOINTS_PER_EJECTION`] allows it; readmits it otherwise. A failure
    /// that many endpoints share is probably not theirs.
    fn eject(&mut self, now: Duration, id: &str) {
        let ejected = self
            .endpoints
            .iter()
            .filter(|(i, e)| *i != id && e.health.state() != HealthState::Healthy)
            .count();
        let within_cap =
            (ejected + 1) * ENDPOINTS_PER_EJECTION <= self.endpoints.len().max(ENDPOINTS_PER_EJECTION);
        let Some(e) = self.endpoints.get_mut(id) else { return };
        if within_cap {
            e.health.eject(now);
        } else {
            e.health.readmit();
        }
    }
}
