//! TOML with its lines: reading types out of it and saying where each fault stands.
//!
//! A derived deserializer stops at its first fault. Operators want all of them at once, so each
//! table is read again without the field at fault until nothing more is found.

use std::ops::Range;

use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Error, ValueDeserializer};

use crate::fault::{Fault, Faults, Problem};

/// The longest piece of source that a message quotes, in characters.
const QUOTE: usize = 60;

/// How many faults one table may show before the rest are left for the next try.
const MAX_REPAIRS: usize = 16;

/// One parsed file.
#[derive(Debug)]
pub struct Source<'a> {
    text: &'a str,
    breaks: Breaks,
    table: DeTable<'a>,
}

/// Where lines end, found once: a megabyte of faults, its lines counted anew for each, would hold
/// up the daemon that reads it for a minute.
#[derive(Debug)]
struct Breaks(Vec<usize>);

impl Breaks {
    fn of(text: &str) -> Self {
        let bytes = text.bytes().enumerate();
        Self(bytes.filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at).collect())
    }

    /// The line of an offset, counted from one.
    fn line(&self, at: usize) -> usize {
        1 + self.0.partition_point(|end| *end < at)
    }

    /// The line around an offset.
    fn around<'a>(&self, text: &'a str, at: usize) -> &'a str {
        let line = self.line(at) - 1;
        let start = line.checked_sub(1).map_or(0, |before| self.0[before] + 1);
        let end = self.0.get(line).copied().unwrap_or(text.len());
        &text[start..end]
    }
}

impl<'a> Source<'a> {
    /// Parses a file of at most `limit` bytes.
    pub fn parse(bytes: &'a [u8], limit: usize) -> Result<Self, Faults> {
        if bytes.len() > limit {
            return Err(Fault::new(1, Problem::Large { bytes: bytes.len(), limit }).into());
        }
        let text = std::str::from_utf8(bytes).map_err(|e| encoding(bytes, e.valid_up_to()))?;
        if text.trim().is_empty() {
            return Err(Fault::new(1, Problem::Empty).into());
        }
        let breaks = Breaks::of(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(Faults::new(errors.iter().map(|e| syntax(text, &breaks, e)).collect()));
        }
        Ok(Self { text, breaks, table: table.into_inner() })
    }

    /// Reads the whole file as one type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Faults> {
        let mut faults = Vec::new();
        let read = self.shape(self.table.clone(), 0..0, &mut faults);
        read.filter(|_| faults.is_empty()).ok_or_else(|| Faults::new(faults))
    }

    /// Reads the file without the named arrays of tables, which [`Source::items`] reads.
    pub(crate) fn root<T: DeserializeOwned>(
        &self,
        without: &[&str],
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        let mut table = self.table.clone();
        for name in without {
            if table.get(*name).is_some_and(|value| value.get_ref().is_array()) {
                table.remove(*name);
            }
        }
        self.shape(table, 0..0, faults)
    }

    /// Reads each item of an array of tables; `None` stands for one that is too faulty.
    pub(crate) fn items<T: DeserializeOwned>(
        &self,
        name: &str,
        faults: &mut Vec<Fault>,
    ) -> Vec<Option<T>> {
        let items = self.table.get(name).and_then(|value| value.get_ref().as_array());
        let mut read = Vec::new();
        for item in items.into_iter().flat_map(|array| array.iter()) {
            read.push(match item.get_ref() {
                DeValue::Table(table) => self.shape(table.clone(), item.span(), faults),
                _ => self.scalar(item, faults),
            });
        }
        read
    }

    fn scalar<T: DeserializeOwned>(
        &self,
        item: &Spanned<DeValue<'a>>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        match T::deserialize(ValueDeserializer::from(item.clone())) {
            Ok(read) => Some(read),
            Err(error) => {
                faults.push(self.fault(&error, item.span()));
                None
            }
        }
    }

    /// Reads one table, again without each field at fault, and notes every fault.
    fn shape<T: DeserializeOwned>(
        &self,
        mut table: DeTable<'a>,
        span: Range<usize>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        let mut removed: Vec<String> = Vec::new();
        for _ in 0..MAX_REPAIRS {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(read) => return Some(read),
                Err(error) => error,
            };
            let missing = error.message().strip_prefix("missing field ").unwrap_or_default();
            if removed.iter().any(|name| missing.trim_matches('`') == name) {
                // The field was there and is among the faults already.
                return None;
            }
            faults.push(self.fault(&error, span.clone()));
            let at = error.span().map_or(span.start, |found| found.start);
            removed.push(remove(&mut table, at)?);
        }
        None
    }

    fn fault(&self, error: &Error, around: Range<usize>) -> Fault {
        let span = error.span().unwrap_or(around);
        let whole_file = span.is_empty();
        let value =
            if whole_file { "the file".into() } else { quote(self.text, &self.breaks, &span) };
        Fault::new(self.breaks.line(span.start), shape_problem(error.message(), value))
    }

    /// The line of the value at `path`, such as `service.3.target.0.address`, or of the nearest
    /// thing around it.
    pub fn line(&self, path: &str) -> usize {
        let mut steps = path.split('.');
        let entry = steps.next().and_then(|key| self.table.get(key));
        let Some(mut at) = entry else { return 1 };
        for step in steps {
            let next = match at.get_ref() {
                DeValue::Table(table) => table.get(step),
                DeValue::Array(array) => step.parse().ok().and_then(|i: usize| array.get(i)),
                _ => None,
            };
            let Some(next) = next else { break };
            at = next;
        }
        self.breaks.line(at.span().start)
    }

    /// Whether the file itself writes a value at `path`, rather than leaving it to its default.
    pub(crate) fn writes(&self, item: &str, index: usize, field: &str) -> bool {
        let items = self.table.get(item).and_then(|value| value.get_ref().as_array());
        let table = items.and_then(|items| items.get(index)?.get_ref().as_table());
        table.is_some_and(|table| table.get(field).is_some())
    }

    /// The `name` of each item, also of those too faulty to be read.
    pub(crate) fn names(&self, item: &str) -> Vec<&str> {
        let items = self.table.get(item).and_then(|value| value.get_ref().as_array());
        items
            .into_iter()
            .flat_map(|items| items.iter())
            .filter_map(|item| item.get_ref().as_table()?.get("name")?.get_ref().as_str())
            .collect()
    }
}

fn encoding(bytes: &[u8], at: usize) -> Faults {
    let line = 1 + bytes[..at].iter().filter(|b| **b == b'\n').count();
    Fault::new(line, Problem::Encoding { byte: bytes[at] }).into()
}

/// The source at a fault, or its line where the fault is between characters; on one line, bounded.
fn quote(text: &str, breaks: &Breaks, span: &Range<usize>) -> SmolStr {
    let source = text.get(span.clone()).unwrap_or_default();
    let first = source.lines().next().unwrap_or_default();
    if first.is_empty() {
        let line = breaks.around(text, span.start);
        return line.trim().chars().take(QUOTE).collect();
    }
    first.chars().take(QUOTE).collect()
}

fn syntax(text: &str, breaks: &Breaks, error: &Error) -> Fault {
    let span = error.span().unwrap_or(text.len()..text.len());
    let value = quote(text, breaks, &span);
    let line = breaks.line(span.start);
    if error.message().contains("recurs") {
        return Fault::new(line, Problem::Deep { value });
    }
    Fault::new(line, Problem::Syntax { value, reason: single_line(error.message()) })
}

fn single_line(message: &str) -> SmolStr {
    message.split_whitespace().collect::<Vec<_>>().join(" ").into()
}

/// Sorts the deserializer's words into typed problems; its messages are part of serde's API.
fn shape_problem(message: &str, value: SmolStr) -> Problem {
    let backticked = |text: &str| SmolStr::new(text.split('`').nth(1).unwrap_or_default());
    if let Some(rest) = message.strip_prefix("unknown field ") {
        let permitted = rest.split_once(", expected ").map_or("no field", |(_, list)| list);
        return Problem::UnknownField { name: backticked(rest), permitted: permitted.into() };
    }
    if message.starts_with("missing field ") {
        return Problem::MissingField { name: backticked(message), place: value };
    }
    if message.contains("socket address") {
        return Problem::Address { value };
    }
    if message.starts_with("name ") {
        return Problem::Name { value, reason: message.into() };
    }
    if let Some(choices) = message.strip_prefix("unknown variant ") {
        let permitted = choices.split_once(", expected ").map_or("", |(_, list)| list);
        return Problem::Choice { value, permitted: permitted.into() };
    }
    let wanted = message.rsplit_once("expected ").map_or(message, |(_, wanted)| wanted);
    Problem::Value { value, wanted: plain_words(wanted).into() }
}

/// What serde's name of an expected type means to an operator.
fn plain_words(wanted: &str) -> String {
    match wanted {
        "u64" | "u32" | "u16" | "usize" => "a whole number of 0 or more, without quotes".into(),
        "f64" => "a number, without quotes".into(),
        "a boolean" => "true or false, without quotes".into(),
        "a sequence" => "a list, or tables under a [[...]] header".into(),
        "a string" => "a text in quotes".into(),
        other if other.starts_with("struct ") => "a table of fields".into(),
        other => single_line(other).into(),
    }
}

/// Removes the innermost field at an offset and returns its name.
fn remove(table: &mut DeTable<'_>, at: usize) -> Option<String> {
    let within = table.iter_mut().find_map(|(_, value)| remove_within(value.get_mut(), at));
    if within.is_some() {
        return within;
    }
    let holds = |span: Range<usize>| span.start <= at && at < span.end;
    let found = table.iter().find(|(key, value)| holds(key.span()) || holds(value.span()));
    let key = found.map(|(key, _)| key.clone())?;
    table.remove(&key);
    Some(key.get_ref().to_string())
}

fn remove_within(value: &mut DeValue<'_>, at: usize) -> Option<String> {
    match value {
        DeValue::Table(table) => remove(table, at),
        DeValue::Array(array) => {
            array.iter_mut().find_map(|item| remove_within(item.get_mut(), at))
        }
        _ => None,
    }
}
