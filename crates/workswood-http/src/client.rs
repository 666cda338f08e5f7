//! Calls whose answers are held whole.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderName};
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;
use workswood_liveness::HalfOpen;

use crate::attempt::Attempt;
use crate::pool::{Limits, Pool};

/// A header of a call: name in lower case, and value.
pub type Header = (&'static str, String);

/// Whether a call may be done twice, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// It is sent once.
    #[default]
    Never,
    /// If its answer is late, or its connection becomes suspect, the same is sent
    /// over a new connection.
    Same,
    /// Likewise. The call may wait for its answer; what is sent again is a request for
    /// an answer at once.
    Waits {
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
    pub repeat: Repeat,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
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
}

/// How the first attempt at a call went.
enum First {
    Ended(Result<Answer, Failure>),
    /// Its answer is late.
    Late,
    /// Its connection has become suspect.
    Suspected,
}

impl HttpClient {
    /// A client without connections that reads answers up to a size. What it finds
    /// out of connections is shared with others.
    pub fn new(limits: Limits, most_bytes: usize, half_open: HalfOpen) -> HttpClient {
        HttpClient { pool: Pool::new(limits, half_open), most_bytes }
    }

    /// Makes a call. A connection whose answer did not come in time is closed.
    pub async fn call(&self, call: &Call<'_>, timeout: Duration) -> Result<Answer, Failure> {
        let until = Instant::now() + timeout;
        let first = self.pool.attempt(call.address, call.waits());
        let may_repeat = call.repeat != Repeat::Never;
        let patient_until = if may_repeat { until.min(first.late_at()) } else { until };
        let req = request(call, call.path, &call.body)?;
        let begun = Instant::now();
        let mut exchange = pin!(self.exchange(&first, req));
        let end = tokio::select! {
            res = &mut exchange => First::Ended(res),
            () = first.suspected() => First::Suspected,
            () = tokio::time::sleep_until(patient_until) => First::Late,
        };
        match end {
            First::Ended(Ok(answer)) => {
                if call.is_quick() {
                    first.took(begun.elapsed());
                }
                first.answered();
                Ok(answer)
            }
            First::Ended(Err(Failure::NoAnswer(_))) if may_repeat => {
                first.abandon();
                self.again(call, until).await
            }
            First::Ended(Err(e)) => {
                first.abandon();
                Err(e)
            }
            First::Suspected => {
                first.abandon();
                if may_repeat {
                    return self.again(call, until).await;
                }
                Err(Failure::NoAnswer("the connection went silent".to_string()))
            }
            First::Late if may_repeat => {
                first.doubt();
                let mut again = pin!(self.again(call, until));
                let (first_ended, res) = tokio::select! {
                    res = &mut again => (false, res),
                    res = &mut exchange => (true, res),
                };
                match (first_ended, res) {
                    (true, Ok(answer)) => {
                        first.answered();
                        Ok(answer)
                    }
                    (true, Err(_)) => {
                        first.abandon();
                        again.await
                    }
                    (false, res) => {
                        first.abandon();
                        res
                    }
                }
            }
            // Dropped without an end, the attempt counts as unanswered.
            First::Late => Err(timed_out()),
        }
    }

    /// Sends what may be done twice over a connection that is not suspect.
    async fn again(&self, call: &Call<'_>, until: Instant) -> Result<Answer, Failure> {
        let (path, body) = match &call.repeat {
            Repeat::Waits { path, body, .. } => (path.as_str(), body),
            Repeat::Same | Repeat::Never => (call.path, &call.body),
        };
        let second = self.pool.attempt(call.address, Duration::ZERO);
        let req = request(call, path, body)?;
        let res = tokio::time::timeout_at(until, self.exchange(&second, req)).await;
        match res {
            Ok(Ok(answer)) => {
                second.answered();
                Ok(answer)
            }
            Ok(Err(e)) => {
                second.abandon();
                // What was sent first may have arrived.
                Err(Failure::NoAnswer(text_of(e)))
            }
            Err(_) => Err(timed_out()),
        }
    }

    async fn exchange(
        &self,
        attempt: &Attempt<Full<Bytes>>,
        req: Request<Full<Bytes>>,
    ) -> Result<Answer, Failure> {
        let res = attempt.send(req).await.map_err(|e| {
            if e.is_connect() { Failure::NotSent(e.to_string()) } else { Failure::NoAnswer(e.to_string()) }
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), self.most_bytes).collect().await;
        let body = body.map_err(|e| Failure::NoAnswer(e.to_string()))?.to_bytes();
        Ok(Answer { status, body })
    }
}

impl Call<'_> {
    /// How long its answer may wait for something to happen.
    fn waits(&self) -> Duration {
        match &self.repeat {
            Repeat::Never | Repeat::Same => Duration::ZERO,
            Repeat::Waits { wait, .. } => *wait,
        }
    }

    /// Whether the time that its answer takes is the peer's own.
    fn is_quick(&self) -> bool {
        self.repeat == Repeat::Same
    }
}

fn request(call: &Call<'_>, path: &str, body: &Bytes) -> Result<Request<Full<Bytes>>, Failure> {
    let uri = format!("http://{}{path}", call.address);
    let mut req = Request::builder().method(call.method.clone()).uri(uri);
    if !body.is_empty() {
        req = req.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in call.headers {
        req = req.header(HeaderName::from_static(name), value);
    }
    req.body(Full::new(body.clone())).map_err(|e| Failure::NotSent(e.to_string()))
}

fn timed_out() -> Failure {
    Failure::NoAnswer("timed out".to_string())
}

fn text_of(f: Failure) -> String {
    match f {
        Failure::NotSent(text) | Failure::NoAnswer(text) => text,
    }
}
