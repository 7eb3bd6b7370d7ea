/// Names of the headers, in lower case, that callers and servers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifier of a request; servers echo it.
    pub request_id: &'static str,
    /// Time left for the request, in milliseconds.
    pub deadline: &'static str,
    /// Identifier of the server that a request is meant for.
    pub expected_instance: &'static str,
    /// Present where a server did not run the request.
    pub not_run: &'static str,
    /// Server's signature of its answer.
    pub signature: &'static str,
    /// Server's report of its load.
    pub load: &'static str,
}
