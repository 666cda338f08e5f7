//! Bodies that are too large are read on before they are refused.

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use workswood_callers::{BodyError, read_body};

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
