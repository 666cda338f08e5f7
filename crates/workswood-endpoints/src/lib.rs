//! HTTP client for the endpoints of services.
//!
//! A failed call says whether anything may have been sent: [`SendError::NotSent`] is returned only if no
//! connection was made.

use std::time::Duration;

use bytes::Bytes;
use futures::TryStreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response};
use snafu::Snafu;
use workswood_http::{Pool, PoolLimits};
use workswood_liveness::HalfOpenDetector;

/// Limits of the connection pool.
const LIMITS: PoolLimits = PoolLimits {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(5),
    // Small enough that, together with the connections in use, those of all entry hosts stay below
    // the connection limit of an endpoint.
    max_idle_per_address: 3,
};

/// Body of a request to an endpoint or of its response.
pub type EndpointBody = BoxBody<Bytes, BodyError>;

/// A body ended early.
#[derive(Debug, Snafu)]
#[snafu(display("body ended early: {text}"))]
pub struct BodyError {
    /// Description of the failure.
    pub text: String,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection was made, so nothing was sent.
    #[snafu(display("not sent: {text}"))]
    NotSent {
        /// Description of the failure.
        text: String,
    },
    /// The request may have been sent, and no complete response arrived.
    #[snafu(display("no complete response: {text}"))]
    Broken {
        /// Description of the failure.
        text: String,
    },
}

/// A response, buffered if it is small enough.
pub enum EndpointResponse {
    /// The whole body was read.
    Buffered(Response<Bytes>),
    /// The body is too large to buffer and is streamed.
    Streaming(Response<EndpointBody>),
}

/// Client of all endpoints, with a pool of connections.
#[derive(Clone)]
pub struct EndpointClient {
    pool: Pool<EndpointBody>,
}

impl EndpointClient {
    /// Creates a client. It drops its idle connections when any user of `half_open` has found half-open
    /// connections.
    pub fn new(half_open: HalfOpenDetector) -> EndpointClient {
        EndpointClient { pool: Pool::new(LIMITS, half_open) }
    }

    /// Sends a request and waits for the head of the response. If the returned future is dropped before
    /// that, the next request to the endpoint uses a new connection, because the idle ones may be
    /// half-open too. A late response is not taken as a sign of half-open connections, since endpoints
    /// may need long.
    pub async fn send(&self, req: Request<EndpointBody>) -> Result<Response<Incoming>, SendError> {
        let address = req.uri().authority().map(|a| a.to_string()).unwrap_or_default();
        let attempt = self.pool.attempt(&address, Duration::ZERO);
        let res = attempt.send(req).await;
        attempt.abandon();
        res.map_err(|e| {
            let text = e.to_string();
            if e.is_connect() { SendError::NotSent { text } } else { SendError::Broken { text } }
        })
    }

    /// Sends a request and buffers the response if its body has at most `max_bytes` bytes.
    pub async fn call(
        &self,
        req: Request<EndpointBody>,
        max_bytes: usize,
    ) -> Result<EndpointResponse, SendError> {
        let res = self.send(req).await?;
        let (head, body) = res.into_parts();
        if body.size_hint().lower() > max_bytes as u64 {
            return Ok(EndpointResponse::Streaming(Response::from_parts(head, incoming_body(body))));
        }
        match buffer_body(body, max_bytes).await? {
            BufferedBody::Complete(b) => Ok(EndpointResponse::Buffered(Response::from_parts(head, b))),
            BufferedBody::TooLarge(b) => Ok(EndpointResponse::Streaming(Response::from_parts(head, b))),
        }
    }
}

/// Result of buffering a body.
enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// The whole body as a stream that begins with the bytes read so far.
    TooLarge(EndpointBody),
}

/// Reads a body into a buffer; one that grows beyond `max_bytes` is returned as a stream.
async fn buffer_body(mut body: Incoming, max_bytes: usize) -> Result<BufferedBody, SendError> {
    let mut buf = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| SendError::Broken { text: e.to_string() })?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > max_bytes {
            let read = futures::stream::once(async { Ok(Frame::data(buf.freeze())) });
            let rest = incoming_body(body).into_data_stream().map_ok(Frame::data);
            let all = futures::StreamExt::chain(read, rest);
            return Ok(BufferedBody::TooLarge(BodyExt::boxed(StreamBody::new(SyncStream::new(all)))));
        }
    }
    Ok(BufferedBody::Complete(buf.freeze()))
}

/// A stream that is `Sync` because it is polled through an exclusive reference only.
type SyncStream<S> = sync::Exclusive<S>;

mod sync {
    //! A wrapper that makes a stream `Sync`; its mutex is never locked.

    use std::pin::Pin;
    use std::sync::Mutex;
    use std::task::{Context, Poll};

    use futures::Stream;

    /// Stream that is polled through an exclusive reference only.
    pub struct Exclusive<S>(Mutex<Pin<Box<S>>>);

    impl<S> Exclusive<S> {
        /// Wraps a stream.
        pub fn new(s: S) -> Exclusive<S> {
            Exclusive(Mutex::new(Box::pin(s)))
        }
    }

    impl<S: Stream> Stream for Exclusive<S> {
        type Item = S::Item;

        fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
            match self.0.get_mut() {
                Ok(s) => s.as_mut().poll_next(cx),
                Err(e) => e.into_inner().as_mut().poll_next(cx),
            }
        }
    }
}

/// Body that consists of the given bytes.
pub fn full_body(bytes: Bytes) -> EndpointBody {
    BodyExt::boxed(Full::new(bytes).map_err(|never| match never {}))
}

/// Body that is received from a connection.
pub fn incoming_body(body: Incoming) -> EndpointBody {
    BodyExt::boxed(body.map_err(|e| BodyError { text: e.to_string() }))
}
