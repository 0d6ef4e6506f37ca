//! A caller's connection, on which several requests may be sent before an answer is read.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// How long opening a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The most bytes that are read at a time, and the time between two reads of a slow reader, which
/// reads 12 MB in a second at most.
const PART: usize = 128 << 10;
const READ_INTERVAL: Duration = Duration::from_millis(8);

/// One answer, or the part of it that came.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// `None` if no head came.
    pub(crate) status: Option<u16>,
    pub(crate) closes: bool,
    pub(crate) body: Vec<u8>,
    pub(crate) whole: bool,
}

/// Where an answer's body ends.
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// An open connection to an entry.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that were read and belong to the next answer.
    buffer: Vec<u8>,
    slow: bool,
}

impl Connection {
    /// Opens a connection; a slow reader's takes little at a time.
    pub(crate) async fn open(to: SocketAddr, slow: bool) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        if slow {
            let size = u32::try_from(PART).unwrap_or(u32::MAX);
            socket.set_recv_buffer_size(size).ok()?;
        }
        let stream = timeout(CONNECT, socket.connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, buffer: Vec::new(), slow })
    }

    /// Returns whether all bytes were taken.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Reads the next answer into `answer`, which keeps what came if this is cancelled.
    pub(crate) async fn read(&mut self, answer: &mut Answer) {
        // `None` is an end before that of the answer, which stays as it is.
        let _ = self.try_read(answer).await;
    }

    async fn try_read(&mut self, answer: &mut Answer) -> Option<()> {
        let (head, status) = loop {
            let head = self.take_through(b"\r\n\r\n").await?;
            let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            if status >= 200 {
                break (head, status);
            }
        };
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            lines.find(|(found, _)| *found == name).map(|(_, value)| value.trim().to_owned())
        };
        answer.status = Some(status);
        answer.closes = field("connection").is_some_and(|value| value == "close");
        let length = field("content-length").and_then(|length| length.parse().ok());
        let framing = match (field("transfer-encoding"), length) {
            (Some(_), _) => Framing::Chunked,
            (None, Some(length)) => Framing::Length(length),
            (None, None) => Framing::Close,
        };
        match framing {
            Framing::Length(length) => self.take(length, &mut answer.body).await?,
            Framing::Chunked => loop {
                let size = self.take_through(b"\r\n").await?;
                let size = std::str::from_utf8(&size).ok()?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                self.take(size, &mut answer.body).await?;
                self.take_through(b"\r\n").await?;
                if size == 0 {
                    break;
                }
            },
            Framing::Close => {
                answer.closes = true;
                while self.fill().await? > 0 {
                    answer.body.append(&mut self.buffer);
                }
            }
        }
        answer.whole = true;
        Some(())
    }

    /// Reads more bytes and returns how many; `None` if the connection is reset.
    async fn fill(&mut self) -> Option<usize> {
        if self.slow {
            sleep(READ_INTERVAL).await;
        }
        let mut part = vec![0; PART];
        let count = self.stream.read(&mut part).await.ok()?;
        self.buffer.extend_from_slice(&part[..count]);
        Some(count)
    }

    /// Moves `count` bytes to the end of `to`, and those that came before the connection ended.
    async fn take(&mut self, mut count: usize, to: &mut Vec<u8>) -> Option<()> {
        loop {
            let now = count.min(self.buffer.len());
            to.extend(self.buffer.drain(..now));
            count -= now;
            if count == 0 {
                return Some(());
            }
            if self.fill().await? == 0 {
                return None;
            }
        }
    }

    /// Takes all bytes through the first `end`.
    async fn take_through(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self.buffer.windows(end.len()).position(|window| window == end);
            if let Some(at) = found {
                return Some(self.buffer.drain(..at + end.len()).collect());
            }
            if self.fill().await? == 0 {
                return None;
            }
        }
    }
}
