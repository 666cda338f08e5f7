//! One attempt at a call, and what its end says of connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use tokio::time::Instant;
use workswood_liveness::HalfOpenConnection;

use crate::pool::{Peer, Pool};

/// The connections that an attempt goes over.
pub(crate) struct Over<B> {
    pub(crate) client: Client<HttpConnector, B>,
    /// Number of the client.
    pub(crate) number: u64,
    /// When the first of its connections may have been opened.
    pub(crate) opened: Instant,
}

/// One attempt at a call. Dropped before its end is told, when its caller no longer
/// waits, it counts as one without an answer if the answer was due.
pub struct Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pool: Pool<B>,
    peer: Arc<Peer<B>>,
    over: Over<B>,
    begun: Instant,
    /// When its answer is late. Until then nothing is wrong with a connection on which
    /// nothing comes: a call that waits for something to happen says nothing of it.
    late_at: Instant,
    /// Whether its end was told.
    told: AtomicBool,
    /// Whether its answer has begun to come.
    coming: AtomicBool,
}

impl<B> Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub(crate) fn new(pool: Pool<B>, peer: Arc<Peer<B>>, over: Over<B>, waits: Duration) -> Attempt<B> {
        let begun = Instant::now();
        let late_at = begun + waits + peer.patience.late_after();
        Attempt {
            pool,
            peer,
            over,
            begun,
            late_at,
            told: AtomicBool::new(false),
            coming: AtomicBool::new(false),
        }
    }

    /// Sends the request; returns with the head of the answer.
    pub async fn send(&self, req: Request<B>) -> Result<Response<Incoming>, Error> {
        let res = self.over.client.request(req).await;
        self.coming.store(res.is_ok(), Ordering::Relaxed);
        res
    }

    /// Waits until a time, or for ever if the answer has begun to come by then: how long
    /// the rest of it takes depends on its size and on the link, and whoever reads it
    /// gives it up when nothing comes any more.
    pub async fn overdue(&self, at: Instant) {
        tokio::time::sleep_until(at).await;
        if self.coming.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the connection of this attempt has become suspect.
    pub async fn suspected(&self) {
        let mut below = self.peer.suspect_below.subscribe();
        tokio::select! {
            // The sender lives as long as the peer.
            _ = below.wait_for(|n| self.over.number < *n) => {}
            () = self.pool.half_open().until_suspect(self.over.opened) => {}
        }
    }

    /// When its answer is late.
    pub fn late_at(&self) -> Instant {
        self.late_at
    }

    /// Notes how long an answer took that needed no waiting.
    pub fn took(&self, took: Duration) {
        self.peer.patience.record(took);
    }

    /// The time after which an answer is late that needs no waiting.
    pub fn late_after(&self) -> Duration {
        self.peer.patience.late_after()
    }

    /// Has the next attempt open a new connection: this one's may be at fault.
    pub fn distrust(&self) {
        self.renew(None);
    }

    /// Tells that the connection of this attempt was half-open: it had no answer, and a
    /// new one had. All that are as old may be.
    pub fn was_silent(&self) {
        self.tell_silent(self.over.number + 1, self.begun);
    }

    /// Ends the attempt: it was answered, in whatever way. If an earlier one was given
    /// up unanswered, its connection was half-open.
    pub fn answered(&self) {
        self.told.store(true, Ordering::Relaxed);
        let mut now = self.peer.now.lock();
        if now.number != self.over.number {
            return;
        }
        let Some(silent_since) = now.doubted.take() else { return };
        drop(now);
        self.tell_silent(self.over.number, silent_since);
    }

    fn tell_silent(&self, suspect_below: u64, silent_since: Instant) {
        self.peer.suspect_below.send_modify(|below| *below = suspect_below.max(*below));
        self.pool.half_open().report(HalfOpenConnection { address: self.peer.address.clone(), silent_since });
    }

    fn renew(&self, doubted: Option<Instant>) {
        let mut now = self.peer.now.lock();
        if now.number == self.over.number {
            now.renew(self.pool.client());
            now.doubted = doubted;
        }
    }

    /// Ends the attempt without a verdict: another one was faster, or the connection
    /// broke.
    pub fn abandon(&self) {
        self.told.store(true, Ordering::Relaxed);
    }
}

impl<B> Drop for Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn drop(&mut self) {
        let silent = !self.told.load(Ordering::Relaxed) && !self.coming.load(Ordering::Relaxed);
        if silent && Instant::now() >= self.late_at {
            self.renew(Some(self.begun));
        }
    }
}
