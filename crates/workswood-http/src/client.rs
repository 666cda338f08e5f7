//! Calls whose answers are held whole.

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
use crate::pool::{Pool, PoolLimits};

/// A header of a call: name in lower case, and value.
pub type Header = (&'static str, String);

/// Whether a call may be done twice, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It is sent once.
    #[default]
    Never,
    /// If its answer is late, or its connection breaks or becomes suspect, the same is
    /// sent over a new connection.
    Resend,
    /// Likewise, but with a late answer only once a cheap read over the new connection was answered: the
    /// call takes its turn at the peer, and sent twice it would take two.
    ResendAfterProbe {
        /// Path and query of the read.
        path: String,
    },
    /// Like [`RetryPolicy::Resend`]; the call may wait for its answer, and what is sent again
    /// is a request for an answer at once.
    LongPoll {
        /// Longest time that the call asks to wait.
        wait: Duration,
        /// Path and query of the second request.
        path: String,
        /// Body of the second request.
        body: Bytes,
    },
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Its method.
    pub method: Method,
    /// Where to: IP address and port.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [Header],
    /// Its body; empty for none.
    pub body: Bytes,
    /// Whether it may be done twice.
    pub retry: RetryPolicy,
    /// What it is for.
    pub purpose: Purpose,
}

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// Whether the call was sent before, and what came of that is not known. Then a
    /// refusal says nothing of the call: the copy sent first may be carried out.
    pub retried: bool,
}

impl Response {
    /// Whether the peer has dealt with the call. One that is busy turns a copy away
    /// while the first waits for its turn.
    fn is_final(&self) -> bool {
        self.status != StatusCode::TOO_MANY_REQUESTS && !self.status.is_server_error()
    }
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made; nothing was sent.
    NotSent(String),
    /// Something may have been sent.
    NoAnswer(String),
}

/// A client of many addresses. Clones share its connections.
#[derive(Clone)]
pub struct HttpClient {
    pool: Pool<Full<Bytes>>,
    most_bytes: usize,
    traffic: Traffic,
}

/// An answer of which nothing has come for this long is given up. On the slowest link, 2
/// Mbit/s, a dozen answers that share it get some 16 KB each meanwhile.
const BODY_SILENT: Duration = Duration::from_millis(1000);
/// Bytes of the head of a request, or of an answer, as the platform's parts send them.
const HEAD: usize = 160;

/// How the first attempt at a call went.
enum First {
    Ended(Result<Response, CallError>),
    /// Its answer is late.
    Late,
    /// Its connection has become suspect.
    Suspected,
}

impl HttpClient {
    /// A client without connections that reads answers up to a size. What it finds
    /// out of connections, and what goes over them, is shared with others.
    pub fn new(
        limits: PoolLimits,
        most_bytes: usize,
        half_open: HalfOpenDetector,
        traffic: Traffic,
    ) -> HttpClient {
        HttpClient { pool: Pool::new(limits, half_open), most_bytes, traffic }
    }

    /// Makes a call. A connection whose answer did not come in time is closed.
    pub async fn call(&self, call: &Call<'_>, timeout: Duration) -> Result<Response, CallError> {
        let until = Instant::now() + timeout;
        match call.retry {
            RetryPolicy::Never => self.once(call, until).await,
            RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } | RetryPolicy::LongPoll { .. } => {
                self.repeatable(call, until).await
            }
        }
    }

    /// Makes a call that is sent once.
    async fn once(&self, call: &Call<'_>, until: Instant) -> Result<Response, CallError> {
        let attempt = self.pool.attempt(call.address, Duration::ZERO);
        let req = request(call, call.path, &call.body)?;
        tokio::select! {
            res = self.exchange(call, &attempt, req, false) => res,
            () = attempt.suspected() => {
                attempt.abandon();
                Err(CallError::NoAnswer("the connection went silent".to_string()))
            }
            // Dropped without an end, the attempt counts as unanswered.
            () = attempt.overdue(until) => Err(timed_out()),
        }
    }

    /// Makes a call that may be sent twice.
    async fn repeatable(&self, call: &Call<'_>, until: Instant) -> Result<Response, CallError> {
        let first = self.pool.attempt(call.address, call.waits());
        let req = request(call, call.path, &call.body)?;
        let mut sent = pin!(self.exchange(call, &first, req, call.is_quick()));
        let end = tokio::select! {
            res = &mut sent => First::Ended(res),
            () = first.suspected() => First::Suspected,
            () = first.overdue(until.min(first.late_at())) => First::Late,
        };
        match end {
            First::Ended(Err(CallError::NoAnswer(_))) => self.again(call, until).await,
            First::Ended(res) => res,
            First::Suspected => {
                first.abandon();
                self.again(call, until).await
            }
            First::Late => {
                first.distrust();
                let copied = AtomicBool::new(false);
                let mut again = pin!(self.again_if_silent(call, &first, &copied, until));
                let copy = tokio::select! {
                    res = &mut again => res,
                    res = &mut sent => return match res {
                        // With a copy on its way, "not sent" would not be true.
                        Err(e) if matches!(e, CallError::NoAnswer(_)) || copied.load(Ordering::Relaxed) => again.await,
                        res => res,
                    },
                };
                if copy.as_ref().is_ok_and(Response::is_final) {
                    first.abandon();
                    return copy;
                }
                // What became of the copy says nothing of the first.
                tokio::select! {
                    res = sent => res.or(copy),
                    () = first.overdue(until) => copy,
                }
            }
        }
    }

    /// Sends a call again whose answer is late, and tells if the connection was at
    /// fault.
    async fn again_if_silent(
        &self,
        call: &Call<'_>,
        first: &Attempt<Full<Bytes>>,
        copied: &AtomicBool,
        until: Instant,
    ) -> Result<Response, CallError> {
        if let RetryPolicy::ResendAfterProbe { path } = &call.retry
            && !self.is_quick(call, path, first.late_after(), until).await
        {
            // Only the first one can be answered.
            tokio::time::sleep_until(until).await;
            return Err(timed_out());
        }
        copied.store(true, Ordering::Relaxed);
        let res = self.again(call, until).await;
        if res.as_ref().is_ok_and(Response::is_final) {
            first.was_silent();
        }
        res
    }

    /// Whether a cheap read over a new connection is answered so soon that the peer is
    /// not slow: in half of the time after which an answer is late.
    async fn is_quick(&self, call: &Call<'_>, path: &str, late_after: Duration, until: Instant) -> bool {
        let address = call.address;
        let read = Call {
            method: Method::GET,
            address,
            path,
            headers: &[],
            body: Bytes::new(),
            retry: RetryPolicy::Never,
            purpose: call.purpose,
        };
        let begun = Instant::now();
        let Ok(req) = request(&read, path, &read.body) else { return false };
        let attempt = self.pool.attempt(address, Duration::ZERO);
        let res = tokio::time::timeout_at(until, self.exchange(&read, &attempt, req, true)).await;
        attempt.abandon();
        matches!(res, Ok(Ok(_))) && begun.elapsed() < late_after / 2
    }

    /// Sends what may be done twice over a connection that is not suspect.
    async fn again(&self, call: &Call<'_>, until: Instant) -> Result<Response, CallError> {
        let (path, body) = match &call.retry {
            RetryPolicy::LongPoll { path, body, .. } => (path.as_str(), body),
            RetryPolicy::Never | RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => {
                (call.path, &call.body)
            }
        };
        let second = self.pool.attempt(call.address, Duration::ZERO);
        let req = request(call, path, body)?;
        let begun = Instant::now();
        tokio::select! {
            res = self.exchange(call, &second, req, false) => match res {
                Ok(answer) => Ok(Response { retried: true, ..answer }),
                // What was sent first may have arrived.
                Err(e) => Err(CallError::NoAnswer(text_of(e))),
            },
            () = second.overdue(until) => {
                // The connection was new: the peer needs at least this long.
                second.took(begun.elapsed());
                Err(timed_out())
            }
        }
    }

    /// Sends a request and tells the attempt how it ended; `quick` if the time that the
    /// answer takes is the peer's own.
    async fn exchange(
        &self,
        call: &Call<'_>,
        attempt: &Attempt<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        quick: bool,
    ) -> Result<Response, CallError> {
        let begun = Instant::now();
        let res = self.send(attempt, req).await;
        let received = res.as_ref().map_or(0, |a| HEAD + a.body.len());
        self.traffic.record(call.purpose, HEAD + call.path.len() + call.body.len(), received);
        match &res {
            Ok(_) => {
                if quick {
                    attempt.took(begun.elapsed());
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
        let body = read_body(Limited::new(res.into_body(), self.most_bytes)).await?;
        Ok(Response { status, body, retried: false })
    }
}

impl Call<'_> {
    /// How long its answer may wait for something to happen.
    fn waits(&self) -> Duration {
        match &self.retry {
            RetryPolicy::Never | RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => Duration::ZERO,
            RetryPolicy::LongPoll { wait, .. } => *wait,
        }
    }

    /// Whether the time that its answer takes is the peer's own.
    fn is_quick(&self) -> bool {
        match self.retry {
            RetryPolicy::Resend | RetryPolicy::ResendAfterProbe { .. } => true,
            RetryPolicy::Never | RetryPolicy::LongPoll { .. } => false,
        }
    }
}

/// Reads a body as long as some of it comes.
async fn read_body(mut body: Limited<Incoming>) -> Result<Bytes, CallError> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(BODY_SILENT, body.frame()).await;
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

fn timed_out() -> CallError {
    CallError::NoAnswer("timed out".to_string())
}

fn text_of(f: CallError) -> String {
    match f {
        CallError::NotSent(text) | CallError::NoAnswer(text) => text,
    }
}
