//! Engines, plain services and a platform that send bytes without end, before a real `fireflyhoistd`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use fireflyhoist_harness::{Entry, Process, client, entry_with, host_list, standin, until_ready};
use yare::parameterized;

/// The memory of the smallest host, in KiB.
const MEMORY_KIB: u64 = 110 << 10;

const CALLERS: usize = 40;

/// How long a caller waits at most for its answer or failure.
const PATIENCE: Duration = Duration::from_secs(12);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Serves with what `reply` returns for a head, and where that is nothing, sends `begin` and then `rest`
/// again and again until the connection is closed. Returns the address, and how many such replies are
/// under way.
fn endless(
    begin: String,
    rest: &str,
    reply: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (open, all) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (Arc::clone(&open), Arc::clone(&all));
    let rest = rest.repeat(4_096 / rest.len() + 1);
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (begin, rest, reply) = (begin.clone(), rest.clone(), Arc::clone(&reply));
            let (open, all) = (Arc::clone(&open), Arc::clone(&all));
            std::thread::spawn(move || {
                let mut head = vec![0; 16 << 10];
                let read = stream.read(&mut head).unwrap_or(0);
                if let Some(text) = reply(&String::from_utf8_lossy(&head[..read])) {
                    let _ = stream.write_all(text.as_bytes());
                    return;
                }
                open.fetch_add(1, Ordering::SeqCst);
                all.fetch_add(1, Ordering::SeqCst);
                let mut sent = stream.write_all(begin.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(rest.as_bytes());
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, counts.0, counts.1)
}

/// Returns the most memory that a process has had, in KiB.
fn peak_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    line.split_whitespace().next().and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Sends a request, reads at most 1 MiB of the answer until the connection ends, and returns its
/// beginning and its end.
fn send(to: SocketAddr, request: &str) -> (String, String) {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket option");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut answer = Vec::new();
    let _ = stream.take(1 << 20).read_to_end(&mut answer);
    let part = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (part(&answer[..answer.len().min(2_000)]), part(&answer[answer.len().saturating_sub(200)..]))
}

fn completion(model: &str) -> String {
    let body = format!(r#"{{"model":"{model}","prompt":"a page tokens=3","stream":true}}"#);
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn lookup(service: &str) -> String {
    format!("GET /s/{service}/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
}

/// A platform, a sound engine, and an entry that serves a model `sound` and what the test adds.
struct Site {
    entry: Entry,
    _processes: [Process; 2],
}

impl Site {
    async fn open(name: &str, more: &str, platform: impl FnOnce(SocketAddr) -> SocketAddr) -> Self {
        let (platform_process, store) = standin("platform", &[]);
        let (engine_process, engine) = standin("engine", &[]);
        let entry = entry_with(name, "hala-a", platform(store), 1);
        let text = format!(
            "revision = 1\n[[service]]\nname = \"sound\"\n\
             target = [{{ name = \"t1\", host = \"m1\", address = \"{engine}\" }}]\n{more}"
        );
        let http = client().await;
        let put = async |path: &str, body: String, kind: &'static str| {
            let url = format!("http://{store}/operator/{path}");
            http.put(url).content_type(kind).send_body(body).await.expect("published");
        };
        put("hosts", host_list(&[&entry]), "application/json").await;
        put("text", text, "text/plain").await;
        until_ready(&http, entry.http).await;
        Self { entry, _processes: [platform_process, engine_process] }
    }

    /// Sends a request many times at once, and returns the answers.
    fn crowd(&self, request: &str) -> Vec<(String, String)> {
        let to = self.entry.http;
        let sent: Vec<_> = (0..CALLERS)
            .map(|_| request.to_owned())
            .map(|request| std::thread::spawn(move || send(to, &request)))
            .collect();
        sent.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    }

    fn assert_serves(&self) {
        let (head, end) = send(self.entry.http, &completion("sound"));
        assert!(head.starts_with("HTTP/1.1 200") && end.ends_with("0\r\n\r\n"), "{head} {end}");
    }

    fn assert_bounded(&self) {
        let peak = peak_kib(self.entry.process.id());
        assert!(peak <= MEMORY_KIB, "{} MB of {}", peak >> 10, MEMORY_KIB >> 10);
    }
}

/// Waits until at most so many endless replies are under way.
fn until_closed(open: &AtomicUsize, most: usize) {
    let end = Instant::now() + Duration::from_secs(5);
    while open.load(Ordering::SeqCst) > most {
        assert!(Instant::now() < end, "{} connections stay open", open.load(Ordering::SeqCst));
        sleep(Duration::from_millis(20));
    }
}

fn name() -> String {
    std::thread::current().name().unwrap_or_default().replace("::", "-").replace('_', "-")
}

/// Guards against `fireflyhoistd` running out of memory or leaving its other callers waiting since an
/// engine or a plain service sends bytes that are no answer without end.
#[parameterized(
    line = { "HTTP/1.1 200 OK\r\nx: ", "a" },
    headers = { "HTTP/1.1 200 OK\r\n", "x: y\r\n" },
    interim_answers = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    digits_of_a_chunk_size = { CHUNKED, "0" },
    extension_of_a_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "a" },
    trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "x: y\r\n" },
    event = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4000000000000000\r\n", "data: a" },
    blank_lines = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4000000000000000\r\n", "\n" },
)]
#[test_macro(ntex::test)]
async fn a_target_that_sends_without_end(begin: &str, rest: &str) {
    let loads = "HTTP/1.1 404 X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let target = || {
        endless(begin.to_owned(), rest, move |head| {
            head.starts_with("GET /v1/load").then(|| loads.to_owned())
        })
    };
    let ((engine, engine_open, engine_all), (plain, plain_open, plain_all)) = (target(), target());
    let more = format!(
        "[[service]]\nname = \"odd\"\npatience_ms = 3000\n\
         target = [{{ name = \"t2\", host = \"m2\", address = \"{engine}\" }}]\n\
         [[service]]\nname = \"look\"\nkind = \"plain\"\npatience_ms = 3000\n\
         target = [{{ name = \"t3\", host = \"m3\", address = \"{plain}\" }}]\n"
    );
    let site = Site::open(&name(), &more, |store| store).await;
    for request in [completion("odd"), lookup("look")] {
        let is_valid_body = request.starts_with("GET") && begin.contains("4000000000000000");
        for (head, end) in site.crowd(&request) {
            let whole = head.starts_with("HTTP/1.1 200") && end.ends_with("\r\n0\r\n\r\n");
            let failed = !whole || head.contains("event: error");
            assert!(failed || is_valid_body, "{head} {end}");
        }
        site.assert_serves();
    }
    for (open, all) in [(engine_open, engine_all), (plain_open, plain_all)] {
        until_closed(&open, 0);
        assert!(all.load(Ordering::SeqCst) > 0, "the target was not asked");
    }
    site.assert_bounded();
}

/// Guards against `fireflyhoistd` running out of memory since engines report their load without end, and
/// against such a report counting.
#[parameterized(
    line = { "HTTP/1.1 200 OK\r\nx: ", "a" },
    interim_answers = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    extension_of_a_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "a" },
    body = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4000000000000000\r\n", " " },
)]
#[test_macro(ntex::test)]
async fn an_engine_that_reports_without_end(begin: &str, rest: &str) {
    let engines: Vec<_> = (0..8).map(|_| endless(begin.to_owned(), rest, |_| None)).collect();
    let targets: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(nth, (address, ..))| {
            format!("{{ name = \"o{nth}\", host = \"h{nth}\", address = \"{address}\" }}")
        })
        .collect();
    let more = format!("[[service]]\nname = \"odd\"\ntarget = [{}]\n", targets.join(", "));
    let site = Site::open(&name(), &more, |store| store).await;
    for _ in 0..4 {
        sleep(Duration::from_secs(1));
        site.assert_serves();
    }
    for (_, open, all) in &engines {
        until_closed(open, 1);
        assert!(all.load(Ordering::SeqCst) > 0, "no report was asked");
    }
    site.assert_bounded();
}

/// Guards against `fireflyhoistd` running out of memory or serving nobody since the platform answers its
/// reads of the text and the hosts without end.
#[parameterized(
    line = { "HTTP/1.1 200 OK\r\nx: ", "a" },
    interim_answers = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    extension_of_a_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "a" },
    body = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4000000000000000\r\n", "# a\n" },
)]
#[test_macro(ntex::test)]
async fn a_platform_that_answers_without_end(begin: &str, rest: &str) {
    let (begin, rest) = (begin.to_owned(), rest.to_owned());
    let mut counts = None;
    let is_odd = Arc::new(AtomicBool::new(false));
    let odd = Arc::clone(&is_odd);
    let site = Site::open(&name(), "", |store| {
        let (address, open, all) = endless(begin, &rest, move |head| {
            (!odd.load(Ordering::SeqCst)).then(|| {
                let head = head.replacen("\r\n", "\r\nconnection: close\r\n", 1);
                send(store, &head).0
            })
        });
        counts = Some((open, all));
        address
    })
    .await;
    is_odd.store(true, Ordering::SeqCst);
    let (open, all) = counts.expect("opened");
    // The read that waits at the platform ends only after its time.
    for _ in 0..30 {
        sleep(Duration::from_secs(1));
        site.assert_serves();
        if all.load(Ordering::SeqCst) > 4 {
            break;
        }
    }
    until_closed(&open, 2);
    site.assert_bounded();
    assert!(all.load(Ordering::SeqCst) > 0, "the platform was not read again");
}
