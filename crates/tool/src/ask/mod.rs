//! `ask`: sends a prompt and prints the answer, whatever becomes of the entry hosts meanwhile.

pub mod session;

use std::collections::VecDeque;
use std::io::{Read, Write, stdin, stdout};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use fireflyhoist_wire::caller::{
    ACCEPT_HEADER, Completion, Entries, LAST_EVENT_HEADER, RESUME_HEADER, WORKSPACE_HEADER,
};
use fireflyhoist_wire::problem::Problem;
use fireflyhoist_wire::sse::Decoder;
use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::time::timeout;

use crate::Outcome;
use crate::check;
use crate::error::Error;
use crate::flags::{self, Question};
use crate::fleet::Fleet;
use session::{Next, Session, Step};

/// Where the key is looked for when no file is named.
const KEY_VARIABLE: &str = "FIREFLYHOIST_KEY";

/// How long a TCP connection may take; entry hosts are milliseconds away.
const CONNECT: Duration = Duration::from_secs(2);

/// How long a stream may be silent: entries send a comment at least each second, so this long
/// without one means that the connection is lost even where it looks open.
const SILENCE: Duration = Duration::from_secs(5);

/// The largest event of an answer in bytes.
const MAX_EVENT: usize = 1 << 20;

/// The largest refusal in bytes.
const MAX_PROBLEM: usize = 1 << 20;

/// The pause before entries are asked for again, where none of those known answers.
const PAUSE: Duration = Duration::from_millis(500);

pub(crate) async fn run(flags: &flags::Fleet, question: Question) -> Result<Outcome, Error> {
    let prompt = match &question.prompt {
        Some(prompt) => prompt.clone(),
        None => {
            let mut prompt = String::new();
            stdin().read_to_string(&mut prompt)?;
            prompt
        }
    };
    let completion = Completion {
        model: question.service.as_str().into(),
        prompt,
        max_tokens: question.max_tokens,
        stream: true,
    };
    let fleet = Fleet::open(flags).await?;
    let key = key(question.key_file.as_deref())?;
    let session = Session::open(question.whole);
    let mut asking = Asking { fleet, question, key, completion, session, known: VecDeque::new() };
    asking.until_done().await
}

/// The workspace's key; never taken from the command line, which other users of a host can read.
fn key(file: Option<&Path>) -> Result<Option<String>, Error> {
    match file {
        Some(file) => {
            let key = check::read(file)?;
            Ok(Some(String::from_utf8_lossy(&key).trim().to_owned()))
        }
        None => Ok(std::env::var(KEY_VARIABLE).ok()),
    }
}

/// One prompt on its way to its answer.
struct Asking {
    fleet: Fleet,
    question: Question,
    key: Option<String>,
    completion: Completion,
    session: Session,
    /// Entries not tried since the list was last read, best first.
    known: VecDeque<SocketAddr>,
}

/// How one attempt ended.
enum Ended {
    Done,
    Refused(Box<Problem>),
    Lost(String),
}

impl Asking {
    async fn until_done(&mut self) -> Result<Outcome, Error> {
        let mut last_progress = Instant::now();
        loop {
            let received = self.session.received();
            let ended = match self.next_entry().await {
                Some(address) => self.attempt(address).await?,
                None => Ended::Lost("no entry host answers".to_owned()),
            };
            if self.session.received() > received {
                last_progress = Instant::now();
            }
            let next = match ended {
                Ended::Done => return self.finish(),
                Ended::Refused(problem) => {
                    self.learn(problem.entries.as_ref());
                    self.session.refused(&problem)
                }
                Ended::Lost(reason) => self.session.lost(&reason),
            };
            let (pause, reason) = match next {
                Next::GiveUp(reason) => return Err(Error::Answer { reason }),
                Next::Elsewhere(reason) => (Duration::ZERO, reason),
                Next::Wait(pause, reason) => (pause, reason),
            };
            eprintln!("fireflyhoist: {reason}; going on in {:.1} s", pause.as_secs_f64());
            let patience = Duration::from_secs(self.question.patience);
            if last_progress.elapsed() + pause >= patience {
                let reason =
                    format!("gave up after {} s without progress: {reason}", patience.as_secs());
                return Err(Error::Answer { reason });
            }
            ntex::time::sleep(pause).await;
        }
    }

    fn finish(&mut self) -> Result<Outcome, Error> {
        let mut out = stdout();
        out.write_all(self.session.held().as_bytes())?;
        out.write_all(b"\n")?;
        out.flush()?;
        Ok(Outcome::Clean)
    }

    fn learn(&mut self, entries: Option<&Entries>) {
        if let Some(entries) = entries {
            self.known = entries.entries.iter().map(|entry| entry.address).collect();
        }
    }

    /// The best entry not tried yet that takes a connection.
    ///
    /// A connection of its own comes first: the HTTP client reports some requests that did run as
    /// failed to connect, so its word would not do to try elsewhere.
    async fn next_entry(&mut self) -> Option<SocketAddr> {
        if self.known.is_empty() {
            let workspace = self.question.workspace.as_ref();
            match self.fleet.entries(workspace).await {
                Ok(entries) => self.learn(Some(&entries)),
                Err(_) => self.known = self.fleet.named().iter().copied().collect(),
            }
        }
        while let Some(address) = self.known.pop_front() {
            if TcpStream::connect_timeout(&address, CONNECT).is_ok() {
                return Some(address);
            }
        }
        ntex::time::sleep(PAUSE).await;
        None
    }

    async fn attempt(&mut self, address: SocketAddr) -> Result<Ended, Error> {
        let response = match self.send(address).await {
            Ok(response) => response,
            Err(reason) => return Ok(Ended::Lost(format!("{address} broke off ({reason})"))),
        };
        if !response.status().is_success() {
            return Ok(refusal(address, response).await);
        }
        if let Some(handle) = response.headers().get(RESUME_HEADER) {
            self.session.set_handle(handle.to_str().unwrap_or_default());
        }
        self.read(address, response).await
    }

    async fn send(&self, address: SocketAddr) -> Result<ClientResponse, String> {
        let url = format!("http://{address}/v1/completions");
        let mut request = self.fleet.client().post(url);
        request = request.header(ACCEPT_HEADER, self.session.accepts());
        if let Some(workspace) = &self.question.workspace {
            request = request.header(WORKSPACE_HEADER, workspace.as_str());
        }
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(handle) = self.session.handle() {
            request = request.header(RESUME_HEADER, handle);
        }
        if let Some(last) = self.session.last_event() {
            request = request.header(LAST_EVENT_HEADER, last);
        }
        let patience = Duration::from_secs(self.question.patience);
        let sent = timeout(patience, request.send_json(&self.completion)).await;
        sent.map_err(|()| "no answer".to_owned())?.map_err(|error| error.to_string())
    }

    async fn read(
        &mut self,
        address: SocketAddr,
        response: ClientResponse,
    ) -> Result<Ended, Error> {
        let mut payload = response.take_payload();
        let mut decoder = Decoder::open(MAX_EVENT);
        let lost = |reason: &str| Ok(Ended::Lost(format!("{address} {reason}")));
        loop {
            let bytes = match timeout(SILENCE, payload.next()).await {
                Err(()) => return lost("went silent"),
                Ok(None | Some(Err(_))) => return lost("broke off before the end"),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let Ok(events) = decoder.feed(&bytes) else { return lost("sent no event stream") };
            for event in events {
                match self.session.take(&event) {
                    Step::Nothing => {}
                    Step::Print(text) => {
                        let mut out = stdout();
                        out.write_all(text.as_bytes())?;
                        out.flush()?;
                    }
                    Step::Done => return Ok(Ended::Done),
                    Step::Failed(problem) => return Ok(Ended::Refused(problem)),
                }
            }
        }
    }
}

async fn refusal(address: SocketAddr, response: ClientResponse) -> Ended {
    let status = response.status();
    let body = response.body().limit(MAX_PROBLEM).await.unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(problem) => Ended::Refused(Box::new(problem)),
        Err(_) => Ended::Lost(format!("{address} answered {status}")),
    }
}
