//! Runs the connections of one link, one after another, and detects silent ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use workswood_liveness::{AdaptiveTimeout, HalfOpenConnection, HalfOpenDetector};
use workswood_traffic::Traffic;

use crate::counting_stream::CountingStream;
use crate::link::PendingCalls;
use crate::server::{codec, encode};
use crate::{Frame, Hello, Msg, Ping};

/// If nothing is received for this long while a call is pending, a ping checks the
/// connection.
const PING_AFTER_CALL: Duration = Duration::from_millis(100);
/// The same for messages that have no reply.
const PING_AFTER_SEND: Duration = Duration::from_secs(1);
/// A pong is late after this many times the mean round trip of pings.
const PONG_MEAN_MULTIPLE: f64 = 4.0;
/// A pong is never late before this time.
/// It needs no work, but comes some ten milliseconds late from a busy host.
const MIN_PONG_TIMEOUT: Duration = Duration::from_millis(150);
/// Throughput of the slowest supported link, in bytes a second. The deadline of a reply is
/// extended by the time that sending the earlier messages takes at this rate.
const MIN_BYTES_PER_SEC: f64 = 125_000.0;
/// Longest time in which one message is written to the socket.
/// Three times what the largest submission, of 400 KB, takes at 2 Mbit/s.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// All clones of the link were dropped.
    LinkDropped,
    /// The connection broke, or could not be made.
    Broken,
    /// The peer did not answer a ping.
    Silent,
    /// Other connections of this entry were found half-open, so this one may be too.
    Suspect,
}

/// Sends the messages of one link and receives their replies, over one connection after
/// another.
pub(crate) struct ConnectionDriver {
    /// Call numbers and messages to be sent; the number is 0 for messages without a reply.
    pub(crate) rx: mpsc::Receiver<(u64, Msg)>,
    pub(crate) calls: PendingCalls,
    bytes_sent: Arc<AtomicU64>,
    half_open: HalfOpenDetector,
    traffic: Traffic,
    hello: Hello,
    /// Since when the previous connection was silent, if it ended for that reason.
    silent_since: Option<Instant>,
    /// Whether anything was received on the last connection.
    received_any: bool,
}

type FramedStream = Framed<CountingStream, LengthDelimitedCodec>;

/// Tracks by when something has to be received on a connection.
struct ReceiveMonitor {
    /// When the connection counts as silent unless something is received before.
    deadline: Option<Instant>,
    /// When the oldest message was sent since which nothing was received.
    waiting_since: Option<Instant>,
    /// When a ping was sent, if nothing was received since.
    pinged_at: Option<Instant>,
    /// How long a pong may take.
    pong_timeout: AdaptiveTimeout,
    /// Bytes received at the last check.
    bytes_read: u64,
}

impl ReceiveMonitor {
    /// A monitor of a new connection. The time that connecting took is one round trip.
    fn new(connected_in: Duration) -> ReceiveMonitor {
        let pong_timeout =
            AdaptiveTimeout::new(PONG_MEAN_MULTIPLE, MIN_PONG_TIMEOUT).with_initial_mean(connected_in);
        ReceiveMonitor { deadline: None, waiting_since: None, pinged_at: None, pong_timeout, bytes_read: 0 }
    }

    /// Records that a message was sent after which something should be received within a
    /// time. Further messages extend the deadline only by their own transfer time on the
    /// slowest link.
    fn on_sent(&mut self, within: Duration, bytes: usize) {
        let now = Instant::now();
        let deadline = self.deadline.map_or(now + within, |deadline| deadline.min(now + within));
        self.deadline = Some(deadline + Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SEC));
        self.waiting_since.get_or_insert(now);
    }

    /// Records that something was received. `more_expected` is whether a sent call still waits
    /// for its reply.
    fn on_received(&mut self, more_expected: bool) {
        let now = Instant::now();
        if let Some(at) = self.pinged_at.take() {
            self.pong_timeout.record(now - at);
        }
        self.deadline = more_expected.then(|| now + PING_AFTER_CALL);
        self.waiting_since = more_expected.then_some(now);
    }

    /// Records the number of bytes received; returns whether it has grown. This notices a
    /// long reply before it is complete.
    fn has_grown(&mut self, bytes_read: u64) -> bool {
        std::mem::replace(&mut self.bytes_read, bytes_read) < bytes_read
    }

    /// Waits until the deadline; forever if nothing is expected.
    async fn until_deadline(&self) {
        match self.deadline {
            Some(deadline) => tokio::time::sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    }
}

impl ConnectionDriver {
    /// Creates a driver that has no connection yet.
    pub(crate) fn new(
        rx: mpsc::Receiver<(u64, Msg)>,
        calls: PendingCalls,
        bytes_sent: Arc<AtomicU64>,
        half_open: HalfOpenDetector,
        hello: Hello,
        traffic: Traffic,
    ) -> ConnectionDriver {
        ConnectionDriver {
            rx,
            calls,
            bytes_sent,
            half_open,
            traffic,
            hello,
            silent_since: None,
            received_any: false,
        }
    }

    /// Returns whether anything was received on the last connection, and resets that.
    pub(crate) fn take_received_any(&mut self) -> bool {
        std::mem::take(&mut self.received_any)
    }

    /// Runs a connection until it ends. `connected_in` is the time that connecting took.
    pub(crate) async fn run(
        &mut self,
        stream: TcpStream,
        connected_in: Duration,
        address: &str,
    ) -> ConnectionEnd {
        let opened_at = Instant::now();
        // Nagle's algorithm would delay small messages.
        let _ = stream.set_nodelay(true);
        let (stream, bytes_read) = CountingStream::new(stream);
        let mut framed = Framed::new(stream, codec());
        let half_open = self.half_open.clone();
        let mut monitor = ReceiveMonitor::new(connected_in);
        if self.write(&mut framed, 0, Msg::Hello(self.hello.clone())).await.is_err() {
            return ConnectionEnd::Broken;
        }
        loop {
            tokio::select! {
                out = self.rx.recv() => {
                    let Some((call, msg)) = out else { return ConnectionEnd::LinkDropped };
                    if !self.calls.mark_sent(call) {
                        continue;
                    }
                    let Ok(len) = self.write(&mut framed, call, msg).await else {
                        return ConnectionEnd::Broken;
                    };
                    monitor.on_sent(if call == 0 { PING_AFTER_SEND } else { PING_AFTER_CALL }, len);
                }
                frame = framed.next() => {
                    let Some(Ok(buf)) = frame else { return ConnectionEnd::Broken };
                    let len = buf.len();
                    let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else {
                        return ConnectionEnd::Broken;
                    };
                    self.traffic.record(msg.purpose(), 0, len);
                    self.calls.complete(call, msg);
                    self.received_any = true;
                    monitor.on_received(self.calls.is_any_sent());
                    if let Some(silent_since) = self.silent_since.take() {
                        half_open.report(HalfOpenConnection { address: address.to_string(), silent_since });
                    }
                }
                () = monitor.until_deadline() => {
                    if monitor.has_grown(bytes_read.load(Ordering::Relaxed)) {
                        monitor.on_received(true);
                    } else if monitor.pinged_at.is_some() {
                        log::info!("event=peer_silent address={address}");
                        self.silent_since = monitor.waiting_since;
                        return ConnectionEnd::Silent;
                    } else if self.ping(&mut framed, &mut monitor).await.is_err() {
                        return ConnectionEnd::Broken;
                    }
                }
                () = half_open.until_suspect(opened_at) => return ConnectionEnd::Suspect,
            }
        }
    }

    /// Drops all messages that wait to be sent.
    pub(crate) fn clear_queue(&mut self) {
        while self.rx.try_recv().is_ok() {}
    }

    async fn ping(&self, framed: &mut FramedStream, monitor: &mut ReceiveMonitor) -> Result<(), ()> {
        self.write(framed, 0, Msg::Ping(Ping {})).await?;
        let now = Instant::now();
        monitor.pinged_at = Some(now);
        monitor.deadline = Some(now + monitor.pong_timeout.late_after());
        Ok(())
    }

    /// Writes a message to the connection; returns its length in bytes.
    async fn write(&self, framed: &mut FramedStream, call: u64, msg: Msg) -> Result<usize, ()> {
        let purpose = msg.purpose();
        let buf = encode(call, msg);
        let len = buf.len();
        self.traffic.record(purpose, len, 0);
        // Each frame has a length prefix of 4 bytes.
        self.bytes_sent.fetch_add(len as u64 + 4, Ordering::Relaxed);
        match tokio::time::timeout(WRITE_TIMEOUT, framed.send(buf)).await {
            Ok(Ok(())) => Ok(len),
            Ok(Err(e)) => {
                log::debug!("event=peer_not_sent error=\"{e}\"");
                Err(())
            }
            Err(_) => {
                log::info!("event=peer_not_sent error=\"write timed out\"");
                Err(())
            }
        }
    }
}
