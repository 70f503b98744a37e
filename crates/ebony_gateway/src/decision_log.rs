//! A rate limit for log lines about calls and about state that calls change.

use std::cell::Cell;
use std::time::Duration;

use ebony_types::ClockTime;
use prometheus::IntCounter;
use slog::Logger;

use crate::gateway::GatewayClock;

/// Lines a second about successful calls. The peak of a host is 80 calls a second.
const MAX_SUCCESS_LINES: u32 = 200;

/// Lines a second about refused and failed calls.
const MAX_FAILURE_LINES: u32 = 400;

/// Lines a second about tokens, targets and connections: three for each call at the peak of 80 calls a second.
const MAX_STATE_LINES: u32 = 240;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The kind of a log line. Each kind has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// A target's complete answer was forwarded, whatever its status.
    Success,
    /// A call was refused or failed.
    Failure,
    /// The recorded state of a program's tokens, a target or the gateway's connections changed.
    State,
}

impl LineKind {
    const COUNT: usize = 3;

    /// Returns the limit of the kind in one window.
    fn max_lines(self) -> u32 {
        match self {
            Self::Success => MAX_SUCCESS_LINES,
            Self::Failure => MAX_FAILURE_LINES,
            Self::State => MAX_STATE_LINES,
        }
    }
}

/// Limits the log lines of each second, and counts those that are dropped.
pub(crate) struct DecisionLog {
    pub(crate) logger: Logger,
    clock: GatewayClock,
    window_start: Cell<ClockTime>,
    /// Lines in the current window, by kind.
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

    /// Returns whether a line of this kind may be written now. Otherwise counts it as dropped.
    pub(crate) fn admits(&self, kind: LineKind) -> bool {
        self.advance_window();
        let lines = &self.lines[kind as usize];
        if lines.get() < kind.max_lines() {
            lines.set(lines.get() + 1);
            return true;
        }
        self.dropped.inc();
        self.dropped_in_window.set(self.dropped_in_window.get() + 1);
        false
    }

    fn advance_window(&self) {
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
