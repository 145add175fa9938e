//! HTTP/1.1 by hand, so that a stand-in decides about each byte.

use std::{collections::BTreeMap, io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A connection with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The headers, with their names in lower case.
    pub headers: BTreeMap<String, String>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    /// Uses an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of writing.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 65_536];
        let count = self.stream.read(&mut buffer).await?;
        self.unread.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; returns `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of reading.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.unread.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    headers: headers.collect(),
                }));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly `count` bytes; returns `None` if the connection ends before.
    ///
    /// # Errors
    ///
    /// Returns the error of reading.
    pub async fn read_exact(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.unread.len() < count {
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.unread.drain(..count).collect()))
    }

    async fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a request, which has a length or none.
    ///
    /// # Errors
    ///
    /// Returns the error of reading.
    pub async fn read_request_body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        let length = head.headers.get("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.read_exact(length).await
    }

    /// Reads an answer; `Ok(None)` means that the connection ended before its head.
    ///
    /// # Errors
    ///
    /// Returns the error of reading a head.
    pub async fn read_answer(&mut self) -> io::Result<Option<Answer>> {
        let Some(head) = self.read_head().await? else {
            return Ok(None);
        };
        let status = head.line.split(' ').nth(1);
        let status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
        let (body, is_complete) = self.read_answer_body(&head).await;
        Ok(Some(Answer {
            status,
            head,
            body,
            is_complete,
        }))
    }

    async fn read_answer_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        if head.headers.contains_key("transfer-encoding") {
            let mut body = Vec::new();
            loop {
                let Ok(Some(line)) = self.read_line().await else {
                    return (body, false);
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let Ok(Some(chunk)) = self.read_exact(size + 2).await else {
                    return (body, false);
                };
                if size == 0 {
                    return (body, true);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head.headers.get("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        match self.read_exact(length).await {
            Ok(Some(body)) => (body, true),
            _ => (std::mem::take(&mut self.unread), false),
        }
    }
}

impl Head {
    /// Returns a header, or an empty text.
    #[must_use]
    pub fn get(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }

    /// Returns the path of a request.
    #[must_use]
    pub fn path(&self) -> String {
        self.line.split(' ').nth(1).unwrap_or_default().to_owned()
    }
}
