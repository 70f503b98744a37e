//! Checks the results that callers and operators received against what happened in the fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use bytes::Bytes;
use ebony_fleet::{AuditReport, CallerOutcome, PlanEnding, ProgramLog, RunningFleet};

use crate::injector::{FaultInjector, StopRecord};
use crate::operators::{ConfigLog, SharedLog, change_turn_limit, read_version};
use crate::schedule::ENGINE_COUNT;

/// Bounds the wait for engines to release the tokens that they hold for ended programs.
const MEMORY_RELEASE_TIMEOUT: Duration = Duration::from_secs(20);

/// The time within which an accepted configuration must be in force in all processes.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time after the end of an unplanned fault in which it may still break an answer: the timeout after which a silent
/// link counts as lost, and a margin.
const FAULT_EFFECT_TIME: Duration = Duration::from_secs(3);

/// Attempts to make the last configuration change.
const MAX_CHANGE_ATTEMPTS: u32 = 20;

/// Records read from the configuration history; a run makes fewer changes.
const MAX_HISTORY_RECORDS: u32 = 200;

/// Checks all invariants after a run.
///
/// # Errors
///
/// Fails if a stand-in or an entry does not answer.
pub(crate) async fn audit(
    fleet: &RunningFleet,
    logs: &[ProgramLog],
    injector: &FaultInjector,
    config: &SharedLog,
) -> Result<AuditReport> {
    let mut report = fleet.audit(logs).await?;
    audit_program_ends(&mut report, logs);
    audit_stops(&mut report, fleet, injector);
    audit_drain(&mut report, logs, injector);
    audit_memory(&mut report, fleet).await?;
    audit_last_change(&mut report, config).await?;
    let summaries = read_history(config).await?;
    audit_config(&mut report, &config.borrow(), &summaries);
    Ok(report)
}

/// Checks that each program completed all its steps and ended, once all faults are over.
fn audit_program_ends(report: &mut AuditReport, logs: &[ProgramLog]) {
    for log in logs {
        let label = &log.plan.label;
        let is_done = log.is_complete || log.plan.ending == PlanEnding::Exhaust;
        report.check("load", is_done && log.is_ended, || {
            let turn = log.turns.last();
            let order = log.orders.last().map(|order| (&order.key, order.attempts.last()));
            let (program, is_ended) = (log.program, log.is_ended);
            format!("{label} {program:?}: ended {is_ended}, last turn {turn:?}, last order {order:?}")
        });
    }
}

fn audit_stops(report: &mut AuditReport, fleet: &RunningFleet, injector: &FaultInjector) {
    for stop in &injector.stops {
        let name = fleet.name_of(stop.place);
        let at = stop.began.duration_since(injector.started);
        report.check("drain", stop.is_clean, || {
            format!("{name} did not stop as planned after {at:?}")
        });
        if let (Some(before), Some(after)) = (stop.runs_at_leaving_timeout, stop.runs_at_replacement) {
            report.check("leaving", before == after, || {
                format!(
                    "{name} is leaving since {at:?} and began {} late runs",
                    after - before
                )
            });
        }
    }
}

/// Checks that no answer was interrupted during a planned stop, unless another fault may have interrupted it.
fn audit_drain(report: &mut AuditReport, logs: &[ProgramLog], injector: &FaultInjector) {
    for log in logs {
        let cancelled = format!("{}/{}/", log.plan.label, log.plan.turns);
        let turns = log
            .turns
            .iter()
            .filter(|turn| !turn.prompt.starts_with(&cancelled));
        for turn in turns {
            audit_attempt(
                report,
                injector,
                &turn.prompt,
                &turn.news,
                (turn.began, turn.told),
            );
        }
        for order in &log.orders {
            for (outcome, times) in order.attempts.iter().zip(&order.times) {
                audit_attempt(report, injector, &order.key, outcome, *times);
            }
        }
    }
}

fn audit_attempt(
    report: &mut AuditReport,
    injector: &FaultInjector,
    what: &str,
    outcome: &CallerOutcome,
    (began, told): (Instant, Instant),
) {
    let overlaps = |stop: &&StopRecord| began <= stop.ended.unwrap_or(told) && stop.began <= told;
    let Some(stop) = injector.stops.iter().find(overlaps) else {
        return;
    };
    let faults = injector.faults.iter().filter(|fault| !fault.kind.is_planned());
    let mut fault_spans = faults.map(|fault| (fault.began, fault.ended.unwrap_or(told) + FAULT_EFFECT_TIME));
    if fault_spans.any(|(start, end)| began <= end && start <= told) {
        return;
    }
    let is_whole = *outcome == CallerOutcome::Whole || outcome.is_not_run();
    report.check("drain", is_whole, || {
        let start = began.duration_since(injector.started);
        let end = told.duration_since(injector.started);
        format!(
            "{what} from {start:?} to {end:?} during the stop of {:?}: {outcome:?}",
            stop.place
        )
    });
}

async fn audit_memory(report: &mut AuditReport, fleet: &RunningFleet) -> Result<()> {
    let deadline = Instant::now() + MEMORY_RELEASE_TIMEOUT;
    for index in 0..ENGINE_COUNT {
        let engine = fleet.engine(index)?;
        let mut held = engine.stats().await?.held_tokens;
        while held > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
            held = engine.stats().await?.held_tokens;
        }
        let pinned = engine.stats().await?.pinned;
        report.check("memory", held == 0, || {
            format!("engine-{index} holds {held} tokens, pinned for {pinned:?}")
        });
    }
    Ok(())
}

/// Makes a last configuration change and checks that it is in force in all processes within [`CONFIG_TIMEOUT`].
async fn audit_last_change(report: &mut AuditReport, config: &SharedLog) -> Result<()> {
    let processes = config.borrow().processes.clone();
    let mut entries = processes
        .iter()
        .filter_map(|process| process.administration)
        .cycle();
    let mut last = None;
    for number in 0..MAX_CHANGE_ATTEMPTS {
        let Some(address) = entries.next() else {
            bail!("there is no entry");
        };
        let outcome = change_turn_limit(address, format!("last-{number}"), 190).await;
        last = outcome.accepted;
        config.borrow_mut().outcomes.push(outcome);
        if last.is_some() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    report.check("config", last.is_some(), || {
        "the last change was not accepted".to_owned()
    });
    let deadline = Instant::now() + CONFIG_TIMEOUT;
    for process in &processes {
        let mut version = read_version(process).await;
        while version != last && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
            version = read_version(process).await;
        }
        report.check("config", version == last, || {
            format!("{} has version {version:?} and not {last:?}", process.name)
        });
    }
    Ok(())
}

/// Returns the summaries of accepted changes by version.
async fn read_history(config: &SharedLog) -> Result<BTreeMap<u64, String>> {
    let address = config
        .borrow()
        .processes
        .iter()
        .find_map(|process| process.administration);
    let Some(address) = address else {
        bail!("there is no entry");
    };
    let client = ebony_fleet::CallerClient::open(address, ebony_fleet::OPERATOR_KEY);
    let path = format!("/v1/config/history?limit={MAX_HISTORY_RECORDS}");
    let body = client.send("GET", &path, None, None, Bytes::new()).await?.json();
    let Some(records) = body["records"].as_array() else {
        bail!("the history can't be read: {body}");
    };
    let rows = records.iter().filter_map(|record| {
        let summary = record["summary"].as_str().unwrap_or_default();
        Some((record["version"].as_u64()?, summary.to_owned()))
    });
    Ok(rows.collect())
}

fn audit_config(report: &mut AuditReport, config: &ConfigLog, summaries: &BTreeMap<u64, String>) {
    for outcome in &config.outcomes {
        let summary = &outcome.summary;
        if let Some(version) = outcome.accepted {
            report.check("config", summaries.get(&version) == Some(summary), || {
                format!(
                    "{summary} was accepted as {version}: {:?}",
                    summaries.get(&version)
                )
            });
        }
        if outcome.is_refused {
            let is_absent = summaries.values().all(|accepted| accepted != summary);
            report.check("config", is_absent, || {
                format!("{summary} was refused and accepted")
            });
        }
    }
    for _ in 0..config.samples - config.regressions.len() as u64 {
        report.check("config", true, String::new);
    }
    for regression in &config.regressions {
        report.check("config", false, || regression.clone());
    }
}
