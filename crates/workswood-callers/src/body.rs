//! Reading the body of a request, up to a limit.
//!
//! A body that is too large is read on and thrown away for a while before it
//! is refused: an answer that is sent while the caller still writes closes the
//! connection with bytes unread, and the caller is cut off before it sees why.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Most bytes that are thrown away before a refusal; several times the largest
/// body that any route takes whole.
const MOST_DISCARDED: usize = 32 * 1024 * 1024;
/// Longest time that is spent on throwing bytes away.
const DISCARD_FOR: Duration = Duration::from_millis(1000);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes than the limit.
    TooLarge,
    /// The caller broke off.
    Broken,
}

/// Reads a whole body of at most `most` bytes.
pub async fn read_body<B>(mut body: B, most: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > most {
            discard(body).await;
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = MOST_DISCARDED;
    let all = async {
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > left {
                return;
            }
            left -= len;
        }
    };
    // What comes later is cut off; the caller has had its time.
    if tokio::time::timeout(DISCARD_FOR, all).await.is_err() {
        log::info!("event=body_cut reason=too_large limit_ms={}", DISCARD_FOR.as_millis());
    }
}
