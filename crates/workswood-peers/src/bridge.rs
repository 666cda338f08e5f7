//! Connections and calls through a bridge: an entry that reaches another one which the sender can't
//! reach.
//!
//! For a session, the sender connects to the bridge and sends a [`BridgeOpen`] after its
//! [`Hello`]. The bridge connects to the other entry, presents the same `Hello` and
//! opens the session; from then on it copies bytes both ways. For a call, it passes the message of a
//! [`BridgedCall`] on and the reply back. A bridge passes on no message that uses a bridge itself.

use std::time::Duration;

use bytes::BytesMut;
use futures::SinkExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::Framed;
use workswood_traffic::Traffic;

use crate::duplex::{Closed, DuplexRx, DuplexTx, FramedTcp};
use crate::relay::RelayOpen;
use crate::server::{codec, encode};
use crate::{Frame, Hello, Msg, connect_duplex};

/// Longest wait for the connection to the other entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A side from which no byte came for this long is gone: both send several times a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the copy buffer of each direction.
const CHUNK_BYTES: usize = 16 * 1024;
/// Label of the copied bytes in metrics.
const PURPOSE: &str = "bridges";

/// Asks an entry to open a session with the relay at an address, and to copy what either side sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BridgeOpen {
    /// Address of the relay's peer listener.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The message that opens the session.
    #[prost(message, optional, tag = "2")]
    pub relay: Option<RelayOpen>,
}

/// Asks an entry to make a call for the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BridgedCall {
    /// Address of the called entry's peer listener.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The message; its call number is not used.
    #[prost(message, optional, boxed, tag = "2")]
    pub request: Option<Box<Frame>>,
    /// Longest wait for the reply, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub timeout_ms: u32,
}

/// The reply to a call that a bridge made.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BridgedReply {
    /// The reply; unset if there was none.
    #[prost(message, optional, boxed, tag = "1")]
    pub reply: Option<Box<Frame>>,
}

impl BridgedCall {
    /// Makes the message that has a bridge call the entry at an address.
    pub fn new(address: &str, request: Msg, timeout: Duration) -> BridgedCall {
        BridgedCall {
            address: address.to_string(),
            request: Some(Box::new(Frame { call: 0, msg: Some(request) })),
            timeout_ms: timeout.as_millis() as u32,
        }
    }

    /// The message to pass on; `None` if a bridge does not pass it on. These are messages that any
    /// entry may send again, and that change nothing.
    pub fn into_request(self) -> Option<Msg> {
        let msg = self.request?.msg?;
        let passes = matches!(msg, Msg::JobStateRequest(_) | Msg::PendingJobsRequest(_) | Msg::Ping(_));
        passes.then_some(msg)
    }
}

impl BridgedReply {
    /// Makes the message that passes on a reply, or that there was none.
    pub fn new(reply: Option<Msg>) -> BridgedReply {
        BridgedReply { reply: reply.map(|msg| Box::new(Frame { call: 0, msg: Some(msg) })) }
    }

    /// The reply of the called entry.
    pub fn into_reply(self) -> Option<Msg> {
        self.reply?.msg
    }
}

/// Opens a session with the relay at `address` through the entry at `bridge`, within a timeout. The
/// session is open once the relay replies.
pub async fn connect_through(
    bridge: &str,
    address: &str,
    token: &str,
    incarnation: &str,
    open: RelayOpen,
    timeout: Duration,
    traffic: Traffic,
) -> Result<(DuplexTx, DuplexRx), Closed> {
    let first = Msg::BridgeOpen(BridgeOpen { address: address.to_string(), relay: Some(open) });
    connect_duplex(bridge, token, incarnation, first, timeout, traffic).await
}

/// Connects the sender of `open` to the relay that it names, and copies until either side ends.
pub(crate) async fn serve(framed: FramedTcp, hello: Hello, open: BridgeOpen, traffic: Traffic) {
    let Some(relay) = open.relay else { return };
    let (holder, term, session) = (relay.holder.clone(), relay.term, relay.session);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(&open.address, hello, relay));
    let Ok(Ok(target)) = connecting.await else {
        log::info!("event=bridge_not_opened holder={holder} term={term} to={}", open.address);
        return;
    };
    log::info!("event=bridge_opened holder={holder} term={term} session={session} to={}", open.address);
    // Bytes that arrived together with the first messages.
    let parts = framed.into_parts();
    let ended = copy_both_ways(parts.io, target, parts.read_buf, &traffic).await;
    log::info!(
        "event=bridge_closed holder={holder} term={term} session={session} to={} side={ended}",
        open.address
    );
}

/// Connects to a relay and sends the messages that open a session.
async fn connect(address: &str, hello: Hello, relay: RelayOpen) -> Result<TcpStream, std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    framed.feed(encode(0, Msg::Hello(hello))).await?;
    framed.send(encode(0, Msg::RelayOpen(relay))).await?;
    // Nothing was read yet, so no bytes are lost with the frame buffers.
    Ok(framed.into_inner())
}

/// Copies both ways until either side ends; returns which one did.
async fn copy_both_ways(
    holder: TcpStream,
    relay: TcpStream,
    received: BytesMut,
    traffic: &Traffic,
) -> &'static str {
    let (holder_in, holder_out) = holder.into_split();
    let (relay_in, mut relay_out) = relay.into_split();
    if relay_out.write_all(&received).await.is_err() {
        return "relay";
    }
    tokio::select! {
        () = copy(holder_in, relay_out, traffic) => "holder",
        () = copy(relay_in, holder_out, traffic) => "relay",
    }
}

/// Copies one direction until its end, or until nothing comes or can be sent for [`IDLE_TIMEOUT`].
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, traffic: &Traffic) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(Ok(n @ 1..)) = tokio::time::timeout(IDLE_TIMEOUT, from.read(&mut buf)).await {
        traffic.record(PURPOSE, n, n);
        let sending = tokio::time::timeout(IDLE_TIMEOUT, to.write_all(&buf[..n])).await;
        if !matches!(sending, Ok(Ok(()))) {
            return;
        }
    }
}
