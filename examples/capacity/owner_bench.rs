//! A benchmark harness: one owner of all shards on an in-memory platform, in simulated time.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use ebony_owner::{LiveSession, MessageList, OwnerAction, OwnerCore, OwnerEvent, OwnerSettings};
use ebony_types::{
    CallId, CallKind, CallRequest, CallUsage, CallerName, ClockTime, DomainName, ModelName, ProgramBudget,
    ProgramId, SessionId, ShardKey,
};
use ebony_wire::{AnswerHead, ProgramOperation};

use crate::fake_platform::FakePlatform;

/// Size of the new message in each prompt.
pub(crate) const MESSAGE_BYTES: usize = 512;

/// Size of the text of an answer: 294 tokens of four bytes.
pub(crate) const ANSWER_BYTES: usize = 1_176;

/// Simulated time in which all records become durable. Rows have a bounded size, so that 16,000 turns need many rows.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// An owner with its platform and its clock.
pub(crate) struct OwnerBench {
    pub(crate) core: OwnerCore,
    pub(crate) platform: FakePlatform,
    now: ClockTime,
    next_call: u64,
    answer: Bytes,
    first_body: Vec<u8>,
}

impl OwnerBench {
    /// Opens an owner with its own session. It can take over the state that the platform holds.
    pub(crate) fn open(number: u8, settings: OwnerSettings, platform: FakePlatform) -> Self {
        let session = SessionId::from_bytes([number; 16]);
        let text = "a".repeat(ANSWER_BYTES);
        let answer = serde_json::json!({"choices": [{"message": {"role": "assistant", "content": text}}]});
        Self {
            core: OwnerCore::open(session, settings, [number; 32]),
            platform,
            now: ClockTime::from_millis(1_000 * u64::from(number)),
            next_call: 0,
            answer: Bytes::from(answer.to_string()),
            first_body: chat_body(1),
        }
    }

    /// Takes all shards and advances the time until they are served.
    pub(crate) fn acquire_shards(&mut self) {
        let session = LiveSession {
            session: self.core.session(),
            domain: DomainName::parse("catania-1").expect("the name is visible"),
            is_draining: false,
            shards: Vec::new(),
        };
        self.handle_event(OwnerEvent::SessionsChanged {
            sessions: vec![session],
        });
        self.advance(Duration::from_secs(1));
    }

    /// Handles an event and the storage actions that follow from it, and returns the calls to dispatch.
    pub(crate) fn handle_event(&mut self, event: OwnerEvent) -> Vec<CallId> {
        let mut dispatched = Vec::new();
        // Replies keep the order of the requests, as those of a platform do, so that the shards of a lost owner share
        // its recovery.
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.handle(event, self.now) {
                match action {
                    OwnerAction::Dispatch { call, .. } => dispatched.push(call),
                    OwnerAction::Refuse { problem, .. } => panic!("a call was refused: {problem:?}"),
                    OwnerAction::Reply { result, .. } => drop(result.expect("the operation succeeds")),
                    other => events.extend(self.platform.perform(self.core.session(), other)),
                }
            }
        }
        dispatched
    }

    /// Advances the simulated time and returns the calls to dispatch.
    pub(crate) fn advance(&mut self, time: Duration) -> Vec<CallId> {
        let end = self.now + time;
        let mut dispatched = Vec::new();
        while let Some(due) = self.core.next_wakeup().filter(|&due| due <= end) {
            self.now = self.now.max(due);
            dispatched.extend(self.handle_event(OwnerEvent::Tick));
        }
        self.now = end;
        dispatched
    }

    /// Opens the programs `first..last`.
    pub(crate) fn open_programs(&mut self, first: usize, last: usize) {
        for number in first..last {
            self.handle_event(OwnerEvent::Operation {
                request: number as u64,
                operation: ProgramOperation::Open {
                    program: program_id(number),
                    parent: None,
                    caller: caller(),
                    budget: ProgramBudget::default(),
                },
            });
        }
        self.advance(SETTLE_TIME);
    }

    /// Returns the arrival of a program's next call; `turn` counts from 1.
    pub(crate) fn call_arrival(&mut self, number: usize, turn: usize) -> OwnerEvent {
        self.next_call += 1;
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&self.next_call.to_be_bytes());
        let body = if turn == 1 {
            self.first_body.clone()
        } else {
            chat_body(turn)
        };
        let body = Bytes::from(body);
        let messages = MessageList::parse(&body).expect("the body is a chat");
        let request = CallRequest {
            program: Some(program_id(number)),
            ..chat_request(CallId::from_bytes(bytes), body)
        };
        OwnerEvent::CallArrived {
            request: Box::new(request),
            messages,
        }
    }

    /// Finishes dispatched calls.
    pub(crate) fn finish_calls(&mut self, calls: Vec<CallId>) {
        for call in calls {
            let head = AnswerHead {
                status: 200,
                headers: Vec::new(),
            };
            let usage = CallUsage {
                prompt_tokens: 128,
                cached_tokens: 0,
                output_tokens: 294,
            };
            let answer = self.answer.clone();
            self.handle_event(OwnerEvent::CallFinished {
                call,
                head,
                answer,
                usage,
            });
        }
    }

    /// Handles arrivals, finishes the dispatched calls, waits until all are durable, and returns the number dispatched.
    pub(crate) fn run_calls(&mut self, arrivals: Vec<OwnerEvent>) -> usize {
        let mut calls = Vec::new();
        for event in arrivals {
            calls.extend(self.handle_event(event));
        }
        calls.extend(self.advance(SETTLE_TIME));
        let count = calls.len();
        self.finish_calls(calls);
        self.advance(SETTLE_TIME);
        count
    }

    /// Runs one turn of each of the programs `first..last`.
    pub(crate) fn run_turn(&mut self, first: usize, last: usize, turn: usize) {
        let arrivals: Vec<OwnerEvent> = (first..last)
            .map(|number| self.call_arrival(number, turn))
            .collect();
        let count = self.run_calls(arrivals);
        assert_eq!(count, last - first, "every call is dispatched");
    }
}

fn caller() -> CallerName {
    CallerName::parse("shop-fiji").expect("the name is visible")
}

/// Returns the identifier of a numbered program. Programs are spread evenly over 64 shards.
pub(crate) fn program_id(number: usize) -> ProgramId {
    let mut suffix = [0; 14];
    suffix[6..].copy_from_slice(&(number as u64).to_be_bytes());
    ProgramId::from_parts(ShardKey((number % 64) as u16), suffix)
}

/// Returns a chat call without a program.
pub(crate) fn chat_request(call: CallId, body: Bytes) -> CallRequest {
    CallRequest {
        call,
        program: None,
        caller: caller(),
        kind: CallKind::Model {
            model: ModelName::parse("kalo-7b").expect("the name is visible"),
            is_streamed: true,
            prompt_tokens: 128,
            max_output_tokens: 512,
        },
        headers: Vec::new(),
        body,
        idempotency_key: None,
        timeout_ms: 60_000,
    }
}

/// Returns the body of a program's call at a turn: all previous messages and answers, and a new message.
pub(crate) fn chat_body(turn: usize) -> Vec<u8> {
    let mut messages = Vec::new();
    for number in 1..=turn {
        let text = format!("{number:04}{}", "u".repeat(MESSAGE_BYTES - 4));
        messages.push(serde_json::json!({"role": "user", "content": text}));
        if number < turn {
            let text = "a".repeat(ANSWER_BYTES);
            messages.push(serde_json::json!({"role": "assistant", "content": text}));
        }
    }
    serde_json::json!({"model": "kalo-7b", "messages": messages})
        .to_string()
        .into_bytes()
}
