//! Tests of the run verdict over several attempts, and of the retry budget.

use ebony_policy::{PolicyOptions, RetryOptions};
use ebony_types::{ProblemCode, ProblemReport, RunVerdict};

use super::fakes::{DispatchRig, FakeLink, FakeSide, TestCall};

/// Returns options with a retry window longer than any test.
fn policy(retry: RetryOptions) -> PolicyOptions {
    PolicyOptions {
        retry: RetryOptions {
            window_ms: 3_600_000,
            ..retry
        },
        ..PolicyOptions::default()
    }
}

/// How an attempt fails: the verdict, and whether the head of the answer was sent before.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd {
    run: RunVerdict,
    has_head: bool,
}

/// A name, the call, and how its attempts fail.
type VerdictCase = (&'static str, fn() -> TestCall, &'static [AttemptEnd]);

const NOT_RUN: AttemptEnd = AttemptEnd {
    run: RunVerdict::NotRun,
    has_head: false,
};
const MAY_HAVE_RUN: AttemptEnd = AttemptEnd {
    run: RunVerdict::MayHaveRun,
    has_head: false,
};
const AFTER_HEAD: AttemptEnd = AttemptEnd {
    run: RunVerdict::MayHaveRun,
    has_head: true,
};

async fn fail_next(links: &mut [FakeLink; 2], end: AttemptEnd) -> usize {
    let [first, second] = links;
    let (index, order) = tokio::select! {
        order = first.dispatched() => (0, order),
        order = second.dispatched() => (1, order),
    };
    let call = order.request.call;
    if end.has_head {
        links[index].head(call);
    }
    links[index].fail(
        call,
        ProblemReport::new(ProblemCode::TargetFailed, end.run, "failed"),
    );
    index
}

/// Guards against a final verdict "not run" after an attempt that may have run, against retries of calls with an
/// idempotency key that may have run, and against retries on a target that failed the call.
#[actix_rt::test]
async fn verdicts_combine_truthfully() {
    let cases: [VerdictCase; 6] = [
        ("keyed, not run twice", TestCall::service, &[NOT_RUN, NOT_RUN]),
        ("keyed, may have run", TestCall::service, &[MAY_HAVE_RUN]),
        (
            "keyed, not run, then may have",
            TestCall::service,
            &[NOT_RUN, MAY_HAVE_RUN],
        ),
        ("model, not run twice", TestCall::model, &[NOT_RUN, NOT_RUN]),
        (
            "model, may have, then not run",
            TestCall::model,
            &[MAY_HAVE_RUN, NOT_RUN],
        ),
        ("model, failed behind its head", TestCall::model, &[AFTER_HEAD]),
    ];
    let mut rig = DispatchRig::start(policy(RetryOptions {
        fixed_repeats: 100,
        ..RetryOptions::default()
    }));
    let mut sides = [
        FakeSide::start("side-1", 1).await,
        FakeSide::start("side-2", 2).await,
    ];
    let [first, second] = &mut sides;
    let mut links = [rig.join(first).await, rig.join(second).await];
    let mut verdicts = Vec::new();
    for (name, call, ends) in cases {
        rig.place(call());
        let mut tried = Vec::new();
        for end in ends {
            tried.push(fail_next(&mut links, *end).await);
        }
        tried.dedup();
        assert_eq!(
            tried.len(),
            ends.len(),
            "{name}: a target that failed the call got it again"
        );
        let problem = rig.ended().await.outcome.expect_err("failed");
        verdicts.push(format!("{name}: {}", problem.run.as_str()));
        for link in &mut links {
            rig.sync(link).await;
            assert!(link.arrived().is_empty(), "{name}");
        }
    }
    rig.assert_no_further_end().await;
    insta::assert_json_snapshot!(verdicts);
}

/// Guards against retries that amplify the load during an outage.
#[actix_rt::test]
async fn retries_stay_within_the_budget_in_an_outage() {
    const CALLS: usize = 100;
    let mut rig = DispatchRig::start(policy(RetryOptions::default()));
    let mut refusals = tokio::task::JoinSet::new();
    for number in 1..=4 {
        let mut side = FakeSide::start(&format!("side-{number}"), number).await;
        let mut link = rig.join(&mut side).await;
        refusals.spawn_local(async move {
            loop {
                let call = link.dispatched().await.request.call;
                let problem = ProblemReport::not_run(ProblemCode::TargetFailed, "out of order");
                link.fail(call, problem);
            }
        });
    }
    for _ in 0..CALLS {
        rig.place(TestCall::model());
    }
    for _ in 0..CALLS {
        let problem = rig.ended().await.outcome.expect_err("an outage");
        assert_eq!(problem.run, RunVerdict::NotRun);
    }
    rig.assert_no_further_end().await;
    let mut placed = 0;
    while rig.received.placed.try_recv().is_ok() {
        placed += 1;
    }
    let options = RetryOptions::default();
    let share = CALLS * options.share_percent as usize / 100;
    let allowed = CALLS + share + options.fixed_repeats as usize;
    assert!(placed <= allowed, "{placed} attempts, {allowed} allowed");
    assert!(placed > CALLS, "retries are made at all");
    refusals.abort_all();
}
