//! A load tool: concurrent callers of the OpenAI-compatible API.

mod caller;
mod report;

pub use report::{FailureKind, LoadReport};

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::ensure;
use ebony_platform::{HttpService, RequestLimits};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::server::Result;
use caller::CallerTask;

/// The most concurrent callers.
pub const MAX_CALLERS: u32 = 4_096;

/// How programs are named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramMode {
    /// Calls name no program.
    #[default]
    None,
    /// Each program is created by `POST /v1/programs`, whose answer has the member `id`, and its calls name it in
    /// the header `Ebony-Program`.
    Created,
    /// Programs have random identifiers, which an engine takes without more.
    Random,
}

/// What a [`LoadDriver`] sends.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// The base URL of the API.
    pub base_url: String,
    /// The bearer key of the callers.
    pub bearer_key: Option<String>,
    /// The model of all calls.
    pub model: String,
    /// Callers at once; each waits for its answer before it sends its next call.
    pub callers: u32,
    /// Calls of all callers together.
    pub calls: u64,
    /// Calls of one program. Each sends the whole conversation so far.
    pub turns: u32,
    /// How programs are named.
    pub programs: ProgramMode,
    /// Words that each turn adds to the conversation.
    pub prompt_words: u32,
    /// Words of each answer.
    pub answer_words: u32,
    /// Whether answers are streamed.
    pub is_streamed: bool,
    /// Milliseconds between the calls of a program.
    pub pause_ms: u64,
    /// Milliseconds that a call may take.
    pub call_timeout_ms: u64,
    /// Milliseconds after which no further call begins.
    pub time_limit_ms: u64,
    /// Makes the prompts differ.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:8080".to_owned(),
            bearer_key: None,
            model: "kalo-70b".to_owned(),
            callers: 8,
            calls: 100,
            turns: 4,
            programs: ProgramMode::None,
            prompt_words: 32,
            answer_words: 16,
            is_streamed: true,
            pause_ms: 0,
            call_timeout_ms: 30_000,
            time_limit_ms: 60_000,
            seed: 1,
        }
    }
}

/// The calls that may still begin.
#[derive(Clone)]
pub(crate) struct CallAllowance {
    remaining: Rc<Cell<u64>>,
    ends_at: Instant,
}

impl CallAllowance {
    /// Takes one call.
    pub(crate) fn take(&self) -> bool {
        let remaining = self.remaining.get();
        if remaining == 0 || Instant::now() >= self.ends_at {
            return false;
        }
        self.remaining.set(remaining - 1);
        true
    }
}

/// Drives load against an entry process or directly against an engine.
pub struct LoadDriver {
    plan: LoadPlan,
    service: Rc<HttpService>,
}

impl LoadDriver {
    /// Checks a plan.
    ///
    /// ```
    /// use ebony_standins::load::{LoadDriver, LoadPlan};
    ///
    /// let plan = LoadPlan { callers: 0, ..LoadPlan::default() };
    /// assert!(LoadDriver::open(plan).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the base URL is malformed, or the number of callers is 0 or above [`MAX_CALLERS`].
    pub fn open(plan: LoadPlan) -> Result<Self> {
        ensure!(
            (1..=MAX_CALLERS).contains(&plan.callers),
            "callers are 1 to {MAX_CALLERS}"
        );
        let limits = RequestLimits {
            max_connections: plan.callers as usize,
            ..RequestLimits::for_targets()
        };
        let limits = limits.with_answer_timeout(Duration::from_millis(plan.call_timeout_ms));
        let service = HttpService::open(&plan.base_url, limits)?;
        Ok(Self {
            plan,
            service: Rc::new(service),
        })
    }

    /// Sends the calls of the plan in the running actix system, and reports when the last has ended.
    ///
    /// # Errors
    ///
    /// Fails if a caller panics.
    pub async fn run(self) -> Result<LoadReport> {
        let started_at = Instant::now();
        let allowance = CallAllowance {
            remaining: Rc::new(Cell::new(self.plan.calls)),
            ends_at: started_at + Duration::from_millis(self.plan.time_limit_ms),
        };
        let mut tasks = JoinSet::new();
        for number in 0..self.plan.callers {
            let task = CallerTask::open(
                self.plan.clone(),
                number,
                Rc::clone(&self.service),
                allowance.clone(),
            )?;
            tasks.spawn_local(task.run());
        }
        let mut report = LoadReport::open()?;
        while let Some(part) = tasks.join_next().await {
            report.add(part?);
        }
        report.elapsed = started_at.elapsed();
        Ok(report)
    }
}
