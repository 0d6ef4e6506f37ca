//! What a caller has received of an answer, and what to do when it breaks off.

use std::time::Duration;

use fireflyhoist_wire::caller::{Answer, DONE, ERROR_EVENT, RESTART_EVENT, RESUME_EVENT};
use fireflyhoist_wire::problem::{Problem, Ran};
use fireflyhoist_wire::sse::Event;

/// The pause after a failure that names none, doubled with each that follows without progress.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// What an event asks of the command.
#[derive(Debug)]
pub enum Step {
    /// Nothing.
    Nothing,
    /// Print this now.
    Print(String),
    /// The answer is whole.
    Done,
    /// The end mark came though tokens are missing; the attempt counts as lost.
    Cut,
    /// The answer ended unfinished.
    Failed(Box<Problem>),
}

/// How to go on after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another entry at once.
    Elsewhere(String),
    /// Try again after a pause.
    Wait(Duration, String),
    /// Nothing more can be done.
    GiveUp(String),
}

/// One answer as far as it has come.
#[derive(Clone, Debug, Default)]
pub struct Session {
    whole: bool,
    held: String,
    handle: Option<String>,
    last_event: Option<String>,
    generation: Option<String>,
    expected: u64,
    received: u64,
    passed_over: bool,
    failures: u32,
}

impl Session {
    /// Begins; `whole` holds the answer back until it is complete and may begin it anew.
    pub fn open(whole: bool) -> Self {
        Self { whole, ..Self::default() }
    }

    /// The events that this caller understands. What is printed cannot be taken back, so only a
    /// caller that holds the answer back understands a restart.
    pub fn accepts(&self) -> &'static str {
        if self.whole { "restart, resume" } else { "resume" }
    }

    /// Remembers the handle of the generation that answers.
    pub fn set_handle(&mut self, handle: &str) {
        self.handle = Some(handle.to_owned());
    }

    /// The handle to resume with.
    pub fn handle(&self) -> Option<&str> {
        self.handle.as_deref()
    }

    /// The last event received, as `GENERATION:OFFSET`.
    pub fn last_event(&self) -> Option<&str> {
        self.last_event.as_deref()
    }

    /// Tokens received in all, those discarded included; it grows as long as there is progress.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// What is held back.
    pub fn held(&self) -> &str {
        &self.held
    }

    /// Takes in one event.
    pub fn take(&mut self, event: &Event) -> Step {
        match event.name.as_str() {
            RESUME_EVENT => {
                self.set_handle(&event.data);
                Step::Nothing
            }
            RESTART_EVENT => {
                self.restart();
                Step::Nothing
            }
            ERROR_EVENT => Step::Failed(Box::new(problem(&event.data))),
            // The failure: an entry that does not know the handle answers with another generation
            // to its end mark, and half a page would pass for a whole one.
            _ if event.data == DONE && self.passed_over => Step::Cut,
            _ if event.data == DONE => Step::Done,
            _ => self.token(event),
        }
    }

    fn restart(&mut self) {
        self.passed_over = false;
        self.held.clear();
        self.last_event = None;
        self.generation = None;
        self.expected = 0;
    }

    /// Takes a token if it is the next of the generation that answers; late, crossed and doubled
    /// ones fall here, so none is printed twice.
    fn token(&mut self, event: &Event) -> Step {
        let Some((generation, offset)) = event.id.split_once(':') else { return Step::Nothing };
        let Ok(offset) = offset.parse::<u64>() else { return Step::Nothing };
        let same = self.generation.as_deref().is_none_or(|own| own == generation);
        if !same || offset != self.expected {
            self.passed_over |= !same || offset > self.expected;
            return Step::Nothing;
        }
        let Ok(answer) = serde_json::from_str::<Answer>(&event.data) else { return Step::Nothing };
        let text: String = answer.choices.into_iter().map(|choice| choice.text).collect();
        self.generation = Some(generation.to_owned());
        self.last_event = Some(event.id.clone());
        self.expected += 1;
        self.received += 1;
        self.failures = 0;
        if self.whole {
            self.held.push_str(&text);
            return Step::Nothing;
        }
        Step::Print(text)
    }

    /// A connection was lost, or never came about.
    pub fn lost(&mut self, reason: &str) -> Next {
        self.passed_over = false;
        self.failures += 1;
        if self.failures == 1 {
            return Next::Elsewhere(reason.to_owned());
        }
        let doublings = (self.failures - 2).min(8);
        let pause = (FIRST_PAUSE * 2u32.pow(doublings)).min(LONGEST_PAUSE);
        Next::Wait(pause, reason.to_owned())
    }

    /// An entry refused, or ended the answer unfinished.
    pub fn refused(&mut self, problem: &Problem) -> Next {
        let reason = format!("{}: {}", problem.kind, problem.detail);
        let begun = self.expected > 0 && !self.whole;
        let temporary = matches!(problem.status, 429 | 502 | 503);
        if !temporary || (begun && problem.status == 502) {
            let ran = match problem.ran {
                Ran::No => "it was not run",
                Ran::Unknown => "whether it ran is not known",
                Ran::Yes => "it ran",
            };
            return Next::GiveUp(format!("{reason} ({ran})"));
        }
        if problem.status == 502 && self.handle.is_some() {
            // The generation is lost and nothing of it is shown: the next attempt begins anew.
            self.handle = None;
            self.restart();
        }
        if problem.entries.is_some() {
            return Next::Elsewhere(reason);
        }
        match problem.retry_after_ms {
            Some(millis) => Next::Wait(Duration::from_millis(millis), reason),
            None => self.lost(&reason),
        }
    }
}

/// An error event whose data cannot be read still ends the answer.
fn problem(data: &str) -> Problem {
    serde_json::from_str(data).unwrap_or_else(|_| Problem {
        kind: "interrupted".into(),
        title: "interrupted".into(),
        status: 502,
        detail: "the entry ended the answer without saying why; ask again".to_owned(),
        ran: Ran::Unknown,
        retry_after_ms: None,
        entries: None,
    })
}
