//! Grants slots of endpoints to requests: one [`SharedDispatcher`] for each service. It shares a
//! [`Dispatcher`], which does no I/O, between tasks, and carries out its actions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use workswood_core::code::Code;
use workswood_core::fleet::PriorityClass;
use workswood_core::ids::{InstanceId, ServiceId};
use workswood_core::route::{
    Action, Dispatcher, DispatcherConfig, Loan, Outcome, RequestId, RouteTable, SlotDemand,
};
use workswood_peers::{Msg, SlotLoanUpdate, SlotRequest};

use super::node::Node;
use crate::util::logs::DECISION_TARGET;

/// Time between checks of deadlines, health and loans.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request to a peer for slots.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of ticks between confirmations of loans to their lenders.
const TICKS_PER_CONFIRMATION: u64 = 25;

/// The endpoint on which a request was granted a slot.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Instance that is the endpoint.
    pub endpoint: InstanceId,
    /// Address of the endpoint.
    pub address: String,
}

/// Why a request was granted no slot.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Numbered code for the caller.
    pub code: Code,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

type GrantResult = Result<Grant, Refusal>;

struct Inner {
    dispatcher: Dispatcher,
    waiting: HashMap<RequestId, oneshot::Sender<GrantResult>>,
}

/// Dispatcher of one service, shared by the tasks of the process.
pub struct SharedDispatcher {
    service: ServiceId,
    inner: Mutex<Inner>,
}

/// Loans to return to their lenders after the lock is released.
type LoansToReturn = Vec<Loan>;

impl SharedDispatcher {
    fn new(service: &str, data_centre: &str) -> SharedDispatcher {
        let dispatcher = Dispatcher::new(data_centre, DispatcherConfig::default());
        SharedDispatcher {
            service: service.to_string(),
            inner: Mutex::new(Inner { dispatcher, waiting: HashMap::new() }),
        }
    }

    /// Applies a change to the dispatcher and carries out the resulting actions.
    fn apply(&self, node: &Node, change: impl FnOnce(&mut Dispatcher, Duration) -> Vec<Action>) {
        let now = node.now();
        let loans = {
            let mut inner = self.inner.lock();
            let actions = change(&mut inner.dispatcher, now);
            inner.carry_out(now, &self.service, actions)
        };
        self.return_loans(node, loans);
    }

    /// Lends slots to a peer.
    pub fn lend(&self, now: Duration, to: &str, demand: SlotDemand) -> Vec<Loan> {
        self.inner.lock().dispatcher.lend(now, to, demand)
    }

    /// Applies a borrower's report on the loans that it keeps and returns.
    pub fn update_loans(&self, node: &Node, report: &SlotLoanUpdate) {
        self.apply(node, |d, now| {
            d.loans_confirmed(now, &report.borrower, &report.kept);
            report.returned.iter().flat_map(|id| d.loan_returned(now, *id)).collect()
        });
    }

    fn return_loans(&self, node: &Node, loans: LoansToReturn) {
        let mut by_peer: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for loan in loans {
            by_peer.entry(loan.peer).or_default().push(loan.id);
        }
        for (peer, returned) in by_peer {
            self.report_loans(node, &peer, Vec::new(), returned);
        }
    }

    /// Reports to a lender which of its loans are kept and which are returned.
    fn report_loans(&self, node: &Node, peer: &str, kept: Vec<u64>, returned: Vec<u64>) {
        if let Some(link) = node.link_to(peer) {
            let report =
                SlotLoanUpdate { service: self.service.clone(), borrower: node.id.clone(), kept, returned };
            link.send(Msg::SlotLoanUpdate(report));
        }
    }

    /// Confirms to lenders the loans that are still held.
    fn confirm_loans(&self, node: &Node) {
        let mut by_peer: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for loan in self.inner.lock().dispatcher.borrowed_loans() {
            by_peer.entry(loan.peer.clone()).or_default().push(loan.id);
        }
        for (peer, kept) in by_peer {
            self.report_loans(node, &peer, kept, Vec::new());
        }
    }

    fn slot_demand(&self, now: Duration) -> Option<SlotDemand> {
        self.inner.lock().dispatcher.slot_demand(now)
    }

    /// Expected wait of a new request of a class.
    pub fn expected_wait(&self, now: Duration, class: PriorityClass) -> Duration {
        let inner = self.inner.lock();
        inner.dispatcher.expected_wait(class, inner.dispatcher.usable_slots(now))
    }

    /// Number of requests that wait for or hold a slot.
    pub fn unfinished_requests(&self) -> usize {
        let inner = self.inner.lock();
        inner.dispatcher.queued_count() + inner.dispatcher.in_flight_count()
    }
}

impl Inner {
    /// Sends the results of actions to the waiting requests. A slot granted to a request whose
    /// caller has gone away is passed on to the next one.
    fn carry_out(&mut self, now: Duration, service: &str, actions: Vec<Action>) -> LoansToReturn {
        let mut loans = Vec::new();
        let mut remaining: std::collections::VecDeque<Action> = actions.into();
        while let Some(action) = remaining.pop_front() {
            match action {
                Action::Send { request_id, endpoint, address, borrowed, passed_over } => {
                    log::info!(
                        target: DECISION_TARGET,
                        "event=route req={request_id} service={service} endpoint={endpoint} reason=least_used \
                         borrowed={borrowed} passed_over={passed_over}"
                    );
                    let grant = Grant { endpoint, address };
                    let delivered =
                        self.waiting.remove(&request_id).is_some_and(|tx| tx.send(Ok(grant)).is_ok());
                    if !delivered {
                        remaining.extend(self.dispatcher.finish(now, request_id, Outcome::Neutral));
                    }
                }
                Action::Refuse { request_id, code, retry_after } => {
                    log::info!(
                        target: DECISION_TARGET,
                        "event=refuse req={request_id} service={service} code={} retry_after_ms={}",
                        code.number(),
                        retry_after.as_millis()
                    );
                    if let Some(tx) = self.waiting.remove(&request_id) {
                        let _ = tx.send(Err(Refusal { code, retry_after }));
                    }
                }
                Action::ReturnLoan(loan) => loans.push(loan),
            }
        }
        loans
    }
}

/// A slot held by a request; dropping it frees the slot.
pub struct Slot {
    /// Endpoint of the slot.
    pub grant: Grant,
    node: Arc<Node>,
    dispatcher: Arc<SharedDispatcher>,
    request_id: RequestId,
    outcome: Outcome,
}

impl Slot {
    /// Records how the request ended, for the health of the endpoint.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (request_id, outcome) = (self.request_id, self.outcome);
        self.dispatcher.apply(&self.node, |d, now| d.finish(now, request_id, outcome));
    }
}

/// Cancels a waiting request when its caller goes away.
struct CancelGuard<'a> {
    node: &'a Arc<Node>,
    dispatcher: &'a Arc<SharedDispatcher>,
    request_id: RequestId,
    answered: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let request_id = self.request_id;
        // The request may have been granted a slot just now, which is then freed for the next one.
        self.dispatcher.apply(self.node, |d, now| {
            if d.cancel(request_id) { Vec::new() } else { d.finish(now, request_id, Outcome::Neutral) }
        });
        self.dispatcher.inner.lock().waiting.remove(&request_id);
    }
}

/// A request for a slot.
pub struct AcquireRequest<'a> {
    /// Priority class of the request.
    pub class: PriorityClass,
    /// When the request must be answered, since the start of the process.
    pub deadline: Duration,
    /// Endpoints that the request was sent to before; empty for its first attempt.
    pub tried: &'a [InstanceId],
}

/// Waits for a slot. Returns `None` if the request is a retry and the retry budget is spent.
pub async fn acquire(
    node: &Arc<Node>,
    dispatcher: &Arc<SharedDispatcher>,
    request: AcquireRequest<'_>,
) -> Option<Result<Slot, Refusal>> {
    let request_id = node.next_request_id();
    let (tx, rx) = oneshot::channel();
    dispatcher.inner.lock().waiting.insert(request_id, tx);
    let mut guard = CancelGuard { node, dispatcher, request_id, answered: false };
    let mut allowed = true;
    dispatcher.apply(node, |d, now| {
        if request.tried.is_empty() {
            return d.submit(now, request_id, request.class, request.deadline);
        }
        d.retry(now, request_id, request.class, request.deadline, request.tried).unwrap_or_else(|| {
            allowed = false;
            Vec::new()
        })
    });
    if !allowed {
        return None;
    }
    if dispatcher.slot_demand(node.now()).is_some() {
        node.slots_wanted.notify_one();
    }
    let result = rx.await;
    guard.answered = true;
    Some(match result {
        Ok(Ok(grant)) => {
            let (node, dispatcher) = (node.clone(), dispatcher.clone());
            Ok(Slot { grant, node, dispatcher, request_id, outcome: Outcome::Neutral })
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal { code: Code::Stopping, retry_after: TICK_INTERVAL }),
    })
}

/// The dispatcher of a service that is in the routing table.
pub fn dispatcher_of(node: &Node, service: &str) -> Option<Arc<SharedDispatcher>> {
    node.dispatchers.read().get(service).cloned()
}

/// Updates the dispatchers to a new routing table and removes those of services that are no longer in it.
pub fn update_routes(node: &Arc<Node>, table: &RouteTable) {
    let (member, members) = table.roster_position;
    for (service, view) in &table.services {
        let existing = dispatcher_of(node, service);
        let dispatcher = existing.unwrap_or_else(|| {
            let dispatcher = Arc::new(SharedDispatcher::new(service, &node.settings.data_centre));
            node.dispatchers.write().insert(service.clone(), dispatcher.clone());
            dispatcher
        });
        dispatcher.apply(node, |d, now| d.update(now, view, member, members));
    }
    let removed: Vec<Arc<SharedDispatcher>> = {
        let mut dispatchers = node.dispatchers.write();
        let names: Vec<ServiceId> =
            dispatchers.keys().filter(|s| !table.services.contains_key(*s)).cloned().collect();
        names.iter().filter_map(|n| dispatchers.remove(n)).collect()
    };
    for dispatcher in removed {
        dispatcher.apply(node, |d, _| d.refuse_all(Code::UnknownRoute));
    }
}

/// Number of requests in flight to each of `instances`, leaving out those without any.
pub fn in_flight_to(node: &Node, instances: &[InstanceId]) -> BTreeMap<InstanceId, u32> {
    let dispatchers: Vec<Arc<SharedDispatcher>> = node.dispatchers.read().values().cloned().collect();
    let mut in_flight = BTreeMap::new();
    for dispatcher in dispatchers {
        let inner = dispatcher.inner.lock();
        let of_service =
            inner.dispatcher.in_flight_by_endpoint().filter(|(id, n)| *n > 0 && instances.contains(id));
        in_flight.extend(of_service.map(|(id, n)| (id.clone(), n)));
    }
    in_flight
}

/// Number of requests that wait for or hold a slot, over all services.
pub fn unfinished_requests(node: &Node) -> usize {
    node.dispatchers.read().values().map(|d| d.unfinished_requests()).sum()
}

/// Marks endpoints as leaving, so that they get no new requests for a while.
pub fn mark_endpoints_leaving(node: &Node, instances: &[InstanceId]) {
    let now = node.now();
    for dispatcher in node.dispatchers.read().values() {
        let mut inner = dispatcher.inner.lock();
        instances.iter().for_each(|i| inner.dispatcher.mark_leaving(now, i));
    }
}

fn all_dispatchers(node: &Node) -> Vec<Arc<SharedDispatcher>> {
    node.dispatchers.read().values().cloned().collect()
}

/// Checks deadlines and health and confirms loans until the process ends.
pub async fn run_ticks(node: Arc<Node>) {
    let mut ticks = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        ticks += 1;
        for dispatcher in all_dispatchers(&node) {
            dispatcher.apply(&node, |d, now| d.tick(now));
            if ticks % TICKS_PER_CONFIRMATION == 0 {
                dispatcher.confirm_loans(&node);
            }
        }
    }
}

/// Borrows slots from peers while requests wait, until the process ends.
pub async fn run_borrowing(node: Arc<Node>) {
    let mut turn = 0;
    loop {
        let _ = tokio::time::timeout(TICK_INTERVAL, node.slots_wanted.notified()).await;
        for dispatcher in all_dispatchers(&node) {
            turn += 1;
            borrow_slots(&node, &dispatcher, turn).await;
        }
    }
}

/// Asks peers one after the other for slots, beginning with peer number `turn`, until enough are borrowed
/// or a peer lends none.
async fn borrow_slots(node: &Arc<Node>, dispatcher: &Arc<SharedDispatcher>, turn: usize) {
    let peers = node.roster_peers();
    for i in 0..peers.len() {
        let Some(demand) = dispatcher.slot_demand(node.now()) else { return };
        let peer = &peers[(i + turn) % peers.len()];
        let Some(link) = node.link_to(peer) else { continue };
        let request = SlotRequest {
            service: dispatcher.service.clone(),
            slots: demand.slots,
            borrower: node.id.clone(),
        };
        let Some(Msg::SlotReply(reply)) = link.call(Msg::SlotRequest(request), LOAN_REQUEST_TIMEOUT).await
        else {
            continue;
        };
        let loans: Vec<Loan> = reply
            .loans
            .into_iter()
            .map(|l| Loan { id: l.id, peer: peer.clone(), endpoint: l.endpoint })
            .collect();
        node.metrics.borrowed_slots.inc_by(loans.len() as u64);
        dispatcher.apply(node, |d, now| d.accept_loans(now, loans));
    }
}
