//! Guards against changes of the codes, statuses and body that callers rely on.

use ebony_types::{ProblemCode, ProblemReport};

#[test]
fn codes_and_statuses_are_stable() {
    let table: Vec<String> = ProblemCode::ALL
        .iter()
        .map(|code| format!("{} {}", code.status(), code.as_str()))
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}

#[test]
fn problem_body_is_stable() {
    let report = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full").retry_after(3);
    insta::assert_json_snapshot!(report.to_json());
}
