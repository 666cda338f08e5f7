//! Bodies that are too large are read on before they are refused; those that stop before
//! their end are given up.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::{Frame, Incoming};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use workswood_callers::{BODY_IDLE_TIMEOUT, BodyError, Handler, full_body, read_body, refusal};
use workswood_core::code::{Code, ExecutionStatus};

#[tokio::test]
async fn rest_is_taken() {
    let taken = Arc::new(AtomicUsize::new(0));
    let seen = taken.clone();
    let frames = stream::iter(0..40).map(move |_| {
        seen.fetch_add(1, Ordering::Relaxed);
        Ok::<_, Infallible>(Frame::data(Bytes::from_static(&[0; 1024])))
    });
    let read = read_body(StreamBody::new(frames), 10 * 1024).await;
    assert_eq!(read, Err(BodyError::TooLarge));
    assert_eq!(taken.load(Ordering::Relaxed), 40, "the caller may finish before it is answered");
}

#[tokio::test]
async fn whole_body_read() {
    let frames = stream::iter(0..4).map(|_| Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"abcd"))));
    let read = read_body(StreamBody::new(frames), 16).await;
    assert_eq!(read.as_deref(), Ok(&b"abcdabcdabcdabcd"[..]));
}

#[tokio::test(start_paused = true)]
async fn silent_body_given_up() {
    let begun = Instant::now();
    let first = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"ab")))]);
    let read = read_body(StreamBody::new(first.chain(stream::pending())), 16).await;
    assert_eq!(read, Err(BodyError::IdleTimeout));
    assert_eq!(begun.elapsed(), BODY_IDLE_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn steady_body_read() {
    let pause = BODY_IDLE_TIMEOUT - Duration::from_millis(10);
    let frames = stream::iter(0..20).then(|_| async move {
        tokio::time::sleep(pause).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"a")))
    });
    let read = read_body(StreamBody::new(Box::pin(frames)), 20).await;
    assert_eq!(read.map(|b| b.len()), Ok(20));
}

/// A handler that tells of the first byte of each body and then reads the whole.
fn reader(begun: mpsc::UnboundedSender<()>) -> Handler {
    Arc::new(move |req: Request<Incoming>| {
        let begun = begun.clone();
        let body = req.into_body().map_frame(move |f| {
            // Nobody may wait for it any more.
            let _ = begun.send(());
            f
        });
        async move {
            match read_body(body, 1024).await {
                Ok(b) => hyper::Response::new(full_body(b)),
                Err(e) => refusal(e.code(), ExecutionStatus::NotRun, None),
            }
        }
        .boxed()
    })
}

#[tokio::test]
async fn silent_caller_cut_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (begun, mut reads) = mpsc::unbounded_channel();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(workswood_callers::serve(listener, reader(begun), stopped));
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nfour";
    caller.write_all(part).await.expect("bytes are taken");
    reads.recv().await.expect("the body is read");
    // All that was sent has arrived: from here on, only time passes.
    tokio::time::pause();
    let paused = Instant::now();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("the connection is closed after the answer");
    assert!(paused.elapsed() <= BODY_IDLE_TIMEOUT + Duration::from_millis(10), "{:?}", paused.elapsed());
    let code = format!("x-workswood-code: {}\r\n", Code::BodySilent.number());
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains(&code) && answer.contains("x-workswood-ran: not-run\r\n"), "{answer}");
}
