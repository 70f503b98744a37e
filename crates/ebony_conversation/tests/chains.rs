//! Random trees of turns. A turn within its retention must be found with its whole conversation, although expired rows
//! are removed.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use arbitrary::Unstructured;
use ebony_conversation::{MAX_ANCESTORS, TurnCache, TurnChain, TurnRecord, row_lifetime};
use ebony_testkit::check_seeds;
use ebony_types::{ClockTime, TurnName};

const RETENTION: Duration = Duration::from_secs(60);

struct Row {
    record: Rc<TurnRecord>,
    written: ClockTime,
}

/// The store, and the expected conversation of each turn.
#[derive(Default)]
struct World {
    now: ClockTime,
    rows: HashMap<TurnName, Row>,
    expected: HashMap<TurnName, Vec<u8>>,
    kept: Vec<(TurnName, ClockTime)>,
}

impl World {
    /// Joins a conversation from rows alone, like a gateway with an empty cache.
    fn chain(&self, turn: &TurnName) -> Option<TurnChain> {
        let record = Rc::clone(&self.rows.get(turn)?.record);
        let ancestors = record.ancestors.iter();
        let ancestors: Option<Vec<_>> = ancestors
            .map(|turn| self.rows.get(turn).map(|row| Rc::clone(&row.record)))
            .collect();
        Some(TurnChain::open(turn.clone(), record, ancestors?).expect("the conversation is small"))
    }

    fn add_turn(&mut self, input: &mut Unstructured<'_>) -> ebony_testkit::Result<()> {
        let number = self.expected.len();
        let name = TurnName::parse(&format!("t{number}")).expect("a valid name");
        let question = format!("q{number}?");
        let answer = format!("a{number}\n");
        let continuable: Vec<&TurnName> = self.continuable().collect();
        let previous = match continuable.is_empty() || input.ratio(1, 12)? {
            true => None,
            // Usually continues the newest turn, and otherwise starts a branch at any turn.
            false if input.ratio(4, 5)? => continuable.last().copied().cloned(),
            false => Some((*input.choose(&continuable)?).clone()),
        };
        let (record, mut expected) = match &previous {
            Some(previous) => {
                let chain = self.chain(previous).expect("a turn that is kept is found");
                let expected = self.expected[previous].clone();
                assert_eq!(chain.prompt(b""), expected);
                assert!(chain.len() <= MAX_ANCESTORS + 1);
                (
                    chain.follow(None, question.as_bytes(), answer.as_bytes()),
                    expected,
                )
            }
            None => (
                TurnChain::begin(None, question.as_bytes(), answer.as_bytes()),
                Vec::new(),
            ),
        };
        expected.extend_from_slice(question.as_bytes());
        expected.extend_from_slice(answer.as_bytes());
        self.expected.insert(name.clone(), expected);
        let row = Row {
            record: Rc::new(record),
            written: self.now,
        };
        self.rows.insert(name.clone(), row);
        self.kept.push((name, self.now));
        Ok(())
    }

    /// Returns the turns that may be continued.
    fn continuable(&self) -> impl Iterator<Item = &TurnName> {
        let is_continuable = |(_, ended): &&(TurnName, ClockTime)| self.now.since(*ended) < RETENTION;
        self.kept.iter().filter(is_continuable).map(|(name, _)| name)
    }

    fn remove_expired_rows(&mut self) {
        let (now, lifetime) = (self.now, row_lifetime(RETENTION));
        self.rows.retain(|_, row| now.since(row.written) < lifetime);
    }
}

#[test]
fn turns_within_retention_are_found_after_expired_rows_are_removed() {
    check_seeds(300, 2_048, |input| {
        let mut world = World::default();
        for _ in 0..120 {
            world.add_turn(input)?;
            // Pauses of up to almost the retention of a turn.
            world.now = world.now + Duration::from_secs(input.int_in_range(0..=59)?);
            world.remove_expired_rows();
        }
        for turn in world.continuable() {
            let chain = world.chain(turn).expect("a turn that is kept is found");
            assert_eq!(chain.prompt(b""), world.expected[turn]);
        }
        Ok(())
    });
}

#[test]
fn every_ninth_continuation_is_stored_as_a_whole_conversation() {
    let name = |number: usize| TurnName::parse(&format!("t{number}")).expect("a valid name");
    let mut record = TurnChain::begin(None, b"q", b"a");
    let mut records: HashMap<TurnName, Rc<TurnRecord>> = HashMap::new();
    let mut ancestors = Vec::new();
    for number in 0..12 {
        ancestors.push(record.ancestors.len());
        let shared = Rc::new(record.clone());
        records.insert(name(number), Rc::clone(&shared));
        let earlier = record.ancestors.iter().map(|turn| Rc::clone(&records[turn]));
        let chain = TurnChain::open(name(number), shared, earlier.collect()).expect("a small conversation");
        record = chain.follow(None, b"q", b"a");
    }
    insta::assert_debug_snapshot!(ancestors, @r"
    [
        0,
        1,
        2,
        3,
        4,
        5,
        6,
        7,
        8,
        0,
        1,
        2,
    ]
    ");
}

#[test]
fn the_cache_stays_within_its_capacity() {
    check_seeds(100, 512, |input| {
        let mut cache = TurnCache::open(10_000);
        for _ in 0..40 {
            let name = TurnName::parse(&format!("t{}", input.int_in_range(0..=9)?)).expect("a valid name");
            let content = vec![0; input.int_in_range(0..=12_000)?];
            cache.insert(name.clone(), Rc::new(TurnChain::begin(None, &content, b"")));
            assert!(cache.bytes() <= 10_000);
            let is_small = content.len() < 9_000;
            assert_eq!(cache.get(&name).is_some(), is_small || content.len() <= 9_488);
        }
        Ok(())
    });
}

#[test]
fn decoding_arbitrary_bytes_fails_or_round_trips() {
    check_seeds(2_000, 256, |input| {
        let bytes: Vec<u8> = input.arbitrary()?;
        if let Ok(record) = TurnRecord::from_bytes(&bytes) {
            assert_eq!(TurnRecord::from_bytes(&record.to_bytes()), Ok(record));
        }
        Ok(())
    });
}
