//! Mutual proof that two daemons hold the same key, without revealing it.
//!
//! Each side answers the other's fresh challenge with a MAC over both challenges, its role and its
//! host. An unknown process cannot compute the answer, a recorded answer does not match a new
//! challenge, and an answer cannot be reflected because it contains the role. Later frames are not
//! authenticated one by one: an attacker who can write into a TCP connection between hosts is not
//! kept out.

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::id;

/// A fresh random number that the other side must answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Challenge([u64; 2]);

impl Challenge {
    /// Wraps numbers that the caller of this function drew at random.
    pub const fn new(numbers: [u64; 2]) -> Self {
        Self(numbers)
    }
}

/// The side of a link that a process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Listener,
}

/// The answer to a challenge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Proof(Vec<u8>);

/// The proof does not match: the other side does not hold the key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "peer does not prove that it holds the key; set the same `peer_key` on both hosts, or find out which process connects"
)]
pub struct VerifyError;

fn mac(
    key: &str,
    role: Role,
    dialer: Challenge,
    listener: Challenge,
    host: &id::Host,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(match role {
        Role::Dialer => b"fireflyhoist peer caller",
        Role::Listener => b"fireflyhoist peer listen",
    });
    for number in dialer.0.into_iter().chain(listener.0) {
        mac.update(&number.to_be_bytes());
    }
    mac.update(host.as_str().as_bytes());
    mac
}

/// Computes the answer of `host` in `role` to the two challenges of a link.
pub fn prove(
    key: &str,
    role: Role,
    dialer: Challenge,
    listener: Challenge,
    host: &id::Host,
) -> Proof {
    Proof(mac(key, role, dialer, listener, host).finalize().into_bytes().to_vec())
}

/// Verifies the answer of `host` in `role`, in constant time.
///
/// Returns an error if `proof` was not computed with the same key, role, challenges and host.
pub fn verify(
    key: &str,
    role: Role,
    dialer: Challenge,
    listener: Challenge,
    host: &id::Host,
    proof: &Proof,
) -> Result<(), VerifyError> {
    mac(key, role, dialer, listener, host).verify_slice(&proof.0).map_err(|_| VerifyError)
}
