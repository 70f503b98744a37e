//! Choices with even load: prompt caches, objects, slow targets, memory and connections.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::prompt::PromptCache;
use ebony_dispatch::slowdown::SlowdownFactor;
use ebony_dispatch::{
    CallDemand, DispatchOptions, EvenLoad, PlacementRequest, PromptPart, TargetBoard, TargetChange,
    TargetKey, TargetPhase, TargetRecord, VersionRule, place_with,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: ClockTime = ClockTime::from_millis(1_000);
const MEMORY_TOKENS: u64 = 60_000;
const SHARED: PromptPart = PromptPart { part: 1, tokens: 512 };
const SLOTS: u32 = 8;

/// The view of one gateway.
struct Entry {
    board: TargetBoard,
    keys: Vec<TargetKey>,
    service: ServiceName,
    domain: DomainName,
    options: DispatchOptions,
    now: ClockTime,
}

impl Entry {
    fn open(name: &str, targets: usize) -> Self {
        let service = ServiceName::parse("models").expect("a valid name");
        let domain = DomainName::parse("a").expect("a valid name");
        let mut board = TargetBoard::open(name);
        let keys = (0..targets).map(|number| {
            let record = TargetRecord {
                name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
                service: service.clone(),
                address: ([10, 0, 0, number as u8], 80).into(),
                domain: domain.clone(),
                version: SoftwareVersion::parse("v1").expect("a version"),
                slots: SLOTS,
                phase: TargetPhase::Ready,
                born: 1,
            };
            match board.apply(record) {
                TargetChange::Added(key) => key,
                change => panic!("{change:?}"),
            }
        });
        Self {
            keys: keys.collect(),
            board,
            service,
            domain,
            options: DispatchOptions {
                even_load: EvenLoad::Always,
                ..DispatchOptions::default()
            },
            now: START,
        }
    }

    /// Returns the index of the target for a call. Time passes between calls.
    fn place(
        &mut self,
        affinity: &str,
        is_sticky: bool,
        prompt: &[PromptPart],
        demand: &CallDemand<'_>,
    ) -> Option<usize> {
        self.now = self.now + Duration::from_millis(1);
        let request = PlacementRequest {
            service: &self.service,
            domain: &self.domain,
            affinity,
            is_sticky,
            prompt,
            tried: &[],
            max_connections: 100,
            max_permit_wait: None,
            versions: VersionRule::Any,
        };
        let key = place_with(&self.board, &request, demand, &self.options, self.now)?;
        self.keys.iter().position(|found| *found == key)
    }

    fn place_plain(&mut self, number: usize) -> usize {
        let chosen = self.place(&format!("call-{number}"), false, &[], &CallDemand::default());
        chosen.expect("a target is ready")
    }

    fn report(&mut self, target: usize, running: u32, percent: Option<u16>) {
        let notice = LoadNotice {
            running,
            waiting: 0,
            slots: SLOTS,
            slowdown: percent.map(SlowdownFactor::from_percent),
        };
        self.board.record_notice(self.keys[target], notice, self.now);
    }
}

/// Simulates programs of four turns at random gateways, with some calls under way. Returns the prompt tokens that the
/// engines prefill.
fn prefilled_tokens(calls_under_way: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let names = ["first", "second", "third"];
    let mut entries = names.map(|name| Entry::open(name, 6));
    let mut engines = vec![PromptCache::default(); 6];
    let mut under_way = VecDeque::new();
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
            let chosen = entry.place(&name, false, &prompt, &CallDemand::default());
            let at = chosen.expect("a target is ready");
            let run = entry.board.begin(entry.keys[at], &prompt, Some(MEMORY_TOKENS));
            entry.board.end_prefill(run);
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

/// Guards against random choice that moves turns away from their cached history.
#[test]
fn turns_stay_where_their_history_is_cached() {
    // The least possible prefill: each part once, and the shared part once on each engine.
    let least = 200 * 4 * 400 + 6 * 512;
    let prefilled = prefilled_tokens(6);
    assert!(prefilled <= least * 11 / 10, "{prefilled} against {least}");
    let prefilled = prefilled_tokens(24);
    assert!(prefilled <= least * 13 / 10, "{prefilled} against {least}");
}

/// Guards against a cache that keeps turns at a target which is slow or full for the time being.
#[test]
fn turns_leave_a_slow_target_with_their_history() {
    let mut entry = Entry::open("first", 6);
    let prompt = [
        SHARED,
        PromptPart { part: 9, tokens: 300 },
        PromptPart {
            part: 10,
            tokens: 300,
        },
    ];
    let demand = CallDemand::default();
    let home = entry
        .place("p", false, &prompt, &demand)
        .expect("a target is ready");
    let run = entry.board.begin(entry.keys[home], &prompt, Some(MEMORY_TOKENS));
    entry.board.end(run);
    assert_eq!(entry.place("p", false, &prompt, &demand), Some(home));
    entry.report(home, 1, Some(500));
    assert_ne!(entry.place("p", false, &prompt, &demand), Some(home));
}

/// Guards against an automatic mode that does not notice reports of slow-downs, and against calls to slow hosts.
#[test]
fn calls_avoid_slow_hosts_of_services_that_report_slowdowns() {
    let mut entry = Entry::open("first", 6);
    entry.options.even_load = EvenLoad::Automatic;
    assert!(!entry.board.reports_slowdown(&entry.service));
    (0..6).for_each(|target| entry.report(target, 1, Some(if target < 3 { 400 } else { 100 })));
    assert!(entry.board.reports_slowdown(&entry.service));
    let slow = (0..100).filter(|number| entry.place_plain(*number) < 3).count();
    // Two random targets are both slow for one call in five.
    assert!(slow < 35, "{slow}");
}

/// Guards against targets that all gateways take for idle, because no recent report says otherwise.
#[test]
fn targets_without_a_recent_report_count_as_loaded_as_the_others() {
    let mut entry = Entry::open("first", 6);
    for _ in 0..40 {
        (0..5).for_each(|target| entry.report(target, 6, None));
    }
    entry.report(0, 1, None);
    let mut chosen = HashMap::new();
    for number in 0..100 {
        *chosen.entry(entry.place_plain(number)).or_insert(0) += 1;
    }
    let silent = chosen.get(&5).copied().unwrap_or_default();
    assert!(silent < 40 && chosen[&0] > 25, "{chosen:?}");
}

/// Guards against gateways that prefer different targets for an object, and against an object whose target is full.
#[test]
fn calls_about_an_object_prefer_its_target_until_it_has_a_queue() {
    let demand = CallDemand::default();
    let mut entries = ["first", "second"].map(|name| Entry::open(name, 6));
    let mut homes = HashSet::new();
    for object in 0..60 {
        let affinity = format!("lali\n{object}");
        let [first, second] = &mut entries;
        let home = first.place(&affinity, true, &[], &demand);
        assert_eq!(second.place(&affinity, true, &[], &demand), home);
        homes.extend(home);
    }
    assert_eq!(homes.len(), 6, "objects are spread over all targets");
    let [entry, _] = &mut entries;
    let home = entry
        .place("lali\n1", true, &[], &demand)
        .expect("a target is ready");
    entry.report(home, SLOTS + SLOTS, None);
    assert_ne!(entry.place("lali\n1", true, &[], &demand), Some(home));
}

/// Guards against more connections than needed: gateways use different parts of the targets, and prefer those to which
/// a connection is open.
#[test]
fn plain_calls_of_a_gateway_use_few_targets() {
    let mut used = HashSet::new();
    for name in [
        "first", "second", "third", "fourth", "fifth", "sixth", "seventh", "eighth",
    ] {
        let mut entry = Entry::open(name, 60);
        let chosen: HashSet<usize> = (0..200).map(|number| entry.place_plain(number)).collect();
        assert!((2..=20).contains(&chosen.len()), "{name}: {}", chosen.len());
        used.extend(chosen);
    }
    assert!(used.len() > 30, "{}", used.len());
    let mut entry = Entry::open("first", 6);
    let idle = entry.keys[2];
    let demand = CallDemand {
        has_idle: &|key| key == idle,
        ..CallDemand::default()
    };
    let mut taken = 0;
    for number in 0..100 {
        let chosen = entry.place(&format!("call-{number}"), false, &[], &demand);
        taken += u32::from(chosen == Some(2));
    }
    // It is one of the two random targets for a third of the calls.
    assert!(taken >= 25, "{taken}");
}

/// Guards against calls that exceed an engine's memory, under which it crashes.
#[test]
fn a_target_gets_no_more_than_its_memory_holds() {
    let mut entry = Entry::open("first", 2);
    let demand = CallDemand {
        max_output: 2_000,
        memory_tokens: Some(10_000),
        ..CallDemand::default()
    };
    let prompt = |program: u64| {
        [
            SHARED,
            PromptPart {
                part: 100 + program,
                tokens: 2_000,
            },
        ]
    };
    let mut runs = Vec::new();
    for program in 0..20 {
        let prompt = prompt(program);
        let Some(at) = entry.place(&format!("p-{program}"), false, &prompt, &demand) else {
            break;
        };
        let run = entry.board.begin(entry.keys[at], &prompt, Some(10_000));
        entry.board.hold_tokens(run, &prompt, 2_000);
        runs.push(run);
    }
    let held = entry
        .keys
        .iter()
        .map(|key| entry.board.target(*key).expect("listed").load.own_tokens());
    let held: Vec<u64> = held.collect();
    assert!(
        held.iter().all(|tokens| (4_000..=10_000).contains(tokens)),
        "{held:?}"
    );
    assert_eq!(runs.len(), 4);
    entry.board.end(runs.pop().expect("a run"));
    assert!(
        entry.place("p-9", false, &prompt(9), &demand).is_some(),
        "the end of a call frees its memory"
    );
    // Calls of other gateways count as well, if another target has room.
    let mut entry = Entry::open("first", 2);
    let first = entry
        .place("p-1", false, &prompt(1), &demand)
        .expect("a target is ready");
    let run = entry.board.begin(entry.keys[first], &prompt(1), Some(10_000));
    entry.board.hold_tokens(run, &prompt(1), 2_000);
    entry.report(first, 3, None);
    for program in 2..20 {
        let chosen = entry.place(&format!("p-{program}"), false, &prompt(program), &demand);
        assert_ne!(chosen, Some(first));
    }
}

/// Guards against calls that are lost at targets that go down and up by turns: calls that run at most once pass over a
/// target for some time after a failure, although it has answered since, unless others are much busier.
#[test]
fn calls_that_run_once_pass_over_targets_that_failed() {
    let mut entry = Entry::open("first", 6);
    let failed = entry.keys[2];
    let options = entry.options;
    entry.board.record_failure(failed, &options, entry.now);
    entry.board.record_success(failed);
    let once = CallDemand {
        runs_once: true,
        ..CallDemand::default()
    };
    let chosen = |entry: &mut Entry, demand: &CallDemand<'_>| {
        let names = (0..200).map(|number| format!("call-{number}"));
        let calls = names.filter(|name| entry.place(name, false, &[], demand) == Some(2));
        calls.count()
    };
    assert_eq!(chosen(&mut entry, &once), 0);
    assert!(chosen(&mut entry, &CallDemand::default()) > 0);
    for target in [0, 1, 3, 4, 5] {
        entry.report(target, 8 * SLOTS, None);
    }
    assert!(chosen(&mut entry, &once) > 0);
    let mut entry = Entry::open("first", 6);
    entry.board.record_failure(entry.keys[2], &options, entry.now);
    entry.now = entry.now + Duration::from_secs(10);
    assert!(chosen(&mut entry, &once) > 0);
}
