//! Placement of calls under changing load, failures and restarts of targets.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    DispatchOptions, PlacementRequest, PlacementRule, PromptPart, TargetBoard, TargetChange,
    TargetIncarnation, TargetKey, TargetPhase, TargetRecord, VersionRule, place,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The shared part at the start of every prompt.
const SHARED: PromptPart = PromptPart { part: 1, tokens: 512 };
const MEMORY_TOKENS: u64 = 60_000;
/// Connections that a target accepts from the entry.
const MAX_CONNECTIONS: u32 = 30;

fn record(number: usize, domain: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
        service: ServiceName::parse("models").expect("a valid name"),
        address: ([10, 0, 0, number as u8], 80).into(),
        domain: DomainName::parse(domain).expect("a valid name"),
        version: SoftwareVersion::parse("v1").expect("a version"),
        slots: 8,
        phase: TargetPhase::Ready,
        born: 1,
    }
}

struct Entry {
    board: TargetBoard,
    keys: Vec<TargetKey>,
    options: DispatchOptions,
    service: ServiceName,
    domain: DomainName,
}

impl Entry {
    fn open(targets: usize, rule: PlacementRule) -> Self {
        let mut board = TargetBoard::default();
        let keys = (0..targets).map(|number| match board.apply(record(number, "a")) {
            TargetChange::Added(key) => key,
            change => panic!("{change:?}"),
        });
        Self {
            keys: keys.collect(),
            board,
            options: DispatchOptions {
                rule,
                ..DispatchOptions::default()
            },
            service: ServiceName::parse("models").expect("a valid name"),
            domain: DomainName::parse("a").expect("a valid name"),
        }
    }

    fn place(
        &self,
        affinity: &str,
        prompt: &[PromptPart],
        tried: &[TargetKey],
        now: ClockTime,
    ) -> Option<TargetKey> {
        let request = PlacementRequest {
            service: &self.service,
            domain: &self.domain,
            affinity,
            is_sticky: false,
            prompt,
            tried,
            max_connections: MAX_CONNECTIONS,
            max_permit_wait: None,
            versions: VersionRule::Any,
        };
        place(&self.board, &request, &self.options, now)
    }
}

const NOW: ClockTime = ClockTime::from_millis(1_000);

/// Simulates programs of four turns, each of which reaches a random entry, as happens when callers retry or reconnect.
/// Returns the prompt tokens that the engines prefill.
fn prefilled_tokens(rule: PlacementRule, calls_under_way: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut entries: Vec<Entry> = (0..3).map(|_| Entry::open(6, rule)).collect();
    // What the engines have really cached, whichever entry sent it.
    let mut engines = vec![ebony_dispatch::prompt::PromptCache::default(); 6];
    let mut under_way = std::collections::VecDeque::new();
    let mut prefilled = 0;
    for program in 0..200_u64 {
        let mut prompt = vec![SHARED];
        for turn in 0..4 {
            prompt.push(PromptPart {
                part: 1_000 + program * 10 + turn,
                tokens: 400,
            });
            let at_entry = rng.random_range(0..3);
            let entry = &mut entries[at_entry];
            let name = format!("program-{program}");
            let key = entry.place(&name, &prompt, &[], NOW).expect("a target is ready");
            let run = entry.board.begin(key, &prompt, Some(MEMORY_TOKENS));
            entry.board.end_prefill(run);
            let at = entry
                .keys
                .iter()
                .position(|found| *found == key)
                .expect("the key is known");
            let total: u64 = prompt.iter().map(|part| u64::from(part.tokens)).sum();
            prefilled += total - engines[at].cached_tokens(&prompt);
            engines[at].record(&prompt, MEMORY_TOKENS);
            under_way.push_back((at_entry, run));
            if under_way.len() > calls_under_way
                && let Some((at_entry, run)) = under_way.pop_front()
            {
                entries[at_entry].board.end(run);
            }
        }
    }
    prefilled
}

/// The least possible prefill: each part once, and the shared part once on each engine.
const LEAST_PREFILL: u64 = 200 * 4 * 400 + 6 * 512;

#[test]
fn turns_of_a_program_hit_the_prompt_cache_whichever_entry_they_reach() {
    // On average, one call at a time on each engine.
    let by_delay = prefilled_tokens(PlacementRule::EstimatedDelay, 6);
    assert!(
        by_delay <= LEAST_PREFILL * 11 / 10,
        "{by_delay} against {LEAST_PREFILL}"
    );
}

#[test]
fn estimated_delay_halves_the_prefill_of_least_own_load_at_half_occupancy() {
    let by_delay = prefilled_tokens(PlacementRule::EstimatedDelay, 24);
    let by_load = prefilled_tokens(PlacementRule::LeastOwnLoad, 24);
    assert!(by_load >= 2 * by_delay, "{by_load} against {by_delay}");
}

#[test]
fn calls_avoid_a_busy_home_target_until_its_report_is_outdated() {
    let mut entry = Entry::open(4, PlacementRule::EstimatedDelay);
    let prompt = [SHARED, PromptPart { part: 9, tokens: 300 }];
    let home = entry.place("p", &prompt, &[], NOW).expect("a target is ready");
    let notice = LoadNotice {
        running: 8,
        waiting: 40,
        slots: 8,
        ..LoadNotice::default()
    };
    entry.board.record_notice(home, notice, NOW);
    let other = entry.place("p", &prompt, &[], NOW).expect("a target is ready");
    assert_ne!(other, home);
    // Once the load report is outdated, programs return to the home target.
    let later = NOW + entry.options.report_half_life * 10;
    assert_eq!(entry.place("p", &prompt, &[], later), Some(home));
}

#[test]
fn failed_and_full_targets_are_chosen_only_as_a_last_resort() {
    let mut entry = Entry::open(2, PlacementRule::EstimatedDelay);
    let [first, second] = entry.keys[..] else {
        panic!("two targets")
    };
    let options = entry.options;
    entry.board.record_failure(first, &options, NOW);
    assert_eq!(entry.place("p", &[], &[], NOW), Some(second));
    assert_eq!(entry.place("p", &[], &[second], NOW), Some(first));
    entry.board.record_full(second, &options, NOW);
    assert_eq!(
        entry.place("p", &[], &[], NOW),
        Some(second),
        "a full target is preferred to a failed one"
    );
    assert_eq!(entry.place("p", &[], &[first, second], NOW), None);
}

#[test]
fn draining_targets_and_other_services_get_no_calls() {
    let mut entry = Entry::open(2, PlacementRule::EstimatedDelay);
    let draining = TargetRecord {
        phase: TargetPhase::Draining,
        ..record(0, "a")
    };
    let moved = TargetRecord {
        service: ServiceName::parse("stock").expect("a valid name"),
        ..record(1, "a")
    };
    entry.board.apply(draining);
    entry.board.apply(moved);
    assert_eq!(entry.place("p", &[], &[], NOW), None);
}

#[test]
fn plain_calls_spread_over_equal_targets_and_prefer_the_own_domain() {
    let mut entry = Entry::open(3, PlacementRule::EstimatedDelay);
    entry.board.apply(record(9, "b"));
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..12 {
        let key = entry
            .place(&format!("c-{number}"), &[], &[], NOW)
            .expect("a target is ready");
        entry.board.begin(key, &[], None);
        let name = entry
            .board
            .target(key)
            .expect("the target is listed")
            .record
            .name
            .clone();
        *counts.entry(name).or_insert(0) += 1;
    }
    insta::assert_debug_snapshot!(counts);
}

#[test]
fn baseline_rules_choose_as_documented() {
    let mut entry = Entry::open(3, PlacementRule::HomeTarget);
    let prompt = [SHARED];
    let home = entry.place("p", &prompt, &[], NOW).expect("a target is ready");
    for _ in 0..entry.options.home_extra_calls {
        entry.board.begin(home, &prompt, None);
    }
    assert_eq!(
        entry.place("p", &prompt, &[], NOW),
        Some(home),
        "within home_extra_calls"
    );
    entry.board.begin(home, &prompt, None);
    assert_ne!(
        entry.place("p", &prompt, &[], NOW),
        Some(home),
        "beyond home_extra_calls"
    );
    entry.options.rule = PlacementRule::LeastOwnLoad;
    assert_ne!(entry.place("p", &prompt, &[], NOW), Some(home));
}

#[test]
fn a_restarted_target_has_no_load_cache_or_failures() {
    let mut entry = Entry::open(1, PlacementRule::EstimatedDelay);
    let key = entry.keys[0];
    let options = entry.options;
    entry.board.begin(key, &[SHARED], None);
    entry.board.record_failure(key, &options, NOW);
    let reborn = TargetRecord {
        born: 2,
        ..record(0, "a")
    };
    let TargetChange::Added(new) = entry.board.apply(reborn) else {
        panic!("a restarted target counts as new")
    };
    let target = entry.board.target(new).expect("the target is listed");
    assert_eq!(target.load.own_calls(), 0);
    assert_eq!(target.cache.cached_tokens(&[SHARED]), 0);
    assert!(!target.fault.is_avoided(NOW));
    assert!(entry.board.target(key).is_none());
}

#[test]
fn unlisted_targets_are_kept_for_the_grace_time() {
    let mut entry = Entry::open(2, PlacementRule::EstimatedDelay);
    let name = TargetName::parse("engine-0").expect("a valid name");
    let until = NOW + Duration::from_secs(2);
    entry.board.mark_unlisted(&name, until);
    // Missing the target again does not extend its deadline.
    entry.board.mark_unlisted(&name, until + Duration::from_secs(2));
    assert!(
        entry
            .board
            .remove_expired(NOW + Duration::from_secs(1))
            .is_empty()
    );
    entry.board.apply(record(0, "a"));
    assert!(entry.board.remove_expired(until).is_empty(), "it is listed again");
    entry.board.mark_unlisted(&name, until);
    assert_eq!(entry.board.remove_expired(until), [name]);
}

/// Guards against more connections than a target accepts. It resets those beyond its limit, and calls on them may have
/// run.
#[test]
fn targets_without_free_connections_are_chosen_last() {
    for rule in [
        PlacementRule::LeastOwnLoad,
        PlacementRule::HomeTarget,
        PlacementRule::EstimatedDelay,
    ] {
        let mut entry = Entry::open(2, rule);
        entry.options.home_extra_calls = u32::MAX / 2;
        let prompt = [SHARED, PromptPart { part: 9, tokens: 300 }];
        let home = entry.place("program", &prompt, &[], NOW).expect("a target");
        for _ in 0..MAX_CONNECTIONS {
            entry.board.begin(home, &prompt, Some(MEMORY_TOKENS));
        }
        let other = entry.place("program", &prompt, &[], NOW).expect("a target");
        assert_ne!(other, home, "{rule:?}");
        // If no target has a connection left, the rule chooses among all of them.
        for _ in 0..MAX_CONNECTIONS {
            entry.board.begin(other, &prompt, Some(MEMORY_TOKENS));
        }
        assert!(entry.place("program", &prompt, &[], NOW).is_some(), "{rule:?}");
    }
}

#[test]
fn leaving_targets_are_bounded_and_late_announcements_change_nothing() {
    let mut board = TargetBoard::default();
    let name = |number: u32| TargetName::parse(&format!("t-{number}")).expect("a valid name");
    let incarnation = |born: u64| TargetIncarnation {
        born,
        address: "10.0.0.1:80".parse().expect("an address"),
    };
    assert!(board.record_leaving(&name(0), incarnation(5)));
    assert!(!board.record_leaving(&name(0), incarnation(5)));
    // A late announcement of an earlier incarnation does not replace that of a later one.
    assert!(!board.record_leaving(&name(0), incarnation(4)));
    assert!(!board.record_leaving(&name(0), incarnation(5)));
    assert!(board.record_leaving(&name(0), incarnation(6)));
    (1..=1_024).for_each(|number| assert!(board.record_leaving(&name(number), incarnation(1))));
    // The oldest entry was evicted at the limit, so that its incarnation counts as new.
    assert!(board.record_leaving(&name(0), incarnation(6)));
}
