//! The client of a platform over HTTP.

use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use workswood_core::ids::Offset;
use workswood_core::plan::{HostAction, ObservedFleet};
use workswood_http::{Call, CallError, CopyOutcome, HttpClient, PoolLimits, Response, RetryPolicy};
use workswood_liveness::HalfOpenDetector;
use workswood_traffic::Traffic;

use crate::{CALL_TIMEOUT, Error, GarbledSnafu, Platform, ReadReply};

/// Limits of the connections to the platform.
const LIMITS: PoolLimits = PoolLimits {
    // Shorter than the timeout of a call, so that a call over a network that drops packets
    // fails with `NotSent`.
    connect_timeout: Duration::from_millis(500),
    // Longer than any gap between reads of the log.
    idle_timeout: Duration::from_secs(30),
    // One each for reads of the log, appends to it, and the lists and acts of the planner.
    max_idle_per_address: 3,
};
/// Largest body of a response. A read of the log returns up to 512 records of about 1 MiB,
/// and JSON escapes may double their length.
const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// Client of a platform that speaks JSON over HTTP/1.1.
pub struct HttpPlatform {
    address: String,
    http: HttpClient,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: Offset,
}

impl HttpPlatform {
    /// Creates a client of the platform at an IP address and port.
    pub fn new(address: &str) -> HttpPlatform {
        HttpPlatform::with_half_open_detector(address, HalfOpenDetector::default())
    }

    /// Creates a client that shares a detector of half-open connections with the other
    /// clients of the process.
    pub fn with_half_open_detector(address: &str, half_open: HalfOpenDetector) -> HttpPlatform {
        let http = HttpClient::new(LIMITS, MAX_BODY_BYTES, half_open, Traffic::default());
        HttpPlatform { address: address.to_string(), http }
    }

    /// Reads a resource. The request may be sent twice.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, String::new(), RetryPolicy::Resend).await
    }

    /// Changes something. The request is sent once: the log would store a second copy of a
    /// record, and the second copy of an act may be refused because the act is done already.
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
        let response = self.http.call(&call, CALL_TIMEOUT).await.map_err(|e| self.call_failed(e))?;
        decode(&response)
    }

    fn call_failed(&self, e: CallError) -> Error {
        match e {
            CallError::NotSent(text) => {
                log::debug!("event=platform_unreachable address={} error={text:?}", self.address);
                Error::Unreachable { address: self.address.clone() }
            }
            CallError::NoAnswer(text) => Error::NoAnswer { text },
        }
    }
}

/// Decodes a response, or returns why the call failed.
fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    if response.status.is_success() {
        return serde_json::from_slice(&response.body).context(GarbledSnafu);
    }
    // If one request was refused, the other one may still have taken effect.
    if response.status.is_server_error() || response.outcome() != CopyOutcome::NotDone {
        return Err(Error::NoAnswer { text: response.status.to_string() });
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    Err(Error::Refused { status: response.status.as_u16(), text })
}

impl Platform for HttpPlatform {
    fn append(&self, body: String) -> BoxFuture<'_, Result<Offset, Error>> {
        async move {
            let reply: AppendReply = self.post("/log", body).await?;
            Ok(reply.offset)
        }
        .boxed()
    }

    fn read(&self, from: Offset, max: usize) -> BoxFuture<'_, Result<ReadReply, Error>> {
        async move { self.get(&format!("/log?from={from}&max={max}")).await }.boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<ObservedFleet, Error>> {
        async move { self.get("/hosts").await }.boxed()
    }

    fn act(&self, act: &HostAction) -> BoxFuture<'_, Result<(), Error>> {
        let body = serde_json::to_string(act).unwrap_or_default();
        async move {
            let _: serde_json::Value = self.post("/acts", body).await?;
            Ok(())
        }
        .boxed()
    }
}
