//! A connection on which both sides send messages at any time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};
use workswood_traffic::Traffic;

use crate::counting_stream::CountingStream;
use crate::server::{PROTOCOL_VERSION, codec, encode};
use crate::{Frame, Hello, Msg};

/// A TCP connection that carries length-delimited frames.
pub(crate) type FramedTcp = Framed<TcpStream, LengthDelimitedCodec>;

/// The same, with a count of the bytes received.
type CountedFrames = Framed<CountingStream, LengthDelimitedCodec>;

/// The sending half of a connection.
pub struct DuplexTx {
    sink: SplitSink<CountedFrames, Bytes>,
    traffic: Traffic,
}

/// The receiving half of a connection.
pub struct DuplexRx {
    stream: SplitStream<CountedFrames>,
    received: ReceivedBytes,
    traffic: Traffic,
}

/// The bytes that were received on a connection, also those of an incomplete message.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Their number so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts bytes as received.
    pub fn add(&self, bytes: u64) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The connection is closed, or can no longer be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Connects to a peer within a timeout. `incarnation` is that of the calling entry, and
/// `first` is the message that tells the peer what the connection is for. All messages
/// are counted in `traffic`.
pub async fn connect_duplex(
    address: &str,
    token: &str,
    incarnation: &str,
    first: Msg,
    timeout: Duration,
    traffic: Traffic,
) -> Result<(DuplexTx, DuplexRx), Closed> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|_| Closed)?;
        // Nagle's algorithm would delay small messages.
        let _ = stream.set_nodelay(true);
        let (mut tx, rx) = split(Framed::new(stream, codec()), traffic);
        let hello = Hello {
            version: PROTOCOL_VERSION,
            token: token.to_string(),
            incarnation: incarnation.to_string(),
        };
        tx.send(Msg::Hello(hello)).await?;
        tx.send(first).await?;
        Ok((tx, rx))
    };
    tokio::time::timeout(timeout, connecting).await.unwrap_or(Err(Closed))
}

/// Splits a connection into its sending and its receiving half.
pub(crate) fn split(framed: FramedTcp, traffic: Traffic) -> (DuplexTx, DuplexRx) {
    let parts = framed.into_parts();
    let (io, bytes_read) = CountingStream::new(parts.io);
    let mut counted = FramedParts::new::<Bytes>(io, parts.codec);
    (counted.read_buf, counted.write_buf) = (parts.read_buf, parts.write_buf);
    let (sink, stream) = Framed::from_parts(counted).split();
    let rx = DuplexRx { stream, received: ReceivedBytes(bytes_read), traffic: traffic.clone() };
    (DuplexTx { sink, traffic }, rx)
}

impl DuplexTx {
    /// Sends a message; waits while the peer's receive window is full.
    pub async fn send(&mut self, msg: Msg) -> Result<(), Closed> {
        let purpose = msg.purpose();
        let buf = encode(0, msg);
        self.traffic.record(purpose, buf.len(), 0);
        self.sink.send(buf).await.map_err(|_| Closed)
    }
}

impl DuplexRx {
    /// The bytes received so far; the count goes on while [`DuplexRx::next`] waits.
    pub fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Result<Msg, Closed> {
        let Some(Ok(buf)) = self.stream.next().await else { return Err(Closed) };
        let len = buf.len();
        match Frame::decode(buf) {
            Ok(Frame { msg: Some(msg), .. }) => {
                self.traffic.record(msg.purpose(), 0, len);
                Ok(msg)
            }
            Ok(Frame { msg: None, .. }) | Err(_) => Err(Closed),
        }
    }
}
