//! The engine memory that copies of answers take up.

use std::sync::Arc;

use fireflyhoist_policy::id;

use crate::process::state::Process;

/// The memory that a copy of an answer takes up at an engine, counted there until this is dropped.
///
/// The entry that makes a copy announces its memory like that of its own in-flight answers.
/// Otherwise only the engine knows of memory that is on its way to it, or that stays there until
/// the answer resumes from it: entries see free memory and send prompts, which then wait inside the
/// engine for memory to be freed, with everything queued behind them. In a large fleet, 175 of the
/// 273 prompts that had not begun one second after they were sent were at an engine that held
/// memory for copies, 3,000 tokens at the median and 13,000 at most.
#[derive(Debug)]
pub(crate) struct CopyUsage {
    process: Arc<Process>,
    target: id::Target,
    tokens: u64,
}

impl CopyUsage {
    /// Counts a copy of `tokens` at once, and triggers a heartbeat that announces it to the other
    /// entries.
    pub(crate) fn open(process: &Arc<Process>, target: &id::Target, tokens: u64) -> Self {
        process.replace_copy_tokens(target, 0, tokens);
        process.report_usage([target]);
        process.request_heartbeat();
        Self { process: Arc::clone(process), target: target.clone(), tokens }
    }

    pub(crate) fn target(&self) -> &id::Target {
        &self.target
    }

    /// Sets the number of tokens that the copy holds now.
    pub(crate) fn resize(&mut self, tokens: u64) {
        self.process.replace_copy_tokens(&self.target, self.tokens, tokens);
        self.tokens = tokens;
    }
}

impl Drop for CopyUsage {
    fn drop(&mut self) {
        self.process.replace_copy_tokens(&self.target, self.tokens, 0);
    }
}
