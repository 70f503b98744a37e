//! Test data that several test files use.

use ebony_trace::{TraceDocument, read_trace};

/// A small trace: a parent with a blocking and a non-blocking sub-agent and a service call that must run at most once,
/// and a program of another caller.
pub(crate) const SMALL_TRACE: &str = concat!(
    r#"{"header":{"version":1,"name":"small","deployment":"calabash","seed":0,"description":"For tests.","#,
    r#""time_scale":{"wall_ms_per_second":100},"engine":{"engines":2,"batch_slots":2,"#,
    r#""prefill_tokens_per_second":1000,"token_interval_us":10000,"cache_tokens":5000},"#,
    r#""models":[{"model":"large","engines":2}],"services":["app"],"domains":["east","west"],"#,
    r#""outcomes":[{"measure":"slowdown_p95_percent","limit":{"at_most":150}},"#,
    r#"{"measure":"wasted_cache_percent","limit":{"at_most":30}},"#,
    r#"{"measure":"fairness_percent","limit":{"at_least":90}},"#,
    r#"{"measure":"lost_calls","limit":{"at_most":0}},{"measure":"duplicated_runs","limit":{"at_most":0}}],"#,
    r#""markers":1,"programs":4}}"#,
    "\n",
    r#"{"marker":{"at_ms":1500,"action":{"lose_domain":{"domain":"west"}}}}"#,
    "\n",
    r#"{"program":{"id":0,"caller":"one","model":"large","origin":{"arrival":{"at_ms":1000}},"shared_tokens":200,"#,
    r#""turns":[{"new_tokens":300,"output_tokens":50,"pause_ms":100},"#,
    r#"{"new_tokens":100,"output_tokens":10,"pause_ms":900,"call":"#,
    r#"{"service":"app","method":"POST","runs_once":true,"deadline_ms":600}},"#,
    r#"{"new_tokens":100,"output_tokens":20}]}}"#,
    "\n",
    r#"{"program":{"id":1,"caller":"one","model":"large","#,
    r#""origin":{"child":{"parent":0,"after_turn":0,"is_blocking":true}},"#,
    r#""turns":[{"new_tokens":500,"output_tokens":50}]}}"#,
    "\n",
    r#"{"program":{"id":2,"caller":"one","model":"large","#,
    r#""origin":{"child":{"parent":0,"after_turn":1,"is_blocking":false}},"#,
    r#""turns":[{"new_tokens":500,"output_tokens":500}]}}"#,
    "\n",
    r#"{"program":{"id":3,"caller":"two","model":"large","origin":{"arrival":{"at_ms":1000}},"#,
    r#""turns":[{"new_tokens":100,"output_tokens":10}]}}"#,
    "\n",
);

/// Reads [`SMALL_TRACE`].
pub(crate) fn small_document() -> TraceDocument {
    read_trace(SMALL_TRACE.as_bytes()).expect("the trace is valid")
}
