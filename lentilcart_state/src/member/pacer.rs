//! Which entry paces the requests to the cold servers of a data centre.
//!
//! The store decides: an entry paces only while it is certain that its registration there has not expired, and
//! another one takes its place only after it has seen that the registration has. Whether entries hear from
//! each other does not matter, so that entries which are cut off from each other do not pace both.

use lentilcart_util::{Micros, Name, Set};

use super::{Member, MemberTable, rendezvous_rank};

/// Share of the lease of its registration, from the sending of the last renewal, for which an entry paces. The
/// rest is for clocks that run at different speeds and for requests that are on their way.
const LEASE_SHARE: f64 = 0.75;
/// Time from its registration after which an entry paces: connected entries know the registration by then, so
/// that the one that has paced before has stopped.
const JOIN_DELAY: Micros = Micros::from_millis(2500);

/// What an entry knows of its own registration in the store.
#[derive(Debug, Clone, Default)]
pub struct PacerLease {
    /// Revision of the registration, and when the store acknowledged it; `None` without a registration.
    written: Option<(u64, Micros)>,
    /// When the last renewal that the store has acknowledged was sent.
    renewed: Micros,
}

impl PacerLease {
    /// Records that the registration was written at a revision under a lease that was requested at `sent`.
    pub fn record_written(&mut self, now: Micros, sent: Micros, revision: u64) {
        self.written = Some((revision, now));
        self.renewed = sent;
    }

    /// Records that the store has acknowledged a renewal that was sent at a time.
    pub fn record_renewed(&mut self, sent: Micros) {
        self.renewed = self.renewed.max(sent);
    }

    /// Records that the lease was lost.
    pub fn record_lost(&mut self) {
        self.written = None;
    }

    /// Returns until when this entry may pace unless it renews its lease, which lasts for `ttl` from each
    /// renewal. Returns `None` if it may not: it is not registered for long enough, the lease may have
    /// expired, or its list of entries, complete up to `listed_revision`, is older than its registration.
    #[must_use]
    pub fn get_term_end(&self, now: Micros, ttl: Micros, listed_revision: u64) -> Option<Micros> {
        let (revision, written) = self.written?;
        let end = self.renewed + ttl.scaled(LEASE_SHARE);
        (listed_revision >= revision && now >= written + JOIN_DELAY && now < end).then_some(end)
    }
}

impl MemberTable {
    /// Returns the entry that paces the requests to the cold servers of a service in a data centre: by
    /// rendezvous hashing one of the entries there that are registered and not leaving, live or not. For a
    /// data centre without any, it is one of another data centre, also chosen by rendezvous hashing.
    #[must_use]
    pub fn get_pacer(&self, service: &str, data_center: &Name) -> Option<&Name> {
        let is_registered =
            |(name, member): &(&Name, &Member)| !member.leaving && self.is_listed(name);
        let registered = || self.iter().filter(is_registered);
        let data_centers: Set<&Name> = registered().map(|(_, m)| &m.data_center).collect();
        let home = if data_centers.contains(data_center) {
            data_center
        } else {
            *rendezvous_rank(data_center, data_centers.into_iter(), 1).first()?
        };
        let candidates = registered().filter(|(_, member)| member.data_center == *home);
        let ranked = rendezvous_rank(service, candidates.map(|(name, _)| name), 1);
        ranked.first().copied()
    }

    /// Returns those of some data centres in which this entry paces the requests to cold servers of a service.
    #[must_use]
    pub fn get_paced_data_centers(&self, service: &str, data_centers: Set<Name>) -> Vec<Name> {
        let own = Some(self.get_own_name());
        let is_paced = |data_center: &Name| self.get_pacer(service, data_center) == own;
        data_centers.into_iter().filter(is_paced).collect()
    }
}
