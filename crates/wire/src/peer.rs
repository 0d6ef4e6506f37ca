//! Frames between daemons: CBOR in binary WebSocket messages.

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_policy::member::Message;
use fireflyhoist_policy::member::proof::{Challenge, Proof};
use fireflyhoist_text::transfer;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest frame in bytes that is read; a batch of sections or a large manifest with room.
pub const MAX_FRAME: usize = 128 << 10;

/// Why a frame is not taken.
#[derive(Clone, Debug, Display, Error)]
pub enum FrameError {
    /// The bytes are no frame of this protocol.
    #[display("peer frame does not decode ({reason}); run the same release on every entry host")]
    Malformed {
        /// The codec's own words.
        reason: String,
    },
}

/// One message between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The listener's first word.
    Challenge(Challenge),
    /// The caller proves the key and asks for proof.
    Hello {
        /// The caller's host.
        host: id::Host,
        /// What the listener must answer.
        challenge: Challenge,
        /// The answer to the listener's challenge.
        proof: Proof,
    },
    /// The listener proves the key.
    Welcome {
        /// The listener's host.
        host: id::Host,
        /// The answer to the caller's challenge.
        proof: Proof,
    },
    /// About membership.
    Member(Message),
    /// About texts and their sections.
    Text(transfer::Message),
}

/// Encodes a frame.
pub fn encode<T: Serialize>(frame: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing into a vector cannot fail, and frames hold nothing that CBOR lacks.
    let written = ciborium::into_writer(frame, &mut bytes);
    debug_assert!(written.is_ok(), "frames always encode");
    bytes
}

/// Decodes a frame.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    ciborium::from_reader(bytes).map_err(|e| FrameError::Malformed { reason: e.to_string() })
}
