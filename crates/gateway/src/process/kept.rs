//! Memory that copies of answers take at engines.

use std::sync::Arc;

use fireflyhoist_policy::id;

use crate::process::state::Process;

/// Memory of an engine that a copy takes, counted there for as long as this lives.
///
/// **Failure:** the memory of an answer is on its way to an engine, or lies there until the answer
/// goes on from it, and only the engine knows. Every entry sees room there and sends prompts, which
/// then wait inside the engine for memory to be freed, with everything behind them. On the larger
/// new deployment 175 of the 273 prompts that had not begun a second after they were sent stood at
/// an engine that kept memory for copies, 3,000 tokens at the median, 13,000 at most.
/// **Guard:** the entry that has a copy made tells what it takes, like what its own answers hold.
#[derive(Debug)]
pub(crate) struct Kept {
    process: Arc<Process>,
    target: id::Target,
    tokens: u64,
}

impl Kept {
    /// Counts a copy at once and tells the other entries of it soon.
    pub(crate) fn open(process: &Arc<Process>, target: &id::Target, tokens: u64) -> Self {
        process.replace_copy_tokens(target, 0, tokens);
        process.report_usage();
        process.request_heartbeat();
        Self { process: Arc::clone(process), target: target.clone(), tokens }
    }

    pub(crate) fn target(&self) -> &id::Target {
        &self.target
    }

    /// Counts what the copy holds now.
    pub(crate) fn grow(&mut self, tokens: u64) {
        self.process.replace_copy_tokens(&self.target, self.tokens, tokens);
        self.tokens = tokens;
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.process.replace_copy_tokens(&self.target, self.tokens, 0);
    }
}
