use std::sync::Arc;

use lentilcart_route::{PendingRequest, Rejection};
use lentilcart_state::ClaimVerdict;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::claims::take;
use super::entry::Entry;
use super::permit::Permit;
use crate::peer::{AttemptKind, EntryPermitRequest, PermitRejection};

/// Gives a server to an attempt of this or another entry's request, as soon as one is free.
///
/// `origin` is the data centre of the other entry.
pub(crate) async fn grant_permit(
    entry: &Arc<Entry>,
    ask: &EntryPermitRequest,
    origin: Option<Name>,
) -> Result<Permit, PermitRejection> {
    let now = entry.clock.now();
    let deadline = Instant::from_std(entry.clock.at(now + ask.remaining));
    if let Some(claim) = &ask.claim {
        let taken = timeout_at(deadline, take(entry, &ask.service, claim)).await;
        match taken.unwrap_or(ClaimVerdict::Unavailable) {
            ClaimVerdict::Stored => {}
            ClaimVerdict::Held(state) => return Err(PermitRejection::Claimed(state)),
            ClaimVerdict::Unavailable => return Err(PermitRejection::ClaimUnavailable),
        }
    }
    let view = entry.get_active_tickets();
    let desk = view
        .dispatchers
        .get(&ask.service)
        .ok_or(PermitRejection::NoServer)?;
    let excluded = desk.read_pool(|pool| {
        ask.excluded
            .iter()
            .filter_map(|a| pool.get_server_index(*a))
            .collect()
    });
    let job = PendingRequest {
        id: entry.next_serial(),
        priority: ask.priority,
        at_most_once: ask.once,
        arrived: now - ask.age,
        deadline: now + ask.remaining,
        objective: now + ask.remaining,
        origin,
        excluded,
    };
    match ask.kind {
        AttemptKind::Hedge => desk.hedge(&job).ok_or(PermitRejection::NoBudget),
        AttemptKind::Retry if !desk.with_pool(|pool, _| pool.take_retry_token()) => {
            Err(PermitRejection::NoBudget)
        }
        AttemptKind::First | AttemptKind::Retry => {
            let acquired = timeout_at(deadline, desk.acquire(job)).await;
            acquired
                .unwrap_or(Err(Rejection::Overload))
                .map_err(|refusal| match refusal {
                    Rejection::NoServer => PermitRejection::NoServer,
                    _ => PermitRejection::Overload,
                })
        }
    }
}
