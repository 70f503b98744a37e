//! Finishes and cancels the programs of callers.

use std::time::{Duration, Instant};

use ebony_types::ProgramId;

use crate::caller::{CallReply, CallerClient, Result};
use crate::workload::{MIN_RETRY_DELAY, PlanEnding, ProgramRunner, TurnLog, digest_of, user_message};

/// The delay between a call and the cancellation, so that the call is in progress when its program is cancelled.
const CANCEL_DELAY: Duration = Duration::from_millis(30);

impl ProgramRunner {
    /// Finishes or cancels the program as planned, its sub-agents first.
    pub(crate) async fn end_program(&mut self) {
        let Some(program) = self.log.program else {
            return;
        };
        if self.log.plan.ending == PlanEnding::Open {
            return;
        }
        let mut is_ended = true;
        for child in self.log.children.clone() {
            is_ended &= self.stop_program(child, false).await;
        }
        let is_cancelled = self.log.plan.ending == PlanEnding::Cancel;
        if is_cancelled && self.log.is_complete {
            self.cancel_during_call(program).await;
        }
        is_ended &= self.stop_program(program, is_cancelled).await;
        self.log.is_ended = is_ended;
    }

    /// Cancels the program while one of its calls is in progress.
    async fn cancel_during_call(&mut self, program: ProgramId) {
        let turn = self.log.plan.turns;
        let prompt = format!("{}/{turn}/0", self.log.plan.label);
        let body = self.body(vec![user_message(&prompt)], true);
        let Some(client) = self.client() else {
            return;
        };
        let began = Instant::now();
        let cancel = async {
            tokio::time::sleep(CANCEL_DELAY).await;
            // If this attempt fails, `stop_program` sends the cancellation again.
            let _ = client.cancel_program(program).await;
        };
        let ((outcome, _, _), ()) = tokio::join!(self.send_chat(program, &body), cancel);
        let told = Instant::now();
        self.log.turns.push(TurnLog {
            prompt,
            digest: digest_of(&body),
            news: outcome,
            began,
            told,
        });
    }

    /// Cancels or finishes a program, and retries until an entry confirms that it has ended. Returns `false` if none
    /// does so within [`ProgramPlan::step_timeout`](crate::workload::ProgramPlan::step_timeout).
    async fn stop_program(&mut self, program: ProgramId, is_cancelled: bool) -> bool {
        let deadline = Instant::now() + self.log.plan.step_timeout;
        while Instant::now() < deadline {
            if let Some(client) = self.client()
                && let Ok(reply) = send_stop(&client, program, is_cancelled).await
                && is_end_confirmed(&reply)
            {
                return true;
            }
            tokio::time::sleep(MIN_RETRY_DELAY).await;
        }
        false
    }
}

async fn send_stop(client: &CallerClient, program: ProgramId, is_cancelled: bool) -> Result<CallReply> {
    if is_cancelled {
        client.cancel_program(program).await
    } else {
        client.finish_program(program).await
    }
}

/// Returns `true` if the reply says that the program has ended, now or before.
fn is_end_confirmed(reply: &CallReply) -> bool {
    let code = reply.code();
    let was_ended = matches!(code.as_deref(), Some("program_ended" | "budget_exhausted"));
    reply.status == 200 || was_ended
}
