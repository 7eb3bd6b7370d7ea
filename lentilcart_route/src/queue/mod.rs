//! Queue of requests that wait for a server, by priority and then by arrival. Where there are client accounts,
//! those of one priority take turns.

mod fair_share;
mod served_share;

use std::collections::VecDeque;

use lentilcart_util::{Micros, Name};

use self::fair_share::FairShare;
use self::served_share::ServedShares;

pub(crate) use self::fair_share::DEFAULT_WEIGHT;
use crate::pool::PendingRequest;

/// Number of priorities; the highest, 9, is served first.
pub(crate) const PRIORITIES: usize = 10;

/// Slack that the oldest request must have to go first, as a share of the time from its arrival to
/// its objective.
const MIN_SLACK_SHARE: f64 = 0.2;

/// Queued requests, one queue for each priority.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    /// Queued requests by priority, each level in order of arrival.
    levels: [VecDeque<PendingRequest>; PRIORITIES],
    len: usize,
    /// Turns of the accounts by priority, and which groups are owed a start; `None` without accounts.
    fairness: Option<Fairness>,
}

#[derive(Debug, Default)]
struct Fairness {
    turns: [FairShare; PRIORITIES],
    served: ServedShares,
}

impl RequestQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Sets whether accounts take turns.
    pub(crate) fn set_fair(&mut self, fair: bool) {
        if fair == self.fairness.is_some() {
            return;
        }
        let queued = self.take_all();
        self.fairness = fair.then(Fairness::default);
        for request in queued {
            self.push(request);
        }
    }

    /// Records a request that came, whether it is queued or not.
    pub(crate) fn record_asked(&mut self, now: Micros, request: &PendingRequest) {
        if let Some(fairness) = &mut self.fairness {
            fairness.served.record_asked(now, request);
        }
    }

    /// Returns the number of accounts whose turns are kept, over all priorities.
    pub(crate) fn get_account_count(&self) -> usize {
        let turns = self.fairness.iter().flat_map(|fairness| &fairness.turns);
        turns.map(FairShare::len).sum()
    }

    /// Adds a request at its place by arrival time; a request that is queued again returns to the
    /// place that it had.
    pub(crate) fn push(&mut self, request: PendingRequest) {
        self.len += 1;
        let index = get_level(request.priority);
        if let Some(fairness) = &mut self.fairness {
            fairness.turns[index].enter(request.account.as_ref(), request.get_weight());
        }
        let level = &mut self.levels[index];
        let earlier = level
            .iter()
            .rposition(|other| other.arrived <= request.arrived);
        level.insert(earlier.map_or(0, |index| index + 1), request);
    }

    /// Returns how many queued requests go before a new one: those of a higher priority and, of its own, all
    /// or, where accounts take turns, those that have their turn before it. None goes before one that is owed
    /// a start.
    pub(crate) fn get_ahead_count(&self, request: &PendingRequest) -> usize {
        let level = get_level(request.priority);
        let higher = self.levels[level + 1..].iter().map(VecDeque::len);
        let same = match &self.fairness {
            Some(fairness) if fairness.served.is_owed(request) => return 0,
            Some(fairness) => fairness.turns[level]
                .get_ahead_count(request.account.as_ref(), request.get_weight()),
            None => self.levels[level].len(),
        };
        higher.sum::<usize>() + same
    }

    /// Removes and returns the first request that `is_wanted` accepts, by priority and then by arrival, which is
    /// not started.
    pub(crate) fn remove_first(
        &mut self,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let mut levels = self.levels.iter().enumerate().rev();
        let (level, index) = levels
            .find_map(|(level, queued)| Some((level, queued.iter().position(&mut is_wanted)?)))?;
        self.take(level, index, false)
    }

    /// Removes and returns the next request to start that `is_wanted` accepts: one that is owed a start, or else
    /// by priority, the turns of the accounts and arrival.
    pub(crate) fn pop(
        &mut self,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let first = |level: &VecDeque<PendingRequest>, accept: &mut Filter<'_>| {
            level.iter().position(accept)
        };
        let (level, index) = self.find(&mut is_wanted, first)?;
        self.take(level, index, true)
    }

    /// Removes and returns the next request that `is_wanted` accepts. A request that can still be
    /// answered before its objective goes before every one that cannot, whatever their priorities;
    /// among each of the two, one that is owed a start goes first, then the highest priority, and among the
    /// requests of one priority the account whose turn it is.
    ///
    /// `get_service_time` returns the base service time of a request, zero where it is not known. Slack
    /// is what remains until the objective after a service time.
    ///
    /// Among the requests of one priority and account that can still be answered in time, the oldest goes first
    /// while its slack is more than 20 % of its time from arrival to objective. Otherwise, as when
    /// requests arrive faster than they are answered, the newest does, since only the newest is
    /// sure to be answered in time (adaptive LIFO, after Maurer, "Fail at Scale", ACM Queue, 2015).
    pub(crate) fn pop_by_objective(
        &mut self,
        now: Micros,
        get_service_time: impl Fn(&PendingRequest) -> Micros,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let slack =
            |request: &PendingRequest| request.objective - (now + get_service_time(request));
        let adaptive = |level: &VecDeque<PendingRequest>, accept: &mut Filter<'_>| {
            let oldest = level.iter().position(&mut *accept)?;
            let total = level[oldest].objective - level[oldest].arrived;
            if slack(&level[oldest]) > total.scaled(MIN_SLACK_SHARE) {
                Some(oldest)
            } else {
                level.iter().rposition(accept)
            }
        };
        let mut in_time =
            |request: &PendingRequest| slack(request) > Micros::ZERO && is_wanted(request);
        match self.find(&mut in_time, adaptive) {
            Some((level, index)) => self.take(level, index, true),
            None => self.pop(is_wanted),
        }
    }

    /// Returns the requests in the order in which they are started: those for which `rate` returns true first; among
    /// them, those that are owed a start, then by priority if `by_priority` is set, by the turns of the accounts, and by
    /// the score that `rate` returns, the highest first.
    pub(crate) fn get_order(
        &self,
        by_priority: bool,
        rate: impl Fn(&PendingRequest) -> (bool, f64),
    ) -> Vec<&PendingRequest> {
        let mut rated = Vec::with_capacity(self.len);
        for (level, queued) in self.levels.iter().enumerate() {
            let rated_level = queued.iter().map(|request| {
                let (first, score) = rate(request);
                let owed = self
                    .fairness
                    .as_ref()
                    .is_some_and(|fairness| fairness.served.is_owed(request));
                let rank = if by_priority { level } else { 0 };
                ((first, owed, rank), score, level, request)
            });
            rated.extend(rated_level);
        }
        let by_rate = |a: &Rated<'_>, b: &Rated<'_>| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1));
        // Stable, so that requests with the same score stay in the order of arrival.
        rated.sort_by(by_rate);
        if let Some(fairness) = &self.fairness {
            let mut turns = fairness.turns.each_ref().map(FairShare::get_start_tags);
            let mut tagged: Vec<(f64, Rated<'_>)> = rated
                .into_iter()
                .map(|rated| {
                    let request = rated.3;
                    let tag = turns[rated.2].get_mut(&request.account);
                    let tag = tag.map_or(0.0, |(tag, weight)| {
                        std::mem::replace(tag, *tag + 1.0 / *weight)
                    });
                    (tag, rated)
                })
                .collect();
            // Stable again: among the requests of one account the tags rise with the order above.
            tagged.sort_by(|a, b| b.1.0.cmp(&a.1.0).then(a.0.total_cmp(&b.0)));
            rated = tagged.into_iter().map(|(_, rated)| rated).collect();
        }
        rated.into_iter().map(|(.., request)| request).collect()
    }

    /// Returns whether any queued request fulfils a condition.
    pub(crate) fn any(&self, is_wanted: impl FnMut(&PendingRequest) -> bool) -> bool {
        self.levels.iter().flatten().any(is_wanted)
    }

    /// Removes and returns a request by its id, which is started.
    pub(crate) fn pop_by_id(&mut self, request: (u64, u8)) -> Option<PendingRequest> {
        let level = get_level(request.1);
        let index = self.levels[level]
            .iter()
            .position(|queued| queued.id == request.0)?;
        self.take(level, index, true)
    }

    /// Removes a request by its id, and returns whether it was queued.
    pub(crate) fn remove(&mut self, request_id: u64) -> bool {
        self.remove_first(|queued| queued.id == request_id)
            .is_some()
    }

    /// Removes and returns all requests, by priority and then by arrival.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        let mut queued = Vec::with_capacity(self.len);
        queued.extend(std::iter::from_fn(|| self.remove_first(|_| true)));
        queued
    }

    /// Returns the level and index of the request to start next: that of `choose` among those that are owed a
    /// start, or else in the highest level, and there for the account that comes first, with a request that
    /// `is_wanted` accepts. `choose` returns the index of a request in a level that its filter accepts.
    fn find(
        &self,
        is_wanted: &mut Filter<'_>,
        choose: impl Fn(&VecDeque<PendingRequest>, &mut Filter<'_>) -> Option<usize>,
    ) -> Option<(usize, usize)> {
        let levels = || self.levels.iter().enumerate().rev();
        let Some(fairness) = &self.fairness else {
            return levels().find_map(|(level, queued)| Some((level, choose(queued, is_wanted)?)));
        };
        let mut is_owed =
            |request: &PendingRequest| fairness.served.is_owed(request) && is_wanted(request);
        let owed =
            levels().find_map(|(level, queued)| Some((level, choose(queued, &mut is_owed)?)));
        owed.or_else(|| {
            levels().find_map(|(level, queued)| {
                let turns = fairness.turns[level].get_turns();
                let index = turns.iter().find_map(|account: &Option<Name>| {
                    let mut is_next = |request: &PendingRequest| {
                        request.account == *account && is_wanted(request)
                    };
                    choose(queued, &mut is_next)
                })?;
                Some((level, index))
            })
        })
    }

    /// Removes and returns a request by level and index; `started` says whether it takes the turn of its account.
    fn take(&mut self, level: usize, index: usize, started: bool) -> Option<PendingRequest> {
        let request = self.levels[level].remove(index)?;
        self.len -= 1;
        if let Some(fairness) = &mut self.fairness {
            fairness.turns[level].leave(request.account.as_ref(), started);
            if started {
                fairness.served.record_started(&request);
            }
        }
        Some(request)
    }
}

/// A queued request with its place: what goes before its score, its score and its level.
type Rated<'a> = ((bool, bool, usize), f64, usize, &'a PendingRequest);
/// Whether a queued request may be taken.
type Filter<'a> = dyn FnMut(&PendingRequest) -> bool + 'a;

fn get_level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
