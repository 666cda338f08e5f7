//! A relay within the test process that polls one worker.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::relay::messages::{StartTask, WorkerOrder};
use workswood::ops::jobs::relay::{EventSink, Grant, Relay};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{Event, TaskId, WorkerAddress, WorkerUpdate};
use workswood_platform::jobs::JobPlatform;

use crate::job_node::settings;

/// The number of the worker.
const WORKER: u32 = 1;
/// The fencing token of the relay's orders.
const TOKEN: u64 = 7;
/// For how long the relay may extend leases.
const GRANT: Duration = Duration::from_secs(60);

/// A relay, its worker, and the events that it reports.
pub struct RelaySite {
    /// The process that the relay is part of.
    pub node: Arc<Node>,
    relay: Relay,
    events: mpsc::UnboundedReceiver<Event>,
}

impl RelaySite {
    /// Creates a relay that has polled the worker, which tells when it has started if `started` is
    /// given.
    pub async fn new(platform: Arc<dyn JobPlatform>, address: &str, started: Option<u64>) -> RelaySite {
        let node = Arc::new(Node::new(settings("entry-1"), platform));
        let (tx, events) = mpsc::unbounded_channel();
        let relay = Relay::new(node.clone(), Grant::until(GRANT), EventSink::Local(tx));
        let worker = WorkerAddress {
            id: WorkerId::new("w", started),
            address: address.to_string(),
            data_centre: "north".to_string(),
        };
        let mut site = RelaySite { node, relay, events };
        site.order(WorkerOrder::Assign { worker, token: TOKEN, extensions: ExtensionOrders::NotNeeded });
        site.event(|ev| matches!(ev, Event::WorkerUpdate(_, _, WorkerUpdate::Reported(_))).then_some(()))
            .await;
        site
    }

    /// Gives the relay an order on the worker.
    pub fn order(&mut self, order: WorkerOrder) {
        self.relay.execute(WORKER, order);
    }

    /// Orders the start of a task.
    pub fn order_start(&mut self, task: TaskId, attempt: u32) {
        let (spec, checkpoint) = ("text".into(), String::new());
        self.order(WorkerOrder::Start(StartTask { task, attempt, spec, checkpoint, ticket: None }));
    }

    /// Waits for an event.
    pub async fn event<T>(&mut self, wanted: impl Fn(&Event) -> Option<T>) -> T {
        loop {
            let ev = self.events.recv().await.expect("the relay runs");
            if let Some(found) = wanted(&ev) {
                return found;
            }
        }
    }
}
