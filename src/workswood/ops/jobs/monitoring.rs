//! Small listeners: whether callers may be sent here, and metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::Response;
use tokio::net::TcpListener;
use tokio::sync::watch;
use workswood_callers::{ReplyBody, full_body};

use super::node::Node;

/// A process that has not heard of the store for this long sends callers to
/// others: two reads and their slack.
const STORE_SILENT: Duration = Duration::from_millis(2500);

/// Whether callers may be sent here.
pub fn is_ready(node: &Node) -> bool {
    !node.is_stopping() && node.config.load().is_some() && node.store_silence() < STORE_SILENT
}

/// Answers the balancer for ever.
pub async fn readiness(listener: TcpListener, node: Arc<Node>) {
    let ready = |node: &Node| {
        let status = if is_ready(node) { 200 } else { 503 };
        response(status, Bytes::new())
    };
    serve(listener, node, ready).await;
}

/// Serves metrics for ever, whatever the path.
pub async fn metrics(listener: TcpListener, node: Arc<Node>) {
    serve(listener, node, |node| response(200, node.metrics_text().into())).await;
}

fn response(status: u16, body: Bytes) -> Response<ReplyBody> {
    let res = Response::builder().status(status).body(full_body(body));
    res.unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
}

async fn serve(listener: TcpListener, node: Arc<Node>, answer: fn(&Node) -> Response<ReplyBody>) {
    let (_keep, never) = watch::channel(false);
    let handler: workswood_callers::Handler = Arc::new(move |_| {
        let node = node.clone();
        async move { answer(&node) }.boxed()
    });
    workswood_callers::serve(listener, handler, never).await;
}
