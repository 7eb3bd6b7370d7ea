use lentilcart_route::TokenBucket;
use lentilcart_util::Micros;

/// Share of the link that announcements may take.
const LINK_SHARE: f64 = 0.1;
/// Time for which they may be ahead of that share, in seconds.
const BURST_SECONDS: f64 = 0.5;

/// Limits what an entry announces to all others to what its link can bear beside its other work.
///
/// An announcement that has to wait is made with the next one. Urgent ones, such as changes of the routes, are made at
/// once, and counted.
#[derive(Debug)]
pub struct AnnouncementBudget(TokenBucket);

impl AnnouncementBudget {
    /// Creates the budget of a link, whose rate is in bytes a second.
    #[must_use]
    pub fn new(link: f64, now: Micros) -> Self {
        let rate = link * LINK_SHARE;
        let burst = rate * BURST_SECONDS;
        let mut tokens = TokenBucket::new(rate, burst, now);
        tokens.deposit(burst);
        Self(tokens)
    }

    /// Returns whether an announcement may be made now.
    pub fn may_announce(&mut self, now: Micros, is_urgent: bool) -> bool {
        self.0.refill(now);
        is_urgent || self.0.get_tokens() > 0.0
    }

    /// Records the size of an announcement in bytes, to all entries together.
    pub fn record(&mut self, bytes: usize) {
        self.0.force_take(bytes as f64);
    }
}
