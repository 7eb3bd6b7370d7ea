//! Messages of HTTP/1.1 over blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message as it was read: its first line, its headers and its body.
#[derive(Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a message; `None` where the connection ended before its first byte. `is_answer` tells that a
/// body without a length ends with the connection.
pub fn read(stream: &mut BufReader<TcpStream>, is_answer: bool) -> Result<Option<Message>> {
    let mut start = String::new();
    if stream.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None => break,
        }
    }
    let mut message = Message {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").map(str::parse::<usize>);
    match length {
        _ if is_chunked => loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        },
        Some(Ok(length)) => {
            message.body = vec![0; length];
            stream.read_exact(&mut message.body)?;
        }
        _ if is_answer => {
            stream.read_to_end(&mut message.body)?;
        }
        _ => {}
    }
    Ok(Some(message))
}

/// What a client saw of one request.
#[derive(Debug)]
pub enum Answer {
    /// A complete answer.
    Complete(u16, Message),
    /// The connection ended without a complete answer; the reason is empty where it ended without a reset and
    /// without any byte.
    Cut(String),
    /// The connection was refused or did not come about.
    NotConnected,
}

/// A request of a client, on a connection of its own.
pub struct Request<'a> {
    pub target: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// Sends a request and waits for the answer until a second after its deadline.
pub fn ask(request: &Request<'_>) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&request.target, Duration::from_secs(1)) else {
        return Answer::NotConnected;
    };
    let until = Instant::now() + request.deadline + Duration::from_secs(1);
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.host,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    );
    stream.set_nodelay(true).ok();
    let limit = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(limit)).ok();
    stream.set_write_timeout(Some(limit)).ok();
    let mut writer = &stream;
    let sent = writer.write_all(&[head.as_bytes(), request.body].concat());
    if let Err(error) = sent {
        return Answer::Cut(format!("while the request was sent: {error}"));
    }
    match read(&mut BufReader::new(stream), true) {
        Ok(Some(message)) => Answer::Complete(message.word(1).parse().unwrap_or(0), message),
        Ok(None) => Answer::Cut(String::new()),
        Err(error) => Answer::Cut(error.to_string()),
    }
}

/// Builds an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
