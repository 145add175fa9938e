//! Serving HTTP so that a crash can be played: all connections end at once.

use std::{convert::Infallible, io, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, task::JoinSet};

/// The body of an answer.
pub type AnswerBody = BoxBody<Bytes, io::Error>;
/// An answer of a stand-in.
pub type Answer = Response<AnswerBody>;

/// Binds a loopback port that the kernel chooses.
///
/// # Errors
///
/// Those of binding.
pub async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves until the future is dropped, which cuts every connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Without it a small answer waits for the other side's acknowledgement.
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                let service = service_fn(move |request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                connections.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// An answer with status 400 if the body cannot be read.
pub async fn read_json<T>(request: Request<Incoming>) -> Result<T, Answer>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| status(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Reads a whole body.
///
/// # Errors
///
/// An answer with status 400 if the body is cut.
pub async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Answer> {
    let body = request.into_body().collect().await;
    let body = body.map_err(|error| status(StatusCode::BAD_REQUEST, &error.to_string()))?;
    Ok(body.to_bytes())
}

/// Answers with JSON.
pub fn json<T>(value: &T) -> Answer
where
    T: Serialize,
{
    bytes(serde_json::to_vec(value).unwrap_or_default().into())
}

/// Answers with bytes.
#[must_use]
pub fn bytes(body: Bytes) -> Answer {
    Response::new(Full::new(body).map_err(|never| match never {}).boxed())
}

/// Answers with a status and a line of text.
#[must_use]
pub fn status(status: StatusCode, message: &str) -> Answer {
    let mut answer = bytes(message.to_owned().into());
    *answer.status_mut() = status;
    answer
}
