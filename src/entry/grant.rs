use std::sync::Arc;

use lentilcart_route::{Job, Refusal};
use lentilcart_state::ClaimVerdict;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::claims::take;
use super::entry::Entry;
use super::lease::Lease;
use crate::peer::{Ask, AskKind, Denial};

/// Gives a server to an attempt of this or another entry's request, as soon as one is free.
///
/// `near` is the data centre of the other entry.
pub(crate) async fn grant(
    entry: &Arc<Entry>,
    ask: &Ask,
    near: Option<Name>,
) -> Result<Lease, Denial> {
    let now = entry.clock.now();
    let deadline = Instant::from_std(entry.clock.at(now + ask.left));
    if let Some(claim) = &ask.claim {
        let taken = timeout_at(deadline, take(entry, &ask.service, claim)).await;
        match taken.unwrap_or(ClaimVerdict::Unavailable) {
            ClaimVerdict::Stored => {}
            ClaimVerdict::Held(state) => return Err(Denial::Claimed(state)),
            ClaimVerdict::Unavailable => return Err(Denial::NoClaim),
        }
    }
    let view = entry.get_view();
    let desk = view.desks.get(&ask.service).ok_or(Denial::NoServer)?;
    let tried = desk.look(|pool| {
        ask.tried
            .iter()
            .filter_map(|a| pool.get_index(*a))
            .collect()
    });
    let job = Job {
        id: entry.next_serial(),
        priority: ask.priority,
        once: ask.once,
        arrived: now - ask.age,
        deadline: now + ask.left,
        objective: now + ask.left,
        near,
        tried,
    };
    match ask.kind {
        AskKind::Hedge => desk.hedge(&job).ok_or(Denial::NoBudget),
        AskKind::Retry if !desk.with(|pool, _| pool.retry()) => Err(Denial::NoBudget),
        AskKind::First | AskKind::Retry => {
            let acquired = timeout_at(deadline, desk.acquire(job)).await;
            acquired
                .unwrap_or(Err(Refusal::Overload))
                .map_err(|refusal| match refusal {
                    Refusal::NoServer => Denial::NoServer,
                    _ => Denial::Overload,
                })
        }
    }
}
