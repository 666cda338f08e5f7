//! Calls whose responses are read into memory.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName};
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;
use workswood_liveness::HalfOpenDetector;
use workswood_traffic::{Purpose, Traffic};

use crate::attempt::Attempt;
use crate::copies::{CopyAnswers, CopyOutcome, settle};
use crate::pool::{Pool, PoolLimits};

/// A header of a call: name in lower case, and value.
pub type Header = (&'static str, String);

/// Whether and how a call may be sent a second time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The call is sent once.
    #[default]
    Never,
    /// If the response is late, or the connection breaks or becomes suspect, the same
    /// request is sent over a new connection.
    Resend,
    /// Like [`RetryPolicy::Resend`], but after a late response only if the peer quickly
    /// answers a cheap read over the new connection. For calls that the peer queues: one that
    /// is sent twice would take two places.
    ResendAfterProbe {
        /// Path and query of the read.
        path: String,
    },
    /// Like [`RetryPolicy::Resend`], for a call whose response the peer may hold back. The
    /// second request asks for a response at once.
    LongPoll {
        /// Longest time for which the call asks the peer to hold the response back.
        wait: Duration,
        /// Path and query of the second request.
        path: String,
        /// Body of the second request.
        body: Bytes,
    },
}

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// IP address and port of the peer.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Additional headers.
    pub headers: &'a [Header],
    /// The body; empty for none.
    pub body: Bytes,
    /// Whether and how the call may be sent a second time.
    pub retry: RetryPolicy,
    /// The purpose under which the traffic is counted.
    pub purpose: Purpose,
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// Whether this is the response to the second request.
    pub retried: bool,
    /// What is known of the other request, if two were sent. A refusal proves nothing while the
    /// other one may still be carried out.
    pub other_copy: CopyOutcome,
}

impl Response {
    /// Whether the peer has processed the call. A busy peer rejects the second request while
    /// the first still waits in its queue.
    fn is_final(&self) -> bool {
        self.status != StatusCode::TOO_MANY_REQUESTS && !self.status.is_server_error()
    }

    /// What is known of the change that the call asks for, over all requests that were sent.
    pub fn outcome(&self) -> CopyOutcome {
        self.own_outcome().with(self.other_copy)
    }

    /// What the response tells about its own request alone.
    fn own_outcome(&self) -> CopyOutcome {
        if self.status.is_success() { CopyOutcome::Done } else { CopyOutcome::NotDone }
    }
}

/// Why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made; nothing was sent.
    NotSent(String),
    /// The request may have been sent.
    NoAnswer(String),
}

/// A client for many addresses. Clones share its connections.
#[derive(Clone)]
pub struct HttpClient {
    pool: Pool<Full<Bytes>>,
    max_body_bytes: usize,
    traffic: Traffic,
}

/// A response of which no more arrives for this long is given up.
/// On a link of 2 Mbit/s, a dozen responses that share it get some 16 KB each in this time.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Estimated size in bytes of the head of a request or response, for counting traffic.
const ESTIMATED_HEAD_BYTES: usize = 160;

/// How the first attempt at a call went.
enum FirstAttempt {
    Ended(Result<Response, CallError>),
    /// Its response is late.
    Late,
    /// Its connection has become suspect.
    Suspect,
}

impl HttpClient {
    /// Creates a client without connections that accepts responses up to a size. Half-open
    /// connections are reported to `half_open`, and all calls are counted in `traffic`.
    pub fn new(
        limits: PoolLimits,
        max_body_bytes: usize,
        half_open: HalfOpenDetector,
        traffic: Traffic,
    ) -> HttpClient {
        HttpClient { pool: Pool::new(limits, half_open), max_body_bytes, traffic }
    }

    /// Makes a call. A connection whose response did not arrive in time is closed.
    pub async fn call(&self, call: &Call<'_>, timeout: Duration) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        match call.retry {
            RetryPolicy::Never => self.call_once(call, deadline).await,
            RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } | RetryPolicy::LongPoll { .. } => {
                self.call_with_retry(call, deadline).await
            }
        }
    }

    /// Makes a call that is sent once.
    async fn call_once(&self, call: &Call<'_>, deadline: Instant) -> Result<Response, CallError> {
        let attempt = self.pool.attempt(call.address, Duration::ZERO);
        let req = request(call, call.path, &call.body)?;
        tokio::select! {
            res = self.exchange(call, &attempt, req, false) => res,
            () = attempt.until_suspect() => {
                attempt.abandon();
                Err(CallError::NoAnswer("the connection went silent".to_string()))
            }
            // The attempt is dropped without being concluded, so it counts as unanswered.
            () = attempt.until_overdue(deadline) => Err(timed_out()),
        }
    }

    /// Makes a call that may be sent twice.
    async fn call_with_retry(&self, call: &Call<'_>, deadline: Instant) -> Result<Response, CallError> {
        let first = self.pool.attempt(call.address, call.wait());
        let req = request(call, call.path, &call.body)?;
        let mut first_exchange = pin!(self.exchange(call, &first, req, call.measures_latency()));
        let end = tokio::select! {
            res = &mut first_exchange => FirstAttempt::Ended(res),
            () = first.until_suspect() => FirstAttempt::Suspect,
            () = first.until_overdue(deadline.min(first.late_at())) => FirstAttempt::Late,
        };
        match end {
            FirstAttempt::Ended(Err(CallError::NoAnswer(_))) => self.resend(call, deadline).await,
            FirstAttempt::Ended(res) => res,
            FirstAttempt::Suspect => {
                first.abandon();
                self.resend(call, deadline).await
            }
            FirstAttempt::Late => {
                first.renew_connection();
                self.settle_late(call, &first, first_exchange, deadline).await
            }
        }
    }

    /// Sends a call again whose response is late, and returns what both requests tell.
    async fn settle_late(
        &self,
        call: &Call<'_>,
        first: &Attempt<Full<Bytes>>,
        first_exchange: impl Future<Output = Result<Response, CallError>>,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let resent = AtomicBool::new(false);
        let is_resent = || resent.load(Ordering::Relaxed);
        let first_answer = async {
            let res = tokio::select! {
                res = first_exchange => res,
                () = first.until_overdue(deadline) => Err(timed_out()),
            };
            if is_resent() {
                log_refusal_beside_copy(call, &res);
            }
            res
        };
        let settles = |res: &Result<Response, CallError>| match res {
            Ok(res) => res.is_final() || !is_resent(),
            Err(CallError::NotSent(_)) => !is_resent(),
            Err(CallError::NoAnswer(_)) => false,
        };
        match settle(first_answer, self.resend_late(call, first, &resent, deadline), settles).await {
            CopyAnswers::Settled(res) => {
                first.abandon();
                let other_copy = if is_resent() { CopyOutcome::Unknown } else { CopyOutcome::NotDone };
                res.map(|res| Response { other_copy, ..res })
            }
            CopyAnswers::Both(earlier, later) => combined(earlier, later),
        }
    }

    /// Sends a call again whose response is late, and reports the first connection if it
    /// was half-open.
    async fn resend_late(
        &self,
        call: &Call<'_>,
        first: &Attempt<Full<Bytes>>,
        resent: &AtomicBool,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        if let RetryPolicy::ResendAfterProbe { path } = &call.retry
            && !self.is_peer_quick(call, path, first.late_after(), deadline).await
        {
            // Nothing is sent again, so only the first request can have a response.
            tokio::time::sleep_until(deadline).await;
            return Err(timed_out());
        }
        resent.store(true, Ordering::Relaxed);
        let res = self.resend(call, deadline).await;
        if res.as_ref().is_ok_and(Response::is_final) {
            first.report_half_open();
        }
        res
    }

    /// Whether the peer answers a probe over a new connection within half of `late_after`.
    async fn is_peer_quick(
        &self,
        call: &Call<'_>,
        path: &str,
        late_after: Duration,
        deadline: Instant,
    ) -> bool {
        let address = call.address;
        let probe = Call {
            method: Method::GET,
            address,
            path,
            headers: &[],
            body: Bytes::new(),
            retry: RetryPolicy::Never,
            purpose: call.purpose,
        };
        let started = Instant::now();
        let Ok(req) = request(&probe, path, &probe.body) else { return false };
        let attempt = self.pool.attempt(address, Duration::ZERO);
        let res = tokio::time::timeout_at(deadline, self.exchange(&probe, &attempt, req, true)).await;
        attempt.abandon();
        matches!(res, Ok(Ok(_))) && started.elapsed() < late_after / 2
    }

    /// Sends the second request of a call, over a connection that is not suspect.
    async fn resend(&self, call: &Call<'_>, deadline: Instant) -> Result<Response, CallError> {
        let (path, body) = match &call.retry {
            RetryPolicy::LongPoll { path, body, .. } => (path.as_str(), body),
            RetryPolicy::Never | RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => {
                (call.path, &call.body)
            }
        };
        let second = self.pool.attempt(call.address, Duration::ZERO);
        let req = request(call, path, body)?;
        let started = Instant::now();
        tokio::select! {
            res = self.exchange(call, &second, req, false) => match res {
                Ok(res) => Ok(Response { retried: true, other_copy: CopyOutcome::Unknown, ..res }),
                // The first request may have arrived, so `NotSent` would be wrong.
                Err(e) => Err(CallError::NoAnswer(text_of(e))),
            },
            () = second.until_overdue(deadline) => {
                // The connection was new, so the peer needs at least this long.
                second.record_latency(started.elapsed());
                Err(timed_out())
            }
        }
    }

    /// Sends a request and concludes the attempt. `measures_latency` tells whether the peer
    /// responds as soon as it can, so that the latency is recorded.
    async fn exchange(
        &self,
        call: &Call<'_>,
        attempt: &Attempt<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        measures_latency: bool,
    ) -> Result<Response, CallError> {
        let started = Instant::now();
        let res = self.send(attempt, req).await;
        let sent_bytes = ESTIMATED_HEAD_BYTES + call.path.len() + call.body.len();
        let received_bytes = res.as_ref().map_or(0, |r| ESTIMATED_HEAD_BYTES + r.body.len());
        self.traffic.record(call.purpose, sent_bytes, received_bytes);
        match &res {
            Ok(_) => {
                if measures_latency {
                    attempt.record_latency(started.elapsed());
                }
                attempt.answered();
            }
            Err(_) => attempt.abandon(),
        }
        res
    }

    async fn send(
        &self,
        attempt: &Attempt<Full<Bytes>>,
        req: Request<Full<Bytes>>,
    ) -> Result<Response, CallError> {
        let res = attempt.send(req).await.map_err(|e| {
            if e.is_connect() {
                CallError::NotSent(e.to_string())
            } else {
                CallError::NoAnswer(e.to_string())
            }
        })?;
        let status = res.status();
        let body = read_body(Limited::new(res.into_body(), self.max_body_bytes)).await?;
        Ok(Response { status, body, retried: false, other_copy: CopyOutcome::NotDone })
    }
}

impl Call<'_> {
    /// How long the peer may hold the response back.
    fn wait(&self) -> Duration {
        match &self.retry {
            RetryPolicy::Never | RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => Duration::ZERO,
            RetryPolicy::LongPoll { wait, .. } => *wait,
        }
    }

    /// Whether the peer responds as soon as it can, so that its latency is recorded.
    fn measures_latency(&self) -> bool {
        match self.retry {
            RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => true,
            RetryPolicy::Never | RetryPolicy::LongPoll { .. } => false,
        }
    }
}

/// Reads a body to its end, as long as parts of it keep arriving.
async fn read_body(mut body: Limited<Incoming>) -> Result<Bytes, CallError> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
        match frame.map_err(|_| timed_out())? {
            Some(Ok(frame)) => whole.extend(frame.into_data().ok()),
            Some(Err(e)) => return Err(CallError::NoAnswer(e.to_string())),
            None => return Ok(whole.freeze()),
        }
    }
}

fn request(call: &Call<'_>, path: &str, body: &Bytes) -> Result<Request<Full<Bytes>>, CallError> {
    let uri = format!("http://{}{path}", call.address);
    let mut req = Request::builder().method(call.method.clone()).uri(uri);
    if !body.is_empty() {
        req = req.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in call.headers {
        req = req.header(HeaderName::from_static(name), value);
    }
    req.body(Full::new(body.clone())).map_err(|e| CallError::NotSent(e.to_string()))
}

/// The answer to two requests of a call neither of which settles it: a refusal, with what is known of the other
/// request, or else a failure.
fn combined(a: Result<Response, CallError>, b: Result<Response, CallError>) -> Result<Response, CallError> {
    match (a, b) {
        (Ok(res), other) | (other, Ok(res)) => Ok(Response { other_copy: outcome(&other), ..res }),
        (Err(CallError::NotSent(text)), Err(CallError::NotSent(_))) => Err(CallError::NotSent(text)),
        (Err(a), Err(_)) => Err(CallError::NoAnswer(text_of(a))),
    }
}

/// What the answer to a request tells about it alone.
fn outcome(res: &Result<Response, CallError>) -> CopyOutcome {
    match res {
        Ok(res) => res.own_outcome(),
        Err(CallError::NotSent(_)) => CopyOutcome::NotDone,
        Err(CallError::NoAnswer(_)) => CopyOutcome::Unknown,
    }
}

/// Logs that the first request was refused although the second one was sent.
fn log_refusal_beside_copy(call: &Call<'_>, res: &Result<Response, CallError>) {
    let Ok(res) = res else { return };
    if !res.is_final() {
        log::info!("event=refusal_beside_copy purpose={} status={}", call.purpose, res.status.as_u16());
    }
}

fn timed_out() -> CallError {
    CallError::NoAnswer("timed out".to_string())
}

fn text_of(e: CallError) -> String {
    match e {
        CallError::NotSent(text) | CallError::NoAnswer(text) => text,
    }
}
