use std::sync::Arc;

use lentilcart_route::{PendingRequest, Rejection};
use lentilcart_state::ClaimVerdict;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::claims::acquire_claim;
use super::entry::Entry;
use super::permit::Permit;
use crate::peer::{AttemptKind, EntryPermitRequest, PermitRejection};

/// Grants a permit for an attempt of this or another entry's request, as soon as a server is free.
/// A claim that comes with the request is stored first.
///
/// `origin_data_center` is the data centre of the other entry; `None` if the request came to
/// this entry or the data centre of the other entry is not known yet.
///
/// # Errors
///
/// Returns why there is no permit. A deadline that passes is [`PermitRejection::ClaimUnavailable`]
/// while the claim is being stored, and [`PermitRejection::Overload`] after that.
pub(crate) async fn grant_permit(
    entry: &Arc<Entry>,
    request: &EntryPermitRequest,
    origin_data_center: Option<Name>,
) -> Result<Permit, PermitRejection> {
    let now = entry.clock.now();
    let deadline = Instant::from_std(entry.clock.to_instant(now + request.remaining));
    if let Some(claim) = &request.claim {
        let verdict = timeout_at(deadline, acquire_claim(entry, &request.service, claim)).await;
        match verdict.unwrap_or(ClaimVerdict::Unavailable) {
            ClaimVerdict::Stored => {}
            ClaimVerdict::Held(state) => return Err(PermitRejection::Claimed(state)),
            ClaimVerdict::Unavailable => return Err(PermitRejection::ClaimUnavailable),
        }
    }
    let active = entry.get_active_config();
    let dispatcher = active
        .dispatchers
        .get(&request.service)
        .ok_or(PermitRejection::NoServer)?;
    let pending = PendingRequest {
        id: entry.next_serial(),
        priority: request.priority,
        at_most_once: request.at_most_once,
        arrived: now - request.age,
        deadline: now + request.remaining,
        // A request of an entry has no time objective besides its deadline.
        objective: now + request.remaining,
        latency_objective: None,
        origin: origin_data_center,
        sender: None,
        excluded: request.excluded.clone(),
        max_outstanding: None,
        account: None,
        weight: None,
    };
    match request.kind {
        AttemptKind::Hedge => dispatcher.hedge(&pending).ok_or(PermitRejection::NoBudget),
        AttemptKind::Retry if !dispatcher.update_pool(|pool, _| pool.take_retry_token()) => {
            Err(PermitRejection::NoBudget)
        }
        AttemptKind::First | AttemptKind::Retry => {
            let acquired = timeout_at(deadline, dispatcher.acquire(pending)).await;
            acquired
                .unwrap_or(Err(Rejection::Overload))
                .map_err(|rejection| match rejection {
                    Rejection::NoServer => PermitRejection::NoServer,
                    _ => PermitRejection::Overload,
                })
        }
    }
}
