//! The connecting side: one connection to one peer, made again when it breaks or
//! goes silent.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use workswood_liveness::HalfOpen;
use workswood_traffic::Traffic;

use crate::exchange::{End, Exchange};
use crate::{Hello, Msg};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_AFTER: Duration = Duration::from_millis(200);
/// Longest pause after connections on which nothing was heard.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
const QUEUE: usize = 256;

/// A question that waits for its answer.
struct Waiting {
    tx: oneshot::Sender<Result<Msg, CallError>>,
    /// Whether it is on its way, or may be.
    sent: bool,
}

/// Questions that wait for their answers, by number.
#[derive(Clone, Default)]
pub(crate) struct Calls(Arc<Mutex<HashMap<u64, Waiting>>>);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It was not sent, and will not be.
    NotSent,
    /// It may have reached the peer.
    NoAnswer,
}

/// A connection to one peer. Dropping the last clone closes it.
#[derive(Clone)]
pub struct Link {
    tx: mpsc::Sender<(u64, Msg)>,
    calls: Calls,
    next: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl Link {
    /// Keeps a connection to a peer; `from` is our incarnation. What it finds out of
    /// connections, and what goes over them, is shared with others.
    pub fn open(address: String, token: String, from: String, half_open: HalfOpen, traffic: Traffic) -> Link {
        let (tx, rx) = mpsc::channel(QUEUE);
        let calls = Calls::default();
        let sent = Arc::new(AtomicU64::new(0));
        let hello = Hello { version: crate::server::VERSION, token, from };
        let (calls_here, sent_here) = (calls.clone(), sent.clone());
        let exchange = Exchange::new(rx, calls_here, sent_here, half_open, hello, traffic);
        tokio::spawn(run(address, exchange));
        Link { tx, calls, next: Arc::new(AtomicU64::new(1)), sent }
    }

    /// Sends a message without an answer; dropped if the peer is behind.
    pub fn send(&self, msg: Msg) {
        let _ = self.tx.try_send((0, msg));
    }

    /// Asks the peer; `None` if no answer comes in time.
    pub async fn call(&self, msg: Msg, timeout: Duration) -> Option<Msg> {
        self.try_call(msg, timeout).await.ok()
    }

    /// Asks the peer; tells whether a question without an answer was sent. It is
    /// given up before its time if the connection breaks or goes silent.
    pub async fn try_call(&self, msg: Msg, timeout: Duration) -> Result<Msg, CallError> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let answer = self.calls.wait_for(call);
        let asked = Asked { calls: &self.calls, call };
        // A queue that is full takes nothing, and the question is not sent.
        let _ = self.tx.try_send((call, msg));
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => answer,
            // Once it is out of the list, it is not sent any more.
            Ok(Err(_)) | Err(_) => Err(asked.give_up()),
        }
    }

    /// Whether this and another are clones of one link.
    pub fn is_clone_of(&self, other: &Link) -> bool {
        Arc::ptr_eq(&self.next, &other.next)
    }

    /// Bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// A question whose caller waits. It is taken out when its caller no longer does.
struct Asked<'a> {
    calls: &'a Calls,
    call: u64,
}

impl Asked<'_> {
    /// Takes the question out; tells how it counts.
    fn give_up(self) -> CallError {
        self.calls.take(self.call).map_or(CallError::NoAnswer, |w| w.why())
    }
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.calls.take(self.call);
    }
}

impl Calls {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Waiting>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wait_for(&self, call: u64) -> oneshot::Receiver<Result<Msg, CallError>> {
        let (tx, rx) = oneshot::channel();
        self.lock().insert(call, Waiting { tx, sent: false });
        rx
    }

    fn take(&self, call: u64) -> Option<Waiting> {
        self.lock().remove(&call)
    }

    /// Whether a message is still to be sent; a question whose caller has given up is
    /// not. Notes that it is.
    pub(crate) fn is_wanted(&self, call: u64) -> bool {
        if call == 0 {
            return true;
        }
        let mut calls = self.lock();
        let waiting = calls.get_mut(&call);
        waiting.map(|w| w.sent = true).is_some()
    }

    /// Whether a question was sent whose answer has not come.
    pub(crate) fn is_any_sent(&self) -> bool {
        self.lock().values().any(|w| w.sent)
    }

    /// Hands an answer to who waits for it.
    pub(crate) fn answer(&self, call: u64, msg: Msg) {
        if let Some(w) = self.take(call) {
            // Who has given up meanwhile needs no answer.
            let _ = w.tx.send(Ok(msg));
        }
    }

    /// Tells all who wait that no answer will come.
    fn fail(&self) {
        let waiting: Vec<Waiting> = self.lock().drain().map(|(_, w)| w).collect();
        for w in waiting {
            let why = w.why();
            let _ = w.tx.send(Err(why));
        }
    }
}

impl Waiting {
    /// What it means that no answer comes.
    fn why(&self) -> CallError {
        if self.sent { CallError::NoAnswer } else { CallError::NotSent }
    }
}

/// Keeps a connection until the link is no longer wanted.
async fn run(address: String, mut exchange: Exchange) {
    let mut failed = 0;
    loop {
        let begun = Instant::now();
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        let end = match connect {
            Ok(Ok(stream)) => exchange.run(stream, begun.elapsed(), &address).await,
            Ok(Err(_)) | Err(_) => End::Broken,
        };
        // What waits now is old news by the time the peer is back.
        exchange.drop_queue();
        exchange.calls.fail();
        if end == End::Unwanted || exchange.rx.is_closed() {
            return;
        }
        // After a connection that worked, the next one is made at once unless the peer
        // broke it off.
        failed = if exchange.take_heard() { 0 } else { failed + 1 };
        if end == End::Broken || failed > 1 {
            tokio::time::sleep((RECONNECT_AFTER * failed.max(1)).min(LONGEST_PAUSE)).await;
        }
    }
}
