//! Calls to the endpoints of services.
//!
//! The one thing that matters here besides the answer is whether anything was
//! sent: [`SendError::NotSent`] is returned only when no connection was made.

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

/// Bounds of connections to endpoints.
const LIMITS: PoolLimits = PoolLimits {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(5),
    // With the slots that an entry host holds, all entry hosts together stay under
    // an endpoint's limit.
    max_idle_per_address: 3,
};

/// A body sent to an endpoint or taken from one.
pub type AnyBody = BoxBody<Bytes, BodyError>;

/// A body broke off.
#[derive(Debug, Snafu)]
#[snafu(display("body broke off: {text}"))]
pub struct BodyError {
    /// What went wrong.
    pub text: String,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection was made: nothing was sent.
    #[snafu(display("not sent: {text}"))]
    NotSent {
        /// What went wrong.
        text: String,
    },
    /// Something may have been sent, and no whole answer came.
    #[snafu(display("broke off: {text}"))]
    Broke {
        /// What went wrong.
        text: String,
    },
}

/// An answer, held whole if it was small enough.
pub enum Answer {
    /// The whole body is here.
    Whole(Response<Bytes>),
    /// The body is too large to hold and streams.
    Streams(Response<AnyBody>),
}

/// Client of all endpoints of one entry host.
#[derive(Clone)]
pub struct EndpointClient {
    pool: Pool<AnyBody>,
}

impl EndpointClient {
    /// A client without connections yet. It drops idle ones when others have found
    /// that connections have gone silent.
    pub fn new(half_open: HalfOpenDetector) -> EndpointClient {
        EndpointClient { pool: Pool::new(LIMITS, half_open) }
    }

    /// Sends a request and waits for the head of the answer. After a request that its
    /// caller gave up, the next one to the endpoint goes over a new connection: the
    /// idle ones may have gone silent, and each would cost a request. Endpoints may
    /// need long, so a late answer says nothing of other connections.
    pub async fn send(&self, req: Request<AnyBody>) -> Result<Response<Incoming>, SendError> {
        let address = req.uri().authority().map(|a| a.to_string()).unwrap_or_default();
        let attempt = self.pool.attempt(&address, Duration::ZERO);
        let res = attempt.send(req).await;
        attempt.abandon();
        res.map_err(|e| {
            let text = e.to_string();
            if e.is_connect() { SendError::NotSent { text } } else { SendError::Broke { text } }
        })
    }

    /// Sends a request and holds the answer whole if it has at most `most` bytes.
    pub async fn call(&self, req: Request<AnyBody>, most: usize) -> Result<Answer, SendError> {
        let res = self.send(req).await?;
        let (head, body) = res.into_parts();
        if body.size_hint().lower() > most as u64 {
            return Ok(Answer::Streams(Response::from_parts(head, incoming(body))));
        }
        match hold(body, most).await? {
            Held::Whole(b) => Ok(Answer::Whole(Response::from_parts(head, b))),
            Held::Rest(b) => Ok(Answer::Streams(Response::from_parts(head, b))),
        }
    }
}

enum Held {
    Whole(Bytes),
    Rest(AnyBody),
}

/// Collects a body; one that grows past `most` goes on as a stream.
async fn hold(mut body: Incoming, most: usize) -> Result<Held, SendError> {
    let mut buf = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| SendError::Broke { text: e.to_string() })?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > most {
            let head = futures::stream::once(async { Ok(Frame::data(buf.freeze())) });
            let tail = incoming(body).into_data_stream().map_ok(Frame::data);
            let all = futures::StreamExt::chain(head, tail);
            return Ok(Held::Rest(BodyExt::boxed(StreamBody::new(SyncStream::new(all)))));
        }
    }
    Ok(Held::Whole(buf.freeze()))
}

/// A stream that may be shared between threads because it is only polled
/// through an exclusive reference.
type SyncStream<S> = sync::Exclusive<S>;

mod sync {
    //! A wrapper that makes a stream `Sync` without locks that wait.

    use std::pin::Pin;
    use std::sync::Mutex;
    use std::task::{Context, Poll};

    use futures::Stream;

    /// Polls the stream inside through an exclusive reference only.
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

/// A body that is here.
pub fn full(b: Bytes) -> AnyBody {
    BodyExt::boxed(Full::new(b).map_err(|never| match never {}))
}

/// A body that arrives.
pub fn incoming(b: Incoming) -> AnyBody {
    BodyExt::boxed(b.map_err(|e| BodyError { text: e.to_string() }))
}
