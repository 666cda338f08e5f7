//! The platform over HTTP.

use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use workswood_core::ids::Offset;
use workswood_core::plan::{Act, Seen};
use workswood_http::{Call, CallError, HttpClient, PoolLimits, Response, RetryPolicy};
use workswood_liveness::HalfOpenDetector;
use workswood_traffic::Traffic;

use crate::{CALL_TIMEOUT, Error, GarbledSnafu, Platform, ReadReply};

/// Bounds of connections to the platform.
const LIMITS: PoolLimits = PoolLimits {
    // A dead port refuses at once; a cut link says nothing. Half of a call's time, so that
    // the call ends by saying that nothing was sent.
    connect_timeout: Duration::from_millis(500),
    // Longer than any gap between reads of the log.
    idle_timeout: Duration::from_secs(30),
    // One each for the reads of the log, its appends, and the planner's lists and acts.
    max_idle_per_address: 3,
};
/// Largest answer that is read. A read of the log brings 512 records of about 1 MiB at
/// most, and as text within JSON they are up to twice as long.
const MOST_BYTES: usize = 1024 * 1024 * 1024;

/// Client of a platform that speaks JSON over HTTP/1.1.
pub struct HttpPlatform {
    address: String,
    http: HttpClient,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpPlatform {
    /// A client of the platform at an IP address and port.
    pub fn new(address: &str) -> HttpPlatform {
        HttpPlatform::with_half_open_detector(address, HalfOpenDetector::default())
    }

    /// A client that shares what is found out of connections with the process's other
    /// clients.
    pub fn with_half_open_detector(address: &str, half_open: HalfOpenDetector) -> HttpPlatform {
        let http = HttpClient::new(LIMITS, MOST_BYTES, half_open, Traffic::default());
        HttpPlatform { address: address.to_string(), http }
    }

    /// Reads something; a read may be done twice.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, String::new(), RetryPolicy::Resend).await
    }

    /// Has something done. It is sent once: the log takes a copy of a record as another
    /// record, and a copy of an act may be refused because the act was done.
    async fn post<T: DeserializeOwned>(&self, path: &str, body: String) -> Result<T, Error> {
        self.call(Method::POST, path, body, RetryPolicy::Never).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
        retry: RetryPolicy,
    ) -> Result<T, Error> {
        let body = Bytes::from(body);
        let call =
            Call { method, address: &self.address, path, headers: &[], body, retry, purpose: "platform" };
        let answer = self.http.call(&call, CALL_TIMEOUT).await.map_err(|f| self.failed(f))?;
        read(&answer)
    }

    fn failed(&self, f: CallError) -> Error {
        match f {
            CallError::NotSent(text) => {
                log::debug!("event=platform_unreachable address={} error={text:?}", self.address);
                Error::Unreachable { address: self.address.clone() }
            }
            CallError::NoAnswer(text) => Error::NoAnswer { text },
        }
    }
}

/// What an answer says.
fn read<T: DeserializeOwned>(a: &Response) -> Result<T, Error> {
    if a.status.is_success() {
        return serde_json::from_slice(&a.body).context(GarbledSnafu);
    }
    // What was sent first may have had its effect although the copy is refused.
    if a.status.is_server_error() || a.retried {
        return Err(Error::NoAnswer { text: a.status.to_string() });
    }
    let text = String::from_utf8_lossy(&a.body).into_owned();
    Err(Error::Refused { status: a.status.as_u16(), text })
}

impl Platform for HttpPlatform {
    fn append(&self, body: String) -> BoxFuture<'_, Result<Offset, Error>> {
        async move {
            let a: Appended = self.post("/log", body).await?;
            Ok(a.offset)
        }
        .boxed()
    }

    fn read(&self, from: Offset, max: usize) -> BoxFuture<'_, Result<ReadReply, Error>> {
        async move { self.get(&format!("/log?from={from}&max={max}")).await }.boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Seen, Error>> {
        async move { self.get("/hosts").await }.boxed()
    }

    fn act(&self, act: &Act) -> BoxFuture<'_, Result<(), Error>> {
        let body = serde_json::to_string(act).unwrap_or_default();
        async move {
            let _: serde_json::Value = self.post("/acts", body).await?;
            Ok(())
        }
        .boxed()
    }
}
