//! Tests `ebonyctl explain` on given logs, without running processes.

use ebonyctl::command::{ControlCommand, ControlTopic};
use ebonyctl::error::ControlError;
use ebonyctl::run::{LogTimeline, explain_command};

use clap::Parser;

const FIRST_LOG: &str = r#"
collector 12:00 {"ts":"2026-01-01T00:00:00Z","process":"g-1","msg":"configuration in force","version":3}
{"ts":"2026-01-01T00:00:01Z","process":"g-1","msg":"configuration in force","version":5}
{"ts":"2026-01-01T00:00:02Z","process":"g-1","msg":"tokens granted","program":"p1","tokens":500,"left":100}
{"ts":"2026-01-01T00:00:03Z","process":"g-1","msg":"call ended","call":"c1","program":"p1","outcome":"answered","attempts":"i-1:not_run i-2:answered","detail":""}
{"ts":"2026-01-01T00:00:04Z","process":"g-1","msg":"lines were left out","lines":12}
{"ts":"2026-01-01T00:00:09Z","process":"g-1","msg":"the store is back"}
torn {"ts":"2026-01-01T00
"#;

const SECOND_LOG: &str = r#"
{"ts":"2026-01-01T00:00:04Z","process":"g-2","msg":"the store does not answer","table":"op"}
{"ts":"2026-01-01T00:00:05Z","process":"g-2","msg":"call ended","call":"c2","program":"p1","outcome":"refused","detail":"tokens_spent","run":"not_run"}
{"ts":"2026-01-01T00:00:06Z","process":"g-2","msg":"call ended","call":"c3","program":"p2","outcome":"answered"}
{"ts":"2026-01-01T00:00:04Z","process":"g-3","msg":"the store does not answer","table":"op"}
"#;

/// Guards against lines out of order, missing state messages, and missing lines that are not reported.
#[test]
fn a_program_is_explained_across_processes() {
    insta::assert_snapshot!(LogTimeline::read("p1", [SECOND_LOG, FIRST_LOG]).to_text());
}

#[test]
fn a_call_is_explained_without_its_program() {
    insta::assert_snapshot!(LogTimeline::read("c2", [FIRST_LOG, SECOND_LOG]).to_text());
}

#[test]
fn files_are_read_and_unknown_names_are_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("g-2.log");
    std::fs::write(&file, SECOND_LOG).expect("a file");
    let explain = |id: &str| {
        let line = ["ebonyctl", "explain", id, file.to_str().expect("a text")];
        let command = ControlCommand::try_parse_from(line).expect("the arguments are right");
        match command.topic {
            ControlTopic::Explain(arguments) => explain_command(&arguments),
            topic => panic!("{topic:?}"),
        }
    };
    assert!(
        explain("c3")
            .expect("the call is there")
            .contains("outcome=answered")
    );
    assert!(matches!(explain("c9"), Err(ControlError::Usage(_))));
}

/// Guards against later turns of a conversation that cannot be found from the turn that they continue.
#[test]
fn a_turn_is_explained_with_the_turns_that_continue_it() {
    let log = r#"
{"ts":"2026-01-01T00:00:01Z","process":"g-1","msg":"call ended","call":"t1","outcome":"broken_off","detail":"deadline_passed"}
{"ts":"2026-01-01T00:00:02Z","process":"g-2","msg":"call ended","call":"t2","previous":"t1","outcome":"refused","detail":"unknown_turn"}
{"ts":"2026-01-01T00:00:03Z","process":"g-2","msg":"call ended","call":"t3","previous":"t0","outcome":"answered"}
"#;
    insta::assert_snapshot!(LogTimeline::read("t1", [log]).to_text());
}

#[test]
fn a_refused_call_shows_the_limits_of_the_targets_that_it_passed_over() {
    let log = r#"
{"ts":"1","process":"g-1","msg":"limit of a target changed","target":"e-1","change":"begun","rate":2.5,"source":"answer"}
{"ts":"2","process":"g-1","msg":"limit of a target changed","target":"e-2","change":"begun","rate":4,"source":"peer"}
{"ts":"3","process":"g-1","msg":"limit of a target changed","target":"e-1","change":"changed","rate":1,"before":2.5}
{"ts":"4","process":"g-1","msg":"limit of a target changed","target":"e-9","change":"begun","rate":8,"source":"peer"}
{"ts":"5","process":"g-1","msg":"call ended","call":"c1","denied_permits":"e-1:700 e-2:210","outcome":"refused"}
"#;
    insta::assert_snapshot!(LogTimeline::read("c1", [log.trim()]).to_text());
}

/// Guards against refused calls of customers whose line does not show what decided, and in which configuration.
#[test]
fn refused_calls_show_their_customer_their_credential_and_the_configuration() {
    let log = r#"
{"ts":"1","process":"g-1","msg":"configuration in force","version":3,"customers":2}
{"ts":"2","process":"g-1","msg":"some customers are not configured as written","version":4,"faults":1,"places":"shared_key at lali, derua"}
{"ts":"2","process":"g-1","msg":"configuration in force","version":4,"customers":2}
{"ts":"3","process":"g-1","msg":"call ended","call":"c1","route":"look","routing_version":4,"credential":"shared_key","outcome":"refused","detail":"unauthorized: the route requires a known API key","run":"not_run"}
{"ts":"4","process":"g-1","msg":"call ended","call":"c2","program":"c1","route":"talk","routing_version":4,"customer":"lali","previous":"t1","previous_error":"the turn of this name belongs to another customer","outcome":"refused","detail":"unknown_turn: the previous turn was not kept","run":"not_run"}
{"ts":"5","process":"g-1","msg":"call ended","call":"c3","program":"c1","route":"","routing_version":4,"outcome":"refused","detail":"not_found: no route for the host and path","run":"not_run"}
"#;
    insta::assert_snapshot!(LogTimeline::read("c1", [log.trim()]).to_text());
}
