//! Reads the bodies of requests, up to a size limit.
//!
//! The rest of a body that is too large is read and discarded for a while before the request is refused.
//! A response that is sent while the caller still writes would close the connection with unread bytes,
//! which resets it before the caller has read the response.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use workswood_core::code::Code;

use crate::HEADER_TIMEOUT;

/// Maximum number of bytes that are discarded before a refusal; must exceed the limit of any buffered
/// body.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;
/// Longest time for which bytes are discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest wait for the next bytes of a body, so that a silent caller does not hold its connection
/// forever. There is no limit on the time for a whole body.
pub const BODY_IDLE_TIMEOUT: Duration = HEADER_TIMEOUT;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The caller sent nothing for [`BODY_IDLE_TIMEOUT`].
    IdleTimeout,
}

impl BodyError {
    /// Numbered code for the caller.
    pub fn code(self) -> Code {
        match self {
            BodyError::TooLarge | BodyError::Broken => Code::BodyTooLarge,
            BodyError::IdleTimeout => Code::BodySilent,
        }
    }
}

/// Reads a whole body of at most `max_bytes` bytes. If an error is returned, hyper closes the connection
/// after the response, because the body was not read to its end.
pub async fn read_body<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = next_frame(&mut body, buf.len()).await? {
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > max_bytes {
            discard_rest(body).await;
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Waits for the next frame of a body, of which `received` bytes were read before.
async fn next_frame<B>(body: &mut B, received: usize) -> Result<Option<Frame<Bytes>>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    match tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
        Ok(frame) => frame.transpose().map_err(|_| BodyError::Broken),
        Err(_) => {
            log::info!(
                "event=body_cut reason=silent limit_ms={} bytes={received} code={}",
                BODY_IDLE_TIMEOUT.as_millis(),
                Code::BodySilent.number()
            );
            Err(BodyError::IdleTimeout)
        }
    }
}

/// Reads and discards the rest of a body, up to [`MAX_DISCARDED_BYTES`] and [`DISCARD_TIMEOUT`].
async fn discard_rest<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut remaining = MAX_DISCARDED_BYTES;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > remaining {
                return;
            }
            remaining -= len;
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, rest).await.is_err() {
        log::info!("event=body_cut reason=too_large limit_ms={}", DISCARD_TIMEOUT.as_millis());
    }
}
