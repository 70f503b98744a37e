//! The programs that are under way, as far as this gateway has seen them.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::{ClockTime, ProgramName};

/// The time without calls after which a program counts as ended: longer than its tool calls and refused turns take.
const SILENCE: Duration = Duration::from_secs(3);

/// How often the table is searched for ended programs.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The most programs that are remembered. A gateway sees about a hundred calls a second, and a program for some seconds.
const MAX_PROGRAMS: usize = 4_096;

#[derive(Clone, Debug)]
struct ProgramEntry {
    /// The start, if the program began here.
    start: Option<ProgramStart>,
    /// Whether a call after the first turn was seen.
    has_calls: bool,
    seen_at: ClockTime,
}

/// The first turn of a program that began at this gateway.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProgramStart {
    pub(crate) route: String,
    /// The slot seconds that were taken for it.
    pub(crate) work: f64,
}

/// The programs that are under way, as far as this gateway has seen them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramTable {
    programs: HashMap<ProgramName, ProgramEntry>,
    searched_at: ClockTime,
}

impl ProgramTable {
    /// Records a program that begins at this gateway.
    pub(crate) fn begin(&mut self, program: &ProgramName, route: &str, work: f64, now: ClockTime) {
        let entry = ProgramEntry {
            start: Some(ProgramStart {
                route: route.to_owned(),
                work,
            }),
            has_calls: false,
            seen_at: now,
        };
        self.insert(program, entry);
    }

    /// Removes a program that began here and has had no other call than its first turn.
    pub(crate) fn withdraw(&mut self, program: &ProgramName) -> Option<ProgramStart> {
        let entry = self.programs.get(program)?;
        if entry.has_calls || entry.start.is_none() {
            return None;
        }
        self.programs.remove(program)?.start
    }

    /// Records a call of a program that has begun.
    pub(crate) fn record_call(&mut self, program: &ProgramName, now: ClockTime) {
        match self.programs.get_mut(program) {
            Some(entry) => {
                entry.seen_at = now;
                entry.has_calls = true;
            }
            None => self.insert(
                program,
                ProgramEntry {
                    start: None,
                    has_calls: true,
                    seen_at: now,
                },
            ),
        }
    }

    /// Returns whether the program is known to have begun.
    pub(crate) fn is_under_way(&self, program: &ProgramName, now: ClockTime) -> bool {
        let entry = self.programs.get(program);
        entry.is_some_and(|entry| now.since(entry.seen_at) < SILENCE)
    }

    /// Removes programs that ended. Does nothing if it was done a moment ago.
    pub(crate) fn remove_ended(&mut self, now: ClockTime) {
        if now.since(self.searched_at) < SEARCH_INTERVAL {
            return;
        }
        self.searched_at = now;
        self.programs
            .retain(|_, entry| now.since(entry.seen_at) < SILENCE);
    }

    fn insert(&mut self, program: &ProgramName, entry: ProgramEntry) {
        if !self.programs.contains_key(program) && self.programs.len() >= MAX_PROGRAMS {
            let oldest = self.programs.iter().min_by_key(|(_, entry)| entry.seen_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.programs.remove(&name);
            }
        }
        self.programs.insert(program.clone(), entry);
    }
}
