//! The lease holder's sessions with the relays that serve workers for it.
//!
//! Orders on a worker go to the relay that serves it, in this process or in that of another
//! entry. What other relays report becomes events for the scheduler.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use workswood_core::ids::{HostId, Term};
use workswood_core::jobs::bridges::Way;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{Action, Event, WorkerInfo};
use workswood_peers::relay as wire;
use workswood_peers::{Closed, DuplexRx, DuplexTx, Msg};

use super::bridges;
use super::limits::WorkerLease;
use super::node::{Node, SchedulerHandle};
use super::relay::messages::{StartTask, WorkerNumber, WorkerOrder};
use super::relay::session::HEARTBEAT_INTERVAL;
use super::relay::{EventSink, Relay, codec};
use super::relay_grants::GrantedTimes;

/// Timeout for opening a session, until the relay reports that it takes orders.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the renewal of the lease that tells of relays.
const TOLD_TIMEOUT: Duration = Duration::from_millis(200);
/// A relay from which no message came for this long is lost: five heartbeats.
const SILENCE_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(5);

/// The workers of one session by their numbers, with the fencing tokens of the orders to them.
type WorkersByNumber = Arc<Mutex<HashMap<WorkerNumber, (WorkerId, Term)>>>;

/// A session with the relay of another entry.
struct Session {
    /// Orders that wait to be sent.
    waiting: Vec<(WorkerNumber, WorkerOrder)>,
    tx: mpsc::UnboundedSender<wire::RelayOrders>,
    workers: WorkersByNumber,
    task: AbortHandle,
}

/// The relay that serves a worker.
struct Assignment {
    /// Name of the relay's entry.
    relay: HostId,
    /// Number of the worker there.
    number: WorkerNumber,
    /// Fencing token of the relay's orders to the worker.
    token: Term,
}

/// All sessions of a lease holder with relays.
pub(super) struct RelaySessions {
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    /// The relay in this process.
    own_relay: Relay,
    sessions: HashMap<HostId, Session>,
    assignments: HashMap<WorkerId, Assignment>,
    /// Number that was last given to a worker.
    last_number: WorkerNumber,
    /// Number of sessions opened in this term.
    opened: u64,
}

impl RelaySessions {
    /// Starts the relay in this process. There are no sessions with other relays yet.
    pub(super) fn new(
        node: Arc<Node>,
        handle: Arc<SchedulerHandle>,
        tasks: &mut JoinSet<()>,
    ) -> RelaySessions {
        let own_relay = Relay::new(node.clone(), handle.grant.clone(), EventSink::Local(handle.tx.clone()));
        tasks.spawn(send_own_heartbeats(node.settings.name.clone(), handle.clone()));
        tasks.spawn(node.timer_lag.clone().measure());
        let (sessions, assignments) = (HashMap::new(), HashMap::new());
        RelaySessions { node, handle, own_relay, sessions, assignments, last_number: 0, opened: 0 }
    }

    /// Carries out an action that concerns a relay or a worker. Relays know tasks as workers do. Orders to other relays wait until
    /// [`Self::flush`].
    pub(super) fn carry_out(&mut self, action: Action, tasks: &mut JoinSet<()>) {
        match action {
            Action::OpenRelay(entry) => self.open(entry, tasks),
            Action::CloseRelay(entry) => self.close(&entry),
            Action::StartPolling { relay, info, token, extensions } => {
                self.assign(relay, info, token, extensions);
            }
            Action::ExtendLeases(id, unanswered) => self.order(&id, WorkerOrder::ExtendLeases(unanswered)),
            Action::StopPolling(id) => {
                if let Some(a) = self.assignments.remove(&id) {
                    self.end_assignment(&a);
                }
            }
            Action::ReportFigures(id, wanted) => self.order(&id, WorkerOrder::ReportLoad(wanted)),
            Action::Stop(id, task, attempt) => {
                self.order(&id, WorkerOrder::Stop { task: task.unowned(), attempt });
            }
            Action::WithdrawStart(id, task, attempt) => {
                self.order(&id, WorkerOrder::WithdrawStart { task: task.unowned(), attempt });
            }
            Action::SetPace { worker: id, task, attempt, percent } => {
                self.order(&id, WorkerOrder::Throttle { task: task.unowned(), attempt, percent });
            }
            Action::Start { worker, token, task, attempt, text, checkpoint, ticket } => {
                // The worker may have another relay since the start was decided. The first report
                // from that relay shows that the task does not run, and the scheduler decides again.
                if self.assignments.get(&worker).is_some_and(|a| a.token == token) {
                    let task = task.unowned();
                    let start = StartTask { task, attempt, spec: text, checkpoint, ticket };
                    self.order(&worker, WorkerOrder::Start(start));
                }
            }
            Action::Advise { .. } | Action::MaintainHost(..) | Action::MoveHost(..) => {}
        }
    }

    /// Acknowledges the ends of a worker's runs up to `number`, so that the worker can discard them.
    pub(super) fn ack_ends(&mut self, id: &WorkerId, number: u64) {
        self.order(id, WorkerOrder::AckEnds(number));
    }

    /// Gives an order on a worker to the relay that serves it.
    fn order(&mut self, id: &WorkerId, order: WorkerOrder) {
        let Some(a) = self.assignments.get(id) else { return };
        if a.relay == self.node.settings.name {
            self.own_relay.execute(a.number, order);
        } else if let Some(s) = self.sessions.get_mut(&a.relay) {
            s.waiting.push((a.number, order));
        }
    }

    /// Has a relay serve a worker, in place of the relay that served it before.
    fn assign(&mut self, relay: HostId, info: WorkerInfo, token: Term, extensions: ExtensionOrders) {
        self.last_number += 1;
        let number = self.last_number;
        if let Some(s) = self.sessions.get(&relay) {
            s.workers.lock().insert(number, (info.id.clone(), token));
        }
        let worker = info.worker_address();
        if let Some(before) = self.assignments.insert(info.id.clone(), Assignment { relay, number, token }) {
            self.end_assignment(&before);
        }
        self.order(&info.id, WorkerOrder::Assign { worker, token, extensions });
    }

    /// Has a relay no longer serve a worker.
    fn end_assignment(&mut self, a: &Assignment) {
        if a.relay == self.node.settings.name {
            self.own_relay.execute(a.number, WorkerOrder::Unassign);
        } else if let Some(s) = self.sessions.get_mut(&a.relay) {
            // Updates on the worker that are still in transit are ignored.
            s.workers.lock().remove(&a.number);
            s.waiting.push((a.number, WorkerOrder::Unassign));
        }
    }

    /// Sends the waiting orders.
    pub(super) fn flush(&mut self) {
        for s in self.sessions.values_mut().filter(|s| !s.waiting.is_empty()) {
            let orders = codec::write_orders(std::mem::take(&mut s.waiting));
            // Sending fails if the session has just ended; its task reports that.
            let _ = s.tx.send(wire::RelayOrders { orders, ..wire::RelayOrders::default() });
        }
    }

    fn open(&mut self, entry: HostId, tasks: &mut JoinSet<()>) {
        self.close(&entry);
        self.handle.relay_grants.note_opened();
        self.opened += 1;
        let (tx, rx) = mpsc::unbounded_channel();
        let workers = WorkersByNumber::default();
        let session_task = SessionTask {
            node: self.node.clone(),
            handle: self.handle.clone(),
            entry: entry.clone(),
            session_number: self.opened,
            workers: workers.clone(),
        };
        let task = tasks.spawn(session_task.run(tx.clone(), rx));
        self.sessions.insert(entry, Session { waiting: Vec::new(), tx, workers, task });
        self.node.metrics.active_relays.set(self.sessions.len() as i64);
    }

    fn close(&mut self, entry: &HostId) {
        if let Some(s) = self.sessions.remove(entry) {
            s.task.abort();
            self.assignments.retain(|_, a| a.relay != *entry);
        }
        self.node.metrics.active_relays.set(self.sessions.len() as i64);
    }
}

/// Reports heartbeats of the relay in this process to the scheduler.
async fn send_own_heartbeats(own: HostId, handle: Arc<SchedulerHandle>) {
    loop {
        if handle.tx.send(Event::RelayHeard(own.clone())).is_err() {
            return;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// The task that runs the session with one relay.
struct SessionTask {
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    /// Name of the relay's entry.
    entry: HostId,
    /// Number of the session in this term.
    session_number: u64,
    workers: WorkersByNumber,
}

/// Why a session ended. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionEnd {
    /// It could not be opened.
    NotOpened,
    /// Its connection broke.
    Broken,
    /// No message came from the relay for too long, or the way to it was lost repeatedly.
    Silent,
    /// No message came from the relay, which answers by another way.
    WayLost,
    /// It went through a bridge, and the relay answers directly again.
    DirectAgain,
    /// The lease is given up.
    GivenUp,
}

impl SessionEnd {
    /// Whether the relay may still be running and can be reached.
    fn may_return(self) -> bool {
        match self {
            SessionEnd::Broken | SessionEnd::WayLost | SessionEnd::DirectAgain => true,
            SessionEnd::NotOpened | SessionEnd::Silent | SessionEnd::GivenUp => false,
        }
    }
}

impl SessionTask {
    /// Runs the session and reports its start and end to the scheduler.
    async fn run(
        self,
        tx: mpsc::UnboundedSender<wire::RelayOrders>,
        rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
    ) {
        let reason = self.run_until_lost(tx, rx).await;
        let lease = WorkerLease::of(&self.node.settings).max_duration_with_drift();
        log::info!("event=relay_session_over relay={} reason={reason:?}", self.entry);
        // The scheduler ends too.
        if reason == SessionEnd::GivenUp {
            return;
        }
        self.notify(Event::RelayDown {
            entry: self.entry.clone(),
            lease_end: self.handle.relay_grants.until(self.session_number) + lease,
            may_return: reason.may_return(),
        });
    }

    async fn run_until_lost(
        &self,
        tx: mpsc::UnboundedSender<wire::RelayOrders>,
        rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
    ) -> SessionEnd {
        let Some((way, (mut out, mut updates))) = self.connect().await else { return SessionEnd::NotOpened };
        self.wait_until_told().await;
        self.notify(Event::RelayUp(self.entry.clone()));
        let mut stop = self.handle.stop.subscribe();
        let mut reason = tokio::select! {
            // A stop also ends the sending of orders.
            biased;
            _ = stop.wait_for(|stop| *stop) => SessionEnd::GivenUp,
            _ = send_orders(&mut out, rx) => SessionEnd::Broken,
            reason = self.receive_updates(&mut updates, tx, &way) => reason,
            () = bridges::until_direct_again(&self.node, &self.entry, &way) => SessionEnd::DirectAgain,
        };
        if reason == SessionEnd::GivenUp {
            self.end_session(out, updates).await;
        }
        // The same session by yet another way would be lost again, with a full report each time.
        if reason == SessionEnd::WayLost && self.node.routes.lock().way_lost(&self.entry, self.node.now()) {
            reason = SessionEnd::Silent;
        }
        if matches!(reason, SessionEnd::Broken | SessionEnd::Silent) {
            bridges::session_lost(&self.node, &self.entry, &way);
        }
        reason
    }

    /// Waits until a record of the lease tells that relays may give leases. Workers of one that may not would get none.
    async fn wait_until_told(&self) {
        let mut renewals = self.handle.renewals.subscribe();
        let is_told = || self.handle.relay_grants.allowed(&self.handle.grant).full_until > self.node.now();
        let _ = tokio::time::timeout(TOLD_TIMEOUT, renewals.wait_for(|_| is_told())).await;
    }

    /// Has the relay stop extending leases; if it confirms that, its grant counts no more.
    async fn end_session(&self, mut out: DuplexTx, mut updates: DuplexRx) {
        let end = wire::RelayOrders { end: true, ..wire::RelayOrders::default() };
        if out.send(Msg::RelayOrders(end)).await.is_err() {
            return;
        }
        while let Ok(Msg::RelayUpdate(update)) = updates.next().await {
            if update.ended {
                self.handle.relay_grants.end(self.session_number);
                return;
            }
        }
    }

    fn notify(&self, ev: Event) {
        // Sending fails if the scheduler has just stopped.
        let _ = self.handle.tx.send(ev);
    }

    async fn connect(&self) -> Option<(Way, (DuplexTx, DuplexRx))> {
        let open = wire::RelayOpen {
            term: self.handle.term,
            session: self.session_number,
            holder: self.node.settings.name.clone(),
        };
        let opening = bridges::open_session(&self.node, &self.entry, open, OPEN_TIMEOUT);
        self.node.timer_lag.timeout(OPEN_TIMEOUT, opening).await?.ok()
    }

    /// Receives updates from the relay until it is lost.
    async fn receive_updates(
        &self,
        updates: &mut DuplexRx,
        tx: mpsc::UnboundedSender<wire::RelayOrders>,
        way: &Way,
    ) -> SessionEnd {
        let mut leaving = false;
        let received = updates.received();
        loop {
            let next = self.node.timer_lag.timeout(SILENCE_TIMEOUT, updates.next());
            let next = tokio::select! {
                next = next => next,
                () = bridges::until_other_way(&self.node, &self.entry, way, &received) => return SessionEnd::WayLost,
            };
            let frame = match next {
                Some(Ok(Msg::RelayUpdate(frame))) => frame,
                Some(Ok(_) | Err(Closed)) => return SessionEnd::Broken,
                None => return SessionEnd::Silent,
            };
            if frame.heartbeat != 0 {
                self.notify(Event::RelayHeard(self.entry.clone()));
                // Sending fails if the connection broke, which ends the session.
                let _ = tx.send(self.grant(frame.heartbeat));
            }
            for update in frame.events {
                self.handle_update(update);
            }
            if frame.stopping && !std::mem::replace(&mut leaving, true) {
                self.notify(Event::RelayLeaving(self.entry.clone()));
            }
        }
    }

    /// Returns the answer to a heartbeat: the relay may extend leases for as long as this process, as far as the records
    /// of the lease tell of it.
    fn grant(&self, heartbeat: u64) -> wire::RelayOrders {
        let GrantedTimes { full_until, end } = self.handle.relay_grants.allowed(&self.handle.grant);
        let now = self.node.now();
        self.handle.relay_grants.note(self.session_number, full_until);
        let duration_ms = full_until.saturating_sub(now).as_millis() as u32;
        let shortened_ms = end.saturating_sub(full_until.max(now)).as_millis() as u32;
        let grant = wire::LeaseGrant {
            heartbeat,
            duration_ms,
            shortened_ms,
            holder_ms: Some(now.as_millis() as u64),
        };
        wire::RelayOrders { grant: Some(grant), ..wire::RelayOrders::default() }
    }

    fn handle_update(&self, update: wire::WorkerEvent) {
        let number = update.worker;
        let Some((id, token)) = self.workers.lock().get(&number).cloned() else { return };
        match codec::read_event(update) {
            Some((_, what)) => self.notify(what.into_scheduler_event(id, token, self.node.now())),
            None => log::error!("event=relay_news_not_read code=203 relay={} worker={id}", self.entry),
        }
    }
}

async fn send_orders(
    out: &mut DuplexTx,
    mut rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
) -> Result<(), Closed> {
    while let Some(frame) = rx.recv().await {
        out.send(Msg::RelayOrders(frame)).await?;
    }
    Ok(())
}
