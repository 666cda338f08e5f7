//! The stand-in of a worker that crashed does nothing more, not even over a connection that is still open.

use std::sync::Arc;
use std::time::Duration;

use workswood_adapter_standin::{Ledger, OpenConnection, WorkerStandin};

const WORKER: &str = "i-0-1";
const TASK: &str = "1.0.0.0";
/// Time in which a start that is carried out shows.
const SHOWS_WITHIN: Duration = Duration::from_millis(200);

#[tokio::test]
async fn start_over_an_open_connection() {
    let ledger: Arc<Ledger> = Arc::default();
    let worker = WorkerStandin::start_with_ledger(WORKER, Duration::from_secs(1), ledger.clone()).await;
    let mut open = OpenConnection::to(worker.address, WORKER).await.expect("a connection");
    open.poll().await.expect("an answer");
    drop(worker);
    open.start(TASK, SHOWS_WITHIN).await.expect("an open connection");
    assert!(!ledger.is_running(TASK), "the start was carried out");
}
