//! How callers end their programs.

use std::time::{Duration, Instant};

use ebony_types::ProgramId;

use crate::caller::{CallReply, CallerClient, Result};
use crate::workload::{MIN_PAUSE, PlanEnding, ProgramRunner, TurnLog, digest_of, user_message};

/// How long after a call a cancellation is sent, so that it meets the call under way.
const CANCEL_DELAY: Duration = Duration::from_millis(30);

impl ProgramRunner {
    /// Ends the program as planned, its sub-agents first.
    pub(crate) async fn end(&mut self) {
        let Some(program) = self.log.program else {
            return;
        };
        if self.log.plan.ending == PlanEnding::Open {
            return;
        }
        let mut is_ended = true;
        for child in self.log.children.clone() {
            is_ended &= self.stop(child, false).await;
        }
        let is_cancelled = self.log.plan.ending == PlanEnding::Cancel;
        if is_cancelled && self.log.is_complete {
            self.cancel_call(program).await;
        }
        is_ended &= self.stop(program, is_cancelled).await;
        self.log.is_ended = is_ended;
    }

    /// Cancels the program while one of its calls is under way.
    async fn cancel_call(&mut self, program: ProgramId) {
        let turn = self.log.plan.turns;
        let prompt = format!("{}/{turn}/0", self.log.plan.label);
        let body = self.body(vec![user_message(&prompt)], true);
        let Some(client) = self.client() else {
            return;
        };
        let began = Instant::now();
        let cancel = async {
            tokio::time::sleep(CANCEL_DELAY).await;
            // The cancellation is repeated until an answer arrives.
            let _ = client.cancel_program(program).await;
        };
        let ((news, _, _), ()) = tokio::join!(self.send_chat(program, &body), cancel);
        let told = Instant::now();
        self.log.turns.push(TurnLog {
            prompt,
            digest: digest_of(&body),
            news,
            began,
            told,
        });
    }

    /// Cancels or finishes a program, and returns `true` if an entry says that it has ended.
    async fn stop(&mut self, program: ProgramId, is_cancelled: bool) -> bool {
        let give_up = Instant::now() + self.log.plan.patience;
        while Instant::now() < give_up {
            if let Some(client) = self.client()
                && let Ok(reply) = send_stop(&client, program, is_cancelled).await
                && says_ended(&reply)
            {
                return true;
            }
            tokio::time::sleep(MIN_PAUSE).await;
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

fn says_ended(reply: &CallReply) -> bool {
    let code = reply.code();
    let is_over = matches!(code.as_deref(), Some("program_ended" | "budget_exhausted"));
    reply.status == 200 || is_over
}
