//! State of each program in the driver. Its memory is proportional to the size of the trace.

use std::collections::HashMap;

use ebony_standins::engine::ChatMessage;
use ebony_trace::{ProgramOrigin, StepKey, TraceDocument};
use ebony_types::ProgramId;

/// State of one program.
#[derive(Debug, Default)]
pub(crate) struct ProgramEntry {
    /// Its identifier in the system, once it is open.
    pub(crate) id: Option<ProgramId>,
    parent: Option<u32>,
    has_started: bool,
    has_ended: bool,
    is_finished: bool,
    /// Number of sub-agents that started and are not closed.
    open_children: u32,
    /// Its conversation. Emptied when the program ends.
    pub(crate) messages: Vec<ChatMessage>,
}

/// A program that can be closed in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClosedProgram {
    pub(crate) program: u32,
    pub(crate) id: Option<ProgramId>,
    /// Whether it received its last answer and is finished; otherwise it is cancelled.
    pub(crate) is_finished: bool,
}

/// All programs, and the steps of their model calls by digest.
#[derive(Debug)]
pub(crate) struct ProgramTable {
    entries: Vec<ProgramEntry>,
    digests: HashMap<String, StepKey>,
}

impl ProgramTable {
    pub(crate) fn open(document: &TraceDocument) -> Self {
        let entry = |program: &ebony_trace::TraceProgram| ProgramEntry {
            parent: match program.origin {
                ProgramOrigin::Arrival { .. } => None,
                ProgramOrigin::Child { parent, .. } => Some(parent),
            },
            ..ProgramEntry::default()
        };
        Self {
            entries: document.programs().iter().map(entry).collect(),
            digests: HashMap::new(),
        }
    }

    pub(crate) fn entry(&mut self, program: u32) -> &mut ProgramEntry {
        &mut self.entries[program as usize]
    }

    /// Records that a program sends its first call. Later calls have no effect.
    pub(crate) fn record_start(&mut self, program: u32) {
        let entry = self.entry(program);
        if std::mem::replace(&mut entry.has_started, true) {
            return;
        }
        if let Some(parent) = entry.parent {
            self.entry(parent).open_children += 1;
        }
    }

    /// Records the end of a program and returns the programs that can be closed now. A program is closed only after its
    /// sub-agents, because the system ends sub-agents together with their parent.
    pub(crate) fn record_end(&mut self, program: u32, is_finished: bool) -> Vec<ClosedProgram> {
        let entry = self.entry(program);
        entry.has_ended = true;
        entry.is_finished = is_finished;
        entry.messages = Vec::new();
        let mut closed = Vec::new();
        let mut next = Some(program);
        while let Some(program) = next {
            let entry = self.entry(program);
            if !entry.has_ended || entry.open_children > 0 {
                break;
            }
            closed.push(ClosedProgram {
                program,
                id: entry.id,
                is_finished: entry.is_finished,
            });
            next = entry.parent;
            if let Some(parent) = next {
                self.entry(parent).open_children -= 1;
            }
        }
        closed
    }

    /// Records the digest of a model call's messages, which is the same for all retries.
    pub(crate) fn record_digest(&mut self, digest: String, key: StepKey) {
        self.digests.insert(digest, key);
    }

    pub(crate) fn step_of(&self, digest: &str) -> Option<StepKey> {
        self.digests.get(digest).copied()
    }
}
