//! The connecting side: one connection to one peer, made again when it breaks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use crate::server::{VERSION, codec, encode};
use crate::{Frame, Hello, Msg};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_AFTER: Duration = Duration::from_millis(200);
const QUEUE: usize = 256;

/// A question that waits for its answer.
struct Waiting {
    tx: oneshot::Sender<Msg>,
    /// Whether it is on its way, or may be.
    sent: bool,
}

type Calls = Arc<Mutex<HashMap<u64, Waiting>>>;

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
    /// Keeps a connection to a peer; `from` is our incarnation.
    pub fn open(address: String, token: String, from: String) -> Link {
        let (tx, rx) = mpsc::channel(QUEUE);
        let calls = Calls::default();
        let sent = Arc::new(AtomicU64::new(0));
        tokio::spawn(run(address, token, from, rx, calls.clone(), sent.clone()));
        Link { tx, calls, next: Arc::new(AtomicU64::new(1)), sent }
    }

    /// Sends a message without an answer; dropped if the peer is behind.
    pub fn send(&self, msg: Msg) {
        let _ = self.tx.try_send((0, msg));
    }

    /// Asks the peer; `None` if no answer comes in time.
    pub async fn call(&self, msg: Msg, timeout: Duration) -> Option<Msg> {
        self.ask(msg, timeout).await.ok()
    }

    /// Asks the peer; tells whether a question without an answer was sent.
    pub async fn ask(&self, msg: Msg, timeout: Duration) -> Result<Msg, CallError> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.calls).insert(call, Waiting { tx, sent: false });
        // A queue that is full takes nothing, and the question is not sent.
        let _ = self.tx.try_send((call, msg));
        let answer = tokio::time::timeout(timeout, rx).await;
        // Once it is out of the list, it is not sent any more.
        let unsent = lock(&self.calls).remove(&call).is_some_and(|w| !w.sent);
        match answer {
            Ok(Ok(msg)) => Ok(msg),
            _ if unsent => Err(CallError::NotSent),
            _ => Err(CallError::NoAnswer),
        }
    }

    /// Bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn lock(calls: &Calls) -> std::sync::MutexGuard<'_, HashMap<u64, Waiting>> {
    calls.lock().unwrap_or_else(|e| e.into_inner())
}

/// Whether a message is still to be sent; a question whose caller has given up is
/// not. Notes that it is.
fn is_wanted(calls: &Calls, call: u64) -> bool {
    if call == 0 {
        return true;
    }
    let mut calls = lock(calls);
    let waiting = calls.get_mut(&call);
    waiting.map(|w| w.sent = true).is_some()
}

async fn run(
    address: String,
    token: String,
    from: String,
    mut rx: mpsc::Receiver<(u64, Msg)>,
    calls: Calls,
    sent: Arc<AtomicU64>,
) {
    loop {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connect {
            let hello = Hello { version: VERSION, token: token.clone(), from: from.clone() };
            if exchange(stream, hello, &mut rx, &calls, &sent).await.is_none() {
                return;
            }
        }
        // What waits now is old news by the time the peer is back.
        while rx.try_recv().is_ok() {}
        if rx.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_AFTER).await;
    }
}

/// Runs one connection; `None` when the link is no longer wanted.
async fn exchange(
    stream: TcpStream,
    hello: Hello,
    rx: &mut mpsc::Receiver<(u64, Msg)>,
    calls: &Calls,
    sent: &AtomicU64,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    if framed.send(encode(0, Msg::Hello(hello))).await.is_err() {
        return Some(());
    }
    loop {
        tokio::select! {
            out = rx.recv() => {
                let (call, msg) = out?;
                if !is_wanted(calls, call) {
                    continue;
                }
                let buf = encode(call, msg);
                sent.fetch_add(buf.len() as u64 + 4, Ordering::Relaxed);
                if framed.send(buf).await.is_err() {
                    return Some(());
                }
            }
            answer = framed.next() => {
                let Some(Ok(buf)) = answer else { return Some(()) };
                let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else { return Some(()) };
                let waiting = lock(calls).remove(&call);
                if let Some(w) = waiting {
                    let _ = w.tx.send(msg);
                }
            }
        }
    }
}
