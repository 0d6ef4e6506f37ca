//! Message authentication codes for data that entries hand to callers and later verify.

use derive_more::Debug;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use smol_str::SmolStr;

/// Bytes of a code; half of SHA-256's output is the usual truncation (RFC 2104, section 5).
const CODE_BYTES: usize = 16;

/// The key shared by all entries of one fleet.
#[derive(Clone, Debug)]
#[debug("Key(..)")]
pub struct Key(SmolStr);

impl Key {
    /// Creates the key from the secret in the settings.
    pub fn open(secret: &str) -> Self {
        Self(SmolStr::new(secret))
    }

    /// Returns the code over `parts` for one `purpose`, in hexadecimal.
    ///
    /// The purpose and the length of each part are covered, so that a code for one purpose is not
    /// valid for another, and bytes cannot be moved from one part to the next.
    pub fn sign(&self, purpose: &str, parts: &[&str]) -> String {
        let bytes = self.mac(purpose, parts).finalize().into_bytes();
        bytes[..CODE_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether `code` is the code over `parts`, compared in constant time.
    pub fn verify(&self, purpose: &str, parts: &[&str], code: &str) -> bool {
        let Some(bytes) = decode_hex(code) else { return false };
        self.mac(purpose, parts).verify_truncated_left(&bytes).is_ok()
    }

    fn mac(&self, purpose: &str, parts: &[&str]) -> Hmac<Sha256> {
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(self.0.as_bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        for part in std::iter::once(&purpose).chain(parts) {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        mac
    }
}

fn decode_hex(code: &str) -> Option<[u8; CODE_BYTES]> {
    if code.len() != 2 * CODE_BYTES || !code.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; CODE_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&code[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
