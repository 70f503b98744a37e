//! The work that a gateway may admit.

use std::time::Duration;

use ebony_types::ClockTime;

use super::SharedSlots;

/// The share of the slots that programs keep busy at most; the rest is lost between a turn and the next.
const USABLE_SHARE: f64 = 0.95;

/// The load to which the rate is adjusted, in calls per slot with those that wait. At this load, turns take about 1.6
/// times as long as on idle engines. Objectives of programs are 1.5 times their time on idle engines and 0.2 s more, and
/// the time of tool calls does not grow with the load of engines. In the model, most programs are late from 1.9 on.
const TARGET_LOAD: f64 = 1.6;

/// The load above which the budget fills more slowly, and the load at which it stops. An engine with as many waiting as
/// running calls turns further ones away.
const BRAKE_LOAD: f64 = 1.8;
const STOP_LOAD: f64 = 2.0;

/// The work that may be saved up, as the time in which it is earned: shorter than programs run, so that a burst of first
/// turns cannot fill the engines twice.
const SAVED_SECONDS: f64 = 0.8;

/// The relative change of the rate a second for each unit of deviation from the target. Admission shows in the load
/// after a second or two; at twice this gain, the load swings in the model.
const ADJUSTMENT_GAIN: f64 = 0.5;

/// The time in which the adjustment is forgotten while the budget is not used up.
const ADJUSTMENT_SECONDS: f64 = 10.0;

/// The bounds of the adjustment. Engines differ from the assumed speed by 2.4 times and in spells by 2.5 times, and a
/// gateway may have a larger part of the callers than others.
const ADJUSTMENT_BOUNDS: (f64, f64) = (0.2, 4.0);

/// The fill above which the budget does not limit admission.
const UNUSED_FILL: f64 = 0.7;

/// The longest time that the budget fills at once. A longer one without programs says nothing on the load.
const MAX_STEP: Duration = Duration::from_millis(500);

/// The fair rate doubles or halves with each eighth of the fill, and is the whole rate at the half.
const FILL_STEPS: f64 = 8.0;

/// The deepest debt, as a fill. The fair rate is then below a thousandth of the whole one.
const MIN_FILL: f64 = -1.0;

/// A budget of slot seconds that fills at this gateway's share of what the engines complete.
///
/// The rate does not depend on reports, so that gateways with the same old reports do not admit or refuse together.
/// Reports only adjust it slowly, and brake it while engines are overloaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkBudget {
    /// Slot seconds a second.
    rate: f64,
    /// Slot seconds that may be admitted; a debt if negative. `None` before the first program.
    level: Option<f64>,
    adjustment: f64,
    updated_at: ClockTime,
}

impl WorkBudget {
    pub(crate) fn open(now: ClockTime) -> Self {
        Self {
            rate: 0.0,
            level: None,
            adjustment: 1.0,
            updated_at: now,
        }
    }

    /// Fills the budget up to now, at the reported load in calls per slot.
    pub(crate) fn advance(&mut self, slots: SharedSlots, load: Option<f64>, now: ClockTime) {
        let elapsed = now.since(self.updated_at).min(MAX_STEP).as_secs_f64();
        self.updated_at = now;
        self.adjust(load, elapsed);
        let share = f64::from(slots.slots) / slots.gateways.max(1) as f64;
        self.rate = share * USABLE_SHARE * self.adjustment;
        let brake = (STOP_LOAD - load.unwrap_or_default()) / (STOP_LOAD - BRAKE_LOAD);
        let earned = self.rate * brake.clamp(0.0, 1.0) * elapsed;
        let most = self.rate * SAVED_SECONDS;
        let level = self.level.map_or(most, |level| level + earned);
        self.level = Some(level.clamp(MIN_FILL * most, most));
    }

    fn adjust(&mut self, load: Option<f64>, elapsed: f64) {
        let deviation = 1.0 - load.unwrap_or_default() / TARGET_LOAD;
        // Below the target, the rate only rises while it is what keeps programs out.
        let change = if deviation < 0.0 || self.fill() < UNUSED_FILL {
            ADJUSTMENT_GAIN * deviation.clamp(-1.0, 0.5)
        } else {
            -self.adjustment.ln() / ADJUSTMENT_SECONDS
        };
        let adjustment = self.adjustment * (change * elapsed).exp();
        self.adjustment = adjustment.clamp(ADJUSTMENT_BOUNDS.0, ADJUSTMENT_BOUNDS.1);
    }

    /// Returns the level as a share of the highest one.
    fn fill(&self) -> f64 {
        let most = self.rate * SAVED_SECONDS;
        match self.level {
            Some(level) if most > 0.0 => level / most,
            _ => 1.0,
        }
    }

    /// Returns the slot seconds a second that are admitted in all.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the slot seconds a second up to which the offer of a customer is admitted as a whole. It settles where
    /// all that is admitted equals the rate.
    pub(crate) fn fair_rate(&self) -> f64 {
        self.rate * (FILL_STEPS * (self.fill() - 0.5)).exp2()
    }

    /// Returns the time until the budget has no debt.
    pub(crate) fn debt_time(&self) -> Duration {
        let debt = -self.level.unwrap_or_default().min(0.0);
        if debt > 0.0 && self.rate > 0.0 {
            Duration::from_secs_f64((debt / self.rate).min(SAVED_SECONDS))
        } else {
            Duration::ZERO
        }
    }

    /// Returns work that was taken. The next filling bounds the level.
    pub(crate) fn give_back(&mut self, work: f64) {
        self.take(-work);
    }

    pub(crate) fn take(&mut self, work: f64) {
        self.level = self.level.map(|level| level - work);
    }
}
