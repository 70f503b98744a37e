//! Calls that this entry has started and not yet answered.

use std::sync::Arc;

use bytes::Bytes;
use ebony_types::{CallRequest, CallUsage, ProblemReport};

use crate::answer::{AnswerPart, AnswerPipe};
use crate::dispatch::{FinishedAnswer, SideKey};

/// A call that this entry has started and not yet answered.
pub(super) struct OpenCall {
    pub(super) request: CallRequest,
    pub(super) side: Option<SideKey>,
    pipe: Arc<AnswerPipe>,
    usage: CallUsage,
    withheld: Bytes,
}

impl OpenCall {
    pub(super) fn new(request: CallRequest, pipe: Arc<AnswerPipe>) -> Self {
        Self {
            request,
            side: None,
            pipe,
            usage: CallUsage::default(),
            withheld: Bytes::new(),
        }
    }

    pub(super) fn pipe(&self) -> Arc<AnswerPipe> {
        Arc::clone(&self.pipe)
    }

    /// Withholds the end of a complete answer until its outcome is durable.
    pub(super) fn withhold_end(&mut self, answer: &FinishedAnswer) {
        self.usage = answer.usage;
        self.withheld = answer.withheld.clone();
        self.side = Some(answer.side);
    }

    /// Sends the end of the answer.
    pub(super) fn finish(self) {
        if !self.withheld.is_empty() {
            self.pipe.push(AnswerPart::Bytes(self.withheld));
        }
        self.pipe.push(AnswerPart::End(self.usage));
    }

    /// Ends the answer with a problem.
    pub(super) fn refuse(self, problem: ProblemReport) {
        self.pipe.push(AnswerPart::Failed(problem));
    }
}
