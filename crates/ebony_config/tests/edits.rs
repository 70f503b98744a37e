//! Guards against two accepted edits for one version, accepted changes that are missing from history, and outcomes that
//! do not match history.

mod fake_store;

use std::collections::BTreeMap;
use std::sync::Arc;

use ebony_config::{
    CatchUp, ConfigDocument, ConfigEdit, ConfigPatch, EditAction, EditNonce, EditNote, EditOutcome,
    EditReply, EditRequest, KeyDigest, OperatorName, PruneAction, RevertParts, WallTime, plan_catch_up,
    plan_pruning, rebuild,
};
use ebony_testkit::check_seeds;
use fake_store::{FakeStore, Fault, sample};

const OPERATORS: usize = 10;

fn note(author: &str) -> EditNote {
    EditNote {
        author: OperatorName::parse(author).expect("the name is valid"),
        summary: "test".to_owned(),
        time: WallTime(5_000),
    }
}

fn nonce(number: u64) -> EditNonce {
    EditNonce(u128::from(number).to_be_bytes())
}

fn tokens(tokens: u64) -> ConfigPatch {
    let text = format!("{{ \"defaults\": {{ \"budget\": {{ \"tokens\": {tokens} }} }} }}");
    ConfigPatch::decode(text.as_bytes()).expect("the change is well formed")
}

/// Runs an edit without faults.
fn run(store: &mut FakeStore, request: EditRequest, number: u64) -> EditOutcome {
    let (mut edit, mut action) = ConfigEdit::begin(request, nonce(number));
    loop {
        if let EditAction::Finish(outcome) = action {
            return outcome;
        }
        action = edit.step(store.run(action, Fault::None));
    }
}

/// An operator's edit in progress.
struct RunningEdit {
    number: u64,
    base: u64,
    edit: ConfigEdit,
    action: EditAction,
}

#[test]
fn ten_operators_race_with_lost_replies() {
    let mut accepted_total = 0;
    check_seeds(300, 2_048, |input| {
        let mut store = FakeStore::with_first_version();
        let mut running: Vec<Option<RunningEdit>> = (0..OPERATORS).map(|_| None).collect();
        let mut outcomes = Vec::new();
        let mut number = 0;
        while !input.is_empty() {
            if input.ratio(1, 4)? {
                store.deliver_delayed(input.arbitrary()?);
            }
            let operator = input.choose_index(OPERATORS)?;
            let Some(mut work) = running[operator].take() else {
                number += 1;
                // Some operators start from a version that is no longer the newest.
                let base = store
                    .newest_version()
                    .saturating_sub(u64::from(input.ratio(1, 8)?))
                    .max(1);
                let request =
                    EditRequest::change(&store.documents[&base], tokens(10_000 + number), note("sela"));
                let (edit, action) = ConfigEdit::begin(request.unwrap(), nonce(number));
                running[operator] = Some(RunningEdit {
                    number,
                    base,
                    edit,
                    action,
                });
                continue;
            };
            let fault = if input.ratio(1, 3)? {
                *input.choose(&Fault::ALL)?
            } else {
                Fault::None
            };
            work.action = work.edit.step(store.run(work.action.clone(), fault));
            // Some operators abandon their edit before it ends.
            if !matches!(work.action, EditAction::Finish(_)) && input.ratio(1, 32)? {
                if let write @ EditAction::WriteCurrent { .. } = work.action {
                    store.run(write, Fault::Delayed);
                }
                work.action = EditAction::Finish(work.edit.abandon());
            }
            match work.action {
                EditAction::Finish(outcome) => outcomes.push((work.number, work.base, outcome)),
                _ => running[operator] = Some(work),
            }
        }
        store.deliver_all_delayed();
        accepted_total += check_outcomes(&store, &outcomes);
        Ok(())
    });
    // Without a lower bound, the test would also pass if faults kept every edit from being accepted.
    assert!(
        accepted_total > 3_000,
        "only {accepted_total} edits were accepted"
    );
}

/// Compares the outcomes reported to operators with the final history, and returns the number of accepted edits.
fn check_outcomes(store: &FakeStore, outcomes: &[(u64, u64, EditOutcome)]) -> usize {
    let records = store.all_records();
    let versions: Vec<_> = records.iter().map(|record| record.version).collect();
    assert_eq!(
        versions,
        (1..=store.newest_version()).collect::<Vec<_>>(),
        "history has a gap"
    );
    let winners: BTreeMap<_, _> = records
        .iter()
        .map(|record| (record.nonce, record.version))
        .collect();
    assert_eq!(winners.len(), records.len(), "an edit was accepted twice");
    let mut accepted = 0;
    for (number, base, outcome) in outcomes {
        let won = winners.get(&nonce(*number)).copied();
        match outcome {
            EditOutcome::Accepted(version) => {
                accepted += 1;
                assert_eq!((won, *version), (Some(*version), base + 1));
            }
            EditOutcome::Conflict { winner, .. } => assert!(won.is_none() && winner > base),
            EditOutcome::NotAccepted(_) => assert_eq!(won, None),
            EditOutcome::Unresolved(open) => assert_eq!(*open, nonce(*number)),
        }
    }
    let newest = store.current_record();
    let CatchUp::ReadCheckpoint(checkpoint) = plan_catch_up(0, newest) else {
        panic!("a process without a document needs a checkpoint");
    };
    let older = store.objects[&checkpoint.object_key()].as_ref().clone();
    let rebuilt = rebuild(older, &records, newest.version).expect("history has no gap");
    assert_eq!(&rebuilt, store.documents[&newest.version].as_ref());
    accepted
}

#[test]
fn replies_lead_to_the_true_outcome() {
    let store = FakeStore::with_first_version();
    let first = store.current_row();
    let mut later = first.clone();
    later.as_mut().unwrap().record.version = 3;
    let mut own = first.clone();
    own.as_mut().unwrap().record.version = 2;
    own.as_mut().unwrap().record.nonce = nonce(9);
    let mut other = own.clone();
    other.as_mut().unwrap().record.nonce = nonce(8);
    let own_record = own.clone().map(|row| Box::new(row.record));
    let current = |row: &Option<Box<ebony_config::CurrentRow>>| EditReply::Current(row.clone());
    let start = [current(&first), EditReply::Done];
    let lost = [&start[..], &[EditReply::Unknown]].concat();
    let echo = [&start[..], &[EditReply::Conflict]].concat();
    let scripts = [
        ("written", [&start[..], &[EditReply::Done]].concat()),
        ("lost, but written", [&lost[..], &[current(&own)]].concat()),
        ("lost, another won", [&lost[..], &[current(&other)]].concat()),
        (
            "lost, written, and newer since",
            [&lost[..], &[current(&later), EditReply::History(own_record)]].concat(),
        ),
        (
            "lost, and history gone",
            [&lost[..], &[current(&later), EditReply::History(None)]].concat(),
        ),
        (
            "lost, unchanged, then written",
            [&lost[..], &[current(&first), EditReply::Done]].concat(),
        ),
        (
            "lost, and no reads",
            [&lost[..], &vec![EditReply::NotRun; 9]].concat(),
        ),
        ("echo of the own write", [&echo[..], &[current(&own)]].concat()),
        ("refused", [&start[..], &vec![EditReply::NotRun; 9]].concat()),
        ("too late", vec![current(&later)]),
        ("no configuration", vec![current(&None)]),
        ("no reads", vec![EditReply::Unknown; 9]),
    ];
    let mut lines = Vec::new();
    for (name, replies) in scripts {
        let request = EditRequest::change(&store.documents[&1], tokens(10_000), note("sela")).unwrap();
        let (mut edit, mut action) = ConfigEdit::begin(request, nonce(9));
        for reply in replies {
            assert!(!matches!(action, EditAction::Finish(_)), "{name}: {action:?}");
            action = edit.step(reply);
        }
        let EditAction::Finish(outcome) = action else {
            panic!("{name}: {action:?}")
        };
        // A reported outcome does not change.
        assert_eq!(edit.step(EditReply::NotRun), EditAction::Finish(outcome.clone()));
        assert_eq!(edit.abandon(), outcome);
        lines.push(format!("{name}: {outcome:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn history_stays_bounded_and_versions_in_it_can_be_reverted() {
    const EDITS: u64 = 1_300;
    let mut store = FakeStore::with_first_version();
    for number in 1..=EDITS {
        let base = Arc::clone(&store.documents[&number]);
        let request = EditRequest::change(&base, tokens(10_000 + number), note("sela")).unwrap();
        assert_eq!(
            run(&mut store, request, number),
            EditOutcome::Accepted(number + 1)
        );
        let oldest: Vec<_> = store.history.values().take(4).cloned().collect();
        for action in plan_pruning(&oldest, store.newest_version()) {
            match action {
                PruneAction::DeleteRow(version) => store.history.remove(&version).map(|_| ()).unwrap(),
                PruneAction::DeleteObject(checkpoint) => {
                    store
                        .objects
                        .remove(&checkpoint.object_key())
                        .map(|_| ())
                        .unwrap();
                }
            }
        }
        assert!(store.history.len() <= 1_000, "{} rows", store.history.len());
        assert!(store.objects.len() <= 10, "{} checkpoints", store.objects.len());
    }
    let (newest, target) = (EDITS + 1, EDITS - 800);
    let records: Vec<_> = store.history.values().cloned().collect();
    let checkpoint = store.history[&target].checkpoint;
    let older = store.objects[&checkpoint.object_key()].as_ref().clone();
    let older = rebuild(older, &records, target).unwrap();
    assert_eq!(&older, store.documents[&target].as_ref());
    let base = Arc::clone(&store.documents[&newest]);
    let request = EditRequest::revert(&base, &older, RevertParts::Values, note("ana")).unwrap();
    assert_eq!(
        run(&mut store, request, newest),
        EditOutcome::Accepted(newest + 1)
    );
    let reverted = store.current_record();
    assert_eq!(
        (reverted.reverts, reverted.author.as_str()),
        (Some(target), "ana")
    );
    assert_eq!(store.documents[&(newest + 1)].defaults, older.defaults);
}

#[test]
fn a_revert_brings_revoked_keys_back_only_on_demand() {
    let older = sample();
    let (old_key, new_key) = (KeyDigest([2; 32]), KeyDigest([9; 32]));
    let json = format!(
        "{{ \"callers\": {{ \"set\": {{ \"shop\": {{ \"group\": \"g\", \"keys\": [\"{new_key}\"] }} }} }},
            \"defaults\": {{ \"retries\": {{ \"percent\": 5 }} }} }}"
    );
    let base = ConfigPatch::decode(json.as_bytes())
        .unwrap()
        .apply(&older)
        .unwrap();
    let older = {
        let text = String::from_utf8(older.encode()).unwrap();
        let text = text.replace(&format!("{:064}", 2), &old_key.to_string());
        ConfigDocument::decode(text.as_bytes()).unwrap()
    };
    let mut store = FakeStore::with_document(base.clone());
    let request = EditRequest::revert(&base, &older, RevertParts::Values, note("ana")).unwrap();
    run(&mut store, request, 1);
    let reverted = store.newest_document();
    assert_eq!(reverted.defaults.retries.percent, 10);
    assert!(reverted.callers.find_key(&old_key).is_none() && reverted.callers.find_key(&new_key).is_some());
    let request = EditRequest::revert(&reverted, &older, RevertParts::All, note("ana")).unwrap();
    run(&mut store, request, 2);
    assert!(store.newest_document().callers.find_key(&old_key).is_some());
}

#[test]
fn invalid_changes_never_start() {
    let base = sample();
    let no_reason = r#"{ "exceptions": { "set": { "new": { "scope": { "caller": "shop" },
        "values": { "budget": { "calls": 1 } }, "reason": "", "author": "somebody-else", "expires": 1 } } } }"#;
    let patches = [
        "{}",
        no_reason,
        r#"{ "operators": { "remove": ["sela"] } }"#,
        r#"{ "callers": { "remove": ["shop"] } }"#,
    ];
    let reports = patches.map(|text| {
        let patch = ConfigPatch::decode(text.as_bytes()).unwrap();
        EditRequest::change(&base, patch, note("ana"))
            .unwrap_err()
            .to_string()
    });
    insta::assert_snapshot!(reports.join("\n---\n"));
}

#[test]
fn the_first_configuration_and_large_changes_get_checkpoints() {
    let mut store = FakeStore::empty();
    let request = EditRequest::replace(&ConfigDocument::default(), &sample(), note("sela")).unwrap();
    assert_eq!(run(&mut store, request, 1), EditOutcome::Accepted(1));
    assert_eq!(store.current_record().checkpoint.version, 1);
    let callers: Vec<_> = (10..100)
        .map(|number| format!("\"caller-{number}\": {{ \"group\": \"g\", \"keys\": [\"{number:064}\"] }}"))
        .collect();
    let patch = format!("{{ \"callers\": {{ \"set\": {{ {} }} }} }}", callers.join(","));
    let patch = ConfigPatch::decode(patch.as_bytes()).unwrap();
    let base = Arc::clone(&store.documents[&1]);
    let request = EditRequest::change(&base, patch, note("sela")).unwrap();
    assert_eq!(run(&mut store, request, 2), EditOutcome::Accepted(2));
    let record = store.current_record();
    assert_eq!((record.patch.is_none(), record.checkpoint.version), (true, 2));
    // The author of the exceptions in the first document is the operator who wrote it.
    assert!(
        store
            .newest_document()
            .exceptions
            .as_map()
            .values()
            .all(|exception| exception.author == "sela")
    );
}
