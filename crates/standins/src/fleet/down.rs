use std::{io, net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// What callers notice of a sampler that is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WhenDown {
    /// Its connections close, and new ones are refused.
    #[default]
    Refuses,
    /// Its connections stay open and new ones are accepted, but it answers nothing
    /// for as long as it is listed.
    Hangs,
    /// Its connections stay open and it answers nothing for as long as it is listed,
    /// also to new connections.
    Unreachable,
}

/// The number of connections that wait to be accepted before further ones get no
/// answer.
const ACCEPT_QUEUE_LENGTH: u32 = 128;
/// The time without an answer to a new connection from which the queue counts as
/// full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);

/// Binds a port with a short queue of connections to accept.
///
/// # Errors
///
/// Returns the error of binding the port.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}

/// Opens connections until the kernel answers no more of them.
pub(super) async fn fill_accept_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    loop {
        let connect = TcpStream::connect(address);
        match tokio::time::timeout(QUEUE_FULL_TIMEOUT, connect).await {
            Ok(Ok(stream)) => waiting.push(stream),
            Ok(Err(_)) | Err(_) => return waiting,
        }
    }
}
