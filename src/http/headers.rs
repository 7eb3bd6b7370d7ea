use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request};

/// Header by which a caller names a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that carries the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "lentilcart-deadline-ms";
/// Header of an attempt beyond the first.
pub const ATTEMPT_HEADER: &str = "lentilcart-attempt";
/// Header that names the entry that forwarded a request.
pub const ENTRY_HEADER: &str = "lentilcart-entry";
/// Header of an answer that tells whether the request was run.
pub const OUTCOME_HEADER: &str = "lentilcart-outcome";
/// Header by which a server reports its load, in requests.
pub const LOAD_HEADER: &str = "lentilcart-load";
/// Header by which a server says that it is leaving.
pub const LEAVING_HEADER: &str = "lentilcart-leaving";
/// Header that follows a request from caller to server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in named.iter().chain(&fixed) {
        headers.remove(name);
    }
}

/// Checks that a request has one meaning only; returns what is wrong with it.
///
/// A request with several lengths is refused (RFC 9112, section 6.3); hyper drops the length of one
/// that is sent in chunks and closes its connection.
#[must_use]
pub fn find_request_error<B>(request: &Request<B>) -> Option<&'static str> {
    let headers = request.headers();
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    match request.method() {
        _ if lengths > 1 => Some("the request has several Content-Length fields"),
        &Method::CONNECT => Some("CONNECT is not supported"),
        _ if headers.get_all(hyper::header::HOST).iter().count() > 1 => {
            Some("the request has several Host fields")
        }
        _ => None,
    }
}

/// Returns a header as text.
#[must_use]
pub fn get_header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header as a whole number.
#[must_use]
pub fn get_header_number(headers: &HeaderMap, name: &str) -> Option<u32> {
    get_header_text(headers, name)?.trim().parse().ok()
}

/// Returns a header in milliseconds as a length of time.
#[must_use]
pub fn get_header_duration(headers: &HeaderMap, name: &str) -> Option<lentilcart_util::Micros> {
    get_header_number(headers, name)
        .map(|millis| lentilcart_util::Micros::from_millis(millis.into()))
}

/// Sets a header whose value is known to be plain text.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
