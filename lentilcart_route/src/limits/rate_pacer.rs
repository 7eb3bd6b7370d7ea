/// Rate limit that a server names, and this entry's requests to the server.
#[derive(Debug, Default)]
pub(crate) struct RatePacer {
    /// Requests a second that the server accepts from all entries together; `None` for no limit.
    limit: Option<f64>,
    /// Whether the server has named a limit in an answer to a probe.
    in_probes: bool,
}

impl RatePacer {
    /// Returns the limit in requests a second; `None` for no limit.
    pub(crate) fn get_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Sets the limit that the server names in an answer to a request, and returns whether that changed
    /// it.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) -> bool {
        let has_changed = self.limit != limit;
        self.limit = limit;
        has_changed
    }

    /// Sets the limit that the server names in an answer to a probe, and returns whether that changed
    /// it. A probe without a limit ends one only where the server names limits in its answers to probes.
    pub(crate) fn set_probe_limit(&mut self, limit: Option<f64>) -> bool {
        self.in_probes |= limit.is_some();
        self.in_probes && self.set_limit(limit)
    }
}
