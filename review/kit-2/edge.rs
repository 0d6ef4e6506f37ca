//! `fireflyhoist-edge` processes, started as the deploy file says with the settings of a small
//! deployment.

use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::client;

/// Returns a port that is free now, of those that systems give to no outgoing connection.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let nth =
            std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 12_000 + (nth % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub struct Edge {
    child: Child,
    folder: PathBuf,
    pub front: u16,
    ready: u16,
    pub control: u16,
}

impl Edge {
    /// Starts an entry; `seeds` are the control ports of others.
    pub fn start(name: &str, store: u16, seeds: &[u16]) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (front, ready, directory, control, metrics) =
            (free_port(), free_port(), free_port(), free_port(), free_port());
        let template = std::fs::read_to_string("deploy/settings.toml.in")
            .map_err(|error| format!("deploy/settings.toml.in: {error}"))?;
        let seeds: Vec<String> = seeds.iter().map(|port| format!("\"127.0.0.1:{port}\"")).collect();
        let address = |port: u16| format!("127.0.0.1:{port}");
        let values = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", "hala-a".to_owned()),
            ("{{listen.front}}", address(front)),
            ("{{listen.readyAddr}}", address(ready)),
            ("{{listen.directory}}", address(directory)),
            ("{{listen.control}}", address(control)),
            ("{{ip}}:{{portRange.0}}", address(metrics)),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{limits.memoryMb}}", "110".to_owned()),
            ("{{limits.maxFds}}", "4100".to_owned()),
            ("{{platform.addr}}", address(store)),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.retryRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBurst}}", "52".to_owned()),
            ("{{bounds.ttl_max_s}}", "5".to_owned()),
            ("{{bounds.coldExcess}}", String::new()),
            ("{{bounds.coldMargin}}", String::new()),
        ];
        let settings =
            values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        if settings.contains("{{") {
            return Err(format!("a placeholder is left in the settings: {settings}"));
        }
        let path = folder.join("boot.toml");
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("log.txt")).map_err(|error| error.to_string())?;
        let child = Command::new("target/release/fireflyhoist-edge")
            .env("FIREFLYHOIST_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("target/release/fireflyhoist-edge: {error}"))?;
        Ok(Self { child, folder, front, ready, control })
    }

    /// Waits until the entry is ready.
    pub fn until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        let probe = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < end {
            let answer = client::exchange(self.ready, probe.as_bytes(), Duration::from_secs(1));
            if answer.text().starts_with("HTTP/1.1 200") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("an entry is not ready in time".to_owned())
    }

    /// Returns the lines of its log that hold one of these words.
    pub fn log(&self, words: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        let lines = log.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
