use std::sync::Arc;

use lentilcart_route::{PendingRequest, Rejection};
use lentilcart_state::ClaimVerdict;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::claims::take;
use super::entry::Entry;
use super::permit::Permit;
use crate::peer::{Ask, AskKind, Denial};

/// Gives a server to an attempt of this or another entry's request, as soon as one is free.
///
/// `origin` is the data centre of the other entry.
pub(crate) async fn grant_permit(
    entry: &Arc<Entry>,
    ask: &Ask,
    origin: Option<Name>,
) -> Result<Permit, Denial> {
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
    let excluded = desk.read_pool(|pool| {
        ask.tried
            .iter()
            .filter_map(|a| pool.get_server_index(*a))
            .collect()
    });
    let job = PendingRequest {
        id: entry.next_serial(),
        priority: ask.priority,
        at_most_once: ask.once,
        arrived: now - ask.age,
        deadline: now + ask.left,
        objective: now + ask.left,
        origin,
        excluded,
    };
    match ask.kind {
        AskKind::Hedge => desk.hedge(&job).ok_or(Denial::NoBudget),
        AskKind::Retry if !desk.with_pool(|pool, _| pool.take_retry_token()) => {
            Err(Denial::NoBudget)
        }
        AskKind::First | AskKind::Retry => {
            let acquired = timeout_at(deadline, desk.acquire(job)).await;
            acquired
                .unwrap_or(Err(Rejection::Overload))
                .map_err(|refusal| match refusal {
                    Rejection::NoServer => Denial::NoServer,
                    _ => Denial::Overload,
                })
        }
    }
}
