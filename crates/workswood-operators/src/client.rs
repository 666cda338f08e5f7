//! HTTP client of the listener for operators, used by the commands.

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

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The entry host did not answer.
    #[snafu(display("no answer from {address}: {text}; try another entry host"))]
    NoAnswer {
        /// Address of the entry host.
        address: String,
        /// Description of the failure.
        text: String,
    },
    /// The entry host refused the call.
    #[snafu(display("{text}"))]
    Refused {
        /// Text of the response.
        text: String,
    },
    /// The answer is not valid JSON of the expected type.
    #[snafu(display("the answer of {address} can't be parsed"))]
    InvalidAnswer {
        /// Address of the entry host.
        address: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// Client of the listener for operators of one entry host.
pub struct OperatorClient {
    address: String,
    token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl OperatorClient {
    /// Creates a client for an address of the form `IP:PORT`, with the operators' token.
    pub fn new(address: &str, token: &str) -> OperatorClient {
        let client = Client::builder(TokioExecutor::new()).build_http();
        OperatorClient { address: address.to_string(), token: token.to_string(), client }
    }

    /// Applies a fleet file.
    pub async fn apply(&self, req: &ApplyRequest) -> Result<ApplyReply, ClientError> {
        let body = serde_json::to_vec(req).unwrap_or_default();
        self.call_json(Method::POST, "/v1/apply", body).await
    }

    /// Returns the status of the entry host.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.call_json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Returns the metrics in the Prometheus text format.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let text = self.call(Method::GET, "/metrics", Vec::new()).await?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let answer = self.call(method, path, body).await?;
        serde_json::from_slice(&answer).context(InvalidAnswerSnafu { address: &self.address })
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Bytes, ClientError> {
        let no_answer = |text: String| ClientError::NoAnswer { address: self.address.clone(), text };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| no_answer(e.to_string()))?;
        let exchange = async {
            let res = self.client.request(req).await.map_err(|e| no_answer(e.to_string()))?;
            let status = res.status();
            let body = res.into_body().collect().await.map_err(|e| no_answer(e.to_string()))?.to_bytes();
            if status.is_success() {
                return Ok(body);
            }
            Err(ClientError::Refused { text: String::from_utf8_lossy(&body).trim().to_string() })
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        result.unwrap_or_else(|_| Err(no_answer("timed out".to_string())))
    }
}
