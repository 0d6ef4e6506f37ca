//! DEFLATE compression of frames, with a bound on the decompressed size.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Compresses bytes at the fastest compression level.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses bytes to at most `max_bytes`, and returns an error if there are more: a faulty peer
/// could otherwise exhaust the memory.
pub(crate) fn decompress(bytes: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut inflated = Vec::new();
    DeflateDecoder::new(bytes).take(limit + 1).read_to_end(&mut inflated)?;
    if inflated.len() > max_bytes {
        return Err(io::Error::other("decompressed frame is too large"));
    }
    Ok(inflated)
}
