//! The calling side, used by `apply` and `status`.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::{ApplyReply, ApplyRequest, Status};

const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a call of an operator failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No answer came.
    #[snafu(display("no answer from {address}: {text}; try another entry host"))]
    NoAnswer {
        /// Address of the entry host.
        address: String,
        /// What went wrong.
        text: String,
    },
    /// The entry host refused the call.
    #[snafu(display("{text}"))]
    Refused {
        /// What it said.
        text: String,
    },
    /// The answer can't be read.
    #[snafu(display("the answer of {address} can't be read"))]
    Garbled {
        /// Address of the entry host.
        address: String,
        /// The reason.
        source: serde_json::Error,
    },
}

/// Client of one entry host's listener for operators.
pub struct OperatorClient {
    address: String,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl OperatorClient {
    /// A client of an IP address and port.
    pub fn new(address: &str, token: &str) -> OperatorClient {
        let client = Client::builder(TokioExecutor::new()).build_http();
        OperatorClient { address: address.to_string(), token: token.to_string(), client }
    }

    /// Applies a change.
    pub async fn apply(&self, req: &ApplyRequest) -> Result<ApplyReply, ClientError> {
        let body = serde_json::to_vec(req).unwrap_or_default();
        self.json(Method::POST, "/v1/apply", body).await
    }

    /// Asks for the status.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Asks for the metrics.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let b = self.call(Method::GET, "/metrics", Vec::new()).await?;
        Ok(String::from_utf8_lossy(&b).into_owned())
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let b = self.call(method, path, body).await?;
        serde_json::from_slice(&b).context(GarbledSnafu { address: &self.address })
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Bytes, ClientError> {
        let lost = |text: String| ClientError::NoAnswer { address: self.address.clone(), text };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| lost(e.to_string()))?;
        let exchange = async {
            let res = self.client.request(req).await.map_err(|e| lost(e.to_string()))?;
            let status = res.status();
            let b = res.into_body().collect().await.map_err(|e| lost(e.to_string()))?.to_bytes();
            if status.is_success() {
                return Ok(b);
            }
            Err(ClientError::Refused { text: String::from_utf8_lossy(&b).trim().to_string() })
        };
        let done = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        done.unwrap_or_else(|_| Err(lost("timed out".to_string())))
    }
}
