//! Measures the latency of uniform calls from concurrent callers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::bail;
use awc::http::Method;
use bytes::Bytes;
use ebony_standins::engine::{ChatMessage, ChatRequest};
use ebony_trace::StepEnd;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::check::{AnswerCheck, model_end};
use crate::client::{CallClient, HttpCall, HttpReply};

/// Highest recorded latency, to which higher ones are clamped.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of a measurement.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The base URL of an entry or an engine.
    pub url: String,
    /// The bearer key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The number of concurrent callers, each with one call in flight.
    pub callers: usize,
    /// The number of measured calls per caller.
    pub calls: usize,
    /// The number of calls per caller before the measured ones.
    pub warm_up: usize,
    /// The pause of a caller between the end of a call and the next call; zero for the highest rate.
    pub pause: Duration,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Whether answers are streamed.
    pub is_streamed: bool,
    /// The timeout of a call.
    pub timeout: Duration,
}

/// Results of a measurement.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Measured calls, failed ones included.
    pub calls: u64,
    /// Measured calls without a complete and matching answer.
    pub failed: u64,
    /// Failed calls by problem code and verdict, or by `disconnected` and `corrupt`.
    pub failures: BTreeMap<String, u64>,
    /// Answered calls per second.
    pub calls_per_second: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// Latency at the 99th percentile in microseconds.
    pub p99_us: u64,
    /// The highest latency in microseconds.
    pub max_us: u64,
    /// Median time to the first text of a streamed answer in microseconds; zero for others.
    pub first_p50_us: u64,
    /// Time to the first text at the 99th percentile in microseconds.
    pub first_p99_us: u64,
}

/// Sends calls from concurrent callers and measures the time to the end of each answer. Must be called in an actix
/// system.
///
/// # Errors
///
/// Fails if no call was answered or a task panics.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport> {
    let client = CallClient::open(options.callers);
    let options = Rc::new(options);
    run_phase(&client, &options, options.warm_up, "warm").await?;
    let start = Instant::now();
    let phase = run_phase(&client, &options, options.calls, "call").await?;
    let elapsed = start.elapsed();
    if phase.latency.is_empty() {
        bail!("none of {} calls was answered", phase.failed);
    }
    Ok(LoadReport {
        calls: phase.latency.len() + phase.failed,
        failed: phase.failed,
        failures: phase.failures,
        calls_per_second: phase.latency.len() as f64 / elapsed.as_secs_f64(),
        p50_us: phase.latency.value_at_quantile(0.5),
        p99_us: phase.latency.value_at_quantile(0.99),
        max_us: phase.latency.max(),
        first_p50_us: phase.first_token.value_at_quantile(0.5),
        first_p99_us: phase.first_token.value_at_quantile(0.99),
    })
}

struct LoadPhase {
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
    failed: u64,
    // Bounded by the numbers of problem codes and verdicts.
    failures: BTreeMap<String, u64>,
}

impl LoadPhase {
    fn open() -> Result<Self> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            first_token: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            failed: 0,
            failures: BTreeMap::new(),
        })
    }

    fn record(&mut self, end: StepEnd, reply: &HttpReply) {
        let failure = match end {
            StepEnd::Answered => {
                self.latency.saturating_record(reply.elapsed.as_micros() as u64);
                if let Some(wait) = reply.first_token {
                    self.first_token.saturating_record(wait.as_micros() as u64);
                }
                return;
            }
            StepEnd::Problem { code, run, .. } => format!("{} {}", code.as_str(), run.as_str()),
            StepEnd::Disconnected => "disconnected".to_owned(),
            StepEnd::Corrupt => "corrupt".to_owned(),
        };
        self.failed += 1;
        *self.failures.entry(failure).or_default() += 1;
    }

    fn add(&mut self, other: Self) -> Result<()> {
        self.latency.add(&other.latency)?;
        self.first_token.add(&other.first_token)?;
        self.failed += other.failed;
        for (failure, count) in other.failures {
            *self.failures.entry(failure).or_default() += count;
        }
        Ok(())
    }
}

async fn run_phase(
    client: &CallClient,
    options: &Rc<LoadOptions>,
    calls: usize,
    name: &str,
) -> Result<LoadPhase> {
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..options.callers {
        let (client, options) = (client.clone(), options.clone());
        let name = format!("{name} {caller}");
        // Callers that start at the same time would stay synchronized and send their calls in bursts.
        let offset = options.pause * caller as u32 / options.callers as u32;
        tasks.spawn_local(async move {
            tokio::time::sleep(offset).await;
            run_caller(&client, &options, calls, &name).await
        });
    }
    let mut total = LoadPhase::open()?;
    while let Some(phase) = tasks.join_next().await {
        total.add(phase??)?;
    }
    Ok(total)
}

async fn run_caller(
    client: &CallClient,
    options: &LoadOptions,
    calls: usize,
    name: &str,
) -> Result<LoadPhase> {
    let mut phase = LoadPhase::open()?;
    for number in 0..calls {
        let prompt = format!("{name} {number}");
        let request = ChatRequest {
            model: options.model.clone(),
            messages: vec![ChatMessage::text("user", &prompt)],
            max_tokens: Some(options.answer_tokens),
            stream: options.is_streamed,
        };
        let call = HttpCall {
            method: Method::POST,
            url: format!("{}/v1/chat/completions", options.url),
            bearer_key: options.key.clone(),
            program: None,
            idempotency_key: None,
            timeout: options.timeout,
            body: Bytes::from(serde_json::to_vec(&request)?),
        };
        let reply = client.send(call).await;
        phase.record(model_end(AnswerCheck::Echo, &request, &reply), &reply);
        if !options.pause.is_zero() {
            tokio::time::sleep(options.pause).await;
        }
    }
    Ok(phase)
}
