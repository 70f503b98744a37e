//! Guards against answers that lose, repeat or reorder bytes, and against unbounded buffers.

use bytes::Bytes;
use ebony_ledger::answer_buffer::MAX_UNCONFIRMED_BYTES;
use ebony_ledger::{AnswerBuffer, AnswerCursor, AnswerOutcome, BufferError, FenceError, TokenFence};
use ebony_types::{CallId, CallUsage, FencingToken, TargetName};
use ebony_wire::{AnswerFrame, AnswerHead};

const CALL: CallId = CallId::from_bytes([1; 16]);

/// One entry's view of an answer.
#[derive(Default)]
struct ReceivedAnswer {
    bytes: Vec<u8>,
    unconfirmed: u32,
    length: Option<u64>,
}

impl ReceivedAnswer {
    fn take(&mut self, frame: AnswerFrame) {
        match frame {
            AnswerFrame::Chunk { offset, bytes, .. } => {
                assert_eq!(offset, self.bytes.len() as u64, "gap or overlap");
                self.unconfirmed += bytes.len() as u32;
                self.bytes.extend_from_slice(&bytes);
            }
            AnswerFrame::End { length, .. } => self.length = Some(length),
            AnswerFrame::Accepted { .. } | AnswerFrame::Head { .. } => {}
            AnswerFrame::Failed { problem, .. } => panic!("{problem}"),
        }
    }
}

/// The exact bytes must arrive although the target sends as fast as it may, the entry confirms and reconnects at
/// random, and the buffer is trimmed at random.
#[test]
fn every_byte_arrives_once_over_broken_links() {
    ebony_testkit::check_seeds(60, 400, |input| {
        let source: Vec<u8> = (0..input.int_in_range(0..=600_000)?)
            .map(|index: u32| (index % 251) as u8)
            .collect();
        let mut buffer = AnswerBuffer::default();
        let head = AnswerHead {
            status: 200,
            headers: Vec::new(),
        };
        buffer.set_head(head);
        let mut cursor = AnswerCursor::open(CALL);
        let mut answer = ReceivedAnswer::default();
        for _ in 0..2_000 {
            let sent = buffer.length() as usize;
            let size = input.int_in_range(1..=70_000)?.min(source.len() - sent);
            if size == 0 {
                buffer.end(AnswerOutcome::Complete(CallUsage::default()));
            } else if buffer.has_room() {
                buffer
                    .push(&Bytes::copy_from_slice(&source[sent..sent + size]))
                    .unwrap();
            } else {
                assert_eq!(buffer.push(&Bytes::from_static(b"x")), Err(BufferError::Full));
            }
            if let Some(frame) = cursor.next_frame(&buffer).unwrap() {
                answer.take(frame);
            }
            match input.int_in_range(0..=9)? {
                0 => {
                    cursor = AnswerCursor::resume(CALL, answer.bytes.len() as u64);
                    answer.unconfirmed = 0;
                }
                1 => drop(buffer.trim(0)),
                _ => buffer.confirm(cursor.grant(std::mem::take(&mut answer.unconfirmed))),
            }
            assert!(buffer.length() - answer.bytes.len() as u64 <= MAX_UNCONFIRMED_BYTES + 70_000);
            if answer.length.is_some() {
                break;
            }
        }
        assert_eq!(answer.length, Some(source.len() as u64));
        assert!(answer.bytes == source);
        Ok(())
    });
}

/// Guards against silent gaps: an answer must not continue if its next byte was dropped.
#[test]
fn a_dropped_byte_is_an_error() {
    let mut buffer = AnswerBuffer::default();
    buffer.set_head(AnswerHead {
        status: 200,
        headers: Vec::new(),
    });
    buffer.push(&Bytes::from(vec![1; 20_000])).unwrap();
    buffer.confirm(20_000);
    buffer.trim(0);
    assert_eq!(
        AnswerCursor::resume(CALL, 5).next_frame(&buffer),
        Err(BufferError::Dropped)
    );
    assert_eq!(
        AnswerCursor::resume(CALL, 30_000).next_frame(&buffer),
        Err(BufferError::Beyond)
    );
}

/// Guards against reordering of two orders at a target that does not check tokens.
#[test]
fn a_target_without_fencing_gets_one_order_at_a_time() {
    let mut fence = TokenFence::default();
    let target = TargetName::parse("target-1").unwrap();
    assert_eq!(
        fence.begin_order(&target, FencingToken(1)),
        Err(FenceError::UnknownTarget)
    );
    fence.add_target(&target, false);
    assert_eq!(fence.begin_order(&target, FencingToken(2)), Ok(()));
    assert_eq!(
        fence.begin_order(&target, FencingToken(3)),
        Err(FenceError::OrderInProgress)
    );
    fence.end_order(&target);
    let stale = FenceError::Stale {
        highest: FencingToken(3),
    };
    assert_eq!(fence.begin_order(&target, FencingToken(2)), Err(stale));
    fence.add_target(&target, true);
    assert_eq!(fence.begin_order(&target, FencingToken(3)), Ok(()));
    assert_eq!(fence.begin_order(&target, FencingToken(4)), Ok(()));
}
