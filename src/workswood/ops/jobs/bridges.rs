//! Calls to other entries and sessions with relays, directly or through a bridge.
//!
//! Where the direct way to an entry of another data centre gives no answer, another entry is asked to
//! pass the call on, or to connect to the relay. [`Routes`](workswood_core::jobs::bridges::Routes)
//! decides which; what it knows is shared by all calls and sessions of the process.

use std::future::{Future, pending};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{Either, select, select_ok};
use tokio::sync::Notify;
use workswood_core::jobs::bridges::{BridgeEntry, BridgePolicy, Way, spread_bridges};
use workswood_peers::bridge::{BridgedCall, BridgedReply, connect_through};
use workswood_peers::relay::RelayOpen;
use workswood_peers::{CallError, Closed, DuplexRx, DuplexTx, Msg, Ping, ReceivedBytes, connect_duplex};

use super::node::Node;
use super::peers::TOKEN;

/// Largest number of bridges that are tried for one call or session.
const MAX_BRIDGES: usize = 2;
/// Longest wait for the answer through one bridge.
const BRIDGE_TIMEOUT: Duration = Duration::from_millis(250);
/// By how much a bridge waits less than that for the entry that it calls.
const REPLY_MARGIN: Duration = Duration::from_millis(50);
/// Longest wait for the answer to a ping of the direct way.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// After this many answers to pings of the direct way in a row, a session leaves its bridge.
const DIRECT_ANSWERS: u32 = 3;
/// How long a session may still show that it works once its relay answers by another way. A relay
/// that was only slow sends an update as soon as it answers pings.
const GRACE: Duration = Duration::from_millis(60);

/// A connection with a relay.
pub type RelayConnection = (DuplexTx, DuplexRx);

/// The ways to an entry of another data centre.
struct Ways {
    to: BridgeEntry,
    /// The way to try first.
    first: Way,
    /// All entries that are known.
    entries: Vec<BridgeEntry>,
}

fn policy(node: &Node) -> &BridgePolicy {
    &node.settings.policy.bridges
}

/// The ways to the entry that fits; `None` if only the direct one is to be used. Has the direct way
/// checked if that is due.
fn ways_to(node: &Arc<Node>, fits: impl Fn(&BridgeEntry) -> bool) -> Option<Ways> {
    if !policy(node).enabled {
        return None;
    }
    let entries = node.peers.bridge_entries();
    let to = entries.iter().find(|e| fits(e))?.clone();
    if to.data_centre == node.settings.data_centre {
        return None;
    }
    let first = node.routes.lock().first_way(&to.data_centre, policy(node), node.now());
    if first.direct_due {
        tokio::spawn(check_direct(node.clone(), to.clone()));
    }
    Some(Ways { to, first: first.way, entries })
}

/// The bridges to try, best first, without that of the way `except`.
fn bridges(node: &Node, ways: &Ways, except: Option<&Way>) -> Vec<BridgeEntry> {
    let s = &node.settings;
    let from = BridgeEntry {
        name: s.name.clone(),
        address: s.peers.to_string(),
        data_centre: s.data_centre.clone(),
        capacity: s.strength(),
    };
    let ranked = node.routes.lock().bridges(&from, &ways.to, &ways.entries, node.now());
    spread_bridges(ranked, except, MAX_BRIDGES)
}

/// Calls the entry at an address with a message that may be sent twice, within a timeout.
pub async fn call(node: &Arc<Node>, address: &str, msg: Msg, timeout: Duration) -> Result<Msg, CallError> {
    let direct = node.peers.call_with_retry(&node.id, address, msg.clone(), timeout);
    let Some(ways) = ways_to(node, |e| e.address == address) else { return direct.await };
    let direct = direct.map(|reply| reply.map(|msg| (Way::Direct, msg)));
    let attempt = |bridge| call_through(node, bridge, &ways.to, msg.clone());
    let bridged = through_bridges(node, &ways, CallError::NotSent, attempt);
    let answering = race(&ways.first, policy(node).hedge_after, direct, bridged);
    let (way, reply) = tokio::time::timeout(timeout, answering).await.unwrap_or(Err(CallError::NoAnswer))?;
    note_other_way(node, &ways, &way);
    Ok(reply)
}

/// Opens a session with the relay of an entry; returns the way of the session. A connection is made
/// within a timeout; the caller limits how long the relay may take to answer.
pub async fn open_session(
    node: &Arc<Node>,
    entry: &str,
    open: RelayOpen,
    timeout: Duration,
) -> Result<(Way, RelayConnection), Closed> {
    let address = node.peers.address_of(entry).ok_or(Closed)?;
    let direct = open_directly(node, &address, open.clone(), timeout);
    let direct = direct.map(|opened| opened.map(|connection| (Way::Direct, connection)));
    let Some(ways) = ways_to(node, |e| e.name == entry) else { return direct.await };
    // The relay takes the session once, by the way on which it comes first.
    let attempt = |bridge| open_through(node, bridge, &ways.to, open.clone());
    let bridged = through_bridges(node, &ways, Closed, attempt);
    let (way, connection) = race(&ways.first, policy(node).hedge_after, direct, bridged).await?;
    note_other_way(node, &ways, &way);
    if let Way::Bridge(bridge) = &way {
        log::info!("event=session_bridged relay={entry} bridge={bridge}");
    }
    Ok((way, connection))
}

/// Waits until a relay whose session is silent has answered by another way than that of the session, and not
/// by its own. Never returns if it does not, or if only the direct way is to be used.
pub async fn until_other_way(node: &Arc<Node>, entry: &str, silent: &Way, received: &ReceivedBytes) {
    while policy(node).enabled {
        let bytes = until_suspect(node, received).await;
        let Some(ways) = ways_to(node, |e| e.name == entry) else { break };
        let (found, answers) =
            tokio::join!(find_other_way(node, &ways, silent), answers_directly(node, &ways.to, silent));
        let Some(found) = found.filter(|_| !answers) else { break };
        tokio::time::sleep(GRACE).await;
        if received.count() == bytes {
            log::info!("event=relay_way_lost relay={entry} silent={silent} answered={found}");
            session_lost(node, entry, silent);
            note_answer(node, &ways.to, &found);
            return;
        }
    }
    pending().await
}

/// Waits until no byte was received for `suspect_after`, so that a long message is no silence. Returns the
/// number of bytes received.
async fn until_suspect(node: &Node, received: &ReceivedBytes) -> u64 {
    loop {
        let bytes = received.count();
        node.timer_lag.timeout(policy(node).suspect_after, pending::<()>()).await;
        if received.count() == bytes {
            return bytes;
        }
    }
}

/// Whether the way of a silent session is the direct one and the relay answers by it: that way is slow,
/// and not cut.
async fn answers_directly(node: &Node, to: &BridgeEntry, silent: &Way) -> bool {
    let ping = tokio::time::timeout(policy(node).hedge_after, ping_directly(node, &to.address));
    *silent == Way::Direct && matches!(ping.await, Ok(Ok(_)))
}

/// Waits until a relay whose session goes through a bridge has answered directly several times in a
/// row. Never returns for a session that is direct.
pub async fn until_direct_again(node: &Arc<Node>, entry: &str, way: &Way) {
    if *way == Way::Direct {
        return pending().await;
    }
    let mut answers = 0;
    while answers < DIRECT_ANSWERS {
        tokio::time::sleep(policy(node).direct_interval).await;
        let answered = match node.peers.address_of(entry) {
            Some(address) => ping_directly(node, &address).await.is_ok(),
            None => false,
        };
        answers = if answered { answers + 1 } else { 0 };
    }
    if let Some(to) = node.peers.bridge_entries().into_iter().find(|e| e.name == entry) {
        note_answer(node, &to, &Way::Direct);
    }
}

/// Pings an entry by all ways but one; returns the first that it answers by.
async fn find_other_way(node: &Arc<Node>, ways: &Ways, except: &Way) -> Option<Way> {
    let direct = ping_directly(node, &ways.to.address).map(|reply| reply.map(|_| Way::Direct));
    let through = |bridge: BridgeEntry| {
        let way = Way::Bridge(bridge.name.clone());
        call_through(node, bridge, &ways.to, Msg::Ping(Ping {})).map(|reply| reply.map(|_| way)).boxed()
    };
    let others = bridges(node, ways, Some(except));
    let mut pings: Vec<_> = others.into_iter().map(through).collect();
    if *except != Way::Direct {
        pings.push(direct.boxed());
    }
    if pings.is_empty() {
        return None;
    }
    select_ok(pings).await.ok().map(|(way, _)| way)
}

/// Notes that a session was lost: if it went through a bridge, that is not used again for a while.
pub fn session_lost(node: &Node, entry: &str, way: &Way) {
    let Way::Bridge(bridge) = way else { return };
    let entries = node.peers.bridge_entries();
    if let Some(to) = entries.iter().find(|e| e.name == entry) {
        node.routes.lock().bridge_failed(bridge, Some(to), policy(node), node.now());
    }
}

/// Passes a call on for an entry that can't reach the called one.
pub async fn pass_on(node: &Node, call: BridgedCall) -> BridgedReply {
    let (address, timeout) = (call.address.clone(), Duration::from_millis(u64::from(call.timeout_ms)));
    let reply = match call.into_request() {
        Some(msg) => node.peers.call(&node.id, &address, msg, timeout.min(BRIDGE_TIMEOUT)).await.ok(),
        None => None,
    };
    let outcome = if reply.is_some() { "answered" } else { "no_answer" };
    node.metrics.passed_on_calls.with_label_values(&[outcome]).inc();
    BridgedReply::new(reply)
}

/// Notes by which way an entry answered, if it is not the one that was tried first. The direct way may
/// be found again while the first one answers, and that must last.
fn note_other_way(node: &Node, ways: &Ways, way: &Way) {
    if *way != ways.first {
        note_answer(node, &ways.to, way);
    }
}

/// Uses a way to the data centre of an entry first from now on.
fn note_answer(node: &Node, to: &BridgeEntry, way: &Way) {
    if node.routes.lock().answered(&to.data_centre, way, policy(node), node.now()) {
        log::info!("event=way_changed data_centre={} way={way} entry={}", to.data_centre, to.name);
    }
}

/// Pings an entry directly, and uses that way first again if it answers.
async fn check_direct(node: Arc<Node>, to: BridgeEntry) {
    if ping_directly(&node, &to.address).await.is_ok() {
        note_answer(&node, &to, &Way::Direct);
    }
}

async fn ping_directly(node: &Node, address: &str) -> Result<Msg, CallError> {
    node.peers.call(&node.id, address, Msg::Ping(Ping {}), PING_TIMEOUT).await
}

/// Calls an entry through a bridge.
async fn call_through(
    node: &Node,
    bridge: BridgeEntry,
    to: &BridgeEntry,
    msg: Msg,
) -> Result<Msg, CallError> {
    let call = Msg::BridgedCall(BridgedCall::new(&to.address, msg, BRIDGE_TIMEOUT - REPLY_MARGIN));
    let reply = node.peers.call(&node.id, &bridge.address, call, BRIDGE_TIMEOUT).await;
    let failed_at = match reply {
        Ok(Msg::BridgedReply(reply)) => match reply.into_reply() {
            Some(msg) => return Ok(msg),
            None => Some(to),
        },
        Ok(_) | Err(_) => None,
    };
    node.routes.lock().bridge_failed(&bridge.name, failed_at, policy(node), node.now());
    Err(CallError::NoAnswer)
}

/// Opens a session directly.
async fn open_directly(
    node: &Node,
    address: &str,
    open: RelayOpen,
    timeout: Duration,
) -> Result<RelayConnection, Closed> {
    let (first, traffic) = (Msg::RelayOpen(open), node.traffic.clone());
    ready(connect_duplex(address, TOKEN, &node.id, first, timeout, traffic).await?).await
}

/// Opens a session through a bridge.
async fn open_through(
    node: &Node,
    bridge: BridgeEntry,
    to: &BridgeEntry,
    open: RelayOpen,
) -> Result<RelayConnection, Closed> {
    let traffic = node.traffic.clone();
    let opening = async {
        let connection =
            connect_through(&bridge.address, &to.address, TOKEN, &node.id, open, BRIDGE_TIMEOUT, traffic);
        ready(connection.await?).await
    };
    let opened = tokio::time::timeout(BRIDGE_TIMEOUT, opening).await.unwrap_or(Err(Closed));
    if opened.is_err() {
        node.routes.lock().bridge_failed(&bridge.name, Some(to), policy(node), node.now());
    }
    opened
}

/// Waits until the relay takes orders.
async fn ready((out, mut updates): RelayConnection) -> Result<RelayConnection, Closed> {
    match updates.next().await? {
        Msg::RelayReady(_) => Ok((out, updates)),
        _ => Err(Closed),
    }
}

/// Tries the bridges one after another; returns the first success and the way that led to it.
async fn through_bridges<T, E, F: Future<Output = Result<T, E>>>(
    node: &Node,
    ways: &Ways,
    none: E,
    attempt: impl Fn(BridgeEntry) -> F,
) -> Result<(Way, T), E> {
    let mut last = none;
    for bridge in bridges(node, ways, None) {
        let way = Way::Bridge(bridge.name.clone());
        match attempt(bridge).await {
            Ok(x) => return Ok((way, x)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Runs the first way, and the other one as well after `hedge_after` or once the first has failed.
/// Returns the first success, or the failure of the way that failed last.
async fn race<T, E>(
    first: &Way,
    hedge_after: Duration,
    direct: impl Future<Output = Result<T, E>>,
    bridged: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let first_failed = Notify::new();
    let (direct_delay, bridged_delay) = match first {
        Way::Direct => (Duration::ZERO, hedge_after),
        Way::Bridge(_) => (hedge_after, Duration::ZERO),
    };
    let direct = pin!(delayed(direct_delay, &first_failed, direct));
    let bridged = pin!(delayed(bridged_delay, &first_failed, bridged));
    match select(direct, bridged).await {
        Either::Left((Ok(x), _)) | Either::Right((Ok(x), _)) => Ok(x),
        Either::Left((Err(_), other)) => {
            first_failed.notify_one();
            other.await
        }
        Either::Right((Err(_), other)) => {
            first_failed.notify_one();
            other.await
        }
    }
}

/// Runs a future after a delay, or at once when notified.
async fn delayed<T>(delay: Duration, start: &Notify, future: impl Future<Output = T>) -> T {
    if !delay.is_zero() {
        // Elapsed or notified; the future starts either way.
        let _ = tokio::time::timeout(delay, start.notified()).await;
    }
    future.await
}
