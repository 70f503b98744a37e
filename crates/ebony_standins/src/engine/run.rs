//! Simulates the run of a call: prefill, decode and the use of the prefix cache.

use std::rc::Rc;
use std::time::Duration;

use actix_web::web;
use ebony_types::{CallId, CallUsage, ProgramId};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

use super::answer::AnswerEncoder;
use super::echo::{ChatMessage, ChatRequest, EchoAnswer, PromptSegment};
use super::record::CallRecord;
use super::seen::SeenRun;
use super::state::EngineState;
use crate::server::crash::crash;

/// Number of words after which a call that is not delayed yields to other tasks.
const WORDS_PER_YIELD: u32 = 64;

/// An admitted call.
pub(crate) struct EngineJob {
    pub(crate) call: CallId,
    pub(crate) program: Option<ProgramId>,
    pub(crate) priority: u32,
    /// The digest of model and body.
    pub(crate) request_digest: String,
    pub(crate) request: ChatRequest,
}

/// Starts a call in a new task and returns the record of its answer.
pub(crate) fn start(state: &web::Data<EngineState>, job: EngineJob) -> Rc<CallRecord> {
    let record = CallRecord::open(job.request.stream);
    let call = job.call;
    state.calls.borrow_mut().insert(call, Rc::clone(&record));
    let task = tokio::task::spawn_local(run(state.clone(), job, Rc::clone(&record)));
    state.calls.borrow_mut().set_task(call, task.abort_handle());
    record
}

async fn run(state: web::Data<EngineState>, job: EngineJob, record: Rc<CallRecord>) {
    let slot = state.slots.acquire(job.priority).await;
    let prompt: Vec<PromptSegment> = job.request.messages.iter().map(ChatMessage::segment).collect();
    let guard = CacheGuard::begin(&state, job.program, &prompt);
    let usage = usage(&job, &prompt, guard.cached_tokens);
    note_run(&state, &job, usage);
    if contains_crash_marker(&state, &job) {
        let down = state.settings.read(|settings| settings.crash_down_ms);
        let gate = state.faults.clone();
        // In a separate task, because the crash aborts this one.
        tokio::task::spawn_local(crash(state.clone(), gate, Duration::from_millis(down)));
        return;
    }
    sleep(prefill_time(&state, usage)).await;
    let answer = EchoAnswer::for_request(&job.request, job.program, job.call);
    let encoder = AnswerEncoder::open(&job.request.model, answer);
    decode(&state, &record, &encoder, usage).await;
    let message = ChatMessage::text("assistant", &encoder.answer().text());
    guard.end(message.segment());
    drop(slot);
    state.log.borrow_mut().counts.ended += 1;
    record.end();
    state.calls.borrow_mut().note_end(job.call, record);
    state.publish();
}

fn usage(job: &EngineJob, prompt: &[PromptSegment], cached_tokens: u64) -> CallUsage {
    let prompt_tokens: u64 = prompt.iter().map(|segment| segment.tokens).sum();
    CallUsage {
        prompt_tokens: prompt_tokens as u32,
        cached_tokens: cached_tokens as u32,
        output_tokens: job.request.answer_words(),
    }
}

fn note_run(state: &EngineState, job: &EngineJob, usage: CallUsage) {
    state.log.borrow_mut().note_run(SeenRun {
        call: job.call,
        program: job.program,
        priority: job.priority,
        request: job.request_digest.clone(),
        messages: job.request.messages_digest(),
        prompt_tokens: u64::from(usage.prompt_tokens),
        cached_tokens: u64::from(usage.cached_tokens),
    });
    state.publish();
}

fn contains_crash_marker(state: &EngineState, job: &EngineJob) -> bool {
    state.settings.read(|settings| {
        let messages = &job.request.messages;
        messages
            .iter()
            .any(|message| message.contains(&settings.crash_marker))
    })
}

fn prefill_time(state: &EngineState, usage: CallUsage) -> Duration {
    let rate = state.settings.read(|settings| settings.prefill_tokens_per_second);
    let tokens = u64::from(usage.prompt_tokens - usage.cached_tokens);
    let micros = (tokens * 1_000_000).checked_div(rate);
    Duration::from_micros(micros.unwrap_or(0))
}

async fn decode(state: &EngineState, record: &CallRecord, encoder: &AnswerEncoder, usage: CallUsage) {
    let mut due = Instant::now();
    if record.is_streamed {
        record.push(encoder.first_event().as_bytes());
    }
    for position in 0..usage.output_tokens {
        due += token_time(state);
        if due > Instant::now() {
            sleep_until(due).await;
        } else if position % WORDS_PER_YIELD == 0 {
            yield_now().await;
        }
        if state.settings.read(|settings| settings.is_hung) {
            state.settings.wait_for(|settings| !settings.is_hung).await;
            due = Instant::now();
        }
        if record.is_streamed {
            record.push(encoder.word_event(position).as_bytes());
        }
    }
    if record.is_streamed {
        record.push(encoder.last_events(usage).as_bytes());
    } else {
        record.push(encoder.plain_body(usage).as_bytes());
    }
}

fn token_time(state: &EngineState) -> Duration {
    let running = u64::from(state.slots.running());
    let micros = state
        .settings
        .read(|settings| settings.decode_us_per_token + settings.decode_us_per_running * running);
    Duration::from_micros(micros)
}

/// Prevents the eviction of a program's prefix while a call uses it.
struct CacheGuard<'a> {
    state: &'a EngineState,
    program: Option<ProgramId>,
    cached_tokens: u64,
    // A crash clears the cache; guards created before it must not change the entries added after it.
    generation: u64,
}

impl<'a> CacheGuard<'a> {
    /// Begins the use of the cache. A call without a program does not use it.
    fn begin(state: &'a EngineState, program: Option<ProgramId>, prompt: &[PromptSegment]) -> Self {
        let capacity = state.settings.read(|settings| settings.cache_tokens);
        let mut cache = state.cache.borrow_mut();
        let cached_tokens = program.map_or(0, |program| cache.begin(program, prompt, capacity));
        Self {
            state,
            program,
            cached_tokens,
            generation: cache.generation(),
        }
    }

    fn end(mut self, answer: PromptSegment) {
        self.finish(Some(answer));
    }

    fn finish(&mut self, answer: Option<PromptSegment>) {
        let Some(program) = self.program.take() else {
            return;
        };
        let capacity = self.state.settings.read(|settings| settings.cache_tokens);
        let mut cache = self.state.cache.borrow_mut();
        if cache.generation() == self.generation {
            cache.end(program, answer, capacity);
        }
    }
}

impl Drop for CacheGuard<'_> {
    fn drop(&mut self) {
        self.finish(None);
    }
}
