//! Tests the command line alone and against a mock entry.

use std::sync::{Arc, Mutex};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use clap::{CommandFactory, Parser};
use ebony_replay::{AnswerCheck, CallerKeys, OutputFormat};
use ebonyctl::command::{ControlCommand, ControlTopic};
use ebonyctl::error::ControlError;
use ebonyctl::run::{Session, replay_command, run_replay};
use ebonyctl::{event_stream::EventReader, render};
use serde_json::{Value, json};

/// Guards against options that are removed or change their meaning, which would break operators' scripts.
#[test]
fn help_covers_every_command() {
    // The width must not depend on the terminal that runs the test.
    let mut command = ControlCommand::command().term_width(100);
    command.build();
    insta::assert_snapshot!("help", command.render_long_help());
    let mut texts = Vec::new();
    for topic in command.get_subcommands_mut() {
        for action in topic.get_subcommands_mut() {
            texts.push(action.render_help().to_string());
        }
    }
    insta::assert_snapshot!("help_of_commands", texts.join("\n----\n"));
}

/// Guards against keys as command-line arguments, which every process on the host can read.
#[test]
fn wrong_arguments_are_refused() {
    let refused = [
        "ebonyctl --key secret config get",
        "ebonyctl exceptions add x --model kalo --set a.b=1",
        "ebonyctl exceptions add x --reason r --set a.b=1",
        "ebonyctl exceptions add x --model m --caller c --reason r --set a.b=1",
        "ebonyctl config watch --once --until 3",
    ];
    for line in refused {
        assert!(ControlCommand::try_parse_from(line.split(' ')).is_err(), "{line}");
    }
}

/// Guards against a replay that ignores an argument, applies the check for stand-ins to real engines, or succeeds without
/// having run.
#[actix_web::test]
async fn replay_applies_its_arguments() {
    let folder = tempfile::tempdir().expect("a folder");
    let key = folder.path().join("key");
    std::fs::write(&key, "caller-key\n").expect("a file");
    let key = key.to_str().expect("a text");
    let parse = |line: &str| {
        let command = ControlCommand::try_parse_from(line.split(' ')).expect("the arguments are right");
        let ControlTopic::Replay(arguments) = command.topic else {
            panic!("{line} is no replay");
        };
        (command.access, arguments)
    };
    let url = "http://127.0.0.1:1";
    let line = format!(
        "ebonyctl replay no.trace --entry {url} --entry {url}1 --key-file {key} --json --html a.html --complete"
    );
    let (access, arguments) = parse(&line);
    let command = replay_command(&access, &arguments).expect("the arguments are complete");
    assert_eq!(command.trace.to_str(), Some("no.trace"));
    assert_eq!(command.entries, [url.to_owned(), format!("{url}1")]);
    assert_eq!(command.keys, CallerKeys::same("caller-key"));
    assert_eq!(command.format, OutputFormat::Json);
    assert_eq!(command.html.as_deref(), Some("a.html".as_ref()));
    assert_eq!(command.check, AnswerCheck::Complete);
    let mut output = Vec::new();
    let failure = run_replay(&access, &arguments, &mut output).await;
    assert_eq!(failure.expect_err("there is no trace").exit_code(), 2);
    assert!(output.is_empty());

    let (access, arguments) = parse(&format!("ebonyctl replay no.trace --key-file {key}"));
    let failure = replay_command(&access, &arguments).expect_err("there is no entry");
    assert_eq!(failure.exit_code(), 2);
    assert!(ControlCommand::try_parse_from(["ebonyctl", "replay", "--entry", url]).is_err());
}

/// Guards against tables that lose a column or write control characters to the terminal.
#[test]
fn tables_show_all_columns_without_control_characters() {
    let document = json!({"exceptions": {"kalo-queue": {
        "scope": {"model": "kalo"}, "values": {"admission": {"queue_calls": 32}},
        "reason": "slow \u{1b}[31mstart", "author": "sela", "expires": 1_764_806_400,
    }}});
    let history = json!({"records": [
        {"version": 8, "author": "sela", "time": 1_764_720_000, "reverts": 6, "summary": ""},
        {"version": 7, "author": "tomasi", "time": 1_764_719_000, "summary": "a summary ".repeat(20)},
    ]});
    let status = json!({"newest": 8, "processes": [
        {"process": "entry-1", "version": 8, "reported_ms_ago": 12, "lag_ms": 0, "is_silent": false},
        {"process": "side-kalo-1", "version": 7, "reported_ms_ago": 11_000, "lag_ms": 900, "is_silent": true},
    ]});
    let program = json!({"id": "p-0007-00", "state": "open", "turns": 3, "used": {"calls": 4, "tokens": 90},
        "budget_left": {"calls": 6, "tokens": 10}, "open_children": []});
    let targets = json!({"targets": [{"target": "kalo-1", "host": "side-kalo-1", "domain": "suva-a",
        "state": "draining", "serves": ["kalo"], "slots": 8, "calls": 2}]});
    let tables = [
        render::exception_table(&document),
        render::history_table(&history),
        render::status_table(&status),
        render::program_table(&program),
        render::target_table(&targets),
    ];
    insta::assert_snapshot!("tables", tables.join("\n"));
}

/// Guards against events that are lost or duplicated when a chunk boundary falls inside an event.
#[test]
fn events_are_parsed_across_any_chunk_boundary() {
    let stream =
        b": still here\n\nevent: status\ndata: {\"newest\":7}\n\nevent: change\ndata: {\"to\":8}\n\n";
    for cut in 0..stream.len() {
        let mut reader = EventReader::default();
        let mut events = reader.push(&stream[..cut]);
        events.extend(reader.push(&stream[cut..]));
        let names: Vec<&str> = events.iter().map(|event| event.name.as_str()).collect();
        assert_eq!(names, ["status", "change"], "cut at {cut}");
        assert_eq!(events[1].data["to"], 8);
    }
}

/// A mock entry that records requests. It answers GET requests with status 200 and others with the given status, always
/// with the given body.
struct MockEntry {
    url: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl MockEntry {
    fn start(status: u16, answer: Value) -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&requests);
        let server = HttpServer::new(move || {
            let (requests, answer) = (Arc::clone(&shared), answer.clone());
            let handle = move |request: HttpRequest, body: web::Bytes| {
                let (requests, answer) = (Arc::clone(&requests), answer.clone());
                let status = if request.method() == "GET" { 200 } else { status };
                let key = request
                    .headers()
                    .get("authorization")
                    .and_then(|key| key.to_str().ok());
                let line = format!(
                    "{} {} {key:?} {}",
                    request.method(),
                    request.uri(),
                    body.len() > 2
                );
                requests.lock().expect("no panic").push(line);
                async move { HttpResponse::build(status.try_into().expect("a status")).json(answer) }
            };
            App::new().default_service(web::to(handle))
        });
        let server = server.workers(1).disable_signals();
        let server = server.bind("127.0.0.1:0").expect("a port");
        let url = format!("http://{}", server.addrs()[0]);
        actix_web::rt::spawn(server.run());
        Self { url, requests }
    }
}

/// Returns the URL of an unreachable entry, on a port that was just bound and released.
fn unreachable_entry() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    format!("http://{}", listener.local_addr().expect("an address"))
}

async fn run(entries: &[&str], arguments: &[&str]) -> Result<String, ControlError> {
    let folder = tempfile::tempdir().expect("a folder");
    let key = folder.path().join("key");
    std::fs::write(&key, "operator-key\n").expect("a file");
    let key = key.to_str().expect("a text").to_owned();
    let mut line = vec!["ebonyctl", "--key-file", &key];
    for entry in entries {
        line.extend(["--entry", entry]);
    }
    line.extend(arguments);
    let command = ControlCommand::try_parse_from(line).expect("the arguments are right");
    let mut output = Vec::new();
    let mut session = Session::open(&command.access, &mut output)?;
    session.run(&command.topic).await?;
    drop(session);
    Ok(String::from_utf8(output).expect("a text"))
}

/// Guards against a change that is sent to a second entry although the first may have accepted it, and against an
/// unreachable entry that keeps operators from using the others.
#[actix_web::test]
async fn a_change_goes_to_the_first_entry_that_can_be_reached() {
    let unreachable = unreachable_entry();
    let unreachable = unreachable.as_str();
    let first = MockEntry::start(
        503,
        json!({"code": "platform_unavailable", "status": 503, "run": "may_have_run"}),
    );
    let second = MockEntry::start(200, json!({"version": 9}));
    let revert = ["config", "revert", "3", "--expected", "8"];
    let failure = run(&[unreachable, &first.url, &second.url], &revert)
        .await
        .expect_err("it is refused");
    assert_eq!(failure.exit_code(), 7, "{failure}");
    assert!(
        second.requests.lock().expect("no panic").is_empty(),
        "the second entry is not asked"
    );
    let output = run(&[unreachable, &second.url], &revert)
        .await
        .expect("it is accepted");
    assert_eq!(output, "version 9 accepted\n");
    let requests = second.requests.lock().expect("no panic").join("\n");
    assert_eq!(
        requests,
        "POST /v1/config/revert Some(\"Bearer operator-key\") true"
    );
    let failure = run(&[unreachable], &["config", "get"])
        .await
        .expect_err("nobody answers");
    assert_eq!(failure.exit_code(), 1, "{failure}");
    let failure = run(&[&second.url], &["programs", "show", "../config"])
        .await
        .expect_err("no name");
    assert_eq!(failure.exit_code(), 2, "{failure}");
}

/// Guards against different failures with the same exit code, which scripts could not tell apart.
#[actix_web::test]
async fn exit_codes_distinguish_failures() {
    let cases = [
        (409, "version_conflict", "not_run", 3),
        (401, "unauthorized", "not_run", 4),
        (404, "not_found", "not_run", 5),
        (422, "invalid_config", "not_run", 6),
        (503, "platform_unavailable", "not_run", 1),
        (503, "platform_unavailable", "may_have_run", 7),
    ];
    for (status, code, verdict, expected) in cases {
        let problem = json!({"code": code, "status": status, "run": verdict, "detail": "because"});
        let entry = MockEntry::start(status, problem);
        let failure = run(&[&entry.url], &["targets", "drain", "kalo-1"])
            .await
            .expect_err(code);
        assert_eq!(failure.exit_code(), expected, "{failure}");
    }
}
