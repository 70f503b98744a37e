//! Per-program state for placement and retention: the side processes that ran it, its last target, its history length.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use ebony_policy::admission::MAX_PROGRAMS;
use ebony_types::{CallerName, ClockTime, FencingToken, HostName, ProgramId, TargetName};

/// The maximum number of side processes recorded for one program; the oldest is dropped first. A dropped side process
/// releases the engine memory by itself when no entry confirms the program.
const MAX_SIDES_PER_PROGRAM: usize = 8;

/// How long a release is resent to side processes that reconnect.
const RELEASE_REPEAT_TIME: Duration = Duration::from_secs(60);

/// The maximum number of releases kept for resending.
const MAX_RELEASES: usize = 4_096;

/// A program without calls for this long that is not among the owner's programs has moved to another entry. The owner
/// lists its programs every 5 s.
const MOVED_TIMEOUT: Duration = Duration::from_secs(30);

/// The state of one program.
#[derive(Clone, Debug)]
pub(super) struct ProgramRecord {
    pub(super) caller: CallerName,
    /// The target that ran the last call.
    pub(super) last_target: Option<TargetName>,
    /// Length of the history in tokens after the last model call.
    pub(super) history_tokens: u64,
    sides: VecDeque<HostName>,
    paused_since: Option<ClockTime>,
    open_calls: u32,
    last_active: ClockTime,
    use_number: u64,
}

/// A release that side processes may have missed.
struct RecentRelease {
    at: ClockTime,
    program: ProgramId,
    token: FencingToken,
    sides: Vec<HostName>,
}

/// The programs with calls at this entry. A program is removed when it is released or has moved; at the bound, the
/// least recently used program is evicted.
#[derive(Default)]
pub(super) struct ProgramTable {
    records: HashMap<ProgramId, ProgramRecord>,
    by_use: BTreeMap<u64, ProgramId>,
    releases: VecDeque<RecentRelease>,
    next_use: u64,
}

/// Side effects of the start of a call.
pub(super) struct CallStart {
    /// The length of the pause that ended, if the program was paused.
    pub(super) pause: Option<Duration>,
    /// The program that was evicted.
    pub(super) evicted: Option<ProgramId>,
}

impl ProgramTable {
    /// Records the arrival of a call.
    pub(super) fn start_call(
        &mut self,
        program: ProgramId,
        caller: &CallerName,
        now: ClockTime,
    ) -> CallStart {
        self.next_use += 1;
        let record = self.records.entry(program).or_insert_with(|| ProgramRecord {
            caller: caller.clone(),
            last_target: None,
            history_tokens: 0,
            sides: VecDeque::new(),
            paused_since: None,
            open_calls: 0,
            last_active: now,
            use_number: 0,
        });
        let pause = record.paused_since.take().map(|since| now.since(since));
        record.open_calls += 1;
        record.last_active = now;
        self.by_use.remove(&record.use_number);
        record.use_number = self.next_use;
        self.by_use.insert(self.next_use, program);
        CallStart {
            pause,
            evicted: self.make_room(),
        }
    }

    /// Records the target that a call was sent to.
    pub(super) fn record_placement(&mut self, program: ProgramId, host: &HostName, target: &TargetName) {
        let Some(record) = self.records.get_mut(&program) else {
            return;
        };
        record.last_target = Some(target.clone());
        if !record.sides.contains(host) {
            record.sides.push_back(host.clone());
        }
        if record.sides.len() > MAX_SIDES_PER_PROGRAM {
            record.sides.pop_front();
        }
    }

    /// Records the end of a call. `history_tokens` is set after a complete answer of a model.
    pub(super) fn end_call(&mut self, program: ProgramId, history_tokens: Option<u64>, now: ClockTime) {
        let Some(record) = self.records.get_mut(&program) else {
            return;
        };
        record.open_calls = record.open_calls.saturating_sub(1);
        record.last_active = now;
        if let Some(tokens) = history_tokens {
            record.history_tokens = tokens;
            record.paused_since = (record.open_calls == 0).then_some(now);
        }
    }

    pub(super) fn get(&self, program: ProgramId) -> Option<&ProgramRecord> {
        self.records.get(&program)
    }

    /// Removes a program that ended and returns it with the hosts that ran it.
    pub(super) fn release(
        &mut self,
        program: ProgramId,
        token: FencingToken,
        now: ClockTime,
    ) -> Option<(ProgramRecord, Vec<HostName>)> {
        let record = self.records.remove(&program)?;
        self.by_use.remove(&record.use_number);
        let sides: Vec<HostName> = record.sides.iter().cloned().collect();
        if self.releases.len() >= MAX_RELEASES {
            self.releases.pop_front();
        }
        self.releases.push_back(RecentRelease {
            at: now,
            program,
            token,
            sides: sides.clone(),
        });
        Some((record, sides))
    }

    /// Returns the recent releases of programs that a host ran.
    pub(super) fn releases_for(&mut self, host: &HostName, now: ClockTime) -> Vec<(ProgramId, FencingToken)> {
        self.releases
            .retain(|release| now.since(release.at) < RELEASE_REPEAT_TIME);
        let of_host = self
            .releases
            .iter()
            .filter(|release| release.sides.contains(host));
        of_host.map(|release| (release.program, release.token)).collect()
    }

    /// Groups programs by the hosts that ran them. The second part holds the unknown programs.
    pub(super) fn group_by_host(
        &self,
        programs: &[ProgramId],
    ) -> (BTreeMap<HostName, Vec<ProgramId>>, Vec<ProgramId>) {
        let mut by_host: BTreeMap<HostName, Vec<ProgramId>> = BTreeMap::new();
        let mut unknown = Vec::new();
        for program in programs {
            let Some(record) = self.records.get(program) else {
                unknown.push(*program);
                continue;
            };
            for host in &record.sides {
                by_host.entry(host.clone()).or_default().push(*program);
            }
        }
        (by_host, unknown)
    }

    /// Removes and returns the programs that have moved to another entry. `owned` lists the programs of the owner.
    pub(super) fn take_moved(&mut self, owned: &[ProgramId], now: ClockTime) -> Vec<ProgramId> {
        let owned: HashSet<ProgramId> = owned.iter().copied().collect();
        let is_moved = |(program, record): &(&ProgramId, &ProgramRecord)| {
            record.open_calls == 0
                && now.since(record.last_active) >= MOVED_TIMEOUT
                && !owned.contains(*program)
        };
        let moved: Vec<ProgramId> = self.records.iter().filter(is_moved).map(|(id, _)| *id).collect();
        for program in &moved {
            if let Some(record) = self.records.remove(program) {
                self.by_use.remove(&record.use_number);
            }
        }
        moved
    }

    fn make_room(&mut self) -> Option<ProgramId> {
        if self.records.len() <= MAX_PROGRAMS {
            return None;
        }
        let (_, oldest) = self.by_use.pop_first()?;
        self.records.remove(&oldest);
        Some(oldest)
    }
}
