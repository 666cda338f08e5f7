//! The stand-in of a worker that crashed does nothing more, not even over a connection that is still open.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use workswood_adapter_standin::{Ledger, WorkerStandin};

const WORKER: &str = "i-0-1";
/// Time in which a start that is carried out shows.
const SHOWS_WITHIN: Duration = Duration::from_millis(200);

async fn send(to: &mut TcpStream, path: &str, body: &Value) {
    let body = body.to_string();
    let head = format!("POST {path} HTTP/1.1\r\nhost: w\r\nx-target-instance: {WORKER}\r\n");
    let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    to.write_all(text.as_bytes()).await.expect("a connection");
}

#[tokio::test]
async fn start_over_an_open_connection() {
    let ledger: Arc<Ledger> = Arc::default();
    let worker = WorkerStandin::start_with_ledger(WORKER, Duration::from_secs(1), ledger.clone()).await;
    let mut open = TcpStream::connect(worker.address).await.expect("a connection");
    send(&mut open, "/workswood/hold", &json!({"fencing_token": 1})).await;
    let _ = open.read(&mut [0; 1024]).await.expect("an answer");
    drop(worker);
    let start = json!({"task": "1.0.0.0", "attempt": 1, "fencing_token": 1, "deadline_ms": 60_000});
    send(&mut open, "/workswood/run-start", &start).await;
    let _ = tokio::time::timeout(SHOWS_WITHIN, open.read(&mut [0; 1024])).await;
    assert!(!ledger.is_running("1.0.0.0"), "the start was carried out");
}
