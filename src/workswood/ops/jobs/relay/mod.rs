//! A relay: polls and commands a share of the workers on behalf of the lease holder.
//!
//! A relay extends the leases of its workers, sends orders to them and reports events. It makes
//! no scheduling decisions. The lease holder has a relay in its own process, which takes orders
//! and delivers events directly. The orders and events of relays in other processes go over a
//! connection that the holder opens ([`session`]), as messages that [`codec`] converts.
//!
//! * [`messages`] defines orders and events; [`event_sink`] delivers events to the scheduler.
//! * [`assigned_worker`] is the state that the tasks for one worker share: [`poll`] polls the
//!   worker, and [`send`] sends orders to it, few at a time ([`order_permits`]). [`pending_starts`]
//!   holds the starts, which can be taken back until they are sent.

pub mod assigned_worker;
pub mod codec;
mod event_sink;
mod grant;
pub mod messages;
mod order_permits;
mod order_wait;
mod pending_starts;
pub mod poll;
mod send;
pub mod session;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use workswood_core::jobs::StartReply;

use self::assigned_worker::AssignedWorker;
pub use self::event_sink::{EventQueue, EventSink};
pub use self::grant::Grant;
use self::messages::{WorkerEvent, WorkerNumber, WorkerOrder};
use self::pending_starts::Recall;
pub use self::send::START_TIMEOUTS;
use super::limits::WorkerLease;
use super::node::Node;

/// What the tasks of one relay share.
pub struct RelayContext {
    /// The process.
    pub node: Arc<Node>,
    /// Permission to extend leases.
    pub grant: Grant,
    /// Full length of workers' leases.
    pub worker_lease: WorkerLease,
    /// Where events are reported.
    pub sink: EventSink,
    /// Whether the permission was last seen to have ended.
    grant_ended: AtomicBool,
}

impl RelayContext {
    /// Creates what the tasks of one relay share.
    pub fn new(node: Arc<Node>, grant: Grant, sink: EventSink) -> RelayContext {
        let worker_lease = WorkerLease::of(&node.settings);
        let grant_ended = AtomicBool::new(!grant.holds(node.now()));
        RelayContext { node, grant, worker_lease, sink, grant_ended }
    }

    /// The lease that a worker gets now.
    fn lease_from(&self, now: Duration) -> WorkerLease {
        WorkerLease { duration: self.grant.lease_from(now, self.worker_lease.duration) }
    }

    /// Whether leases may be extended now; logs when that changes.
    fn holds_grant(&self, now: Duration) -> bool {
        let holds = self.grant.holds(now);
        if self.grant_ended.swap(!holds, Ordering::Relaxed) == holds {
            let ended = now.saturating_sub(self.grant.end()).as_millis();
            log::info!("event=lease_extensions allowed={holds} grant_ended_ms={ended}");
        }
        holds
    }
}

/// Polls and commands workers for one lease holder.
pub struct Relay {
    cx: Arc<RelayContext>,
    workers: HashMap<WorkerNumber, Arc<AssignedWorker>>,
    tasks: JoinSet<()>,
}

impl Relay {
    /// Creates a relay without workers.
    pub fn new(node: Arc<Node>, grant: Grant, sink: EventSink) -> Relay {
        let cx = Arc::new(RelayContext::new(node, grant, sink));
        Relay { cx, workers: HashMap::new(), tasks: JoinSet::new() }
    }

    /// Number of workers that are assigned to the relay.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Starts to execute an order.
    pub fn execute(&mut self, number: WorkerNumber, order: WorkerOrder) {
        while self.tasks.try_join_next().is_some() {}
        match order {
            WorkerOrder::Assign { worker, token, extensions } => {
                self.assign(AssignedWorker::new(number, worker, token).with_orders(extensions));
            }
            WorkerOrder::ExtendLeases(unanswered) => {
                if let Some(worker) = self.workers.get(&number) {
                    worker.allow_extensions(unanswered);
                }
            }
            WorkerOrder::Unassign => {
                if let Some(worker) = self.workers.remove(&number) {
                    worker.unassign();
                }
            }
            WorkerOrder::AckEnds(end) => {
                if let Some(worker) = self.workers.get(&number) {
                    worker.recorded_end.send_replace(end);
                }
            }
            WorkerOrder::ReportLoad(wanted) => {
                if let Some(worker) = self.workers.get(&number) {
                    worker.run_tracker.lock().set_report_load(wanted);
                }
            }
            WorkerOrder::Start(s) => match self.workers.get(&number) {
                Some(worker) => {
                    worker.pending_starts.add((s.task, s.attempt));
                    self.tasks.spawn(send::start(self.cx.clone(), worker.clone(), s));
                }
                None => self.cx.sink.report_by_number(
                    number,
                    None,
                    WorkerEvent::Started { task: s.task, attempt: s.attempt, reply: StartReply::NotSent },
                ),
            },
            WorkerOrder::Stop { task, attempt } => {
                let Some(worker) = self.workers.get(&number) else { return };
                match worker.pending_starts.recall((task, attempt)) {
                    Recall::NotSent => send::report_withdrawn(&self.cx, worker, task, attempt),
                    Recall::MayBeSent => {
                        self.tasks.spawn(send::stop(self.cx.clone(), worker.clone(), task, attempt));
                    }
                }
            }
            WorkerOrder::WithdrawStart { task, attempt } => {
                let Some(worker) = self.workers.get(&number) else { return };
                if worker.pending_starts.withdraw((task, attempt)) == Recall::NotSent {
                    send::report_withdrawn(&self.cx, worker, task, attempt);
                }
            }
            WorkerOrder::Throttle { task, attempt, percent } => {
                if let Some(worker) = self.workers.get(&number) {
                    let cx = self.cx.clone();
                    self.tasks.spawn(send::throttle(cx, worker.clone(), task, attempt, percent));
                }
            }
        }
    }

    fn assign(&mut self, worker: AssignedWorker) {
        let worker = Arc::new(worker);
        if let Some(previous) = self.workers.insert(worker.number, worker.clone()) {
            previous.unassign();
        }
        if !worker.is_extension_allowed() {
            self.cx.sink.report(&self.cx.node, &worker, WorkerEvent::AwaitsOrder);
        }
        self.tasks.spawn(poll::run(self.cx.clone(), worker));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.workers.values().for_each(|worker| worker.unassign());
    }
}
