//! Reading and writing of HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a message and its body.
#[derive(Debug, Clone)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        let value = self.header("connection").unwrap_or_default();
        value.eq_ignore_ascii_case("close")
    }
}

/// A connection and the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads the next message; `None` where the connection ends before it begins.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(place) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break place + 4;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            line,
            headers,
            body: Vec::new(),
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.read_bytes(length)?;
        }
        Ok(Some(message))
    }

    fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(place) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..place + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..place]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_bytes(size)?);
            self.read_bytes(2)?;
        }
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a response with a JSON body.
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        ))
    }
}

/// Decodes the percent-encoding of a query's value.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
