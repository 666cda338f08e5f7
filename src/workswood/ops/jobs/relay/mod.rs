//! A relay: speaks with a share of the workers for the lease holder.
//!
//! It looks at each worker, extends its lease, sends orders and tells what is new. It
//! decides nothing. The lease holder is its own relay where workers are few; then
//! orders and news stay within the process. Otherwise they go over a connection that
//! the holder opens ([`session`]), in the form that [`codec`] gives them.
//!
//! * [`messages`] holds orders and news, [`event_sink`] where news wait to be sent.
//! * [`assigned_worker`] is what is shared by the tasks that speak to one worker: [`poll`] looks at
//!   it, [`send`] sends orders.

pub mod assigned_worker;
pub mod codec;
mod event_sink;
pub mod messages;
pub mod poll;
mod send;
pub mod session;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use workswood_core::jobs::StartReply;

use self::assigned_worker::AssignedWorker;
pub use self::event_sink::{EventQueue, EventSink};
use self::messages::{WorkerEvent, WorkerNumber, WorkerOrder};
use super::limits::LeaseTimes;
use super::node::Node;

/// Until when leases of workers may be extended, in ms since the process started. It
/// only rises; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Grant(Arc<AtomicU64>);

impl Grant {
    /// The right to extend until a time.
    pub fn until(at: Duration) -> Grant {
        Grant(Arc::new(AtomicU64::new(at.as_millis() as u64)))
    }

    /// Lengthens the right.
    pub fn extend(&self, until: Duration) {
        self.0.fetch_max(until.as_millis() as u64, Ordering::AcqRel);
    }

    /// Whether it holds at a time.
    pub fn holds(&self, now: Duration) -> bool {
        self.end() > now
    }

    /// When it ends.
    pub fn end(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Acquire))
    }
}

/// What the tasks of one relay share.
pub struct RelayContext {
    /// The process.
    pub node: Arc<Node>,
    /// Until when leases may be extended.
    pub grant: Grant,
    /// Times of workers' leases.
    pub times: LeaseTimes,
    /// Where news go.
    pub sink: EventSink,
}

/// Attends workers for one lease holder.
pub struct Relay {
    shared: Arc<RelayContext>,
    workers: HashMap<WorkerNumber, Arc<AssignedWorker>>,
    tasks: JoinSet<()>,
}

impl Relay {
    /// A relay that attends nobody yet.
    pub fn new(node: Arc<Node>, grant: Grant, sink: EventSink) -> Relay {
        let times = LeaseTimes::of(&node.settings);
        let shared = Arc::new(RelayContext { node, grant, times, sink });
        Relay { shared, workers: HashMap::new(), tasks: JoinSet::new() }
    }

    /// Workers that it attends.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Begins to carry an order out.
    pub fn execute(&mut self, number: WorkerNumber, order: WorkerOrder) {
        while self.tasks.try_join_next().is_some() {}
        match order {
            WorkerOrder::Assign { worker, token } => self.attend(AssignedWorker::new(number, worker, token)),
            WorkerOrder::Unassign => {
                if let Some(link) = self.workers.remove(&number) {
                    link.close();
                }
            }
            WorkerOrder::AckEnds(end) => {
                if let Some(link) = self.workers.get(&number) {
                    link.forget.send_replace(end);
                }
            }
            WorkerOrder::ReportLoad(wanted) => {
                if let Some(link) = self.workers.get(&number) {
                    link.follow.lock().set_report_load(wanted);
                }
            }
            WorkerOrder::Start(s) => match self.workers.get(&number) {
                Some(link) => {
                    self.tasks.spawn(send::start(self.shared.clone(), link.clone(), s));
                }
                None => self.shared.sink.tell_of(
                    number,
                    None,
                    WorkerEvent::Started { task: s.task, attempt: s.attempt, reply: StartReply::NotSent },
                ),
            },
            WorkerOrder::Stop { task, attempt } => {
                if let Some(link) = self.workers.get(&number) {
                    self.tasks.spawn(send::stop(self.shared.clone(), link.clone(), task, attempt));
                }
            }
            WorkerOrder::Throttle { task, attempt, percent } => {
                if let Some(link) = self.workers.get(&number) {
                    self.tasks.spawn(send::pace(self.shared.clone(), link.clone(), task, attempt, percent));
                }
            }
        }
    }

    fn attend(&mut self, link: AssignedWorker) {
        let link = Arc::new(link);
        if let Some(old) = self.workers.insert(link.number, link.clone()) {
            old.close();
        }
        self.tasks.spawn(poll::run(self.shared.clone(), link));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.workers.values().for_each(|link| link.close());
    }
}
