//! An HTTP endpoint that echoes request bodies and counts requests.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Duration of a request whose query has no `ms` parameter.
const DEFAULT_DURATION_MS: u64 = 5;

/// Delay between sending the first half of a truncated body and closing the connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behaviour {
    /// Answers normally.
    #[default]
    Healthy,
    /// Answers every request with status 500 immediately.
    FailsAll,
    /// Accepts requests and never answers them.
    Frozen,
    /// Takes this many times the normal duration.
    Slow(u32),
    /// Closes the connection in the middle of the response body.
    CutsBody,
    /// Closes every new connection immediately.
    Resets,
}

/// Request counts of all endpoints of one stand-in platform.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
    /// Requests that endpoints began to process.
    pub total: AtomicU64,
    /// Requests that arrived while all slots of their endpoint were in use.
    pub over_slots: AtomicU64,
    /// Highest number of concurrent connections to a single endpoint.
    pub most_connections: AtomicU32,
    /// Requests in progress when their endpoint was stopped, for instance by a reboot of its host.
    pub cut_off: AtomicU64,
}

impl Ledger {
    /// Returns how often requests with this key were processed.
    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns the keys of requests that were processed more than once.
    pub fn repeated_keys(&self) -> Vec<String> {
        self.runs.lock().iter().filter(|(_, n)| **n > 1).map(|(k, _)| k.clone()).collect()
    }
}

struct Inner {
    id: String,
    slots: u32,
    semaphore: Semaphore,
    in_flight: AtomicU32,
    connections: AtomicU32,
    behaviour: Mutex<Behaviour>,
    ledger: Arc<Ledger>,
    last_start: Mutex<Option<std::time::Instant>>,
}

/// A running endpoint; stops when dropped.
pub struct EndpointStandin {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    server: JoinHandle<()>,
}

impl Drop for EndpointStandin {
    fn drop(&mut self) {
        let interrupted = u64::from(self.in_flight());
        self.inner.ledger.cut_off.fetch_add(interrupted, Ordering::Relaxed);
        self.server.abort();
    }
}

impl EndpointStandin {
    /// Starts an endpoint on a free port of the loopback interface.
    pub async fn start(id: &str, slots: u32, ledger: Arc<Ledger>) -> std::io::Result<EndpointStandin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            id: id.to_string(),
            slots,
            semaphore: Semaphore::new(slots as usize),
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            behaviour: Mutex::default(),
            ledger,
            last_start: Mutex::default(),
        });
        let server = tokio::spawn(accept_connections(listener, inner.clone()));
        Ok(EndpointStandin { address, inner, server })
    }

    /// Sets how the endpoint treats requests and connections from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.inner.behaviour.lock() = behaviour;
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Relaxed)
    }

    /// Returns when the last request arrived.
    pub fn last_start(&self) -> Option<std::time::Instant> {
        *self.inner.last_start.lock()
    }
}

async fn accept_connections(listener: TcpListener, inner: Arc<Inner>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        if *inner.behaviour.lock() == Behaviour::Resets {
            continue;
        }
        let inner = inner.clone();
        connections.spawn(async move {
            let n = inner.connections.fetch_add(1, Ordering::Relaxed) + 1;
            inner.ledger.most_connections.fetch_max(n, Ordering::Relaxed);
            let service = service_fn(|req| answer(inner.clone(), req));
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            inner.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Decrements the number of requests in progress when dropped.
struct InFlightGuard(Arc<Inner>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type ResponseResult = Result<Response<BoxBody<Bytes, std::io::Error>>, Infallible>;

async fn answer(inner: Arc<Inner>, req: Request<Incoming>) -> ResponseResult {
    let in_flight = inner.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    let _guard = InFlightGuard(inner.clone());
    if in_flight > inner.slots {
        inner.ledger.over_slots.fetch_add(1, Ordering::Relaxed);
    }
    let behaviour = *inner.behaviour.lock();
    let duration_ms = parse_duration_ms(req.uri().query().unwrap_or_default());
    let path = req.uri().to_string();
    let key = req.headers().get("x-workswood-key").and_then(|v| v.to_str().ok()).map(str::to_string);
    *inner.last_start.lock() = Some(std::time::Instant::now());
    if behaviour == Behaviour::FailsAll {
        return Ok(reply(500, &inner.id, Bytes::from_static(b"failed")));
    }
    inner.ledger.total.fetch_add(1, Ordering::Relaxed);
    if let Some(key) = key {
        *inner.ledger.runs.lock().entry(key).or_default() += 1;
    }
    let Ok(body) = req.into_body().collect().await else {
        return Ok(reply(400, &inner.id, Bytes::new()));
    };
    let body = body.to_bytes();
    let _slot = inner.semaphore.acquire().await;
    match behaviour {
        Behaviour::Frozen => std::future::pending::<()>().await,
        Behaviour::Slow(factor) => {
            tokio::time::sleep(Duration::from_millis(duration_ms * u64::from(factor))).await
        }
        _ => tokio::time::sleep(Duration::from_millis(duration_ms)).await,
    }
    let content = if body.is_empty() { Bytes::from(path) } else { body };
    if behaviour == Behaviour::CutsBody {
        return Ok(truncated_reply(&content));
    }
    Ok(reply(200, &inner.id, content))
}

/// Reads the query parameter `ms`.
fn parse_duration_ms(query: &str) -> u64 {
    let ms = query.split('&').find_map(|p| p.strip_prefix("ms="));
    ms.and_then(|v| v.parse().ok()).unwrap_or(DEFAULT_DURATION_MS)
}

fn reply(status: u16, id: &str, body: Bytes) -> Response<BoxBody<Bytes, std::io::Error>> {
    let body = BodyExt::boxed(Full::new(body).map_err(|never| match never {}));
    let mut res = Response::new(body);
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(v) = id.parse() {
        res.headers_mut().insert("x-instance", v);
    }
    res
}

/// Builds a response whose `content-length` exceeds the bytes that are sent.
fn truncated_reply(body: &Bytes) -> Response<BoxBody<Bytes, std::io::Error>> {
    let half = body.slice(..body.len() / 2);
    let first = stream::once(async { Ok(Frame::data(half)) });
    // The first half must have been sent before the error closes the connection.
    let broken = stream::once(async {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::other("response body truncated"))
    });
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(first.chain(broken))));
    res.headers_mut().insert("content-length", (body.len() as u64).into());
    res
}
