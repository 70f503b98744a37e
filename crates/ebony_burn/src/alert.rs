//! Alert rules on burn rates.

use serde::{Deserialize, Serialize};

use crate::window::WindowSpan;

/// The urgency of an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// The objective is within its error budget; no alert.
    Fine,
    /// To be handled on the next working day.
    Ticket,
    /// To be handled immediately.
    Page,
}

impl AlertLevel {
    /// Returns the display name.
    pub fn title(self) -> &'static str {
        match self {
            Self::Fine => "ok",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// Raises `level` while the burn rate in both windows is at least `burn_rate`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// The level.
    pub level: AlertLevel,
    /// The window that shows that the burn is significant.
    pub long: WindowSpan,
    /// The window that shows that the burn continues; a twelfth of the long one.
    pub short: WindowSpan,
    /// The threshold, in multiples of the rate that uses up the budget exactly at the end of its period.
    pub burn_rate: f64,
}

/// The rules, most urgent first.
///
/// Source: "The Site Reliability Workbook", edited by Beyer, Murphy, Rensin, Kawahara and Thorne (O'Reilly, 2018),
/// chapter 5, "Alerting on SLOs", section "Multiwindow, Multi-Burn-Rate Alerts". The thresholds are those recommended
/// there for a budget of 30 days: 2% of it in one hour, 5% in 6 hours, 10% in 3 days.
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule {
        level: AlertLevel::Page,
        long: WindowSpan::Hour1,
        short: WindowSpan::Minutes5,
        burn_rate: 14.4,
    },
    AlertRule {
        level: AlertLevel::Page,
        long: WindowSpan::Hours6,
        short: WindowSpan::Minutes30,
        burn_rate: 6.0,
    },
    AlertRule {
        level: AlertLevel::Ticket,
        long: WindowSpan::Days3,
        short: WindowSpan::Hours6,
        burn_rate: 1.0,
    },
];

/// Returns the most urgent level whose rule holds, given the burn rate of each window.
///
/// ```
/// use ebony_burn::alert::alert_level;
/// use ebony_burn::{AlertLevel, WindowSpan};
///
/// assert_eq!(alert_level(|_| 20.0), AlertLevel::Page);
/// assert_eq!(alert_level(|_| 1.5), AlertLevel::Ticket);
/// // The burn has stopped: the short windows have no bad events.
/// let stopped = |span: WindowSpan| if span < WindowSpan::Hour1 { 0.0 } else { 20.0 };
/// assert_eq!(alert_level(stopped), AlertLevel::Ticket);
/// ```
pub fn alert_level(burn_rate: impl Fn(WindowSpan) -> f64) -> AlertLevel {
    ALERT_RULES
        .iter()
        .find(|rule| burn_rate(rule.long) >= rule.burn_rate && burn_rate(rule.short) >= rule.burn_rate)
        .map_or(AlertLevel::Fine, |rule| rule.level)
}
