use lentilcart_util::{Micros, Name};

use super::message::{CreditAsk, CreditReply};
use super::rules::{ASK_INTERVAL, CreditRules};
use super::{CreditHolder, CreditOwner, OwnerPlan, ShareKeeper};
use crate::routing::AccountLimit;

/// Time between two messages to an entry that is only asked whether it replies, or counts this one.
const PROBE_INTERVAL: Micros = Micros::from_millis(600);
/// Number of registered entries up to which those that have not confirmed this one are asked at each
/// [`ASK_INTERVAL`], so that shares are in use soon after a start of all entries.
const MAX_QUICK_MEMBERS: usize = 100;
/// Shortest time between two messages to an entry, whatever they are for.
const MIN_INTERVAL: Micros = Micros::from_millis(20);

/// All that one entry knows of the limits of accounts: as a holder of credit, as an owner, and of its share.
///
/// It does no I/O: it returns the messages to send, and takes those that arrive.
#[derive(Debug)]
pub struct CreditExchange {
    /// Name of this entry.
    pub name: Name,
    /// Number of this process, which no earlier one of the entry had.
    pub process: u64,
    /// This entry's share, and to whom it is delegated.
    pub shares: ShareKeeper,
    /// What this entry has granted.
    pub owner: CreditOwner,
    /// What this entry was granted.
    pub holder: CreditHolder,
    /// Whether this entry is leaving.
    is_leaving: bool,
}

impl CreditExchange {
    /// Creates the state of an entry whose process starts now.
    #[must_use]
    pub fn new(name: Name, process: u64, now: Micros) -> Self {
        Self {
            shares: ShareKeeper::new(name.clone(), now),
            owner: CreditOwner::new(name.clone(), process),
            holder: CreditHolder::default(),
            name,
            process,
            is_leaving: false,
        }
    }

    /// Records that this entry is leaving: it delegates nothing, and others are to delegate to another owner.
    pub fn record_leaving(&mut self) {
        self.is_leaving = true;
        self.shares.record_leaving();
    }

    /// Returns the messages that are due, with their receivers, which may be this entry itself, and the
    /// owners that are passed over from now on because they do not reply.
    pub fn get_due_asks(&mut self, now: Micros) -> (Vec<(Name, CreditAsk)>, Vec<Name>) {
        let mut silent = Vec::new();
        let mut plans = self.shares.plan(now);
        for owner in plans.keys() {
            let unanswered = self.holder.get_unanswered_since(owner);
            if unanswered.is_some_and(|since| self.shares.check_owner(now, owner, since)) {
                silent.push(owner.clone());
            }
        }
        if !silent.is_empty() {
            plans = self.shares.plan(now);
        }
        let share = self.shares.get_share(now);
        // Entries that are only asked whether they reply, or count this one.
        let mut probed: Vec<Name> = self.shares.get_suspected().cloned().collect();
        if self.shares.get_registration().is_some() {
            probed.extend(self.shares.get_unconfirmed().cloned());
        }
        for name in probed {
            plans.entry(name).or_default();
        }
        let mut asks = Vec::new();
        for (owner, mut plan) in plans {
            if !self.is_due(now, &owner, &plan, share) {
                continue;
            }
            // A delegation ends by the owner's clock, which only a reply shows.
            if !self.holder.has_stamp(&owner) || share <= 0.0 {
                plan.delegated = 0;
            }
            if plan.delegated != 0 {
                self.shares.record_delegation(now, &owner, plan.delegated);
            }
            let sender = (&self.name, self.process);
            let ask = self.holder.build_ask(now, sender, &owner, share, &plan);
            let registered = self.shares.get_registration().unwrap_or_default();
            asks.push((owner, CreditAsk { registered, ..ask }));
        }
        (asks, silent)
    }

    /// Takes a message of an entry, which may be this one, and returns the reply.
    pub fn handle_ask(
        &mut self,
        now: Micros,
        ask: &CreditAsk,
        rules: &CreditRules,
        limits: impl Fn(&str) -> Option<AccountLimit>,
    ) -> Option<CreditReply> {
        self.shares
            .record_announcement(now, &ask.name, ask.registered);
        let reply = self.owner.handle_ask(now, ask, rules, limits)?;
        Some(CreditReply {
            counted: if self.shares.is_counted(now, &ask.name) {
                ask.registered
            } else {
                0
            },
            leaving: self.is_leaving,
            ..reply
        })
    }

    /// Takes a reply, and returns how much credit it brought.
    pub fn handle_reply(&mut self, now: Micros, reply: &CreditReply) -> f64 {
        self.shares.record_confirmation(&reply.name, reply.counted);
        self.shares.record_reply(now, &reply.name, reply.leaving);
        self.holder.record_reply(now, reply)
    }

    /// Removes the state of what is idle.
    pub fn remove_idle(
        &mut self,
        now: Micros,
        rules: &CreditRules,
        limits: impl Fn(&str) -> Option<AccountLimit>,
    ) {
        self.holder.remove_idle(now);
        self.owner.remove_idle(now, rules, limits);
    }

    /// Returns whether a message to an entry is due.
    fn is_due(&self, now: Micros, owner: &Name, plan: &OwnerPlan, share: f64) -> bool {
        let age = now - self.holder.get_last_ask(owner);
        let is_owner = plan.asked | plan.delegated | plan.kept != 0;
        let is_quick = is_owner
            || self.shares.get_member_count() <= MAX_QUICK_MEMBERS
                && self.shares.is_unconfirmed(owner);
        let can_delegate = share > 0.0
            && plan.delegated != 0
            && self.holder.has_stamp(owner)
            && !self.shares.is_delegated(now, plan.delegated);
        age >= PROBE_INTERVAL
            || age >= ASK_INTERVAL && is_quick
            || age >= MIN_INTERVAL && can_delegate
            || self.holder.has_to_ask(now, owner, plan.asked)
    }
}
