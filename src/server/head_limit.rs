use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that are read before the head of a response is complete, informational
/// heads included.
const MAX_HEAD_BYTES: usize = 128 * 1024;
const UNLIMITED: usize = usize::MAX;

/// Limits what a connection reads while a response's head is awaited.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit {
    remaining_bytes: Arc<AtomicUsize>,
}

impl HeadLimit {
    pub(crate) fn new() -> Self {
        Self {
            remaining_bytes: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }

    /// Starts to limit: a request is sent.
    pub(crate) fn on_request(&self) {
        self.remaining_bytes.store(MAX_HEAD_BYTES, Ordering::SeqCst);
    }

    /// Ends the limit: the head is complete.
    pub(crate) fn on_head(&self) {
        self.remaining_bytes.store(UNLIMITED, Ordering::SeqCst);
    }

    fn on_read(&self, count: usize) -> io::Result<()> {
        let take = |remaining: usize| match remaining {
            UNLIMITED => Some(UNLIMITED),
            limited => limited.checked_sub(count),
        };
        let order = Ordering::SeqCst;
        match self.remaining_bytes.fetch_update(order, order, take) {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("the head exceeds {MAX_HEAD_BYTES} bytes"),
            )),
        }
    }
}

/// A connection that fails once its [`HeadLimit`] is exceeded.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.on_read(buffer.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
