use lentilcart_util::{Map, Micros, Name};

use super::rules::{DELEGATION_TTL, GROUP_COUNT, GroupSet};
use crate::member::rendezvous_rank;

/// Time by which a delegation ends before the registration of the entry does, for
/// clocks that do not run equally fast.
const REGISTRATION_MARGIN: Micros = Micros::from_millis(200);
/// Time without a reply after which an owner is passed over: two messages that are lost do not suffice.
const OWNER_TIMEOUT: Micros = Micros::from_millis(500);
/// Shortest time for which an owner is passed over that did not reply, or is leaving, and that has replied
/// since. A share does not count for some time when it changes its owner.
const SUSPICION_TIME: Micros = Micros::from_millis(3000);
/// Number of owners without a reply from which an entry uses its share itself while no owner replies: it is
/// probably cut off.
const MAX_SUSPECTED: usize = 2;

/// This entry's share of all limits, and to whom it is delegated.
///
/// The share is one by the number of registered entries. It may be used while this entry is registered for
/// certain and all other registered entries have confirmed that they count it, so that the shares in use
/// add up to at most 1, whatever entries know of each other.
#[derive(Debug)]
pub struct ShareKeeper {
    name: Name,
    /// Until when what an earlier process of this entry delegated may be in use.
    predecessor_end: Micros,
    /// Registered entries, this one included.
    members: Map<Name, RegisteredEntry>,
    /// Revision of the store to which `members` was updated; `None` before the first listing.
    revision: Option<u64>,
    /// Entries that have said themselves that they are registered at a revision that is not known yet.
    announced: Map<Name, u64>,
    /// Revision of this entry's registration.
    registered_at: Option<u64>,
    /// Until when this entry is registered for certain.
    registered_until: Micros,
    /// Revision of this entry's registration that each other entry has confirmed.
    confirmed: Map<Name, u64>,
    delegations: [Option<Delegation>; GROUP_COUNT],
    /// The members in the rendezvous order of each group.
    ranked: [Vec<Name>; GROUP_COUNT],
    suspected: Map<Name, Suspicion>,
    last_reply: Micros,
    is_leaving: bool,
}

/// A registered entry.
#[derive(Debug, Clone, Copy)]
struct RegisteredEntry {
    /// Revision of its registration, as far as it is known.
    revision: u64,
    /// Since when it is counted.
    since: Micros,
}

/// Why and since when an owner is passed over.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Micros,
    /// Whether it did not reply; else it is leaving.
    is_silent: bool,
}

/// The delegation of this entry's share of a group.
#[derive(Debug, Clone)]
struct Delegation {
    owner: Name,
    end: Micros,
}

/// What to send to an owner: the groups to ask it for, and those to delegate the share of.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnerPlan {
    /// Groups whose credit the owner is asked for.
    pub asked: GroupSet,
    /// Groups of which the share may be delegated to it.
    pub delegated: GroupSet,
    /// Groups whose delegation to it is kept until it ends, since another owner is to have them.
    pub kept: GroupSet,
}

impl ShareKeeper {
    /// Creates the state of an entry whose process starts now.
    #[must_use]
    pub fn new(name: Name, now: Micros) -> Self {
        let own = RegisteredEntry {
            revision: 0,
            since: now,
        };
        Self {
            members: std::iter::once((name.clone(), own)).collect(),
            ranked: std::array::from_fn(|_| vec![name.clone()]),
            name,
            predecessor_end: now + DELEGATION_TTL,
            revision: None,
            announced: Map::default(),
            registered_at: None,
            registered_until: Micros::ZERO,
            confirmed: Map::default(),
            delegations: [const { None }; GROUP_COUNT],
            suspected: Map::default(),
            last_reply: Micros::ZERO,
            is_leaving: false,
        }
    }

    /// Returns whether the members are known at a revision of the store already.
    #[must_use]
    pub fn has_revision(&self, revision: u64) -> bool {
        self.revision.is_some_and(|known| known >= revision)
    }

    /// Sets the entries that are registered at a revision of the store, with the revisions of their
    /// registrations.
    pub fn set_members(&mut self, now: Micros, revision: u64, members: Map<Name, u64>) {
        if self.has_revision(revision) {
            return;
        }
        self.revision = Some(revision);
        self.announced.retain(|_, announced| *announced > revision);
        self.replace_members(now, members);
    }

    /// Records that another entry says that it is registered at a revision. It is counted from now on, until
    /// what the store says at that revision is known.
    pub fn record_announcement(&mut self, now: Micros, name: &Name, revision: u64) {
        if revision == 0 || self.has_revision(revision) || *name == self.name {
            return;
        }
        if self.announced.insert(name.clone(), revision) != Some(revision) {
            let members = self.members.iter();
            let members = members.map(|(name, entry)| (name.clone(), entry.revision));
            self.replace_members(now, members.collect());
        }
    }

    /// Returns whether another entry is counted, and all that this entry delegated before that has ended.
    #[must_use]
    pub fn is_counted(&self, now: Micros, name: &Name) -> bool {
        let is_free = now >= self.get_delegation_end();
        now >= self.predecessor_end
            && self
                .members
                .get(name)
                .is_some_and(|entry| is_free || now >= entry.since + DELEGATION_TTL)
    }

    fn replace_members(&mut self, now: Micros, mut members: Map<Name, u64>) {
        members.entry(self.name.clone()).or_default();
        for (name, revision) in &self.announced {
            let known = members.entry(name.clone()).or_default();
            *known = (*known).max(*revision);
        }
        self.confirmed.retain(|name, _| members.contains_key(name));
        self.suspected.retain(|name, _| members.contains_key(name));
        self.ranked = std::array::from_fn(|group| {
            let key = format!("accounts/{group}");
            let ranked = rendezvous_rank(&key, members.keys(), usize::MAX);
            ranked.into_iter().cloned().collect()
        });
        let counted = members.into_iter().map(|(name, revision)| {
            let since = self.members.get(&name).map_or(now, |known| known.since);
            (name, RegisteredEntry { revision, since })
        });
        self.members = counted.collect();
    }

    /// Returns whether an entry is registered.
    #[must_use]
    pub fn has_member(&self, name: &Name) -> bool {
        self.members.contains_key(name)
    }

    /// Returns the number of registered entries, this one included.
    #[must_use]
    pub fn get_member_count(&self) -> usize {
        self.members.len()
    }

    /// Records that the store has never had a registration of this entry under a lease that lasts, so that no
    /// earlier process has delegated anything that is in use.
    pub fn record_first_registration(&mut self) {
        self.predecessor_end = Micros::ZERO;
    }

    /// Records that the store has registered this entry at a revision, under a lease that lasts until a time
    /// at least.
    pub fn record_registration(&mut self, revision: u64, until: Micros) {
        self.registered_at = Some(revision);
        self.registered_until = until;
    }

    /// Records that the lease was renewed, and until when it lasts at least.
    pub fn record_renewal(&mut self, until: Micros) {
        self.registered_until = self.registered_until.max(until);
    }

    /// Records that the lease has ended.
    pub fn record_lost_registration(&mut self) {
        self.registered_at = None;
    }

    /// Records that this entry is leaving: its share is not used any more.
    pub fn record_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the time at which the last delegation ends.
    #[must_use]
    pub fn get_delegation_end(&self) -> Micros {
        let ends = self.delegations.iter().flatten().map(|sent| sent.end);
        ends.max().unwrap_or_default()
    }

    /// Records that another entry counts this one as registered at a revision.
    pub fn record_confirmation(&mut self, name: &Name, revision: u64) {
        if Some(revision) == self.registered_at && self.members.contains_key(name) {
            self.confirmed.insert(name.clone(), revision);
        }
    }

    /// Returns the entries that have not confirmed this entry's registration, and have to: those that were
    /// registered before it. Those that were registered later have listed the entries since.
    pub fn get_unconfirmed(&self) -> impl Iterator<Item = &Name> {
        let registered_at = self.registered_at.unwrap_or(u64::MAX);
        let others = self.members.iter().filter(move |(name, entry)| {
            let is_confirmed = self.confirmed.get(*name) == Some(&registered_at);
            **name != self.name && entry.revision < registered_at && !is_confirmed
        });
        others.map(|(name, _)| name)
    }

    /// Returns whether an entry has yet to confirm this entry's registration.
    #[must_use]
    pub fn is_unconfirmed(&self, name: &Name) -> bool {
        self.registered_at.is_some() && self.get_unconfirmed().any(|other| other == name)
    }

    /// Returns the revision of this entry's registration; `None` while it is not registered.
    #[must_use]
    pub fn get_registration(&self) -> Option<u64> {
        self.registered_at
    }

    /// Returns this entry's share if it may be delegated now, else 0.
    #[must_use]
    pub fn get_share(&self, now: Micros) -> f64 {
        let is_listed = self
            .registered_at
            .is_some_and(|revision| self.has_revision(revision));
        let end = now + DELEGATION_TTL + REGISTRATION_MARGIN;
        let may_use = is_listed
            && !self.is_leaving
            && now >= self.predecessor_end
            && end <= self.registered_until
            && self.get_unconfirmed().next().is_none();
        if may_use {
            1.0 / self.members.len() as f64
        } else {
            0.0
        }
    }

    /// Returns the owners to exchange messages with, and for which groups. A share that was delegated to
    /// another owner has to end first. The credit from it need not: the caps of the buckets allow for it.
    pub fn plan(&mut self, now: Micros) -> Map<Name, OwnerPlan> {
        let mut plans: Map<Name, OwnerPlan> = Map::default();
        for group in 0..GROUP_COUNT {
            let (bit, owner) = (1 << group, self.choose_owner(now, group));
            let former = self.delegations[group].take();
            let former = former.filter(|former| now < former.end);
            match &former {
                Some(former) if former.owner != owner => {
                    let suspicion = self.suspected.get(&former.owner);
                    let is_silent = suspicion.is_some_and(|suspicion| suspicion.is_silent);
                    let is_usable = !is_silent;
                    plans.entry(former.owner.clone()).or_default().kept |= bit;
                    let asked = if is_usable {
                        former.owner.clone()
                    } else {
                        owner
                    };
                    plans.entry(asked).or_default().asked |= bit;
                }
                _ => {
                    let plan = plans.entry(owner).or_default();
                    plan.asked |= bit;
                    plan.delegated |= bit;
                }
            }
            self.delegations[group] = former;
        }
        plans
    }

    /// Returns whether the share of all the groups is delegated now.
    #[must_use]
    pub fn is_delegated(&self, now: Micros, groups: GroupSet) -> bool {
        (0..GROUP_COUNT).all(|group| {
            let sent = self.delegations[group].as_ref();
            groups & (1 << group) == 0 || sent.is_some_and(|sent| now < sent.end)
        })
    }

    /// Returns the owners that are passed over.
    pub fn get_suspected(&self) -> impl Iterator<Item = &Name> {
        self.suspected.keys()
    }

    /// Records that the share of some groups is delegated to an owner by a message that is sent now.
    pub fn record_delegation(&mut self, now: Micros, owner: &Name, groups: GroupSet) {
        for group in 0..GROUP_COUNT {
            if groups & (1 << group) != 0 {
                self.delegations[group] = Some(Delegation {
                    owner: owner.clone(),
                    end: now + DELEGATION_TTL,
                });
            }
        }
    }

    /// Passes over an owner whose replies are missing since `unanswered_since`, and returns whether that has
    /// begun now.
    pub fn check_owner(&mut self, now: Micros, owner: &Name, unanswered_since: Micros) -> bool {
        let is_silent = now - unanswered_since >= OWNER_TIMEOUT && *owner != self.name;
        let is_known = self.suspected.contains_key(owner);
        if is_silent {
            self.suspect(now, owner, true);
        }
        is_silent && !is_known
    }

    /// Records the reply of another entry, which may say that it is leaving.
    pub fn record_reply(&mut self, now: Micros, owner: &Name, leaving: bool) {
        if *owner == self.name {
            return;
        }
        self.last_reply = now;
        match self.suspected.get(owner) {
            _ if leaving => self.suspect(now, owner, false),
            Some(suspicion) if now - suspicion.since >= SUSPICION_TIME => {
                self.suspected.remove(owner);
            }
            _ => {}
        }
    }

    fn suspect(&mut self, now: Micros, owner: &Name, is_silent: bool) {
        let since = now;
        self.suspected
            .insert(owner.clone(), Suspicion { since, is_silent });
    }

    /// Returns whether this entry uses its share itself, since no owner replies.
    #[must_use]
    pub fn is_own_owner(&self, now: Micros) -> bool {
        let is_silent = |suspicion: &&Suspicion| suspicion.is_silent;
        let silent_count = self.suspected.values().filter(is_silent).count();
        silent_count >= MAX_SUSPECTED && now - self.last_reply >= OWNER_TIMEOUT
    }

    /// Returns the owner of a group: the first registered entry in the rendezvous order that is not passed
    /// over; this entry if no owner replies.
    fn choose_owner(&self, now: Micros, group: usize) -> Name {
        if self.is_own_owner(now) {
            return self.name.clone();
        }
        let is_passed = |name: &&Name| {
            self.suspected.contains_key(*name) || self.is_leaving && **name == self.name
        };
        let first = self.ranked[group].iter().find(|name| !is_passed(name));
        first.unwrap_or(&self.name).clone()
    }
}
