//! An HTTP server whose connections can all be closed at once, which simulates
//! a crash.

use std::{convert::Infallible, io, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, task::JoinSet};

/// The body of an answer from a stand-in.
pub type AnswerBody = BoxBody<Bytes, io::Error>;
/// An answer from a stand-in.
pub type Answer = Response<AnswerBody>;

/// Binds a loopback port that the kernel chooses.
///
/// # Errors
///
/// Returns the error of binding the port or of reading its address.
pub async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves requests until the future is dropped, which closes all connections.
///
/// Each request carries the address of its sender, which tells connections apart, as an
/// extension.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                // Without this, a small answer waits for the peer's acknowledgement.
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                let service = service_fn(move |mut request: Request<Incoming>| {
                    request.extensions_mut().insert(peer);
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                connections.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Reads the body of a request as JSON.
///
/// # Errors
///
/// Returns an answer with status 400 if the body cannot be read or parsed.
pub async fn read_json<T>(request: Request<Incoming>) -> Result<T, Answer>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| status_answer(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an answer with status 400 if the body is incomplete.
pub async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Answer> {
    let body = request.into_body().collect().await;
    let body = body.map_err(|error| status_answer(StatusCode::BAD_REQUEST, &error.to_string()))?;
    Ok(body.to_bytes())
}

/// Returns an answer with a JSON body.
pub fn json_answer<T>(value: &T) -> Answer
where
    T: Serialize,
{
    bytes_answer(serde_json::to_vec(value).unwrap_or_default().into())
}

/// Returns an answer with a body of bytes.
#[must_use]
pub fn bytes_answer(body: Bytes) -> Answer {
    Response::new(Full::new(body).map_err(|never| match never {}).boxed())
}

/// Returns an answer with a status and a line of text.
#[must_use]
pub fn status_answer(status: StatusCode, message: &str) -> Answer {
    let mut answer = bytes_answer(message.to_owned().into());
    *answer.status_mut() = status;
    answer
}
