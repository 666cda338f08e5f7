//! Reads the bodies of requests, up to a size limit and within the memory of the listener.
//!
//! The rest of a body that is refused is read and discarded for a while before the request is refused.
//! A response that is sent while the caller still writes would close the connection with unread bytes,
//! which resets it before the caller has read the response. Bodies that are announced far too large are
//! refused without that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Frame};
use tokio::time::Instant;
use workswood_core::code::Code;

use crate::HEADER_TIMEOUT;
use crate::connection_table::{Connection, Full};
use crate::held_bytes::HeldBytes;
use crate::losses::Loss;

/// Maximum number of bytes of a body that are discarded before a refusal, by a listener with limits and by one without.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
const MAX_DISCARDED_WITHOUT_LIMITS: usize = 32 * 1024 * 1024;
/// Sizes of the blocks in which a body is kept while it comes.
const MIN_BLOCK_BYTES: usize = 512;
const MAX_BLOCK_BYTES: usize = 16 * 1024;
/// Longest time for which bytes are discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest wait for the next bytes of a body, so that a silent caller does not hold its connection
/// forever.
pub const BODY_IDLE_TIMEOUT: Duration = HEADER_TIMEOUT;
/// Least mean rate of the body of a request to a listener with limits, in bytes per second, and the time
/// that each body has beside it.
pub const LEAST_BODY_RATE: u32 = 4096;
/// See [`LEAST_BODY_RATE`].
pub const BODY_RATE_GRACE: Duration = Duration::from_secs(10);
/// How often a body looks whether connections that are being closed have given their memory back.
const MAX_YIELDS: usize = 64;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The caller sent nothing for [`BODY_IDLE_TIMEOUT`].
    IdleTimeout,
    /// The caller sent less than [`LEAST_BODY_RATE`].
    TooSlow,
    /// Bodies and connections of callers hold all the memory that they may.
    NoMemory,
}

impl BodyError {
    /// Numbered code for the caller.
    pub fn code(self) -> Code {
        match self {
            BodyError::TooLarge | BodyError::Broken => Code::BodyTooLarge,
            BodyError::IdleTimeout | BodyError::TooSlow => Code::BodySilent,
            BodyError::NoMemory => Code::TooManyBodies,
        }
    }

    fn loss(self) -> Loss {
        match self {
            BodyError::TooLarge => Loss::BodyTooLarge,
            BodyError::Broken => Loss::BodyBroken,
            BodyError::IdleTimeout => Loss::BodySilent,
            BodyError::TooSlow => Loss::BodySlow,
            BodyError::NoMemory => Loss::BodyRefused,
        }
    }
}

/// A body that is counted as held by its connection while it is read. It is kept in blocks, since buffers
/// of all sizes that grow leave gaps in the memory of the process.
struct Buffer {
    blocks: Vec<Vec<u8>>,
    len: usize,
    held: HeldBytes,
    connection: Option<Arc<Connection>>,
}

impl Buffer {
    /// Appends bytes; a body of the announced size gets no more memory than that.
    async fn append(&mut self, mut data: &[u8], announced: usize) -> Result<(), Full> {
        while !data.is_empty() {
            let free = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
            if free == 0 {
                let size = self.len.max(data.len()).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
                let size = size.min(announced.max(self.len + data.len()) - self.len);
                self.take(size).await?;
                self.blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (now, rest) = data.split_at(free.min(data.len()));
            self.blocks.iter_mut().last().into_iter().for_each(|block| block.extend_from_slice(now));
            self.len += now.len();
            data = rest;
        }
        Ok(())
    }

    async fn take(&mut self, bytes: usize) -> Result<(), Full> {
        let Some(connection) = &self.connection else { return Ok(()) };
        self.held.join(connection.take(bytes)?);
        for _ in 0..MAX_YIELDS {
            if !connection.waits_for_room() {
                return Ok(());
            }
            tokio::task::yield_now().await;
        }
        Err(Full)
    }

    /// The body with the memory that it holds.
    fn finish(mut self) -> (Bytes, HeldBytes) {
        let held = std::mem::take(&mut self.held);
        if let Some(connection) = &self.connection {
            connection.hand_on(held.len());
        }
        let mut blocks = std::mem::take(&mut self.blocks);
        let whole = if blocks.len() == 1 { blocks.remove(0) } else { blocks.concat() };
        (Bytes::from(whole), held)
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.hand_on(self.held.len());
        }
    }
}

/// Reads a whole body of at most `max_bytes` bytes, at whatever rate it comes. If an error is returned,
/// hyper closes the connection after the response, because the body was not read to its end.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    read(body, max_bytes, None).await.map(|(bytes, _)| bytes)
}

/// Reads the whole body of a request like [`read_body`], within the limits of the listener that it came
/// to. The memory that the body holds is given back when the second value is dropped.
pub async fn read_request<B>(req: Request<B>, max_bytes: usize) -> Result<(Bytes, HeldBytes), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let (mut parts, body) = req.into_parts();
    let connection = parts.extensions.remove::<Arc<Connection>>();
    drop(parts);
    if let Some(c) = &connection {
        c.begin_body();
    }
    let read = read(body, max_bytes, connection.clone()).await;
    let Some(c) = connection else { return read };
    if !c.end_body() {
        return Err(BodyError::NoMemory);
    }
    read.inspect_err(|e| c.table().count(e.loss()))
}

async fn read<B>(
    mut body: B,
    max_bytes: usize,
    connection: Option<Arc<Connection>>,
) -> Result<(Bytes, HeldBytes), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let least = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if least > max_bytes {
        if least <= max_bytes.saturating_add(max_discarded(connection.as_deref())) {
            discard_rest(body, connection.as_deref()).await;
        }
        return Err(BodyError::TooLarge);
    }
    let announced = body.size_hint().exact().map_or(max_bytes, |n| max_bytes.min(n as usize));
    let begun = connection.as_ref().map(|_| Instant::now());
    let mut buf = Buffer { blocks: Vec::new(), len: 0, held: HeldBytes::default(), connection };
    let error = loop {
        let deadline = begun.map(|at| at + longest_time(buf.len));
        let data = match next_frame(&mut body, deadline).await {
            Ok(Some(frame)) => frame.into_data().unwrap_or_default(),
            Ok(None) => return Ok(buf.finish()),
            Err(e) => return Err(e),
        };
        if buf.len + data.len() > max_bytes {
            break BodyError::TooLarge;
        }
        if buf.append(&data, announced).await.is_err() {
            break BodyError::NoMemory;
        }
    };
    let connection = buf.connection.clone();
    drop(buf);
    discard_rest(body, connection.as_deref()).await;
    Err(error)
}

/// The time in which so many bytes of a body, and one more, must have come.
pub fn longest_time(bytes: usize) -> Duration {
    BODY_RATE_GRACE + Duration::from_secs(bytes as u64) / LEAST_BODY_RATE
}

/// Waits for the next frame of a body, until `deadline` at most.
async fn next_frame<B>(body: &mut B, deadline: Option<Instant>) -> Result<Option<Frame<Bytes>>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let idle = Instant::now() + BODY_IDLE_TIMEOUT;
    let too_slow = deadline.filter(|deadline| *deadline < idle);
    match tokio::time::timeout_at(too_slow.unwrap_or(idle), body.frame()).await {
        Ok(frame) => frame.transpose().map_err(|_| BodyError::Broken),
        Err(_) if too_slow.is_some() => Err(BodyError::TooSlow),
        Err(_) => Err(BodyError::IdleTimeout),
    }
}

/// Number of bytes that are discarded of a body that came over a connection of a listener with limits, or without.
fn max_discarded(connection: Option<&Connection>) -> usize {
    match connection {
        Some(_) => MAX_DISCARDED_BYTES,
        None => MAX_DISCARDED_WITHOUT_LIMITS,
    }
}

/// Reads and discards the rest of a body, up to [`max_discarded`] and [`DISCARD_TIMEOUT`], unless too many
/// others do.
async fn discard_rest<B>(mut body: B, connection: Option<&Connection>)
where
    B: Body<Data = Bytes> + Unpin,
{
    let permit = connection.map(|c| c.table().begin_discard());
    if let Some(None) = permit {
        return;
    }
    let mut remaining = max_discarded(connection);
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > remaining {
                return;
            }
            remaining -= len;
        }
    };
    // The request is refused whether all was discarded or not.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}
