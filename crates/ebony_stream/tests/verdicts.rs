//! Verdicts of a book on single streams.

use ebony_stream::{PeerFindings, ReleaseStreams, ServiceRelease, StreamBook, StreamDigest, StreamRow};
use ebony_types::{ClockTime, ServiceName, SoftwareVersion, TargetName};

const BEGUN: StreamDigest = StreamDigest(1);
const LEARNED: StreamDigest = StreamDigest(2);
const UNKNOWN: StreamDigest = StreamDigest(3);

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).expect("a name")
}

fn release(service_name: &str, version: &str) -> ServiceRelease {
    ServiceRelease {
        service: service(service_name),
        version: SoftwareVersion::parse(version).expect("a version"),
    }
}

fn target() -> TargetName {
    TargetName::parse("e-1").expect("a name")
}

/// Returns a book with one stream of its own and one of another gateway.
fn book(recorded: &[&str], listed: &[&str]) -> StreamBook {
    let now = ClockTime::default();
    let mut book = StreamBook::default();
    book.confirm_all(recorded.iter().map(|version| release("models", version)), now);
    book.set_listed(listed.iter().map(|version| release("models", version)));
    book.begin(
        BEGUN,
        release("models", "v1"),
        target(),
        now,
        now + ebony_stream::book::RESUME_WINDOW,
    );
    let part = ReleaseStreams {
        release: release("models", "v2"),
        streams: vec![LEARNED],
    };
    let row = StreamRow { releases: vec![part] };
    book.learn(row, now);
    book
}

/// Guards against a guess where no record decides.
#[test]
fn verdicts_follow_from_records_and_single_versions() {
    let cases: [(&[&str], &[&str]); 6] = [
        (&["v1"], &["v1"]),
        (&["v1", "v2"], &["v2"]),
        (&["v1"], &["v1", "v2"]),
        (&[], &["v1"]),
        (&[], &["v1", "v2"]),
        (&[], &[]),
    ];
    let verdicts = cases.map(|(recorded, listed)| {
        let book = book(recorded, listed);
        let streams = [Some(BEGUN), Some(LEARNED), Some(UNKNOWN), None];
        let verdicts = streams.map(|stream| book.verdict(stream, &service("models")));
        format!("recorded {recorded:?}, listed {listed:?}: {verdicts:?}")
    });
    insta::assert_snapshot!(verdicts.join("\n"));
}

/// Guards against a stream that goes on in a service to which its route moved after it began.
#[test]
fn a_stream_does_not_go_on_in_another_service() {
    let mut book = book(&["v1"], &["v1"]);
    book.confirm(release("others", "v1"), ClockTime::default());
    insta::assert_debug_snapshot!([
        book.verdict(Some(BEGUN), &service("others")),
        book.verdict(Some(UNKNOWN), &service("others")),
    ]);
}

/// Guards against a lookup without the store that overlooks a version, and against one that never succeeds.
#[test]
fn verdicts_without_the_store_need_all_gateways() {
    let book = book(&["v1"], &["v1"]);
    let findings = |origin: Option<&str>, versions: &[&str], is_complete| PeerFindings {
        origin: origin.map(|version| release("models", version).version),
        versions: versions
            .iter()
            .map(|version| release("models", version).version)
            .collect(),
        is_complete,
    };
    let cases = [
        (false, findings(Some("v2"), &[], false)),
        (false, findings(None, &["v1"], true)),
        (false, findings(None, &["v1"], false)),
        (false, findings(None, &["v1", "v2"], true)),
        (true, findings(None, &["v1"], true)),
    ];
    let verdicts = cases.map(|(has_read, findings)| {
        let shown = format!("has read {has_read}, {findings:?}");
        let verdict = book.verdict_by_peers(Some(UNKNOWN), &service("models"), has_read, findings);
        format!("{shown}: {verdict:?}")
    });
    insta::assert_snapshot!(verdicts.join("\n"));
}

/// Guards against records of streams that may have begun after their target was restarted with another version.
#[test]
fn streams_of_a_target_that_changed_its_version_are_forgotten() {
    let mut book = book(&["v1", "v2"], &["v1", "v2"]);
    let before = (book.own_row(), book.unrecorded());
    book.forget_target(&target());
    let after = (book.own_row(), book.unrecorded());
    insta::assert_debug_snapshot!((before, after, book.verdict(Some(BEGUN), &service("models"))));
}
