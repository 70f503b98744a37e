//! Guards against accepting malformed identifiers and names, and against losing the shard of a program.

use ebony_types::{CallId, CallerName, ProgramId, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

#[test]
fn identifiers_round_trip_through_text() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..100 {
        let program = ProgramId::random(ShardKey(number), &mut rng);
        assert_eq!(program.to_string().parse(), Ok(program));
        let call = CallId::random(&mut rng);
        assert_eq!(call.to_string().parse(), Ok(call));
        let session = SessionId::random(&mut rng);
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
