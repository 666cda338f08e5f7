//! Tells how long orders wait in the relay before they are sent.

use std::time::Duration;

use workswood_core::jobs::TaskId;

use super::RelayContext;
use super::assigned_worker::AssignedWorker;

/// An order that has waited for this long is logged.
const LONG_WAIT: Duration = Duration::from_millis(500);
/// Shortest time between two such log lines of one worker.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// Orders whose waits are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderKind {
    Start,
    Stop,
    Throttle,
}

impl OrderKind {
    /// Its name in metrics and logs.
    fn label(self) -> &'static str {
        match self {
            OrderKind::Start => "start",
            OrderKind::Stop => "stop",
            OrderKind::Throttle => "throttle",
        }
    }
}

/// The wait of one order, from its arrival in the relay on.
pub(super) struct OrderWait {
    kind: OrderKind,
    since: Duration,
}

impl OrderWait {
    /// Begins the wait of an order that has arrived now.
    pub(super) fn begin(cx: &RelayContext, kind: OrderKind) -> OrderWait {
        OrderWait { kind, since: cx.node.now() }
    }

    /// Counts the wait of an order that is sent now, and logs it if it was long.
    pub(super) fn end(self, cx: &RelayContext, worker: &AssignedWorker, task: TaskId) {
        let now = cx.node.now();
        let order = self.kind.label();
        let waited = now.saturating_sub(self.since);
        cx.node.metrics.order_wait_seconds.with_label_values(&[order]).observe(waited.as_secs_f64());
        if waited < LONG_WAIT || !worker.may_log_wait(now, LOG_INTERVAL) {
            return;
        }
        let (worker, waited_ms) = (&worker.address.id, waited.as_millis());
        log::info!("event=order_waited worker={worker} order={order} task={task} waited_ms={waited_ms}");
    }
}
