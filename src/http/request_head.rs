use std::mem::MaybeUninit;

use bytes::Bytes;
use http_body_util::Empty;
use httparse::Status;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Uri, Version};

/// Largest number of header fields of a request: hyper's default.
const MAX_HEADERS: usize = 100;
/// Largest length of a request target that hyper accepts, in bytes.
const MAX_TARGET_BYTES: usize = u16::MAX as usize - 1;

/// The body that follows a header section, as far as the look-ahead tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// A number of bytes, which may be 0.
    Known(u64),
    /// Told by the body itself.
    Chunked,
    /// Not known, or not HTTP/1 afterwards.
    Unknown,
}

/// What the look-ahead needs to know of the header section of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestHead {
    /// Length of the header section with what ends it, in bytes.
    pub(super) length: usize,
    /// The body behind it.
    pub(super) body: BodyLength,
    /// Whether it is an HTTP/1.1 request without a body that leaves the connection open.
    pub(super) is_plain: bool,
}

/// Result of reading a header section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ParsedHead {
    /// More bytes are needed.
    Partial,
    /// It is not a header section of HTTP/1; hyper decides what becomes of it.
    Invalid,
    /// A complete one.
    Complete(RequestHead),
}

type HeaderSlots<'b> = [MaybeUninit<httparse::Header<'b>>; MAX_HEADERS];

/// Returns whether a header section may end within `bytes`, of which those before `from` have been searched.
pub(super) fn may_end_head(bytes: &[u8], from: usize) -> bool {
    let bytes = &bytes[from.saturating_sub(3).min(bytes.len())..];
    let mut rest = bytes;
    while let Some(line_end) = rest.iter().position(|byte| *byte == b'\n') {
        rest = &rest[line_end + 1..];
        if rest.starts_with(b"\n") || rest.starts_with(b"\r\n") {
            return true;
        }
    }
    false
}

/// Reads the header section at the beginning of `bytes`.
pub(super) fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut slots: HeaderSlots<'_> = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut []);
    let length = match request.parse_with_uninit_headers(bytes, &mut slots) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return ParsedHead::Partial,
        Err(_) => return ParsedHead::Invalid,
    };
    let is_http11 = request.version == Some(1);
    let mut body = None;
    let mut is_clear = request.method != Some("CONNECT");
    let mut stays_open = true;
    let mut expects = false;
    for header in &*request.headers {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        let length = if is("content-length") {
            parse_length(header.value).map_or(BodyLength::Unknown, BodyLength::Known)
        } else if is("transfer-encoding") {
            let is_chunked = is_http11 && header.value.eq_ignore_ascii_case(b"chunked");
            if is_chunked {
                BodyLength::Chunked
            } else {
                BodyLength::Unknown
            }
        } else {
            is_clear &= !is("upgrade");
            expects |= is("expect");
            stays_open &= !is("connection") || header.value.eq_ignore_ascii_case(b"keep-alive");
            continue;
        };
        // What several of these fields mean together is left to hyper.
        is_clear &= body.replace(length).is_none();
    }
    let body = body.unwrap_or(BodyLength::Known(0));
    let body = if is_clear { body } else { BodyLength::Unknown };
    ParsedHead::Complete(RequestHead {
        length,
        body,
        is_plain: is_http11 && stays_open && !expects && body == BodyLength::Known(0),
    })
}

/// Returns the value of a `Content-Length` field, if it is plainly a number.
fn parse_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    // Larger lengths have special meanings within hyper.
    text.parse()
        .ok()
        .filter(|length| is_number && *length < u64::MAX - 2)
}

/// Returns the request whose header section is all of `bytes`, or `None` if hyper would not accept it.
pub(super) fn build_request(bytes: &[u8]) -> Option<Request<Empty<Bytes>>> {
    let mut slots: HeaderSlots<'_> = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut []);
    parsed.parse_with_uninit_headers(bytes, &mut slots).ok()?;
    let target = parsed.path.filter(|path| path.len() <= MAX_TARGET_BYTES)?;
    let mut request = Request::new(Empty::new());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(target).ok()?;
    *request.version_mut() = Version::HTTP_11;
    for header in &*parsed.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
