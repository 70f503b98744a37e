//! Tests of handovers in orders of events that random faults rarely produce.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebony_owner::journal::{
    AdoptedRecord, BodySpan, EndedRecord, JournalRecord, JournalWriter, OpenedRecord, RecordGroup,
};
use ebony_owner::program::ProgramState;
use ebony_owner::shard::ShardRow;
use ebony_owner::takeover::{JournalRecovery, RecoveredJournal, RecoveryStep};
use ebony_owner::{
    LiveSession, OwnerAction, OwnerEvent, OwnerSettings, RequestTicket, StorageReply, StorageRequest,
    WallTime, preferred_session,
};
use ebony_types::{BudgetUse, ClockTime, FencingToken, ProgramBudget, ProgramId, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::harness::fixture::{OwnerFixture, answers};
use crate::harness::platform::{FakePlatform, Fault};
use crate::harness::{arrived, call, caller, chat, finished, live_session, order, program, session};

const SHORT_WAIT: Duration = Duration::from_millis(100);

fn settings() -> OwnerSettings {
    OwnerSettings {
        shard_count: 1,
        checkpoint_rows: 5,
        ..OwnerSettings::default()
    }
}

fn serve(platform: &mut FakePlatform, request: StorageRequest) -> StorageReply {
    let ticket = RequestTicket(0);
    let action = OwnerAction::Storage { ticket, request };
    match platform.perform(session(9), &action, Fault::None) {
        Some(OwnerEvent::StorageDone { reply, .. }) => reply,
        event => panic!("expected a storage reply, got {event:?}"),
    }
}

fn recover(recovery: &mut JournalRecovery, platform: &mut FakePlatform) -> RecoveredJournal {
    for _ in 0..50 {
        let reply = serve(platform, recovery.request());
        match recovery.on_reply(reply) {
            RecoveryStep::Request | RecoveryStep::Retry => {}
            RecoveryStep::Done(journal) => return journal,
            RecoveryStep::Failed(detail) => panic!("{detail}"),
        }
    }
    panic!("the recovery did not end within 50 replies");
}

fn run_calls(fixture: &mut OwnerFixture, numbers: std::ops::Range<u64>) -> Vec<String> {
    let mut lines = Vec::new();
    for number in numbers {
        let mut actions = fixture.send(arrived(chat(number, Some(program(0, 1)), &["hi"])));
        actions.extend(fixture.send(finished(call(number), "ok")));
        actions.extend(fixture.advance(SHORT_WAIT));
        lines.extend(answers(&actions));
    }
    lines
}

/// A seal may land on a sequence whose row the owner has deleted behind a checkpoint. Such a seal does not end the
/// journal, so the owner would continue in parallel with its successor.
#[test]
fn late_seal_on_a_truncated_row_is_noticed() {
    let mut fixture = OwnerFixture::open(session(1), settings());
    fixture
        .open_program(program(0, 1), None, ProgramBudget::default())
        .expect("room for a program");
    run_calls(&mut fixture, 1..3);
    let wanted = BTreeSet::from([ShardKey(0)]);
    let mut recovery = JournalRecovery::start(session(1), session(2), true, wanted, WallTime::default(), 7);
    let tail = serve(&mut fixture.platform, recovery.request());
    assert_eq!(recovery.on_reply(tail), RecoveryStep::Request);
    assert!(matches!(recovery.request(), StorageRequest::SealJournal { .. }));

    run_calls(&mut fixture, 3..40);
    let journal = recover(&mut recovery, &mut fixture.platform);
    assert!(journal.is_sealed);
    insta::assert_debug_snapshot!(run_calls(&mut fixture, 40..41));
    assert!(fixture.core.is_lost(), "the owner is stopped");
    let Some(ebony_owner::journal::RecoveredShard::Owned(image)) = journal.shards.get(&ShardKey(0)) else {
        panic!("the shard is recovered");
    };
    assert_eq!(image.programs[0].history.turn_count(), 39);
}

/// In a planned stop, calls in progress end normally, new ones are refused as not run, the successor needs no seal,
/// and no budget is lost.
#[test]
fn release_interrupts_nothing_and_loses_no_budget() {
    let mut fixture = OwnerFixture::open(session(1), settings());
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    fixture.send(arrived(chat(1, Some(id), &["hi"])));
    let mut leaving = live_session(session(1), "catania-1");
    leaving.is_draining = true;
    let sessions = vec![leaving, live_session(session(2), "catania-1")];
    let mut actions = fixture.send(OwnerEvent::SessionsChanged { sessions });
    actions.extend(fixture.send(arrived(chat(2, Some(id), &["hi"]))));
    actions.extend(fixture.advance(Duration::from_secs(20)));
    actions.extend(fixture.send(finished(call(1), "ok")));
    actions.extend(fixture.advance(SHORT_WAIT));
    insta::assert_debug_snapshot!(answers(&actions));
    assert!(actions.contains(&OwnerAction::ShardReleased { shard: ShardKey(0) }));
    assert!(!fixture.core.is_lost());

    let rows = |platform: &FakePlatform| {
        platform
            .rows
            .keys()
            .filter(|(owner, _)| *owner == session(1))
            .count()
    };
    let before = rows(&fixture.platform);
    let mut left = live_session(session(1), "catania-1");
    left.is_draining = true;
    let sessions = vec![left, live_session(session(2), "catania-1")];
    let mut successor = OwnerFixture::join(session(2), settings(), fixture.platform, sessions);
    let view = successor.show(id);
    assert_eq!((view.turns, view.used.tokens, view.used.calls), (1, 15, 1));
    assert_eq!(
        rows(&successor.platform),
        before,
        "a released journal is not sealed"
    );
}

/// The state of a released shard shares an object with bodies of other shards, and must not be deleted with them.
#[test]
fn released_state_outlives_the_bodies_beside_it() {
    let settings = OwnerSettings {
        shard_count: 2,
        ..settings()
    };
    let mut fixture = OwnerFixture::open(session(1), settings.clone());
    let (moving, staying) = (program(0, 1), program(1, 1));
    for id in [moving, staying] {
        fixture
            .open_program(id, None, ProgramBudget::default())
            .expect("room for a program");
    }
    let both_sessions = |other: &u8| {
        vec![
            live_session(session(1), "catania-1"),
            live_session(session(*other), "catania-1"),
        ]
    };
    let moves_first_only = |other: &u8| {
        let owner = |shard| preferred_session(ShardKey(shard), &both_sessions(other));
        (owner(0), owner(1)) == (Some(session(*other)), Some(session(1)))
    };
    let other = (2..50)
        .find(moves_first_only)
        .expect("a session that takes the first shard only");

    fixture.platform.is_down = true;
    for number in 1..=2 {
        fixture.send(arrived(chat(number, Some(staying), &["hi"])));
        fixture.send(finished(call(number), "ok"));
        fixture.send(OwnerEvent::SessionsChanged {
            sessions: both_sessions(&other),
        });
    }
    fixture.platform.is_down = false;
    fixture.complete_pending(Fault::Refused);
    fixture.advance(SHORT_WAIT);
    fixture.finish(staying, caller("shop-fiji"));
    fixture.advance(Duration::from_secs(700));
    let mut successor = OwnerFixture::join(session(other), settings, fixture.platform, both_sessions(&other));
    assert_eq!(successor.show(moving).state, "open");
}

/// A key must not expire early, and so run twice, with a successor whose clock is ahead. The time budget must not
/// grow with a successor whose clock is behind.
#[test]
fn ages_survive_clocks_that_differ() {
    let clock = |hours: u64| OwnerSettings {
        wall_start: WallTime::from_millis(hours * 3_600_000),
        ..settings()
    };
    let mut fixture = OwnerFixture::open(session(1), clock(1_000));
    let id = program(0, 1);
    let budget = ProgramBudget {
        seconds: 100,
        ..ProgramBudget::default()
    };
    fixture
        .open_program(id, None, budget)
        .expect("room for a program");
    fixture.send(arrived(order(1, None, "pay")));
    fixture.advance(SHORT_WAIT);
    fixture.send(finished(call(1), "paid"));
    fixture.advance(Duration::from_secs(60));
    fixture.send(arrived(chat(2, Some(id), &["hi"])));
    fixture.send(finished(call(2), "ok"));
    fixture.advance(SHORT_WAIT);
    for (number, hours) in [(3, 2_000), (4, 10)] {
        let platform = std::mem::take(&mut fixture.platform);
        fixture = OwnerFixture::on_platform(session(number), clock(hours), platform);
        let repeat = fixture.send(arrived(order(u64::from(number), None, "pay")));
        assert_eq!(answers(&repeat), [format!("{} replay", call(u64::from(number)))]);
    }
    assert_eq!(
        fixture.show(id).state,
        "exhausted",
        "the time budget has run out on the first successor's clock"
    );
    fixture.advance(Duration::from_secs(86_500));
    assert_eq!(fixture.core.report().intent_keys, 0);
}

fn opened(program: ProgramId, parent: Option<ProgramId>) -> JournalRecord {
    JournalRecord::Opened(Box::new(OpenedRecord {
        program,
        parent,
        caller: caller("shop-fiji"),
        budget: ProgramBudget::default(),
        is_one_call: false,
        opened: WallTime::from_millis(1),
        ceiling: BudgetUse::default(),
    }))
}

/// A child must not continue without its parent if the owner was lost between the records of both ends.
#[test]
fn child_of_an_ended_parent_is_cancelled() {
    let (parent, child) = (program(0, 1), program(0, 2));
    let adopted = JournalRecord::Adopted(AdoptedRecord {
        shard: ShardKey(0),
        epoch: FencingToken(1),
        state: BodySpan::default(),
    });
    let ended = JournalRecord::Ended(EndedRecord {
        program: parent,
        state: ProgramState::Finished,
        ended: WallTime::from_millis(2),
        spent: BudgetUse::default(),
        ceiling: BudgetUse::default(),
    });
    let records = vec![adopted, opened(parent, None), opened(child, Some(parent)), ended];
    let mut writer = JournalWriter::open(session(1), Duration::ZERO);
    writer
        .push(RecordGroup { records, body: None })
        .expect("records that fit");
    let append = writer.flush(
        ClockTime::default(),
        WallTime::from_millis(3),
        &mut ChaCha8Rng::seed_from_u64(1),
    );
    let append = append.expect("a row that fits").expect("a row");

    let mut platform = FakePlatform::default();
    platform.perform(session(1), &OwnerAction::Append(append), Fault::None);
    let row = ShardRow::owned(session(1), FencingToken(1))
        .encode()
        .expect("a shard row");
    platform.shards.insert(ShardKey(0), (1, 1, row.into()));
    let mut successor = OwnerFixture::on_platform(session(2), settings(), platform);
    assert_eq!(successor.show(child).state, "cancelled");
}

fn owners(sessions: &[LiveSession]) -> BTreeMap<u16, SessionId> {
    let owner = |shard| preferred_session(ShardKey(shard), sessions).expect("an owner");
    (0..640).map(|shard| (shard, owner(shard))).collect()
}

/// A failure domain with more hosts must not get more shards, and the loss of a host must move only the shards of
/// that host.
#[test]
fn shards_spread_evenly_and_move_rarely() {
    let domains = ["viti-a", "viti-a", "viti-a", "viti-b", "viti-c"];
    let mut sessions: Vec<LiveSession> = (1..)
        .zip(domains)
        .map(|(number, domain)| live_session(session(number), domain))
        .collect();
    let before = owners(&sessions);
    let shares: Vec<usize> = sessions
        .iter()
        .map(|live| before.values().filter(|&&owner| owner == live.session).count())
        .collect();
    insta::assert_debug_snapshot!(shares);
    let lost = sessions.remove(1).session;
    let after = owners(&sessions);
    let is_kept = |shard: &u16| before[shard] == lost || before[shard] == after[shard];
    assert!(after.keys().all(is_kept));
}
