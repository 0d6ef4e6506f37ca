//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Self {
        let file =
            File::create(Path::new(folder).join("record.txt")).expect("the record is written");
        Self { file: Arc::new(Mutex::new(file)), began_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes the outcome, `Ok(true)` if the rule was broken, and returns the exit code.
    pub fn end(&self, outcome: Result<bool, String>) -> i32 {
        let (text, code) = match outcome {
            Ok(true) => ("the rule was broken".to_owned(), 1),
            Ok(false) => ("the rule held".to_owned(), 0),
            Err(error) => (format!("could not run: {error}"), 2),
        };
        self.line(&text);
        println!("{text}");
        code
    }
}
