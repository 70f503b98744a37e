//! Tells side processes which programs to retain in engine memory and which to release.

use ebony_policy::MemoryPressure;
use ebony_types::{FencingToken, ProgramId};
use ebony_wire::EntryFrame;

use super::actor::DispatchActor;
use super::picker::PickedTarget;
use super::side_table::SideKey;

/// The maximum number of programs in one `Vouch` frame. An identifier takes about 40 bytes.
const PROGRAMS_PER_FRAME: usize = 4_096;

impl DispatchActor {
    /// Releases the engine memory of a program that ended.
    pub(super) fn release_program(&mut self, program: ProgramId, token: FencingToken) {
        let now = self.now();
        self.admission.finish(program, now);
        let frame = EntryFrame::Release { program, token };
        let Some((record, hosts)) = self.programs.release(program, token, now) else {
            // The program was adopted from another entry, and it is not known which side processes ran it.
            return self.sides.broadcast(&frame, None);
        };
        for host in &hosts {
            if let Some(key) = self.sides.find(host) {
                self.sides.send(key, &frame);
            }
        }
        if let Some(target) = &record.last_target {
            self.picker.forget_program(target, program);
        }
    }

    /// Resends recent releases to a newly linked side process, which may have missed them.
    pub(super) fn repeat_releases(&mut self, key: SideKey) {
        let now = self.now();
        let Some(host) = self.sides.get(key).map(|record| record.host.clone()) else {
            return;
        };
        for (program, token) in self.programs.releases_for(&host, now) {
            self.sides.send(key, &EntryFrame::Release { program, token });
        }
    }

    /// Confirms the owner's programs to the side processes that ran them, so that these do not release the engine
    /// memory of the programs.
    pub(super) fn vouch_programs(&mut self, programs: &[ProgramId]) {
        let now = self.now();
        let (by_host, unknown) = self.programs.group_by_host(programs);
        for (host, programs) in by_host {
            if let Some(key) = self.sides.find(&host) {
                self.vouch_to(Some(key), &programs);
            }
        }
        // Programs that were adopted from another entry may be held by any side process.
        self.vouch_to(None, &unknown);
        for program in self.programs.take_moved(programs, now) {
            self.admission.finish(program, now);
        }
    }

    fn vouch_to(&self, key: Option<SideKey>, programs: &[ProgramId]) {
        for part in programs.chunks(PROGRAMS_PER_FRAME) {
            let programs = part.to_vec();
            let frame = EntryFrame::Vouch { programs };
            match key {
                Some(key) => drop(self.sides.send(key, &frame)),
                None => self.sides.broadcast(&frame, None),
            }
        }
    }

    /// Tells the side process how long to retain the engine memory of a program that pauses after a model call.
    pub(super) fn retain_program(&self, side: SideKey, program: ProgramId, picked: &PickedTarget) {
        let Some(record) = self.programs.get(program) else {
            return;
        };
        let pressure = MemoryPressure {
            used_share: self.picker.kv_used_share(&picked.name),
        };
        if let Some(time) = self
            .retention
            .hold_time(&record.caller, record.history_tokens, pressure)
        {
            let expires_ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
            self.sides.send(side, &EntryFrame::Retain { program, expires_ms });
        }
    }
}
