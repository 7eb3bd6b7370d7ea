use lentilcart_util::{Micros, common};

common! { message,
    /// What a server says of itself in the head of an answer, besides its load. A limit holds until an
    /// answer of the same instance says otherwise.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct ServerNotice {
        /// Requests a second that the server accepts from all entries together; `None` for no limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub rate_limit: Option<f64>,
        /// Whether the server is leaving. This is not taken back: the instance gets no new requests.
        pub leaving: bool,
        /// Time from the answer for which the server wants no requests from the entry that got it; `None`
        /// if it says nothing of that. Other answers do not end it.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub retry_after: Option<Micros>,
        /// Time from the answer for which the server is cold; zero if it is not, and `None` if it says nothing
        /// of that.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub warmup: Option<Micros>,
    }
}

common! { value,
    /// How a notice reached this entry, which decides what it means that it names no limit.
    pub enum NoticeSource {
        /// In an answer to a request: there is no limit any more.
        Request,
        /// In an answer to a probe: there is no limit any more if the server has named one there before.
        Probe,
        /// From another entry that got the answer: nothing.
        Peer,
    }
}

common! { value,
    /// How servers restrict the requests to them by their notices.
    pub enum Restriction {
        /// They accept a number of requests a second.
        RateLimit,
        /// They want no requests from the sender for a time.
        HoldOff,
        /// They are cold, and take few requests.
        Warmup,
    }
}

impl Restriction {
    /// Returns the fixed name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RateLimit => "rate-limit",
            Self::HoldOff => "hold-off",
            Self::Warmup => "warm-up",
        }
    }
}

impl ServerNotice {
    /// A notice that restricts nothing.
    pub const EMPTY: Self = Self {
        rate_limit: None,
        leaving: false,
        retry_after: None,
        warmup: None,
    };

    /// Returns whether the server says nothing that restricts the requests to it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let warmup = self.warmup.filter(|time| *time > Micros::ZERO);
        Self { warmup, ..*self } == Self::EMPTY
    }
}
