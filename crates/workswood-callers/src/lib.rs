//! The listener for callers: HTTP/1.1 with limits, and a planned stop that
//! cuts nothing off.

mod body;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use workswood_core::code::{Code, ExecutionStatus};

pub use body::{BODY_SILENCE, BodyError, read_body};

/// Longest time for the head of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes of the head of a request.
const MOST_HEADER: usize = 32 * 1024;
/// Most connections of callers at a time.
const MOST_CONNECTIONS: usize = 16_384;

/// Header with the caller's key of a request that may not be repeated.
pub const KEY: &str = "x-workswood-key";
/// Header with the last moment at which a copy may be started, in
/// milliseconds since 1970.
pub const LAST_MOMENT: &str = "x-workswood-last-moment";
/// Header with the time a caller allows, in milliseconds.
pub const DEADLINE: &str = "x-workswood-deadline-ms";
/// Header of an answer: whether the request was run.
pub const RAN: &str = "x-workswood-ran";
/// Header of an answer: the numbered code.
pub const CODE: &str = "x-workswood-code";

/// Body of an answer.
pub type ReplyBody = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;
/// Answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<ReplyBody>> + Send + Sync>;

/// HTTP status of an answer that carries a code.
pub fn status_of(code: Code) -> u16 {
    match code {
        Code::UnknownRoute | Code::KeyNotFound => 404,
        Code::BodyTooLarge | Code::PayloadTooLarge => 413,
        Code::KeyMissing | Code::KeyMalformed | Code::JobMalformed => 400,
        Code::MethodUnknown => 405,
        Code::BodySilent => 408,
        Code::JobUnknown => 410,
        Code::ApiKey => 401,
        Code::KeyConflict | Code::KeyRunning | Code::KeyUnknownOutcome | Code::KeyExpired => 409,
        Code::EndpointBroke | Code::ConnectFailed => 502,
        Code::EndpointTimeout | Code::OutcomeUnknown => 504,
        _ => 503,
    }
}

/// An answer of our own, which says what happened and whether the request ran.
pub fn refusal(code: Code, ran: ExecutionStatus, retry_after: Option<Duration>) -> Response<ReplyBody> {
    let text = format!("error {}: {}; {}\n", code.number(), code.text(), code.advice());
    let mut res = Response::builder()
        .status(status_of(code))
        .header(RAN, ran.as_str())
        .header(CODE, code.number())
        .header("content-type", "text/plain");
    if let Some(after) = retry_after {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        res = res.header("retry-after", seconds);
        res = res.header("x-workswood-retry-after-ms", after.as_millis() as u64);
    }
    if code == Code::ApiKey {
        res = res.header(WWW_AUTHENTICATE, "Bearer");
    }
    let body = whole(Bytes::from(text));
    res.body(body).unwrap_or_else(|_| Response::new(whole(Bytes::new())))
}

/// The key that a call carries as `authorization: Bearer KEY`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// A body that is here.
pub fn whole(b: Bytes) -> ReplyBody {
    use http_body_util::BodyExt;
    http_body_util::Full::new(b).map_err(|never| match never {}).boxed()
}

/// Serves callers until `stop` turns true; returns when the last connection
/// has ended.
pub async fn serve(listener: TcpListener, handler: Handler, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MOST_HEADER);
    loop {
        let permit = permits.clone().acquire_owned().await;
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let svc = service_fn(move |req| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), svc));
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(e) = connection.await {
                log::debug!("event=caller_connection_ended error={e:?}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
