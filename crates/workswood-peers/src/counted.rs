//! A connection that counts the bytes that come.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection; bytes that come are counted before they make a whole message.
pub(crate) struct Counted {
    stream: TcpStream,
    read: Arc<AtomicU64>,
}

impl Counted {
    /// A connection, and the count of bytes that have come on it.
    pub(crate) fn new(stream: TcpStream) -> (Counted, Arc<AtomicU64>) {
        let read = Arc::new(AtomicU64::new(0));
        (Counted { stream, read: read.clone() }, read)
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        res
    }
}

impl AsyncWrite for Counted {
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
