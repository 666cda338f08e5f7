//! A connection on which both sides send when they have something to say.

use std::time::Duration;

use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use workswood_traffic::Traffic;

use crate::server::{VERSION, codec, encode};
use crate::{Frame, Hello, Msg};

/// Frames over one connection.
pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// The sending half of a connection.
pub struct DuplexTx {
    sink: SplitSink<Frames, Bytes>,
    traffic: Traffic,
}

/// The receiving half of a connection.
pub struct DuplexRx {
    stream: SplitStream<Frames>,
    traffic: Traffic,
}

/// The connection is of no use any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Connects to a peer, within a time; `from` is our incarnation and `first` tells what
/// the connection is for. What goes over it is counted.
pub async fn connect(
    address: &str,
    token: &str,
    from: &str,
    first: Msg,
    within: Duration,
    traffic: Traffic,
) -> Result<(DuplexTx, DuplexRx), Closed> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|_| Closed)?;
        // Without it, small messages would only wait for each other.
        let _ = stream.set_nodelay(true);
        let (mut tx, rx) = halves(Framed::new(stream, codec()), traffic);
        let hello = Hello { version: VERSION, token: token.to_string(), from: from.to_string() };
        tx.send(Msg::Hello(hello)).await?;
        tx.send(first).await?;
        Ok((tx, rx))
    };
    tokio::time::timeout(within, connecting).await.unwrap_or(Err(Closed))
}

/// The two halves of a connection.
pub(crate) fn halves(frames: Frames, traffic: Traffic) -> (DuplexTx, DuplexRx) {
    let (sink, stream) = frames.split();
    (DuplexTx { sink, traffic: traffic.clone() }, DuplexRx { stream, traffic })
}

impl DuplexTx {
    /// Sends a message; waits while the peer takes no more.
    pub async fn send(&mut self, msg: Msg) -> Result<(), Closed> {
        let purpose = msg.purpose();
        let buf = encode(0, msg);
        self.traffic.note(purpose, buf.len(), 0);
        self.sink.send(buf).await.map_err(|_| Closed)
    }
}

impl DuplexRx {
    /// The next message.
    pub async fn next(&mut self) -> Result<Msg, Closed> {
        let Some(Ok(buf)) = self.stream.next().await else { return Err(Closed) };
        let len = buf.len();
        match Frame::decode(buf) {
            Ok(Frame { msg: Some(msg), .. }) => {
                self.traffic.note(msg.purpose(), 0, len);
                Ok(msg)
            }
            Ok(Frame { msg: None, .. }) | Err(_) => Err(Closed),
        }
    }
}
