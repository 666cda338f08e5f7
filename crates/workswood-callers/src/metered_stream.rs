//! A connection that counts the memory of the buffer into which it is read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::MAX_HEADER_BYTES;
use crate::connection_table::Connection;

/// A TCP connection of a caller.
pub(crate) struct MeteredStream {
    stream: TokioIo<TcpStream>,
    connection: Arc<Connection>,
    /// Size of the buffer as it was last counted.
    counted: usize,
    /// Number of requests that were answered when bytes of a head last came.
    head_after: Option<u64>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> MeteredStream {
        MeteredStream { stream: TokioIo::new(stream), connection, counted: 0, head_after: None }
    }

    /// Counts the buffer into which bytes are read, of which `room` is free. That of a head that did not
    /// come at once is counted as large as it may get.
    fn count_buffer(&mut self, room: usize) {
        let head_unfinished =
            self.connection.is_waiting() && self.head_after == Some(self.connection.served());
        let size = if head_unfinished { room.max(MAX_HEADER_BYTES) } else { room };
        if size > self.counted {
            self.counted = size;
            // Bytes of a body that wait to be taken keep one buffer while another one is read into.
            self.connection.note_buffers(2 * size);
        }
    }
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.count_buffer(buf.remaining());
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && self.connection.is_waiting() {
            self.head_after = Some(self.connection.served());
        }
        polled
    }
}

impl Write for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
