//! Golden files of whole sessions: what an engine sends, what the entry decides, what its caller
//! receives. Time is a number and links are lists of bytes, so a file changes only with the rules.

use std::fmt::Write;
use std::time::Duration;

use fireflyhoist_policy::failover::{Failure, Options, Session, Step};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_policy::time::Time;
use fireflyhoist_wire::transcode::Transcoder;

const WHOLE: Options = Options { buffered: true, ..LIVE };
const RESTARTS: Options = Options { restartable: true, ..LIVE };
const LIVE: Options = Options {
    buffered: false,
    restartable: false,
    silence_timeout: Duration::from_millis(100),
    stall_timeout: Duration::from_secs(5),
};

/// Time that each read of a link takes.
const READ: Duration = Duration::from_millis(10);

/// What an engine's link does next.
#[derive(Clone, Copy)]
enum Act {
    /// It sends these bytes.
    Send(&'static str),
    /// It breaks.
    Break(Failure),
    /// It sends nothing until the session holds it to be silent.
    Hush,
}

/// One session as it is written to its golden file.
struct Play {
    now: Time,
    terms: Options,
    session: Session,
    way: Transcoder,
    generations: u128,
    log: String,
}

impl Play {
    fn open(terms: Options) -> Self {
        let now = Time::ZERO;
        Self {
            now,
            terms,
            session: Session::open(now, terms, false),
            way: Transcoder::open(Generation::new(1), 0, terms.buffered),
            generations: 1,
            log: String::new(),
        }
    }

    /// Plays links one after the other until the answer has ended, and returns the log.
    fn run(mut self, links: &[&[Act]]) -> String {
        for link in links {
            let Some(kind) = self.link(link) else { return self.log };
            let step = self.session.fail(self.now, kind);
            self.note(&format!("broken: {kind}; step: {step:?}"));
            match step {
                Step::Resume { after } => self.now = self.now + after,
                Step::Elsewhere => self.fresh(),
                Step::Restart => {
                    self.fresh();
                    self.note("to caller: event: restart");
                }
                Step::Interrupt => {
                    self.note("to caller: event: error");
                    return self.log;
                }
            }
        }
        self.note("the script has no more links");
        self.log
    }

    fn fresh(&mut self) {
        self.generations += 1;
        let generation = Generation::new(self.generations);
        self.way = Transcoder::open(generation, 0, self.terms.buffered);
        self.session.begin(self.now);
    }

    /// Plays one link; returns how it broke, or `None` after the end of the answer.
    fn link(&mut self, acts: &[Act]) -> Option<Failure> {
        self.session.connect(self.now);
        self.way.relink();
        let next = self.way.next();
        self.note(&format!("link for generation {} from {}", self.generations, next.offset));
        // An engine that breaks off at once has not answered that it has the generation.
        if !matches!(acts.first(), Some(Act::Break(_))) {
            self.session.mark_accepted(self.now);
        }
        for act in acts {
            match act {
                Act::Send(bytes) => match self.send(bytes) {
                    Ok(false) => {}
                    Ok(true) => return None,
                    Err(kind) => return Some(kind),
                },
                Act::Break(kind) => return Some(*kind),
                Act::Hush => {
                    self.now = self.session.deadline();
                    return Some(Failure::Silent);
                }
            }
        }
        Some(Failure::Cut)
    }

    fn send(&mut self, bytes: &str) -> Result<bool, Failure> {
        self.now = self.now + READ;
        self.note(&format!("from engine: {bytes:?}"));
        let mut out = Vec::new();
        let fed = self.way.feed(bytes.as_bytes(), &mut out);
        let progress = fed.map_err(|_| Failure::Malformed)?;
        self.session.receive(self.now, progress.taken > 0);
        self.caller(&out);
        if progress.fallen > 0 {
            self.note(&format!("fell: {}", progress.fallen));
        }
        if progress.ended {
            let chunks = self.way.release(1 << 20);
            chunks.iter().for_each(|chunk| self.caller(chunk));
            self.note("to caller: data: [DONE]");
        }
        Ok(progress.ended)
    }

    fn caller(&mut self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        for event in text.split_terminator("\n\n") {
            self.note(&format!("to caller: {}", event.replace('\n', " | ")));
        }
    }

    fn note(&mut self, what: &str) {
        let millis = self.now.as_micros() / 1_000;
        let _ = writeln!(self.log, "{millis:>5} ms  {what}");
    }
}

const ONE: &str = "id: 0\ndata: {\"text\":\"001 \"}\n\n";
const TWO: &str = "id: 1\ndata: {\"text\":\"Novák\"}\n\n";
const THREE: &str = "id: 2\ndata: {\"text\":\"\\n\"}\n\n";
const END: &str = "event: end\ndata: {\"reason\":\"stop\",\"tokens\":3}\n\n";

#[test]
fn a_live_answer_without_faults() {
    let acts = [Act::Send(ONE), Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(LIVE).run(&[&acts]));
}

/// A coordinator watches a roster while the link to its engine is cut in the middle of an event.
/// The new link sends the last token again, one of another stream and one too early: the caller
/// must receive each token once and in order.
#[test]
fn a_cut_link_whose_successor_doubles_and_crosses() {
    let first = [Act::Send(ONE), Act::Send("id: 1\ndata: {\"te")];
    let crossed = "id: 00000000000000000000000000000009:1\ndata: {\"text\":\"Hansen\"}\n\n";
    let second = [
        Act::Send(ONE),
        Act::Send(crossed),
        Act::Send(THREE),
        Act::Send(TWO),
        Act::Send(THREE),
        Act::Send(END),
    ];
    insta::assert_snapshot!(Play::open(LIVE).run(&[&first, &second]));
}

/// A link goes silent for good while new ones work. The entry must not wait for it: it opens
/// another after the silence deadline and goes on with the same generation.
#[test]
fn a_silent_link_is_replaced() {
    let first = [Act::Send(ONE), Act::Hush];
    let second = [Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(LIVE).run(&[&first, &second]));
}

/// Overnight an engine is reclaimed in the middle of a page and forgets the generation. The member
/// must receive one whole page, none of it from the lost generation.
#[test]
fn a_whole_answer_begins_anew_when_its_engine_is_lost() {
    let first = [Act::Send(ONE), Act::Send(TWO), Act::Break(Failure::Cut)];
    let gone = [Act::Break(Failure::Lost)];
    let second = [Act::Send(ONE), Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(WHOLE).run(&[&first, &gone, &second]));
}

/// The same under `live`, for a caller that knows no restart: tokens of a second generation may
/// not follow, so the answer ends with a typed error.
#[test]
fn a_live_answer_that_was_shown_ends_typed_when_its_engine_is_lost() {
    let first = [Act::Send(ONE), Act::Send(TWO), Act::Break(Failure::Lost)];
    insta::assert_snapshot!(Play::open(LIVE).run(&[&first]));
}

/// The same for a caller that said that it understands a restart.
#[test]
fn a_live_answer_restarts_where_its_caller_allows_it() {
    let first = [Act::Send(ONE), Act::Break(Failure::Lost)];
    let second = [Act::Send(ONE), Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(RESTARTS).run(&[&first, &second]));
}

/// An end mark arrives that counts more tokens than came. Taking it would hand over a page with
/// its last line missing and nobody would notice.
#[test]
fn an_end_that_counts_other_tokens_ends_nothing() {
    let first = [Act::Send(ONE), Act::Send(TWO), Act::Send(END)];
    let second = [Act::Send(ONE), Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(WHOLE).run(&[&first, &second]));
}

/// An engine declines the generation: the attempt goes elsewhere and the caller notices nothing.
#[test]
fn an_engine_that_declines_is_left_for_another() {
    let refused = [Act::Break(Failure::Declined)];
    let second = [Act::Send(ONE), Act::Send(TWO), Act::Send(THREE), Act::Send(END)];
    insta::assert_snapshot!(Play::open(LIVE).run(&[&refused, &second]));
}
