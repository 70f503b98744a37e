//! Guards against identifiers that parse loosely or lose their shard.

use ebony_types::{CallId, CallerName, ProgramId, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

#[test]
fn identifiers_survive_their_text() {
    let mut source = ChaCha8Rng::seed_from_u64(1);
    for number in 0..100 {
        let program = ProgramId::random(ShardKey(number), &mut source);
        assert_eq!(program.to_string().parse(), Ok(program));
        let call = CallId::random(&mut source);
        assert_eq!(call.to_string().parse(), Ok(call));
        let session = SessionId::random(&mut source);
        assert_eq!(session.to_string().parse(), Ok(session));
    }
}

#[test]
fn malformed_identifiers_are_refused() {
    for text in [
        "",
        "p-",
        "p-1-2",
        "p-0001-zz",
        "c-0001",
        "p-0001-\u{e9}1010101010101010101010101",
    ] {
        assert!(text.parse::<ProgramId>().is_err(), "{text}");
        assert!(text.parse::<CallId>().is_err(), "{text}");
    }
}

#[test]
fn names_are_bounded_and_visible() {
    assert!(CallerName::parse("").is_err());
    assert!(CallerName::parse("a b").is_err());
    assert!(CallerName::parse(&"a".repeat(129)).is_err());
    assert!(CallerName::parse("shop-fiji").is_ok());
}
