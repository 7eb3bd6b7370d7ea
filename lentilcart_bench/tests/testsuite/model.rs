//! Overload of servers whose speed changes over time, simulated on virtual time.

use lentilcart_bench::model::{LoadPhase, ModelConfig, PhaseTally, simulate};
use lentilcart_util::Micros;

/// Length of each phase of the load.
const PHASE_LENGTH: Micros = Micros::from_millis(6000);

/// Requests that a server runs at the same time.
const SLOTS: f64 = 3.0;

/// Simulates phases of load one after the other, each a share of the capacity of the slots at the
/// usual speed, and returns their tallies.
fn simulate_loads(shares: &[f64]) -> Vec<PhaseTally> {
    simulate_loads_in_need(shares, 0.0)
}

/// Simulates phases of load while a share of the servers is in need and names a limit of 3 requests a
/// second each.
fn simulate_loads_in_need(shares: &[f64], need_share: f64) -> Vec<PhaseTally> {
    let config = ModelConfig {
        servers: 50,
        slow_share: 0.25,
        service_time: Micros::from_millis(230),
        objective: Micros::from_millis(600),
        deadline: Micros::from_millis(5000),
        probe_age: Micros::from_millis(10),
        queued_probe_age: Micros::from_millis(40),
        need_share,
        need_limit: 3.0,
        names_limit: true,
    };
    let full_rate = config.servers as f64 * 3.0 / config.service_time.as_secs();
    let phases = shares.iter().zip(0..).map(|(share, index)| LoadPhase {
        starts_at: PHASE_LENGTH.scaled(f64::from(index)),
        rate: full_rate * share,
    });
    let phases: Vec<LoadPhase> = phases.collect();
    let end = PHASE_LENGTH.scaled(shares.len() as f64);
    simulate(config, |pool| pool.reserve = 1, &phases, end, 1)
}

/// Returns the share of requests that were answered within the objective.
fn get_prompt_share(tally: PhaseTally) -> f64 {
    f64::from(tally.prompt) / f64::from(tally.sent)
}

#[test]
fn normal_load_is_prompt() {
    // 5% is left for stragglers, which are 3% of the requests, and for servers that turn slow.
    assert!(get_prompt_share(simulate_loads(&[0.3])[0]) > 0.95);
}

#[test]
fn overload_does_not_collapse() {
    // Requests can be prompt in two slots of each server that is not slow; the reserve keeps the third
    // free in an overload. A fifth of that capacity is left for stragglers, which account for a sixth of
    // all service time.
    let prompt_slots = 50.0 * 2.0 * 0.75;
    let max_prompt = prompt_slots / 0.230 * PHASE_LENGTH.as_secs();
    let prompt = simulate_loads(&[1.2])[0].prompt;
    assert!(
        f64::from(prompt) > 0.8 * max_prompt,
        "{prompt} of {max_prompt}"
    );
}

#[test]
fn load_recovers_after_overload() {
    let tallies = simulate_loads(&[1.2, 0.4]);
    assert!(get_prompt_share(tallies[1]) > 0.9, "{tallies:?}");
}

/// Guards against requests that are sent to servers in need again and again, and turned away there: before
/// its first answer, a server is sent at most as many as it has slots.
#[test]
fn servers_in_need_turn_few_requests_away() {
    for need_share in [0.1, 0.3, 1.0] {
        let tallies = simulate_loads_in_need(&[0.2, 0.5], need_share);
        let turned_away: u32 = tallies.iter().map(|tally| tally.turned_away).sum();
        let max_turned_away = 50.0 * need_share * SLOTS;
        assert!(
            f64::from(turned_away) <= max_turned_away,
            "{need_share}: {turned_away} of {max_turned_away}"
        );
    }
}
