//! One connection to a peer, while it lasts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use workswood_liveness::{Finding, HalfOpen, Patience};
use workswood_traffic::Traffic;

use crate::counted::Counted;
use crate::link::Calls;
use crate::server::{codec, encode};
use crate::{Frame, Hello, Msg, Ping};

/// Nothing heard for this long while a question waits: the peer is asked whether the
/// connection works. Most answers come within a few milliseconds.
const PING_AFTER: Duration = Duration::from_millis(100);
/// Likewise after messages that have no answer.
const PING_AFTER_SEND: Duration = Duration::from_secs(1);
/// The answer to that is late after this many times the time that such answers take,
const PONG_TIMES: f64 = 4.0;
/// but not before this time: it needs no work, on a busy host some ten milliseconds.
const PONG_NOT_BEFORE: Duration = Duration::from_millis(150);
/// Bytes a second that pass on the slowest link, half of 2 Mbit/s: a ping waits behind
/// what was sent before it.
const SLOWEST: f64 = 125_000.0;
/// Longest time in which one message is handed to the network: the largest hand-in
/// of 400 KB at 2 Mbit/s, three times over.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection is not used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Nobody wants the link.
    Unwanted,
    /// It broke, or could not be made.
    Broken,
    /// Nothing comes back on it.
    Silent,
    /// Other connections of this process have gone silent.
    Suspected,
}

/// What goes over the connections of one link, one connection after the other.
pub(crate) struct Exchange {
    /// Numbers and messages to be sent; 0 for those without an answer.
    pub(crate) rx: mpsc::Receiver<(u64, Msg)>,
    pub(crate) calls: Calls,
    /// Bytes sent.
    sent: Arc<AtomicU64>,
    half_open: HalfOpen,
    traffic: Traffic,
    hello: Hello,
    /// Since when the connection before this one was silent, if that was its end.
    silent_since: Option<Instant>,
    /// Whether something was heard on the last connection.
    heard: bool,
}

type Stream = Framed<Counted, LengthDelimitedCodec>;

/// Whether a connection is heard, as far as it needs to be.
struct Hearing {
    /// When it has to have been heard.
    due: Option<Instant>,
    /// When it was first owed an answer that has not come.
    owed_since: Option<Instant>,
    /// When a ping was sent since it was last heard.
    pinged: Option<Instant>,
    /// How long pings take.
    patience: Patience,
    /// Bytes that had come when it was last looked at.
    bytes: u64,
}

impl Hearing {
    /// Of a connection that was made in some time, which is one way there and back.
    fn new(connected_in: Duration) -> Hearing {
        let patience = Patience::new(PONG_TIMES, PONG_NOT_BEFORE).beginning_with(connected_in);
        Hearing { due: None, owed_since: None, pinged: None, patience, bytes: 0 }
    }

    /// Notes that a message has left, and how soon something should be heard. What is
    /// sent after it only puts that off by its own time on the slowest link.
    fn sent(&mut self, within: Duration, bytes: usize) {
        let now = Instant::now();
        let due = self.due.map_or(now + within, |due| due.min(now + within));
        self.due = Some(due + Duration::from_secs_f64(bytes as f64 / SLOWEST));
        self.owed_since.get_or_insert(now);
    }

    /// Notes that something was heard.
    fn heard(&mut self, more_expected: bool) {
        let now = Instant::now();
        if let Some(at) = self.pinged.take() {
            self.patience.note(now - at);
        }
        self.due = more_expected.then(|| now + PING_AFTER);
        self.owed_since = more_expected.then_some(now);
    }

    /// Notes how many bytes have come; returns whether there are more than before. A
    /// long answer is heard long before it is whole.
    fn is_coming(&mut self, bytes: u64) -> bool {
        std::mem::replace(&mut self.bytes, bytes) < bytes
    }

    /// Waits until the connection should have been heard, if it should.
    async fn overdue(&self) {
        match self.due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }
}

impl Exchange {
    /// For a link without a connection yet.
    pub(crate) fn new(
        rx: mpsc::Receiver<(u64, Msg)>,
        calls: Calls,
        sent: Arc<AtomicU64>,
        half_open: HalfOpen,
        hello: Hello,
        traffic: Traffic,
    ) -> Exchange {
        Exchange { rx, calls, sent, half_open, traffic, hello, silent_since: None, heard: false }
    }

    /// Whether something was heard on the last connection; forgets it.
    pub(crate) fn take_heard(&mut self) -> bool {
        std::mem::take(&mut self.heard)
    }

    /// Runs one connection to its end, which was made in some time.
    pub(crate) async fn run(&mut self, stream: TcpStream, connected_in: Duration, address: &str) -> End {
        let opened = Instant::now();
        // Without it, small messages would only wait for each other.
        let _ = stream.set_nodelay(true);
        let (stream, bytes) = Counted::new(stream);
        let mut framed = Framed::new(stream, codec());
        let half_open = self.half_open.clone();
        let mut hearing = Hearing::new(connected_in);
        if self.write(&mut framed, 0, Msg::Hello(self.hello.clone())).await.is_err() {
            return End::Broken;
        }
        loop {
            tokio::select! {
                out = self.rx.recv() => {
                    let Some((call, msg)) = out else { return End::Unwanted };
                    if !self.calls.is_wanted(call) {
                        continue;
                    }
                    let Ok(len) = self.write(&mut framed, call, msg).await else { return End::Broken };
                    hearing.sent(if call == 0 { PING_AFTER_SEND } else { PING_AFTER }, len);
                }
                answer = framed.next() => {
                    let Some(Ok(buf)) = answer else { return End::Broken };
                    let len = buf.len();
                    let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else { return End::Broken };
                    self.traffic.note(msg.purpose(), 0, len);
                    self.calls.answer(call, msg);
                    self.heard = true;
                    hearing.heard(self.calls.is_any_sent());
                    if let Some(silent_since) = self.silent_since.take() {
                        half_open.found(Finding { address: address.to_string(), silent_since });
                    }
                }
                () = hearing.overdue() => {
                    if hearing.is_coming(bytes.load(Ordering::Relaxed)) {
                        hearing.heard(true);
                    } else if hearing.pinged.is_some() {
                        log::info!("event=peer_silent address={address}");
                        self.silent_since = hearing.owed_since;
                        return End::Silent;
                    } else if self.ping(&mut framed, &mut hearing).await.is_err() {
                        return End::Broken;
                    }
                }
                () = half_open.suspected(opened) => return End::Suspected,
            }
        }
    }

    /// Forgets what waits to be sent.
    pub(crate) fn drop_queue(&mut self) {
        while self.rx.try_recv().is_ok() {}
    }

    async fn ping(&self, framed: &mut Stream, hearing: &mut Hearing) -> Result<(), ()> {
        self.write(framed, 0, Msg::Ping(Ping {})).await?;
        let now = Instant::now();
        hearing.pinged = Some(now);
        hearing.due = Some(now + hearing.patience.late_after());
        Ok(())
    }

    /// Hands a message to the network; returns its length in bytes.
    async fn write(&self, framed: &mut Stream, call: u64, msg: Msg) -> Result<usize, ()> {
        let purpose = msg.purpose();
        let buf = encode(call, msg);
        let len = buf.len();
        self.traffic.note(purpose, len, 0);
        self.sent.fetch_add(len as u64 + 4, Ordering::Relaxed);
        match tokio::time::timeout(SEND_TIMEOUT, framed.send(buf)).await {
            Ok(Ok(())) => Ok(len),
            Ok(Err(e)) => {
                log::debug!("event=peer_not_sent error=\"{e}\"");
                Err(())
            }
            Err(_) => {
                log::info!("event=peer_not_sent error=\"the connection takes no more\"");
                Err(())
            }
        }
    }
}
