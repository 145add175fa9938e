//! Sends each request on a connection of its own.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1, http::response::Parts};
use tokio::net::TcpStream;

/// Sends a request on a new connection; returns `None` if the answer is not complete.
pub async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Option<(Parts, Bytes)> {
    let stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let io = TokioIo(stream);
    let (mut sender, connection) = http1::handshake(io).await.ok()?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    task.abort();
    Some((parts, body))
}

/// Lets hyper use a stream of tokio.
struct TokioIo(TcpStream);

impl hyper::rt::Read for TokioIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 16 * 1024];
        let length = bytes.len().min(buffer.remaining());
        let mut read = tokio::io::ReadBuf::new(&mut bytes[..length]);
        let polled = tokio::io::AsyncRead::poll_read(Pin::new(&mut self.0), context, &mut read);
        buffer.put_slice(read.filled());
        polled
    }
}

impl hyper::rt::Write for TokioIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        tokio::io::AsyncWrite::poll_write(Pin::new(&mut self.0), context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        tokio::io::AsyncWrite::poll_flush(Pin::new(&mut self.0), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        tokio::io::AsyncWrite::poll_shutdown(Pin::new(&mut self.0), context)
    }
}
