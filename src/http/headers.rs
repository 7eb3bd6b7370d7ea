use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, StatusCode};

/// Request header: the key by which a caller identifies a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: the remaining time of the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "lentilcart-deadline-ms";
/// Request header: the number of retries before this attempt; absent on the first attempt.
pub const ATTEMPT_HEADER: &str = "lentilcart-attempt";
/// Request header: the name of the entry that forwarded the request.
pub const ENTRY_HEADER: &str = "lentilcart-entry";
/// Response header that the entry sets on its own errors: `not-run` if no server ran the request, so that it can
/// safely be sent again, `unknown` if a server may have run it, and `running` or `done` if an earlier
/// request with its idempotency key is in progress or was answered.
pub const OUTCOME_HEADER: &str = "lentilcart-outcome";
/// Response header: the load that the server reports, in requests.
pub const LOAD_HEADER: &str = "lentilcart-load";
/// Response header: present if the server is about to shut down.
pub const LEAVING_HEADER: &str = "lentilcart-leaving";
/// Header that identifies a request on its whole way from caller to server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let standard = [
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
    for name in listed.iter().chain(&standard) {
        headers.remove(name);
    }
}

/// Returns whether a status is one of a final response (RFC 9110, section 15): neither an interim one, as that of an
/// upgrade that was not asked for, nor one of no class.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns why a request is rejected as ambiguous or unsupported, or `None` if it is accepted.
///
/// A request with several `Content-Length` fields is rejected (RFC 9112, section 6.3). For a request
/// that is sent in chunks and has a length as well, hyper drops the length and closes the connection.
/// CONNECT and several `Host` fields are rejected as well.
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

/// Returns the value of a header as text, or `None` if it is missing or not text.
#[must_use]
pub fn get_header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the value of a header as a whole number, or `None` if it is missing or not a number.
#[must_use]
pub fn get_header_number(headers: &HeaderMap, name: &str) -> Option<u32> {
    get_header_text(headers, name)?.trim().parse().ok()
}

/// Returns the value of a header in milliseconds as a duration, or `None` if it is missing or not a
/// number.
#[must_use]
pub fn get_header_duration(headers: &HeaderMap, name: &str) -> Option<lentilcart_util::Micros> {
    get_header_number(headers, name)
        .map(|millis| lentilcart_util::Micros::from_millis(millis.into()))
}

/// Sets a header; a value that is not valid in a header is ignored.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
