/// Names of the headers that callers and servers use, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Header with the identifier of a request, which the server repeats in its response.
    pub request_id: &'static str,
    /// Header with the time that remains for the request, in milliseconds.
    pub deadline: &'static str,
    /// Header in which an entry tells the server the client account of a request.
    pub account: &'static str,
    /// Header with the identifier of the server that a request is meant for, as in its
    /// registration.
    pub expected_instance: &'static str,
    /// Header that is present in a response where the server did not run the request.
    pub not_run: &'static str,
    /// Header with the server's signature of its response.
    pub signature: &'static str,
    /// Header with the load report of the server.
    pub load: &'static str,
    /// Header by which the server says that it is leaving.
    pub leaving: &'static str,
    /// Header with the time for which the server wants no requests from this entry.
    pub retry_after: &'static str,
    /// Header with the rate limit that the server names.
    pub rate_limit: &'static str,
}
