//! Programs that callers run against a fleet, and logs of the results that the callers received.

use std::time::{Duration, Instant};

use ebony_standins::engine::{ChatRequest, EchoAnswer};
use ebony_types::ProgramId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::caller::{CallReply, CallerClient};
use crate::directory::EntryDirectory;

/// The maximum delay before a retry, even if the refusal asks for more. Keeps runs short.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The delay before a retry if the connection failed, and the minimum after a refusal.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The planned ending of a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanEnding {
    /// Its caller leaves it open.
    #[default]
    Open,
    /// Its caller finishes it after its last step.
    Finish,
    /// Its caller cancels it after its last step, during one more model call.
    Cancel,
    /// Its budget is too small for its steps and becomes exhausted.
    Exhaust,
}

/// The steps of one program and the limits of its caller.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// The name of the program; prompts and idempotency keys begin with it.
    pub label: String,
    /// The caller's bearer key.
    pub caller_key: String,
    /// The number of model calls.
    pub turns: u32,
    /// The number of turns after which a non-idempotent service call follows; 0 for no such calls.
    pub order_every: u32,
    /// Whether a sub-agent makes a call after the first turn.
    pub has_child: bool,
    /// The maximum number of tokens of each answer.
    pub max_tokens: u32,
    /// The delay between two turns, which represents the run of a tool.
    pub pause: Duration,
    /// The time after which the caller gives up a step that has not succeeded.
    pub step_timeout: Duration,
    /// The budget of calls that the caller requests, including retries.
    pub budget_calls: u32,
    /// The ending.
    pub ending: PlanEnding,
}

impl ProgramPlan {
    /// Returns a plan with a service call after every second turn and with a sub-agent.
    pub fn mixed(label: impl Into<String>, turns: u32) -> Self {
        Self {
            label: label.into(),
            caller_key: crate::document::CALLER_KEY.to_owned(),
            turns,
            order_every: 2,
            has_child: true,
            max_tokens: 30,
            pause: Duration::ZERO,
            step_timeout: Duration::from_secs(60),
            budget_calls: 1_000,
            ending: PlanEnding::Open,
        }
    }
}

/// The result of one attempt, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete answer.
    Whole,
    /// An error response with its code and run verdict.
    Problem {
        /// HTTP status.
        status: u16,
        /// The code.
        code: String,
        /// The verdict.
        run: String,
    },
    /// An answer that was cut off, so that it is unknown whether the call ran.
    Broken,
    /// An answer that does not match the request, or is incomplete although it ended regularly.
    Wrong(String),
    /// The connection was refused, so nothing was sent.
    NotSent,
}

impl CallerOutcome {
    /// Returns `true` if the caller can rely on the request not having run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Problem { run, .. } => run == "not_run",
            Self::NotSent => true,
            _ => false,
        }
    }

    /// Returns `true` if the caller was told that the program's budget is exhausted.
    pub fn is_budget_exhausted(&self) -> bool {
        matches!(self, Self::Problem { code, .. } if code == "budget_exhausted")
    }
}

/// One attempt of a model call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct TurnLog {
    /// The prompt, unique for each attempt.
    pub prompt: String,
    /// The digest of the messages, by which engines count runs.
    pub digest: String,
    /// The result.
    pub news: CallerOutcome,
    /// The time at which the request was sent.
    pub began: Instant,
    /// The time at which the result was known.
    pub told: Instant,
}

/// One non-idempotent call with its attempts, as its caller saw it.
#[derive(Clone, Debug)]
pub struct OrderLog {
    /// The idempotency key.
    pub key: String,
    /// The result of each attempt.
    pub attempts: Vec<CallerOutcome>,
    /// For each attempt, the time at which it was sent and the time at which its result was known.
    pub times: Vec<(Instant, Instant)>,
}

/// The log of one program, as its caller saw it.
#[derive(Clone, Debug)]
pub struct ProgramLog {
    /// The plan.
    pub plan: ProgramPlan,
    /// The identifier, if the program was opened.
    pub program: Option<ProgramId>,
    /// The model calls.
    pub turns: Vec<TurnLog>,
    /// The non-idempotent calls.
    pub orders: Vec<OrderLog>,
    /// The sub-agents.
    pub children: Vec<ProgramId>,
    /// Whether the caller was told that the budget is exhausted.
    pub is_exhausted: bool,
    /// Whether the caller was told that the program and its sub-agents have ended.
    pub is_ended: bool,
    /// Whether every step succeeded, if need be after retries.
    pub is_complete: bool,
    /// The time from the opening of the program to the end of its last step.
    pub latency: Duration,
}

/// Runs one program as its caller would: sends each request to a random entry and retries failed ones.
pub struct ProgramRunner {
    directory: EntryDirectory,
    rng: StdRng,
    pub(crate) log: ProgramLog,
    messages: Vec<Value>,
}

impl ProgramRunner {
    /// Creates a runner. `seed` determines the choice of entries.
    pub fn new(plan: ProgramPlan, directory: EntryDirectory, seed: u64) -> Self {
        let log = ProgramLog {
            plan,
            program: None,
            turns: Vec::new(),
            orders: Vec::new(),
            children: Vec::new(),
            is_exhausted: false,
            is_ended: false,
            is_complete: false,
            latency: Duration::ZERO,
        };
        Self {
            directory,
            rng: StdRng::seed_from_u64(seed),
            log,
            messages: Vec::new(),
        }
    }

    /// Runs the program to its end and returns its log. Must run in an actix system.
    pub async fn run(mut self) -> ProgramLog {
        let started = Instant::now();
        self.log.is_complete = self.run_steps().await.is_some();
        self.log.latency = started.elapsed();
        self.end_program().await;
        self.log
    }

    async fn run_steps(&mut self) -> Option<()> {
        let budget = json!({"calls": self.log.plan.budget_calls, "tokens": 10_000_000});
        let program = self.open_program(None, budget).await?;
        self.log.program = Some(program);
        for turn in 0..self.log.plan.turns {
            self.run_turn(program, turn).await?;
            if turn == 0 && self.log.plan.has_child {
                self.run_child(program).await?;
            }
            let every = self.log.plan.order_every;
            if every > 0 && (turn + 1) % every == 0 {
                self.run_order(program, turn).await?;
            }
            if !self.log.plan.pause.is_zero() {
                tokio::time::sleep(self.log.plan.pause).await;
            }
        }
        Some(())
    }

    pub(crate) fn client(&mut self) -> Option<CallerClient> {
        let address = self.directory.pick(self.rng.random())?;
        Some(CallerClient::open(address, &self.log.plan.caller_key))
    }

    async fn open_program(&mut self, parent: Option<ProgramId>, budget: Value) -> Option<ProgramId> {
        let deadline = Instant::now() + self.log.plan.step_timeout;
        while Instant::now() < deadline {
            if let Some(client) = self.client()
                && let Ok(program) = client.open_program(parent, budget.clone()).await
            {
                return Some(program);
            }
            tokio::time::sleep(MIN_RETRY_DELAY).await;
        }
        None
    }

    async fn run_child(&mut self, parent: ProgramId) -> Option<()> {
        let child = self.open_program(Some(parent), json!({})).await?;
        self.log.children.push(child);
        let deadline = Instant::now() + self.log.plan.step_timeout;
        while Instant::now() < deadline {
            let body = self.body(
                vec![user_message(&format!("{}/child", self.log.plan.label))],
                false,
            );
            let began = Instant::now();
            let outcome = self.send_chat(child, &body).await.0;
            if outcome == CallerOutcome::Whole {
                return Some(());
            }
            if matches!(outcome, CallerOutcome::Wrong(_)) {
                self.log.turns.push(TurnLog {
                    prompt: "child".to_owned(),
                    digest: digest_of(&body),
                    news: outcome,
                    began,
                    told: Instant::now(),
                });
                return None;
            }
            tokio::time::sleep(MIN_RETRY_DELAY).await;
        }
        None
    }

    pub(crate) fn body(&self, messages: Vec<Value>, is_streamed: bool) -> Value {
        json!({
            "model": "kalo",
            "messages": messages,
            "max_tokens": self.log.plan.max_tokens,
            "stream": is_streamed,
        })
    }

    async fn run_turn(&mut self, program: ProgramId, turn: u32) -> Option<()> {
        let deadline = Instant::now() + self.log.plan.step_timeout;
        let mut attempt = 0;
        while Instant::now() < deadline {
            let prompt = format!("{}/{turn}/{attempt}", self.log.plan.label);
            attempt += 1;
            let mut messages = self.messages.clone();
            messages.push(user_message(&prompt));
            let body = self.body(messages.clone(), turn.is_multiple_of(2));
            let began = Instant::now();
            let (outcome, delay, text) = self.send_chat(program, &body).await;
            let told = Instant::now();
            let is_exhausted = outcome.is_budget_exhausted();
            let is_whole = outcome == CallerOutcome::Whole;
            let is_wrong = matches!(outcome, CallerOutcome::Wrong(_));
            self.log.turns.push(TurnLog {
                prompt,
                digest: digest_of(&body),
                news: outcome,
                began,
                told,
            });
            if is_whole {
                messages.push(json!({"role": "assistant", "content": text}));
                self.messages = messages;
                return Some(());
            }
            self.log.is_exhausted |= is_exhausted;
            if is_wrong || is_exhausted {
                return None;
            }
            tokio::time::sleep(delay).await;
        }
        None
    }

    pub(crate) async fn send_chat(
        &mut self,
        program: ProgramId,
        body: &Value,
    ) -> (CallerOutcome, Duration, String) {
        let Some(client) = self.client() else {
            return (CallerOutcome::NotSent, MIN_RETRY_DELAY, String::new());
        };
        match client.chat(Some(program), body).await {
            Ok(reply) => {
                let text = reply.answer_text();
                (classify_chat(&reply, &text, body), retry_delay(&reply), text)
            }
            Err(error) => (classify_error(&error), MIN_RETRY_DELAY, String::new()),
        }
    }

    async fn run_order(&mut self, program: ProgramId, turn: u32) -> Option<()> {
        let key = format!("{}-order-{turn}", self.log.plan.label.replace('/', "-"));
        let body = json!({"order": key}).to_string();
        let deadline = Instant::now() + self.log.plan.step_timeout;
        let mut order = OrderLog {
            key: key.clone(),
            attempts: Vec::new(),
            times: Vec::new(),
        };
        let mut is_settled = false;
        while Instant::now() < deadline && !is_settled && !self.log.is_exhausted {
            let began = Instant::now();
            let (outcome, delay) = self.send_order(program, &key, &body).await;
            // After "may have run", the caller repeats the call with the same key, which must not run it a second time,
            // and finally leaves the case to a person.
            let is_uncertain = matches!(&outcome, CallerOutcome::Problem { run, .. } if run != "not_run");
            let uncertain_attempts = order.attempts.iter().filter(|outcome| !outcome.is_not_run());
            let is_retried = uncertain_attempts.count() > 3;
            is_settled = outcome == CallerOutcome::Whole || (is_uncertain && is_retried);
            self.log.is_exhausted |= outcome.is_budget_exhausted();
            order.attempts.push(outcome);
            order.times.push((began, Instant::now()));
            if !is_settled {
                tokio::time::sleep(delay).await;
            }
        }
        self.log.orders.push(order);
        is_settled.then_some(())
    }

    async fn send_order(&mut self, program: ProgramId, key: &str, body: &str) -> (CallerOutcome, Duration) {
        let Some(client) = self.client() else {
            return (CallerOutcome::NotSent, MIN_RETRY_DELAY);
        };
        match client
            .service("POST", "orders/commit", Some(program), Some(key), body)
            .await
        {
            Ok(reply) if reply.status == 200 && reply.is_complete => {
                let is_right = reply.json()["path"] == "/commit";
                let outcome = if is_right {
                    CallerOutcome::Whole
                } else {
                    CallerOutcome::Wrong("another answer".to_owned())
                };
                (outcome, MIN_RETRY_DELAY)
            }
            Ok(reply) => (classify_problem(&reply), retry_delay(&reply)),
            Err(error) => (classify_error(&error), MIN_RETRY_DELAY),
        }
    }
}

/// Returns the digest of a request's messages as engines count it; empty if the body is malformed.
pub(crate) fn digest_of(body: &Value) -> String {
    let request = ChatRequest::parse(body.to_string().as_bytes());
    request.map_or_else(|_| String::new(), |request| request.messages_digest())
}

pub(crate) fn user_message(text: &str) -> Value {
    json!({"role": "user", "content": text})
}

/// Returns the delay before a retry that the reply asks for, within the limits of this module.
fn retry_delay(reply: &CallReply) -> Duration {
    let seconds = reply.json()["retry_after"].as_u64().unwrap_or(0);
    Duration::from_secs(seconds).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

fn classify_chat(reply: &CallReply, text: &str, body: &Value) -> CallerOutcome {
    if reply.status != 200 {
        return classify_problem(reply);
    }
    let is_streamed = body["stream"] == true;
    let is_complete = if is_streamed {
        reply.is_done()
    } else {
        reply.is_complete
    };
    if !is_complete {
        return CallerOutcome::Broken;
    }
    let checked =
        ChatRequest::parse(body.to_string().as_bytes()).and_then(|request| EchoAnswer::check(text, &request));
    match checked {
        Ok(_) => CallerOutcome::Whole,
        Err(error) => CallerOutcome::Wrong(error.to_string()),
    }
}

fn classify_problem(reply: &CallReply) -> CallerOutcome {
    match (reply.code(), reply.verdict()) {
        (Some(code), Some(run)) => CallerOutcome::Problem {
            status: reply.status,
            code,
            run,
        },
        _ => CallerOutcome::Broken,
    }
}

fn classify_error(error: &anyhow::Error) -> CallerOutcome {
    let text = error.to_string();
    if text.contains("refused") {
        CallerOutcome::NotSent
    } else {
        CallerOutcome::Broken
    }
}
