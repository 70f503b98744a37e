//! Compares the results that callers received with the runs of the stand-ins and with the recorded histories.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ebony_types::ProgramId;
use serde_json::Value;

use crate::workload::{CallerOutcome, OrderLog, PlanEnding, ProgramLog};

/// The maximum number of violations per invariant that are kept as text.
const MAX_EXAMPLES: usize = 5;

/// The number of checks and violations of one invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantCount {
    /// The number of checks.
    pub checks: u64,
    /// The number of failed checks.
    pub violations: u64,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
}

/// The results of an audit, by invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditReport {
    counts: BTreeMap<&'static str, InvariantCount>,
}

impl AuditReport {
    /// Records a check. `example` describes the violation if `holds` is false.
    pub fn check(&mut self, invariant: &'static str, holds: bool, example: impl FnOnce() -> String) {
        let count = self.counts.entry(invariant).or_default();
        count.checks += 1;
        if !holds {
            count.violations += 1;
            if count.examples.len() < MAX_EXAMPLES {
                count.examples.push(example());
            }
        }
    }

    /// Returns the counts by invariant.
    pub fn counts(&self) -> &BTreeMap<&'static str, InvariantCount> {
        &self.counts
    }

    /// Returns the number of failed checks of all invariants.
    pub fn violations(&self) -> u64 {
        self.counts.values().map(|count| count.violations).sum()
    }

    /// Returns the number of checks of an invariant.
    pub fn checks(&self, invariant: &str) -> u64 {
        self.counts.get(invariant).map_or(0, |count| count.checks)
    }

    /// Compares the results of a caller's non-idempotent calls with the runs of the services, by idempotency key.
    pub fn audit_orders(&mut self, log: &ProgramLog, runs: &BTreeMap<String, u32>) {
        for order in &log.orders {
            let count = runs.get(&order.key).copied().unwrap_or(0);
            self.check("once", count <= 1, || format!("{} ran {count} times", order.key));
            self.audit_order(order, count);
        }
    }

    fn audit_order(&mut self, order: &OrderLog, count: u32) {
        let is_answered = order.attempts.contains(&CallerOutcome::Whole);
        if is_answered {
            self.check("answer", count == 1, || {
                format!("{} was answered and ran {count} times", order.key)
            });
        }
        if order.attempts.iter().all(CallerOutcome::is_not_run) {
            self.check("not-run", count == 0, || {
                format!("{} was refused as not run and ran", order.key)
            });
        }
        for outcome in &order.attempts {
            let is_right = !matches!(outcome, CallerOutcome::Wrong(_));
            self.check("answer", is_right, || format!("{}: {outcome:?}", order.key));
        }
    }

    /// Compares the results of a caller's model calls with the runs of the engines, by digest of the messages.
    pub fn audit_turns(&mut self, log: &ProgramLog, runs: &BTreeMap<String, u32>) {
        for turn in &log.turns {
            let count = runs.get(&turn.digest).copied().unwrap_or(0);
            if turn.news == CallerOutcome::Whole {
                self.check("answer", count >= 1, || {
                    format!("{} was answered and ran {count} times", turn.prompt)
                });
            }
            if turn.news.is_not_run() {
                self.check("not-run", count == 0, || {
                    format!(
                        "{} was refused as {:?} and ran {count} times",
                        turn.prompt, turn.news
                    )
                });
            }
        }
    }

    /// Compares the results of a caller's model calls with the program's history.
    pub fn audit_history(&mut self, log: &ProgramLog, view: &Value) {
        let label = &log.plan.label;
        let recorded = recorded_prompts(view);
        for turn in &log.turns {
            let is_right = !matches!(turn.news, CallerOutcome::Wrong(_));
            self.check("answer", is_right, || format!("{}: {:?}", turn.prompt, turn.news));
            let is_recorded = recorded.contains(&turn.prompt);
            if turn.news == CallerOutcome::Whole {
                self.check("history", is_recorded, || {
                    format!("{} is not in the history", turn.prompt)
                });
            }
            if turn.news.is_not_run() {
                self.check("not-run", !is_recorded, || {
                    format!("{} was not run, but is in the history", turn.prompt)
                });
            }
        }
        let prefix = format!("{label}/");
        let foreign = recorded.iter().find(|prompt| !prompt.starts_with(&prefix));
        self.check("history", foreign.is_none(), || {
            format!("{label} has {foreign:?}")
        });
        self.audit_prompt_order(label, &recorded);
        let used = view["used"]["calls"].as_u64().unwrap_or(0);
        let limit = u64::from(log.plan.budget_calls);
        self.check("budget", used <= limit, || {
            format!("{label} used {used} of {limit} calls")
        });
        let recorded_calls = recorded.len() as u64;
        self.check("budget", used >= recorded_calls, || {
            format!("{label} made {recorded_calls} calls and paid for {used}")
        });
    }

    /// Checks that the state of a program matches the ending that its caller requested and was told.
    pub fn audit_ending(&mut self, log: &ProgramLog, view: &Value) {
        let label = &log.plan.label;
        let state = view["state"].as_str().unwrap_or_default();
        let expected = match log.plan.ending {
            PlanEnding::Open => return,
            PlanEnding::Finish => "finished",
            PlanEnding::Cancel => "cancelled",
            PlanEnding::Exhaust => "exhausted",
        };
        if log.plan.ending == PlanEnding::Exhaust {
            self.check("budget", log.is_exhausted, || {
                format!("{label} was not told that its budget is exhausted")
            });
        }
        if log.is_ended {
            self.check("ending", state == expected, || {
                format!("{label} is {state} and not {expected}")
            });
        }
    }

    /// Checks that each prompt is recorded once, and that prompts are in the order in which they were sent.
    fn audit_prompt_order(&mut self, label: &str, recorded: &[String]) {
        let positions: Vec<(u32, u32)> = recorded
            .iter()
            .filter_map(|prompt| prompt_position(prompt))
            .collect();
        let is_sorted = positions.windows(2).all(|pair| pair[0] < pair[1]);
        self.check("order", is_sorted, || format!("{label}: {recorded:?}"));
    }

    /// Checks that all programs have different identifiers.
    pub fn audit_programs(&mut self, programs: &[ProgramId]) {
        let unique: BTreeSet<&ProgramId> = programs.iter().collect();
        self.check("history", unique.len() == programs.len(), || {
            "two programs share an identifier".to_owned()
        });
    }
}

/// Returns the last user prompt of each model turn.
fn recorded_prompts(view: &Value) -> Vec<String> {
    let turns = view["history"].as_array().map(Vec::as_slice).unwrap_or_default();
    turns.iter().filter_map(last_prompt).collect()
}

fn last_prompt(turn: &Value) -> Option<String> {
    let messages = turn["messages"].as_array()?;
    Some(messages.last()?["content"].as_str()?.to_owned())
}

/// Returns the turn and the attempt at the end of a prompt.
fn prompt_position(prompt: &str) -> Option<(u32, u32)> {
    let mut parts = prompt.rsplit('/');
    let attempt = parts.next()?.parse().ok()?;
    let turn = parts.next()?.parse().ok()?;
    Some((turn, attempt))
}

impl fmt::Display for AuditReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:>8} {:>10}",
            "invariant", "checks", "violations"
        )?;
        for (name, count) in &self.counts {
            writeln!(
                formatter,
                "{name:<12} {:>8} {:>10}",
                count.checks, count.violations
            )?;
            for example in &count.examples {
                writeln!(formatter, "    {example}")?;
            }
        }
        Ok(())
    }
}
