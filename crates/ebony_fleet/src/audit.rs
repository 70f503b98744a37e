//! Compares what callers were told with what the stand-ins ran and what the histories hold.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ebony_types::ProgramId;
use serde_json::Value;

use crate::workload::{CallerNews, OrderLog, PlanEnding, ProgramLog};

/// The most violations that are kept as text for each invariant.
const MAX_EXAMPLES: usize = 5;

/// The checks of one invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantCount {
    /// Checks that were made.
    pub checks: u64,
    /// Checks that failed.
    pub violations: u64,
    /// Some of the failures.
    pub examples: Vec<String>,
}

/// The checks of all invariants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditReport {
    counts: BTreeMap<&'static str, InvariantCount>,
}

impl AuditReport {
    /// Adds a check.
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

    /// Returns the checks by invariant.
    pub fn counts(&self) -> &BTreeMap<&'static str, InvariantCount> {
        &self.counts
    }

    /// Returns the number of failed checks.
    pub fn violations(&self) -> u64 {
        self.counts.values().map(|count| count.violations).sum()
    }

    /// Returns the number of checks of an invariant.
    pub fn checks(&self, invariant: &str) -> u64 {
        self.counts.get(invariant).map_or(0, |count| count.checks)
    }

    /// Checks what a caller was told of its non-idempotent calls against the runs of the services.
    pub fn audit_orders(&mut self, log: &ProgramLog, runs: &BTreeMap<String, u32>) {
        for order in &log.orders {
            let count = runs.get(&order.key).copied().unwrap_or(0);
            self.check("once", count <= 1, || format!("{} ran {count} times", order.key));
            self.audit_order(order, count);
        }
    }

    fn audit_order(&mut self, order: &OrderLog, count: u32) {
        let is_whole = order.attempts.contains(&CallerNews::Whole);
        if is_whole {
            self.check("answer", count == 1, || {
                format!("{} was answered and ran {count} times", order.key)
            });
        }
        if order.attempts.iter().all(CallerNews::says_not_run) {
            self.check("not-run", count == 0, || {
                format!("{} was refused as not run and ran", order.key)
            });
        }
        for news in &order.attempts {
            let is_own = !matches!(news, CallerNews::Wrong(_));
            self.check("answer", is_own, || format!("{}: {news:?}", order.key));
        }
    }

    /// Checks what a caller was told of its model calls against the runs of the engines, by digest of the messages.
    pub fn audit_turns(&mut self, log: &ProgramLog, runs: &BTreeMap<String, u32>) {
        for turn in &log.turns {
            let count = runs.get(&turn.digest).copied().unwrap_or(0);
            if turn.news == CallerNews::Whole {
                self.check("answer", count >= 1, || {
                    format!("{} was answered and ran {count} times", turn.prompt)
                });
            }
            if turn.news.says_not_run() {
                self.check("not-run", count == 0, || {
                    format!(
                        "{} was refused as {:?} and ran {count} times",
                        turn.prompt, turn.news
                    )
                });
            }
        }
    }

    /// Checks what a caller was told of its model calls against the program's history.
    pub fn audit_history(&mut self, log: &ProgramLog, view: &Value) {
        let label = &log.plan.label;
        let recorded = prompts_of(view);
        for turn in &log.turns {
            let is_own = !matches!(turn.news, CallerNews::Wrong(_));
            self.check("answer", is_own, || format!("{}: {:?}", turn.prompt, turn.news));
            let is_recorded = recorded.contains(&turn.prompt);
            if turn.news == CallerNews::Whole {
                self.check("history", is_recorded, || {
                    format!("{} is not in the history", turn.prompt)
                });
            }
            if turn.news.says_not_run() {
                self.check("not-run", !is_recorded, || {
                    format!("{} was not run, but is in the history", turn.prompt)
                });
            }
        }
        let own = format!("{label}/");
        let foreign = recorded.iter().find(|prompt| !prompt.starts_with(&own));
        self.check("history", foreign.is_none(), || {
            format!("{label} has {foreign:?}")
        });
        self.audit_order_of(label, &recorded);
        let used = view["used"]["calls"].as_u64().unwrap_or(0);
        let limit = u64::from(log.plan.budget_calls);
        self.check("budget", used <= limit, || {
            format!("{label} used {used} of {limit} calls")
        });
        let least = recorded.len() as u64;
        self.check("budget", used >= least, || {
            format!("{label} made {least} calls and paid for {used}")
        });
    }

    /// Checks that a program has ended as its caller was told.
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

    /// Checks that prompts are recorded once each, in the order in which they were sent.
    fn audit_order_of(&mut self, label: &str, recorded: &[String]) {
        let positions: Vec<(u32, u32)> = recorded.iter().filter_map(|prompt| position(prompt)).collect();
        let is_sorted = positions.windows(2).all(|pair| pair[0] < pair[1]);
        self.check("order", is_sorted, || format!("{label}: {recorded:?}"));
    }

    /// Checks that no two programs share an identifier.
    pub fn audit_programs(&mut self, programs: &[ProgramId]) {
        let unique: BTreeSet<&ProgramId> = programs.iter().collect();
        self.check("history", unique.len() == programs.len(), || {
            "two programs share an identifier".to_owned()
        });
    }
}

/// Returns the last user prompt of each model turn.
fn prompts_of(view: &Value) -> Vec<String> {
    let turns = view["history"].as_array().map(Vec::as_slice).unwrap_or_default();
    turns.iter().filter_map(last_prompt).collect()
}

fn last_prompt(turn: &Value) -> Option<String> {
    let messages = turn["messages"].as_array()?;
    Some(messages.last()?["content"].as_str()?.to_owned())
}

fn position(prompt: &str) -> Option<(u32, u32)> {
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
