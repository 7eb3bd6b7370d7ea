use lentilcart_util::Micros;

/// Limits on what callers may send and on how long that may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time within which a header section must arrive.
    pub header_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
}

impl Default for CallerLimits {
    /// Returns the generous limits that hold before the first route table arrives.
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Micros::from_millis(10_000),
            idle_timeout: Micros::from_millis(60_000),
        }
    }
}
