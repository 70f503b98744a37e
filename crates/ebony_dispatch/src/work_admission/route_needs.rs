//! What programs need, by route.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::decay_factor;
use crate::load::LoadNotice;

/// The time constant with which observations are forgotten.
const NEED_TIME: Duration = Duration::from_secs(30);

/// The mean delay after which the first turn of a program counts. Turns follow their program's first one over one to two
/// seconds; without the delay, growing traffic would make programs look short.
const FIRST_TURN_DELAY: Duration = Duration::from_secs(1);

/// The most routes that are remembered.
const MAX_ROUTES: usize = 256;

/// What a program of an unknown route is assumed to need, which counts as much as [`ASSUMED_WEIGHT`] observed ones.
const ASSUMED_TURNS: f64 = 6.0;
const ASSUMED_TURN_SECONDS: f64 = 0.1;
const ASSUMED_WEIGHT: f64 = 3.0;

/// Bounds of the turns of a program and of the seconds that a turn occupies a slot.
const TURN_BOUNDS: (f64, f64) = (1.0, 200.0);
const TURN_SECONDS_BOUNDS: (f64, f64) = (0.001, 60.0);

/// The number of turns that have to have ended before their mean time counts.
const MIN_TIMED_TURNS: f64 = 3.0;

/// Decayed sums over the programs of a route.
///
/// Turns are counted whether their program began at this gateway or not: if callers use all gateways alike, a gateway
/// sees as many turns of other gateways' programs as others see of its own.
#[derive(Clone, Copy, Debug, Default)]
struct RouteNeed {
    /// First turns that do not count yet.
    recent_first_turns: f64,
    first_turns: f64,
    turns: f64,
    turn_seconds: f64,
    updated_at: ClockTime,
}

impl RouteNeed {
    fn advance(&mut self, now: ClockTime) {
        let elapsed = now.since(self.updated_at);
        let factor = decay_factor(elapsed, NEED_TIME);
        let left = decay_factor(elapsed, FIRST_TURN_DELAY);
        self.first_turns = self.first_turns * factor + self.recent_first_turns * (1.0 - left);
        self.recent_first_turns *= left;
        self.turns *= factor;
        self.turn_seconds *= factor;
        self.updated_at = now;
    }

    fn turns_of_program(&self) -> f64 {
        let turns = self.turns + ASSUMED_TURNS * ASSUMED_WEIGHT;
        let programs = self.first_turns + ASSUMED_WEIGHT;
        (turns / programs).clamp(TURN_BOUNDS.0, TURN_BOUNDS.1)
    }

    fn seconds_of_turn(&self) -> f64 {
        let seconds = self.turn_seconds + ASSUMED_TURN_SECONDS * ASSUMED_WEIGHT;
        seconds / (self.turns + ASSUMED_WEIGHT)
    }
}

/// What programs need, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteNeeds {
    routes: HashMap<String, RouteNeed>,
}

impl RouteNeeds {
    /// Records that a program began.
    pub(crate) fn record_first_turn(&mut self, route: &str, now: ClockTime) {
        self.entry(route, now).recent_first_turns += 1.0;
    }

    /// Takes back a first turn that was not run.
    pub(crate) fn withdraw_first_turn(&mut self, route: &str, now: ClockTime) {
        let need = self.entry(route, now);
        need.recent_first_turns = (need.recent_first_turns - 1.0).max(0.0);
    }

    /// Records a turn that was `run_time` at an engine, with the load that the engine reported.
    pub(crate) fn record_turn(
        &mut self,
        route: &str,
        run_time: Duration,
        notice: Option<LoadNotice>,
        now: ClockTime,
    ) {
        // A call waits for about one turn for each slot's worth of queued calls.
        let queued = notice.map_or(0.0, |notice| {
            f64::from(notice.waiting) / f64::from(notice.slots.max(1))
        });
        let seconds = run_time.as_secs_f64() / (1.0 + queued);
        let need = self.entry(route, now);
        need.turns += 1.0;
        need.turn_seconds += seconds.clamp(TURN_SECONDS_BOUNDS.0, TURN_SECONDS_BOUNDS.1);
    }

    /// Returns the slot seconds that a program needs.
    pub(crate) fn work(&self, route: &str, now: ClockTime) -> f64 {
        let need = self.need(route, now);
        need.turns_of_program() * need.seconds_of_turn()
    }

    /// Returns the mean time that turns are at an engine; `None` while it is unknown.
    pub(crate) fn turn_time(&self, route: &str, now: ClockTime) -> Option<Duration> {
        let need = self.need(route, now);
        (need.turns >= MIN_TIMED_TURNS).then(|| Duration::from_secs_f64(need.turn_seconds / need.turns))
    }

    fn need(&self, route: &str, now: ClockTime) -> RouteNeed {
        let mut need = self.routes.get(route).copied().unwrap_or_default();
        need.advance(now);
        need
    }

    fn entry(&mut self, route: &str, now: ClockTime) -> &mut RouteNeed {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, need)| need.updated_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.routes.remove(&name);
            }
        }
        let need = self.routes.entry(route.to_owned()).or_default();
        need.advance(now);
        need
    }
}
