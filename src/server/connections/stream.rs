use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::OpenConnection;

/// The receive buffer of a connection without a large body; the kernel takes twice as much.
const RECEIVE_BYTES: usize = 64 * 1024;
/// The receive buffer of a connection whose large body was granted memory: a small one
/// slows a body down that comes from far away.
const LARGE_RECEIVE_BYTES: usize = 256 * 1024;

/// An accepted connection that records its progress.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    is_large: bool,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<OpenConnection>) -> Self {
        let mut counted = Self {
            stream,
            connection,
            is_large: false,
        };
        counted.set_receive_bytes(RECEIVE_BYTES);
        counted
    }

    fn set_receive_bytes(&mut self, bytes: usize) {
        if let Err(error) = SockRef::from(&self.stream).set_recv_buffer_size(bytes) {
            tracing::debug!(%error, "receive buffer not set");
        }
    }

    fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        self.connection.on_write(polled.is_pending());
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_large && self.connection.is_large() {
            self.is_large = true;
            self.set_receive_bytes(LARGE_RECEIVE_BYTES);
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.connection.on_read(count);
        }
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.on_write(&polled);
        polled
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
