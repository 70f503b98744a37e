//! Main loop of a replay.

use std::sync::Arc;
use std::time::Duration;

use anyhow::ensure;
use bytes::Bytes;
use ebony_standins::engine::{ChatMessage, ChatRequest};
use ebony_trace::plan::prompt::{shared_text, turn_text};
use ebony_trace::{
    CallOutcome, DueStep, ModelStep, ProgramEnd, ReplayPlan, ReplayReport, ReplaySummary, StepEnd, StepKey,
    ToolMethod, ToolStep, TraceDocument,
};
use ebony_types::{CallerName, ClockTime};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

use crate::calls::{CallContext, EndedCall, ModelCall, ToolCall};
use crate::check::ServiceRequest;
use crate::client::CallClient;
use crate::hooks::ReplayHooks;
use crate::options::ReplayOptions;
use crate::program_table::{ClosedProgram, ProgramTable};
use crate::progress::ReplayProgress;
use crate::run_sequencer::RunSequencer;

/// Interval of progress reports and of polling targets for their runs. An engine stand-in keeps its last 1,000 runs, and
/// has far fewer within this interval.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a replay.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Result of a replay.
#[derive(Clone, Debug)]
pub struct ReplayRun {
    /// The figures.
    pub report: ReplayReport,
    /// How long the replay took.
    pub elapsed: Duration,
    /// Whether the replay was stopped at its time limit.
    pub is_timed_out: bool,
}

/// Replays a trace. Must be called in an actix system.
///
/// # Errors
///
/// Fails if there is no entry, a hook fails, or a task of the driver panics. Faults of the system under test are not
/// errors but part of the report.
pub async fn replay(
    document: Arc<TraceDocument>,
    options: ReplayOptions,
    hooks: &mut dyn ReplayHooks,
) -> Result<ReplayRun> {
    ensure!(!options.entries.is_empty(), "a replay needs at least one entry");
    let mut driver = ReplayDriver::open(document, options)?;
    let is_timed_out = driver.run(hooks).await?;
    driver.tasks.abort_all();
    driver.take_runs(hooks).await?;
    for key in driver.sequencer.finish() {
        driver.summary.record_run(key)?;
    }
    if let Some(cache) = hooks.read_cache().await? {
        driver.summary.record_cache(cache);
    }
    Ok(ReplayRun {
        report: driver.summary.report(),
        elapsed: driver.start.elapsed(),
        is_timed_out,
    })
}

struct ReplayDriver {
    options: ReplayOptions,
    plan: ReplayPlan,
    summary: ReplaySummary,
    table: ProgramTable,
    sequencer: RunSequencer,
    client: CallClient,
    /// Tasks of calls, limited by `max_calls`, and of requests that close programs, at most one per program.
    tasks: JoinSet<Option<EndedCall>>,
    start: Instant,
    next_tick: Instant,
    progress: ReplayProgress,
}

impl ReplayDriver {
    fn open(document: Arc<TraceDocument>, options: ReplayOptions) -> Result<Self> {
        let start = Instant::now();
        Ok(Self {
            plan: ReplayPlan::open(document.clone(), ClockTime::default()),
            summary: ReplaySummary::open(&options.run, document.clone())?,
            table: ProgramTable::open(&document),
            sequencer: RunSequencer::default(),
            client: CallClient::open(options.max_calls),
            tasks: JoinSet::new(),
            start,
            next_tick: start + TICK_INTERVAL,
            progress: ReplayProgress {
                programs: document.programs().len(),
                ..ReplayProgress::default()
            },
            options,
        })
    }

    fn now(&self) -> ClockTime {
        ClockTime::default() + self.start.elapsed()
    }

    /// Runs until the replay is complete. Returns `true` if it was stopped at the time limit.
    async fn run(&mut self, hooks: &mut dyn ReplayHooks) -> Result<bool> {
        let deadline = self.start + self.options.time_limit;
        loop {
            self.send_due(hooks).await?;
            if self.plan.is_finished() && self.tasks.is_empty() {
                return Ok(false);
            }
            let wake = self.next_wake().min(deadline);
            tokio::select! {
                Some(ended) = self.tasks.join_next() => self.handle_end(ended)?,
                () = sleep_until(wake) => {}
            }
            if Instant::now() >= self.next_tick {
                self.next_tick = Instant::now() + TICK_INTERVAL;
                self.show_progress();
                self.take_runs(hooks).await?;
            }
            if Instant::now() >= deadline {
                return Ok(true);
            }
        }
    }

    fn has_free_slot(&self) -> bool {
        self.plan.in_flight_calls() < self.options.max_calls
    }

    fn next_wake(&self) -> Instant {
        let due = self.plan.next_due().filter(|_| self.has_free_slot());
        let due = due.map(|due| self.start + due.since(ClockTime::default()));
        due.unwrap_or(self.next_tick).min(self.next_tick)
    }

    async fn send_due(&mut self, hooks: &mut dyn ReplayHooks) -> Result<()> {
        while self.has_free_slot() {
            match self.plan.take_due(self.now()) {
                Some(DueStep::Model(step)) => self.send_model(step),
                Some(DueStep::Tool(step)) => self.send_tool(&step),
                Some(DueStep::Marker(action)) => {
                    if let Some(entries) = hooks.on_marker(&action).await? {
                        ensure!(
                            !entries.is_empty(),
                            "the fault hook returned an empty list of entries"
                        );
                        self.options.entries = entries;
                    }
                }
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn context(
        &self,
        key: StepKey,
        earlier_attempts: u8,
        caller: &CallerName,
        timeout: Duration,
    ) -> CallContext {
        let entries = &self.options.entries;
        CallContext {
            client: self.client.clone(),
            check: self.options.check,
            entry: entries[(key.program as usize + usize::from(earlier_attempts)) % entries.len()].clone(),
            bearer_key: self.options.keys.key_of(caller).to_owned(),
            timeout,
        }
    }

    fn send_model(&mut self, step: ModelStep) {
        self.table.record_start(step.key.program);
        let parent = step.parent.and_then(|parent| self.table.entry(parent).id);
        let entry = self.table.entry(step.key.program);
        if step.earlier_attempts == 0 {
            add_prompt(&mut entry.messages, &step);
        }
        let request = ChatRequest {
            model: step.model.to_string(),
            messages: entry.messages.clone(),
            max_tokens: Some(step.output_tokens),
            stream: true,
        };
        let call = ModelCall {
            key: step.key,
            program: entry.id,
            parent,
            request,
        };
        self.table.record_digest(call.request.messages_digest(), step.key);
        let timeout = self.options.call_timeout;
        let context = self.context(step.key, step.earlier_attempts, &step.caller, timeout);
        self.tasks
            .spawn_local(async move { Some(context.run_model(call).await) });
        self.progress.sent += 1;
    }

    fn send_tool(&mut self, step: &ToolStep) {
        let name = format!("{}/{}", self.options.nonce, step.key);
        let body = match step.method {
            ToolMethod::Get => Bytes::new(),
            _ => Bytes::from(format!("{{\"step\":\"{}\"}}", step.key)),
        };
        let call = ToolCall {
            key: step.key,
            program: self.table.entry(step.key.program).id,
            service: step.service.to_string(),
            idempotency_key: step.runs_once.then(|| name.replace('/', "-")),
            request: ServiceRequest {
                method: step.method.as_str(),
                path: format!("/replay/{name}"),
                body,
            },
            run_time: step.run_time,
        };
        let context = self.context(step.key, step.earlier_attempts, &step.caller, step.timeout);
        self.tasks
            .spawn_local(async move { Some(context.run_tool(call).await) });
        self.progress.sent += 1;
    }

    fn handle_end(&mut self, ended: Result<Option<EndedCall>, JoinError>) -> Result<()> {
        let Some(call) = ended? else {
            return Ok(());
        };
        let entry = self.table.entry(call.key.program);
        entry.id = entry.id.or(call.opened);
        if let Some(text) = &call.text {
            entry.messages.push(ChatMessage::text("assistant", text));
        }
        let completion = self.plan.complete(call.key, call.end, self.now())?;
        self.progress.repeated += u64::from(completion.will_retry);
        self.summary.record_call(&CallOutcome {
            key: call.key,
            end: call.end,
            will_retry: completion.will_retry,
            first_token: call.first_token,
        })?;
        if call.end == StepEnd::Answered {
            self.sequencer.record_answer(call.key);
            for gap in &call.gaps {
                self.summary.record_tokens(gap.interval, gap.tokens);
            }
        }
        if let Some(outcome) = completion.outcome {
            self.summary.record_program(&outcome)?;
            self.progress.ended += 1;
            let is_finished = outcome.end == ProgramEnd::Finished;
            for closed in self.table.record_end(outcome.program, is_finished) {
                self.close(closed);
            }
        }
        Ok(())
    }

    fn close(&mut self, closed: ClosedProgram) {
        let Some(id) = closed.id else {
            return;
        };
        let caller = &self.plan.document().programs()[closed.program as usize].caller;
        let key = StepKey {
            program: closed.program,
            turn: 0,
            kind: ebony_trace::StepKind::Model,
        };
        let context = self.context(key, 0, caller, self.options.call_timeout);
        self.tasks.spawn_local(async move {
            context.close_program(id, closed.is_finished).await;
            None
        });
    }

    async fn take_runs(&mut self, hooks: &mut dyn ReplayHooks) -> Result<()> {
        let Some(runs) = hooks.take_runs().await? else {
            return Ok(());
        };
        for key in self.sequencer.take(&self.table, runs) {
            self.summary.record_run(key)?;
        }
        Ok(())
    }

    fn show_progress(&mut self) {
        self.progress.in_flight = self.plan.in_flight_calls();
        if self.options.shows_progress {
            self.progress.print(&self.options.run, self.start.elapsed());
        }
    }
}

/// Appends the new messages of a turn to the conversation.
fn add_prompt(messages: &mut Vec<ChatMessage>, step: &ModelStep) {
    if step.shared_tokens > 0 {
        let shared = shared_text(&step.caller, &step.model, step.shared_tokens);
        messages.push(ChatMessage::text("system", &shared));
    }
    messages.push(ChatMessage::text("user", &turn_text(step.key, step.new_tokens)));
}
