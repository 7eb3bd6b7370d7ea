/// Names of the headers that callers and servers use, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifier of a request, which the server repeats in its response.
    pub request_id: &'static str,
    /// Time that remains for the request, in milliseconds.
    pub deadline: &'static str,
    /// Identifier of the server that a request is meant for, as in its registration.
    pub expected_instance: &'static str,
    /// Present in a response where the server did not run the request.
    pub not_run: &'static str,
    /// Server's signature of its response.
    pub signature: &'static str,
    /// Load report of the server.
    pub load: &'static str,
}
