//! Tests that the reader is strict, bounded and free of panics, and that the format does not change unnoticed.

mod support;

use ebony_testkit::check_seeds;
use ebony_trace::format::limits::MAX_LINE_BYTES;
use ebony_trace::{TraceDocument, read_trace, write_trace};
use support::{SMALL_TRACE, small_document};

fn written(document: &TraceDocument) -> String {
    let mut bytes = Vec::new();
    write_trace(document, &mut bytes).expect("writing to memory succeeds");
    String::from_utf8(bytes).expect("JSON is UTF-8")
}

/// Guards against renamed or removed members, which would make committed traces unreadable.
#[test]
fn small_trace_survives_reading_and_writing() {
    assert_eq!(written(&small_document()), SMALL_TRACE);
}

/// Each change violates one rule. The error must name the line and the rule.
#[test]
fn faulty_traces_are_refused_with_their_line() {
    let changes = [
        ("\"version\":1", "\"version\":2"),
        ("\"name\":\"small\"", "\"name\":\"\""),
        ("\"seed\":0", "\"seed\":0,\"colour\":1"),
        ("\"seed\":0", "\"seed\":-1"),
        ("\"wall_ms_per_second\":100", "\"wall_ms_per_second\":0"),
        ("\"engines\":2,\"batch", "\"engines\":1,\"batch"),
        ("\"domains\":[\"east\",\"west\"]", "\"domains\":[\"east\"]"),
        ("\"markers\":1", "\"markers\":2"),
        ("\"programs\":4", "\"programs\":3"),
        ("{\"marker\":", "{\"header\":"),
        ("{\"id\":1,", "{\"id\":2,"),
        ("\"caller\":\"two\"", "\"caller\":\"t o\""),
        ("\"model\":\"large\",\"origin\"", "\"model\":\"huge\",\"origin\""),
        ("\"at_ms\":1000", "\"at_ms\":86400001"),
        ("\"parent\":0,\"after_turn\":0", "\"parent\":1,\"after_turn\":0"),
        ("\"parent\":0,\"after_turn\":0", "\"parent\":0,\"after_turn\":2"),
        ("\"service\":\"app\"", "\"service\":\"other\""),
        ("\"method\":\"POST\"", "\"method\":\"post\""),
        ("\"deadline_ms\":600", "\"deadline_ms\":0"),
        ("\"pause_ms\":100", "\"pause_ms\":3600001"),
        ("\"output_tokens\":20}", "\"output_tokens\":20,\"pause_ms\":1}"),
        ("\"output_tokens\":20}", "\"output_tokens\":0}"),
        ("\"new_tokens\":300", "\"new_tokens\":540000"),
        (
            "\"turns\":[{\"new_tokens\":500,\"output_tokens\":50}]",
            "\"turns\":[]",
        ),
        ("\"output_tokens\":10}]}}\n", "\"output_tokens\":10}]}}"),
        ("\"output_tokens\":10}]}}\n", "\"output_tokens\":10}]}} 1\n"),
        ("\"output_tokens\":10}]}}\n", "\"output_tokens\":10}]}}\n\n"),
    ];
    let mut lines = Vec::new();
    for (old, new) in changes {
        assert!(SMALL_TRACE.contains(old), "{old}");
        let text = SMALL_TRACE.replacen(old, new, 1);
        let error = read_trace(text.as_bytes()).expect_err(new);
        lines.push(format!("{} -> {}: {error}", old.trim_end(), new.trim_end()));
    }
    let without_header = SMALL_TRACE.split_once('\n').expect("has lines").1;
    lines.push(read_trace(without_header.as_bytes()).unwrap_err().to_string());
    lines.push(read_trace(&b""[..]).unwrap_err().to_string());
    insta::assert_snapshot!(lines.join("\n"));
}

/// The limits on depth and number of sub-agents bound how many programs a plan starts at once.
#[test]
fn sub_agents_are_bounded() {
    let child = |id: u32, parent: u32| {
        format!(
            "{{\"program\":{{\"id\":{id},\"caller\":\"one\",\"model\":\"large\",\"origin\":{{\"child\":\
             {{\"parent\":{parent},\"after_turn\":0,\"is_blocking\":true}}}},\"turns\":\
             [{{\"new_tokens\":1,\"output_tokens\":1}},{{\"new_tokens\":1,\"output_tokens\":1}}]}}}}\n"
        )
    };
    let deep: String = (4..8)
        .map(|id| child(id, if id == 4 { 0 } else { id - 1 }))
        .collect();
    let error = read_trace(format!("{SMALL_TRACE}{deep}").as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), "line 10: more than 3 levels of sub-agents");
    let wide: String = (4..40).map(|id| child(id, 0)).collect();
    let error = read_trace(format!("{SMALL_TRACE}{wide}").as_bytes()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 37: program 0 has more than 32 sub-agents"
    );
}

/// Guards against reading an endless line into memory.
#[test]
fn long_lines_are_refused() {
    struct EndlessLine {
        read: usize,
    }
    impl std::io::Read for EndlessLine {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            self.read += buffer.len();
            assert!(self.read <= 2 * MAX_LINE_BYTES, "the reader does not stop");
            buffer.fill(b' ');
            Ok(buffer.len())
        }
    }
    let reader = std::io::BufReader::new(EndlessLine { read: 0 });
    let error = read_trace(reader).unwrap_err();
    assert_eq!(error.to_string(), "line 1: longer than 131072 bytes");
}

/// A damaged file must be rejected, or read back as the same document after it is written again.
#[test]
fn damaged_traces_never_panic() {
    let is_digit = |position: &usize| SMALL_TRACE.as_bytes()[*position].is_ascii_digit();
    let digits: Vec<usize> = (0..SMALL_TRACE.len()).filter(is_digit).collect();
    let mut accepted = 0;
    check_seeds(10_000, 64, |input| {
        let mut bytes = SMALL_TRACE.as_bytes().to_vec();
        // Replacing digits often keeps the syntax valid, so that the checks of values are reached as well.
        for _ in 0..input.int_in_range(0..=3)? {
            bytes[*input.choose(&digits)?] = *input.choose(b"0123456789")?;
        }
        for _ in 0..input.int_in_range(0..=2)? {
            let position = input.choose_index(bytes.len())?;
            match input.arbitrary::<u8>()? % 3 {
                0 => bytes[position] = input.arbitrary()?,
                1 => drop(bytes.remove(position)),
                _ => bytes.insert(position, *input.choose(b"0123456789\"{}[],:\n")?),
            }
        }
        if let Ok(document) = read_trace(bytes.as_slice()) {
            accepted += 1;
            let again = read_trace(written(&document).as_bytes()).expect("a written trace is valid");
            assert_eq!(again, document);
        }
        let noise = input.bytes(input.len())?;
        assert!(read_trace(noise).is_err());
        Ok(())
    });
    assert!(accepted >= 500, "only {accepted} changed traces were accepted");
}
