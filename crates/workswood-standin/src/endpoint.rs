//! An endpoint that answers with what it was sent, and keeps a ledger.

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

/// Time that a request takes when its path names none.
const DEFAULT_MS: u64 = 5;

/// Time between the first half of a cut body and the end of its connection.
const CUT_AFTER: Duration = Duration::from_millis(20);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behaviour {
    /// Answers.
    #[default]
    Healthy,
    /// Answers 500 at once.
    FailsAll,
    /// Never answers.
    Frozen,
    /// Takes this many times as long.
    Slow(u32),
    /// Breaks off in the middle of the body.
    CutsBody,
    /// Closes every connection at once.
    Resets,
}

/// What all endpoints of one stand-in platform saw.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
    /// Requests that began to run.
    pub total: AtomicU64,
    /// Requests that found all slots of an endpoint in use.
    pub over_slots: AtomicU64,
    /// Most connections that any endpoint had at a time.
    pub most_connections: AtomicU32,
    /// Requests in progress when their host was rebooted.
    pub cut_off: AtomicU64,
}

impl Ledger {
    /// How often a key ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().get(key).copied().unwrap_or(0)
    }

    /// Keys that ran more than once.
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
    /// Its address.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    server: JoinHandle<()>,
}

impl Drop for EndpointStandin {
    fn drop(&mut self) {
        let cut = u64::from(self.in_flight());
        self.inner.ledger.cut_off.fetch_add(cut, Ordering::Relaxed);
        self.server.abort();
    }
}

impl EndpointStandin {
    /// Starts an endpoint on a free port of the loopback.
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
        let server = tokio::spawn(accept(listener, inner.clone()));
        Ok(EndpointStandin { address, inner, server })
    }

    /// Sets how it behaves from now on.
    pub fn set_behaviour(&self, b: Behaviour) {
        *self.inner.behaviour.lock() = b;
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Relaxed)
    }

    /// When the last request began.
    pub fn last_start(&self) -> Option<std::time::Instant> {
        *self.inner.last_start.lock()
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
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
            let svc = service_fn(|req| answer(inner.clone(), req));
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), svc).await;
            inner.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

struct InFlight(Arc<Inner>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type Reply = Result<Response<BoxBody<Bytes, std::io::Error>>, Infallible>;

async fn answer(inner: Arc<Inner>, req: Request<Incoming>) -> Reply {
    let n = inner.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    let _guard = InFlight(inner.clone());
    if n > inner.slots {
        inner.ledger.over_slots.fetch_add(1, Ordering::Relaxed);
    }
    let behaviour = *inner.behaviour.lock();
    let ms = duration_of(req.uri().query().unwrap_or_default());
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
        Behaviour::Slow(times) => tokio::time::sleep(Duration::from_millis(ms * u64::from(times))).await,
        _ => tokio::time::sleep(Duration::from_millis(ms)).await,
    }
    let out = if body.is_empty() { Bytes::from(path) } else { body };
    if behaviour == Behaviour::CutsBody {
        return Ok(cut(&out));
    }
    Ok(reply(200, &inner.id, out))
}

fn duration_of(query: &str) -> u64 {
    let ms = query.split('&').find_map(|p| p.strip_prefix("ms="));
    ms.and_then(|v| v.parse().ok()).unwrap_or(DEFAULT_MS)
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

/// An answer that says it is longer than what comes.
fn cut(body: &Bytes) -> Response<BoxBody<Bytes, std::io::Error>> {
    let half = body.slice(..body.len() / 2);
    let first = stream::once(async { Ok(Frame::data(half)) });
    // The first half must have left before the connection breaks.
    let broken = stream::once(async {
        tokio::time::sleep(CUT_AFTER).await;
        Err(std::io::Error::other("cut off"))
    });
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(first.chain(broken))));
    res.headers_mut().insert("content-length", (body.len() as u64).into());
    res
}
