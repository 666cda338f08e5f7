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
use workswood_liveness::HalfOpen;

use crate::link::Calls;
use crate::server::{codec, encode};
use crate::{Frame, Hello, Msg, Ping};

/// Nothing heard for this long while a question waits: the peer is asked whether the
/// connection works. Most answers come within a few milliseconds.
const PING_AFTER: Duration = Duration::from_millis(100);
/// Likewise after messages that have no answer.
const PING_AFTER_SEND: Duration = Duration::from_secs(1);
/// How long the answer to that may take: it needs no work, on a busy host some ten
/// milliseconds.
const PONG_WITHIN: Duration = Duration::from_millis(150);
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
    pub(crate) sent: Arc<AtomicU64>,
    pub(crate) half_open: HalfOpen,
    pub(crate) hello: Hello,
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// Whether a connection is heard, as far as it needs to be.
#[derive(Default)]
struct Hearing {
    /// When it has to have been heard.
    due: Option<Instant>,
    /// Whether a ping was sent since it was last heard.
    pinged: bool,
}

impl Hearing {
    fn sent(&mut self, within: Duration) {
        let due = Instant::now() + within;
        self.due = Some(self.due.map_or(due, |d| d.min(due)));
    }

    fn heard(&mut self, more_expected: bool) {
        self.pinged = false;
        self.due = more_expected.then(|| Instant::now() + PING_AFTER);
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
    /// Runs one connection to its end; `after_silence` tells whether the one before it
    /// went silent.
    pub(crate) async fn run(&mut self, stream: TcpStream, address: &str, mut after_silence: bool) -> End {
        let round = self.half_open.round();
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, codec());
        let half_open = self.half_open.clone();
        let mut hearing = Hearing::default();
        if self.write(&mut framed, 0, Msg::Hello(self.hello.clone())).await.is_err() {
            return End::Broken;
        }
        if after_silence && self.ping(&mut framed, &mut hearing).await.is_err() {
            return End::Broken;
        }
        loop {
            tokio::select! {
                out = self.rx.recv() => {
                    let Some((call, msg)) = out else { return End::Unwanted };
                    if !self.calls.is_wanted(call) {
                        continue;
                    }
                    hearing.sent(if call == 0 { PING_AFTER_SEND } else { PING_AFTER });
                    if self.write(&mut framed, call, msg).await.is_err() {
                        return End::Broken;
                    }
                }
                answer = framed.next() => {
                    let Some(Ok(buf)) = answer else { return End::Broken };
                    let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else { return End::Broken };
                    self.calls.answer(call, msg);
                    hearing.heard(self.calls.is_any_sent());
                    if std::mem::take(&mut after_silence) {
                        half_open.found(address);
                    }
                }
                () = hearing.overdue() => {
                    if hearing.pinged {
                        log::info!("event=peer_silent address={address}");
                        return End::Silent;
                    }
                    if self.ping(&mut framed, &mut hearing).await.is_err() {
                        return End::Broken;
                    }
                }
                () = half_open.suspected(round) => return End::Suspected,
            }
        }
    }

    /// Forgets what waits to be sent.
    pub(crate) fn drop_queue(&mut self) {
        while self.rx.try_recv().is_ok() {}
    }

    async fn ping(&self, framed: &mut Stream, hearing: &mut Hearing) -> Result<(), ()> {
        hearing.pinged = true;
        hearing.due = Some(Instant::now() + PONG_WITHIN);
        self.write(framed, 0, Msg::Ping(Ping {})).await
    }

    async fn write(&self, framed: &mut Stream, call: u64, msg: Msg) -> Result<(), ()> {
        let buf = encode(call, msg);
        self.sent.fetch_add(buf.len() as u64 + 4, Ordering::Relaxed);
        match tokio::time::timeout(SEND_TIMEOUT, framed.send(buf)).await {
            Ok(Ok(())) => Ok(()),
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
