use std::net::IpAddr;
use std::time::Duration;

use lentilcart_util::Name;

use super::checks::SoakFault;

/// Time after the store's acknowledgement of an evacuation from which the servers get nothing more.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time for which the store and an entry must be undisturbed before the bound holds for the entry again.
const CONTACT: Duration = Duration::from_secs(3);

/// A message that a server got, a request or a health check. Times are Unix milliseconds.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time.
    pub at: u64,
    /// Identifier of the request; empty for a health check.
    pub request: Name,
    /// Identifier of the server.
    pub server: Name,
    /// Data centre of the server.
    pub data_center: &'static str,
    /// Address of the entry that sent it.
    pub entry: IpAddr,
}

/// An evacuation that the schedule has played. Times are Unix milliseconds.
#[derive(Debug, Clone)]
pub struct SoakEvacuation {
    /// Data centre.
    pub data_center: &'static str,
    /// Time at which the store acknowledged it.
    pub acknowledged: u64,
    /// Time before which it was not revoked; `None` while it lasts.
    pub revoked: Option<u64>,
}

/// Returns a fault for each message that an evacuated server got from an entry after the bound.
///
/// `get_troubles` returns the start and the end of each disturbance of an entry or of its store. The bound is
/// counted from the end of those that are at work when it would be over.
#[must_use]
pub fn find_evacuation_faults(
    arrivals: &[Arrival],
    evacuations: &[SoakEvacuation],
    get_troubles: impl Fn(IpAddr) -> Vec<(u64, u64)>,
) -> Vec<SoakFault> {
    let mut faults = Vec::new();
    for evacuation in evacuations {
        let is_late = |arrival: &&Arrival| {
            let is_over = evacuation
                .revoked
                .is_some_and(|revoked| arrival.at >= revoked);
            let bound = get_end_of_bound(evacuation.acknowledged, get_troubles(arrival.entry));
            arrival.data_center == evacuation.data_center && arrival.at > bound && !is_over
        };
        faults.extend(arrivals.iter().filter(is_late).map(|arrival| SoakFault {
            rule: "EVACUATED",
            request: arrival.request.clone(),
            detail: format!(
                "{} got it from {} {} ms after the evacuation of {}",
                arrival.server,
                arrival.entry,
                arrival.at - evacuation.acknowledged,
                evacuation.data_center
            ),
        }));
    }
    faults
}

/// Returns the time from which an entry must not send to the servers any more.
fn get_end_of_bound(acknowledged: u64, mut troubles: Vec<(u64, u64)>) -> u64 {
    let (bound, contact) = (EVACUATION_BOUND.as_millis(), CONTACT.as_millis());
    let mut end = acknowledged + bound as u64;
    troubles.sort_unstable();
    for (start, trouble_end) in troubles {
        let stretched_end = trouble_end + (bound + contact) as u64;
        if start <= end && stretched_end > end && trouble_end + contact as u64 > acknowledged {
            end = stretched_end;
        }
    }
    end
}
