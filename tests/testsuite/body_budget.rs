//! Memory that bodies of requests hold together, and which one goes for another.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::{Full as FullBody, StreamBody};
use hyper::Request;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, advance};
use workswood_callers::{
    BODY_RATE_GRACE, BodyError, Connection, ConnectionTable, Full, HeldBytes, LEAST_BODY_RATE, Limits, Loss,
    longest_time, read_request,
};

const MAX_BYTES: usize = 80_000;
/// Limit of one body.
const MAX_BODY: usize = 20_000;

fn table() -> Arc<ConnectionTable> {
    ConnectionTable::new(Limits { max_connections: 100, max_bytes: MAX_BYTES, max_discards: 1 })
}

async fn pass(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

/// A connection whose request has come but for its body.
fn connection(table: &Arc<ConnectionTable>) -> Arc<Connection> {
    let connection = table.admit().expect("the connection is admitted");
    assert!(connection.begin_request());
    connection
}

/// A connection that has sent this much of a body.
fn sender(table: &Arc<ConnectionTable>, bytes: usize) -> (Arc<Connection>, HeldBytes) {
    let connection = connection(table);
    connection.begin_body();
    let held = connection.take(bytes).expect("there is room");
    (connection, held)
}

fn request<B>(connection: &Arc<Connection>, body: B) -> Request<B> {
    let mut req = Request::new(body);
    req.extensions_mut().insert(connection.clone());
    req
}

fn frames(bytes: usize, count: usize) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin {
    stream::iter(0..count).map(move |_| Ok(Frame::data(Bytes::from(vec![b' '; bytes]))))
}

/// A body that announces its size and sends nothing.
struct Announced(u64);

impl Body for Announced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        std::task::Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0)
    }
}

#[tokio::test(start_paused = true)]
async fn costliest_body_goes_first() {
    let table = table();
    let (small, _a) = sender(&table, 100);
    let (large, _b) = sender(&table, 39_000);
    pass(500).await;
    let (recent, _c) = sender(&table, 40_000);
    pass(1).await;
    let (_newcomer, _d) = sender(&table, 5_000);
    assert!(large.is_closing() && !small.is_closing() && !recent.is_closing());
    assert_eq!(table.losses().total(Loss::BodyClosed), 1);
}

#[tokio::test(start_paused = true)]
async fn ordinary_body_finds_room() {
    let table = table();
    let _crowd: Vec<_> = (0..20).map(|_| sender(&table, 20_000)).collect();
    pass(100).await;
    let ordinary = connection(&table);
    ordinary.begin_body();
    assert!(ordinary.take(2_000).is_ok());
}

#[tokio::test(start_paused = true)]
async fn whole_bodies_stay() {
    let table = table();
    let held: Vec<_> = (0..4).map(|_| sender(&table, 20_000)).collect();
    assert!(held.iter().all(|(connection, _)| connection.end_body()));
    let late = connection(&table);
    late.begin_body();
    assert_eq!(late.take(1).map(|held| held.len()), Err(Full));
    assert_eq!(table.held(), MAX_BYTES);
}

#[tokio::test(start_paused = true)]
async fn single_body_always_fits() {
    let table = table();
    let (_connection, held) = sender(&table, 2 * MAX_BYTES);
    assert_eq!(held.len(), 2 * MAX_BYTES);
}

#[tokio::test(start_paused = true)]
async fn refused_body_told_to_retry() {
    let table = table();
    let held: Vec<_> = (0..4).map(|_| sender(&table, 20_000)).collect();
    assert!(held.iter().all(|(connection, _)| connection.end_body()));
    let late = connection(&table);
    let read = read_request(request(&late, StreamBody::new(frames(100, 3))), MAX_BODY).await;
    let error = read.map(|(b, _)| b).expect_err("there is no room");
    assert_eq!((error, workswood_callers::status_of(error.code())), (BodyError::NoMemory, 503));
    assert_eq!((table.held(), table.losses().total(Loss::BodyRefused)), (MAX_BYTES, 1));
}

#[tokio::test(start_paused = true)]
async fn bytes_held_until_handed_on() {
    let table = table();
    let sends = connection(&table);
    let body = StreamBody::new(frames(1000, 10));
    let (bytes, mut held) = read_request(request(&sends, body), MAX_BODY).await.expect("the body is read");
    assert_eq!(bytes.len(), 10_000);
    assert!(table.held() >= 10_000 && table.held() == held.len(), "{}", table.held());
    drop(sends);
    held.resize(300);
    assert_eq!(table.held(), 300);
    drop(held);
    assert_eq!(table.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn announced_body_takes_only_what_comes() {
    let table = table();
    let sends = connection(&table);
    let read = read_request(request(&sends, Announced(MAX_BODY as u64)), MAX_BODY);
    let waited = tokio::time::timeout(Duration::from_secs(1), read).await;
    assert!(waited.is_err() && table.held() == 0);
}

#[tokio::test(start_paused = true)]
async fn buffer_no_larger_than_announced() {
    let table = table();
    let sends = connection(&table);
    let body = FullBody::new(Bytes::from(vec![b' '; 7_000]));
    let (_bytes, held) = read_request(request(&sends, body), MAX_BODY).await.expect("the body is read");
    assert_eq!(held.len(), 7_000);
}

#[tokio::test(start_paused = true)]
async fn dropped_body_gives_back() {
    let table = table();
    let sends = connection(&table);
    let body = StreamBody::new(frames(1000, 3).chain(stream::pending()));
    let read = read_request(request(&sends, body), MAX_BODY);
    assert!(tokio::time::timeout(Duration::from_secs(1), read).await.is_err());
    drop(sends);
    assert_eq!((table.held(), table.open()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn huge_announcement_refused_unread() {
    let table = table();
    let sends = connection(&table);
    let begun = Instant::now();
    let read = read_request(request(&sends, Announced(10_000_000_000)), MAX_BODY).await;
    assert_eq!(read.map(|(b, _)| b), Err(BodyError::TooLarge));
    assert_eq!(begun.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn discards_are_bounded() {
    let table = table();
    let (first, second) = (connection(&table), connection(&table));
    let too_large = || StreamBody::new(frames(MAX_BODY + 1, 1).chain(stream::pending()));
    let begun = Instant::now();
    let both = tokio::join!(read_request(request(&first, too_large()), MAX_BODY), async {
        let read = read_request(request(&second, too_large()), MAX_BODY).await;
        (read, begun.elapsed())
    });
    assert!(both.0.is_err() && both.1.0.is_err());
    assert_eq!(both.1.1, Duration::ZERO, "the second is refused at once");
    assert!(begun.elapsed() > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn slow_body_cut_off() {
    let table = table();
    let sends = connection(&table);
    let pause = Duration::from_secs(2);
    let slow = frames(1, MAX_BODY).then(move |f| async move {
        tokio::time::sleep(pause).await;
        f
    });
    let begun = Instant::now();
    let read = read_request(request(&sends, StreamBody::new(Box::pin(slow))), MAX_BODY).await;
    assert_eq!(read.map(|(b, _)| b), Err(BodyError::TooSlow));
    assert!(begun.elapsed() <= BODY_RATE_GRACE + Duration::from_millis(10), "{:?}", begun.elapsed());
    assert_eq!(table.losses().total(Loss::BodySlow), 1);
}

#[test]
fn time_grows_with_what_has_come() {
    assert_eq!(longest_time(0), BODY_RATE_GRACE);
    let rate = LEAST_BODY_RATE as usize;
    assert_eq!(longest_time(64 * rate), BODY_RATE_GRACE + Duration::from_secs(64));
}

#[tokio::test(start_paused = true)]
async fn buffers_count() {
    let table = table();
    let idle = table.admit().expect("the connection is admitted");
    idle.note_buffers(8_192);
    idle.note_buffers(16_384);
    idle.note_buffers(8_192);
    assert_eq!(table.held(), 16_384);
    drop(idle);
    assert_eq!(table.held(), 0);
}
