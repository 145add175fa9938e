//! Serving HTTP connections.
//!
//! poem's own server goes on with a request whose caller has closed the
//! connection; here the request's future is dropped, by which the daemon knows
//! that nobody waits for the answer.

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

const AFTER_FAILURE_MS: u64 = 100;

/// What becomes of a request whose caller has closed the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OnDisconnect {
    /// Its future is dropped.
    Cancel,
    /// It runs to its end, as what changes the configuration must.
    Finish,
}

/// Serves until `close` turns true, then lets every exchange end.
///
/// Dropping the future cuts every connection.
pub(crate) async fn serve<E>(
    listener: TcpListener,
    endpoint: Arc<E>,
    on_disconnect: OnDisconnect,
    mut close: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    let mut connections = JoinSet::new();
    let closing = close.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (endpoint, close) = (endpoint.clone(), closing.clone());
                    connections.spawn(serve_one(stream, endpoint, on_disconnect, close));
                }
                // Too many open files, for instance: others may close some.
                Err(_) => tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await,
            },
            Some(_) = connections.join_next() => {}
            () = closed(&mut close) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn closed(close: &mut watch::Receiver<bool>) {
    // An error means that the daemon is gone: close as well.
    let _ = close.wait_for(|close| *close).await;
}

async fn serve_one<E>(
    stream: TcpStream,
    endpoint: Arc<E>,
    on_disconnect: OnDisconnect,
    mut close: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    // Without it a small answer waits for the other side's acknowledgement.
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
                // A panic has been reported by then.
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
        // An error is a connection that was cut, which is its caller's affair.
        _ = connection.as_mut() => return,
        () = closed(&mut close) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
