//! Real processes on loopback for tests: start them, learn their addresses, end them by handle.

mod caller;

pub use caller::{Ended, Transcript, client, read_answer, until_listed, until_ready};

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How long anything may take before a test gives up; generous, since no verdict rests on it.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Process {
    fn spawn(mut command: Command, watch_stderr: bool) -> Self {
        let (stdout, stderr) = match watch_stderr {
            true => (Stdio::null(), Stdio::piped()),
            false => (Stdio::piped(), Stdio::inherit()),
        };
        command.stdin(Stdio::null()).stdout(stdout).stderr(stderr);
        let mut child = command.spawn().expect("the program starts");
        let (sender, lines) = mpsc::channel();
        let read = |source: Box<dyn std::io::Read + Send>| {
            std::thread::spawn(move || {
                for line in BufReader::new(source).lines().map_while(Result::ok) {
                    let _ = sender.send(line);
                }
            });
        };
        match watch_stderr {
            true => read(Box::new(child.stderr.take().expect("stderr is piped"))),
            false => read(Box::new(child.stdout.take().expect("stdout is piped"))),
        }
        Self { child, lines }
    }

    /// Waits for a line that holds `key=` and returns the value.
    pub fn value(&self, key: &str) -> String {
        let end = Instant::now() + PATIENCE;
        let key = format!("{key}=");
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).expect("the line arrives in time");
            if let Some(word) = line.split_whitespace().find_map(|w| w.strip_prefix(&key)) {
                return word.to_owned();
            }
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stops it where it stands (SIGSTOP); it holds its sockets and answers nothing.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on (SIGCONT).
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to drain and end (SIGTERM).
    pub fn term(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the child is signalled");
    }

    /// Waits for a line that holds `words`.
    pub fn line(&self, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).expect("the line arrives in time");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Ends it at once (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A program of this workspace, from the directory of the test or program that asks.
pub fn program(name: &str) -> PathBuf {
    let asking = std::env::current_exe().expect("a program knows its own path");
    // Tests lie in target/PROFILE/deps, programs in target/PROFILE.
    let beside = asking.ancestors().skip(1).take(2).map(|directory| directory.join(name));
    let found = beside.into_iter().find(|path| path.exists());
    found.unwrap_or_else(|| panic!("{name} is not built; build the whole workspace first"))
}

/// A stand-in process and its address.
pub fn standin(role: &str, more: &[&str]) -> (Process, SocketAddr) {
    let mut command = Command::new(program("standin"));
    command.arg(role).arg("--listen").arg("127.0.0.1:0").args(more);
    let process = Process::spawn(command, false);
    let address = process.value("address").parse().expect("an address");
    (process, address)
}

/// A daemon process with its addresses.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Its host name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it serves callers.
    pub http: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
    _settings: PathBuf,
}

/// Starts a daemon with two workers and ports from the operating system.
pub fn entry(host: &str, domain: &str, platform: SocketAddr) -> Entry {
    entry_with(host, domain, platform, 2)
}

/// Starts a daemon with ports from the operating system.
pub fn entry_with(host: &str, domain: &str, platform: SocketAddr, workers: usize) -> Entry {
    start(host, domain, platform, workers, &[])
}

/// Starts a daemon whose settings name peers.
pub fn entry_beside(host: &str, domain: &str, platform: SocketAddr, peers: &[&Entry]) -> Entry {
    let peers: Vec<String> = peers.iter().map(|entry| entry.peer.to_string()).collect();
    start(host, domain, platform, 2, &peers)
}

fn start(
    host: &str,
    domain: &str,
    platform: SocketAddr,
    workers: usize,
    peers: &[String],
) -> Entry {
    let path = std::env::temp_dir().join(format!("ffh-{}-{host}.toml", std::process::id()));
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut file = std::fs::File::create(&path).expect("settings file");
    write!(
        file,
        "host = \"{host}\"\ndomain = \"{domain}\"\nlisten = \"{any}\"\npeer_listen = \"{any}\"\n\
         platform = \"{platform}\"\npeer_key = \"test\"\nworkers = {workers}\n\
         peers = {peers:?}\n"
    )
    .expect("settings written");
    let mut command = Command::new(program("fireflyhoistd"));
    command.arg("--settings").arg(&path);
    let process = Process::spawn(command, true);
    // One line carries both addresses, so both are taken from it.
    let end = Instant::now() + PATIENCE;
    let line = loop {
        let left = end.saturating_duration_since(Instant::now());
        let line = process.lines.recv_timeout(left).expect("the daemon listens in time");
        if line.contains("message=listening") {
            break line;
        }
    };
    let of = |key: &str| {
        let word = line.split_whitespace().find_map(|w| w.strip_prefix(key));
        word.expect("the line names it").parse().expect("an address")
    };
    Entry {
        host: host.to_owned(),
        domain: domain.to_owned(),
        http: of("http="),
        peer: of("peer="),
        process,
        _settings: path,
    }
}

/// The host list that names these entries as live.
pub fn host_list(entries: &[&Entry]) -> String {
    host_list_at(1, entries, &[])
}

/// The host list of a sequence, with some of its entries leaving.
pub fn host_list_at(sequence: u64, entries: &[&Entry], leaving: &[&Entry]) -> String {
    let hosts: Vec<serde_json::Value> = entries
        .iter()
        .map(|e| {
            serde_json::json!({
                "name": e.host, "domain": e.domain,
                "state": if leaving.iter().any(|l| l.host == e.host) { "leaving" } else { "live" },
                "entry": {"http": e.http, "peer": e.peer},
            })
        })
        .collect();
    serde_json::json!({"sequence": sequence, "hosts": hosts}).to_string()
}
