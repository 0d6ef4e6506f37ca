//! What the process still holds when it leaves.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::connection::callers::{Action, Callers, Held};
use crate::process::state::Process;

/// How long a worker may take to answer, when it is busy.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// A question to a worker, whose connections only its own thread can look at.
#[derive(Debug)]
pub(crate) struct Question {
    action: Action,
    reply: oneshot::Sender<Held>,
}

impl Process {
    /// Answers what a worker holds, for as long as the process lives.
    pub(crate) fn reports_held(
        self: &Arc<Self>,
        callers: Rc<Callers>,
    ) -> impl Future<Output = ()> + use<> {
        let (sender, mut questions) = mpsc::unbounded_channel::<Question>();
        self.workers.lock().push(sender);
        async move {
            while let Some(Question { action, reply }) = questions.recv().await {
                // Nobody waits any more if this took too long.
                let _ = reply.send(callers.held(action));
            }
        }
    }

    /// Has every worker do `action`, and returns what they hold; `None` if one does not reply.
    pub(crate) async fn held(&self, action: Action) -> Option<Held> {
        let workers = self.workers.lock().clone();
        let mut held = Held::default();
        for worker in workers {
            let (reply, answer) = oneshot::channel();
            worker.send(Question { action, reply }).ok()?;
            held.add(timeout(REPLY_TIMEOUT, answer).await.ok()?.ok()?);
        }
        Some(held)
    }

    /// Does `action`, and returns whether nothing is left to send to callers or to other entries.
    pub(crate) async fn has_sent_all(&self, action: Action) -> bool {
        let held = self.held(action).await;
        // The workers are asked first: a request that they read later is still open here.
        held.is_some_and(|held| held.is_empty()) && self.open_requests() == 0
    }
}
