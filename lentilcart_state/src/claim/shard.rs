use lentilcart_util::{Map, Name, common};

use super::op::{Claim, ClaimState, Op, Verdict};
use crate::accept::Next;
use crate::platform::{Ask, Reply, Versioned};

common! { message,
    #[derive(Default)]
    struct Stored {
        claims: Map<Name, Claim>,
    }
}

/// One shard of the claims: collects changes while a write is under way and stores them together
/// by the next compare-and-swap.
///
/// Safety rests on compare-and-swap alone. A claimant's id is unique for each attempt, so a write
/// whose answer was lost is recognised on the next read.
#[derive(Debug)]
pub struct ClaimShard {
    key: Name,
    pending: Vec<(u64, Op)>,
    sent: Vec<(u64, Op)>,
    stored: Option<(u64, Stored)>,
    stage: Stage,
    serial: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Idle,
    Read,
    Write,
}

impl ClaimShard {
    /// Creates the shard that is stored under a key.
    #[must_use]
    pub fn new(key: Name) -> Self {
        Self {
            key,
            pending: Vec::new(),
            sent: Vec::new(),
            stored: None,
            stage: Stage::Idle,
            serial: 0,
        }
    }

    /// Adds a change and returns the ticket under which its verdict is given.
    pub fn push(&mut self, op: Op) -> u64 {
        self.serial += 1;
        self.pending.push((self.serial, op));
        self.serial
    }

    /// Returns whether no write is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle
    }

    /// Returns whether changes wait for the next write.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the next request, where changes wait and none is under way; `now` is in
    /// milliseconds of Unix time.
    pub fn start(&mut self, now: u64) -> Option<Ask> {
        match self.stage {
            Stage::Idle if !self.pending.is_empty() => {
                self.sent = std::mem::take(&mut self.pending);
                Some(match self.stored {
                    Some(_) => self.write(now),
                    None => self.read(),
                })
            }
            _ => None,
        }
    }

    /// Takes the answer to the last request; ends with the verdicts of the changes sent.
    pub fn step(&mut self, reply: Reply, now: u64) -> Next<Vec<(u64, Verdict)>> {
        match (self.stage, reply) {
            (Stage::Read, Reply::Value(value)) | (Stage::Write, Reply::Refused(value)) => {
                match decode(value) {
                    Some(stored) => {
                        self.stored = Some(stored);
                        Next::Ask(self.write(now))
                    }
                    None => self.give_up(),
                }
            }
            (Stage::Write, Reply::Swapped(version)) => {
                let (verdicts, next) = self.evaluate(now);
                self.stored = Some((version, next));
                self.stage = Stage::Idle;
                Next::Done(verdicts)
            }
            _ => self.give_up(),
        }
    }

    /// Ends the changes sent without a verdict; the next start reads the shard again.
    fn give_up(&mut self) -> Next<Vec<(u64, Verdict)>> {
        self.stage = Stage::Idle;
        self.stored = None;
        let sent = std::mem::take(&mut self.sent);
        Next::Done(
            sent.into_iter()
                .map(|(serial, _)| (serial, Verdict::Unavailable))
                .collect(),
        )
    }

    fn read(&mut self) -> Ask {
        self.stage = Stage::Read;
        Ask::Get {
            key: self.key.clone(),
        }
    }

    fn write(&mut self, now: u64) -> Ask {
        self.stage = Stage::Write;
        let (_, next) = self.evaluate(now);
        let value = serde_json::to_string(&next).expect("claims have text keys");
        let expect = self.stored.as_ref().map_or(0, |(version, _)| *version);
        Ask::Swap {
            key: self.key.clone(),
            expect,
            value,
        }
    }

    /// Applies the changes sent to the stored claims, in their order.
    fn evaluate(&self, now: u64) -> (Vec<(u64, Verdict)>, Stored) {
        let mut next = self
            .stored
            .as_ref()
            .map(|(_, stored)| stored.clone())
            .unwrap_or_default();
        next.claims.retain(|_, claim| claim.expires > now);
        let verdicts = self
            .sent
            .iter()
            .map(|(serial, op)| (*serial, apply(&mut next, op)));
        (verdicts.collect(), next)
    }
}

fn apply(stored: &mut Stored, op: &Op) -> Verdict {
    match op {
        Op::Take {
            digest,
            by,
            expires,
        } => {
            let claim = Claim {
                by: by.clone(),
                state: ClaimState::Running,
                expires: *expires,
            };
            let held = stored.claims.entry(digest.to_text()).or_insert(claim);
            if held.by == *by {
                Verdict::Stored
            } else {
                Verdict::Held(held.state)
            }
        }
        Op::Record { digest, by, state } => match stored.claims.get_mut(&digest.to_text()) {
            Some(held) if held.by == *by => {
                held.state = *state;
                Verdict::Stored
            }
            Some(held) => Verdict::Held(held.state),
            None => Verdict::Stored,
        },
        Op::Release { digest, by } => {
            let key = digest.to_text();
            match stored.claims.get(&key) {
                Some(held) if held.by != *by => Verdict::Held(held.state),
                _ => {
                    stored.claims.remove(&key);
                    Verdict::Stored
                }
            }
        }
    }
}

fn decode(value: Option<Versioned>) -> Option<(u64, Stored)> {
    match value {
        Some(stored) => Some((stored.version, serde_json::from_str(&stored.value).ok()?)),
        None => Some((0, Stored::default())),
    }
}
