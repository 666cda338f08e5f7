//! Connections by address, and which of them are suspect.

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

use crate::attempt::{Attempt, AttemptClient};

/// A response is late after this many times the mean latency of its address.
const LATE_MEAN_MULTIPLE: f64 = 4.0;
/// A response is never late before this time, since busy peers respond with some delay.
const MIN_LATE_AFTER: Duration = Duration::from_millis(150);

/// Limits of a connection pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection, and the latency of an unused address, are kept.
    pub idle_timeout: Duration,
    /// Largest number of idle connections that are kept to one address.
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
    destinations: Mutex<HashMap<String, Arc<Destination<B>>>>,
}

/// The connections to one address, and how long its responses take.
pub(crate) struct Destination<B> {
    pub(crate) address: String,
    pub(crate) current: Mutex<CurrentClient<B>>,
    /// Attempts of a client generation below this one used suspect connections.
    pub(crate) suspect_below: watch::Sender<u64>,
    pub(crate) response_timeout: AdaptiveTimeout,
}

/// The client whose connections new attempts use.
pub(crate) struct CurrentClient<B> {
    pub(crate) client: Client<HttpConnector, B>,
    /// Number of this client among those of the address.
    pub(crate) generation: u64,
    /// Earliest time at which one of its connections can have been opened.
    opened_at: Instant,
    /// When the call that got no response over the previous client was sent. Cleared once a call
    /// over this client has one.
    pub(crate) unanswered_since: Option<Instant>,
    last_used: Instant,
}

impl<B> Pool<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates a pool without connections. Half-open connections are reported to
    /// `half_open`, and those that it declares suspect are dropped.
    pub fn new(limits: PoolLimits, half_open: HalfOpenDetector) -> Pool<B> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_timeout));
        let shared = Shared { connector, limits, half_open, destinations: Mutex::default() };
        Pool { shared: Arc::new(shared) }
    }

    /// Starts an attempt at a call to an address. `wait` is how long the peer may hold the
    /// response back, as in a long poll.
    pub fn attempt(&self, address: &str, wait: Duration) -> Attempt<B> {
        let destination = self.destination(address);
        let mut current = destination.current.lock();
        if self.half_open().is_suspect(current.opened_at) {
            current.replace(self.new_client());
        }
        current.last_used = Instant::now();
        let client = AttemptClient {
            client: current.client.clone(),
            generation: current.generation,
            opened_at: current.opened_at,
        };
        drop(current);
        Attempt::new(self.clone(), destination, client, wait)
    }

    pub(crate) fn half_open(&self) -> &HalfOpenDetector {
        &self.shared.half_open
    }

    fn destination(&self, address: &str) -> Arc<Destination<B>> {
        let mut destinations = self.shared.destinations.lock();
        if let Some(d) = destinations.get(address) {
            return d.clone();
        }
        let idle_timeout = self.shared.limits.idle_timeout;
        let now = Instant::now();
        destinations.retain(|_, d| now < d.current.lock().last_used + idle_timeout);
        let destination = Arc::new(self.new_destination(address, now));
        destinations.insert(address.to_string(), destination.clone());
        destination
    }

    fn new_destination(&self, address: &str, now: Instant) -> Destination<B> {
        let current = CurrentClient {
            client: self.new_client(),
            generation: 1,
            opened_at: now,
            unanswered_since: None,
            last_used: now,
        };
        Destination {
            address: address.to_string(),
            current: Mutex::new(current),
            suspect_below: watch::Sender::new(0),
            response_timeout: AdaptiveTimeout::new(LATE_MEAN_MULTIPLE, MIN_LATE_AFTER),
        }
    }

    /// Creates a client that has no connections yet.
    pub(crate) fn new_client(&self) -> Client<HttpConnector, B> {
        let limits = &self.shared.limits;
        Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(limits.idle_timeout)
            .pool_max_idle_per_host(limits.max_idle_per_address)
            .build(self.shared.connector.clone())
    }
}

impl<B> CurrentClient<B> {
    /// Replaces the client, so that new attempts open new connections. Idle connections of
    /// the previous client are closed.
    pub(crate) fn replace(&mut self, client: Client<HttpConnector, B>) {
        self.client = client;
        self.generation += 1;
        self.opened_at = Instant::now();
        self.unanswered_since = None;
    }
}
