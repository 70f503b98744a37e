//! A caller of a load run.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebony_platform::protocol::{JSON_MEDIA_TYPE, PROGRAM_HEADER, engine_route};
use ebony_platform::{HttpService, PlatformError, ServiceAnswer, ServiceCall, ServiceTarget};
use ebony_types::{HeaderField, ProgramId, RunVerdict, ShardKey};
use futures_util::StreamExt;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::report::{FailureKind, LoadReport, record};
use super::{CallAllowance, LoadPlan, ProgramMode};
use crate::engine::{ChatMessage, ChatRequest, EchoAnswer, STREAM_END, answer_text};

/// Route that creates a program.
const PROGRAMS_ROUTE: &str = "/v1/programs";

/// Number of shards over which random programs are distributed.
const RANDOM_SHARDS: u16 = 64;

/// Why a call has no valid answer.
enum CallFailure {
    /// The call failed with an error.
    Failed(FailureKind),
    /// The answer had no error, but is incomplete or belongs to another call.
    Wrong(String),
}

/// The result of a call.
type Result<T, E = CallFailure> = std::result::Result<T, E>;

impl From<PlatformError> for CallFailure {
    fn from(error: PlatformError) -> Self {
        failed("connection", error.verdict())
    }
}

/// The fields of a problem document that are counted.
#[derive(Deserialize)]
struct ProblemBody {
    code: String,
    run: RunVerdict,
}

/// The used field of the reply to the creation of a program.
#[derive(Deserialize)]
struct CreatedProgram {
    id: ProgramId,
}

/// A complete body, and the time from the start of the call to its first byte.
struct TimedBody {
    bytes: Bytes,
    first_byte: Duration,
}

/// One caller.
pub(crate) struct CallerTask {
    plan: LoadPlan,
    service: Rc<HttpService>,
    allowance: CallAllowance,
    rng: ChaCha8Rng,
    report: LoadReport,
}

impl CallerTask {
    pub(crate) fn open(
        plan: LoadPlan,
        number: u32,
        service: Rc<HttpService>,
        allowance: CallAllowance,
    ) -> crate::server::Result<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        rng.set_stream(u64::from(number));
        Ok(Self {
            plan,
            service,
            allowance,
            rng,
            report: LoadReport::open()?,
        })
    }

    /// Runs programs until no further call may begin.
    pub(crate) async fn run(mut self) -> LoadReport {
        while self.run_program().await {}
        self.report
    }

    /// Runs one program, up to its first failed call. Returns `false` if no further call may begin.
    async fn run_program(&mut self) -> bool {
        let started_at = Instant::now();
        let mut program = None;
        let mut messages = Vec::new();
        for turn in 0..self.plan.turns.max(1) {
            if turn > 0 && self.plan.pause_ms > 0 {
                sleep(Duration::from_millis(self.plan.pause_ms)).await;
            }
            if !self.allowance.take() {
                return false;
            }
            self.report.calls += 1;
            messages.push(self.prompt());
            match self.run_turn(&mut program, &messages).await {
                Ok(text) => messages.push(ChatMessage::text("assistant", &text)),
                Err(CallFailure::Failed(kind)) => {
                    self.report.note_failure(kind);
                    return true;
                }
                Err(CallFailure::Wrong(detail)) => {
                    self.report.note_wrong(detail);
                    return true;
                }
            }
        }
        record(&mut self.report.program_latency, started_at.elapsed());
        true
    }

    /// Runs one call and returns the verified text of its answer.
    async fn run_turn(
        &mut self,
        program: &mut Option<ProgramId>,
        messages: &[ChatMessage],
    ) -> Result<String> {
        if program.is_none() {
            *program = self.new_program().await?;
        }
        let request = ChatRequest {
            model: self.plan.model.clone(),
            messages: messages.to_vec(),
            max_tokens: Some(self.plan.answer_words),
            stream: self.plan.is_streamed,
        };
        let started_at = Instant::now();
        let mut call = self.call(engine_route::COMPLETE, to_body(&request)?);
        if let Some(program) = program {
            call.headers.push(field(PROGRAM_HEADER, &program.to_string()));
        }
        let body = self.exchange(call, started_at).await?;
        let text = check_answer(&body.bytes, &request, *program)?;
        self.report.succeeded += 1;
        record(&mut self.report.latency, started_at.elapsed());
        record(&mut self.report.first_byte, body.first_byte);
        Ok(text)
    }

    async fn new_program(&mut self) -> Result<Option<ProgramId>> {
        match self.plan.programs {
            ProgramMode::None => Ok(None),
            ProgramMode::Random => {
                let shard = ShardKey(self.rng.random_range(0..RANDOM_SHARDS));
                Ok(Some(ProgramId::random(shard, &mut self.rng)))
            }
            ProgramMode::Created => {
                let call = self.call(PROGRAMS_ROUTE, Bytes::from_static(b"{}"));
                let body = self.exchange(call, Instant::now()).await?;
                let created: CreatedProgram = serde_json::from_slice(&body.bytes)
                    .map_err(|error| CallFailure::Wrong(format!("malformed program: {error}")))?;
                Ok(Some(created.id))
            }
        }
    }

    fn call(&self, path: &str, body: Bytes) -> ServiceCall {
        let mut headers = vec![field("content-type", JSON_MEDIA_TYPE)];
        if let Some(key) = &self.plan.bearer_key {
            headers.push(field("authorization", &format!("Bearer {key}")));
        }
        ServiceCall {
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers,
            body,
        }
    }

    async fn exchange(&self, call: ServiceCall, started_at: Instant) -> Result<TimedBody> {
        let limit = Duration::from_millis(self.plan.call_timeout_ms);
        match timeout(limit, self.exchange_without_timeout(call, started_at)).await {
            Ok(result) => result,
            Err(_) => Err(failed("timeout", RunVerdict::MayHaveRun)),
        }
    }

    async fn exchange_without_timeout(&self, call: ServiceCall, started_at: Instant) -> Result<TimedBody> {
        let answer = self.service.send(call).await?;
        let status = answer.status;
        let body = read_body(answer, started_at).await?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        Err(problem_failure(&body.bytes, &format!("status_{status}")))
    }

    fn prompt(&mut self) -> ChatMessage {
        let words: Vec<String> = (0..self.plan.prompt_words)
            .map(|_| format!("{:08x}", self.rng.random::<u32>()))
            .collect();
        ChatMessage::text("user", &words.join(" "))
    }
}

async fn read_body(mut answer: ServiceAnswer, started_at: Instant) -> Result<TimedBody> {
    let mut bytes = BytesMut::new();
    let mut first_byte = None;
    while let Some(part) = answer.body.next().await {
        bytes.extend_from_slice(&part?);
        first_byte.get_or_insert_with(|| started_at.elapsed());
    }
    Ok(TimedBody {
        bytes: bytes.freeze(),
        first_byte: first_byte.unwrap_or_else(|| started_at.elapsed()),
    })
}

fn failed(code: &str, verdict: RunVerdict) -> CallFailure {
    CallFailure::Failed(FailureKind::open(code, verdict))
}

/// Returns the failure of a problem document; any other body counts under `other_code`.
fn problem_failure(body: &[u8], other_code: &str) -> CallFailure {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => failed(&problem.code, problem.run),
        Err(_) => failed(other_code, RunVerdict::MayHaveRun),
    }
}

/// Returns the failure of a stream that has no end event: the problem document in its last event, or `no_end`.
fn incomplete_stream(body: &[u8]) -> CallFailure {
    let text = String::from_utf8_lossy(body);
    let mut events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    problem_failure(events.next_back().unwrap_or_default().as_bytes(), "no_end")
}

fn check_answer(body: &[u8], request: &ChatRequest, program: Option<ProgramId>) -> Result<String> {
    if request.stream && !body.ends_with(STREAM_END.as_bytes()) {
        return Err(incomplete_stream(body));
    }
    let wrong = |detail: String| CallFailure::Wrong(detail);
    let text = answer_text(body, request.stream).map_err(|error| wrong(error.to_string()))?;
    let echo = EchoAnswer::check(&text, request).map_err(|error| wrong(error.to_string()))?;
    if program.is_some() && echo.program != program {
        return Err(wrong(format!(
            "the answer belongs to the program {:?}",
            echo.program
        )));
    }
    Ok(text)
}

fn to_body(request: &ChatRequest) -> Result<Bytes> {
    let bytes = serde_json::to_vec(request).map_err(|error| CallFailure::Wrong(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

fn field(name: &str, value: &str) -> HeaderField {
    HeaderField {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}
