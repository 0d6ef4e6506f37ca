//! How two daemons prove to each other that they hold the same key, without showing it.
//!
//! Each side answers the other's fresh challenge with a MAC over both challenges, its role and its
//! host. A stranger cannot answer, a recorded answer fits no new challenge, and an answer cannot be
//! turned round since the role is in it. Frames after that are not authenticated one by one: whoever
//! can write into a TCP connection between hosts is not kept out.

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
    /// Wraps numbers that the caller drew at random.
    pub const fn new(numbers: [u64; 2]) -> Self {
        Self(numbers)
    }
}

/// Which side of a link speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that connected.
    Dialer,
    /// The side that listened.
    Listener,
}

/// An answer to a challenge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Proof(Vec<u8>);

/// The other side does not hold the key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("peer does not prove the key; give both hosts the same `peer_key`, or find the stranger")]
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

/// The answer of `host` in `role` to the two challenges of a link.
pub fn prove(
    key: &str,
    role: Role,
    dialer: Challenge,
    listener: Challenge,
    host: &id::Host,
) -> Proof {
    Proof(mac(key, role, dialer, listener, host).finalize().into_bytes().to_vec())
}

/// Checks the answer of `host` in `role`, in constant time.
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
