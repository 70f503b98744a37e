//! Tests of answers over lost links, deadlines, and readers that disconnect.

use std::sync::Arc;

use ebony_entry::answer::{AnswerPart, AnswerPipe, CancelCall};
use ebony_policy::PolicyOptions;
use ebony_types::limits::ANSWER_WINDOW_BYTES;
use ebony_types::{ProblemCode, RunVerdict};
use ebony_wire::EntryFrame;

use super::fakes::{DispatchRig, FakeSide, TestCall, within};

async fn read(pipe: &Arc<AnswerPipe>, length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < length {
        if let AnswerPart::Bytes(part) = within(pipe.next()).await.expect("goes on") {
            bytes.extend_from_slice(&part);
        }
    }
    bytes
}

/// Guards against lost or repeated bytes when the link is lost in the middle of an answer.
#[actix_rt::test]
async fn a_cut_answer_resumes_without_a_gap_or_a_repeat() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    let pipe = rig.place(TestCall::model());
    let call = link.dispatched().await.request.call;
    link.accept(call);
    link.head(call);
    link.chunk(call, 0, b"abc");
    assert_eq!(read(&pipe, 3).await, b"abc");
    link.cut();

    let mut link = side.accept().await;
    let offset = link
        .find(|frame| match frame {
            EntryFrame::Resume {
                call: resumed,
                offset,
            } if resumed == call => Some(offset),
            _ => None,
        })
        .await;
    assert_eq!(offset, 3);
    link.head(call);
    link.chunk(call, 1, b"bcdef");
    link.end(call, 6);
    let answer = rig.ended().await.outcome.expect("a complete answer");
    assert_eq!(&answer.body[..], b"abcdef");
    assert_eq!(read(&pipe, 3).await, b"def");
    // A late duplicate of the end is ignored.
    link.end(call, 6);
    rig.sync(&link).await;
    rig.assert_no_further_end().await;
}

/// Guards against accepting an answer with missing bytes as complete.
#[actix_rt::test]
async fn an_answer_with_a_gap_fails() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::model());
    let call = link.dispatched().await.request.call;
    link.head(call);
    link.chunk(call, 0, b"abc");
    link.chunk(call, 4, b"e");
    let problem = rig.ended().await.outcome.expect_err("a gap");
    assert_eq!(problem.run, RunVerdict::MayHaveRun);
    rig.sync(&link).await;
    rig.assert_no_further_end().await;
}

/// Guards against calls that continue after their deadline, and against the verdict "not run" for a dispatched call.
#[actix_rt::test]
async fn a_deadline_ends_a_call_and_cancels_it_at_its_side_process() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    rig.place(TestCall::model().with_timeout(50));
    let ended = rig.ended().await;
    assert!(!ended.was_placed);
    let problem = ended.outcome.expect_err("no target");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::DeadlineExceeded, RunVerdict::NotRun)
    );

    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::model().with_timeout(200));
    let call = link.dispatched().await.request.call;
    let ended = rig.ended().await;
    assert!(ended.was_placed);
    let problem = ended.outcome.expect_err("no answer");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::DeadlineExceeded, RunVerdict::MayHaveRun)
    );
    link.find(|frame| (frame == EntryFrame::Cancel { call }).then_some(()))
        .await;
    // The side process ends the call too late; this is ignored.
    link.end(call, 0);
    rig.sync(&link).await;
    rig.assert_no_further_end().await;
}

/// Guards against calls that wait forever after a cancellation: without a link, no side process confirms it.
#[actix_rt::test]
async fn a_call_is_cancelled_while_its_link_is_cut() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::model());
    let call = link.dispatched().await.request.call;
    // Without a listener, the link can't be re-established.
    drop(side);
    link.cut();
    while rig.received.ended.is_empty() {
        rig.dispatch.do_send(CancelCall { call });
        rig.sync_hosts().await;
    }
    let problem = rig.ended().await.outcome.expect_err("cancelled");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::Cancelled, RunVerdict::MayHaveRun)
    );
    rig.assert_no_further_end().await;
}

/// Guards against calls with an idempotency key that stall without a reader: their answers must be stored for a
/// repeated request.
#[actix_rt::test]
async fn a_keyed_call_runs_on_without_its_reader() {
    let window = ANSWER_WINDOW_BYTES as usize;
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    let pipe = rig.place(TestCall::service());
    let call = link.dispatched().await.request.call;
    link.accept(call);
    link.head(call);
    let part = vec![b'x'; window / 4];
    (0..4).for_each(|index| link.chunk(call, (index * part.len()) as u64, &part));
    rig.sync(&link).await;
    // The credit window is used up, and nobody reads.
    pipe.abandon();
    let granted = link
        .find(|frame| match frame {
            EntryFrame::Credit { call: granted, bytes } if granted == call => Some(bytes),
            EntryFrame::Cancel { .. } => panic!("a keyed call was cancelled"),
            _ => None,
        })
        .await;
    assert_eq!(granted as usize, window);
    link.chunk(call, window as u64, b"end");
    link.end(call, window as u64 + 3);
    let answer = rig.ended().await.outcome.expect("a complete answer");
    assert_eq!(answer.body.len(), window + 3);
}

/// Guards against targets that keep working on calls whose reader is gone.
#[actix_rt::test]
async fn a_call_without_a_key_is_cancelled_when_its_reader_goes_away() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    let pipe = rig.place(TestCall::model());
    let call = link.dispatched().await.request.call;
    pipe.abandon();
    link.head(call);
    link.find(|frame| (frame == EntryFrame::Cancel { call }).then_some(()))
        .await;
    let problem = ebony_types::ProblemReport::not_run(ProblemCode::Overloaded, "cancelled in the queue");
    link.fail(call, problem);
    let ended = rig.ended().await;
    assert!(ended.outcome.is_err(), "a cancelled call is not sent again");
    rig.sync(&link).await;
    assert!(link.arrived().is_empty());
    rig.assert_no_further_end().await;
}
