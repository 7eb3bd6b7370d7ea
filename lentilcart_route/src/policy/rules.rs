use lentilcart_util::Micros;

use super::pick_context::PickContext;

const MAX_PROBE_AGE: Micros = Micros::from_millis(1000);
const HOT_QUANTILE: f64 = 0.84;
const WAIT_WEIGHT: f64 = 10.0;
const REMOTE_WEIGHT: f64 = 1.0;
const BORROWED_WEIGHT: f64 = 1.0;
/// Cost of a failed attempt, in usual work times.
const FAILURE_COST: f64 = 8.0;
/// Spread of the time that a request takes around what is expected, as a share of the time left.
const LATE_SPREAD: f64 = 0.2;
/// Cost of time itself, for all of the time left, as a probability of a late answer.
const LATENCY_COST: f64 = 0.15;
/// Probabilities of a late answer that count as equal: entries that know the same would otherwise all
/// choose the same server.
const LATE_MARGIN: f64 = 0.04;
/// Shortest time left that is reckoned with.
const MIN_REMAINING: Micros = Micros::from_millis(10);

pub(super) fn random(context: &mut PickContext<'_>) -> usize {
    context.pick_random()
}

pub(super) fn round_robin(context: &mut PickContext<'_>) -> usize {
    context.candidates[context.picks as usize % context.candidates.len()]
}

/// Fewest outstanding requests of this entry.
pub(super) fn least_outstanding(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| c.get_load(index, 0))
}

/// Shortest expected wait; then fewest outstanding requests.
pub(super) fn shortest_wait(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| c.get_queue_wait(index) * WAIT_WEIGHT + c.get_load(index, 0))
}

/// Shortest expected wait; then the sender's data centre, which keeps slots from idling while
/// requests travel; then fewest outstanding requests.
pub(super) fn local_shortest_wait(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        let remote = f64::from(u8::from(c.is_remote(index)));
        c.get_queue_wait(index) * WAIT_WEIGHT + remote * REMOTE_WEIGHT + c.get_load(index, 0)
    })
}

/// Fewest outstanding requests of all entries, as far as their digests tell.
pub(super) fn least_of_all_entries(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| c.get_load(index, c.states[index].get_digest_requests(c.now)))
}

/// Lowest probability of a late answer, by the servers' own reports of load and speed, each of which
/// counts the less the older it is; then the shortest time, and the sender's data centre.
pub(super) fn least_late(context: &mut PickContext<'_>) -> usize {
    context.pick_near_lowest(LATE_MARGIN, |c, index| {
        let state = &c.states[index];
        let remote = f64::from(u8::from(c.is_remote(index)));
        let failure_rate = state.get_failure_rate(c.now);
        let expected_latency = state.get_latency_factor(c.now, c.service_time)
            * c.service_time
            * (1.0 + failure_rate * FAILURE_COST);
        let remaining = (c.objective - c.now).0.max(MIN_REMAINING.0) as f64;
        let share = expected_latency / remaining;
        let late_probability = 1.0 / (1.0 + ((1.0 - share) / LATE_SPREAD).exp());
        late_probability + share * LATENCY_COST + remote * c.config.remote_cost
    })
}

/// Own slots first, then the slots of other entries.
pub(super) fn shard_slots_first(context: &mut PickContext<'_>) -> usize {
    context.pick_lowest(|c, index| {
        let state = &c.states[index];
        let borrowed = state.get_outstanding() >= state.get_shard_slots(index, c.shard);
        c.get_load(index, 0) + BORROWED_WEIGHT * f64::from(u8::from(borrowed))
    })
}

/// The less loaded of two random servers, after Mitzenmacher, 2001.
pub(super) fn two_choices(context: &mut PickContext<'_>) -> usize {
    let (a, b) = (context.pick_random(), context.pick_random());
    if context.get_load(a, 0) <= context.get_load(b, 0) {
        a
    } else {
        b
    }
}

/// The hot/cold rule of Prequal (Wydrowski et al., NSDI 2024): among the probed servers, those
/// with the most requests in flight are hot; the cold one with the lowest latency wins, or, where
/// all are hot, the one with the fewest requests in flight.
pub(super) fn probe_pool(context: &mut PickContext<'_>) -> usize {
    let get_measured = |index: &usize| {
        let probe = context.states[*index].get_probe_result(context.now, MAX_PROBE_AGE);
        probe.map(|(load, latency)| {
            (
                *index,
                load + context.states[*index].get_outstanding(),
                latency,
            )
        })
    };
    let probes: Vec<(usize, u32, Micros)> =
        context.candidates.iter().filter_map(get_measured).collect();
    let mut loads: Vec<u32> = probes.iter().map(|(_, load, _)| *load).collect();
    loads.sort_unstable();
    let rank = (loads.len() as f64 * HOT_QUANTILE) as usize;
    match loads.get(rank.min(loads.len().saturating_sub(1))) {
        None => context.pick_random(),
        Some(hot) => {
            let cold = probes.iter().filter(|(_, load, _)| load < hot);
            let cold = cold.min_by_key(|(_, load, latency)| (*latency, *load));
            let best = cold.or_else(|| probes.iter().min_by_key(|(_, load, _)| *load));
            best.map_or(context.candidates[0], |(index, ..)| *index)
        }
    }
}
