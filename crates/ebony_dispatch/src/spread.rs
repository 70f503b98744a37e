//! Figures on the spread of load over targets, for operators.

use ebony_types::{ClockTime, ServiceName};

use crate::board::{TargetBoard, TargetEntry, TargetPhase};
use crate::expected_time::{ServiceView, slots};
use crate::options::DispatchOptions;

/// The least, the mean and the greatest value of a figure over some targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FigureRange {
    /// The least value.
    pub least: f64,
    /// The mean.
    pub mean: f64,
    /// The greatest value.
    pub most: f64,
}

impl FigureRange {
    fn of(figures: impl Iterator<Item = f64>) -> Option<Self> {
        let mut range = Self {
            least: f64::INFINITY,
            mean: 0.0,
            most: f64::NEG_INFINITY,
        };
        let mut count = 0_u32;
        for figure in figures {
            range.least = range.least.min(figure);
            range.most = range.most.max(figure);
            range.mean += figure;
            count += 1;
        }
        range.mean /= f64::from(count.max(1));
        (count > 0).then_some(range)
    }
}

/// How load and speeds differ between the ready targets of a service, as estimated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSpread {
    /// Calls of all entries per slot.
    pub load: FigureRange,
    /// The learned time of work, relative to the usual time.
    pub speed: FigureRange,
    /// The slow-down of hosts.
    pub slowdown: FigureRange,
    /// Whether even load applies.
    pub is_even: bool,
}

impl TargetBoard {
    /// Returns how load and speeds differ between the ready targets of a service; `None` if there are none.
    ///
    /// ```
    /// use ebony_dispatch::{DispatchOptions, TargetBoard};
    /// use ebony_types::{ClockTime, ServiceName};
    ///
    /// let service = ServiceName::parse("tools")?;
    /// let spread = TargetBoard::default().spread(&service, &DispatchOptions::default(), ClockTime::default());
    /// assert_eq!(spread, None);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn spread(
        &self,
        service: &ServiceName,
        options: &DispatchOptions,
        now: ClockTime,
    ) -> Option<ServiceSpread> {
        let view = ServiceView::of(self, service, options, now);
        let is_ready = |target: &TargetEntry| {
            target.record.service == *service && target.record.phase == TargetPhase::Ready
        };
        let ready: Vec<&TargetEntry> = self.targets.values().filter(|target| is_ready(target)).collect();
        let targets = ready.iter();
        Some(ServiceSpread {
            load: FigureRange::of(targets.clone().map(|target| view.calls(target) / slots(target)))?,
            speed: FigureRange::of(targets.clone().map(|target| target.speed.time_factor(now)))?,
            slowdown: FigureRange::of(targets.map(|target| target.slowdown.factor(now)))?,
            is_even: options.even_load.applies(self, service),
        })
    }
}
