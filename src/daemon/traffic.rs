use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body, Incoming},
};
use prometheus_client::metrics::{counter::Counter, family::Family};
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

const LINE_END_LEN: usize = "\r\n".len();
const SEPARATOR_LEN: usize = ": ".len();
const STATUS_LINE_LEN: usize = "HTTP/1.1 200 OK\r\n".len();
const REQUEST_LINE_FIXED_LEN: usize = "  HTTP/1.1\r\n".len();
const CONTENT_LENGTH_FIXED_LEN: usize = "content-length: \r\n".len();
/// The length of the head of a daemon's response to a peer, without the digits of
/// the content length.
const PEER_RESPONSE_HEAD_LEN: usize = "HTTP/1.1 200 OK\r\ncontent-type: application/msgpack\r\n\
    content-length: \r\ndate: Thu, 03 Dec 2026 20:42:14 GMT\r\n\r\n"
    .len();
/// The length of the head of a peer's request, without the path and the digits of
/// the content length.
const PEER_REQUEST_HEAD_LEN: usize = "POST  HTTP/1.1\r\ncontent-type: application/msgpack\r\n\
    host: 127.0.0.1:40000\r\ncontent-length: \r\n\r\n"
    .len();

/// The purpose of an exchange.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TrafficRole {
    Membership,
    EndpointWatch,
    Configuration,
    Table,
    List,
    Object,
    Other,
}

impl TrafficRole {
    fn of(path: &str) -> Self {
        const PREFIXES: [(&str, TrafficRole); 6] = [
            ("/peer/config", TrafficRole::Configuration),
            ("/peer/", TrafficRole::Membership),
            ("/load", TrafficRole::EndpointWatch),
            ("/operator/", TrafficRole::Configuration),
            ("/table/", TrafficRole::Table),
            ("/objects/", TrafficRole::Object),
        ];
        if path == "/vms" {
            return Self::List;
        }
        PREFIXES
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix))
            .map_or(Self::Other, |(_, role)| *role)
    }
}

/// Counters of bytes by role.
pub(crate) type RoleBytes = Family<Vec<(&'static str, &'static str)>, Counter>;

/// Counts the HTTP messages and bytes, including heads, sent and received for
/// control.
///
/// The overhead of TCP and IP is not counted, as it is not visible to the
/// process.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    messages: Counter,
    bytes: Counter,
    role_bytes: RoleBytes,
}

impl Traffic {
    pub(crate) fn new(messages: Counter, bytes: Counter, role_bytes: RoleBytes) -> Self {
        for role in TrafficRole::iter() {
            role_bytes
                .get_or_create(&vec![("role", role.into())])
                .inc_by(0);
        }
        Self {
            messages,
            bytes,
            role_bytes,
        }
    }

    pub(crate) fn on_request_sent(&self, address: SocketAddr, request: &Request<Full<Bytes>>) {
        let body_len = request.body().size_hint().exact().unwrap_or_default();
        let body_len = usize::try_from(body_len).unwrap_or(usize::MAX);
        let host_len = "host: ".len() + address.to_string().len() + LINE_END_LEN;
        let line_len =
            request.method().as_str().len() + request.uri().path().len() + REQUEST_LINE_FIXED_LEN;
        let content_length_len = if body_len == 0 {
            0
        } else {
            CONTENT_LENGTH_FIXED_LEN + digit_count(body_len)
        };
        let head_len = line_len
            + host_len
            + content_length_len
            + headers_len(request.headers())
            + LINE_END_LEN;
        self.count(request.uri().path(), head_len + body_len);
    }

    pub(crate) fn on_response_received(&self, path: &str, len: usize) {
        self.count(path, len);
    }

    pub(crate) fn on_request_received(&self, path: &str, body_len: usize) {
        self.count(
            path,
            PEER_REQUEST_HEAD_LEN + path.len() + digit_count(body_len) + body_len,
        );
    }

    pub(crate) fn on_response_sent(&self, path: &str, body_len: usize) {
        self.count(
            path,
            PEER_RESPONSE_HEAD_LEN + digit_count(body_len) + body_len,
        );
    }

    fn count(&self, path: &str, len: usize) {
        let role: &str = TrafficRole::of(path).into();
        self.messages.inc();
        self.bytes.inc_by(len as u64);
        self.role_bytes
            .get_or_create(&vec![("role", role)])
            .inc_by(len as u64);
    }
}

/// Returns the length of a response's head in bytes.
pub(crate) fn response_head_len(response: &Response<Incoming>) -> usize {
    STATUS_LINE_LEN + headers_len(response.headers()) + LINE_END_LEN
}

fn headers_len(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + SEPARATOR_LEN + value.len() + LINE_END_LEN)
        .sum()
}

fn digit_count(number: usize) -> usize {
    number.checked_ilog10().unwrap_or_default() as usize + 1
}
