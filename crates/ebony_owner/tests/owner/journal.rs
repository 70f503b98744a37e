//! Tests of the stored formats, and of the write load on the platform.

use std::time::Duration;

use ebony_owner::journal::{CheckpointImage, JournalRow, ShardImage};
use ebony_owner::program::{MessageList, TurnBody};
use ebony_owner::shard::ShardRow;
use ebony_owner::{OwnerSettings, WallTime};
use ebony_testkit::check_seeds;
use ebony_types::ProgramBudget;

use crate::harness::fixture::{OwnerFixture, answers};
use crate::harness::platform::Fault;
use crate::harness::{arrived, call, chat, finished, program, session};

/// Decoding arbitrary bytes must neither panic nor allocate more than their size justifies.
#[test]
fn arbitrary_bytes_never_panic() {
    check_seeds(10_000, 96, |input| {
        let bytes = input.bytes(input.len())?;
        let _ = JournalRow::decode(bytes);
        let _ = CheckpointImage::decode(bytes);
        let _ = ShardImage::decode(bytes);
        let _ = ShardRow::decode(bytes);
        let _ = TurnBody::decode(bytes);
        let _ = MessageList::parse(bytes);
        Ok(())
    });
}

/// Decoding truncated or corrupted rows must not panic.
#[test]
fn damaged_rows_never_panic() {
    let fixture = busy_fixture(20, 1);
    let rows: Vec<_> = fixture
        .platform
        .rows
        .values()
        .map(|(_, row)| row.to_vec())
        .collect();
    check_seeds(10_000, 16, |input| {
        let mut row = input.choose(&rows)?.clone();
        let position = input.choose_index(row.len())?;
        row[position] ^= input.arbitrary::<u8>()?;
        let _ = JournalRow::decode(&row);
        row.truncate(position);
        assert!(JournalRow::decode(&row).is_err(), "a truncated row decodes");
        Ok(())
    });
}

#[test]
fn unknown_versions_and_huge_lengths_are_refused() {
    let seal = JournalRow::seal(session(1), 7, session(2), WallTime::from_millis(9)).expect("a seal");
    insta::assert_debug_snapshot!(JournalRow::decode(&seal));
    let mut newer = seal.clone();
    newer[0] += 1;
    insta::assert_debug_snapshot!(JournalRow::decode(&newer));
    let mut longer = seal;
    longer.push(0);
    assert!(JournalRow::decode(&longer).is_err());
    let huge = [1, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    assert!(ShardRow::decode(&huge).is_err());
    assert!(JournalRow::decode(&[0x81; 100_000]).is_err());
}

/// Runs `programs` one-call programs every 100 ms, `tenths` times.
fn busy_fixture(programs: u64, tenths: u64) -> OwnerFixture {
    let settings = OwnerSettings {
        shard_count: 1,
        writes_per_second: 10,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings);
    for number in 0..programs * tenths {
        fixture.send(arrived(chat(number, None, &["hi"])));
        fixture.send(finished(call(number), "ok"));
        if number % programs == programs - 1 {
            fixture.advance(Duration::from_millis(100));
        }
    }
    fixture.advance(Duration::from_millis(100));
    fixture
}

/// The write rate must depend on the minimum interval between rows and not on the call rate.
#[test]
fn rows_do_not_grow_with_the_call_rate() {
    let writes = [1, 10, 100].map(|programs| busy_fixture(programs, 20).platform.writes);
    assert!(
        writes.iter().all(|&writes| writes <= 23),
        "{writes:?} rows in two seconds at 10 a second"
    );
}

/// Snapshots the bytes per turn in the journal, which cost platform traffic, and the memory of a program with 84
/// turns.
#[test]
fn turns_take_few_bytes() {
    let settings = OwnerSettings {
        shard_count: 1,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings);
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let before: usize = fixture.platform.rows.values().map(|(_, row)| row.len()).sum();
    let mut lines = Vec::new();
    for number in 1..=84 {
        let mut actions = fixture.send(arrived(chat(number, Some(id), &["hi"])));
        actions.extend(fixture.send(finished(call(number), "ok")));
        actions.extend(fixture.advance(Duration::from_millis(100)));
        lines.extend(answers(&actions));
    }
    assert_eq!(lines.len(), 84);
    let after: usize = fixture.platform.rows.values().map(|(_, row)| row.len()).sum();
    insta::assert_debug_snapshot!(((after - before) / 84, fixture.core.report().state_bytes));
}

/// When the reply to a write is lost, the row must not be written twice and the call must not finish twice.
#[test]
fn lost_reply_is_resolved_by_the_nonce() {
    let mut fixture = busy_fixture(1, 1);
    let id = program(0, 9);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let writes = fixture.platform.writes;
    fixture.platform.is_down = true;
    fixture.send(arrived(chat(7, Some(id), &["hi"])));
    fixture.send(finished(call(7), "ok"));
    fixture.advance(Duration::from_millis(200));
    fixture.platform.is_down = false;
    let mut lines = answers(&fixture.complete_pending(Fault::LostReply));
    assert_eq!(
        (lines.len(), fixture.platform.writes),
        (0, writes + 1),
        "the outcome is unknown"
    );
    lines.extend(answers(&fixture.advance(Duration::from_secs(1))));
    assert_eq!(lines, [format!("{} finish", call(7))]);
}

/// Rows may be deleted only after a durable row references the checkpoint that replaces them, and a successor must
/// find the whole state.
#[test]
fn checkpoints_replace_rows() {
    let settings = OwnerSettings {
        shard_count: 1,
        checkpoint_rows: 5,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings.clone());
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for number in 1..=40 {
        fixture.send(arrived(chat(number, Some(id), &["hi"])));
        fixture.send(finished(call(number), "ok"));
        fixture.advance(Duration::from_millis(100));
    }
    let (history, view) = (fixture.history(id), fixture.show(id));
    assert!(
        fixture.platform.rows.len() < 15,
        "{} rows are left",
        fixture.platform.rows.len()
    );
    assert_eq!(fixture.platform.checkpoints.len(), 1);
    let mut successor = OwnerFixture::on_platform(session(2), settings, fixture.platform);
    successor.advance(Duration::from_millis(100));
    assert_eq!(successor.history(id), history);
    assert_eq!(successor.show(id).turns, view.turns);
}
