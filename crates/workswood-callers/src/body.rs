//! Reading the body of a request, up to a limit.
//!
//! A body that is too large is read on and thrown away for a while before it
//! is refused: an answer that is sent while the caller still writes closes the
//! connection with bytes unread, and the caller is cut off before it sees why.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use workswood_core::code::Code;

use crate::HEADER_TIMEOUT;

/// Most bytes that are thrown away before a refusal; several times the largest
/// body that any route takes whole.
const MOST_DISCARDED: usize = 32 * 1024 * 1024;
/// Longest time that is spent on throwing bytes away.
const DISCARD_FOR: Duration = Duration::from_millis(1000);

/// Longest time without any byte of a body: as long as for the head of a request. The
/// connection of a caller that went silent would else be held for ever. A body that comes
/// slowly, but comes, may take as long as it needs.
pub const BODY_SILENCE: Duration = HEADER_TIMEOUT;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes than the limit.
    TooLarge,
    /// The caller broke off.
    Broken,
    /// The caller sent nothing for [`BODY_SILENCE`].
    Silent,
}

impl BodyError {
    /// The code that the caller is told.
    pub fn code(self) -> Code {
        match self {
            BodyError::TooLarge | BodyError::Broken => Code::BodyTooLarge,
            BodyError::Silent => Code::BodySilent,
        }
    }
}

/// Reads a whole body of at most `most` bytes. One that is not read to its end has its
/// connection closed after the answer.
pub async fn read_body<B>(mut body: B, most: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = next(&mut body, buf.len()).await? {
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > most {
            discard(body).await;
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// The next part of a body; `have` bytes came before.
async fn next<B>(body: &mut B, have: usize) -> Result<Option<Frame<Bytes>>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    match tokio::time::timeout(BODY_SILENCE, body.frame()).await {
        Ok(frame) => frame.transpose().map_err(|_| BodyError::Broken),
        Err(_) => {
            log::info!(
                "event=body_cut reason=silent limit_ms={} bytes={have} code={}",
                BODY_SILENCE.as_millis(),
                Code::BodySilent.number()
            );
            Err(BodyError::Silent)
        }
    }
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
