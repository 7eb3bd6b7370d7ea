use std::io::{Error, ErrorKind};

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Longest head or body that is read.
const MAX_BYTES: usize = 1024 * 1024;

/// An HTTP/1.1 message, as it came over a connection.
#[derive(Debug, Default)]
pub(super) struct Message {
    pub(super) first_line: String,
    /// Names, in lower case, and values.
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|header| header.0 == name);
        values.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 where there is none.
    pub(super) fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn parse_head(head: &str) -> Self {
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Self {
            first_line,
            headers: headers.collect(),
            body: Vec::new(),
        }
    }
}

/// Reads messages from a connection.
pub(super) struct MessageReader {
    stream: OwnedReadHalf,
    /// Bytes read and not yet used.
    buffer: Vec<u8>,
}

impl MessageReader {
    pub(super) fn new(stream: OwnedReadHalf) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    /// Returns whether bytes have arrived that no message has used.
    pub(super) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the other side has closed the connection; bytes that have arrived are kept.
    pub(super) fn is_closed(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Waits until the other side has closed the connection.
    pub(super) async fn wait_for_close(&mut self) {
        match self.stream.peek(&mut [0; 1]).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }

    /// Reads a message, or returns `None` where the connection ends before its first byte.
    pub(super) async fn read(&mut self) -> Result<Option<Message>, Error> {
        let head_end = loop {
            let end = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            match end {
                Some(end) => break end,
                None if self.buffer.len() > MAX_BYTES => return Err(Error::other("head too long")),
                None => match self.fill().await {
                    Ok(()) => {}
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof && self.buffer.is_empty() => {
                        return Ok(None);
                    }
                    Err(e) => return Err(e),
                },
            }
        };
        let head = self.take(head_end + 4);
        let mut message = Message::parse_head(String::from_utf8_lossy(&head).trim_end());
        if message.get("transfer-encoding") == Some("chunked") {
            message.body = self.read_chunks().await?;
        } else {
            let length = message.get("content-length").unwrap_or("0");
            let length = length.parse().map_err(|_| Error::other("bad length"))?;
            message.body = self.read_bytes(length).await?;
        }
        Ok(Some(message))
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                match self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill().await?,
                }
            };
            let line = self.take(line_end + 2);
            let size = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| Error::other("bad chunk"))?;
            body.extend(self.read_bytes(size).await?);
            self.read_bytes(2).await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_bytes(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        if length > MAX_BYTES {
            return Err(Error::other("body too long"));
        }
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.take(length))
    }

    async fn fill(&mut self) -> Result<(), Error> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }
}

/// Builds a body of a length, by which the request that it belongs to and its end can be told.
pub(super) fn build_body(id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{id} {length} ").into_bytes();
    let end = format!(" {id}");
    body.resize(length.saturating_sub(end.len()).max(body.len()), b'x');
    body.extend(end.as_bytes());
    body
}

/// Returns whether a body is whole and was built for a request.
pub(super) fn is_whole_body(id: &str, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let length = text
        .split(' ')
        .nth(1)
        .and_then(|length| length.parse().ok());
    length.is_some_and(|length| build_body(id, length) == body)
}
