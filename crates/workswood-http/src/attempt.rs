//! One attempt at a call, and what its outcome says about connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use tokio::time::Instant;
use workswood_liveness::HalfOpenConnection;

use crate::pool::{Destination, Pool};

/// The client whose connections an attempt uses.
pub(crate) struct AttemptClient<B> {
    pub(crate) client: Client<HttpConnector, B>,
    /// Number of this client among those of the address.
    pub(crate) generation: u64,
    /// Earliest time at which one of its connections can have been opened.
    pub(crate) opened_at: Instant,
}

/// One attempt at a call. An attempt that is dropped before its outcome was reported, as
/// when its caller stops waiting, counts as unanswered if its response was late.
pub struct Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pool: Pool<B>,
    destination: Arc<Destination<B>>,
    client: AttemptClient<B>,
    started_at: Instant,
    /// When its response is late. Before that, a missing response says nothing about the
    /// connection, since the peer may hold it back.
    late_at: Instant,
    /// Whether its outcome was reported.
    concluded: AtomicBool,
    /// Whether the head of its response has arrived.
    response_started: AtomicBool,
}

impl<B> Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub(crate) fn new(
        pool: Pool<B>,
        destination: Arc<Destination<B>>,
        client: AttemptClient<B>,
        wait: Duration,
    ) -> Attempt<B> {
        let started_at = Instant::now();
        let late_at = started_at + wait + destination.response_timeout.late_after();
        Attempt {
            pool,
            destination,
            client,
            started_at,
            late_at,
            concluded: AtomicBool::new(false),
            response_started: AtomicBool::new(false),
        }
    }

    /// Sends the request; returns with the head of the response.
    pub async fn send(&self, req: Request<B>) -> Result<Response<Incoming>, Error> {
        let res = self.client.client.request(req).await;
        self.response_started.store(res.is_ok(), Ordering::Relaxed);
        res
    }

    /// Waits until a time, or forever if the response has started to arrive by then. How
    /// long the rest takes depends on its size and on the network, and whoever reads it
    /// gives up when nothing more arrives.
    pub async fn until_overdue(&self, at: Instant) {
        tokio::time::sleep_until(at).await;
        if self.response_started.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the connection of this attempt is suspect.
    pub async fn until_suspect(&self) {
        let mut below = self.destination.suspect_below.subscribe();
        tokio::select! {
            // Waiting can't fail: `self.destination` keeps the sender alive.
            _ = below.wait_for(|n| self.client.generation < *n) => {}
            () = self.pool.half_open().until_suspect(self.client.opened_at) => {}
        }
    }

    /// When the response is late.
    pub fn late_at(&self) -> Instant {
        self.late_at
    }

    /// Records the latency of a response that the peer did not hold back.
    pub fn record_latency(&self, latency: Duration) {
        self.destination.response_timeout.record(latency);
    }

    /// The time after which a response that is not held back is late.
    pub fn late_after(&self) -> Duration {
        self.destination.response_timeout.late_after()
    }

    /// Makes the next attempt open a new connection, since the one of this attempt may be
    /// half-open.
    pub fn renew_connection(&self) {
        self.replace_client(None);
    }

    /// Reports that the connection of this attempt was half-open: it had no response, and a
    /// new connection had one. Other connections of the same generation become suspect.
    pub fn report_half_open(&self) {
        self.report_silent(self.client.generation + 1, self.started_at);
    }

    /// Concludes the attempt with any response. If an earlier attempt was given up without
    /// a response, this shows that its connection was half-open.
    pub fn answered(&self) {
        self.concluded.store(true, Ordering::Relaxed);
        let mut current = self.destination.current.lock();
        if current.generation != self.client.generation {
            return;
        }
        let Some(silent_since) = current.unanswered_since.take() else { return };
        drop(current);
        self.report_silent(self.client.generation, silent_since);
    }

    fn report_silent(&self, suspect_below: u64, silent_since: Instant) {
        self.destination.suspect_below.send_modify(|below| *below = suspect_below.max(*below));
        let address = self.destination.address.clone();
        self.pool.half_open().report(HalfOpenConnection { address, silent_since });
    }

    fn replace_client(&self, unanswered_since: Option<Instant>) {
        let mut current = self.destination.current.lock();
        if current.generation == self.client.generation {
            current.replace(self.pool.new_client());
            current.unanswered_since = unanswered_since;
        }
    }

    /// Concludes the attempt without a verdict on its connection: another attempt was
    /// faster, or the connection broke.
    pub fn abandon(&self) {
        self.concluded.store(true, Ordering::Relaxed);
    }
}

impl<B> Drop for Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn drop(&mut self) {
        let silent =
            !self.concluded.load(Ordering::Relaxed) && !self.response_started.load(Ordering::Relaxed);
        if silent && Instant::now() >= self.late_at {
            self.replace_client(Some(self.started_at));
        }
    }
}
