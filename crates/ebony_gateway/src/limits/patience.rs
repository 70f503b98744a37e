//! How calls compete for the permits of limited targets.

use std::time::Duration;

use ebony_dispatch::TargetKey;

use super::permits::PermitOutcome;
use crate::routed_call::RoutedCall;

/// The fractions of the latency objective for which a call waits for a permit of a target that limits its rate. A turn or
/// tool call of a program that has started comes first, because refusing it wastes the work done so far; a program that
/// starts only gets permits that no one waits for.
const STARTED_PERMIT_SHARE: f64 = 1.0;
const URGENT_PERMIT_SHARE: f64 = 0.5;
const OTHER_PERMIT_SHARE: f64 = 0.25;
const FIRST_TURN_PERMIT_SHARE: f64 = 0.1;

impl RoutedCall {
    /// Returns how long the call may wait for a permit: its latency objective if it belongs to a program that has
    /// started, and less if refusing it wastes less work.
    pub(crate) fn permit_patience(&self) -> Duration {
        let has_started = self.head.program.is_some() && (self.engine.is_none() || self.has_history());
        let share = match self.urgency() {
            _ if has_started => STARTED_PERMIT_SHARE,
            _ if self.head.program.is_some() => FIRST_TURN_PERMIT_SHARE,
            0 => URGENT_PERMIT_SHARE,
            _ => OTHER_PERMIT_SHARE,
        };
        let waiting_limit = self.arrived + self.route.objective.mul_f64(share);
        waiting_limit.min(self.deadline).since(self.gateway.clock.now())
    }

    /// Counts the call in the expected output of its service.
    pub(crate) fn record_expected_output(&self) {
        if let Some(output) = self.head.expected_output {
            let mut bars = self.gateway.permit_bars.borrow_mut();
            let bar = bars.entry(self.service.clone()).or_default();
            bar.record_call(output as f64);
        }
    }

    /// Returns whether the call is too short to use a permit while targets that need none are available.
    pub(crate) fn leaves_permits_to_others(&self) -> bool {
        let Some(output) = self.head.expected_output else {
            return false;
        };
        let bars = self.gateway.permit_bars.borrow();
        let is_short = bars
            .get(&self.service)
            .is_some_and(|bar| !bar.admits(output as f64));
        let now = self.gateway.clock.now();
        is_short && self.gateway.board.borrow().has_unlimited(&self.service, now)
    }

    /// Records the answer to the call's request for a permit.
    pub(crate) fn record_permit(&self, target: TargetKey, outcome: &PermitOutcome) {
        let (is_free, wait) = match outcome {
            PermitOutcome::Granted(_, wait) => (wait.is_zero(), *wait),
            PermitOutcome::Denied(wait) => (false, *wait),
        };
        let mut bars = self.gateway.permit_bars.borrow_mut();
        let bar = bars.entry(self.service.clone()).or_default();
        bar.record_permit(is_free);
        let next_permit = self.gateway.clock.now() + wait;
        let mut board = self.gateway.board.borrow_mut();
        board.record_next_permit(target, next_permit);
    }
}
