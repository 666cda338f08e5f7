//! One attempt at a call, and what its end says of connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use tokio::time::Instant;
use workswood_liveness::Round;

use crate::pool::{Peer, Pool};

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
    client: Client<HttpConnector, B>,
    /// Number of the client.
    number: u64,
    round: Round,
    /// When its answer is late. Until then nothing is wrong with a connection on which
    /// nothing comes: a call that waits for something to happen says nothing of it.
    late_at: Instant,
    /// Whether its end was told.
    told: AtomicBool,
    /// Whether its connection is doubted because of it.
    doubts: AtomicBool,
}

impl<B> Attempt<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub(crate) fn new(
        pool: Pool<B>,
        peer: Arc<Peer<B>>,
        client: Client<HttpConnector, B>,
        number: u64,
        round: Round,
        waits: Duration,
    ) -> Attempt<B> {
        let late_at = Instant::now() + waits + peer.patience.late_after();
        Attempt {
            pool,
            peer,
            client,
            number,
            round,
            late_at,
            told: AtomicBool::new(false),
            doubts: AtomicBool::new(false),
        }
    }

    /// Sends the request; returns with the head of the answer.
    pub async fn send(&self, req: Request<B>) -> Result<Response<Incoming>, Error> {
        self.client.request(req).await
    }

    /// Waits until the connection of this attempt has become suspect.
    pub async fn suspected(&self) {
        let mut below = self.peer.suspect_below.subscribe();
        tokio::select! {
            // The sender lives as long as the peer.
            _ = below.wait_for(|n| self.number < *n) => {}
            () = self.pool.half_open().suspected(self.round) => {}
        }
    }

    /// When its answer is late.
    pub fn late_at(&self) -> Instant {
        self.late_at
    }

    /// Notes how long an answer took that needed no waiting.
    pub fn took(&self, took: Duration) {
        self.peer.patience.note(took);
    }

    /// Has the next attempt open a new connection, since this one's answer is late.
    /// Whether its connection is at fault shows with the next one's answer.
    pub fn doubt(&self) {
        let mut now = self.peer.now.lock();
        if now.number == self.number {
            let round = now.round;
            now.renew(self.pool.client(), round);
            now.doubted = true;
            self.doubts.store(true, Ordering::Relaxed);
        }
    }

    /// Ends the attempt: it was answered, in whatever way. If an earlier connection
    /// was doubted, that one was half-open, and so may be all that are as old.
    pub fn answered(&self) {
        self.told.store(true, Ordering::Relaxed);
        let mut now = self.peer.now.lock();
        if self.doubts.load(Ordering::Relaxed) {
            // It was only late.
            now.doubted = false;
        }
        if now.number != self.number || !std::mem::take(&mut now.doubted) {
            return;
        }
        drop(now);
        self.peer.suspect_below.send_replace(self.number);
        self.pool.half_open().found(&self.peer.address);
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
        if !self.told.load(Ordering::Relaxed) && Instant::now() >= self.late_at {
            self.doubt();
        }
    }
}
