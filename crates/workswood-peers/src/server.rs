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

use crate::{Frame, MAX_FRAME, Msg, Pong};

/// Version of the protocol.
pub(crate) const VERSION: u32 = 1;
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without any frame for this long is closed.
const SILENCE: Duration = Duration::from_secs(30);

/// Answers a message; `None` when there is no answer.
pub type Handler = Arc<dyn Fn(Msg) -> BoxFuture<'static, Option<Msg>> + Send + Sync>;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

pub(crate) fn encode(call: u64, msg: Msg) -> bytes::Bytes {
    let frame = Frame { call, msg: Some(msg) };
    let mut buf = BytesMut::with_capacity(frame.encoded_len());
    // The buffer grows as needed, so encoding can't fail.
    let _ = frame.encode(&mut buf);
    buf.freeze()
}

/// Serves peers on a listener until the task is dropped.
pub async fn serve(listener: TcpListener, token: String, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (token, handler) = (token.clone(), handler.clone());
                tokio::spawn(connection(stream, token, handler));
            }
            Err(e) => {
                log::warn!("event=peer_accept_failed error={e:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, token: String, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, codec());
    let hello = tokio::time::timeout(HELLO_TIMEOUT, framed.next()).await;
    let Ok(Some(Ok(buf))) = hello else { return };
    let known = matches!(
        Frame::decode(buf),
        Ok(Frame { msg: Some(Msg::Hello(h)), .. })
            if h.version == VERSION && bool::from(h.token.as_bytes().ct_eq(token.as_bytes()))
    );
    if !known {
        log::warn!("event=peer_refused reason=bad_token code=225");
        return;
    }
    let (mut sink, mut stream) = framed.split();
    let (tx, mut rx) = tokio::sync::mpsc::channel::<bytes::Bytes>(256);
    let writer = tokio::spawn(async move {
        while let Some(b) = rx.recv().await {
            if sink.send(b).await.is_err() {
                break;
            }
        }
    });
    while let Ok(Some(Ok(buf))) = tokio::time::timeout(SILENCE, stream.next()).await {
        let Ok(Frame { call, msg: Some(msg) }) = Frame::decode(buf) else { break };
        if let Msg::Ping(_) = msg {
            // With a full queue there are answers on their way, which tell as much.
            let _ = tx.try_send(encode(call, Msg::Pong(Pong {})));
            continue;
        }
        let answer = handler(msg);
        let tx = tx.clone();
        tokio::spawn(async move {
            if let Some(msg) = answer.await
                && call != 0
            {
                let _ = tx.send(encode(call, msg)).await;
            }
        });
    }
    writer.abort();
}
