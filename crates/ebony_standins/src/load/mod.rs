//! Load generator: concurrent callers of the OpenAI-compatible API.

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

/// Maximum number of concurrent callers.
pub const MAX_CALLERS: u32 = 4_096;

/// How calls are assigned to programs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramMode {
    /// Calls have no program.
    #[default]
    None,
    /// Each program is created by `POST /v1/programs`. Its calls send the `id` from the reply in the header
    /// `Ebony-Program`.
    Created,
    /// Programs have random identifiers, which an engine accepts without creation.
    Random,
}

/// The load that a [`LoadDriver`] generates.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// The base URL of the API.
    pub base_url: String,
    /// The bearer key that all callers send.
    pub bearer_key: Option<String>,
    /// The model of all calls.
    pub model: String,
    /// Number of concurrent callers. Each waits for the answer before it sends its next call.
    pub callers: u32,
    /// Total number of calls of all callers.
    pub calls: u64,
    /// Number of calls per program. Each sends the complete conversation so far.
    pub turns: u32,
    /// How calls are assigned to programs.
    pub programs: ProgramMode,
    /// Number of words in the user message of each turn.
    pub prompt_words: u32,
    /// Number of words in each answer.
    pub answer_words: u32,
    /// Whether answers are streamed.
    pub is_streamed: bool,
    /// Delay in milliseconds between the calls of a program.
    pub pause_ms: u64,
    /// Time-out of a call in milliseconds.
    pub call_timeout_ms: u64,
    /// Milliseconds after which no further call begins.
    pub time_limit_ms: u64,
    /// Seed for the prompts and random program identifiers.
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

/// The remaining number of calls that may begin, shared by all callers.
#[derive(Clone)]
pub(crate) struct CallAllowance {
    remaining: Rc<Cell<u64>>,
    ends_at: Instant,
}

impl CallAllowance {
    /// Takes one call. Returns `false` if none remain or the time limit has passed.
    pub(crate) fn take(&self) -> bool {
        let remaining = self.remaining.get();
        if remaining == 0 || Instant::now() >= self.ends_at {
            return false;
        }
        self.remaining.set(remaining - 1);
        true
    }
}

/// Generates load on an entry process or directly on an engine.
pub struct LoadDriver {
    plan: LoadPlan,
    service: Rc<HttpService>,
}

impl LoadDriver {
    /// Validates a plan and creates a driver for it.
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

    /// Runs the plan in the running actix system and returns the report once the last call has ended.
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
