//! Which side processes ran the programs of this entry, and what placement and retention know of them.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use ebony_policy::admission::MAX_PROGRAMS;
use ebony_types::{CallerName, ClockTime, FencingToken, HostName, ProgramId, TargetName};

/// The most side processes that are remembered for one program; the earliest makes room. Engine memory there is
/// released when nobody vouches for the program.
const MAX_SIDES: usize = 8;

/// The time for which a release is repeated to side processes that are linked again.
const RELEASE_MEMORY: Duration = Duration::from_secs(60);

/// The most releases that are remembered for repetition.
const MAX_RELEASES: usize = 4_096;

/// A program that has no call for this long and is not among the owner's programs has moved to another entry. The
/// owner lists its programs every 5 s.
const MOVED_AFTER: Duration = Duration::from_secs(30);

/// What is known of one program.
#[derive(Clone, Debug)]
pub(super) struct ProgramTrail {
    pub(super) caller: CallerName,
    /// The target that ran the last call.
    pub(super) last_target: Option<TargetName>,
    /// Tokens of the history after the last model call.
    pub(super) history_tokens: u64,
    sides: VecDeque<HostName>,
    paused_since: Option<ClockTime>,
    open_calls: u32,
    touched: ClockTime,
    use_number: u64,
}

/// A release that side processes may have missed.
struct RecentRelease {
    at: ClockTime,
    program: ProgramId,
    token: FencingToken,
    sides: Vec<HostName>,
}

/// The programs with calls at this entry. A program leaves when it is released or has moved; at the bound, the least
/// recently used one makes room.
#[derive(Default)]
pub(super) struct ProgramBook {
    trails: HashMap<ProgramId, ProgramTrail>,
    by_use: BTreeMap<u64, ProgramId>,
    releases: VecDeque<RecentRelease>,
    next_use: u64,
}

/// What the start of a call shows.
pub(super) struct CallStart {
    /// The pause that ended, if the program was paused.
    pub(super) pause: Option<Duration>,
    /// The program that made room.
    pub(super) evicted: Option<ProgramId>,
}

impl ProgramBook {
    /// Notes a call that arrived.
    pub(super) fn start_call(
        &mut self,
        program: ProgramId,
        caller: &CallerName,
        now: ClockTime,
    ) -> CallStart {
        self.next_use += 1;
        let trail = self.trails.entry(program).or_insert_with(|| ProgramTrail {
            caller: caller.clone(),
            last_target: None,
            history_tokens: 0,
            sides: VecDeque::new(),
            paused_since: None,
            open_calls: 0,
            touched: now,
            use_number: 0,
        });
        let pause = trail.paused_since.take().map(|since| now.since(since));
        trail.open_calls += 1;
        trail.touched = now;
        self.by_use.remove(&trail.use_number);
        trail.use_number = self.next_use;
        self.by_use.insert(self.next_use, program);
        CallStart {
            pause,
            evicted: self.make_room(),
        }
    }

    /// Notes the target that a call was sent to.
    pub(super) fn place_call(&mut self, program: ProgramId, host: &HostName, target: &TargetName) {
        let Some(trail) = self.trails.get_mut(&program) else {
            return;
        };
        trail.last_target = Some(target.clone());
        if !trail.sides.contains(host) {
            trail.sides.push_back(host.clone());
        }
        if trail.sides.len() > MAX_SIDES {
            trail.sides.pop_front();
        }
    }

    /// Notes a call that ended. `history_tokens` is set after a whole answer of a model.
    pub(super) fn end_call(&mut self, program: ProgramId, history_tokens: Option<u64>, now: ClockTime) {
        let Some(trail) = self.trails.get_mut(&program) else {
            return;
        };
        trail.open_calls = trail.open_calls.saturating_sub(1);
        trail.touched = now;
        if let Some(tokens) = history_tokens {
            trail.history_tokens = tokens;
            trail.paused_since = (trail.open_calls == 0).then_some(now);
        }
    }

    pub(super) fn get(&self, program: ProgramId) -> Option<&ProgramTrail> {
        self.trails.get(&program)
    }

    /// Removes a program that ended; returns it with the hosts that ran it.
    pub(super) fn release(
        &mut self,
        program: ProgramId,
        token: FencingToken,
        now: ClockTime,
    ) -> Option<(ProgramTrail, Vec<HostName>)> {
        let trail = self.trails.remove(&program)?;
        self.by_use.remove(&trail.use_number);
        let sides: Vec<HostName> = trail.sides.iter().cloned().collect();
        if self.releases.len() >= MAX_RELEASES {
            self.releases.pop_front();
        }
        self.releases.push_back(RecentRelease {
            at: now,
            program,
            token,
            sides: sides.clone(),
        });
        Some((trail, sides))
    }

    /// Returns the recent releases of programs that a host ran.
    pub(super) fn releases_for(&mut self, host: &HostName, now: ClockTime) -> Vec<(ProgramId, FencingToken)> {
        self.releases
            .retain(|release| now.since(release.at) < RELEASE_MEMORY);
        let of_host = self
            .releases
            .iter()
            .filter(|release| release.sides.contains(host));
        of_host.map(|release| (release.program, release.token)).collect()
    }

    /// Divides programs by the hosts that ran them, and returns those that are not known as the second part.
    pub(super) fn divide(
        &self,
        programs: &[ProgramId],
    ) -> (BTreeMap<HostName, Vec<ProgramId>>, Vec<ProgramId>) {
        let mut by_host: BTreeMap<HostName, Vec<ProgramId>> = BTreeMap::new();
        let mut unknown = Vec::new();
        for program in programs {
            let Some(trail) = self.trails.get(program) else {
                unknown.push(*program);
                continue;
            };
            for host in &trail.sides {
                by_host.entry(host.clone()).or_default().push(*program);
            }
        }
        (by_host, unknown)
    }

    /// Removes and returns the programs that have moved to another entry. `owned` are the owner's programs.
    pub(super) fn take_moved(&mut self, owned: &[ProgramId], now: ClockTime) -> Vec<ProgramId> {
        let owned: HashSet<ProgramId> = owned.iter().copied().collect();
        let is_moved = |(program, trail): &(&ProgramId, &ProgramTrail)| {
            trail.open_calls == 0 && now.since(trail.touched) >= MOVED_AFTER && !owned.contains(*program)
        };
        let moved: Vec<ProgramId> = self.trails.iter().filter(is_moved).map(|(id, _)| *id).collect();
        for program in &moved {
            if let Some(trail) = self.trails.remove(program) {
                self.by_use.remove(&trail.use_number);
            }
        }
        moved
    }

    fn make_room(&mut self) -> Option<ProgramId> {
        if self.trails.len() <= MAX_PROGRAMS {
            return None;
        }
        let (_, oldest) = self.by_use.pop_first()?;
        self.trails.remove(&oldest);
        Some(oldest)
    }
}
