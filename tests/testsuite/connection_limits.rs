//! How many connections a listener takes, and which one goes for another.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::advance;
use workswood_callers::{Connection, ConnectionTable, LOSS_LOG_INTERVAL, Limits, Loss, Losses};

/// Memory enough for what these tests do.
const MAX_BYTES: usize = 1 << 20;

const MB: u64 = 1_000_000;

fn table(max_connections: usize) -> Arc<ConnectionTable> {
    ConnectionTable::new(Limits { max_connections, max_bytes: MAX_BYTES, max_discards: 1 })
}

fn admit(table: &Arc<ConnectionTable>) -> Arc<Connection> {
    table.admit().expect("the connection is admitted")
}

async fn pass(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

/// Serves a request on a connection.
fn serve(connection: &Connection) {
    assert!(connection.begin_request());
    connection.end_request();
}

#[tokio::test(start_paused = true)]
async fn longest_idle_goes_first() {
    let table = table(2);
    let (first, second) = (admit(&table), admit(&table));
    serve(&first);
    pass(10).await;
    serve(&second);
    pass(10).await;
    serve(&first);
    let _third = admit(&table);
    assert!(second.is_closing() && !first.is_closing());
    assert_eq!(table.losses().total(Loss::IdleClosed), 1);
}

#[tokio::test(start_paused = true)]
async fn unfinished_head_goes_before_idle() {
    let table = table(2);
    let served = admit(&table);
    serve(&served);
    pass(10).await;
    let silent = admit(&table);
    pass(1000).await;
    let _third = admit(&table);
    assert!(silent.is_closing() && !served.is_closing());
}

#[tokio::test(start_paused = true)]
async fn newcomer_has_time_for_its_request() {
    let table = table(2);
    let served = admit(&table);
    serve(&served);
    pass(1000).await;
    let newcomer = admit(&table);
    pass(10).await;
    let _third = admit(&table);
    assert!(served.is_closing() && !newcomer.is_closing());
}

#[tokio::test(start_paused = true)]
async fn handled_request_stays() {
    let table = table(1);
    let busy = admit(&table);
    assert!(busy.begin_request());
    pass(60_000).await;
    assert!(table.admit().is_none(), "the newcomer is closed instead");
    assert!(!busy.is_closing());
    assert_eq!(table.losses().total(Loss::NotAccepted), 1);
}

#[tokio::test(start_paused = true)]
async fn unfinished_body_goes_last() {
    let table = table(2);
    let (sends, idle) = (admit(&table), admit(&table));
    assert!(sends.begin_request());
    sends.begin_body();
    let _held = sends.take(1000).expect("there is room");
    pass(1000).await;
    serve(&idle);
    let _third = admit(&table);
    assert!(idle.is_closing() && !sends.is_closing());
    let mut third = vec![_third];
    assert!(third[0].begin_request());
    third.push(admit(&table));
    assert!(sends.is_closing() && !third[0].is_closing());
    assert_eq!(table.losses().total(Loss::BodyClosed), 1);
}

#[tokio::test(start_paused = true)]
async fn closing_connection_takes_no_request() {
    let table = table(1);
    let first = admit(&table);
    let _second = admit(&table);
    assert!(first.is_closing() && !first.begin_request());
}

#[tokio::test(start_paused = true)]
async fn ended_connection_makes_room() {
    let table = table(1);
    let first = admit(&table);
    assert!(first.begin_request());
    drop(first);
    assert_eq!(table.open(), 0);
    let _second = admit(&table);
    assert_eq!(table.losses().total(Loss::IdleClosed), 0);
}

#[test]
fn limits_follow_from_the_host() {
    for (memory_mb, max_fds) in [(64, 240), (64, 1000), (260, 4100), (4000, 65_536)] {
        let callers = Limits::for_callers(memory_mb, max_fds);
        let probes = Limits::for_probes(max_fds);
        let own = 2 * probes.max_connections + callers.max_connections;
        assert!(callers.max_connections > 0 && probes.max_connections > 0);
        assert!((own + 200) as u64 * 8 <= max_fds * 8 - (max_fds - 200) * 2, "{callers:?} {probes:?}");
        let unread = callers.max_connections as u64 * u64::from(2 * callers.receive_buffer());
        assert!(unread * 10 <= memory_mb * MB * 3, "{callers:?}");
        assert!(callers.max_bytes as u64 * 3 <= memory_mb * MB, "{callers:?}");
    }
}

#[test]
fn one_log_line_an_interval() {
    let losses = Losses::default();
    let lines: Vec<u64> =
        (0..3000).filter_map(|ms| losses.count(Loss::IdleClosed, Duration::from_millis(ms))).collect();
    assert_eq!(lines, [1, 1000, 1000]);
    assert_eq!(losses.count(Loss::BodyClosed, LOSS_LOG_INTERVAL * 3), Some(1), "each kind has its own");
    assert_eq!(losses.total(Loss::IdleClosed), 3000);
}
