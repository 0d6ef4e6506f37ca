//! `ask`: sends a prompt and prints the answer, whatever becomes of the entry hosts meanwhile.

pub mod caller;
pub mod session;

use std::io::{self, Read, Write, stdin, stdout};
use std::path::Path;
use std::time::Duration;

use fireflyhoist_wire::caller::Completion;

use crate::Outcome;
use crate::check;
use crate::error::Error;
use crate::flags;
use caller::{Caller, Question, Screen};

/// Where the key is looked for when no file is named.
const KEY_VARIABLE: &str = "FIREFLYHOIST_KEY";

/// Standard output for the answer, standard error for the rest.
#[derive(Debug)]
struct Terminal;

impl Screen for Terminal {
    fn text(&mut self, text: &str) -> io::Result<()> {
        let mut out = stdout();
        out.write_all(text.as_bytes())?;
        out.flush()
    }

    fn note(&mut self, note: &str) {
        eprintln!("fireflyhoist: {note}");
    }
}

pub(crate) async fn run(fleet: &flags::Fleet, asked: flags::Question) -> Result<Outcome, Error> {
    let prompt = match asked.prompt {
        Some(prompt) => prompt,
        None => {
            let mut prompt = String::new();
            stdin().read_to_string(&mut prompt)?;
            prompt
        }
    };
    let completion = Completion {
        model: asked.service.as_str().into(),
        prompt,
        max_tokens: asked.max_tokens,
        stream: true,
    };
    let question = Question {
        completion,
        workspace: asked.workspace,
        key: key(asked.key_file.as_deref())?,
        whole: asked.whole,
        patience: Duration::from_secs(asked.patience),
    };
    let mut terminal =
        Caller::open(fleet.entries.clone(), question, Terminal).await?.answer().await?;
    terminal.text("\n")?;
    Ok(Outcome::Clean)
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
