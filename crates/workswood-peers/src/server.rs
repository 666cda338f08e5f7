//! The listening side of connections between entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::future::BoxFuture;
use futures::{SinkExt, StreamExt};
use prost::Message;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use workswood_traffic::Traffic;

use crate::bridge;
use crate::duplex::{self, DuplexRx, DuplexTx, FramedTcp};
use crate::opening::{MustGo, Openings};
use crate::relay::RelayOpen;
use crate::{Frame, Hello, MAX_FRAME_BYTES, Msg, Pong};

/// Version of the protocol.
pub(crate) const PROTOCOL_VERSION: u32 = 1;
/// Longest wait for the [`Hello`] of a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection on which no frame arrives for this long is closed. For a relay connection, this
/// limits only the wait for the first message after the [`Hello`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of encoded replies that wait to be written to one connection.
const REPLY_QUEUE_LEN: usize = 256;

/// Longest frame of a connection that has not shown the token.
const MAX_HELLO_BYTES: usize = 4 * 1024;
/// Maximum number of connections of a listener that have not sent what follows their [`Hello`].
const MAX_OPENING: usize = 64;
/// Maximum number of others, unless it is given.
const DEFAULT_MAX_CONNECTIONS: usize = 512;

/// Handles a message and returns the reply, or `None` if there is no reply.
pub type Handler = Arc<dyn Fn(Msg) -> BoxFuture<'static, Option<Msg>> + Send + Sync>;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

pub(crate) fn encode(call: u64, msg: Msg) -> bytes::Bytes {
    let frame = Frame { call, msg: Some(msg) };
    let mut buf = BytesMut::with_capacity(frame.encoded_len());
    // The buffer grows as needed, so encoding can't fail.
    let _ = frame.encode(&mut buf);
    buf.freeze()
}

/// Serves a connection that a lease holder has opened to use this entry as a relay.
pub type RelayHandler = Arc<dyn Fn(RelayOpen, DuplexTx, DuplexRx) -> BoxFuture<'static, ()> + Send + Sync>;

/// What all connections of a listener share.
#[derive(Clone)]
struct ServerContext {
    token: String,
    handler: Handler,
    /// `None` if this entry does not serve as a relay.
    relay_handler: Option<RelayHandler>,
    traffic: Traffic,
    openings: Arc<Openings>,
}

impl ServerContext {
    /// Whether a sender speaks this protocol and has the token.
    fn accepts(&self, hello: &Hello) -> bool {
        let same_token = bool::from(hello.token.as_bytes().ct_eq(self.token.as_bytes()));
        hello.version == PROTOCOL_VERSION && same_token
    }
}

/// Serves peers on a listener until the future is dropped.
pub async fn serve(listener: TcpListener, token: String, handler: Handler) {
    let openings = openings(DEFAULT_MAX_CONNECTIONS);
    let traffic = Traffic::default();
    accept(listener, ServerContext { token, handler, relay_handler: None, traffic, openings }).await;
}

/// Like [`serve`], and also serves lease holders that use this entry as a relay. All
/// messages are counted in `traffic`.
pub async fn serve_with_relay(
    listener: TcpListener,
    token: String,
    handler: Handler,
    relay_handler: RelayHandler,
    traffic: Traffic,
) {
    serve_within(DEFAULT_MAX_CONNECTIONS, listener, token, handler, relay_handler, traffic).await;
}

/// Like [`serve_with_relay`], with so many connections at most.
pub async fn serve_within(
    max_connections: usize,
    listener: TcpListener,
    token: String,
    handler: Handler,
    relay_handler: RelayHandler,
    traffic: Traffic,
) {
    let openings = openings(max_connections);
    accept(listener, ServerContext { token, handler, relay_handler: Some(relay_handler), traffic, openings })
        .await;
}

fn openings(max_connections: usize) -> Arc<Openings> {
    Arc::new(Openings::new(max_connections, max_connections.min(MAX_OPENING)))
}

async fn accept(listener: TcpListener, server: ServerContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let must_go = server.openings.add();
                tokio::spawn(serve_connection(stream, server.clone(), must_go));
            }
            Err(e) => {
                log::warn!("event=peer_accept_failed error={e:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, server: ServerContext, must_go: MustGo) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    let opened = tokio::select! {
        opened = open(&mut framed, &server) => opened,
        _ = must_go => None,
    };
    let Some((hello, first)) = opened else { return };
    let Some(_permit) = server.openings.open() else { return };
    match (&server.relay_handler, Frame::decode(first.clone())) {
        (Some(relay_handler), Ok(Frame { msg: Some(Msg::RelayOpen(open)), .. })) => {
            let (tx, rx) = duplex::split(framed, server.traffic);
            relay_handler(open, tx, rx).await;
        }
        (Some(_), Ok(Frame { msg: Some(Msg::BridgeOpen(open)), .. })) => {
            bridge::serve(framed, hello, open, server.traffic).await;
        }
        _ => serve_messages(framed, first, server).await,
    }
}

/// Waits for the [`Hello`] of a new connection and for its first message.
async fn open(framed: &mut FramedTcp, server: &ServerContext) -> Option<(Hello, BytesMut)> {
    framed.codec_mut().set_max_frame_length(MAX_HELLO_BYTES);
    let buf = tokio::time::timeout(HELLO_TIMEOUT, framed.next()).await.ok()??.ok()?;
    let hello = match Frame::decode(buf) {
        Ok(Frame { msg: Some(Msg::Hello(h)), .. }) if server.accepts(&h) => h,
        _ => {
            server.openings.note_refused("bad_token code=225");
            return None;
        }
    };
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let first = tokio::time::timeout(IDLE_TIMEOUT, framed.next()).await.ok()??.ok()?;
    Some((hello, first))
}

/// Handles the messages of a connection concurrently. Replies are sent in the order in
/// which they become ready.
async fn serve_messages(framed: FramedTcp, first: BytesMut, server: ServerContext) {
    let (mut sink, mut stream) = framed.split();
    let (tx, mut rx) = tokio::sync::mpsc::channel::<bytes::Bytes>(REPLY_QUEUE_LEN);
    let writer = tokio::spawn(async move {
        while let Some(b) = rx.recv().await {
            if sink.send(b).await.is_err() {
                break;
            }
        }
    });
    let mut next = Ok(Some(Ok(first)));
    while let Ok(Some(Ok(buf))) = next {
        let len = buf.len();
        let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else { break };
        server.traffic.record(msg.purpose(), 0, len);
        if let Msg::Ping(_) = msg {
            // If the queue is full, the queued replies show the peer that the connection works.
            let _ = tx.try_send(encode(call, Msg::Pong(Pong {})));
        } else {
            let (reply, tx, traffic) = ((server.handler)(msg), tx.clone(), server.traffic.clone());
            tokio::spawn(async move {
                if let Some(msg) = reply.await
                    && call != 0
                {
                    let purpose = msg.purpose();
                    let buf = encode(call, msg);
                    traffic.record(purpose, buf.len(), 0);
                    // Sending fails only if the connection has ended.
                    let _ = tx.send(buf).await;
                }
            });
        }
        next = tokio::time::timeout(IDLE_TIMEOUT, stream.next()).await;
    }
    writer.abort();
}
