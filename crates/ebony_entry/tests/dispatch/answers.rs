//! Answers over links that are cut, deadlines, and readers that go away.

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

/// Guards against answers that lose or repeat bytes when their link is cut in the middle.
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
    let answer = rig.ended().await.outcome.expect("a whole answer");
    assert_eq!(&answer.body[..], b"abcdef");
    assert_eq!(read(&pipe, 3).await, b"def");
    // A late repeat of the end concerns nobody.
    link.end(call, 6);
    rig.sync(&link).await;
    rig.assert_no_further_end().await;
}

/// Guards against answers that are cut short by a side process and taken for whole ones.
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

/// Guards against calls that outlive their deadline, and against "not run" for a call that a target has.
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
    // The side process's own end comes too late.
    link.end(call, 0);
    rig.sync(&link).await;
    rig.assert_no_further_end().await;
}

/// Guards against calls that wait forever after a cancellation: no side process answers while its link is cut.
#[actix_rt::test]
async fn a_call_is_cancelled_while_its_link_is_cut() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::model());
    let call = link.dispatched().await.request.call;
    // Without a listener, the link stays cut.
    drop(side);
    link.cut();
    while rig.told.ended.is_empty() {
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

/// Guards against keyed calls that stall when their reader goes away: their answers must be stored for a repeat.
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
    // The window is used up, and nobody reads.
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
    let answer = rig.ended().await.outcome.expect("a whole answer");
    assert_eq!(answer.body.len(), window + 3);
}

/// Guards against targets that work for readers that are gone.
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
