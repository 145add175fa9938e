//! Serves HTTP connections.
//!
//! poem's own server continues a request after the caller has closed the
//! connection. Here, the request's future is dropped instead, which tells the
//! daemon that the caller no longer waits for the response.

use std::{convert::Infallible, io, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use poem::{
    Endpoint, IntoResponse,
    http::uri::Scheme,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

type ResponseBody = BoxBody<Bytes, io::Error>;

const ACCEPT_RETRY_DELAY_MS: u64 = 100;

/// What happens to a request when its caller closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OnDisconnect {
    /// The request's future is dropped.
    Cancel,
    /// The request runs to completion, as configuration changes must.
    Finish,
}

/// Serves connections until `close` becomes true, then completes the running
/// requests.
///
/// Dropping the future closes every connection at once.
pub(crate) async fn serve<E>(
    listener: TcpListener,
    endpoint: Arc<E>,
    on_disconnect: OnDisconnect,
    mut close: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    let mut connections = JoinSet::new();
    let connection_close = close.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (endpoint, close) = (endpoint.clone(), connection_close.clone());
                    connections.spawn(serve_connection(stream, endpoint, on_disconnect, close));
                }
                // For instance too many open files: retried, as other connections
                // may be closed meanwhile.
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
            },
            Some(_) = connections.join_next() => {}
            () = wait_for_close(&mut close) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn wait_for_close(close: &mut watch::Receiver<bool>) {
    // An error means that the daemon was dropped, which also closes connections.
    let _ = close.wait_for(|close| *close).await;
}

async fn serve_connection<E>(
    stream: TcpStream,
    endpoint: Arc<E>,
    on_disconnect: OnDisconnect,
    mut close: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    // Otherwise Nagle's algorithm delays a small response until the peer has
    // acknowledged earlier data.
    let _ = stream.set_nodelay(true);
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
        return;
    };
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (local, remote) = (LocalAddr(local.into()), RemoteAddr(remote.into()));
        let request = poem::Request::from((request, local, remote, Scheme::HTTP));
        let endpoint = endpoint.clone();
        let exchange = async move { endpoint.get_response(request).await.into_response() };
        async move {
            let response = match on_disconnect {
                OnDisconnect::Cancel => exchange.await,
                // An error means that the task panicked, which the panic hook has
                // reported.
                OnDisconnect::Finish => tokio::spawn(exchange).await.unwrap_or_default(),
            };
            Ok::<hyper::Response<ResponseBody>, Infallible>(response.into())
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // Errors are ignored: the caller closed the connection.
        _ = connection.as_mut() => return,
        () = wait_for_close(&mut close) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
