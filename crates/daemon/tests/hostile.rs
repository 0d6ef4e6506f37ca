//! Clients that nobody controls, before a real `fireflyhoistd` process.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use fireflyhoist_harness::{client, entry_with, host_list, standin, until_ready};

/// The memory of the smallest host, in KiB.
const MEMORY_KIB: u64 = 110 << 10;

/// The size of the largest body of a completion.
const MAX_BODY: usize = 1 << 20;

const PATIENCE: Duration = Duration::from_secs(15);

/// Returns the most memory that a process has had, in KiB.
fn peak_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    line.split_whitespace().next().and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Connects clients that each send a body but for its last byte, and returns their connections.
fn send_short_bodies(to: SocketAddr, clients: usize) -> Vec<TcpStream> {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
         Content-Length: {MAX_BODY}\r\n\r\n{{\"prompt\":\""
    );
    let body = vec![b'b'; MAX_BODY - "{\"prompt\":\"".len() - 1];
    let mut streams = Vec::new();
    for _ in 0..clients {
        let mut stream = TcpStream::connect(to).expect("it listens");
        stream.set_write_timeout(Some(Duration::from_millis(500))).expect("a socket option");
        // The daemon may refuse it, or read no further.
        if stream.write_all(head.as_bytes()).is_ok() {
            let _ = stream.write_all(&body);
        }
        streams.push(stream);
    }
    streams
}

/// Returns whether a completion is answered in time, asked again while it is refused.
fn is_answered(to: SocketAddr) -> bool {
    let body = r#"{"model":"scan","prompt":"a page lines=2"}"#;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(to) {
            stream.set_read_timeout(Some(PATIENCE)).expect("a socket option");
            if stream.write_all(request.as_bytes()).is_ok() {
                let read = stream.read_to_end(&mut answer);
                assert!(!read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock), "no end");
            }
        }
        if answer.starts_with(b"HTTP/1.1 200") {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

/// Guards against memory that bodies take which stop just before their end: all are collected, and
/// nothing bounds them together.
#[ntex::test]
async fn short_bodies_do_not_exhaust_the_daemon() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &[]);
    let entry = entry_with("hostile-1", "hala-a", platform, 1);
    let text = format!(
        "revision = 1\n[[service]]\nname = \"scan\"\n\
         target = [{{ name = \"t1\", host = \"m1\", address = \"{engine}\" }}]\n"
    );
    let http = client().await;
    let put = async |path: &str, body: String, kind: &'static str| {
        let url = format!("http://{platform}/operator/{path}");
        http.put(url).content_type(kind).send_body(body).await.expect("published");
    };
    put("hosts", host_list(&[&entry]), "application/json").await;
    put("text", text, "text/plain").await;
    until_ready(&http, entry.http).await;
    let crowd = send_short_bodies(entry.http, 300);
    let answered_meanwhile = is_answered(entry.http);
    drop(crowd);
    assert!(answered_meanwhile && is_answered(entry.http), "a completion is not answered");
    let peak = peak_kib(entry.process.id());
    assert!(peak <= MEMORY_KIB, "{} MB of {}", peak >> 10, MEMORY_KIB >> 10);
}
