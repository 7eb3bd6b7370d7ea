use super::head::{SNAPSHOT, SNAPSHOT_EVERY, Snapshot, decode, encode};
use super::in_force::InForce;
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest};

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
    pub fn step(&mut self, reply: Option<KvReply>) -> ProtocolStep<Result<bool, StateError>> {
        match reply {
            None if !self.asked => {
                self.asked = true;
                ProtocolStep::Request(KvRequest::Get {
                    key: SNAPSHOT.into(),
                })
            }
            Some(KvReply::Value(stored)) => {
                let old = match &stored {
                    Some(stored) => decode::<Snapshot>(SNAPSHOT, &stored.value),
                    None => Ok(Snapshot::default()),
                };
                match old {
                    Ok(old) if old.number + SNAPSHOT_EVERY > self.state.number => {
                        ProtocolStep::Done(Ok(false))
                    }
                    Ok(_) => ProtocolStep::Request(KvRequest::CompareAndSwap {
                        key: SNAPSHOT.into(),
                        expected_version: stored.map_or(0, |s| s.version),
                        value: encode(&self.state.get_snapshot()),
                    }),
                    Err(error) => ProtocolStep::Done(Err(error)),
                }
            }
            Some(KvReply::Swapped(_)) => ProtocolStep::Done(Ok(true)),
            // Another submitter wrote one, or the next submitter will.
            _ => ProtocolStep::Done(Ok(false)),
        }
    }
}
