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

    fn is_active(&self) -> bool {
        self.remaining_bytes.load(Ordering::SeqCst) != UNLIMITED
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

/// Finds the end of a response's head in the bytes of a connection, since the start of
/// the body may be read together with it.
#[derive(Debug, Default)]
struct HeadScanner {
    /// The start of the status line, as far as its code.
    status_line: Vec<u8>,
    is_after_status_line: bool,
    line_bytes: usize,
}

/// The length of a status line as far as its code: `HTTP/1.1 200`.
const STATUS_CODE_END: usize = 12;
/// The position of the first digit of the code.
const STATUS_CODE_START: usize = 9;

impl HeadScanner {
    /// Returns how many of the next bytes belong to the head, and whether it ends there.
    fn scan(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, byte) in bytes.iter().enumerate() {
            if self.push(*byte) {
                return (index + 1, true);
            }
        }
        (bytes.len(), false)
    }

    /// Takes the next byte; returns whether it ends the last head, after which no other
    /// follows.
    fn push(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => return false,
            b'\n' => {}
            byte => {
                self.line_bytes += 1;
                if !self.is_after_status_line && self.status_line.len() < STATUS_CODE_END {
                    self.status_line.push(byte);
                }
                return false;
            }
        }
        let is_empty_line = std::mem::take(&mut self.line_bytes) == 0;
        if !is_empty_line {
            self.is_after_status_line = true;
            return false;
        }
        if !self.is_after_status_line {
            return false;
        }
        let is_informational = self.status_line.get(STATUS_CODE_START) == Some(&b'1')
            && !self.status_line.ends_with(b"101");
        *self = Self::default();
        !is_informational
    }
}

/// A connection that fails once its [`HeadLimit`] is exceeded.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
    scanner: HeadScanner,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self {
            stream,
            limit,
            scanner: HeadScanner::default(),
        }
    }

    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.limit.is_active() {
            self.scanner = HeadScanner::default();
            return Ok(());
        }
        let (head_bytes, is_complete) = self.scanner.scan(bytes);
        self.limit.on_read(head_bytes)?;
        if is_complete {
            self.limit.on_head();
        }
        Ok(())
    }
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
            Poll::Ready(Ok(())) => Poll::Ready(self.on_read(&buffer.filled()[before..])),
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
