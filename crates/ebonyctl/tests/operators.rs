//! Tests configuration changes by operators, with real daemon and `ebonyctl` processes.
//!
//! The tests start this executable as the daemon, so it has a custom `main`.

mod operators_support;

use std::process::ExitCode;
use std::time::Instant;

use ebony_config::history::{CHECKPOINT_INTERVAL, MAX_HISTORY_ROWS};
use ebony_standins::OutageMode;
use operators_support::{CtlProcess, OperatorFleet, run_tests};
use serde_json::{Value, json};

fn main() -> ExitCode {
    if let Some(code) = ebonyswitch::run_as_daemon() {
        return code;
    }
    run_tests(&[
        ("ten_operators_race", |fleet| Box::pin(ten_operators_race(fleet))),
        ("a_replaced_entry_learns_from_its_peers", |fleet| {
            Box::pin(a_replaced_entry_learns_from_its_peers(fleet))
        }),
        ("a_stale_table_takes_no_process_back", |fleet| {
            Box::pin(a_stale_table_takes_no_process_back(fleet))
        }),
        ("a_change_in_an_outage_has_no_effect", |fleet| {
            Box::pin(a_change_in_an_outage_has_no_effect(fleet))
        }),
        ("lost_answers_are_resolved_and_versions_survive", |fleet| {
            Box::pin(lost_answers_are_resolved_and_versions_survive(fleet))
        }),
        ("history_is_bounded", |fleet| Box::pin(history_is_bounded(fleet))),
        ("commands_report_their_effect", |fleet| {
            Box::pin(commands_report_their_effect(fleet))
        }),
    ])
}

const OPERATORS: u64 = 10;
const ROUNDS: u64 = 3;

/// Guards against two accepted changes to one version, rejected operators that are not told which version won, and
/// processes that keep an old version.
async fn ten_operators_race(fleet: OperatorFleet) {
    let first = fleet.version(0).await;
    for base in first..first + ROUNDS {
        let runs: Vec<CtlProcess> = (0..OPERATORS)
            .map(|operator| {
                let entry = operator as usize % fleet.entries();
                let patch = json!({"defaults": {"budget": {"calls": 100 + operator + OPERATORS * base}}});
                let expected = base.to_string();
                fleet.spawn(
                    entry,
                    &["config", "patch", "-", "--expected", &expected],
                    Some(&patch),
                )
            })
            .collect();
        let ended: Vec<_> = runs.into_iter().map(CtlProcess::wait).collect();
        let winners = ended.iter().filter(|run| run.code == 0).count();
        assert_eq!(winners, 1, "version {} has one winner: {ended:?}", base + 1);
        for run in ended.iter().filter(|run| run.code != 0) {
            assert_eq!(run.code, 3, "a loser lost by a conflict: {run:?}");
            let named = format!("the winning version is {}", base + 1);
            assert!(run.errors.contains(&named), "a loser is told the winner: {run:?}");
        }
        let winner = ended.iter().position(|run| run.code == 0).expect("one winner") as u64;
        let ended_at = Instant::now();
        fleet.wait_version(base + 1).await;
        println!(
            "version {} in force everywhere {:?} after the last answer",
            base + 1,
            ended_at.elapsed()
        );
        for entry in 0..fleet.entries() {
            let document = fleet.get(entry, "/v1/config").await;
            assert_eq!(
                document["defaults"]["budget"]["calls"],
                100 + winner + OPERATORS * base,
                "entry {entry} has the winner's change"
            );
        }
    }
    let last = (first + ROUNDS).to_string();
    let watch = fleet.run(0, &["config", "watch", "--until", &last, "--json"], None);
    assert_eq!(watch.code, 0, "{watch:?}");
    fleet.wait_reported(first + ROUNDS).await;
}

/// Guards against a new process that serves an older version than its peers do.
async fn a_replaced_entry_learns_from_its_peers(mut fleet: OperatorFleet) {
    let version = fleet.change(0, 11).await;
    fleet.wait_version(version).await;
    fleet.set_table_faults(OutageMode::Refuse).await;
    fleet.kill_and_restart_entry(2).await;
    fleet
        .wait("the replaced entry serves", async |fleet| {
            fleet.version(2).await > 0
        })
        .await;
    assert_eq!(
        fleet.version(2).await,
        version,
        "the first version served is the newest"
    );
    let document = fleet.get(2, "/v1/config").await;
    assert_eq!(document["defaults"]["budget"]["calls"], 11);
    fleet.set_table_faults(OutageMode::Off).await;
    let next = fleet.change(2, 12).await;
    assert_eq!(next, version + 1);
    fleet.wait_version(next).await;
}

/// Guards against running and starting processes that take a stale row of the table for the newest one.
async fn a_stale_table_takes_no_process_back(mut fleet: OperatorFleet) {
    fleet.set_stale_prefix(Some("config/")).await;
    let version = fleet.change(0, 21).await;
    fleet.wait_version(version).await;
    let reads = fleet.stale_reads().await;
    fleet
        .wait("every entry polls the stale row again", async |fleet| {
            fleet.stale_reads().await > reads + 3 * fleet.entries() as u64
        })
        .await;
    fleet.kill_and_restart_entry(1).await;
    fleet
        .wait("the replaced entry serves", async |fleet| {
            fleet.version(1).await > 0
        })
        .await;
    for entry in 0..fleet.entries() {
        assert_eq!(
            fleet.version(entry).await,
            version,
            "entry {entry} did not go back"
        );
    }
    fleet.set_stale_prefix(None).await;
}

/// Guards against a refused change that takes effect later or in some processes.
async fn a_change_in_an_outage_has_no_effect(fleet: OperatorFleet) {
    let version = fleet.version(0).await;
    fleet.set_table_faults(OutageMode::Refuse).await;
    let patch = json!({"defaults": {"budget": {"calls": 31}}});
    let run = fleet.run(0, &["config", "patch", "-"], Some(&patch));
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.errors.contains("platform_unavailable"), "{run:?}");
    fleet.set_table_faults(OutageMode::Off).await;
    let next = fleet.change(1, 32).await;
    assert_eq!(next, version + 1, "the refused change took no version");
    fleet.wait_version(next).await;
    let history = fleet.get(0, "/v1/config/history").await;
    let records = history["records"].as_array().expect("records");
    let is_refused = |record: &Value| record["patch"]["defaults"]["budget"]["calls"] == 31;
    assert!(
        !records.iter().any(is_refused),
        "the refused change left no trace: {history}"
    );
}

/// Guards against a change that is accepted twice or reported as lost when the platform's replies are lost, and against
/// stored versions that a fleet cannot read after all its processes were replaced.
async fn lost_answers_are_resolved_and_versions_survive(mut fleet: OperatorFleet) {
    let version = fleet.version(0).await;
    // All processes write to the table, so more replies are lost than the change alone receives.
    fleet.lose_table_answers(12).await;
    let next = fleet.change(0, 41).await;
    assert_eq!(next, version + 1, "the change was accepted once");
    let last = fleet.change(0, 42).await;
    assert_eq!(last, next + 1);
    for entry in 0..fleet.entries() {
        fleet.kill_entry(entry).await;
    }
    for entry in 0..fleet.entries() {
        fleet.kill_and_restart_entry(entry).await;
    }
    fleet.wait_version(last).await;
    for entry in 0..fleet.entries() {
        let document = fleet.get(entry, "/v1/config").await;
        assert_eq!(document["version"], last);
        assert_eq!(document["defaults"]["budget"]["calls"], 42);
    }
    let older = fleet.get(0, &format!("/v1/config?version={next}")).await;
    assert_eq!(older["defaults"]["budget"]["calls"], 41);
    let next = next.to_string();
    let run = fleet.run(0, &["config", "revert", &next, "--json"], None);
    assert_eq!(run.json()["version"], last + 1, "{run:?}");
    let reverted = fleet.get(0, "/v1/config").await;
    assert_eq!(reverted["defaults"]["budget"]["calls"], 41);
}

/// Guards against unbounded history rows and checkpoints, and against the deletion of checkpoints that a row in the
/// history still needs.
async fn history_is_bounded(fleet: OperatorFleet) {
    let changes = MAX_HISTORY_ROWS + 2 * CHECKPOINT_INTERVAL;
    let before = fleet.stored().await;
    for base in 1..=changes {
        fleet.change_directly(base, 100 + base).await;
    }
    let after = fleet.stored().await;
    // Pruning runs with every sixteenth version.
    let most_rows = before.rows + MAX_HISTORY_ROWS + 32;
    assert!(after.rows <= most_rows, "{before:?} {after:?}");
    let most_objects = MAX_HISTORY_ROWS / CHECKPOINT_INTERVAL + 3;
    assert!(
        after.objects <= before.objects + most_objects,
        "{before:?} {after:?}"
    );
    let newest = changes + 1;
    let oldest = newest + 2 * CHECKPOINT_INTERVAL - MAX_HISTORY_ROWS;
    let document = fleet.get(0, &format!("/v1/config?version={oldest}")).await;
    assert_eq!(document["defaults"]["budget"]["calls"], 100 + oldest - 1);
    fleet.wait_version(newest).await;
}

/// Guards against commands that succeed without taking effect, and against exceptions without a reason.
async fn commands_report_their_effect(fleet: OperatorFleet) {
    let base = [
        "exceptions",
        "add",
        "kalo-queue",
        "--model",
        "kalo",
        "--set",
        "admission.queue_calls=32",
    ];
    let mut blank = base.to_vec();
    blank.extend(["--reason", "  "]);
    let run = fleet.run(0, &blank, None);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.errors.contains("exceptions.kalo-queue.reason"), "{run:?}");
    assert_eq!(
        fleet.run(0, &base, None).code,
        2,
        "the reason is a required argument"
    );

    let mut reasoned = base.to_vec();
    reasoned.extend(["--reason", "slow start"]);
    let run = fleet.run(0, &reasoned, None);
    assert_eq!(run.code, 0, "{run:?}");
    let list: Value = fleet.run(1, &["exceptions", "list", "--json"], None).json();
    // The second entry may receive the change slightly later.
    let list = if list.as_object().is_some_and(|list| list.is_empty()) {
        fleet.wait_version(fleet.version(0).await).await;
        fleet.run(1, &["exceptions", "list", "--json"], None).json()
    } else {
        list
    };
    assert_eq!(list["kalo-queue"]["reason"], "slow start");
    assert_eq!(list["kalo-queue"]["author"], "operator");

    let run = fleet.run(0, &["exceptions", "remove", "kalo-queue"], None);
    assert_eq!(run.code, 0, "{run:?}");
    let run = fleet.run(0, &["config", "revert", "1", "--summary", "as it was"], None);
    assert_eq!(run.code, 6, "the content is that of version 1 already: {run:?}");
    let run = fleet.run(0, &["config", "history"], None);
    assert!(run.output.contains("first configuration"), "{run:?}");

    let program = fleet.open_program().await;
    let run = fleet.run(0, &["programs", "cancel", &program, "--json"], None);
    assert_eq!(run.json()["state"], "cancelled", "{run:?}");
    let run = fleet.run(0, &["programs", "show", "p-0000-00"], None);
    assert_eq!(run.code, 5, "{run:?}");
    let run = fleet.run_with_key("no-such-key", &["targets", "list"]);
    assert_eq!(run.code, 4, "{run:?}");
    let objective = json!({"objectives": {"set": {"shops": {"availability": 0.9}}}});
    let run = fleet.run(0, &["config", "patch", "-"], Some(&objective));
    assert_eq!(run.code, 0, "{run:?}");
    let burn = fleet.get(0, "/v1/burn/snapshot").await;
    let exception = &burn["catalog"]["exceptions"][0];
    assert_eq!(
        exception["key"]["group"], "shops",
        "the objective is measured: {burn}"
    );
    assert_eq!(exception["objectives"]["kept_promises_ppm"], 900_000);
    let page = tempfile::NamedTempFile::new().expect("a file");
    let path = page.path().to_str().expect("a text");
    let run = fleet.run_all(&["report", "burn", "--json", "--html", path]);
    let html = std::fs::read_to_string(path).expect("the page is written");
    assert!(html.starts_with("<!DOCTYPE html>"), "{html}");
    assert!(run.json()["groups"].is_array(), "{run:?}");
}
