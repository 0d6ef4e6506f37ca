//! Just enough of HTTP/1.1 for stand-ins: heads, bodies with a length.

use std::io::Read;
use std::net::TcpStream;

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message with a length, or none; `None` if the connection ends before.
    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        let mut part = [0; 8192];
        let end = loop {
            if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => bytes.extend_from_slice(&part[..count]),
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<(String, String)> = lines.filter_map(header).collect();
        let mut message = Self { first, headers, body: bytes.split_off(end + 4) };
        let length =
            message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while message.body.len() < length {
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => message.body.extend_from_slice(&part[..count]),
            }
        }
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Returns a response with a JSON body.
pub fn json(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
}
