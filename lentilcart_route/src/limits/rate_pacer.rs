use lentilcart_util::Micros;

use crate::pool::NoticeSource;

/// Requests a second that a server with a lower limit gets all the same from all entries together: only
/// its answers tell when the limit ends.
const MIN_TRIAL_RATE: f64 = 0.1;

/// Rate limit that a server names, and the pace of this entry's requests to the server by its share of
/// the limit. There is no burst: servers in need name low limits.
#[derive(Debug, Default)]
pub(crate) struct RatePacer {
    /// Requests a second that the server accepts from all entries together; `None` for no limit.
    limit: Option<f64>,
    /// Whether the server has named a limit in an answer to a probe.
    in_probes: bool,
    /// When the last request to the server was started.
    last_start: Option<Micros>,
}

impl RatePacer {
    /// Returns the limit in requests a second; `None` for no limit.
    pub(crate) fn get_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Records the limit in a notice of the server, and returns whether that changed it.
    pub(crate) fn record_limit(&mut self, limit: Option<f64>, source: NoticeSource) -> bool {
        self.in_probes |= limit.is_some() && source == NoticeSource::Probe;
        let ends_limit = match source {
            NoticeSource::Request => true,
            NoticeSource::Probe => self.in_probes,
            NoticeSource::Peer => false,
        };
        let old = self.limit;
        if limit.is_some() || ends_limit {
            self.limit = limit;
        }
        self.limit != old
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Micros) {
        self.last_start = Some(now);
    }

    /// Returns the requests a second that this entry may start with a share from 0 to 1 of the limit;
    /// `None` for no limit.
    pub(crate) fn get_rate(&self, share: f64) -> Option<f64> {
        self.limit.map(|limit| limit.max(MIN_TRIAL_RATE) * share)
    }

    /// Returns when the last request to the server was started.
    pub(crate) fn get_last_start(&self) -> Option<Micros> {
        self.last_start
    }

    /// Returns the earliest start of the next request with a share of the limit; `Micros(u64::MAX)` if
    /// the share is 0.
    pub(crate) fn get_next_start(&self, share: f64) -> Micros {
        match (self.get_rate(share), self.last_start) {
            (Some(rate), _) if rate <= 0.0 => Micros(u64::MAX),
            (Some(rate), Some(last_start)) => last_start + Micros::from_secs(1.0 / rate),
            (None, _) | (Some(_), None) => Micros::ZERO,
        }
    }
}
