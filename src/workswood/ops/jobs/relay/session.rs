//! The relay's side of a session with a lease holder in another process.
//!
//! A session lasts as long as the connection that the holder opened for it. When it ends, the
//! relay stops polling all workers of the session; the holder, or its successor, assigns
//! them anew.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use tokio::sync::watch;
use workswood_peers::relay as wire;
use workswood_peers::{Closed, DuplexRx, DuplexTx, Msg, RelayHandler};

use super::{EventQueue, EventSink, Grant, Relay, codec};
use crate::ops::jobs::node::Node;

/// How long events are collected before they are sent in one message.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Time between two heartbeats of a relay.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A holder that has sent nothing for this long, not even replies to heartbeats, is gone or no
/// longer uses this relay.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number of heartbeats that wait for their replies.
const MAX_PENDING_HEARTBEATS: usize = 64;

/// Term of a lease holder and number of its session; a later session ends all earlier ones.
pub type SessionId = (u64, u64);

/// Creates the handler of connections from lease holders.
pub fn handler(node: Arc<Node>) -> RelayHandler {
    Arc::new(move |open, tx, rx| serve(node.clone(), open, tx, rx).boxed())
}

/// Serves one lease holder until the connection or the session ends.
async fn serve(node: Arc<Node>, open: wire::RelayOpen, mut tx: DuplexTx, rx: DuplexRx) {
    let session = (open.term, open.session);
    let is_newest = node.relay_session.send_if_modified(|s| {
        let newer = *s < session;
        *s = session.max(*s);
        newer
    });
    if !is_newest || node.is_stopping() {
        log::info!("event=relay_refused holder={} term={}", open.holder, open.term);
        return;
    }
    if tx.send(Msg::RelayReady(wire::RelayReady {})).await.is_err() {
        return;
    }
    log::info!(
        "event=relay_session_began holder={} term={} session={}",
        open.holder,
        open.term,
        open.session
    );
    let grant = Grant::default();
    let events = Arc::new(EventQueue::default());
    let mut relay = Relay::new(node.clone(), grant.clone(), EventSink::Remote(events.clone()));
    let heartbeats = PendingHeartbeats::default();
    let mut newest = node.relay_session.subscribe();
    let reason = tokio::select! {
        received = receive_orders(&node, rx, &mut relay, &grant, &heartbeats, &events) => match received {
            Ok(EndAsked) => SessionOver::HolderStops,
            Err(Closed) => SessionOver::HolderGone,
        },
        _ = send_updates(&node, &mut tx, &events, &heartbeats) => SessionOver::ConnectionBroken,
        _ = newest.wait_for(|s| *s > session) => SessionOver::Replaced,
        () = node.timer_lag.clone().measure() => SessionOver::Never,
    };
    log::info!(
        "event=relay_session_ended holder={} term={} reason={} workers={}",
        open.holder,
        open.term,
        reason.label(),
        relay.worker_count()
    );
    // No lease is extended any more once the relay is gone.
    drop(relay);
    if reason == SessionOver::HolderStops {
        let ended = wire::RelayUpdate { ended: true, ..wire::RelayUpdate::default() };
        if tx.send(Msg::RelayUpdate(ended)).await.is_err() {
            log::info!("event=session_end_not_confirmed holder={} term={}", open.holder, open.term);
        }
    }
}

/// The lease holder has asked to end the session.
struct EndAsked;

/// Why a session is over.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionOver {
    HolderStops,
    HolderGone,
    ConnectionBroken,
    /// A later session has begun.
    Replaced,
    /// The measurement of timers, which never does, has ended.
    Never,
}

impl SessionOver {
    /// Name of the reason in the log.
    fn label(self) -> &'static str {
        match self {
            SessionOver::HolderStops => "holder_stops",
            SessionOver::HolderGone => "holder_gone",
            SessionOver::ConnectionBroken => "connection_broken",
            SessionOver::Replaced => "replaced",
            SessionOver::Never => "never",
        }
    }
}

/// Numbers and send times of heartbeats that wait for their replies.
#[derive(Default)]
struct PendingHeartbeats(Mutex<VecDeque<(u64, Duration)>>);

impl PendingHeartbeats {
    fn push(&self, number: u64, sent: Duration) {
        let mut pending = self.0.lock();
        if pending.len() >= MAX_PENDING_HEARTBEATS {
            pending.pop_front();
        }
        pending.push_back((number, sent));
    }

    /// Removes a heartbeat and all earlier ones; returns when it was sent.
    fn take(&self, number: u64) -> Option<Duration> {
        let mut pending = self.0.lock();
        while let Some((n, sent)) = pending.pop_front() {
            if n == number {
                return Some(sent);
            }
        }
        None
    }
}

async fn receive_orders(
    node: &Node,
    mut rx: DuplexRx,
    relay: &mut Relay,
    grant: &Grant,
    heartbeats: &PendingHeartbeats,
    events: &EventQueue,
) -> Result<EndAsked, Closed> {
    loop {
        let msg = node.timer_lag.timeout(HOLDER_TIMEOUT, rx.next()).await.ok_or(Closed)??;
        let Msg::RelayOrders(msg) = msg else { return Err(Closed) };
        if let Some(ms) = msg.grant.and_then(|g| g.holder_ms) {
            events.note_holder_time(Duration::from_millis(ms), node.now());
        }
        if let Some(g) = msg.grant
            && let Some(sent) = heartbeats.take(g.heartbeat)
        {
            // Counted from when the heartbeat was sent, which was before the holder granted it.
            let full_until = sent + Duration::from_millis(u64::from(g.duration_ms));
            grant.extend_to(full_until, full_until + Duration::from_millis(u64::from(g.shortened_ms)));
        }
        let orders = codec::read_orders(msg.orders).ok_or(Closed)?;
        orders.into_iter().for_each(|(number, order)| relay.execute(number, order));
        node.metrics.relayed_workers.set(relay.worker_count() as i64);
        if msg.end {
            return Ok(EndAsked);
        }
    }
}

async fn send_updates(
    node: &Node,
    tx: &mut DuplexTx,
    events: &EventQueue,
    heartbeats: &PendingHeartbeats,
) -> Result<(), Closed> {
    let mut last_heartbeat = 0;
    let mut heartbeat_due = node.now();
    let mut stopping = node.stopping.subscribe();
    let mut stop_announced = false;
    loop {
        tokio::select! {
            () = events.not_empty.notified() => tokio::time::sleep(BATCH_DELAY).await,
            () = tokio::time::sleep(heartbeat_due.saturating_sub(node.now())) => {}
            () = until_true(&mut stopping), if !stop_announced => {}
        }
        let batch = events.drain();
        let now = node.now();
        stop_announced = node.is_stopping();
        let mut heartbeat = 0;
        if now >= heartbeat_due {
            last_heartbeat += 1;
            heartbeat = last_heartbeat;
            heartbeats.push(heartbeat, now);
            heartbeat_due = now + HEARTBEAT_INTERVAL;
        }
        let events = codec::write_events(batch);
        let update = wire::RelayUpdate { heartbeat, stopping: stop_announced, events, ended: false };
        tx.send(Msg::RelayUpdate(update)).await?;
    }
}

async fn until_true(value: &mut watch::Receiver<bool>) {
    // Waiting can't fail: the sender lives as long as the process.
    let _ = value.wait_for(|s| *s).await;
}
