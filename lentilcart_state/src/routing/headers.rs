/// Names of the headers that callers and servers use, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifier of a request, which the server repeats in its answer.
    pub request_id: &'static str,
    /// Time that remains for the request, in milliseconds.
    pub deadline: &'static str,
    /// Identifier of the server instance that a request is meant for.
    pub expected_instance: &'static str,
    /// Present in an answer where the server did not run the request.
    pub not_run: &'static str,
    /// Server's signature of its answer.
    pub signature: &'static str,
    /// Load report of the server.
    pub load: &'static str,
}
