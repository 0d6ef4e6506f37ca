//! Deflated bytes, bounded on both ways.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Deflates bytes at the least cost of processor time.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Inflates bytes, at most `max_bytes` of them: a faulty peer could otherwise fill the memory.
pub(crate) fn decompress(bytes: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut whole = Vec::new();
    DeflateDecoder::new(bytes).take(limit + 1).read_to_end(&mut whole)?;
    if whole.len() > max_bytes {
        return Err(io::Error::other("it inflates to more than a frame holds"));
    }
    Ok(whole)
}
