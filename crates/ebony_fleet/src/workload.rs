//! Programs that callers run against a fleet, and what the callers were told.

use std::time::{Duration, Instant};

use ebony_standins::engine::{ChatRequest, EchoAnswer};
use ebony_types::ProgramId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::caller::{CallReply, CallerClient};
use crate::directory::EntryDirectory;

/// The pause of a caller that was refused, if it was told a longer one. Keeps runs short.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// The pause of a caller that could not connect, or was told none.
pub(crate) const MIN_PAUSE: Duration = Duration::from_millis(25);

/// How a program ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanEnding {
    /// Its caller leaves it open.
    #[default]
    Open,
    /// Its caller finishes it after its last step.
    Finish,
    /// Its caller cancels it after its last step, with a further model call under way.
    Cancel,
    /// Its budget does not suffice for its steps.
    Exhaust,
}

/// What one caller's program does.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Names the program; prompts and keys begin with it.
    pub label: String,
    /// The caller's bearer key.
    pub caller_key: String,
    /// Model calls of the program.
    pub turns: u32,
    /// A non-idempotent service call follows each so many turns; 0 for none.
    pub order_every: u32,
    /// Whether a sub-agent makes a call after the first turn.
    pub has_child: bool,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// The pause between two turns, as for a tool.
    pub pause: Duration,
    /// The longest time that the caller tries one step.
    pub patience: Duration,
    /// The limit on calls that the caller asks for, its retries included.
    pub budget_calls: u32,
    /// How the program ends.
    pub ending: PlanEnding,
}

impl ProgramPlan {
    /// Returns a plan of a few turns with orders and a sub-agent.
    pub fn mixed(label: impl Into<String>, turns: u32) -> Self {
        Self {
            label: label.into(),
            caller_key: crate::document::CALLER_KEY.to_owned(),
            turns,
            order_every: 2,
            has_child: true,
            max_tokens: 30,
            pause: Duration::ZERO,
            patience: Duration::from_secs(60),
            budget_calls: 1_000,
            ending: PlanEnding::Open,
        }
    }
}

/// What a caller was told about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerNews {
    /// The whole answer.
    Whole,
    /// A problem with its code and run verdict.
    Problem {
        /// HTTP status.
        status: u16,
        /// The code.
        code: String,
        /// The verdict.
        run: String,
    },
    /// An answer that broke off, which says nothing about a run.
    Broken,
    /// An answer that does not belong to the request, or is not whole although it ended as if it were.
    Wrong(String),
    /// The connection was refused, so that nothing was sent.
    NotSent,
}

impl CallerNews {
    /// Returns `true` if the caller was promised that the request did not run.
    pub fn says_not_run(&self) -> bool {
        match self {
            Self::Problem { run, .. } => run == "not_run",
            Self::NotSent => true,
            _ => false,
        }
    }

    /// Returns `true` if the caller was told that the program's budget is exhausted.
    pub fn says_exhausted(&self) -> bool {
        matches!(self, Self::Problem { code, .. } if code == "budget_exhausted")
    }
}

/// One model call as its caller saw it.
#[derive(Clone, Debug)]
pub struct TurnLog {
    /// The prompt, unique for each attempt.
    pub prompt: String,
    /// The digest of the messages, by which engines count their runs.
    pub digest: String,
    /// What the caller was told.
    pub news: CallerNews,
    /// When it was sent.
    pub began: Instant,
    /// When the caller was told.
    pub told: Instant,
}

/// One non-idempotent call as its caller saw it.
#[derive(Clone, Debug)]
pub struct OrderLog {
    /// The idempotency key.
    pub key: String,
    /// What the caller was told, attempt by attempt.
    pub attempts: Vec<CallerNews>,
    /// When each attempt was sent, and when its caller was told.
    pub times: Vec<(Instant, Instant)>,
}

/// A program as its caller saw it.
#[derive(Clone, Debug)]
pub struct ProgramLog {
    /// The plan.
    pub plan: ProgramPlan,
    /// The program, if it was opened.
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
    /// Whether every step succeeded in the end.
    pub is_complete: bool,
    /// Time from the first call to the last.
    pub latency: Duration,
}

/// Runs one program as its caller would: through any entry, trying again what did not run.
pub struct ProgramRunner {
    directory: EntryDirectory,
    source: StdRng,
    pub(crate) log: ProgramLog,
    messages: Vec<Value>,
}

impl ProgramRunner {
    /// Creates a runner. The seed chooses entries.
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
            source: StdRng::seed_from_u64(seed),
            log,
            messages: Vec::new(),
        }
    }

    /// Runs the program to its end and returns what its caller saw. Must be called in an actix system.
    pub async fn run(mut self) -> ProgramLog {
        let started = Instant::now();
        self.log.is_complete = self.run_steps().await.is_some();
        self.log.latency = started.elapsed();
        self.end().await;
        self.log
    }

    async fn run_steps(&mut self) -> Option<()> {
        let budget = json!({"calls": self.log.plan.budget_calls, "tokens": 10_000_000});
        let program = self.open(None, budget).await?;
        self.log.program = Some(program);
        for turn in 0..self.log.plan.turns {
            self.turn(program, turn).await?;
            if turn == 0 && self.log.plan.has_child {
                self.child(program).await?;
            }
            let every = self.log.plan.order_every;
            if every > 0 && (turn + 1) % every == 0 {
                self.order(program, turn).await?;
            }
            if !self.log.plan.pause.is_zero() {
                tokio::time::sleep(self.log.plan.pause).await;
            }
        }
        Some(())
    }

    pub(crate) fn client(&mut self) -> Option<CallerClient> {
        let address = self.directory.pick(self.source.random())?;
        Some(CallerClient::open(address, &self.log.plan.caller_key))
    }

    async fn open(&mut self, parent: Option<ProgramId>, budget: Value) -> Option<ProgramId> {
        let give_up = Instant::now() + self.log.plan.patience;
        while Instant::now() < give_up {
            if let Some(client) = self.client()
                && let Ok(program) = client.open_program(parent, budget.clone()).await
            {
                return Some(program);
            }
            tokio::time::sleep(MIN_PAUSE).await;
        }
        None
    }

    async fn child(&mut self, parent: ProgramId) -> Option<()> {
        let child = self.open(Some(parent), json!({})).await?;
        self.log.children.push(child);
        let give_up = Instant::now() + self.log.plan.patience;
        while Instant::now() < give_up {
            let body = self.body(
                vec![user_message(&format!("{}/child", self.log.plan.label))],
                false,
            );
            let began = Instant::now();
            let news = self.send_chat(child, &body).await.0;
            if news == CallerNews::Whole {
                return Some(());
            }
            if matches!(news, CallerNews::Wrong(_)) {
                self.log.turns.push(TurnLog {
                    prompt: "child".to_owned(),
                    digest: digest_of(&body),
                    news,
                    began,
                    told: Instant::now(),
                });
                return None;
            }
            tokio::time::sleep(MIN_PAUSE).await;
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

    async fn turn(&mut self, program: ProgramId, turn: u32) -> Option<()> {
        let give_up = Instant::now() + self.log.plan.patience;
        let mut attempt = 0;
        while Instant::now() < give_up {
            let prompt = format!("{}/{turn}/{attempt}", self.log.plan.label);
            attempt += 1;
            let mut messages = self.messages.clone();
            messages.push(user_message(&prompt));
            let body = self.body(messages.clone(), turn.is_multiple_of(2));
            let began = Instant::now();
            let (news, pause, text) = self.send_chat(program, &body).await;
            let told = Instant::now();
            let is_spent = news.says_exhausted();
            let is_whole = news == CallerNews::Whole;
            let is_wrong = matches!(news, CallerNews::Wrong(_));
            self.log.turns.push(TurnLog {
                prompt,
                digest: digest_of(&body),
                news,
                began,
                told,
            });
            if is_whole {
                messages.push(json!({"role": "assistant", "content": text}));
                self.messages = messages;
                return Some(());
            }
            self.log.is_exhausted |= is_spent;
            if is_wrong || is_spent {
                return None;
            }
            tokio::time::sleep(pause).await;
        }
        None
    }

    pub(crate) async fn send_chat(
        &mut self,
        program: ProgramId,
        body: &Value,
    ) -> (CallerNews, Duration, String) {
        let Some(client) = self.client() else {
            return (CallerNews::NotSent, MIN_PAUSE, String::new());
        };
        match client.chat(Some(program), body).await {
            Ok(reply) => {
                let text = reply.answer_text();
                (judge_chat(&reply, &text, body), pause_of(&reply), text)
            }
            Err(error) => (judge_error(&error), MIN_PAUSE, String::new()),
        }
    }

    async fn order(&mut self, program: ProgramId, turn: u32) -> Option<()> {
        let key = format!("{}-order-{turn}", self.log.plan.label.replace('/', "-"));
        let body = json!({"order": key}).to_string();
        let give_up = Instant::now() + self.log.plan.patience;
        let mut order = OrderLog {
            key: key.clone(),
            attempts: Vec::new(),
            times: Vec::new(),
        };
        let mut is_known = false;
        while Instant::now() < give_up && !is_known && !self.log.is_exhausted {
            let began = Instant::now();
            let (news, pause) = self.send_order(program, &key, &body).await;
            // After "may have run", the caller asks a person; asking the system again must not run it again.
            let is_uncertain = matches!(&news, CallerNews::Problem { run, .. } if run != "not_run");
            let is_spent = order.attempts.iter().filter(|told| !told.says_not_run()).count() > 3;
            is_known = news == CallerNews::Whole || (is_uncertain && is_spent);
            self.log.is_exhausted |= news.says_exhausted();
            order.attempts.push(news);
            order.times.push((began, Instant::now()));
            if !is_known {
                tokio::time::sleep(pause).await;
            }
        }
        self.log.orders.push(order);
        is_known.then_some(())
    }

    async fn send_order(&mut self, program: ProgramId, key: &str, body: &str) -> (CallerNews, Duration) {
        let Some(client) = self.client() else {
            return (CallerNews::NotSent, MIN_PAUSE);
        };
        match client
            .service("POST", "orders/commit", Some(program), Some(key), body)
            .await
        {
            Ok(reply) if reply.status == 200 && reply.is_whole => {
                let is_own = reply.json()["path"] == "/commit";
                let news = if is_own {
                    CallerNews::Whole
                } else {
                    CallerNews::Wrong("another answer".to_owned())
                };
                (news, MIN_PAUSE)
            }
            Ok(reply) => (judge_problem(&reply), pause_of(&reply)),
            Err(error) => (judge_error(&error), MIN_PAUSE),
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

fn pause_of(reply: &CallReply) -> Duration {
    let seconds = reply.json()["retry_after"].as_u64().unwrap_or(0);
    Duration::from_secs(seconds).clamp(MIN_PAUSE, MAX_PAUSE)
}

fn judge_chat(reply: &CallReply, text: &str, body: &Value) -> CallerNews {
    if reply.status != 200 {
        return judge_problem(reply);
    }
    let is_streamed = body["stream"] == true;
    let is_ended = if is_streamed {
        reply.is_done()
    } else {
        reply.is_whole
    };
    if !is_ended {
        return CallerNews::Broken;
    }
    let checked =
        ChatRequest::parse(body.to_string().as_bytes()).and_then(|request| EchoAnswer::check(text, &request));
    match checked {
        Ok(_) => CallerNews::Whole,
        Err(error) => CallerNews::Wrong(error.to_string()),
    }
}

fn judge_problem(reply: &CallReply) -> CallerNews {
    match (reply.code(), reply.verdict()) {
        (Some(code), Some(run)) => CallerNews::Problem {
            status: reply.status,
            code,
            run,
        },
        _ => CallerNews::Broken,
    }
}

fn judge_error(error: &anyhow::Error) -> CallerNews {
    let text = error.to_string();
    if text.contains("refused") {
        CallerNews::NotSent
    } else {
        CallerNews::Broken
    }
}
