use lentilcart_util::Micros;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Time in which a header section must arrive.
    pub header_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
}

impl Default for CallerLimits {
    /// What holds before the first table: generous enough for any caller.
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Micros::from_millis(10_000),
            idle_timeout: Micros::from_millis(60_000),
        }
    }
}
