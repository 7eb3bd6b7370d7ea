//! Compression of the mirrors that entries fetch from each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

/// Name of the encoding in headers.
pub(super) const ENCODING: &str = "gzip";
/// Size below which compression saves no packet, in bytes.
const MIN_BYTES: usize = 1024;

/// Largest factor by which a large body may grow when it is unpacked: several times that of a configuration.
const MAX_RATIO: usize = 200;
/// Size to which any body may grow, in bytes.
const SMALL_BYTES: usize = 1 << 20;

/// Compresses bodies, and remembers the last one: after a change, many entries fetch the same.
#[derive(Debug, Default)]
pub(crate) struct Compressor {
    last: Option<(Bytes, Bytes)>,
}

impl Compressor {
    /// Returns a body compressed, or `None` if it is too small for that.
    pub(crate) fn compress(&mut self, body: &Bytes) -> Option<Bytes> {
        if body.len() < MIN_BYTES {
            return None;
        }
        if let Some((plain, compressed)) = &self.last
            && plain == body
        {
            return Some(compressed.clone());
        }
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(body).expect("a vector takes all bytes");
        let compressed = Bytes::from(encoder.finish().expect("a vector takes all bytes"));
        self.last = Some((body.clone(), compressed.clone()));
        Some(compressed)
    }
}

/// Returns a body without its compression.
///
/// # Errors
///
/// Fails with the reason if the body is malformed, unpacks to more than `max_bytes` bytes, or grows by more than
/// [`MAX_RATIO`].
pub(super) fn decompress(body: &[u8], max_bytes: usize) -> Result<Vec<u8>, String> {
    let max_bytes = max_bytes.min(SMALL_BYTES.max(body.len() * MAX_RATIO));
    let mut plain = Vec::new();
    let mut decoder = GzDecoder::new(body).take(max_bytes as u64 + 1);
    let unpacked = decoder.read_to_end(&mut plain);
    unpacked.map_err(|error| format!("malformed {ENCODING} body: {error}"))?;
    if plain.len() > max_bytes {
        return Err(format!("the body unpacks to more than {max_bytes} bytes"));
    }
    Ok(plain)
}
