//! Sends answers to entries within the credit that they grant.

use std::collections::HashMap;
use std::time::Duration;

use actix::{AsyncContext, Context};
use ebony_ledger::{AnswerCursor, CallState, ResumeDecision};
use ebony_link::LinkError;
use ebony_types::{CallId, ClockTime, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::SideFrame;

use super::SideActor;
use crate::links::LinkKey;

/// The delay before answers are sent again after a link's send queue was full.
const FULL_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The longest time for which a drain waits for an entry to resume an answer whose link was lost. An entry that has not
/// resumed it by then was replaced.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(5);

struct AnswerDelivery {
    /// `None` after the link was lost, until an entry resumes the answer.
    link: Option<LinkKey>,
    /// When the link was lost.
    detached_at: Option<ClockTime>,
    cursor: AnswerCursor,
}

/// The answers being delivered, by call. A delivery is removed when the call is settled or the ledger forgets it.
#[derive(Default)]
pub(super) struct DeliveryTable {
    deliveries: HashMap<CallId, AnswerDelivery>,
    /// Whether a retry after a full send queue is scheduled.
    is_retrying: bool,
}

impl DeliveryTable {
    /// Starts the delivery of an admitted call.
    pub(super) fn open(&mut self, call: CallId, link: LinkKey) {
        let cursor = AnswerCursor::open(call);
        let link = Some(link);
        self.deliveries.insert(
            call,
            AnswerDelivery {
                link,
                detached_at: None,
                cursor,
            },
        );
    }

    /// Stops the deliveries on a link until they are resumed.
    pub(super) fn detach_link(&mut self, link: LinkKey, now: ClockTime) {
        let lost = |delivery: &&mut AnswerDelivery| delivery.link == Some(link);
        for delivery in self.deliveries.values_mut().filter(lost) {
            delivery.link = None;
            delivery.detached_at = Some(now);
        }
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<LinkKey> {
        self.deliveries.remove(&call)?.link
    }

    /// Returns `true` if every answer was sent completely or has been detached for [`DETACHED_TIMEOUT`].
    pub(super) fn are_all_sent(&self, now: ClockTime) -> bool {
        let has_timed_out = |since: ClockTime| now.since(since) >= DETACHED_TIMEOUT;
        self.deliveries
            .values()
            .all(|delivery| delivery.cursor.is_ended() || delivery.detached_at.is_some_and(has_timed_out))
    }
}

/// The result of sending the next frame of an answer.
enum DeliveryStep {
    Sent,
    Nothing,
    QueueFull,
}

impl SideActor {
    /// Sends the unsent part of a call's answer to every call that is attached to it.
    pub(super) fn deliver(&mut self, call: CallId, context: &mut Context<Self>) {
        for attached in self.ledger.attached(call).to_vec() {
            self.deliver_to_call(attached, context);
        }
    }

    fn deliver_to_call(&mut self, call: CallId, context: &mut Context<Self>) {
        loop {
            match self.send_next(call) {
                DeliveryStep::Sent => {}
                DeliveryStep::Nothing => return,
                DeliveryStep::QueueFull => return self.schedule_retry(context),
            }
        }
    }

    fn send_next(&mut self, call: CallId) -> DeliveryStep {
        let Some(delivery) = self.deliveries.deliveries.get_mut(&call) else {
            return DeliveryStep::Nothing;
        };
        let (Some(link), Some(buffer)) = (delivery.link, self.ledger.buffer(call)) else {
            return DeliveryStep::Nothing;
        };
        let before = delivery.cursor.clone();
        let frame = match delivery.cursor.next_frame(buffer) {
            Ok(Some(frame)) => frame,
            Ok(None) => return DeliveryStep::Nothing,
            Err(error) => {
                let run = match self.ledger.state(call) {
                    Some(CallState::Answered) => RunVerdict::Ran,
                    _ => RunVerdict::MayHaveRun,
                };
                let problem = ProblemReport::new(ProblemCode::TargetFailed, run, error.to_string());
                self.deliveries.remove(call);
                self.send_failure(link, call, problem);
                return DeliveryStep::Nothing;
            }
        };
        match self.links.send(link, &SideFrame::Answer(frame)) {
            Ok(()) => DeliveryStep::Sent,
            Err(LinkError::QueueFull) => {
                delivery.cursor = before;
                DeliveryStep::QueueFull
            }
            Err(_) => {
                delivery.cursor = before;
                delivery.link = None;
                DeliveryStep::Nothing
            }
        }
    }

    fn schedule_retry(&mut self, context: &mut Context<Self>) {
        if std::mem::replace(&mut self.deliveries.is_retrying, true) {
            return;
        }
        context.run_later(FULL_QUEUE_RETRY_DELAY, |actor, context| {
            actor.deliveries.is_retrying = false;
            let calls: Vec<CallId> = actor.deliveries.deliveries.keys().copied().collect();
            for call in calls {
                actor.deliver_to_call(call, context);
            }
            actor.check_drained();
        });
    }

    /// Adds credit that an entry grants for an answer.
    pub(super) fn grant_credit(&mut self, call: CallId, bytes: u32, context: &mut Context<Self>) {
        let Some(delivery) = self.deliveries.deliveries.get_mut(&call) else {
            return;
        };
        let confirmed = delivery.cursor.grant(bytes);
        self.confirm(call, confirmed);
        self.deliver_to_call(call, context);
        self.check_drained();
    }

    fn confirm(&mut self, call: CallId, offset: u64) {
        if !self.ledger.confirm(call, offset) {
            return;
        }
        let first = self.ledger.first_call(call).unwrap_or(call);
        let running = self
            .targets
            .values()
            .find_map(|target| target.running.get(&first));
        if let Some(running) = running {
            running.buffer_room.notify_one();
        }
    }

    /// Continues an answer over a new link.
    pub(super) fn resume_answer(
        &mut self,
        link: LinkKey,
        call: CallId,
        offset: u64,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        match self.ledger.resume(call, now) {
            ResumeDecision::Continue => {
                let delivery = AnswerDelivery {
                    link: Some(link),
                    detached_at: None,
                    cursor: AnswerCursor::resume(call, offset),
                };
                self.deliveries.deliveries.insert(call, delivery);
                self.confirm(call, offset);
                self.deliver_to_call(call, context);
            }
            ResumeDecision::Fail(problem) => self.send_failure(link, call, problem),
        }
    }

    /// Drops the stored answer of a call once its entry reports that the outcome is durable.
    pub(super) fn settle_call(&mut self, call: CallId) {
        self.ledger.settled(call);
        if self.ledger.state(call).is_none_or(|state| !state.is_open()) {
            self.deliveries.remove(call);
        }
        self.check_drained();
    }

    /// Drops deliveries of calls that the ledger has forgotten.
    pub(super) fn remove_stale_deliveries(&mut self) {
        let ledger = &self.ledger;
        self.deliveries
            .deliveries
            .retain(|call, _| ledger.state(*call).is_some());
    }

    /// Ends the delivery of a call that has left the ledger or that its entry abandoned, and reports the failure.
    pub(super) fn fail_delivery(&mut self, call: CallId, fallback: Option<LinkKey>, problem: ProblemReport) {
        let link = self.deliveries.remove(call).or(fallback);
        match link {
            Some(link) => self.send_failure(link, call, problem),
            None => self.metrics.count_failed(problem.run),
        }
    }
}
