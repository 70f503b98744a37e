//! Operations on programs: open, show, finish and cancel.

use ebony_types::{BudgetUse, CallerName, ProblemCode, ProblemReport, ProgramBudget, ProgramId};
use ebony_wire::{ProgramOperation, ProgramView};

use super::arrival::{
    check_caller, not_owned, overloaded, platform_unavailable, program_ended, unknown_program,
};
use super::effect::{DurableEffect, MAX_EFFECTS};
use super::state::{Result, ServingState};
use crate::action::OwnerAction;
use crate::budget::{block_of, exhausted};
use crate::journal::record::{JournalRecord, OpenedRecord};
use crate::program::image::ProgramState;
use crate::program::table::{ProgramEntry, ProgramKey};
use crate::program::turn_body::HistoryPlan;
use crate::settings::{MAX_CHILDREN_PER_PROGRAM, MAX_DEPTH, MAX_PROGRAM_SECONDS};

/// The parameters of a program to open.
struct OpenRequest {
    program: ProgramId,
    parent: Option<ProgramId>,
    caller: CallerName,
    budget: ProgramBudget,
}

impl ServingState {
    pub(super) fn on_operation(&mut self, request: u64, operation: ProgramOperation) {
        if let Err(problem) = self.operate(request, operation) {
            let result = Err(problem);
            self.emit(OwnerAction::Reply { request, result });
        }
    }

    fn operate(&mut self, request: u64, operation: ProgramOperation) -> Result<()> {
        if !self.shards.is_serving(operation.program().shard()) {
            return Err(not_owned());
        }
        if self.effects.len() >= MAX_EFFECTS {
            return Err(platform_unavailable());
        }
        match operation {
            ProgramOperation::Open {
                program,
                parent,
                caller,
                budget,
            } => self.open_program(
                request,
                OpenRequest {
                    program,
                    parent,
                    caller,
                    budget,
                },
            ),
            ProgramOperation::Show {
                program,
                caller,
                with_history,
            } => {
                let key = self.find_program(program, caller.as_ref())?;
                self.reply_when_durable(request, key, with_history);
                Ok(())
            }
            ProgramOperation::Finish { program, caller } => {
                let key = self.find_program(program, Some(&caller))?;
                self.end_and_reply(request, key, ProgramState::Finished)
            }
            ProgramOperation::Cancel { program, caller } => {
                let key = self.find_program(program, caller.as_ref())?;
                self.end_and_reply(request, key, ProgramState::Cancelled)
            }
        }
    }

    fn find_program(&self, program: ProgramId, caller: Option<&CallerName>) -> Result<ProgramKey> {
        let (key, entry) = self.find_entry(program).ok_or_else(|| unknown_program(false))?;
        if let Some(caller) = caller {
            check_caller(entry, caller)?;
        }
        Ok(key)
    }

    fn end_and_reply(&mut self, request: u64, key: ProgramKey, state: ProgramState) -> Result<()> {
        if self.programs.get(key).is_some_and(ProgramEntry::is_open) {
            self.end_tree(key, state);
        }
        self.reply_when_durable(request, key, false);
        Ok(())
    }

    fn open_program(&mut self, request: u64, open: OpenRequest) -> Result<()> {
        self.check_admitting(open.program.shard())?;
        if let Some((key, entry)) = self.find_entry(open.program) {
            check_reopened(entry, &open)?;
            self.reply_when_durable(request, key, false);
            return Ok(());
        }
        if self.writer.is_unavailable() {
            return Err(platform_unavailable());
        }
        let parent = open
            .parent
            .map(|parent| self.check_parent(parent, &open))
            .transpose()?;
        self.ensure_program_capacity()?;
        let budget = self.bounded_budget(open.budget, parent);
        let record = OpenedRecord {
            program: open.program,
            parent: open.parent,
            caller: open.caller,
            budget,
            is_one_call: false,
            opened: self.wall_now(),
            ceiling: self.first_ceiling(budget, parent),
        };
        self.commit(vec![JournalRecord::Opened(Box::new(record))], None);
        if let Some(key) = self.programs.find(open.program) {
            self.schedule_program(key);
            self.reply_when_durable(request, key, false);
        }
        Ok(())
    }

    fn check_parent(&self, parent: ProgramId, open: &OpenRequest) -> Result<ProgramKey> {
        if parent.shard() != open.program.shard() {
            let detail = "a child program is in its parent's shard";
            return Err(ProblemReport::not_run(ProblemCode::BadRequest, detail));
        }
        let (key, entry) = self.find_entry(parent).ok_or_else(|| unknown_program(false))?;
        check_caller(entry, &open.caller)?;
        if !entry.is_open() || entry.image.is_one_call {
            return Err(program_ended(entry.image.state));
        }
        if entry.image.budget.depth == 0 {
            return Err(exhausted());
        }
        if entry.children.len() >= MAX_CHILDREN_PER_PROGRAM {
            return Err(overloaded("the program has too many children"));
        }
        Ok(key)
    }

    fn bounded_budget(&self, budget: ProgramBudget, parent: Option<ProgramKey>) -> ProgramBudget {
        let parent = parent.and_then(|parent| self.programs.get(parent));
        let depth = parent.map_or(MAX_DEPTH, |parent| parent.image.budget.depth.saturating_sub(1));
        ProgramBudget {
            seconds: budget.seconds.min(MAX_PROGRAM_SECONDS),
            depth: budget.depth.min(depth),
            ..budget
        }
    }

    /// Returns the first block of a new program. It is reserved in the opening record, so that the first call need
    /// not wait for a record.
    fn first_ceiling(&self, budget: ProgramBudget, parent: Option<ProgramKey>) -> BudgetUse {
        let block = block_of(budget);
        parent.map_or(block, |parent| self.programs.first_child_block(parent, block))
    }

    /// Replies to the request once all records that the view reflects are durable.
    fn reply_when_durable(&mut self, request: u64, key: ProgramKey, with_history: bool) {
        let Some(entry) = self.programs.get(key) else {
            return;
        };
        let history = &entry.image.history;
        let plan = with_history.then(|| HistoryPlan {
            program: entry.image.program,
            places: history.places().collect(),
            chain: history.chain,
        });
        let effect = DurableEffect::Reply {
            request,
            view: Box::new(self.view_of(entry)),
            plan,
        };
        self.run_when_durable(entry.last_row, effect);
    }

    pub(super) fn reply(&mut self, request: u64, view: Box<ProgramView>, plan: Option<HistoryPlan>) {
        self.emit(match plan {
            Some(plan) => OwnerAction::ReadHistory { request, view, plan },
            None => OwnerAction::Reply {
                request,
                result: Ok(view),
            },
        });
    }

    fn view_of(&self, entry: &ProgramEntry) -> ProgramView {
        let children = entry
            .children
            .iter()
            .filter_map(|&child| self.programs.get(child));
        ProgramView {
            program: entry.image.program,
            parent: entry.image.parent,
            state: entry.image.state.as_str().to_owned(),
            turns: entry.image.history.turn_count(),
            budget: entry.image.budget,
            used: entry.account.subtree_spent,
            open_children: children
                .filter(|child| child.is_open())
                .map(|child| child.image.program)
                .collect(),
            history: None,
        }
    }
}

/// Accepts a repeated request to open a program, which a caller sends after it lost the reply. A request with another
/// caller or parent, or for an ended program, is refused.
fn check_reopened(entry: &ProgramEntry, open: &OpenRequest) -> Result<()> {
    check_caller(entry, &open.caller)?;
    if entry.is_open() && entry.image.parent == open.parent && !entry.image.is_one_call {
        Ok(())
    } else {
        Err(program_ended(entry.image.state))
    }
}
