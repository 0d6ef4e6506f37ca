//! An entry host that answers by script, one connection at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

pub(crate) type Answer = fn(SocketAddr) -> String;

pub(crate) struct Server {
    address: SocketAddr,
    thread: Option<JoinHandle<Vec<String>>>,
}

impl Server {
    pub(crate) fn open(script: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let thread = std::thread::spawn(move || play(&listener, script));
        Self { address, thread: Some(thread) }
    }

    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// The requests that came.
    pub(crate) fn end(&mut self) -> Vec<String> {
        let thread = self.thread.take().expect("ended once");
        thread.join().expect("the script was played to its end")
    }
}

fn play(listener: &TcpListener, script: Vec<Answer>) -> Vec<String> {
    let address = listener.local_addr().expect("an address");
    let mut requests = Vec::new();
    let mut held = Vec::new();
    for answer in script {
        loop {
            let (mut stream, _) = listener.accept().expect("a caller");
            let request = read(&mut stream);
            // A connection that only looks whether the port answers sends nothing.
            if !request.is_empty() {
                requests.push(request);
                let answer = answer(address);
                stream.write_all(answer.as_bytes()).expect("answered");
                if answer.contains(HOLD) {
                    held.push(stream);
                }
                break;
            }
        }
    }
    requests
}

fn read(stream: &mut TcpStream) -> String {
    let patience = Duration::from_secs(20);
    stream.set_read_timeout(Some(patience)).expect("a timeout");
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
        request.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&request).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|text| text.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).expect("the body");
    head
}

fn response(head: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

pub(crate) fn entries(own: SocketAddr) -> String {
    let entry = serde_json::json!({"host": "h", "domain": "d", "address": own});
    let body = serde_json::json!({"ttl_ms": 5000, "entries": [entry, entry, entry]});
    response("200 OK\r\ncontent-type: application/json", &body.to_string())
}

fn problem(status: &str, kind: &str, retry: Option<u64>) -> String {
    let code: u16 = status[..3].parse().expect("a status");
    let body = serde_json::json!({
        "type": kind, "title": kind, "status": code, "detail": "come back", "ran": "no",
        "retry_after_ms": retry,
    });
    response(&format!("{status}\r\ncontent-type: application/problem+json"), &body.to_string())
}

pub(crate) fn problem_404(_: SocketAddr) -> String {
    problem("404 Not Found", "unknown-service", None)
}

pub(crate) fn full(_: SocketAddr) -> String {
    problem("503 Service Unavailable", "queue-full", Some(300))
}

fn token(offset: u64, text: &str) -> String {
    let answer = serde_json::json!({
        "id": "g", "object": "text_completion", "choices": [{"index": 0, "text": text}],
    });
    format!("id: g:{offset}\ndata: {answer}\n\n")
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                      fireflyhoist-resume: handle-1\r\nconnection: close\r\n";

pub(crate) fn two_tokens_then_cut(_: SocketAddr) -> String {
    let tokens = [token(0, "a"), token(1, "b")].concat();
    format!("{STREAM}content-length: 9999\r\n\r\n{tokens}")
}

/// Marks an answer whose connection stays open and silent.
const HOLD: &str = "hold: yes";

pub(crate) fn two_tokens_then_silence(_: SocketAddr) -> String {
    let tokens = [token(0, "a"), token(1, "b")].concat();
    format!("{STREAM}{HOLD}\r\ncontent-length: 9999\r\n\r\n{tokens}")
}

pub(crate) fn rest(_: SocketAddr) -> String {
    let tokens = format!("{}data: [DONE]\n\n", token(2, "c"));
    format!("{STREAM}content-length: {}\r\n\r\n{tokens}", tokens.len())
}
