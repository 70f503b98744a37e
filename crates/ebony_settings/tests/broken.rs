//! Guards against errors that are not found, that are reported one at a time, or whose messages have a wrong position.

use ebony_settings::ProcessSettings;

const ENTRY: &str = include_str!("minimal/entry.jsonc");
const SIDE: &str = include_str!("minimal/side.jsonc");

/// Replaces texts in a valid file so that it becomes invalid, and returns the report.
fn report(base: &str, changes: &[(&str, &str)]) -> String {
    let mut text = base.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "the file has no {from}");
        text = text.replacen(from, to, 1);
    }
    ProcessSettings::parse(&text, "file.jsonc")
        .expect_err("the file is invalid")
        .to_string()
}

#[test]
fn unknown_keys_get_close_matches() {
    let changes = [
        ("\"process\"", "\"proces\""),
        ("\"callers\"", "\"colours\": 1, \"callers\""),
        (
            "\"links\": {",
            "\"links\": { \"hartbeat\": \"1s\", \"lost-after\": \"2s\",",
        ),
        ("\"table\": {", "\"tables\": {"),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn missing_keys() {
    let changes = [
        ("\"host\": \"host-1\",", ""),
        ("\"callers\": { \"listen\": \"127.0.0.1:7000\" },", ""),
        ("{ \"inline\": \"0123456789abcdef\" }", "{}"),
        ("\"url\": \"http://127.0.0.1:7902\"", ""),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn wrong_types() {
    let changes = [
        ("\"entry-1\"", "17"),
        ("{ \"listen\": \"127.0.0.1:7000\" }", "\"127.0.0.1:7000\""),
        ("40", "\"40\""),
        ("\"127.0.0.1:7001\"", "7001"),
        ("{ \"inline\": \"0123456789abcdef\" }", "[\"0123456789abcdef\"]"),
        (
            "\"metrics\"",
            "\"peers\": {}, \"policy\": [1], \"log\": null, \"metrics\"",
        ),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn wrong_units() {
    let additions = "\"drain_time\": 30, \"limits\": { \"body\": \"4MB\", \"headers\": 32768, \"idle_time\": \"60\", \
                     \"history\": \"1.5MiB\" }, \"links\": { \"heartbeat\": \"500 ms\", \"lost_after\": \"2sec\", \
                     \"connect_timeout\": \"99999999999999999999s\",";
    insta::assert_snapshot!(report(ENTRY, &[("\"links\": {", additions)]));
}

#[test]
fn values_outside_their_bounds() {
    let additions = "\"drain_time\": \"11m\", \"limits\": { \"body\": \"5MiB\", \"connections\": 0, \
                     \"streams\": -1, \"idle_time\": \"1ms\" }, \"log\": { \"level\": \"inform\", \
                     \"format\": \"jsn\" }, \"links\": {";
    let changes = [
        ("\"links\": {", additions),
        ("40", "0.05, \"shards\": 64.5"),
        ("\"region-1\"", "\"region 1\""),
        ("\"host-1\"", "\"\""),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn duplicate_keys() {
    let changes = [
        ("\"region\"", "\"host\": \"host-2\", \"region\""),
        (
            "\"listen\": \"127.0.0.1:7001\"",
            "\"listen\": \"127.0.0.1:7001\",\n\"listen\": \"127.0.0.1:7009\"",
        ),
        (
            "\"metrics\"",
            "\"policy\": { \"a\": { \"b\": 1, \"b\": 2 }, \"c\": 1e999 }, \"metrics\"",
        ),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn address_clashes() {
    let peers = "\"peers\": [\"127.0.0.1:7001\", \"127.0.0.1:7011\", \"127.0.0.1:7011\", \"10.0.0.7:7001\"], \"callers\"";
    let changes = [
        ("\"callers\"", peers),
        ("127.0.0.1:7000", "0.0.0.0:7002"),
        ("127.0.0.1:7003", "127.0.0.1:7001"),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn host_names_and_wildcards() {
    let changes = [
        ("127.0.0.1:7000", "localhost:7000"),
        ("127.0.0.1:7001", "0.0.0.0:7001"),
        ("127.0.0.1:7002", "[::]:7002"),
        ("127.0.0.1:7003", "127.0.0.1"),
        ("http://127.0.0.1:7901", "http://tables.internal:7901"),
        ("http://127.0.0.1:7902", "127.0.0.1:7902"),
        ("http://127.0.0.1:7903", "http://127.0.0.1"),
        ("http://127.0.0.1:7904", "http://0.0.0.0:7904"),
        (
            "\"callers\"",
            "\"peers\": [\"peer:7001\", \"10.0.0.7:0\"], \"callers\"",
        ),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn short_keys_stay_secret() {
    let text = report(ENTRY, &[("0123456789abcdef", "hunter2")]);
    let bare = report(ENTRY, &[("{ \"inline\": \"0123456789abcdef\" }", "\"hunter2\"")]);
    let text = format!("{text}\n{bare}");
    assert!(!text.contains("hunter2"), "{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn an_inline_key_on_an_open_address() {
    let changes = [
        ("127.0.0.1:7001", "10.0.0.5:7001"),
        ("\"callers\"", "\"peers\": [\"127.0.0.1:7011\"], \"callers\""),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
    let both = [("{ \"inline\"", "{ \"file\": \"cluster.key\", \"inline\"")];
    insta::assert_snapshot!(report(ENTRY, &both));
}

#[test]
fn times_that_contradict_each_other() {
    let changes = [
        ("40", "40, \"heartbeat\": \"3s\""),
        (
            "\"links\": {",
            "\"links\": { \"heartbeat\": \"1s\", \"lost_after\": \"1999ms\",",
        ),
    ];
    insta::assert_snapshot!(report(ENTRY, &changes));
}

#[test]
fn keys_of_the_other_role() {
    insta::assert_snapshot!(report(ENTRY, &[("\"role\": \"entry\"", "\"role\": \"side\"")]));
}

#[test]
fn an_unknown_role_hides_no_other_error() {
    insta::assert_snapshot!(report(
        SIDE,
        &[("\"side\"", "\"sid\""), ("\"slots\": 4", "\"slots\": 0")]
    ));
}

#[test]
fn contradictory_targets() {
    let changes = [
        ("\"models\": [\"m\"]", "\"service\": \"s\""),
        ("service-1", "engine-1"),
        ("127.0.0.1:8010", "127.0.0.1:8000"),
        ("127.0.0.1:8001", "127.0.0.1:8000"),
    ];
    insta::assert_snapshot!(report(SIDE, &changes));
    insta::assert_snapshot!(report(
        SIDE,
        &[("\"targets\": [", "\"targets\": [], \"other\": [")]
    ));
}

#[test]
fn syntax_errors_have_a_position() {
    let texts = [
        "",
        "[]",
        "{ \"role\": \"entry\" \"host\": 1 }",
        "{\n  \"é\": 'a' }",
        "{ \"role\": \"entry",
        "{} {}",
    ];
    let reports: Vec<_> = texts
        .map(|text| {
            ProcessSettings::parse(text, "file.jsonc")
                .unwrap_err()
                .to_string()
        })
        .into();
    insta::assert_snapshot!(reports.join("\n"));
}

#[test]
fn long_reports_are_cut() {
    let keys: Vec<_> = (0..300)
        .map(|number| format!("\"unknown-{number:03}\": 0"))
        .collect();
    let text = report(
        ENTRY,
        &[("\"callers\"", &format!("{},\n\"callers\"", keys.join(",\n")))],
    );
    assert!(text.ends_with("file.jsonc: 300 errors, 100 not shown"), "{text}");
}
