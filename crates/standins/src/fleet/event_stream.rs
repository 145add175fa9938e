use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};

use super::{AnswerFault, sampler::Shared};
use crate::http::Answer;

/// Counts a stream as active until it is dropped.
struct ActiveStreamGuard(Arc<Shared>);

impl Drop for ActiveStreamGuard {
    fn drop(&mut self) {
        self.0.active_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns an answer with the events after one, or with those of an invalid answer.
pub(super) fn event_stream(
    shared: Arc<Shared>,
    id: &str,
    after: u64,
    fault: Option<AnswerFault>,
) -> Answer {
    shared.active_streams.fetch_add(1, Ordering::Relaxed);
    let settings = shared.settings;
    // The faulty event of an invalid stream is the second one of this run.
    let faulty_event = after + 2;
    let state = (ActiveStreamGuard(shared), id.to_owned(), after);
    let frames = stream::unfold(state, move |(guard, id, last)| async move {
        if last >= settings.events {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(settings.event_ms)).await;
        guard.0.continue_if_up().await;
        let number = last + 1;
        if fault == Some(AnswerFault::Gap) && number == faulty_event {
            return Some((Ok(Frame::data(Bytes::new())), (guard, id, number)));
        }
        let padding = "x".repeat(settings.padding_bytes);
        let event = format!("id: {number}\ndata: {id} event {number}{padding}\n\n");
        if fault == Some(AnswerFault::Cut) && number > faulty_event {
            let broken = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(broken), (guard, id, settings.events)));
        }
        let text = match fault {
            Some(AnswerFault::Duplicated) if number == faulty_event => event.repeat(2),
            Some(AnswerFault::Cut) if number == faulty_event => event[..event.len() / 2].to_owned(),
            _ => event,
        };
        let frame = Frame::data(Bytes::from(text.into_bytes()));
        Some((Ok(frame), (guard, id, number)))
    });
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}
