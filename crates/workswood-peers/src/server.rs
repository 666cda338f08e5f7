//! The listening side.

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

use crate::duplex::{self, DuplexRx, DuplexTx, Frames};
use crate::relay::RelayOpen;
use crate::{Frame, MAX_FRAME_BYTES, Msg, Pong};

/// Version of the protocol.
pub(crate) const VERSION: u32 = 1;
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without any frame for this long is closed.
const SILENCE: Duration = Duration::from_secs(30);

/// Answers a message; `None` when there is no answer.
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

/// Takes a connection over that a lease holder opened to a relay.
pub type RelayHandler = Arc<dyn Fn(RelayOpen, DuplexTx, DuplexRx) -> BoxFuture<'static, ()> + Send + Sync>;

/// What a listener does with what comes in.
#[derive(Clone)]
struct Served {
    token: String,
    handler: Handler,
    streams: Option<RelayHandler>,
    traffic: Traffic,
}

/// Serves peers on a listener until the task is dropped.
pub async fn serve(listener: TcpListener, token: String, handler: Handler) {
    accept(listener, Served { token, handler, streams: None, traffic: Traffic::default() }).await;
}

/// Likewise, and lets lease holders use this process as a relay. What goes over the
/// connections is counted.
pub async fn serve_with_relay(
    listener: TcpListener,
    token: String,
    handler: Handler,
    streams: RelayHandler,
    traffic: Traffic,
) {
    accept(listener, Served { token, handler, streams: Some(streams), traffic }).await;
}

async fn accept(listener: TcpListener, served: Served) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, served.clone()));
            }
            Err(e) => {
                log::warn!("event=peer_accept_failed error={e:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, served: Served) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    let hello = tokio::time::timeout(HELLO_TIMEOUT, framed.next()).await;
    let Ok(Some(Ok(buf))) = hello else { return };
    let known = matches!(
        Frame::decode(buf),
        Ok(Frame { msg: Some(Msg::Hello(h)), .. })
            if h.version == VERSION && bool::from(h.token.as_bytes().ct_eq(served.token.as_bytes()))
    );
    if !known {
        log::warn!("event=peer_refused reason=bad_token code=225");
        return;
    }
    let Ok(Some(Ok(first))) = tokio::time::timeout(SILENCE, framed.next()).await else { return };
    if let Some(streams) = &served.streams
        && let Ok(Frame { msg: Some(Msg::RelayOpen(open)), .. }) = Frame::decode(first.clone())
    {
        let (tx, rx) = duplex::halves(framed, served.traffic);
        streams(open, tx, rx).await;
        return;
    }
    answer_all(framed, first, served).await;
}

/// Answers one message after the other, each when its answer is ready.
async fn answer_all(framed: Frames, first: BytesMut, served: Served) {
    let (mut sink, mut stream) = framed.split();
    let (tx, mut rx) = tokio::sync::mpsc::channel::<bytes::Bytes>(256);
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
        served.traffic.note(msg.purpose(), 0, len);
        if let Msg::Ping(_) = msg {
            // With a full queue there are answers on their way, which tell as much.
            let _ = tx.try_send(encode(call, Msg::Pong(Pong {})));
        } else {
            let (answer, tx, traffic) = ((served.handler)(msg), tx.clone(), served.traffic.clone());
            tokio::spawn(async move {
                if let Some(msg) = answer.await
                    && call != 0
                {
                    let purpose = msg.purpose();
                    let buf = encode(call, msg);
                    traffic.note(purpose, buf.len(), 0);
                    // The connection has ended if nobody takes it.
                    let _ = tx.send(buf).await;
                }
            });
        }
        next = tokio::time::timeout(SILENCE, stream.next()).await;
    }
    writer.abort();
}
