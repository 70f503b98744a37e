//! Operators change the configuration of real processes with real `ebonyctl` processes.
//!
//! This executable is the daemon of the fleets that it starts, and so it has a `main` of its own.

mod operators_support;

use std::process::ExitCode;
use std::time::Instant;

use ebony_config::history::{CHECKPOINT_INTERVAL, MAX_HISTORY_ROWS};
use ebony_standins::OutageMode;
use operators_support::{Bench, CtlRun, run_cases};
use serde_json::{Value, json};

fn main() -> ExitCode {
    if let Some(code) = ebonyswitch::run_as_daemon() {
        return code;
    }
    run_cases(&[
        ("ten_operators_race", |bench| Box::pin(ten_operators_race(bench))),
        ("a_replaced_entry_learns_from_its_peers", |bench| {
            Box::pin(a_replaced_entry_learns_from_its_peers(bench))
        }),
        ("a_stale_table_takes_no_process_back", |bench| {
            Box::pin(a_stale_table_takes_no_process_back(bench))
        }),
        ("a_change_in_an_outage_is_refused_whole", |bench| {
            Box::pin(a_change_in_an_outage_is_refused_whole(bench))
        }),
        ("lost_answers_are_resolved_and_versions_survive", |bench| {
            Box::pin(lost_answers_are_resolved_and_versions_survive(bench))
        }),
        ("history_is_bounded", |bench| Box::pin(history_is_bounded(bench))),
        ("commands_say_what_they_did", |bench| {
            Box::pin(commands_say_what_they_did(bench))
        }),
    ])
}

const OPERATORS: u64 = 10;
const ROUNDS: u64 = 3;

/// Guards against two winners of one version, losers that are not told the winner, and processes that stay behind.
async fn ten_operators_race(bench: Bench) {
    let first = bench.version(0).await;
    for base in first..first + ROUNDS {
        let runs: Vec<CtlRun> = (0..OPERATORS)
            .map(|operator| {
                let entry = operator as usize % bench.entries();
                let patch = json!({"defaults": {"budget": {"calls": 100 + operator + OPERATORS * base}}});
                let expected = base.to_string();
                bench.spawn(
                    entry,
                    &["config", "patch", "-", "--expected", &expected],
                    Some(&patch),
                )
            })
            .collect();
        let ended: Vec<_> = runs.into_iter().map(CtlRun::wait).collect();
        let winners = ended.iter().filter(|run| run.code == 0).count();
        assert_eq!(winners, 1, "version {} has one winner: {ended:?}", base + 1);
        for run in ended.iter().filter(|run| run.code != 0) {
            assert_eq!(run.code, 3, "a loser lost by a conflict: {run:?}");
            let named = format!("the winning version is {}", base + 1);
            assert!(run.errors.contains(&named), "a loser is told the winner: {run:?}");
        }
        let winner = ended.iter().position(|run| run.code == 0).expect("one winner") as u64;
        let ended_at = Instant::now();
        bench.wait_version(base + 1).await;
        println!(
            "version {} in force everywhere {:?} after the last answer",
            base + 1,
            ended_at.elapsed()
        );
        for entry in 0..bench.entries() {
            let document = bench.get(entry, "/v1/config").await;
            assert_eq!(
                document["defaults"]["budget"]["calls"],
                100 + winner + OPERATORS * base,
                "entry {entry} has the winner's change"
            );
        }
    }
    let last = (first + ROUNDS).to_string();
    let watch = bench.run(0, &["config", "watch", "--until", &last, "--json"], None);
    assert_eq!(watch.code, 0, "{watch:?}");
    bench.wait_reported(first + ROUNDS).await;
}

/// Guards against a new process that serves a version older than the one in force at its peers.
async fn a_replaced_entry_learns_from_its_peers(mut bench: Bench) {
    let version = bench.change(0, 11).await;
    bench.wait_version(version).await;
    bench.set_table_faults(OutageMode::Refuse).await;
    bench.replace_entry(2).await;
    bench
        .wait("the replaced entry serves", async |bench| {
            bench.version(2).await > 0
        })
        .await;
    assert_eq!(
        bench.version(2).await,
        version,
        "the first version served is the newest"
    );
    let document = bench.get(2, "/v1/config").await;
    assert_eq!(document["defaults"]["budget"]["calls"], 11);
    bench.set_table_faults(OutageMode::Off).await;
    let next = bench.change(2, 12).await;
    assert_eq!(next, version + 1);
    bench.wait_version(next).await;
}

/// Guards against an old row that is taken for the newest, by running processes and by one that starts.
async fn a_stale_table_takes_no_process_back(mut bench: Bench) {
    bench.set_stale_prefix(Some("config/")).await;
    let version = bench.change(0, 21).await;
    bench.wait_version(version).await;
    let reads = bench.stale_reads().await;
    bench
        .wait("every entry polls the stale row again", async |bench| {
            bench.stale_reads().await > reads + 3 * bench.entries() as u64
        })
        .await;
    bench.replace_entry(1).await;
    bench
        .wait("the replaced entry serves", async |bench| {
            bench.version(1).await > 0
        })
        .await;
    for entry in 0..bench.entries() {
        assert_eq!(
            bench.version(entry).await,
            version,
            "entry {entry} did not go back"
        );
    }
    bench.set_stale_prefix(None).await;
}

/// Guards against a change that is refused and takes effect later, or in some processes only.
async fn a_change_in_an_outage_is_refused_whole(bench: Bench) {
    let version = bench.version(0).await;
    bench.set_table_faults(OutageMode::Refuse).await;
    let patch = json!({"defaults": {"budget": {"calls": 31}}});
    let run = bench.run(0, &["config", "patch", "-"], Some(&patch));
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.errors.contains("platform_unavailable"), "{run:?}");
    bench.set_table_faults(OutageMode::Off).await;
    let next = bench.change(1, 32).await;
    assert_eq!(next, version + 1, "the refused change took no version");
    bench.wait_version(next).await;
    let history = bench.get(0, "/v1/config/history").await;
    let records = history["records"].as_array().expect("records");
    let is_refused = |record: &Value| record["patch"]["defaults"]["budget"]["calls"] == 31;
    assert!(
        !records.iter().any(is_refused),
        "the refused change left no trace: {history}"
    );
}

/// Guards against a change that is accepted twice or reported as lost when the platform's answers are lost, and against
/// stored versions that a fleet without memory can't read.
async fn lost_answers_are_resolved_and_versions_survive(mut bench: Bench) {
    let version = bench.version(0).await;
    // All processes write to the table, and so more answers are lost than the change has.
    bench.lose_table_answers(12).await;
    let next = bench.change(0, 41).await;
    assert_eq!(next, version + 1, "the change was accepted once");
    let last = bench.change(0, 42).await;
    assert_eq!(last, next + 1);
    for entry in 0..bench.entries() {
        bench.kill_entry(entry).await;
    }
    for entry in 0..bench.entries() {
        bench.replace_entry(entry).await;
    }
    bench.wait_version(last).await;
    for entry in 0..bench.entries() {
        let document = bench.get(entry, "/v1/config").await;
        assert_eq!(document["version"], last);
        assert_eq!(document["defaults"]["budget"]["calls"], 42);
    }
    let older = bench.get(0, &format!("/v1/config?version={next}")).await;
    assert_eq!(older["defaults"]["budget"]["calls"], 41);
    let next = next.to_string();
    let run = bench.run(0, &["config", "revert", &next, "--json"], None);
    assert_eq!(run.json()["version"], last + 1, "{run:?}");
    let reverted = bench.get(0, "/v1/config").await;
    assert_eq!(reverted["defaults"]["budget"]["calls"], 41);
}

/// Guards against history rows and checkpoints that pile up, and against checkpoints that are deleted while a row in
/// history needs them.
async fn history_is_bounded(bench: Bench) {
    let changes = MAX_HISTORY_ROWS + 2 * CHECKPOINT_INTERVAL;
    let before = bench.stored().await;
    for base in 1..=changes {
        bench.change_directly(base, 100 + base).await;
    }
    let after = bench.stored().await;
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
    let document = bench.get(0, &format!("/v1/config?version={oldest}")).await;
    assert_eq!(document["defaults"]["budget"]["calls"], 100 + oldest - 1);
    bench.wait_version(newest).await;
}

/// Guards against commands that succeed without an effect, and against exceptions without a reason.
async fn commands_say_what_they_did(bench: Bench) {
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
    let run = bench.run(0, &blank, None);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.errors.contains("exceptions.kalo-queue.reason"), "{run:?}");
    assert_eq!(
        bench.run(0, &base, None).code,
        2,
        "the reason is a required argument"
    );

    let mut reasoned = base.to_vec();
    reasoned.extend(["--reason", "slow start"]);
    let run = bench.run(0, &reasoned, None);
    assert_eq!(run.code, 0, "{run:?}");
    let list: Value = bench.run(1, &["exceptions", "list", "--json"], None).json();
    // The second entry may hear of it a moment later.
    let list = if list.as_object().is_some_and(|list| list.is_empty()) {
        bench.wait_version(bench.version(0).await).await;
        bench.run(1, &["exceptions", "list", "--json"], None).json()
    } else {
        list
    };
    assert_eq!(list["kalo-queue"]["reason"], "slow start");
    assert_eq!(list["kalo-queue"]["author"], "operator");

    let run = bench.run(0, &["exceptions", "remove", "kalo-queue"], None);
    assert_eq!(run.code, 0, "{run:?}");
    let run = bench.run(0, &["config", "revert", "1", "--summary", "as it was"], None);
    assert_eq!(run.code, 6, "the content is that of version 1 already: {run:?}");
    let run = bench.run(0, &["config", "history"], None);
    assert!(run.output.contains("first configuration"), "{run:?}");

    let program = bench.open_program().await;
    let run = bench.run(0, &["programs", "cancel", &program, "--json"], None);
    assert_eq!(run.json()["state"], "cancelled", "{run:?}");
    let run = bench.run(0, &["programs", "show", "p-0000-00"], None);
    assert_eq!(run.code, 5, "{run:?}");
    let run = bench.run_with_key("no-such-key", &["targets", "list"]);
    assert_eq!(run.code, 4, "{run:?}");
    let objective = json!({"objectives": {"set": {"shops": {"availability": 0.9}}}});
    let run = bench.run(0, &["config", "patch", "-"], Some(&objective));
    assert_eq!(run.code, 0, "{run:?}");
    let burn = bench.get(0, "/v1/burn/snapshot").await;
    let exception = &burn["catalog"]["exceptions"][0];
    assert_eq!(
        exception["key"]["group"], "shops",
        "the objective is measured: {burn}"
    );
    assert_eq!(exception["objectives"]["kept_promises_ppm"], 900_000);
    let page = tempfile::NamedTempFile::new().expect("a file");
    let path = page.path().to_str().expect("a text");
    let run = bench.run_all(&["report", "burn", "--json", "--html", path]);
    let html = std::fs::read_to_string(path).expect("the page is written");
    assert!(html.starts_with("<!DOCTYPE html>"), "{html}");
    assert!(run.json()["groups"].is_array(), "{run:?}");
}
