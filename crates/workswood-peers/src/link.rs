//! The connecting side: a link to one peer, which reconnects when its connection breaks
//! or goes silent.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use workswood_liveness::HalfOpenDetector;
use workswood_traffic::Traffic;

use crate::connection::{ConnectionDriver, ConnectionEnd};
use crate::{Hello, Msg};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the first reconnection; later delays grow by this much.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of messages that wait to be sent over one link.
const SEND_QUEUE_LEN: usize = 256;

/// A call that waits for its reply.
struct PendingCall {
    tx: oneshot::Sender<Result<Msg, CallError>>,
    /// Whether the request was sent, or is being sent.
    sent: bool,
}

/// Calls that wait for their replies, by call number.
#[derive(Clone, Default)]
pub(crate) struct PendingCalls(Arc<Mutex<HashMap<u64, PendingCall>>>);

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent, and will not be.
    NotSent,
    /// The request may have reached the peer.
    NoAnswer,
}

/// A link to one peer. Clones share one connection, which closes when the last of them
/// is dropped.
#[derive(Clone)]
pub struct Link {
    tx: mpsc::Sender<(u64, Msg)>,
    calls: PendingCalls,
    next_call: Arc<AtomicU64>,
    bytes_sent: Arc<AtomicU64>,
}

impl Link {
    /// Opens a link and keeps it connected to a peer; `incarnation` is that of the calling
    /// entry. Connections found half-open are reported to `half_open`, and all messages are
    /// counted in `traffic`.
    pub fn open(
        address: String,
        token: String,
        incarnation: String,
        half_open: HalfOpenDetector,
        traffic: Traffic,
    ) -> Link {
        let (tx, rx) = mpsc::channel(SEND_QUEUE_LEN);
        let calls = PendingCalls::default();
        let bytes_sent = Arc::new(AtomicU64::new(0));
        let hello = Hello { version: crate::server::PROTOCOL_VERSION, token, incarnation };
        let driver = ConnectionDriver::new(rx, calls.clone(), bytes_sent.clone(), half_open, hello, traffic);
        tokio::spawn(run(address, driver));
        Link { tx, calls, next_call: Arc::new(AtomicU64::new(1)), bytes_sent }
    }

    /// Sends a message that has no reply; drops it if the send queue is full.
    pub fn send(&self, msg: Msg) {
        let _ = self.tx.try_send((0, msg));
    }

    /// Sends a request and waits for the reply; `None` if there is none in time.
    pub async fn call(&self, msg: Msg, timeout: Duration) -> Option<Msg> {
        self.try_call(msg, timeout).await.ok()
    }

    /// Like [`Link::call`], but the error says whether the request was sent. The call
    /// fails before its timeout if the connection breaks or goes silent.
    pub async fn try_call(&self, msg: Msg, timeout: Duration) -> Result<Msg, CallError> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let reply = self.calls.register(call);
        let guard = CallGuard { calls: &self.calls, call };
        // If the queue is full, the request is not sent.
        let _ = self.tx.try_send((call, msg));
        match tokio::time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => reply,
            // A call that is no longer pending is not sent any more.
            Ok(Err(_)) | Err(_) => Err(guard.give_up()),
        }
    }

    /// Whether this and another are clones of one link.
    pub fn is_clone_of(&self, other: &Link) -> bool {
        Arc::ptr_eq(&self.next_call, &other.next_call)
    }

    /// Bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }
}

/// Removes a pending call when its caller stops waiting.
struct CallGuard<'a> {
    calls: &'a PendingCalls,
    call: u64,
}

impl CallGuard<'_> {
    /// Removes the call and returns why it has no reply.
    fn give_up(self) -> CallError {
        self.calls.take(self.call).map_or(CallError::NoAnswer, |c| c.error())
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.calls.take(self.call);
    }
}

impl PendingCalls {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, PendingCall>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn register(&self, call: u64) -> oneshot::Receiver<Result<Msg, CallError>> {
        let (tx, rx) = oneshot::channel();
        self.lock().insert(call, PendingCall { tx, sent: false });
        rx
    }

    fn take(&self, call: u64) -> Option<PendingCall> {
        self.lock().remove(&call)
    }

    /// Marks a call as sent. Returns whether its message is still to be sent, which is not
    /// so once the caller has given up. Messages without a reply, whose number is 0, are
    /// always sent.
    pub(crate) fn mark_sent(&self, call: u64) -> bool {
        if call == 0 {
            return true;
        }
        let mut calls = self.lock();
        let pending = calls.get_mut(&call);
        pending.map(|c| c.sent = true).is_some()
    }

    /// Whether any request was sent whose reply has not arrived.
    pub(crate) fn is_any_sent(&self) -> bool {
        self.lock().values().any(|c| c.sent)
    }

    /// Hands a reply to the caller that waits for it.
    pub(crate) fn complete(&self, call: u64, msg: Msg) {
        if let Some(c) = self.take(call) {
            // Sending fails if the caller has given up meanwhile.
            let _ = c.tx.send(Ok(msg));
        }
    }

    /// Ends all pending calls with an error.
    fn fail_all(&self) {
        let pending: Vec<PendingCall> = self.lock().drain().map(|(_, c)| c).collect();
        for c in pending {
            let error = c.error();
            let _ = c.tx.send(Err(error));
        }
    }
}

impl PendingCall {
    /// The error that a missing reply means for this call.
    fn error(&self) -> CallError {
        if self.sent { CallError::NoAnswer } else { CallError::NotSent }
    }
}

/// Keeps a connection open until all clones of the link are dropped.
async fn run(address: String, mut driver: ConnectionDriver) {
    let mut failed_attempts = 0;
    loop {
        let started = Instant::now();
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        let end = match connect {
            Ok(Ok(stream)) => driver.run(stream, started.elapsed(), &address).await,
            Ok(Err(_)) | Err(_) => ConnectionEnd::Broken,
        };
        // Queued messages would be out of date once the peer is back.
        driver.clear_queue();
        driver.calls.fail_all();
        if end == ConnectionEnd::LinkDropped || driver.rx.is_closed() {
            return;
        }
        // Unless the connection broke, reconnect at once after one on which something was
        // received, and once after one on which nothing was.
        failed_attempts = if driver.take_received_any() { 0 } else { failed_attempts + 1 };
        if end == ConnectionEnd::Broken || failed_attempts > 1 {
            tokio::time::sleep((RECONNECT_DELAY * failed_attempts.max(1)).min(MAX_RECONNECT_DELAY)).await;
        }
    }
}
