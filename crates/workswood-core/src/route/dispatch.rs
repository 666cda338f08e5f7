//! The dispatcher of one service on one entry host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint::{EndpointView, Loan};
use super::health::HealthState;
use super::queue::{ClassQueues, MAX_QUEUED, QueuedRequest};
use super::retry::RetryBudget;
use super::slot_ownership::owned_slots;
use super::table::ServiceView;
use crate::code::Code;
use crate::fleet::Class;
use crate::ids::{DataCentre, InstanceId};
use crate::invariant;

/// Number of a request on this entry host.
pub type RequestId = u64;

/// How long a borrowed slot is kept while it is idle.
const IDLE_LOAN: Duration = Duration::from_millis(100);
/// A lender takes a slot back if its borrower has not confirmed the loan for
/// this long: the borrower is gone.
const LOAN_SILENCE: Duration = Duration::from_secs(4);
/// Most slots asked for at once.
const MAX_SLOT_DEMAND: u32 = 8;
/// Mean time of a request assumed before any was measured, in seconds.
const FIRST_GUESS: f64 = 0.02;
/// Ejected endpoints of a service, at most one in this many.
const EJECT_CAP: usize = 3;
/// Urgent requests that may wait even while hardly a slot is held.
const LEAST_QUEUED: usize = 16;
/// Pause before peers are asked again after one had nothing to lend.
const ASK_PAUSE: Duration = Duration::from_millis(10);
/// How often an endpoint without trouble has its back-off reset.
const CALM_EVERY: Duration = Duration::from_secs(60);
/// How long an endpoint that says it leaves is left alone, unless the log says
/// something by then.
const CLOSED_FOR: Duration = Duration::from_secs(10);

/// What an entry host does for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send it to the endpoint.
    Send {
        /// The request.
        request_id: RequestId,
        /// The endpoint.
        endpoint: InstanceId,
        /// Its address.
        address: String,
        /// Whether the slot was borrowed.
        borrowed: bool,
        /// Endpoints passed over because they are not well.
        passed_over: usize,
    },
    /// Answer that it was not run.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tell the lender that a borrowed slot is free.
    ReturnLoan(Loan),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Success,
    /// The endpoint failed or was not reached.
    Failure,
    /// The caller went away or the request was of no account to health.
    Neutral,
}

/// Slots that this entry host would like to borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotDemand {
    /// How many.
    pub slots: u32,
}

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherConfig {
    /// Maximum number of queued requests per class.
    pub max_queued: usize,
    /// Whether idle slots are lent to peers.
    pub lend: bool,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        DispatcherConfig { max_queued: MAX_QUEUED, lend: true }
    }
}

#[derive(Clone, Debug)]
struct Flight {
    endpoint: InstanceId,
    class: Class,
    since: Duration,
}

/// The dispatcher of one service on one entry host.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
    data_centre: DataCentre,
    endpoints: BTreeMap<InstanceId, EndpointView>,
    queues: ClassQueues,
    flights: BTreeMap<RequestId, Flight>,
    retry_budget: RetryBudget,
    seconds: f64,
    calmed: Duration,
    turn: usize,
    roster: (Option<usize>, usize),
    loans: u64,
    ask_after: Duration,
}

/// Most requests of a class that wait for so many slots. A longer queue of
/// urgent requests adds waiting and no answers.
fn most_queued(class: Class, slots: u32) -> usize {
    let slots = slots as usize;
    match class {
        Class::Urgent => (2 * slots).max(LEAST_QUEUED),
        Class::Normal => (16 * slots).max(8 * LEAST_QUEUED),
        Class::Long | Class::Later => MAX_QUEUED,
    }
}

impl Dispatcher {
    /// A dispatcher for an entry host in a data centre, without endpoints yet.
    pub fn new(data_centre: &str, config: DispatcherConfig) -> Dispatcher {
        Dispatcher {
            config,
            data_centre: data_centre.to_string(),
            endpoints: BTreeMap::new(),
            queues: ClassQueues::default(),
            flights: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            seconds: FIRST_GUESS,
            calmed: Duration::ZERO,
            turn: 0,
            roster: (None, 0),
            loans: 0,
            ask_after: Duration::ZERO,
        }
    }

    /// Takes a new view of the service and of the roster over.
    pub fn update(
        &mut self,
        now: Duration,
        view: &ServiceView,
        member: Option<usize>,
        members: usize,
    ) -> Vec<Action> {
        let settle = self.roster != (member, members);
        self.roster = (member, members);
        let mut old = std::mem::take(&mut self.endpoints);
        for e in &view.endpoints {
            let kept = old.remove(&e.id).filter(|o| o.address == e.address);
            let mut ep = kept.unwrap_or_else(|| EndpointView::new(e));
            ep.open = e.open;
            let share = member.map_or(0, |m| owned_slots(view.window, e.number, m, members));
            ep.set_share(now, share, settle);
            self.endpoints.insert(e.id.clone(), ep);
        }
        self.pump(now)
    }

    /// Closes an endpoint before the log says so: it has said that it leaves.
    pub fn mark_leaving(&mut self, now: Duration, endpoint: &str) {
        if let Some(e) = self.endpoints.get_mut(endpoint) {
            e.leaving_until = now + CLOSED_FOR;
        }
    }

    /// A new request.
    pub fn submit(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: Class,
        deadline: Duration,
    ) -> Vec<Action> {
        self.retry_budget.record_first_attempt();
        self.enter(now, request_id, class, deadline, &[])
    }

    /// A request that failed and may be sent again; refused if the budget of
    /// retries is spent.
    pub fn retry(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: Class,
        deadline: Duration,
        tried: &[InstanceId],
    ) -> Option<Vec<Action>> {
        if !self.retry_budget.try_take() {
            return None;
        }
        Some(self.enter(now, request_id, class, deadline, tried))
    }

    fn enter(
        &mut self,
        now: Duration,
        request_id: RequestId,
        class: Class,
        deadline: Duration,
        tried: &[InstanceId],
    ) -> Vec<Action> {
        let slots = self.usable_slots(now);
        let nobody_ahead = self.queues.len(class) == 0;
        if nobody_ahead
            && self.queues.may_take_slot(class, slots)
            && let Some(id) = self.choose(now, tried)
        {
            return vec![self.send(now, request_id, class, id)];
        }
        if let Some(refusal) = self.refusal(now, request_id, class, deadline, slots) {
            return vec![refusal];
        }
        self.queues.push(class, QueuedRequest { request_id, deadline });
        Vec::new()
    }

    fn refusal(
        &self,
        now: Duration,
        request_id: RequestId,
        class: Class,
        deadline: Duration,
        slots: u32,
    ) -> Option<Action> {
        let refuse = |code, retry_after| Some(Action::Refuse { request_id, code, retry_after });
        if !self.endpoints.values().any(|e| e.open) {
            return refuse(Code::NoEndpoint, Duration::from_secs(1));
        }
        let wait = self.expected_wait(class, slots);
        if self.queues.len(class) >= self.config.max_queued.min(most_queued(class, slots)) {
            return refuse(Code::QueueFull, wait.max(Duration::from_millis(100)));
        }
        if now + wait >= deadline {
            return refuse(Code::WaitTooLong, wait);
        }
        None
    }

    /// The wait that a new request of a class would have.
    pub fn expected_wait(&self, class: Class, slots: u32) -> Duration {
        let ahead = self.queues.len_ahead(class) as f64;
        Duration::from_secs_f64(ahead * self.seconds / f64::from(slots.max(1)))
    }

    /// A request that held a slot has ended.
    pub fn finish(&mut self, now: Duration, request_id: RequestId, outcome: Outcome) -> Vec<Action> {
        let Some(f) = self.flights.remove(&request_id) else {
            return Vec::new();
        };
        self.queues.slot_released(f.class);
        let took = now.saturating_sub(f.since);
        let mut eject = false;
        if let Some(e) = self.endpoints.get_mut(&f.endpoint) {
            e.in_flight = e.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Success => e.health.record_success(now, took),
                Outcome::Failure => eject = e.health.record_failure(now),
                Outcome::Neutral => {}
            }
        }
        if outcome == Outcome::Success && f.class != Class::Long {
            self.seconds += 0.02 * (took.as_secs_f64() - self.seconds);
        }
        if eject {
            self.eject(now, &f.endpoint);
        }
        self.pump(now)
    }

    /// A request was cancelled; true if it was waiting.
    pub fn cancel(&mut self, request_id: RequestId) -> bool {
        self.queues.remove(request_id)
    }

    /// Refuses requests whose deadline has come and looks for bad endpoints.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let slots = self.usable_slots(now);
        let retry_after = self.expected_wait(Class::Later, slots).max(Duration::from_millis(100));
        let late = self.queues.remove_expired(now).into_iter();
        let mut actions: Vec<Action> = late
            .map(|request_id| Action::Refuse { request_id, code: Code::DeadlinePassed, retry_after })
            .collect();
        for e in self.endpoints.values_mut() {
            e.apply_pending_gain(now);
            e.lent.retain(|(_, confirmed)| now.saturating_sub(*confirmed) < LOAN_SILENCE);
        }
        self.eject_outliers(now);
        if now.saturating_sub(self.calmed) > CALM_EVERY {
            self.calmed = now;
            let good = self.endpoints.values_mut().filter(|e| e.health.state() == HealthState::Healthy);
            good.for_each(|e| e.health.reset_backoff());
        }
        actions.extend(self.pump(now));
        actions.extend(self.return_idle_loans(now));
        actions
    }

    /// Takes every waiting request out, at the end of a planned stop.
    pub fn refuse_all(&mut self, code: Code) -> Vec<Action> {
        let retry_after = Duration::from_millis(100);
        let all = self.queues.drain().into_iter();
        all.map(|request_id| Action::Refuse { request_id, code, retry_after }).collect()
    }

    /// Slots to ask peers for.
    pub fn slot_demand(&self, now: Duration) -> Option<SlotDemand> {
        if now < self.ask_after {
            return None;
        }
        let waiting = self.queues.total_len() as u32;
        let spare: u32 = self.usable(now).map(|e| e.free_slots(now)).sum();
        let slots = waiting.saturating_sub(spare).min(MAX_SLOT_DEMAND);
        (slots > 0 && self.config.lend).then_some(SlotDemand { slots })
    }

    /// Lends idle slots to a peer. Half of what is idle on an endpoint stays.
    pub fn lend(&mut self, now: Duration, to: &str, demand: SlotDemand) -> Vec<Loan> {
        if self.queues.total_len() > 0 || !self.config.lend {
            return Vec::new();
        }
        let mut all = Vec::new();
        for (id, e) in &mut self.endpoints {
            let left = demand.slots - all.len() as u32;
            let own_free = e.free_slots(now).saturating_sub(e.borrowed.len() as u32);
            if !e.open || e.health.state() != HealthState::Healthy {
                continue;
            }
            for _ in 0..own_free.div_ceil(2).min(left) {
                self.loans += 1;
                let loan = Loan { id: self.loans, peer: to.to_string(), endpoint: id.clone() };
                e.lent.push((loan.clone(), now));
                all.push(loan);
            }
        }
        all
    }

    /// Takes slots that a peer lends; those not needed go back at once.
    pub fn accept_loans(&mut self, now: Duration, loans: Vec<Loan>) -> Vec<Action> {
        if loans.is_empty() {
            self.ask_after = now + ASK_PAUSE;
        }
        let mut actions = Vec::new();
        for loan in loans {
            match self.endpoints.get_mut(&loan.endpoint) {
                Some(e) if e.open => e.borrowed.push((loan, now)),
                _ => actions.push(Action::ReturnLoan(loan)),
            }
        }
        actions.extend(self.pump(now));
        actions
    }

    /// A borrower is done with a loan.
    pub fn loan_returned(&mut self, now: Duration, loan: u64) -> Vec<Action> {
        for e in self.endpoints.values_mut() {
            e.lent.retain(|(l, _)| l.id != loan);
        }
        self.pump(now)
    }

    /// A borrower still uses its loans.
    pub fn loans_confirmed(&mut self, now: Duration, from: &str, loans: &[u64]) {
        for (l, confirmed) in self.endpoints.values_mut().flat_map(|e| &mut e.lent) {
            if l.peer == from && loans.contains(&l.id) {
                *confirmed = now;
            }
        }
    }

    /// Loans that this entry host uses.
    pub fn borrowed_loans(&self) -> impl Iterator<Item = &Loan> {
        self.endpoints.values().flat_map(|e| e.borrowed.iter().map(|(l, _)| l))
    }

    /// Returns borrowed slots that have been idle for a while.
    fn return_idle_loans(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for e in self.endpoints.values_mut() {
            let idle = e.free_slots(now) as usize;
            let old = |(_, since): &(Loan, Duration)| now.saturating_sub(*since) >= IDLE_LOAN;
            let n = e.borrowed.iter().filter(|b| old(b)).count().min(idle);
            actions.extend(e.borrowed.drain(..n).map(|(l, _)| Action::ReturnLoan(l)));
        }
        actions
    }

    /// Requests that hold a slot of each endpoint.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (&InstanceId, u32)> {
        self.endpoints.iter().map(|(id, e)| (id, e.in_flight))
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queues.total_len()
    }

    /// Requests that hold a slot.
    pub fn in_flight_count(&self) -> usize {
        self.flights.len()
    }

    /// Slots that may be used now.
    pub fn usable_slots(&self, now: Duration) -> u32 {
        self.usable(now).map(|e| e.held_slots(now)).sum()
    }

    fn usable(&self, now: Duration) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values().filter(move |e| e.accepts_requests(now))
    }

    /// The endpoint with the smallest part of its slots in use; among equals
    /// one in this data centre, then the next in turn.
    fn choose(&mut self, now: Duration, tried: &[InstanceId]) -> Option<InstanceId> {
        let n = self.endpoints.len();
        let start = self.turn;
        let rank = |(i, (_, e)): &(usize, (&InstanceId, &EndpointView))| {
            let used = u64::from(e.in_flight) * 1_000 / u64::from(e.held_slots(now).max(1));
            (used, e.data_centre != self.data_centre, (i + n - start % n.max(1)) % n.max(1))
        };
        let usable = |e: &EndpointView| e.accepts_requests(now) && e.free_slots(now) > 0;
        let fits = self.endpoints.iter().enumerate().filter(|(_, (id, e))| usable(e) && !tried.contains(id));
        let best = fits.min_by_key(rank).map(|(_, (id, _))| id.clone());
        if best.is_some() {
            self.turn = self.turn.wrapping_add(1);
        }
        best
    }

    fn send(&mut self, now: Duration, request_id: RequestId, class: Class, id: InstanceId) -> Action {
        let passed_over = self.endpoints.values().filter(|e| e.open && !e.health.may_send(now)).count();
        let mut action = Action::Refuse { request_id, code: Code::NoEndpoint, retry_after: Duration::ZERO };
        if let Some(e) = self.endpoints.get_mut(&id) {
            invariant::check(e.free_slots(now) > 0, || format!("no slot is held on {id}"));
            e.health.record_send(now, e.in_flight);
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
        self.flights.insert(request_id, Flight { endpoint: id, class, since: now });
        action
    }

    /// Gives free slots to waiting requests.
    fn pump(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let slots = self.usable_slots(now);
            let Some(class) = self.queues.next_class(slots) else { break };
            let Some(id) = self.choose(now, &[]) else { break };
            let Some(w) = self.queues.pop(class) else { break };
            actions.push(self.send(now, w.request_id, class, id));
        }
        actions
    }

    fn usual(&self) -> f64 {
        let mut means: Vec<f64> = self.endpoints.values().filter_map(|e| e.health.mean_secs()).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied().unwrap_or(self.seconds)
    }

    fn eject_outliers(&mut self, now: Duration) {
        let usual = self.usual();
        let bad = |e: &EndpointView| e.health.is_stalled(now, e.in_flight, usual) || e.health.is_slow(usual);
        let good = self.endpoints.iter().filter(|(_, e)| e.health.state() == HealthState::Healthy);
        let outliers: Vec<InstanceId> = good.filter(|(_, e)| bad(e)).map(|(id, _)| id.clone()).collect();
        for id in outliers {
            self.eject(now, &id);
        }
    }

    /// Ejects an endpoint unless too many are: trouble that many share is not
    /// theirs, and the service must never be without endpoints.
    fn eject(&mut self, now: Duration, id: &str) {
        let out = self
            .endpoints
            .iter()
            .filter(|(i, e)| *i != id && e.health.state() != HealthState::Healthy)
            .count();
        let within_cap = (out + 1) * EJECT_CAP <= self.endpoints.len().max(EJECT_CAP);
        let Some(e) = self.endpoints.get_mut(id) else { return };
        if within_cap {
            e.health.eject(now);
        } else {
            e.health.readmit();
        }
    }
}
