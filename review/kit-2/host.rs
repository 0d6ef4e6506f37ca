//! Replicas, each as a process of its own.
//!
//! A host binds the address and starts a worker that serves on it. If the worker is killed, a
//! supervised host starts another one a little later, with a new start; meanwhile the system accepts
//! connections, which the next worker serves. A host that is not supervised ends with its worker.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, json};

/// How long a supervised host takes to start the next worker.
const RESTART: Duration = Duration::from_millis(700);

/// The events of a stream, and the time between two.
pub const EVENTS: u64 = 30;
const EVENT_GAP: Duration = Duration::from_millis(60);

/// The halves of a plain answer, and the time between them.
pub const HALF_BYTES: usize = 4_000;
pub const HALF_GAP: Duration = Duration::from_millis(120);

/// The work of a call that answers at once when done.
const WORK: Duration = Duration::from_millis(60);

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// `host NAME supervised|single`: binds, prints its port, and keeps a worker.
pub fn run(words: &[&str]) -> i32 {
    let (name, supervised) = (words[0], words[1] == "supervised");
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { return 2 };
    let port = listener.local_addr().expect("bound").port();
    let program = std::env::current_exe().expect("a program");
    // The host ends with the case that started it.
    let worker = Arc::new(Mutex::new(None::<u32>));
    let last = Arc::clone(&worker);
    std::thread::spawn(move || {
        let _ = std::io::stdin().read(&mut [0]);
        if let Some(pid) = *last.lock().expect("no panic") {
            let _ =
                Command::new("kill").args(["-9", &pid.to_string()]).stderr(Stdio::null()).status();
        }
        std::process::exit(0);
    });
    let mut listener = Some(listener);
    loop {
        let born = now_ms();
        let own = listener.take().expect("the listener");
        let shared: OwnedFd = own.as_fd().try_clone_to_owned().expect("a descriptor");
        // A host that is not supervised leaves the address to its worker alone.
        if supervised {
            listener = Some(own);
        } else {
            drop(own);
        }
        let started = Command::new(&program)
            .args(["worker", name, &born.to_string()])
            .stdin(Stdio::from(shared))
            .spawn();
        let Ok(mut child) = started else { return 2 };
        *worker.lock().expect("no panic") = Some(child.id());
        println!("worker {port} {} {born}", child.id());
        let _ = child.wait();
        *worker.lock().expect("no panic") = None;
        println!("ended");
        if !supervised {
            return 0;
        }
        std::thread::sleep(RESTART);
    }
}

/// `worker NAME BORN`: serves on the listener that is its standard input.
pub fn work(words: &[&str]) -> i32 {
    let (name, born): (String, String) = (words[0].to_owned(), words[1].to_owned());
    let Ok(input) = std::io::stdin().as_fd().try_clone_to_owned() else { return 2 };
    let listener = TcpListener::from(input);
    for stream in listener.incoming().flatten() {
        let (name, born) = (name.clone(), born.clone());
        std::thread::spawn(move || serve(stream, &name, &born));
    }
    0
}

fn serve(mut stream: TcpStream, name: &str, born: &str) {
    let _ = stream.set_nodelay(true);
    let Some(request) = Message::read(&mut stream) else { return };
    let path = request.path().to_owned();
    let Some(id) = request.header("fireflyhoist-request-id").map(str::to_owned) else {
        let body = format!(
            r#"{{"born":{born},"stage":"both","models":[],"busy":false,"seq":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":34213,"handles":0,"state":"ready","next":0,"runs":[]}}"#
        );
        let reply = match path.as_str() {
            "/report" => json("200 OK", &body),
            _ => json("404 Not Found", "{}"),
        };
        let _ = stream.write_all(reply.as_bytes());
        return;
    };
    if request.header("fireflyhoist-expect-instance").is_some_and(|expected| expected != name) {
        let reply = format!(
            "HTTP/1.1 421 Misdirected Request\r\nFireflyhoist-Request-Id: {id}\r\n\
             Fireflyhoist-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let _ = stream.write_all(reply.as_bytes());
        return;
    }
    println!("begin {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nFireflyhoist-Request-Id: {id}\r\nFireflyhoist-Stamp: {name}.{id}\r\n"
    );
    // Those that may have no length say so in their id.
    let framed = !id.ends_with("-unframed");
    if path.starts_with("/g/") {
        stream_events(&mut stream, &head, &id, framed);
    } else if path.starts_with("/k/") {
        let first = match framed {
            true => format!("{head}Content-Length: {}\r\n\r\n", 2 * HALF_BYTES),
            false => format!("{head}\r\n"),
        };
        let _ = stream.write_all(first.as_bytes());
        let _ = stream.write_all("a".repeat(HALF_BYTES).as_bytes());
        println!("half {id}");
        std::thread::sleep(HALF_GAP);
        let _ = stream.write_all("b".repeat(HALF_BYTES).as_bytes());
    } else {
        std::thread::sleep(WORK);
        let _ = stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes());
    }
    println!("end {id}");
}

fn stream_events(stream: &mut TcpStream, head: &str, id: &str, framed: bool) {
    let framing = if framed { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        let bytes = match framed {
            true => format!("{:x}\r\n{event}\r\n", event.len()),
            false => event,
        };
        if stream.write_all(bytes.as_bytes()).is_err() {
            println!("left {id} {number}");
            return;
        }
        println!("event {id} {number}");
        std::thread::sleep(EVENT_GAP);
    }
    if framed {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// What a host has printed: when, and the line.
pub type Lines = Arc<Mutex<Vec<(Instant, String)>>>;

/// A host that a case has started.
pub struct Host {
    pub name: String,
    child: Child,
    pub lines: Lines,
}

impl Host {
    pub fn start(name: &str, supervised: bool) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let kind = if supervised { "supervised" } else { "single" };
        let mut child = Command::new(program)
            .args(["host", name, kind])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("no output")?;
        let lines = Lines::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().expect("no panic").push((Instant::now(), line));
            }
        });
        let host = Self { name: name.to_owned(), child, lines };
        let end = Instant::now() + Duration::from_secs(5);
        while host.worker().is_none() {
            if Instant::now() > end {
                return Err("a host does not start".to_owned());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(host)
    }

    /// Returns the port, the process id and the start of the latest worker.
    pub fn worker(&self) -> Option<(u16, u32, String)> {
        let lines = self.lines.lock().expect("no panic");
        let line = lines.iter().rev().find_map(|(_, line)| line.strip_prefix("worker "))?;
        let words: Vec<&str> = line.split(' ').collect();
        Some((words[0].parse().ok()?, words[1].parse().ok()?, words[2].to_owned()))
    }

    /// Returns the lines that begin with this text.
    pub fn seen(&self, begin: &str) -> Vec<(Instant, String)> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().filter(|(_, line)| line.starts_with(begin)).cloned().collect()
    }

    /// Kills the worker with SIGKILL.
    pub fn kill_worker(&self) {
        if let Some((_, pid, _)) = self.worker() {
            let _ =
                Command::new("kill").args(["-9", &pid.to_string()]).stderr(Stdio::null()).status();
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        self.renewed_entry(service, slots, 1)
    }

    /// Returns the same after it was written so many times.
    pub fn renewed_entry(&self, service: &str, slots: u32, seq: u32) -> String {
        let (port, _, born) = self.worker().expect("a worker");
        format!(
            r#"{{"service":"{service}","addr":"127.0.0.1:{port}","zone":"hala-a","version":"v1","slots":{slots},"state":"ready","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
        )
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The host kills its worker and ends when its input does.
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

/// Returns the configuration of the cases, like that of a small deployment.
pub fn config() -> &'static str {
    r#"{"version":7,"routes":[
    {"name":"page","host":"a.example","prefix":"/g/","type":"stream","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"prepis","attempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":180},
    {"name":"ship","host":"a.example","prefix":"/k/","type":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"katalog","attempts":2,"public":false,"sticky":false,"resumable":false},
    {"name":"name","host":"a.example","prefix":"/u/","type":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"katalog","attempts":1,"public":false,"sticky":false,"resumable":false}],
    "services":[
    {"name":"prepis","healthPath":"/healthz","maxConns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34213,"kvTokenBytes":35136,"linkMbps":5100.0,"moves":false,"backups":false,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}},
    {"name":"katalog","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#
}
