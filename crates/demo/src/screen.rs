//! What a caller of the demo has been shown.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use fireflyhoist_tool::ask::caller::Screen;

/// The answer, and what happened on the way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcript {
    text: String,
    notes: Vec<String>,
    entry: Option<SocketAddr>,
}

impl Transcript {
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    pub(crate) fn notes(&self) -> &[String] {
        &self.notes
    }

    /// The entry that the caller last turned to.
    pub(crate) fn entry(&self) -> Option<SocketAddr> {
        self.entry
    }

    /// The first lines.
    pub(crate) fn head(&self, lines: usize) -> String {
        self.text.lines().take(lines).map(|line| format!("{line}\n")).collect()
    }
}

/// A transcript that can be read while its caller still writes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared(Rc<RefCell<Transcript>>);

impl Shared {
    pub(crate) fn transcript(&self) -> Transcript {
        self.0.borrow().clone()
    }
}

impl Screen for Shared {
    fn text(&mut self, text: &str) -> io::Result<()> {
        self.0.borrow_mut().text.push_str(text);
        Ok(())
    }

    fn note(&mut self, note: &str) {
        self.0.borrow_mut().notes.push(note.to_owned());
    }

    fn turn(&mut self, entry: SocketAddr) {
        self.0.borrow_mut().entry = Some(entry);
    }
}
