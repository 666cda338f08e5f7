//! A TCP stream that counts the bytes read from it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that counts bytes as they are read, also those of an incomplete frame.
pub(crate) struct CountingStream {
    stream: TcpStream,
    bytes_read: Arc<AtomicU64>,
}

impl CountingStream {
    /// Wraps a stream; also returns the shared count of the bytes read from it.
    pub(crate) fn new(stream: TcpStream) -> (CountingStream, Arc<AtomicU64>) {
        let bytes_read = Arc::new(AtomicU64::new(0));
        (CountingStream { stream, bytes_read: bytes_read.clone() }, bytes_read)
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.bytes_read.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        res
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
