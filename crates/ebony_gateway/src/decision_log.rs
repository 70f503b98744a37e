//! Log lines on calls and on what calls showed, bounded in volume.

use std::cell::Cell;
use std::time::Duration;

use ebony_types::ClockTime;
use prometheus::IntCounter;
use slog::Logger;

use crate::gateway::GatewayClock;

/// Lines on calls that went well, a second. A host takes 80 calls a second at today's peak.
const PLAIN_LINES: u32 = 200;

/// Lines on calls that were refused or failed, a second.
const FAILED_LINES: u32 = 400;

/// Lines on tokens, targets and connections, a second: about three for each call of today's peak.
const BELIEF_LINES: u32 = 240;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How much a line matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// The call went well.
    Plain,
    /// The call was refused or failed.
    Failed,
    /// A call changed what the process believes of a program's tokens, a target or its own connections.
    Belief,
}

impl LineKind {
    const COUNT: usize = 3;

    /// Returns the most lines of the kind in a window.
    fn most_lines(self) -> u32 {
        match self {
            Self::Plain => PLAIN_LINES,
            Self::Failed => FAILED_LINES,
            Self::Belief => BELIEF_LINES,
        }
    }
}

/// Lets a bounded number of lines a second pass and counts the others.
pub(crate) struct DecisionLog {
    pub(crate) logger: Logger,
    clock: GatewayClock,
    window_start: Cell<ClockTime>,
    /// Lines in the window, by kind.
    lines: [Cell<u32>; LineKind::COUNT],
    dropped: IntCounter,
    dropped_in_window: Cell<u32>,
}

impl DecisionLog {
    pub(crate) fn open(logger: Logger, clock: GatewayClock, dropped: IntCounter) -> Self {
        Self {
            logger,
            clock,
            window_start: Cell::new(clock.now()),
            lines: Default::default(),
            dropped,
            dropped_in_window: Cell::default(),
        }
    }

    /// Returns whether the next line of this kind is written. A line that is not is counted.
    pub(crate) fn admits(&self, kind: LineKind) -> bool {
        self.turn_window();
        let lines = &self.lines[kind as usize];
        if lines.get() < kind.most_lines() {
            lines.set(lines.get() + 1);
            return true;
        }
        self.dropped.inc();
        self.dropped_in_window.set(self.dropped_in_window.get() + 1);
        false
    }

    fn turn_window(&self) {
        let now = self.clock.now();
        if now.since(self.window_start.get()) < WINDOW {
            return;
        }
        let dropped = self.dropped_in_window.replace(0);
        if dropped > 0 {
            slog::warn!(self.logger, "lines were left out"; "lines" => dropped);
        }
        self.window_start.set(now);
        self.lines.iter().for_each(|lines| lines.set(0));
    }
}
