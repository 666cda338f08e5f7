//! Slots of endpoints: one lane a service, around the pure dispatcher.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use workswood_core::code::Code;
use workswood_core::fleet::Class;
use workswood_core::ids::{InstanceId, ServiceId};
use workswood_core::route::{Action, Dispatcher, Limits, Loan, Outcome, RouteTable, Ticket, Want};
use workswood_peers::{Msg, SlotLoanUpdate, SlotRequest};

use super::node::Node;
use crate::util::logs::DECISION;

/// Time between looks at deadlines, health and loans.
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for a peer's answer to a question for slots.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Ticks between confirmations of loans.
const CONFIRM_EVERY: u64 = 25;

/// A slot of an endpoint.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its address.
    pub address: String,
}

/// Why no slot was given.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// The code.
    pub code: Code,
    /// When to come back.
    pub retry_after: Duration,
}

type Reply = Result<Grant, Refusal>;

struct Inner {
    dispatcher: Dispatcher,
    waiting: HashMap<Ticket, oneshot::Sender<Reply>>,
}

/// The lane of one service.
pub struct Lane {
    service: ServiceId,
    inner: Mutex<Inner>,
}

/// What to do outside the lock.
type GiveBacks = Vec<Loan>;

impl Lane {
    fn new(service: &str, data_centre: &str) -> Lane {
        let dispatcher = Dispatcher::new(data_centre, Limits::default());
        Lane {
            service: service.to_string(),
            inner: Mutex::new(Inner { dispatcher, waiting: HashMap::new() }),
        }
    }

    /// Changes the dispatcher and carries out what it decides.
    fn with(&self, node: &Node, change: impl FnOnce(&mut Dispatcher, Duration) -> Vec<Action>) {
        let now = node.now();
        let back = {
            let mut inner = self.inner.lock();
            let actions = change(&mut inner.dispatcher, now);
            inner.carry_out(now, &self.service, actions)
        };
        self.give_back(node, back);
    }

    /// Lends slots to a peer.
    pub fn lend(&self, now: Duration, to: &str, want: Want) -> Vec<Loan> {
        self.inner.lock().dispatcher.lend(now, to, want)
    }

    /// Takes in what a borrower says of its loans.
    pub fn loans_told(&self, node: &Node, s: &SlotLoanUpdate) {
        self.with(node, |d, now| {
            d.confirmed(now, &s.borrower, &s.in_use);
            s.returned.iter().flat_map(|id| d.returned(now, *id)).collect()
        });
    }

    fn give_back(&self, node: &Node, loans: GiveBacks) {
        let mut by_peer: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for l in loans {
            by_peer.entry(l.peer).or_default().push(l.id);
        }
        for (peer, returned) in by_peer {
            self.tell_loans(node, &peer, Vec::new(), returned);
        }
    }

    fn tell_loans(&self, node: &Node, peer: &str, kept: Vec<u64>, returned: Vec<u64>) {
        if let Some(link) = node.link_to(peer) {
            let s = SlotLoanUpdate {
                service: self.service.clone(),
                borrower: node.id.clone(),
                in_use: kept,
                returned,
            };
            link.send(Msg::SlotLoanUpdate(s));
        }
    }

    /// Tells lenders which loans are still in use.
    fn confirm(&self, node: &Node) {
        let mut by_peer: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for l in self.inner.lock().dispatcher.borrowed() {
            by_peer.entry(l.peer.clone()).or_default().push(l.id);
        }
        for (peer, kept) in by_peer {
            self.tell_loans(node, &peer, kept, Vec::new());
        }
    }

    fn want(&self, now: Duration) -> Option<Want> {
        self.inner.lock().dispatcher.want(now)
    }

    /// The wait that a new request of a class would have.
    pub fn wait(&self, now: Duration, class: Class) -> Duration {
        let inner = self.inner.lock();
        inner.dispatcher.wait(class, inner.dispatcher.slots(now))
    }

    /// Requests that wait or hold a slot.
    pub fn load(&self) -> usize {
        let inner = self.inner.lock();
        inner.dispatcher.waiting() + inner.dispatcher.busy()
    }
}

impl Inner {
    /// Answers those whom actions are about. A slot for somebody who has gone
    /// goes to the next.
    fn carry_out(&mut self, now: Duration, service: &str, actions: Vec<Action>) -> GiveBacks {
        let mut back = Vec::new();
        let mut left: std::collections::VecDeque<Action> = actions.into();
        while let Some(a) = left.pop_front() {
            match a {
                Action::Send { ticket, endpoint, address, borrowed, passed_over } => {
                    log::info!(
                        target: DECISION,
                        "event=route req={ticket} service={service} endpoint={endpoint} reason=least_used \
                         borrowed={borrowed} passed_over={passed_over}"
                    );
                    let grant = Grant { endpoint, address };
                    let heard = self.waiting.remove(&ticket).is_some_and(|tx| tx.send(Ok(grant)).is_ok());
                    if !heard {
                        left.extend(self.dispatcher.done(now, ticket, Outcome::Neutral));
                    }
                }
                Action::Refuse { ticket, code, retry_after } => {
                    log::info!(
                        target: DECISION,
                        "event=refuse req={ticket} service={service} code={} retry_after_ms={}",
                        code.number(),
                        retry_after.as_millis()
                    );
                    if let Some(tx) = self.waiting.remove(&ticket) {
                        let _ = tx.send(Err(Refusal { code, retry_after }));
                    }
                }
                Action::GiveBack(loan) => back.push(loan),
            }
        }
        back
    }
}

/// A slot held by a request; given back when dropped.
pub struct Slot {
    /// Which slot.
    pub grant: Grant,
    node: Arc<Node>,
    lane: Arc<Lane>,
    ticket: Ticket,
    outcome: Outcome,
}

impl Slot {
    /// Notes how the request ended.
    pub fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (ticket, outcome) = (self.ticket, self.outcome);
        self.lane.with(&self.node, |d, now| d.done(now, ticket, outcome));
    }
}

/// Takes a waiting request out of its queue when its caller goes away.
struct Place<'a> {
    node: &'a Arc<Node>,
    lane: &'a Arc<Lane>,
    ticket: Ticket,
    left: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let ticket = self.ticket;
        // It may have got its slot just now; then the slot goes to the next.
        self.lane.with(self.node, |d, now| {
            if d.cancel(ticket) { Vec::new() } else { d.done(now, ticket, Outcome::Neutral) }
        });
        self.lane.inner.lock().waiting.remove(&ticket);
    }
}

/// A request for a slot.
pub struct Ask<'a> {
    /// Class of the request.
    pub class: Class,
    /// When it must be answered, since the start of the process.
    pub deadline: Duration,
    /// Endpoints that it has tried; empty for a first try.
    pub tried: &'a [InstanceId],
}

/// Waits for a slot. `None` if it is a retry and the budget is spent.
pub async fn acquire(node: &Arc<Node>, lane: &Arc<Lane>, ask: Ask<'_>) -> Option<Result<Slot, Refusal>> {
    let ticket = node.ticket();
    let (tx, rx) = oneshot::channel();
    lane.inner.lock().waiting.insert(ticket, tx);
    let mut place = Place { node, lane, ticket, left: false };
    let mut allowed = true;
    lane.with(node, |d, now| {
        if ask.tried.is_empty() {
            return d.offer(now, ticket, ask.class, ask.deadline);
        }
        d.retry(now, ticket, ask.class, ask.deadline, ask.tried).unwrap_or_else(|| {
            allowed = false;
            Vec::new()
        })
    });
    if !allowed {
        return None;
    }
    if lane.want(node.now()).is_some() {
        node.waits.notify_one();
    }
    let reply = rx.await;
    place.left = true;
    Some(match reply {
        Ok(Ok(grant)) => {
            let (node, lane) = (node.clone(), lane.clone());
            Ok(Slot { grant, node, lane, ticket, outcome: Outcome::Neutral })
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal { code: Code::Stopping, retry_after: TICK }),
    })
}

/// The lane of a service.
pub fn of(node: &Node, service: &str) -> Option<Arc<Lane>> {
    node.lanes.read().get(service).cloned()
}

/// Takes a new routing table over.
pub fn update(node: &Arc<Node>, table: &RouteTable) {
    let (member, members) = table.share;
    for (service, view) in &table.services {
        let known = of(node, service);
        let lane = known.unwrap_or_else(|| {
            let lane = Arc::new(Lane::new(service, &node.settings.data_centre));
            node.lanes.write().insert(service.clone(), lane.clone());
            lane
        });
        lane.with(node, |d, now| d.update(now, view, member, members));
    }
    let gone: Vec<Arc<Lane>> = {
        let mut lanes = node.lanes.write();
        let names: Vec<ServiceId> =
            lanes.keys().filter(|s| !table.services.contains_key(*s)).cloned().collect();
        names.iter().filter_map(|n| lanes.remove(n)).collect()
    };
    for lane in gone {
        lane.with(node, |d, _| d.refuse_all(Code::UnknownRoute));
    }
}

/// Requests open on instances.
pub fn open_on(node: &Node, instances: &[InstanceId]) -> BTreeMap<InstanceId, u32> {
    let lanes: Vec<Arc<Lane>> = node.lanes.read().values().cloned().collect();
    let mut open = BTreeMap::new();
    for lane in lanes {
        let inner = lane.inner.lock();
        let of = inner.dispatcher.in_flight().filter(|(id, n)| *n > 0 && instances.contains(id));
        open.extend(of.map(|(id, n)| (id.clone(), n)));
    }
    open
}

/// Requests that wait or hold a slot, over all services.
pub fn load(node: &Node) -> usize {
    node.lanes.read().values().map(|l| l.load()).sum()
}

/// Closes endpoints that have said that they leave.
pub fn close(node: &Node, instances: &[InstanceId]) {
    let now = node.now();
    for lane in node.lanes.read().values() {
        let mut inner = lane.inner.lock();
        instances.iter().for_each(|i| inner.dispatcher.close(now, i));
    }
}

fn all(node: &Node) -> Vec<Arc<Lane>> {
    node.lanes.read().values().cloned().collect()
}

/// Looks at deadlines, health and loans until the process ends.
pub async fn tick(node: Arc<Node>) {
    let mut n = 0;
    loop {
        tokio::time::sleep(TICK).await;
        n += 1;
        for lane in all(&node) {
            lane.with(&node, |d, now| d.tick(now));
            if n % CONFIRM_EVERY == 0 {
                lane.confirm(&node);
            }
        }
    }
}

/// Borrows slots from peers while requests wait, until the process ends.
pub async fn borrow(node: Arc<Node>) {
    let mut turn = 0;
    loop {
        let _ = tokio::time::timeout(TICK, node.waits.notified()).await;
        for lane in all(&node) {
            turn += 1;
            borrow_for(&node, &lane, turn).await;
        }
    }
}

/// Asks peers one after the other until enough is borrowed.
async fn borrow_for(node: &Arc<Node>, lane: &Arc<Lane>, turn: usize) {
    let peers = node.roster_peers();
    for i in 0..peers.len() {
        let Some(want) = lane.want(node.now()) else { return };
        let peer = &peers[(i + turn) % peers.len()];
        let Some(link) = node.link_to(peer) else { continue };
        let ask = SlotRequest { service: lane.service.clone(), slots: want.slots, borrower: node.id.clone() };
        let Some(Msg::SlotReply(loan)) = link.call(Msg::SlotRequest(ask), ASK_TIMEOUT).await else {
            continue;
        };
        let loans: Vec<Loan> = loan
            .loans
            .into_iter()
            .map(|l| Loan { id: l.id, peer: peer.clone(), endpoint: l.endpoint })
            .collect();
        node.metrics.loans.inc_by(loans.len() as u64);
        lane.with(node, |d, now| d.borrow(now, loans));
    }
}
