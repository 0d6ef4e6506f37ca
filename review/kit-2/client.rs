//! A client: one request on a new connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What came back on a connection, and how it ended.
pub struct Answer {
    pub bytes: Vec<u8>,
    pub ended: &'static str,
    pub took: Duration,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    pub fn status(&self) -> String {
        self.text().split(' ').nth(1).unwrap_or("none").to_owned()
    }

    /// Returns the body as it was received, chunked or not.
    pub fn body(&self) -> Vec<u8> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n");
        end.map_or(Vec::new(), |end| self.bytes[end + 4..].to_vec())
    }

    pub fn is_complete(&self) -> bool {
        is_complete(&self.bytes)
    }
}

/// Returns whether an answer is complete by its own framing, with the length or the last chunk.
fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return bytes.ends_with(b"\r\n0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse::<usize>().ok()) == Some(bytes.len() - end - 4)
}

/// Sends these bytes and reads until the answer is complete or the connection ends, or for this time.
pub fn exchange(port: u16, request: &[u8], within: Duration) -> Answer {
    let began_at = Instant::now();
    let mut bytes = Vec::new();
    let ended = try_exchange(port, request, within, began_at, &mut bytes);
    Answer { bytes, ended, took: began_at.elapsed() }
}

fn try_exchange(
    port: u16,
    request: &[u8],
    within: Duration,
    began_at: Instant,
    bytes: &mut Vec<u8>,
) -> &'static str {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return "not connected";
    };
    if stream.write_all(request).is_err() {
        return "not sent";
    }
    let mut part = [0; 8192];
    loop {
        let left = within.saturating_sub(began_at.elapsed());
        if left.is_zero() {
            return "no end in time";
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut part) {
            Ok(0) => return "closed",
            Ok(count) => {
                bytes.extend_from_slice(&part[..count]);
                if is_complete(bytes) {
                    return "open";
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return "reset",
            Err(_) => return "no end in time",
        }
    }
}
