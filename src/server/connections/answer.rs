use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Frame, SizeHint},
};

use super::OpenConnection;
use crate::server::{http_client::ExchangeError, response::Body};

/// The body of an answer; its request counts as running until it is dropped.
struct AnswerBody {
    body: Body,
    connection: Arc<OpenConnection>,
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = ExchangeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ExchangeError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.end_run();
    }
}

/// Returns a response after which its connection counts as idle.
pub(crate) fn end_run_after(
    response: Response<Body>,
    connection: Arc<OpenConnection>,
) -> Response<Body> {
    response.map(|body| AnswerBody { body, connection }.boxed())
}
