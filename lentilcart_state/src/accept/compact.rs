use super::head::{SNAPSHOT, SNAPSHOT_EVERY, Snapshot, decode, encode};
use super::in_force::InForce;
use super::next::Next;
use crate::error::StateError;
use crate::platform::{Ask, Reply};

/// Writes a new snapshot where the stored one has fallen behind.
#[derive(Debug)]
pub struct Compact {
    state: InForce,
    asked: bool,
}

impl Compact {
    /// Prepares a snapshot of a state.
    #[must_use]
    pub fn new(state: InForce) -> Self {
        Self {
            state,
            asked: false,
        }
    }

    /// Takes the answer to the last request; ends with whether a snapshot was written.
    pub fn step(&mut self, reply: Option<Reply>) -> Next<Result<bool, StateError>> {
        match reply {
            None if !self.asked => {
                self.asked = true;
                Next::Ask(Ask::Get {
                    key: SNAPSHOT.into(),
                })
            }
            Some(Reply::Value(stored)) => {
                let old = match &stored {
                    Some(stored) => decode::<Snapshot>(SNAPSHOT, &stored.value),
                    None => Ok(Snapshot::default()),
                };
                match old {
                    Ok(old) if old.number + SNAPSHOT_EVERY > self.state.number => {
                        Next::Done(Ok(false))
                    }
                    Ok(_) => Next::Ask(Ask::Swap {
                        key: SNAPSHOT.into(),
                        expect: stored.map_or(0, |s| s.version),
                        value: encode(&self.state.get_snapshot()),
                    }),
                    Err(error) => Next::Done(Err(error)),
                }
            }
            Some(Reply::Swapped(_)) => Next::Done(Ok(true)),
            // Another submitter wrote one, or the next submitter will.
            _ => Next::Done(Ok(false)),
        }
    }
}
