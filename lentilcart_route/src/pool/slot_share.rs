//! The share of the slots that an entry takes where no owner chooses servers for it.

use super::{PendingRequest, ServerPhase, ServerPool, ServerState};

impl ServerPool {
    /// Returns how many attempts this entry may have outstanding if each of `entries` entries chooses servers
    /// for itself: its share of the slots of the servers of its data centre, or of all servers if it has none
    /// there, rounded down and at least 1.
    ///
    /// The entries know little of what the others send, and together fill each slot once. While the share
    /// is below 1, they may exceed the slots by one request each.
    #[must_use]
    pub fn get_slot_share(&self, entries: usize) -> u32 {
        let count_slots = |is_local: bool| -> u32 {
            let states = self.states.iter().filter(|state| {
                let is_usable = state.listed && state.phase != ServerPhase::Leaving;
                is_usable && (!is_local || state.config.data_center == self.config.data_center)
            });
            states.map(|state| state.config.slots).sum()
        };
        let slots = match count_slots(true) {
            0 => count_slots(false),
            slots => slots,
        };
        (slots / entries.max(1) as u32).max(1)
    }

    /// Returns whether the limit of a request on the outstanding attempts of this pool lets it start.
    pub(super) fn is_within_share(&self, request: &PendingRequest) -> bool {
        request.max_outstanding.is_none_or(|limit| {
            let outstanding = self.states.iter().map(ServerState::get_outstanding);
            outstanding.sum::<u32>() < limit
        })
    }
}
