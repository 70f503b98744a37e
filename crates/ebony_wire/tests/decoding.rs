//! Guards against panics and lenient decoding when a faulty or hostile peer sends malformed frames.

use ebony_testkit::check_seeds;
use ebony_wire::{EntryFrame, HandshakeFrame, PeerFrame, SideFrame, decode, encode};

#[test]
fn arbitrary_bytes_never_panic() {
    check_seeds(10_000, 96, |input| {
        let bytes = input.bytes(input.len())?;
        let _ = decode::<EntryFrame>(bytes);
        let _ = decode::<SideFrame>(bytes);
        let _ = decode::<PeerFrame>(bytes);
        let _ = decode::<HandshakeFrame>(bytes);
        Ok(())
    });
}

#[test]
fn trailing_bytes_and_deep_nesting_are_refused() {
    let mut bytes = encode(&EntryFrame::Ping { nonce: 1 }).expect("a ping fits into a frame");
    bytes.push(0);
    assert!(decode::<EntryFrame>(&bytes).is_err());
    let nested = vec![0x81; 100_000];
    assert!(decode::<EntryFrame>(&nested).is_err());
    let huge_length = [0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    assert!(decode::<PeerFrame>(&huge_length).is_err());
}
