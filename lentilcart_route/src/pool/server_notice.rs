use lentilcart_util::common;

common! { message,
    /// What a server says of itself in the head of an answer, besides its load. It holds until an answer
    /// of the same instance says otherwise.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct ServerNotice {
        /// Requests a second that the server accepts from all entries together; `None` for no limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub rate_limit: Option<f64>,
        /// Whether the server is leaving. This is not taken back: the instance gets no new requests.
        pub leaving: bool,
    }
}

impl ServerNotice {
    /// A notice that restricts nothing.
    pub const EMPTY: Self = Self {
        rate_limit: None,
        leaving: false,
    };

    /// Returns whether the server says nothing that restricts the requests to it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::EMPTY
    }
}
