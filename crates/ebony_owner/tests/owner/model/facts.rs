//! The test oracle: the actual events, against which the owners are checked.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{
    BudgetUse, CallId, FencingToken, ProblemCode, ProblemReport, ProgramBudget, ProgramId, RunVerdict,
    SessionId, ShardKey,
};

/// The outcome of a call on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Pending,
    Ran,
    NotRun,
}

/// A call as its caller sent it, and its actual outcome.
#[derive(Clone, Debug)]
pub(crate) struct CallFacts {
    pub(crate) session: SessionId,
    /// The program that the caller named.
    pub(crate) program: Option<ProgramId>,
    pub(crate) key: Option<String>,
    pub(crate) messages: Vec<String>,
    pub(crate) need: BudgetUse,
    pub(crate) run: Option<RunOutcome>,
    pub(crate) answer: Option<String>,
    /// Number of final answers that the owner gave.
    pub(crate) answers: u32,
    pub(crate) is_reported_not_run: bool,
}

/// A program as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct ProgramFacts {
    pub(crate) parent: Option<ProgramId>,
    pub(crate) budget: ProgramBudget,
    pub(crate) is_open: bool,
    pub(crate) messages: Vec<String>,
    pub(crate) finished: Vec<CallId>,
    /// Amounts that its own calls used on the target.
    pub(crate) used: BudgetUse,
}

/// A call that runs on the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetRun {
    pub(crate) call: CallId,
    pub(crate) program: ProgramId,
    pub(crate) session: SessionId,
    pub(crate) is_cancelled: bool,
}

/// The state of the target and the callers. Its methods check every guarantee that can be checked immediately.
#[derive(Debug, Default)]
pub(crate) struct ModelFacts {
    pub(crate) calls: BTreeMap<CallId, CallFacts>,
    pub(crate) programs: BTreeMap<ProgramId, ProgramFacts>,
    pub(crate) runs: Vec<TargetRun>,
    fences: BTreeMap<ShardKey, (FencingToken, SessionId)>,
    last_dispatch: BTreeMap<(SessionId, ProgramId), CallId>,
    key_calls: BTreeMap<(Option<ProgramId>, String), BTreeSet<CallId>>,
    /// Whether all work has ended, so that no key may be in use any more.
    pub(crate) is_quiescent: bool,
}

impl ModelFacts {
    fn call_mut(&mut self, call: CallId) -> &mut CallFacts {
        self.calls.get_mut(&call).expect("a call that arrived")
    }

    /// Dispatches a call to the target. Returns `false` if the side process refuses the call because of its token.
    pub(crate) fn dispatch(
        &mut self,
        session: SessionId,
        call: CallId,
        program: ProgramId,
        token: FencingToken,
    ) -> bool {
        let last = self.last_dispatch.insert((session, program), call);
        assert!(
            last.is_none_or(|last| last < call),
            "{call} is dispatched after a later call of {program}"
        );
        let is_alone = self
            .runs
            .iter()
            .all(|run| run.program != program || run.session != session || run.is_cancelled);
        assert!(is_alone, "{call} runs in parallel with another call of {program}");

        let fence = self.fences.entry(program.shard()).or_insert((token, session));
        assert!(
            fence.0 != token || fence.1 == session,
            "two sessions have the token {token:?}"
        );
        let is_accepted = fence.0 <= token;
        *fence = (*fence).max((token, session));

        let facts = self.call_mut(call);
        assert_eq!(facts.run, None, "{call} was dispatched twice");
        assert!(
            !facts.is_reported_not_run,
            "{call} was reported as not run and is dispatched"
        );
        facts.run = Some(if is_accepted {
            RunOutcome::Pending
        } else {
            RunOutcome::NotRun
        });
        if let Some(key) = facts.key.clone() {
            let scope = (facts.program, key);
            self.check_key(call, scope);
        }
        if is_accepted {
            self.runs.push(TargetRun {
                call,
                program,
                session,
                is_cancelled: false,
            });
        }
        is_accepted
    }

    fn check_key(&mut self, call: CallId, scope: (Option<ProgramId>, String)) {
        let others = self.key_calls.entry(scope).or_default();
        for other in others.iter() {
            let outcome = self.calls[other].run;
            assert_eq!(
                outcome,
                Some(RunOutcome::NotRun),
                "the key of {other} is dispatched again by {call}"
            );
        }
        others.insert(call);
    }

    /// Ends a run on the target and counts the amounts that it used.
    pub(crate) fn end_run(&mut self, index: usize, outcome: RunOutcome, used: BudgetUse) -> TargetRun {
        let run = self.runs.remove(index);
        self.call_mut(run.call).run = Some(outcome);
        if outcome == RunOutcome::Ran {
            let mut next = Some(run.program);
            if let Some(program) = self.programs.get_mut(&run.program) {
                program.used = program.used.plus(used);
            }
            while let Some((id, program)) = next.and_then(|id| Some((id, self.programs.get(&id)?))) {
                let total = self.tree_use(id);
                assert!(
                    program.budget.allows(total),
                    "{id} used {total:?} of {:?}",
                    program.budget
                );
                next = program.parent;
            }
        }
        run
    }

    /// Returns what a program and its descendants used on the target.
    pub(crate) fn tree_use(&self, id: ProgramId) -> BudgetUse {
        let children = self
            .programs
            .iter()
            .filter(|(_, program)| program.parent == Some(id));
        let own = self
            .programs
            .get(&id)
            .map(|program| program.used)
            .unwrap_or_default();
        children.fold(own, |total, (&child, _)| total.plus(self.tree_use(child)))
    }

    pub(crate) fn refuse(&mut self, call: CallId, problem: &ProblemReport) {
        assert!(
            !self.is_quiescent || problem.code != ProblemCode::KeyInUse,
            "the key of {call} is still in use although all work has ended"
        );
        let facts = self.call_mut(call);
        facts.answers += 1;
        match problem.run {
            RunVerdict::NotRun => {
                let is_true = matches!(facts.run, None | Some(RunOutcome::NotRun));
                assert!(
                    is_true,
                    "{call} is reported as not run: {problem}, {:?}",
                    facts.run
                );
                facts.is_reported_not_run = true;
            }
            RunVerdict::Ran => assert_eq!(facts.run, Some(RunOutcome::Ran), "{call}: {problem}"),
            RunVerdict::MayHaveRun => {}
        }
    }

    pub(crate) fn finish(&mut self, call: CallId, recorded: &BTreeSet<CallId>) {
        let facts = self.call_mut(call);
        // The history of a one-call program cannot be requested, and a call without a key cannot be repeated.
        let needs_record = facts.program.is_some() || facts.key.is_some();
        assert_eq!(
            recorded.contains(&call),
            needs_record,
            "{call} is finished before its record is durable, or has a record that is not needed"
        );
        facts.answers += 1;
        assert_eq!(
            facts.run,
            Some(RunOutcome::Ran),
            "{call} is finished and did not run"
        );
        let (program, messages) = (facts.program, facts.messages.clone());
        if let Some(program) = program.and_then(|program| self.programs.get_mut(&program)) {
            program.finished.push(call);
            program.messages = messages;
        }
    }

    /// Checks the stored answer that a repeated call gets.
    pub(crate) fn replay(&mut self, call: CallId, first: CallId, answer: &str) {
        let (scope, key) = (self.calls[&call].program, self.calls[&call].key.clone());
        let facts = &self.calls[&first];
        assert_eq!(
            (facts.program, &facts.key),
            (scope, &key),
            "{call} gets the answer of another key"
        );
        assert_eq!(
            facts.answer.as_deref(),
            Some(answer),
            "{call} gets another answer"
        );
        self.call_mut(call).answers += 1;
    }

    pub(crate) fn cancel_run(&mut self, call: CallId) {
        for run in self.runs.iter_mut().filter(|run| run.call == call) {
            run.is_cancelled = true;
        }
    }
}
