use lentilcart_util::{Map, Name};

/// Weight of requests without an account and of accounts without a limit: as that of an account with this
/// many requests a second.
pub(crate) const DEFAULT_WEIGHT: f64 = 20.0;
/// Requests by which an account whose requests could not use the free servers may catch up.
const MAX_CATCH_UP: f64 = 4.0;

/// Order in which the accounts with queued requests of one priority take turns: start-time fair queueing
/// (Goyal, Vin and Cheng, SIGCOMM 1996), with one request as the unit of service.
///
/// Each account has a start tag, the virtual time of its next turn, and the lowest tag goes first. A turn
/// advances the tag by the reciprocal of the weight. An account that was idle begins at the current virtual
/// time, so that it gains nothing by having been idle.
///
/// Tags belong to accounts instead of requests, since which request of an account goes next is decided when
/// it goes.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    /// Start tag of the last turn, the latest of them.
    virtual_time: f64,
    /// Number of queued requests.
    queued: usize,
    flows: Map<Option<Name>, Flow>,
}

/// The queued requests of an account.
#[derive(Debug)]
struct Flow {
    queued: usize,
    weight: f64,
    /// Start tag of the next turn.
    start: f64,
}

impl FairShare {
    /// Adds a queued request of an account.
    pub(super) fn enter(&mut self, account: Option<&Name>, weight: f64) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(account.cloned()).or_insert(Flow {
            queued: 0,
            weight,
            start: virtual_time,
        });
        if flow.queued == 0 {
            flow.start = flow.start.max(virtual_time);
        }
        flow.queued += 1;
        flow.weight = weight;
        self.queued += 1;
    }

    /// Removes a queued request of an account; `started` says whether it takes the account's turn.
    ///
    /// The state of an account without queued requests is removed when the virtual time reaches its tag: after
    /// at most as many turns as the weights of the accounts with queued requests add up to, divided by its own,
    /// or when nothing is queued.
    pub(super) fn leave(&mut self, account: Option<&Name>, started: bool) {
        let Some(flow) = self.flows.get_mut(&account.cloned()) else {
            return;
        };
        flow.queued -= 1;
        self.queued -= 1;
        if started {
            let earliest = self.virtual_time - MAX_CATCH_UP / flow.weight;
            self.virtual_time = self.virtual_time.max(flow.start);
            flow.start = flow.start.max(earliest) + 1.0 / flow.weight;
        }
        if self.queued == 0 {
            *self = Self::default();
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| flow.queued > 0 || flow.start > virtual_time);
    }

    /// Returns the accounts with queued requests in the order of their turns.
    pub(super) fn get_turns(&self) -> Vec<Option<Name>> {
        let backlogged = self.flows.iter().filter(|(_, flow)| flow.queued > 0);
        let mut turns: Vec<_> = backlogged
            .map(|(account, flow)| (flow.start, account))
            .collect();
        turns.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        turns
            .into_iter()
            .map(|(_, account)| account.clone())
            .collect()
    }

    /// Returns the start tag and the weight of each account.
    pub(super) fn get_start_tags(&self) -> Map<Option<Name>, (f64, f64)> {
        let flows = self.flows.iter();
        flows
            .map(|(account, flow)| (account.clone(), (flow.start, flow.weight)))
            .collect()
    }

    /// Returns the number of queued requests that go before a new one of an account, which takes its turn
    /// behind the account's own: another account has, in the meantime, turns by its weight.
    pub(super) fn get_ahead_count(&self, account: Option<&Name>, weight: f64) -> usize {
        let own = self
            .flows
            .get(&account.cloned())
            .map_or(0, |flow| flow.queued);
        let rounds = (own + 1) as f64 / weight;
        let others = self
            .flows
            .iter()
            .filter(|(other, flow)| other.as_ref() != account && flow.queued > 0);
        let turns = others.map(|(_, flow)| flow.queued.min((rounds * flow.weight).ceil() as usize));
        own + turns.sum::<usize>()
    }

    /// Returns the number of accounts with state.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }
}
