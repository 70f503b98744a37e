//! What the dispatcher does with crashes that it sees and hears of.

use ebony_wire::{CrashReport, EntryFrame};

use super::actor::DispatchActor;
use super::crashes::CrashSource;
use super::messages::CrashesHeard;
use super::side_table::SideKey;

/// The most reports in one frame. With eight sites a report has about a kilobyte.
const REPORTS_PER_FRAME: usize = 512;

impl DispatchActor {
    /// Takes crash reports over and spreads what was not known.
    pub(super) fn hear_crashes(&mut self, reports: &[CrashReport], source: CrashSource) {
        let now = self.now();
        let news = self.crashes.merge(reports, now);
        if news.is_empty() {
            return;
        }
        slog::warn!(self.options.logger, "requests crashed targets"; "requests" => news.len());
        let except = match source {
            CrashSource::Side(key) => Some(key),
            CrashSource::Entry => None,
        };
        for part in news.chunks(REPORTS_PER_FRAME) {
            self.sides.broadcast(&EntryFrame::Crashes(part.to_vec()), except);
        }
        if matches!(source, CrashSource::Side(_)) {
            self.crash_rows.queue(&news);
        }
        // Entries are linked to each other, so that what one has told needs no forwarding.
        if let (CrashSource::Side(_), Some(recipient)) = (source, &self.peers) {
            recipient.do_send(CrashesHeard(news));
        }
    }

    /// Tells a side process that has just been linked all crashes that count.
    pub(super) fn greet_with_crashes(&self, key: SideKey) {
        for part in self.crashes.reports(self.now()).chunks(REPORTS_PER_FRAME) {
            self.sides.send(key, &EntryFrame::Crashes(part.to_vec()));
        }
    }
}
