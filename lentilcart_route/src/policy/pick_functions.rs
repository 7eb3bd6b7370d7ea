use lentilcart_util::Micros;

use super::pick_context::PickContext;

/// Age from which the answer to a probe is no longer used.
const MAX_PROBE_AGE: Micros = Micros::from_millis(1000);
/// Quantile of the numbers of requests from which a probed server is hot.
const HOT_QUANTILE: f64 = 0.84;
/// Penalty for an expected wait of one mean latency; 10 times that of a load of one request for
/// each slot, so that the wait goes before the load.
const WAIT_PENALTY: f64 = 10.0;
/// Penalty for a server in another data centre, in the unit of `get_load_per_slot`: 1 is as much as
/// one request for each slot.
const REMOTE_PENALTY: f64 = 1.0;
/// Penalty for a slot in another entry's shard, in the unit of `get_load_per_slot`: 1 is as much as
/// one request for each slot.
const BORROWED_PENALTY: f64 = 1.0;
/// Cost of a failed attempt, in multiples of the expected latency.
const FAILURE_COST: f64 = 8.0;
/// Spread of the actual latency around the expected one, as a share of the remaining time.
const MISS_SPREAD: f64 = 0.2;
/// Score that is added if the expected latency equals the remaining time, as a probability of a
/// missed objective; other latencies add in proportion.
const LATENCY_COST: f64 = 0.15;
/// Difference up to which scores count as equal, as a probability of a missed objective: entries
/// with the same information would otherwise all pick the same server.
const MISS_MARGIN: f64 = 0.04;
/// Lower bound of the remaining time that scores are computed with.
const MIN_REMAINING: Micros = Micros::from_millis(10);

/// Picks a random server.
pub(super) fn random(context: &mut PickContext<'_>) -> usize {
    context.pick_random()
}

/// Picks the candidates in turn.
pub(super) fn round_robin(context: &mut PickContext<'_>) -> usize {
    context.candidates[context.picks as usize % context.candidates.len()]
}

/// Picks the server with the lowest sum of outstanding requests of this entry and consecutive
/// failures per slot (least-loaded).
pub(super) fn least_outstanding(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| c.get_load_per_slot(index, 0))
}

/// Picks the server with the lowest sum of the weighted expected wait and the outstanding requests
/// and consecutive failures per slot.
pub(super) fn weighted_wait(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        c.get_queue_wait(index) * WAIT_PENALTY + c.get_load_per_slot(index, 0)
    })
}

/// Picks the server with the lowest sum of:
///
/// - the weighted expected wait,
/// - a penalty for another data centre than the origin's, since a slot there idles while a request
///   travels to it,
/// - the outstanding requests of this entry and the consecutive failures, per slot.
///
/// A failing, full or overcommitted local server can thus lose to a remote one.
pub(super) fn local_weighted_wait(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        let remote = f64::from(u8::from(c.is_remote(index)));
        c.get_queue_wait(index) * WAIT_PENALTY
            + remote * REMOTE_PENALTY
            + c.get_load_per_slot(index, 0)
    })
}

/// Picks the server with the lowest sum of outstanding requests of all entries and consecutive
/// failures per slot, by this entry's counts and the load digests of the others.
pub(super) fn least_outstanding_of_all(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        c.get_load_per_slot(index, c.states[index].get_digest_requests(c.now))
    })
}

/// Picks at random among the servers whose score is at most `MISS_MARGIN` above the lowest. The
/// score is the probability that the objective is missed, plus a cost of the expected latency and
/// of another data centre.
///
/// The probability is a logistic function of the expected latency, which comes from this entry's
/// outstanding requests, the servers' load reports of requests and slowdown, and the warm-up; a
/// report counts the less the older it is. The failure rate multiplies the expected latency, by up
/// to 9.
pub(super) fn lowest_miss_probability(context: &mut PickContext<'_>) -> usize {
    context.pick_near_lowest(MISS_MARGIN, |c, index| {
        let state = &c.states[index];
        let remote = f64::from(u8::from(c.is_remote(index)));
        let failure_rate = state.get_failure_rate(c.now);
        let expected_latency = state.get_latency_factor(c.now, c.base_service_time)
            * c.service_time
            * (1.0 + failure_rate * FAILURE_COST);
        let remaining = (c.objective - c.now).0.max(MIN_REMAINING.0) as f64;
        let share = expected_latency / remaining;
        let miss_probability = 1.0 / (1.0 + ((1.0 - share) / MISS_SPREAD).exp());
        miss_probability + share * LATENCY_COST + remote * c.config.remote_cost
    })
}

/// Picks the server with the lowest sum of outstanding requests of this entry and consecutive
/// failures per slot, and a penalty if this entry has no free slot in its shard there. A server
/// with a free slot in this entry's shard thus goes before an equally loaded one without.
pub(super) fn own_shard_first(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        let state = &c.states[index];
        let borrowed = state.get_outstanding() >= state.get_shard_slots(index, c.shard);
        c.get_load_per_slot(index, 0) + BORROWED_PENALTY * f64::from(u8::from(borrowed))
    })
}

/// Picks the less loaded of two random servers, by the sum of outstanding requests of this entry
/// and consecutive failures per slot (the power of two choices, after Mitzenmacher, 2001).
pub(super) fn two_choices(context: &mut PickContext<'_>) -> usize {
    let (a, b) = (context.pick_random(), context.pick_random());
    if context.get_load_per_slot(a, 0) <= context.get_load_per_slot(b, 0) {
        a
    } else {
        b
    }
}

/// Picks by the hot/cold rule of Prequal (Wydrowski et al., NSDI 2024): among the probed servers,
/// those whose requests are at or above the 84 % quantile are hot; the cold one with the lowest
/// probe latency is picked, or, if all are hot, the one with the fewest requests.
///
/// The requests of a server are those that the last probe reported and this entry's outstanding
/// ones. This counts what this entry has sent since the probe; what it had sent before counts twice
/// while it is outstanding.
///
/// Picks a random server while no answer to a probe is fresh.
pub(super) fn probe_pool(context: &mut PickContext<'_>) -> usize {
    // Server index, requests (of the last probe and this entry's own) and latency of the last
    // probe.
    let get_measured = |index: &usize| {
        let probe = context.states[*index].get_probe_result(context.now, MAX_PROBE_AGE);
        probe.map(|(requests, latency)| {
            (
                *index,
                requests + context.states[*index].get_outstanding(),
                latency,
            )
        })
    };
    let probes: Vec<(usize, u32, Micros)> =
        context.candidates.iter().filter_map(get_measured).collect();
    let mut counts: Vec<u32> = probes.iter().map(|(_, requests, _)| *requests).collect();
    counts.sort_unstable();
    let rank = (counts.len() as f64 * HOT_QUANTILE) as usize;
    match counts.get(rank.min(counts.len().saturating_sub(1))) {
        None => context.pick_random(),
        Some(hot) => {
            let cold = probes.iter().filter(|(_, requests, _)| requests < hot);
            let cold = cold.min_by_key(|(_, requests, latency)| (*latency, *requests));
            let best = cold.or_else(|| probes.iter().min_by_key(|(_, requests, _)| *requests));
            best.map_or(context.candidates[0], |(index, ..)| *index)
        }
    }
}
