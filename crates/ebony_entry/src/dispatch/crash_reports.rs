//! Merges crash reports from side processes and other entries, and forwards what is new.

use ebony_wire::{CrashReport, EntryFrame};

use super::actor::DispatchActor;
use super::crashes::CrashSource;
use super::messages::CrashesReported;
use super::side_table::SideKey;

/// The maximum number of reports in one frame. A report with eight sites takes about 1 KB.
const REPORTS_PER_FRAME: usize = 512;

impl DispatchActor {
    /// Merges crash reports and forwards those with new information.
    pub(super) fn merge_crashes(&mut self, reports: &[CrashReport], source: CrashSource) {
        let now = self.now();
        let updates = self.crashes.merge(reports, now);
        if updates.is_empty() {
            return;
        }
        slog::warn!(self.options.logger, "requests crashed targets"; "requests" => updates.len());
        let except = match source {
            CrashSource::Side(key) => Some(key),
            CrashSource::Entry => None,
        };
        for part in updates.chunks(REPORTS_PER_FRAME) {
            self.sides.broadcast(&EntryFrame::Crashes(part.to_vec()), except);
        }
        if matches!(source, CrashSource::Side(_)) {
            self.crash_rows.queue(&updates);
        }
        // Every entry is linked to every other, so reports from an entry have already reached all of them.
        if let (CrashSource::Side(_), Some(recipient)) = (source, &self.peers) {
            recipient.do_send(CrashesReported(updates));
        }
    }

    /// Sends all unexpired crash reports to a newly linked side process.
    pub(super) fn send_known_crashes(&self, key: SideKey) {
        for part in self.crashes.reports(self.now()).chunks(REPORTS_PER_FRAME) {
            self.sides.send(key, &EntryFrame::Crashes(part.to_vec()));
        }
    }
}
