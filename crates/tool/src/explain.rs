//! The story of one request, from the logs of the entries.
//!
//! An entry writes one line for each decision that touches a request. This collects the lines of one
//! request from several files, puts them in order, adds what the entry learned meanwhile of the
//! targets that the request used, and names the cause of how it ended. Clocks of hosts differ by
//! seconds and may jump, so lines of one file stay in their order and files are merged by time only.
//! `docs/OPERATIONS.md` has three walks.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde::Serialize;
use smol_str::SmolStr;

use crate::flags::Format;
use crate::table::table;
use crate::{Error, Outcome};

/// One line of a log, taken apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When, as the entry's clock said.
    #[serde(rename = "at")]
    timestamp: SmolStr,
    /// What happened.
    event: SmolStr,
    /// The inputs and the outcome, as written.
    details: Vec<(SmolStr, String)>,
}

impl Line {
    /// Takes a line apart; `None` where it is none of an entry's.
    pub fn parse(text: &str) -> Option<Self> {
        let pairs = pairs(text);
        let find = |name: &str| pairs.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone());
        let (timestamp, event) = (find("timestamp")?.into(), find("message")?.into());
        let frame = ["timestamp", "message", "level", "module", "position"];
        let details = pairs.into_iter().filter(|(key, _)| !frame.contains(&key.as_str()));
        Some(Self { timestamp, event, details: details.collect() })
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.details.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    fn is_of(&self, request: &str) -> bool {
        self.get("request") == Some(request)
    }

    /// Whether it says what the entry learned of one of these targets, or of what it depends on.
    fn concerns(&self, targets: &BTreeSet<String>) -> bool {
        let named = |name| self.get(name).is_some_and(|t: &str| targets.contains(t));
        let change = self.get("change").and_then(|change| change.split(' ').next());
        let dependency = ["registry lost; serving what is known", "registry answers", "leaving"];
        change.is_some_and(|target| targets.contains(target))
            || (self.event == "target says that it leaves" && named("target"))
            || dependency.contains(&self.event.as_str())
    }
}

/// The pairs of a logfmt line, wherever it begins: benches put a clock before it.
fn pairs(text: &str) -> Vec<(SmolStr, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some(equals) = rest.find('=') {
        let key = rest[..equals].rsplit(' ').next().unwrap_or_default();
        let value = &rest[equals + 1..];
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = value.find(' ').unwrap_or(value.len());
                (value[..end].to_owned(), &value[end..])
            }
        };
        pairs.push((key.into(), value));
        rest = after;
    }
    pairs
}

/// Reads up to the closing quote; returns what stood within, and what follows.
fn unquote(quoted: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

/// One step of a story, with the log that it stands in.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    log: SmolStr,
    #[serde(flatten)]
    line: Line,
}

/// What became of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Story {
    request: SmolStr,
    steps: Vec<Step>,
    /// Why it ended as it did.
    cause: String,
}

impl Story {
    /// Tells the story of `request` from logs, each with the name that it is shown by.
    pub fn tell(request: &str, logs: &[(SmolStr, String)]) -> Option<Self> {
        let parsed: Vec<(&SmolStr, Vec<Line>)> = logs
            .iter()
            .map(|(log, text)| (log, text.lines().filter_map(Line::parse).collect()))
            .collect();
        let all = parsed.iter().flat_map(|(_, lines)| lines);
        let prints: BTreeSet<String> = all
            .filter(|line| line.is_of(request))
            .filter_map(|line| line.get("print").map(str::to_owned))
            .collect();
        let mut steps = Vec::new();
        for (log, lines) in &parsed {
            let found = of_log(request, &prints, lines);
            steps.extend(found.into_iter().map(|line| Step { log: (*log).clone(), line }));
        }
        // Stable: what one entry wrote stays in its order even where its clock went back.
        steps.sort_by(|a, b| match a.log == b.log {
            true => std::cmp::Ordering::Equal,
            false => a.line.timestamp.cmp(&b.line.timestamp),
        });
        let own: Vec<&Line> =
            steps.iter().map(|s| &s.line).filter(|line| line.is_of(request)).collect();
        let cause = cause(&own)?;
        Some(Self { request: request.into(), steps, cause })
    }

    /// Why it ended as it did.
    pub fn cause(&self) -> &str {
        &self.cause
    }

    fn print(&self) -> String {
        let details = |line: &Line| {
            let shown = line.details.iter().filter(|(key, _)| key != "request");
            let words: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
            words.join(" ")
        };
        let row = |step: &Step| {
            let Step { log, line } = step;
            vec![line.timestamp.to_string(), log.to_string(), line.event.to_string(), details(line)]
        };
        let rows = self.steps.iter().map(row).collect();
        format!("{}\ncause: {}\n", table(&["time", "log", "event", "what"], rows), self.cause)
    }
}

/// The lines of one log that belong to a request, what was learned between them, and how the same
/// request broke off before under other names.
fn of_log(request: &str, prints: &BTreeSet<String>, lines: &[Line]) -> Vec<Line> {
    let own = |line: &Line| line.is_of(request);
    let targets: BTreeSet<String> = lines
        .iter()
        .filter(|line| own(line))
        .flat_map(|line| [line.get("target"), line.get("from")])
        .flatten()
        .map(str::to_owned)
        .collect();
    let first = lines.iter().position(own).unwrap_or(lines.len());
    let last = lines.iter().rposition(own).map_or(first, |last| last + 1);
    let between = first..last;
    let told = |(at, line): &(usize, &Line)| {
        let again = line.event == "run broke off"
            && line.get("print").is_some_and(|print| prints.contains(print));
        own(line) || again || (between.contains(at) && line.concerns(&targets))
    };
    lines.iter().enumerate().filter(told).map(|(_, line)| line.clone()).collect()
}

/// Names the cause by the last lines; `None` where there is no line at all.
fn cause(own: &[&Line]) -> Option<String> {
    own.last()?;
    let last = |event: &str| own.iter().rfind(|line| line.event == event);
    let text = |line: &Line, name: &str| line.get(name).unwrap_or("?").to_owned();
    if let Some(ended) = last("stream ended") {
        let events = text(ended, "events");
        let carried = last("carried on").map_or_else(
            || "nothing was tried to carry it on".to_owned(),
            |line| {
                format!(
                    "the last try to carry it on ({}) ended {}",
                    text(line, "way"),
                    text(line, "outcome")
                )
            },
        );
        return Some(match ended.get("end") {
            Some("Whole") => format!("answered whole, {events} events{}", slow_start(own)),
            Some("Left") => format!("the caller left after {events} events"),
            Some("Late") => format!("its time was up after {events} events; {carried}"),
            _ => {
                format!("cut after {events} events at target {}; {carried}", text(ended, "target"))
            }
        });
    }
    if let Some(refused) = last("refused") {
        let reason = text(refused, "reason");
        let why = match last("held back") {
            Some(held) if reason == "ends-targets" => {
                format!("{} targets ended while they ran the same request", text(held, "ends"))
            }
            _ => refusal(&reason).to_owned(),
        };
        let attempt = last("attempt").map_or_else(
            || "it was sent to no target".to_owned(),
            |line| {
                format!(
                    "its last attempt, at {}, ended {}",
                    text(line, "target"),
                    text(line, "outcome")
                )
            },
        );
        let left_out = last("no target takes it").map(|line| left_out(line)).unwrap_or_default();
        return Some(format!("answered {}: {why}{left_out}; {attempt}", text(refused, "status")));
    }
    if let Some(answered) = last("answered") {
        return Some(format!("answered {} as its target did", text(answered, "status")));
    }
    Some("not ended in these logs: the entry stopped, or its log is missing".to_owned())
}

/// Which targets were no candidates, by reason; nothing where none was left out.
fn left_out(line: &Line) -> String {
    let reasons = line.get("excluded").unwrap_or_default().split_whitespace();
    let reasons: Vec<String> = reasons
        .filter_map(|reason| reason.split_once(':'))
        .map(|(why, count)| format!("{count} {why}"))
        .collect();
    match reasons.is_empty() {
        true => String::new(),
        false => format!(" (targets left out: {})", reasons.join(", ")),
    }
}

/// Where an answer that began late had waited; nothing where it began on time, or nothing is known.
fn slow_start(own: &[&Line]) -> String {
    let number = |line: &Line, name: &str| line.get(name)?.parse::<u64>().ok();
    let told = || {
        // Later attempts carry on what has begun.
        let first = own.iter().position(|line| line.event == "attempt")?;
        let placed = own[..first].iter().rfind(|line| line.event == "placed")?;
        let (entry, inside) = (number(placed, "waited_ms")?, number(own[first], "ms")?);
        let objective = number(placed, "objective_ms")?;
        let text = |name| placed.get(name).unwrap_or("?");
        let place = if inside > entry { "inside the target" } else { "at the entry, for room" };
        (entry + inside > objective).then(|| {
            format!(
                "; it began late, after {} ms where {objective} are asked, most of it {place}: \
                 {entry} ms at the entry and {inside} ms at {}, which was believed {} full with {} \
                 answers and {} prompt tokens to read, as of {} ms before",
                entry + inside,
                text("target"),
                text("load"),
                text("streams"),
                text("unread"),
                text("view_ms"),
            )
        })
    };
    told().unwrap_or_default()
}

/// What a reason of a refusal means.
fn refusal(reason: &str) -> &str {
    match reason {
        "not-ready" => "the entry had just started and knew no text",
        "leaving" => "the entry was leaving and the answer would not have ended in time",
        "bad-host" => "its head names no host, or several",
        "no-route" => "no route has its host and path",
        "unknown-key" => "no workspace holds its key",
        "too-large" => "its body passes the limit or broke off",
        "body-late" => "its body did not arrive in time",
        "no-target" => "no target of the service was known to be up",
        "declined" => "every target that was asked said that it did not run it",
        "answer-lost" => "a target may have run it, and its answer is lost",
        "late" => "its time was up while a target may have been running it",
        "queue-full" => "too many requests waited at the entry",
        "deadline" => "it could not have begun within its time",
        "past-objective" => "it could no longer begin on time, and no room was left over",
        "ends-targets" => "targets ended while they ran the same request",
        "targets-cordoned" => "every target stood in a failure domain that is cordoned",
        "targets-limited" => "every target took only so much, and no more for then",
        "isolated" => "the entry reached no target, neither directly nor through another entry",
        "targets-crowded" => "every target was fragile and might have had no room",
        "targets-resting" => "every target had asked for rest",
        "workspace-limit" => "its workspace had used its share",
        "retry-budget" => "another attempt would have passed the bound on repeats",
        other => other,
    }
}

/// Prints the story of a request.
pub(crate) fn run(request: &str, files: &[PathBuf], format: Format) -> Result<Outcome, Error> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|reason| Error::Read {
            path: path.display().to_string(),
            reason: reason.to_string(),
        })?;
        Ok((name(path), text))
    };
    let logs = files.iter().map(read).collect::<Result<Vec<_>, Error>>()?;
    let Some(story) = Story::tell(request, &logs) else {
        println!("no line of request {request} in these logs");
        return Ok(Outcome::Finding);
    };
    match format {
        Format::Table => print!("{}", story.print()),
        Format::Json => {
            let text = serde_json::to_string_pretty(&story).expect("text and lists are JSON");
            println!("{text}");
        }
    }
    Ok(Outcome::Clean)
}

fn name(path: &Path) -> SmolStr {
    path.file_stem().map_or_else(|| "log".into(), |stem| stem.to_string_lossy().into())
}
