//! Listeners for the load balancer's readiness checks and for metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::Response;
use tokio::net::TcpListener;
use tokio::sync::watch;
use workswood_callers::{ConnectionTable, ReplyBody, full_body};

use super::node::Node;

/// Maximum silence of the store at which a process is ready.
/// That is two reads and their slack.
const READY_MAX_STORE_SILENCE: Duration = Duration::from_millis(2500);

/// Whether the load balancer may send callers to this process.
pub fn is_ready(node: &Node) -> bool {
    !node.is_stopping() && node.config.load().is_some() && node.store_silence() < READY_MAX_STORE_SILENCE
}

/// Serves readiness checks of the load balancer until the task is aborted.
pub async fn serve_readiness(listener: TcpListener, node: Arc<Node>) {
    let respond = |node: &Node| {
        let status = if is_ready(node) { 200 } else { 503 };
        response(status, Bytes::new())
    };
    serve(listener, node, respond).await;
}

/// Serves metrics, whatever the path, until the task is aborted.
pub async fn serve_metrics(listener: TcpListener, node: Arc<Node>) {
    serve(listener, node, |node| response(200, node.metrics_text().into())).await;
}

fn response(status: u16, body: Bytes) -> Response<ReplyBody> {
    let res = Response::builder().status(status).body(full_body(body));
    res.unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
}

async fn serve(listener: TcpListener, node: Arc<Node>, respond: fn(&Node) -> Response<ReplyBody>) {
    // The listener would stop if the sender were dropped.
    let (_stop, stopped) = watch::channel(false);
    let connections = ConnectionTable::new(node.settings.probe_limits());
    let handler: workswood_callers::Handler = Arc::new(move |_| {
        let node = node.clone();
        async move { respond(&node) }.boxed()
    });
    workswood_callers::serve_within(connections, listener, handler, stopped).await;
}
