//! The platform over HTTP.

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use workswood_core::ids::Offset;
use workswood_core::plan::{Act, Seen};

use crate::{CALL_TIMEOUT, Error, GarbledSnafu, Platform, ReadReply};

/// Client of a platform that speaks JSON over HTTP/1.1.
pub struct HttpPlatform {
    address: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpPlatform {
    /// A client of the platform at an IP address and port.
    pub fn new(address: &str) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        HttpPlatform { address: address.to_string(), client }
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: String) -> Result<T, Error> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Error::NoAnswer { text: e.to_string() })?;
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.exchange(req)).await;
        answer.unwrap_or_else(|_| Err(Error::NoAnswer { text: "timed out".to_string() }))
    }

    async fn exchange<T: DeserializeOwned>(&self, req: Request<Full<Bytes>>) -> Result<T, Error> {
        let res = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                Error::Unreachable { address: self.address.clone() }
            } else {
                Error::NoAnswer { text: e.to_string() }
            }
        })?;
        let status = res.status();
        let body = res.into_body().collect().await.map_err(|e| Error::NoAnswer { text: e.to_string() })?;
        let body = body.to_bytes();
        if status.is_server_error() {
            return Err(Error::NoAnswer { text: status.to_string() });
        }
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::Refused { status: status.as_u16(), text });
        }
        serde_json::from_slice(&body).context(GarbledSnafu)
    }
}

impl Platform for HttpPlatform {
    fn append(&self, body: String) -> BoxFuture<'_, Result<Offset, Error>> {
        async move {
            let a: Appended = self.call(Method::POST, "/log", body).await?;
            Ok(a.offset)
        }
        .boxed()
    }

    fn read(&self, from: Offset, max: usize) -> BoxFuture<'_, Result<ReadReply, Error>> {
        async move { self.call(Method::GET, &format!("/log?from={from}&max={max}"), String::new()).await }
            .boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Seen, Error>> {
        async move { self.call(Method::GET, "/hosts", String::new()).await }.boxed()
    }

    fn act(&self, act: &Act) -> BoxFuture<'_, Result<(), Error>> {
        let body = serde_json::to_string(act).unwrap_or_default();
        async move {
            let _: serde_json::Value = self.call(Method::POST, "/acts", body).await?;
            Ok(())
        }
        .boxed()
    }
}
