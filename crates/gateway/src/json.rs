//! JSON that any program may have written, for implementations of [`crate::platform::Registry`].
//!
//! Parts of a reply are cut out as raw JSON, which is read without recursion whatever they hold, and
//! decoded one by one, so that an invalid one does not hide the others.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::platform::DecodeError;

/// The body of a reply as text.
#[derive(Debug)]
pub struct Body<'a> {
    text: Cow<'a, str>,
}

impl<'a> Body<'a> {
    /// Replaces bytes that are no UTF-8; see [`Self::ensure_text`].
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { text: String::from_utf8_lossy(bytes) }
    }

    /// Decodes the reply.
    pub fn decode<'b, T: Deserialize<'b>>(&'b self) -> Result<T, DecodeError> {
        serde_json::from_str(&self.text).map_err(DecodeError::new)
    }

    /// Checks that no bytes were replaced in a part of the reply.
    pub fn ensure_text(&self, part: &str) -> Result<(), DecodeError> {
        let is_replaced = matches!(self.text, Cow::Owned(_));
        match is_replaced && part.contains(char::REPLACEMENT_CHARACTER) {
            true => Err(DecodeError::new("bytes that are no text")),
            false => Ok(()),
        }
    }

    /// Decodes a part of the reply that must be an object.
    pub fn decode_part<'b, T: Deserialize<'b>>(
        &self,
        part: &'b RawValue,
    ) -> Result<T, DecodeError> {
        self.ensure_text(part.get())?;
        decode_object(part.get().as_bytes())
    }
}

/// Decodes JSON that must be an object. A list of its values in their order is not one.
pub fn decode_object<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Result<T, DecodeError> {
    match json.trim_ascii_start().first() {
        Some(b'{') => serde_json::from_slice(json).map_err(DecodeError::new),
        Some(_) => Err(DecodeError::new("no object")),
        None => Err(DecodeError::new("nothing")),
    }
}
