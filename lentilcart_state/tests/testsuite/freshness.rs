//! Entries on virtual time that confirm their routes, tell each other, and serve by what they have.

use lentilcart_state::{Freshness, FreshnessLimits, FreshnessStage};
use lentilcart_util::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const BOUND: Micros = Micros::from_millis(2500);
const CONFIRM: Micros = Micros::from_millis(1000);
/// Step of virtual time.
const STEP: Micros = Micros::from_millis(10);
/// Time between two changes.
const CHANGE_INTERVAL: Micros = Micros::from_millis(1700);
/// Time for a call to the store with a large change, on the smallest link.
const CALL_TIME: Micros = Micros::from_millis(240);
/// Time for a call without changes.
const SMALL_CALL_TIME: Micros = Micros::from_millis(10);
/// Number of entries that watch the store.
const WATCHERS: usize = 3;
/// Interval between two calls of an entry that the store does not answer.
const RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// Time for a fetch from a peer, or until one that does not answer is joined by another.
const FETCH_TIME: Micros = Micros::from_millis(250);

fn limits() -> FreshnessLimits {
    FreshnessLimits::new(BOUND, CONFIRM)
}

/// What may go wrong, each with a probability.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// A heartbeat is lost.
    lost: f64,
    /// A fetch fails.
    failed: f64,
    /// The store does not answer an entry for some time, by entry and step.
    turned_away: f64,
    /// An entry stands still for up to 1.5 s, by entry and step; what it is sent waits meanwhile.
    frozen: f64,
    /// An entry is replaced by one that knows nothing, by entry and step.
    killed: f64,
}

struct Message {
    age: Option<Micros>,
    version: usize,
}

struct Entry {
    freshness: Freshness,
    version: usize,
    known: usize,
    /// Call to the store in progress: when it was sent, when it ends, and the version in the reply.
    call: Option<(Micros, Micros, usize)>,
    next_call: Micros,
    fetch_end: Option<Micros>,
    /// Latest version whose event its watch of the store has brought, or lost.
    watched: usize,
    turned_away_until: Micros,
    frozen_until: Micros,
    /// When its queue of messages was last empty.
    drained: Micros,
    queue: Vec<Message>,
}

impl Entry {
    fn new(now: Micros) -> Self {
        Self {
            freshness: Freshness::new(now),
            version: 0,
            known: 0,
            call: None,
            next_call: now,
            fetch_end: None,
            watched: 0,
            turned_away_until: Micros::ZERO,
            frozen_until: Micros::ZERO,
            drained: now,
            queue: Vec::new(),
        }
    }

    fn get_stage(&self, now: Micros, rank: usize, count: usize) -> FreshnessStage {
        let lacks_change = self.known > self.version;
        let get_rank = || (rank, count);
        self.freshness
            .get_stage(now, lacks_change, &limits(), get_rank)
    }

    /// Reads the messages that wait; returns without reading while the entry stands still.
    fn read_messages(&mut self, now: Micros) {
        for message in std::mem::take(&mut self.queue) {
            self.known = self.known.max(message.version);
            if let Some(age) = message.age
                && message.version <= self.version
            {
                self.freshness.record_relayed(self.drained, age);
            }
        }
        self.drained = now;
    }
}

/// What was seen of a run.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time for which a version was out of date when an entry served by it, by stage but
    /// [`FreshnessStage::Unconfirmed`].
    served: Micros,
    /// The same where nobody with younger knowledge had told the entry, or it has just started.
    served_unconfirmed: Micros,
    /// Entries and steps in which requests were rejected.
    rejected: usize,
    /// Calls to the store.
    calls: usize,
}

/// Runs entries for a time.
fn run(count: usize, faults: Faults, seed: u64, end: Micros) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..count).map(|_| Entry::new(Micros::ZERO)).collect();
    let mut outcome = Outcome::default();
    let mut now = Micros::ZERO;
    while now < end {
        now += STEP;
        let latest = (now.0 / CHANGE_INTERVAL.0) as usize;
        for rank in 0..count {
            let mut is_hit = |chance| random.random_bool(chance);
            if is_hit(faults.killed) {
                // It begins with the routes of any other entry.
                let version = entries[(rank + 1) % count].version;
                entries[rank] = Entry {
                    version,
                    watched: latest,
                    ..Entry::new(now)
                };
            }
            let entry = &mut entries[rank];
            if is_hit(faults.turned_away) {
                entry.turned_away_until = now + Micros::from_millis(4000);
            }
            if is_hit(faults.frozen) {
                entry.frozen_until = now + Micros::from_millis(random.random_range(100..1500));
            }
            if now < entry.frozen_until {
                continue;
            }
            entry.read_messages(now);
            let mut is_announcing = step_calls(entry, now, latest, (rank, count), &mut outcome);
            if rank < WATCHERS && entry.watched < latest {
                entry.watched = latest;
                let is_lost = random.random_bool(faults.failed);
                if !is_lost && now >= entry.turned_away_until {
                    entry.version = latest;
                    is_announcing = true;
                }
            }
            let has_fetched = entry.fetch_end.is_some_and(|end| now >= end);
            if has_fetched {
                entry.fetch_end = None;
                if !random.random_bool(faults.failed) {
                    entry.version = entry.version.max(entry.known);
                }
            }
            if entry.known > entry.version && entry.fetch_end.is_none() {
                entry.fetch_end = Some(now + FETCH_TIME);
            }
            record_service(entry, now, (rank, count), &mut outcome);
            // Others hear of it at once, or with the next regular heartbeat.
            let is_regular = (now.0 / STEP.0 + rank as u64 * 7).is_multiple_of(50);
            if is_announcing || is_regular {
                let (age, version) = (entry.freshness.get_age(now), entry.version);
                for (other, entry) in entries.iter_mut().enumerate() {
                    if other != rank && !random.random_bool(faults.lost) {
                        entry.queue.push(Message { age, version });
                    }
                }
            }
        }
    }
    outcome
}

/// Begins and ends the calls of an entry to the store; returns whether it has something to announce.
fn step_calls(
    entry: &mut Entry,
    now: Micros,
    latest: usize,
    rank: (usize, usize),
    outcome: &mut Outcome,
) -> bool {
    let is_answered = now >= entry.turned_away_until;
    if let Some((sent, _, version)) = entry.call.take_if(|(_, end, _)| now >= *end) {
        if is_answered {
            entry.version = entry.version.max(version);
            entry.freshness.record_confirmed(sent);
            return true;
        }
        entry.next_call = now + RETRY_INTERVAL;
    }
    let is_due = entry.get_stage(now, rank.0, rank.1) != FreshnessStage::Current;
    if entry.call.is_none() && now >= entry.next_call && is_due {
        outcome.calls += 1;
        let is_large = latest > entry.version;
        let time = if is_large { CALL_TIME } else { SMALL_CALL_TIME };
        entry.call = Some((now, now + time, latest));
    }
    false
}

/// Records how old the version is by which an entry serves now, if it does.
fn record_service(entry: &Entry, now: Micros, rank: (usize, usize), outcome: &mut Outcome) {
    let replaced = Micros(CHANGE_INTERVAL.0 * (entry.version as u64 + 1));
    let outdated = now - replaced;
    let is_confirmed = entry.freshness.get_age(now).is_some();
    match entry.get_stage(now, rank.0, rank.1) {
        FreshnessStage::Expired => outcome.rejected += 1,
        stage if stage == FreshnessStage::Unconfirmed || !is_confirmed => {
            outcome.served_unconfirmed = outcome.served_unconfirmed.max(outdated);
        }
        _ => outcome.served = outcome.served.max(outdated),
    }
}

const ALL_FAULTS: Faults = Faults {
    lost: 0.2,
    failed: 0.5,
    turned_away: 0.0005,
    frozen: 0.0005,
    killed: 0.0002,
};

/// Guards against an entry that serves by routes which were replaced longer ago than the bound, whatever has kept it
/// from getting the change.
#[test]
fn freshness_is_bounded_under_faults() {
    for (count, seeds) in [(1, 20), (5, 20), (47, 4)] {
        for seed in 0..seeds {
            let outcome = run(count, ALL_FAULTS, seed, Micros::from_millis(60_000));
            assert!(
                outcome.served < BOUND,
                "{count} entries, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against entries that reject requests, or serve unconfirmed, though no fault is near, and against more calls
/// than one for all at an interval.
#[test]
fn freshness_is_kept_by_one_call_in_calm() {
    let end = Micros::from_millis(60_000);
    for count in [1, 5, 47, 210] {
        let outcome = run(count, Faults::default(), 7, end);
        assert_eq!(outcome.rejected, 0, "{count}: {outcome:?}");
        // The first confirmations at the start come from several.
        let expected = (end.0 / CONFIRM.0) as usize + count.min(60);
        assert!(outcome.calls <= expected, "{count}: {outcome:?}");
        assert!(outcome.served < BOUND.scaled(0.8), "{count}: {outcome:?}");
    }
}

/// Guards against an entry that has just started and takes knowledge from before that for as young as itself.
#[test]
fn record_relayed_from_before_the_start() {
    let mut freshness = Freshness::new(Micros::ZERO);
    let now = Micros::from_millis(300);
    freshness.record_relayed(now, Micros::from_millis(5000));
    assert_eq!(freshness.get_age(now), None);
    freshness.record_relayed(now, Micros::from_millis(200));
    assert_eq!(freshness.get_age(now), Some(Micros::from_millis(200)));
}

/// Guards against limits whose order does not hold: the last entry must have asked the store, with a reply of the
/// smallest link, before requests are rejected.
#[test]
fn get_read_age_leaves_time_for_a_call() {
    for bound in [500, 2000, 2500, 5000].map(Micros::from_millis) {
        let limits = FreshnessLimits::new(bound, CONFIRM);
        for count in [1, 3, 5, 47, 210, 1000] {
            let ages = (0..count).map(|rank| limits.get_read_age(rank, count));
            let ages: Vec<Micros> = ages.collect();
            assert!(ages.is_sorted(), "{bound:?} {count}");
            let time_left = limits.get_reject_age() - ages[count - 1];
            assert!(time_left >= bound.scaled(0.1), "{bound:?} {count}");
        }
        assert!(limits.get_reject_age() < bound);
    }
}

/// The worst chain, one fault after the other, in calm otherwise: the reply to the watch is lost right after a
/// confirmation, the two first watchers die before the next one, the third reads the large change over the smallest link
/// and its heartbeat is lost, and the first peer that is asked does not answer. The last entry has the change before it
/// would reject requests.
#[test]
fn worst_chain_ends_before_requests_are_rejected() {
    let limits = limits();
    let third = limits.get_read_age(2, 210);
    // Full heartbeats are sent again when something changes, and by others that have fetched meanwhile.
    let next_heartbeat = FETCH_TIME;
    let steps = [
        third,
        CALL_TIME,
        next_heartbeat,
        FETCH_TIME,
        Micros::from_millis(100),
    ];
    let total = steps.into_iter().fold(Micros::ZERO, |sum, step| sum + step);
    assert!(total < limits.get_reject_age(), "{total:?}");
}
