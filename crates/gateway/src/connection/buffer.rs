//! Buffers of responses and events that are passed on once they are complete.
//!
//! Each has a limit of its own, which sound responses may need. Many faulty ones at a time would
//! need more memory than a host has, so all buffers of a process have a limit together. Beyond it
//! those fail that take more than their share.

use std::sync::atomic::{AtomicUsize, Ordering};

use ntex::util::{Bytes, BytesMut};

/// The size of all buffers together, in bytes, beyond which none may exceed its share.
const MAX_TOTAL: usize = 16 << 20;

/// The size of all buffers of the process, in bytes.
static TOTAL: AtomicUsize = AtomicUsize::new(0);

/// The number of buffers of the process.
static COUNT: AtomicUsize = AtomicUsize::new(0);

/// The error for a buffer that takes more than its share of the memory for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Overfull;

/// Bytes that are not complete yet.
#[derive(Debug)]
pub(crate) struct Buffer {
    bytes: BytesMut,
    /// The size that is counted in [`TOTAL`].
    counted: usize,
}

impl Default for Buffer {
    fn default() -> Self {
        COUNT.fetch_add(1, Ordering::Relaxed);
        Self { bytes: BytesMut::new(), counted: 0 }
    }
}

impl Buffer {
    /// Adds bytes.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> Result<(), Overfull> {
        self.bytes.extend_from_slice(bytes);
        let total = self.count();
        let share = MAX_TOTAL / COUNT.load(Ordering::Relaxed).max(1);
        match total > MAX_TOTAL && self.counted > share {
            true => Err(Overfull),
            false => Ok(()),
        }
    }

    /// Removes all but the first `len` bytes.
    pub(crate) fn truncate(&mut self, len: usize) {
        self.bytes.truncate(len);
    }

    /// Removes and returns the first `end` bytes.
    pub(crate) fn split_to(&mut self, end: usize) -> Bytes {
        let bytes = self.bytes.split_to(end);
        self.count();
        bytes
    }

    /// Returns all bytes.
    pub(crate) fn freeze(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Counts the memory that the buffer has now, and returns that of all.
    fn count(&mut self) -> usize {
        let before = std::mem::replace(&mut self.counted, self.bytes.capacity());
        match self.counted >= before {
            true => {
                let more = self.counted - before;
                TOTAL.fetch_add(more, Ordering::Relaxed) + more
            }
            false => {
                let less = before - self.counted;
                TOTAL.fetch_sub(less, Ordering::Relaxed) - less
            }
        }
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        TOTAL.fetch_sub(self.counted, Ordering::Relaxed);
        COUNT.fetch_sub(1, Ordering::Relaxed);
    }
}
