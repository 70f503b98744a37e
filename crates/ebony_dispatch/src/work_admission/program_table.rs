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
    /// The route and the time of the first turn, if the program began here.
    start: Option<(String, ClockTime)>,
    seen_at: ClockTime,
}

/// A program that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndedProgram {
    pub(crate) route: String,
    /// The time from the first turn to the last call that this gateway saw.
    pub(crate) time: Duration,
}

/// The programs that are under way, as far as this gateway has seen them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramTable {
    programs: HashMap<ProgramName, ProgramEntry>,
    searched_at: ClockTime,
}

impl ProgramTable {
    /// Records a program that begins at this gateway.
    pub(crate) fn begin(&mut self, program: &ProgramName, route: &str, now: ClockTime) {
        let start = Some((route.to_owned(), now));
        self.insert(program, ProgramEntry { start, seen_at: now });
    }

    /// Records a call of a program that has begun.
    pub(crate) fn record_call(&mut self, program: &ProgramName, now: ClockTime) {
        match self.programs.get_mut(program) {
            Some(entry) => entry.seen_at = now,
            None => self.insert(
                program,
                ProgramEntry {
                    start: None,
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

    /// Removes programs that ended, and returns those that began here. Does nothing if it was done a moment ago.
    pub(crate) fn remove_ended(&mut self, now: ClockTime) -> Vec<EndedProgram> {
        if now.since(self.searched_at) < SEARCH_INTERVAL {
            return Vec::new();
        }
        self.searched_at = now;
        let is_ended = |entry: &ProgramEntry| now.since(entry.seen_at) >= SILENCE;
        let ended = self.programs.extract_if(|_, entry| is_ended(entry));
        let ended = ended.filter_map(|(_, entry)| {
            let (route, begun_at) = entry.start?;
            let time = entry.seen_at.since(begun_at);
            Some(EndedProgram { route, time })
        });
        ended.collect()
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
