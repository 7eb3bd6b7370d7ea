use super::applied_state::AppliedState;
use super::head::{SNAPSHOT_INTERVAL, SNAPSHOT_KEY, TicketIndex, decode, encode};
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest};

/// Writes a new snapshot where the stored one is at least a snapshot interval behind a state.
#[derive(Debug)]
pub struct SnapshotWriter {
    state: AppliedState,
    is_started: bool,
}

impl SnapshotWriter {
    /// Creates a state machine that writes the ticket index of the given state.
    #[must_use]
    pub fn new(state: AppliedState) -> Self {
        Self {
            state,
            is_started: false,
        }
    }

    /// Processes the reply to the last request, `None` at the start.
    ///
    /// Ends with `true` where the write of a snapshot was confirmed, and with `false` where none was
    /// needed, another writer was first, or a reply was lost or of the wrong kind; a write whose
    /// reply was lost may have taken effect. Never returns [`ProtocolStep::Wait`].
    pub fn step(&mut self, reply: Option<KvReply>) -> ProtocolStep<Result<bool, StateError>> {
        match reply {
            None if !self.is_started => {
                self.is_started = true;
                ProtocolStep::Request(KvRequest::Get {
                    key: SNAPSHOT_KEY.into(),
                })
            }
            Some(KvReply::Value(stored)) => {
                let old = match &stored {
                    Some(stored) => decode::<TicketIndex>(SNAPSHOT_KEY, &stored.value),
                    None => Ok(TicketIndex::default()),
                };
                match old {
                    Ok(old) if old.number + SNAPSHOT_INTERVAL > self.state.number => {
                        ProtocolStep::Done(Ok(false))
                    }
                    Ok(_) => ProtocolStep::Request(KvRequest::CompareAndSwap {
                        key: SNAPSHOT_KEY.into(),
                        expected_version: stored.map_or(0, |s| s.version),
                        value: encode(&self.state.get_ticket_index()),
                    }),
                    Err(error) => ProtocolStep::Done(Err(error)),
                }
            }
            Some(KvReply::Swapped(_)) => ProtocolStep::Done(Ok(true)),
            // Refused: another writer was first. Lost: the write may not have taken effect, and the
            // next writer tries again.
            _ => ProtocolStep::Done(Ok(false)),
        }
    }
}
