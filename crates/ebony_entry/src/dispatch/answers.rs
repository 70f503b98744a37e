//! Handles answers from side processes: flow-control credit, resumption, and feedback to placement and admission.

use ebony_policy::TargetKey;
use ebony_types::{CallId, CallKind, ClockTime, ProblemCode, ProblemReport};
use ebony_wire::{AnswerFrame, EntryFrame};

use super::actor::DispatchActor;
use super::call::{CallStep, DispatchedCall};
use super::messages::FinishedAnswer;
use super::picker::AnswerTiming;
use super::side_table::SideKey;

impl DispatchActor {
    /// Processes one frame of an answer.
    pub(super) fn accept_answer(&mut self, side: SideKey, frame: AnswerFrame) {
        let id = frame.call();
        let now = self.now();
        let incarnation = self.sides.get(side).and_then(|record| record.incarnation);
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        // Ignores late frames of an earlier attempt, or of an earlier incarnation of the side process.
        let is_present = call
            .attempt()
            .is_some_and(|attempt| attempt.side == side && Some(attempt.picked.incarnation) == incarnation);
        if !is_present {
            return;
        }
        let had_head = call.has_head();
        let step = call.accept(frame);
        if !had_head && call.has_head() {
            self.record_first_part(id, now);
        }
        match step {
            CallStep::Continue => {}
            CallStep::Finished(answer) => self.finish(id, answer, now),
            CallStep::Failed(problem) => self.fail_attempt(id, problem),
            CallStep::Abandoned => self.handle_abandoned_reader(id),
        }
    }

    fn record_first_part(&mut self, id: CallId, now: ClockTime) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let CallKind::Model {
            is_streamed,
            prompt_tokens,
            ..
        } = call.place.request.kind
        else {
            return;
        };
        let (program, arrived) = (call.program, call.arrived);
        let Some(attempt) = call.attempt_mut() else { return };
        attempt.first_part = Some(now);
        self.picker.record_first_token(&attempt.picked, now);
        // An answer that is not streamed arrives all at once, so its first part does not show when the first token was
        // ready.
        if is_streamed {
            let known = self
                .programs
                .get(program)
                .map_or(0, |record| record.history_tokens);
            let new_tokens = u64::from(prompt_tokens).saturating_sub(known);
            self.admission
                .observe_first_token(now.since(arrived), new_tokens, now);
        }
    }

    fn finish(&mut self, id: CallId, answer: FinishedAnswer, now: ClockTime) {
        let Some(call) = self.calls.take(id) else { return };
        self.record_attempt_end(&call, now);
        let is_model = matches!(call.place.request.kind, CallKind::Model { .. });
        if is_model && let Some((key, timing)) = timing_of(&call, &answer, now) {
            self.picker.record_answer(key, call.program, &timing, now);
            self.admission.record_history(call.program, timing.held_tokens);
        }
        let (side, program) = (answer.side, call.program);
        let picked = call.attempt().map(|attempt| attempt.picked.clone());
        self.end(call, Ok(answer));
        if let Some(picked) = picked.filter(|_| is_model) {
            self.retain_program(side, program, &picked);
        }
    }

    /// Handles a reader that is gone or whose buffer is full. If the reader of a call with an idempotency key is gone,
    /// the call continues, so that a repeated request finds the answer. In all other cases the call is cancelled.
    fn handle_abandoned_reader(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else { return };
        if call.has_key() && call.place.pipe.is_abandoned() {
            return self.grant_without_reader(id);
        }
        self.cancel_call(id);
    }

    /// Grants credit for all received bytes of a call whose reader is gone.
    pub(super) fn grant_without_reader(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let received = call.received();
        call.credit.consume_all(received);
        self.send_grant(id);
    }

    /// Grants credit for bytes that the reader has consumed.
    pub(super) fn grant_credit(&mut self, id: CallId, bytes: u32) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.credit.consume(bytes);
        if call.needs_resume {
            return self.resume_call(id);
        }
        self.send_grant(id);
    }

    fn send_grant(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let Some(side) = call.attempt().map(|attempt| attempt.side) else {
            return;
        };
        if call.needs_resume {
            return;
        }
        if let Some(bytes) = call.credit.take_grant() {
            // If the link is down, the resumption opens a new window.
            self.sides.send(side, &EntryFrame::Credit { call: id, bytes });
        }
    }

    /// Cancels a call. The side process confirms with the last frame of the answer. If the call is not at a side process
    /// or the frame can't be sent, the call ends at once.
    pub(super) fn cancel_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.is_cancelled = true;
        let side = call.attempt().map(|attempt| attempt.side);
        let is_sent = side.is_some_and(|side| self.sides.send(side, &EntryFrame::Cancel { call: id }));
        if !is_sent {
            self.end_early(id, ProblemCode::Cancelled, "the call was cancelled");
        }
    }

    /// Resumes the answers of all calls at the current incarnation of a side process.
    pub(super) fn resume_calls(&mut self, side: SideKey) {
        let Some(incarnation) = self.sides.get(side).and_then(|record| record.incarnation) else {
            return;
        };
        for id in self.calls.placed_at(side, incarnation) {
            self.resume_call(id);
        }
    }

    /// Resumes an answer over a new link, or defers this until the reader has room for the window that it opens.
    fn resume_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let Some(side) = call.attempt().map(|attempt| attempt.side) else {
            return;
        };
        let offset = call.received();
        call.needs_resume = !call.credit.may_resume(offset);
        if !call.needs_resume {
            call.credit.resume(offset);
            self.sides.send(side, &EntryFrame::Resume { call: id, offset });
        }
    }

    /// Fails the calls at an incarnation of a side process that was lost.
    pub(super) fn fail_lost_calls(&mut self, side: SideKey, incarnation: ebony_types::ProcessIncarnation) {
        for id in self.calls.placed_at(side, incarnation) {
            self.options.metrics.lost.inc();
            let detail = "the side process or its link was lost";
            self.fail_attempt(id, ProblemReport::may_have_run(ProblemCode::TargetFailed, detail));
        }
    }
}

fn timing_of(
    call: &DispatchedCall,
    answer: &FinishedAnswer,
    now: ClockTime,
) -> Option<(TargetKey, AnswerTiming)> {
    let attempt = call.attempt()?;
    let first_part = attempt.first_part.unwrap_or(now);
    let queued = attempt.picked.estimate.wait;
    let output_tokens = u64::from(answer.usage.output_tokens);
    let is_streamed = matches!(
        call.place.request.kind,
        CallKind::Model {
            is_streamed: true,
            ..
        }
    );
    let timing = AnswerTiming {
        slot_time: now.since(attempt.sent_at).saturating_sub(queued),
        decode_time: now.since(first_part),
        // An answer that is not streamed arrives all at once and gives no decoding rate.
        output_tokens: if is_streamed { output_tokens } else { 0 },
        held_tokens: u64::from(answer.usage.prompt_tokens) + output_tokens,
    };
    Some((attempt.picked.key, timing))
}
