use std::net::SocketAddr;

use lentilcart_util::{Map, Micros, Name, Set};

use crate::member::weighted_rank;

/// Time after which a fetch without a result is joined by one from another peer.
const HEDGE_DELAY: Micros = Micros::from_millis(250);
/// Largest number of fetches in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Time for which a peer that had no room is not asked again.
const BUSY_PAUSE: Micros = Micros::from_millis(150);
/// Time for which a peer whose reply did not come, or cannot be used, is not asked again.
const FAILURE_PAUSE: Micros = Micros::from_millis(300);

/// A peer that has a later change than this entry's mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchSource {
    /// Its name.
    pub name: Name,
    /// Address on which it serves its mirrors.
    pub address: SocketAddr,
    /// Whether it is in this entry's data centre.
    pub is_local: bool,
    /// Weight in the choice among the peers, by what it can bear.
    pub weight: u32,
    /// Revision of its latest change.
    pub latest: u64,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The mirror was merged.
    Merged,
    /// The peer had no room to serve it.
    Busy,
    /// No usable reply came.
    Failed,
}

/// What is to be done next to bring a mirror up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// Fetch from this peer, beside the fetches in flight.
    Fetch(FetchSource),
    /// Wait for a fetch, for another peer or for a pause to end.
    Wait,
    /// Nothing: no peer is known that has a later change.
    Done,
}

/// Chooses the peers from which a mirror that is behind is fetched.
///
/// Each entry has an order of the peers of its own, by weight, so that not all ask the one that they have heard
/// first. Peers of the same data centre come before others, and those that have failed come last. A fetch that takes
/// long is joined by further ones, and a peer that had no room or did not reply is passed over for a while.
#[derive(Debug)]
pub struct FetchPlan {
    /// Key of this entry's order of the peers.
    key: Name,
    /// Whether steps are being taken; see [`FetchPlan::record_source`].
    is_running: bool,
    sources: Map<Name, FetchSource>,
    in_flight: Set<Name>,
    /// Failed fetches by peer since the mirror is behind.
    failures: Map<Name, u32>,
    last_start: Micros,
    /// Peers that are passed over, and until when.
    paused: Map<Name, Micros>,
}

impl FetchPlan {
    /// Creates a plan without peers; `key` is the name of this entry.
    #[must_use]
    pub fn new(key: Name) -> Self {
        Self {
            key,
            is_running: false,
            sources: Map::default(),
            in_flight: Set::default(),
            failures: Map::default(),
            last_start: Micros::ZERO,
            paused: Map::default(),
        }
    }

    /// Records a peer with a later change. Returns whether the caller has to begin to take steps, until one of them
    /// is [`FetchStep::Done`].
    pub fn record_source(&mut self, source: FetchSource) -> bool {
        self.sources.insert(source.name.clone(), source);
        !std::mem::replace(&mut self.is_running, true)
    }

    /// Returns the next step for a mirror at `revision`. Peers of other data centres are asked only if
    /// `may_ask_remote` is true, and none of this one can be.
    pub fn next(&mut self, now: Micros, revision: u64, may_ask_remote: bool) -> FetchStep {
        self.sources.retain(|_, source| source.latest > revision);
        self.paused.retain(|_, until| *until > now);
        if self.sources.is_empty() {
            self.in_flight.clear();
            self.failures.clear();
            self.is_running = false;
            return FetchStep::Done;
        }
        let is_early = !self.in_flight.is_empty() && now - self.last_start < HEDGE_DELAY;
        if is_early || self.in_flight.len() >= MAX_IN_FLIGHT {
            return FetchStep::Wait;
        }
        let Some(source) = self.choose(may_ask_remote) else {
            return FetchStep::Wait;
        };
        self.in_flight.insert(source.name.clone());
        self.last_start = now;
        FetchStep::Fetch(source)
    }

    /// Returns the first peer that can be asked: of those that have failed least, the first of this data centre or,
    /// without one, of the others.
    fn choose(&self, may_ask_remote: bool) -> Option<FetchSource> {
        let get_rank = |source: &FetchSource| (self.get_failures(&source.name), !source.is_local);
        let sources = self.sources.values().filter(|source| {
            (source.is_local || may_ask_remote)
                && !self.in_flight.contains(&source.name)
                && !self.paused.contains_key(&source.name)
        });
        let sources: Vec<&FetchSource> = sources.collect();
        let best = sources.iter().map(|source| get_rank(source)).min()?;
        let best = sources.iter().filter(|source| get_rank(source) == best);
        let weighted = best.map(|source| (&source.name, source.weight));
        let first = weighted_rank(&self.key, weighted, 1).first().copied()?;
        self.sources.get(first).cloned()
    }

    fn get_failures(&self, name: &Name) -> u32 {
        self.failures.get(name).copied().unwrap_or_default()
    }

    /// Records the end of a fetch.
    pub fn record_end(&mut self, name: &Name, outcome: FetchOutcome, now: Micros) {
        self.in_flight.remove(name);
        let pause = match outcome {
            FetchOutcome::Merged => {
                self.sources.remove(name);
                return;
            }
            FetchOutcome::Busy => BUSY_PAUSE,
            FetchOutcome::Failed => {
                *self.failures.entry(name.clone()).or_default() += 1;
                FAILURE_PAUSE
            }
        };
        self.paused.insert(name.clone(), now + pause);
    }
}
