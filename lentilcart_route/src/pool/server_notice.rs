use lentilcart_util::common;

common! { message,
    /// What a server says of itself in the head of an answer, besides its load. It holds until an answer
    /// of the same instance says otherwise.
    #[derive(Copy, Default)]
    pub struct ServerNotice {
        /// Requests a second that the server accepts from all entries together; `None` for no limit.
        pub rate_limit: Option<f64>,
    }
}

impl ServerNotice {
    /// Returns whether the server says nothing that restricts the requests to it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
