//! Connections by address, and which of them are not to be trusted.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;
use workswood_liveness::{AdaptiveTimeout, HalfOpenDetector};

use crate::attempt::{Attempt, Over};

/// A call without an answer for this many times the mean of its address is late,
const LATE_TIMES: f64 = 4.0;
/// but not before this time: answers of a busy host come some ten milliseconds late.
const LATE_NOT_BEFORE: Duration = Duration::from_millis(150);

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection, and what is known of its address, is kept.
    pub idle_timeout: Duration,
    /// Idle connections kept to one address.
    pub max_idle_per_address: usize,
}

/// Connections to many addresses. Clones share them.
pub struct Pool<B> {
    shared: Arc<Shared<B>>,
}

impl<B> Clone for Pool<B> {
    fn clone(&self) -> Pool<B> {
        Pool { shared: self.shared.clone() }
    }
}

struct Shared<B> {
    connector: HttpConnector,
    limits: PoolLimits,
    half_open: HalfOpenDetector,
    peers: Mutex<HashMap<String, Arc<Peer<B>>>>,
}

/// What is known of one address.
pub(crate) struct Peer<B> {
    pub(crate) address: String,
    pub(crate) now: Mutex<Now<B>>,
    /// Attempts with a lower number went over connections that are suspect.
    pub(crate) suspect_below: watch::Sender<u64>,
    pub(crate) patience: AdaptiveTimeout,
}

/// The connections to an address that are used now.
pub(crate) struct Now<B> {
    pub(crate) client: Client<HttpConnector, B>,
    /// Counts the clients of this address.
    pub(crate) number: u64,
    /// When the first of its connections may have been opened.
    opened: Instant,
    /// When a call was sent over an earlier connection that had no answer, if none
    /// over a present one has had one since.
    pub(crate) doubted: Option<Instant>,
    used: Instant,
}

impl<B> Pool<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// A pool without connections; what it finds out is shared with others.
    pub fn new(limits: PoolLimits, half_open: HalfOpenDetector) -> Pool<B> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_timeout));
        let shared = Shared { connector, limits, half_open, peers: Mutex::default() };
        Pool { shared: Arc::new(shared) }
    }

    /// Begins an attempt at a call to an address, which may let its answer wait for
    /// some time.
    pub fn attempt(&self, address: &str, waits: Duration) -> Attempt<B> {
        let peer = self.peer(address);
        let mut now = peer.now.lock();
        if self.half_open().is_suspect(now.opened) {
            now.renew(self.client());
        }
        now.used = Instant::now();
        let over = Over { client: now.client.clone(), number: now.number, opened: now.opened };
        drop(now);
        Attempt::new(self.clone(), peer, over, waits)
    }

    pub(crate) fn half_open(&self) -> &HalfOpenDetector {
        &self.shared.half_open
    }

    fn peer(&self, address: &str) -> Arc<Peer<B>> {
        let mut peers = self.shared.peers.lock();
        if let Some(p) = peers.get(address) {
            return p.clone();
        }
        let idle = self.shared.limits.idle_timeout;
        let now = Instant::now();
        peers.retain(|_, p| now < p.now.lock().used + idle);
        let peer = Arc::new(self.new_peer(address, now));
        peers.insert(address.to_string(), peer.clone());
        peer
    }

    fn new_peer(&self, address: &str, used: Instant) -> Peer<B> {
        let now = Now { client: self.client(), number: 1, opened: used, doubted: None, used };
        Peer {
            address: address.to_string(),
            now: Mutex::new(now),
            suspect_below: watch::Sender::new(0),
            patience: AdaptiveTimeout::new(LATE_TIMES, LATE_NOT_BEFORE),
        }
    }

    /// A client without connections.
    pub(crate) fn client(&self) -> Client<HttpConnector, B> {
        let limits = &self.shared.limits;
        Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(limits.idle_timeout)
            .pool_max_idle_per_host(limits.max_idle_per_address)
            .build(self.shared.connector.clone())
    }
}

impl<B> Now<B> {
    /// Uses new connections from here on; idle ones are closed.
    pub(crate) fn renew(&mut self, client: Client<HttpConnector, B>) {
        self.client = client;
        self.number += 1;
        self.opened = Instant::now();
        self.doubted = None;
    }
}
