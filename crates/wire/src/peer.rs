//! Frames between daemons: CBOR in binary WebSocket messages.

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

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
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Who is speaking.
    Hello {
        /// The speaker's host.
        host: id::Host,
    },
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
