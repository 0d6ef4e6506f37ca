//! A caller that stays with its answer, whatever becomes of the entry hosts meanwhile.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use fireflyhoist_policy::id;
use fireflyhoist_wire::caller::{
    ACCEPT_HEADER, Completion, Entries, LAST_EVENT_HEADER, RESUME_HEADER, WORKSPACE_HEADER,
};
use fireflyhoist_wire::problem::Problem;
use fireflyhoist_wire::sse::Decoder;
use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::time::timeout;

use crate::ask::session::{Next, Session, Step};
use crate::error::Error;
use crate::flags;
use crate::fleet::Fleet;

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

/// Where an answer is shown.
pub trait Screen {
    /// The next part of the answer.
    fn text(&mut self, text: &str) -> io::Result<()>;

    /// What the caller notices on the way: a refusal, a lost connection, a pause.
    fn note(&mut self, note: &str);

    /// The entry that the caller turns to.
    fn turn(&mut self, _entry: SocketAddr) {}
}

/// One question and how it is asked.
#[derive(Clone, Debug)]
pub struct Question {
    /// The body of the request.
    pub completion: Completion,
    /// The workspace to ask as, where it has no key.
    pub workspace: Option<id::Workspace>,
    /// The workspace's key.
    pub key: Option<String>,
    /// Whether the answer is shown only when it is complete; it may restart after a failure.
    pub whole: bool,
    /// How long to go on without progress.
    pub patience: Duration,
}

/// One question on its way to its answer.
#[derive(Debug)]
pub struct Caller<S> {
    fleet: Fleet,
    question: Question,
    session: Session,
    screen: S,
    /// Entries not tried since the list was last read, best first.
    known: VecDeque<SocketAddr>,
}

/// How one attempt ended.
enum Ended {
    Done,
    Refused(Box<Problem>),
    Lost(String),
}

impl<S: Screen> Caller<S> {
    /// Opens a caller that first turns to one of `entries`.
    pub async fn open(
        entries: Vec<SocketAddr>,
        question: Question,
        screen: S,
    ) -> Result<Self, Error> {
        let fleet = Fleet::open(&flags::Fleet { entries }).await?;
        let session = Session::open(question.whole);
        Ok(Self { fleet, question, session, screen, known: VecDeque::new() })
    }

    /// Asks until the answer is whole, and hands the screen back; or says why it cannot be had.
    pub async fn answer(mut self) -> Result<S, Error> {
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
            self.screen.note(&format!("{reason}; going on in {:.1} s", pause.as_secs_f64()));
            let patience = self.question.patience;
            if last_progress.elapsed() + pause >= patience {
                let reason =
                    format!("gave up after {} s without progress: {reason}", patience.as_secs());
                return Err(Error::Answer { reason });
            }
            ntex::time::sleep(pause).await;
        }
    }

    fn finish(mut self) -> Result<S, Error> {
        self.screen.text(self.session.held())?;
        Ok(self.screen)
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
        self.screen.turn(address);
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
        if let Some(key) = &self.question.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(handle) = self.session.handle() {
            request = request.header(RESUME_HEADER, handle);
        }
        if let Some(last) = self.session.last_event() {
            request = request.header(LAST_EVENT_HEADER, last);
        }
        let patience = self.question.patience;
        let sent = timeout(patience, request.send_json(&self.question.completion)).await;
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
                    Step::Print(text) => self.screen.text(&text)?,
                    Step::Cut => return lost("ended the answer with tokens missing"),
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
