//! A limit on what a connection holds that its reader can't take.
//!
//! The HTTP library reads on until it has the whole line that begins a chunk, and that line may have no
//! end.

use std::io;

use ntex::io::{FilterBuf, FilterLayer};

/// The most bytes that wait to be taken; heads, which are read as a whole, have at most half of it.
const MAX_BYTES: usize = 128 << 10;

/// Has a connection fail once too many bytes wait to be taken from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit;

impl FilterLayer for Limit {
    fn process_read_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        buffer.with_read_buffers(|source, unread| {
            if let Some(arrived) = source.take() {
                match unread.is_empty() {
                    true => *unread = arrived,
                    false => unread.extend_from_slice(&arrived),
                }
            }
            match unread.len() {
                0..=MAX_BYTES => Ok(()),
                _ => Err(io::Error::other(format!("no part of an answer in {MAX_BYTES} bytes"))),
            }
        })
    }

    fn process_write_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        buffer.with_write_buffers(|source, written| source.move_to(written));
        Ok(())
    }
}
