//! The listener for callers: an HTTP/1.1 server with limits and a graceful shutdown.

mod connection_table;
mod held_bytes;
mod limits;
mod listen;
mod losses;
mod metered_stream;
mod request_body;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use workswood_core::code::{Code, ExecutionStatus};

pub use connection_table::{Connection, ConnectionTable, Full, LOSS_LOG_INTERVAL};
pub use held_bytes::HeldBytes;
pub use limits::Limits;
pub use listen::listen;
pub use losses::{Loss, Losses};
pub use request_body::{
    BODY_IDLE_TIMEOUT, BODY_RATE_GRACE, BodyError, LEAST_BODY_RATE, longest_time, read_body, read_request,
};

use metered_stream::MeteredStream;

/// Timeout for reading the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the buffer of a connection, in bytes, which bounds the head of a request.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// When a caller whose body found no memory should retry.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// Request header with the idempotency key of a request.
pub const KEY_HEADER: &str = "x-workswood-key";
/// Request header with the time after which no copy of a request is started, in milliseconds since the
/// Unix epoch.
pub const LAST_MOMENT_HEADER: &str = "x-workswood-last-moment";
/// Request header with the time in which the caller wants its answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-workswood-deadline-ms";
/// Response header that says whether the request was run.
pub const RAN_HEADER: &str = "x-workswood-ran";
/// Response header with the numbered code of a refusal.
pub const CODE_HEADER: &str = "x-workswood-code";

/// Body of a response to a caller.
pub type ReplyBody = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;
/// Function that answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<ReplyBody>> + Send + Sync>;

/// HTTP status of a response that carries a code.
pub fn status_of(code: Code) -> u16 {
    match code {
        Code::UnknownRoute | Code::KeyNotFound => 404,
        Code::BodyTooLarge | Code::PayloadTooLarge | Code::RecordTooLarge => 413,
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

/// Response that does not come from an endpoint: it says what went wrong and whether the request ran.
pub fn refusal(code: Code, ran: ExecutionStatus, retry_after: Option<Duration>) -> Response<ReplyBody> {
    let text = format!("error {}: {}; {}\n", code.number(), code.text(), code.advice());
    let mut res = Response::builder()
        .status(status_of(code))
        .header(RAN_HEADER, ran.as_str())
        .header(CODE_HEADER, code.number())
        .header("content-type", "text/plain");
    if let Some(delay) = retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
        res = res.header("retry-after", seconds);
        res = res.header("x-workswood-retry-after-ms", delay.as_millis() as u64);
    }
    if code == Code::ApiKey {
        res = res.header(WWW_AUTHENTICATE, "Bearer");
    }
    let body = full_body(Bytes::from(text));
    res.body(body).unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
}

/// The token of an `authorization: Bearer TOKEN` header.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let credentials = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = credentials.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Body of a response that consists of the given bytes.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    use http_body_util::BodyExt;
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Accepts connections until `stop` becomes true, and returns when the last connection has ended.
pub async fn serve(listener: TcpListener, handler: Handler, stop: watch::Receiver<bool>) {
    serve_within(ConnectionTable::new(Limits::default()), listener, handler, stop).await;
}

/// Like [`serve`], within the limits of a table, which holds the connections.
pub async fn serve_within(
    table: Arc<ConnectionTable>,
    listener: TcpListener,
    handler: Handler,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEADER_BYTES);
    loop {
        while !table.may_accept() {
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            result = listener.accept() => result,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(connection) = table.admit() else { continue };
        let _ = stream.set_nodelay(true);
        let (handler, of_service) = (handler.clone(), connection.clone());
        let service = service_fn(move |req| answer(&handler, of_service.clone(), req));
        let stream = MeteredStream::new(stream, connection.clone());
        let served = graceful.watch(builder.serve_connection(stream, service));
        let task = tokio::spawn(async move {
            if let Err(e) = served.await {
                log::debug!("event=caller_connection_ended error={e:?}");
            }
        });
        connection.set_task(task.abort_handle());
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Has a request answered, and keeps its connection from being closed meanwhile.
fn answer(
    handler: &Handler,
    connection: Arc<Connection>,
    mut req: Request<Incoming>,
) -> impl Future<Output = Result<Response<ReplyBody>, Infallible>> + use<> {
    let begun = connection.begin_request();
    if begun && !req.body().is_end_stream() {
        req.extensions_mut().insert(connection.clone());
    }
    let answer = begun.then(|| handler(req));
    async move {
        let Some(answer) = answer else {
            return Ok(refusal(Code::TooManyBodies, ExecutionStatus::NotRun, Some(RETRY_AFTER_FULL)));
        };
        let res = answer.await;
        connection.end_request();
        Ok(res)
    }
}
