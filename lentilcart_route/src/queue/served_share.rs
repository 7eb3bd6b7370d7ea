use lentilcart_util::{Map, Micros, Name};

use crate::pool::PendingRequest;

/// Share of the service of all requests below which a group goes first, whatever its priority. A quarter is
/// promised; the rest is margin for the delay until a server is free.
const MIN_SERVED_SHARE: f64 = 0.3;
/// Requests of a group below which its share says nothing.
const MIN_ASKED: f64 = 4.0;
/// Time in which the weight of what has passed halves.
const HALF_LIFE: Micros = Micros::from_millis(1000);
/// Halvings after which nothing is left of any count.
const MAX_HALVINGS: u64 = 32;

/// Requests that are counted together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Group {
    /// Those of an account, or of none.
    Account(Option<Name>),
    /// Those of one kind, which is told by its latency objective.
    Kind(Option<Micros>),
}

#[derive(Debug, Default)]
struct Counts {
    asked: f64,
    started: f64,
}

/// Which accounts and kinds of request are served less often than promised: in the last seconds, the share of
/// started requests among those that came must be at least a quarter of that of all requests.
///
/// The requests that go first for this are bounded: an account is owed a start only while it has less than
/// [`MIN_SERVED_SHARE`] of the service of all, and likewise a kind, so that these take at most that share of all
/// starts each.
#[derive(Debug, Default)]
pub(super) struct ServedShares {
    all: Counts,
    groups: Map<Group, Counts>,
    halved_at: Micros,
}

impl ServedShares {
    /// Records a request that came.
    pub(super) fn record_asked(&mut self, now: Micros, request: &PendingRequest) {
        self.decay(now);
        self.all.asked += 1.0;
        for group in get_groups(request) {
            self.groups.entry(group).or_default().asked += 1.0;
        }
    }

    /// Records a request that was started.
    pub(super) fn record_started(&mut self, request: &PendingRequest) {
        self.all.started += 1.0;
        for group in get_groups(request) {
            if let Some(counts) = self.groups.get_mut(&group) {
                counts.started += 1.0;
            }
        }
    }

    /// Returns whether the account or the kind of a request is served less often than promised.
    pub(super) fn is_owed(&self, request: &PendingRequest) -> bool {
        get_groups(request)
            .iter()
            .filter_map(|group| self.groups.get(group))
            .any(|counts| {
                counts.asked >= MIN_ASKED
                    && counts.started * self.all.asked
                        < MIN_SERVED_SHARE * self.all.started * counts.asked
            })
    }

    /// Halves the counts for each half-life that has passed, and removes groups of which nothing came lately.
    fn decay(&mut self, now: Micros) {
        let halvings = ((now - self.halved_at).0 / HALF_LIFE.0).min(MAX_HALVINGS);
        if halvings == 0 {
            return;
        }
        self.halved_at = now;
        let factor = 0.5_f64.powi(halvings as i32);
        for counts in self.groups.values_mut().chain([&mut self.all]) {
            counts.asked *= factor;
            counts.started *= factor;
        }
        self.groups.retain(|_, counts| counts.asked >= 0.5);
    }
}

fn get_groups(request: &PendingRequest) -> [Group; 2] {
    [
        Group::Account(request.account.clone()),
        Group::Kind(request.latency_objective),
    ]
}
