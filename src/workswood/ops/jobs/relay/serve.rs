//! A relay's side of a connection that a lease holder opened to it.
//!
//! The connection lasts as long as the holder wants this relay. When it ends, for
//! whatever reason, the workers are attended no longer: the holder, or its successor,
//! has them attended anew.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use tokio::sync::watch;
use workswood_peers::relay as wire;
use workswood_peers::{Closed, DuplexRx, DuplexTx, Msg, RelayHandler};

use super::{Grant, Outbox, Relay, Sink, wire as form};
use crate::ops::jobs::node::Node;

/// News wait this long for others to be sent with: each message costs both sides some
/// ten microseconds, and steps last a hundred times as long.
const LINGER: Duration = Duration::from_millis(10);
/// Time between two heartbeats: the holder misses five before it gives a relay up.
pub const BEAT_EVERY: Duration = Duration::from_millis(200);
/// A holder that has said nothing for this long, not even to heartbeats, is gone or
/// has given this relay up.
const HOLDER_SILENT: Duration = Duration::from_secs(3);
/// Heartbeats whose answers may be under way.
const MOST_BEATS: usize = 64;

/// Which session of which term a relay serves; later ones end earlier ones.
pub type Session = (u64, u64);

/// Takes connections of lease holders over.
pub fn handler(node: Arc<Node>) -> RelayHandler {
    Arc::new(move |open, tx, rx| serve(node.clone(), open, tx, rx).boxed())
}

/// Serves one lease holder until the connection ends, or another holder comes.
async fn serve(node: Arc<Node>, open: wire::RelayOpen, mut tx: DuplexTx, rx: DuplexRx) {
    let session = (open.term, open.session);
    let newest = node.relay_session.send_if_modified(|s| {
        let newer = *s < session;
        *s = session.max(*s);
        newer
    });
    if !newest || node.is_stopping() {
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
    let outbox = Arc::new(Outbox::default());
    let mut relay = Relay::new(node.clone(), grant.clone(), Sink::There(outbox.clone()));
    let beats = Beats::default();
    let mut other = node.relay_session.subscribe();
    let why = tokio::select! {
        _ = take_orders(&node, rx, &mut relay, &grant, &beats) => "holder_gone",
        _ = send_news(&node, tx, &outbox, &beats) => "connection_broken",
        _ = other.wait_for(|s| *s > session) => "replaced",
        () = node.lag.clone().measure() => "never",
    };
    log::info!(
        "event=relay_session_ended holder={} term={} reason={why} workers={}",
        open.holder,
        open.term,
        relay.count()
    );
}

/// When heartbeats were sent whose answers have not come.
#[derive(Default)]
struct Beats(Mutex<VecDeque<(u64, Duration)>>);

impl Beats {
    fn sent(&self, beat: u64, at: Duration) {
        let mut beats = self.0.lock();
        if beats.len() >= MOST_BEATS {
            beats.pop_front();
        }
        beats.push_back((beat, at));
    }

    /// When the heartbeat was sent that is answered; earlier ones need no answer.
    fn answered(&self, beat: u64) -> Option<Duration> {
        let mut beats = self.0.lock();
        while let Some((n, at)) = beats.pop_front() {
            if n == beat {
                return Some(at);
            }
        }
        None
    }
}

async fn take_orders(
    node: &Node,
    mut rx: DuplexRx,
    relay: &mut Relay,
    grant: &Grant,
    beats: &Beats,
) -> Result<(), Closed> {
    loop {
        let msg = node.lag.timeout(HOLDER_SILENT, rx.next()).await.ok_or(Closed)??;
        let Msg::RelayOrders(frame) = msg else { return Err(Closed) };
        if let Some(g) = frame.grant
            && let Some(sent) = beats.answered(g.heartbeat)
        {
            // Counted from before the holder granted it.
            grant.extend(sent + Duration::from_millis(u64::from(g.duration_ms)));
        }
        let orders = form::read_orders(frame.orders).ok_or(Closed)?;
        orders.into_iter().for_each(|(number, order)| relay.take(number, order));
        node.metrics.relayed_workers.set(relay.count() as i64);
    }
}

async fn send_news(node: &Node, mut tx: DuplexTx, outbox: &Outbox, beats: &Beats) -> Result<(), Closed> {
    let mut beat = 0;
    let mut due = node.now();
    let mut stopping = node.stopping.subscribe();
    let mut left = false;
    loop {
        tokio::select! {
            () = outbox.wake.notified() => tokio::time::sleep(LINGER).await,
            () = tokio::time::sleep(due.saturating_sub(node.now())) => {}
            () = until_true(&mut stopping), if !left => {}
        }
        let news = outbox.take();
        let now = node.now();
        left = node.is_stopping();
        let mut number = 0;
        if now >= due {
            beat += 1;
            number = beat;
            beats.sent(beat, now);
            due = now + BEAT_EVERY;
        }
        let frame = wire::RelayUpdate { heartbeat: number, stopping: left, events: form::write_news(news) };
        tx.send(Msg::RelayUpdate(frame)).await?;
    }
}

async fn until_true(seen: &mut watch::Receiver<bool>) {
    // The sender lives as long as the process.
    let _ = seen.wait_for(|s| *s).await;
}
