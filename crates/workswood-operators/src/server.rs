//! HTTP server of the listener for operators.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};
use workswood_core::code::Code;

use crate::{ApplyReply, ApplyRequest, Status};

/// Maximum size of the body of an apply request, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Timeout of an apply request, in addition to the wait that the request asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Operations that an entry host offers to operators.
pub trait OperatorApi: Send + Sync + 'static {
    /// Applies a fleet file.
    fn apply(self: Arc<Self>, req: ApplyRequest) -> BoxFuture<'static, ApplyReply>;
    /// Returns the status of the entry host.
    fn status(&self) -> Status;
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Serves operators on a listener until the returned future is dropped.
pub async fn serve<O: OperatorApi>(listener: TcpListener, token: String, ops: Arc<O>) {
    let token = Arc::new(token);
    let with_ops = {
        let ops = ops.clone();
        warp::any().map(move || ops.clone())
    };
    let allowed = warp::header::optional::<String>("authorization").map(move |h: Option<String>| {
        let token_given = h.as_deref().and_then(|h| h.strip_prefix("Bearer ")).unwrap_or_default();
        bool::from(token_given.as_bytes().ct_eq(token.as_bytes()))
    });
    let apply = warp::post()
        .and(warp::path!("v1" / "apply"))
        .and(allowed.clone())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .and(with_ops.clone())
        .then(apply);
    let status =
        warp::get().and(warp::path!("v1" / "status")).and(allowed.clone()).and(with_ops.clone()).map(
            |allowed: bool, ops: Arc<O>| if allowed { json(&ops.status()) } else { refused(Code::BadToken) },
        );
    let metrics = warp::get().and(warp::path!("metrics")).and(allowed).and(with_ops).map(
        |allowed: bool, ops: Arc<O>| {
            if allowed { ops.metrics().into_response() } else { refused(Code::BadToken) }
        },
    );
    let routes = apply.or(status).unify().or(metrics).unify();
    warp::serve(routes).incoming(listener).run().await;
}

/// Answers an apply request.
async fn apply<O: OperatorApi>(allowed: bool, body: bytes::Bytes, ops: Arc<O>) -> Response {
    if !allowed {
        return refused(Code::BadToken);
    }
    let Ok(req) = serde_json::from_slice::<ApplyRequest>(&body) else {
        return refused(Code::BadRequest);
    };
    let limit = CALL_TIMEOUT + Duration::from_millis(req.wait_ms);
    let reply = tokio::time::timeout(limit, ops.apply(req)).await;
    json(&reply.unwrap_or(ApplyReply::Unknown { code: Code::ApplyUnknown }))
}

fn json<T: serde::Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

/// Response to a call that was refused before it was carried out.
fn refused(code: Code) -> Response {
    let status = match code {
        Code::BadToken => StatusCode::UNAUTHORIZED,
        _ => StatusCode::BAD_REQUEST,
    };
    let text = format!("error {}: {}; {}\n", code.number(), code.text(), code.advice());
    warp::reply::with_status(text, status).into_response()
}
