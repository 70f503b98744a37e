//! The link to one host, from the dialing end.
//!
//! Each phase is a type of its own; a transition consumes one phase and returns the next. Only an [`OpenLink`], which a
//! peer has described itself on, can carry work.

use std::time::Duration;

use ebony_types::{ClockTime, ProcessIncarnation};
use rand_chacha::ChaCha8Rng;

use crate::dial_backoff::DialBackoff;

/// Silence after which a ping is sent. Reports arrive about every second, so that a link in use needs few pings.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which the peer is suspected. With a tick every 250 ms, work stops within 3 s.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which the link is given up and dialed anew: a connection may be half open.
pub const HANG_UP_AFTER: Duration = Duration::from_secs(10);

/// The time between ticks after which this process counts as having been paused. Frames may still wait to be read, so
/// no link is given up until a ping had time to be answered.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// The time for which a lost link can come back and its calls can resume.
pub const RESUME_WITHIN: Duration = Duration::from_secs(30);

/// The time after which an attempt to dial counts as failed if the shell has not reported its result.
pub const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// No link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbsentLink {
    /// The life of the process that a link was lost to, and when, while calls may resume.
    lost: Option<(ProcessIncarnation, ClockTime)>,
    dial: DialState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DialState {
    Waiting { until: ClockTime },
    Dialing { since: ClockTime },
}

/// A link whose peer has not described itself yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoiningLink {
    evidence: LinkEvidence,
}

/// A link whose peer has described itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenLink {
    evidence: LinkEvidence,
}

/// What is known of the process behind a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkEvidence {
    incarnation: ProcessIncarnation,
    up_since: ClockTime,
    heard_at: ClockTime,
    pinged_at: ClockTime,
    ticked_at: ClockTime,
    /// The end of the last pause of this process.
    resumed_at: ClockTime,
}

impl AbsentLink {
    fn joined(self, incarnation: ProcessIncarnation, now: ClockTime) -> JoiningLink {
        let evidence = LinkEvidence {
            incarnation,
            up_since: now,
            heard_at: now,
            pinged_at: now,
            ticked_at: now,
            resumed_at: now,
        };
        JoiningLink { evidence }
    }
}

impl JoiningLink {
    fn described(self) -> OpenLink {
        OpenLink {
            evidence: self.evidence,
        }
    }
}

/// The phase of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// There is no link.
    Absent(AbsentLink),
    /// The peer has not described itself yet.
    Joining(JoiningLink),
    /// The link carries work.
    Open(OpenLink),
}

/// What a link needs at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// Dial the host.
    Dial,
    /// Send a ping.
    Ping,
    /// Close the link; it was noted as lost.
    HangUp,
}

/// A link and the attempts to dial it.
#[derive(Clone, Debug)]
pub struct DialedLink {
    phase: LinkPhase,
    backoff: DialBackoff,
}

impl DialedLink {
    /// Creates the state of a host that was not dialed yet.
    pub fn new(now: ClockTime) -> Self {
        let dial = DialState::Waiting { until: now };
        Self {
            phase: LinkPhase::Absent(AbsentLink { lost: None, dial }),
            backoff: DialBackoff::default(),
        }
    }

    /// Notes that a link came up; returns the life of the process that ended, if the peer is in a new one.
    pub fn opened(&mut self, incarnation: ProcessIncarnation, now: ClockTime) -> Option<ProcessIncarnation> {
        let earlier = self.incarnation();
        let absent = match self.phase {
            LinkPhase::Absent(absent) => absent,
            LinkPhase::Joining(_) | LinkPhase::Open(_) => AbsentLink {
                lost: None,
                dial: DialState::Dialing { since: now },
            },
        };
        self.phase = LinkPhase::Joining(absent.joined(incarnation, now));
        earlier.filter(|earlier| *earlier != incarnation)
    }

    /// Notes that the peer described itself. Returns `false` if there is no link.
    pub fn described(&mut self, now: ClockTime) -> bool {
        self.heard(now);
        match self.phase {
            LinkPhase::Absent(_) => false,
            LinkPhase::Joining(link) => {
                self.phase = LinkPhase::Open(link.described());
                true
            }
            LinkPhase::Open(_) => true,
        }
    }

    /// Notes that something was received over the link.
    pub fn heard(&mut self, now: ClockTime) {
        if let Some(evidence) = self.evidence_mut() {
            evidence.heard_at = now;
        }
    }

    /// Notes that the link was lost, or that an attempt to dial failed.
    pub fn lost(&mut self, now: ClockTime, source: &mut ChaCha8Rng) {
        let (lost, up_since) = match self.phase {
            LinkPhase::Absent(AbsentLink {
                dial: DialState::Waiting { .. },
                ..
            }) => return,
            LinkPhase::Absent(absent) => (absent.lost, None),
            LinkPhase::Joining(JoiningLink { evidence }) | LinkPhase::Open(OpenLink { evidence }) => {
                (Some((evidence.incarnation, now)), Some(evidence.up_since))
            }
        };
        let until = self.backoff.next_dial(up_since, now, source);
        let dial = DialState::Waiting { until };
        self.phase = LinkPhase::Absent(AbsentLink { lost, dial });
    }

    /// Notes that the host has another address: failures at the earlier one say nothing about it.
    pub fn moved(&mut self, now: ClockTime) {
        self.backoff = DialBackoff::default();
        if let LinkPhase::Absent(absent) = &mut self.phase {
            absent.dial = DialState::Waiting { until: now };
        }
    }

    /// Returns what the link needs now. `may_dial` says whether the host should be dialed.
    pub fn tick(&mut self, may_dial: bool, now: ClockTime, source: &mut ChaCha8Rng) -> Option<LinkStep> {
        match self.phase {
            LinkPhase::Absent(absent) => self.tick_absent(absent, may_dial, now, source),
            LinkPhase::Joining(_) | LinkPhase::Open(_) => self.tick_present(now, source),
        }
    }

    fn tick_absent(
        &mut self,
        mut absent: AbsentLink,
        may_dial: bool,
        now: ClockTime,
        source: &mut ChaCha8Rng,
    ) -> Option<LinkStep> {
        match absent.dial {
            DialState::Waiting { until } if may_dial && until <= now => {
                absent.dial = DialState::Dialing { since: now };
                self.phase = LinkPhase::Absent(absent);
                Some(LinkStep::Dial)
            }
            DialState::Dialing { since } if now.since(since) >= DIAL_TIMEOUT => {
                self.lost(now, source);
                None
            }
            _ => None,
        }
    }

    fn tick_present(&mut self, now: ClockTime, source: &mut ChaCha8Rng) -> Option<LinkStep> {
        let evidence = self.evidence_mut()?;
        let silence = now.since(evidence.heard_at);
        if now.since(std::mem::replace(&mut evidence.ticked_at, now)) > MAX_TICK_GAP {
            evidence.resumed_at = now;
        }
        if silence >= HANG_UP_AFTER && now.since(evidence.resumed_at) >= HEARTBEAT_INTERVAL * 2 {
            self.lost(now, source);
            return Some(LinkStep::HangUp);
        }
        let since_ping = now.since(evidence.pinged_at);
        if silence < HEARTBEAT_INTERVAL || since_ping < HEARTBEAT_INTERVAL {
            return None;
        }
        evidence.pinged_at = now;
        Some(LinkStep::Ping)
    }

    /// Gives up the life of a process whose link was lost too long ago, and returns it.
    pub fn expire_lost(&mut self, now: ClockTime) -> Option<ProcessIncarnation> {
        let LinkPhase::Absent(absent) = &mut self.phase else {
            return None;
        };
        let (incarnation, since) = absent.lost?;
        if now.since(since) < RESUME_WITHIN {
            return None;
        }
        absent.lost = None;
        Some(incarnation)
    }

    /// Returns the phase.
    pub fn phase(&self) -> LinkPhase {
        self.phase
    }

    /// Returns the life of the process that is, or until lately was, behind the link.
    pub fn incarnation(&self) -> Option<ProcessIncarnation> {
        match &self.phase {
            LinkPhase::Absent(absent) => absent.lost.map(|(incarnation, _)| incarnation),
            LinkPhase::Joining(JoiningLink { evidence }) | LinkPhase::Open(OpenLink { evidence }) => {
                Some(evidence.incarnation)
            }
        }
    }

    /// Returns `true` if the peer has described itself and was heard of lately.
    pub fn is_live(&self, now: ClockTime) -> bool {
        match &self.phase {
            LinkPhase::Open(OpenLink { evidence }) => now.since(evidence.heard_at) < SUSPECT_AFTER,
            LinkPhase::Absent(_) | LinkPhase::Joining(_) => false,
        }
    }

    /// Returns `true` if there is no link.
    pub fn is_absent(&self) -> bool {
        matches!(self.phase, LinkPhase::Absent(_))
    }

    /// Returns `true` while an attempt to dial is under way.
    pub fn is_dialing(&self) -> bool {
        matches!(
            self.phase,
            LinkPhase::Absent(AbsentLink {
                dial: DialState::Dialing { .. },
                ..
            })
        )
    }

    /// Returns the failures to dial in a row.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    fn evidence_mut(&mut self) -> Option<&mut LinkEvidence> {
        match &mut self.phase {
            LinkPhase::Absent(_) => None,
            LinkPhase::Joining(JoiningLink { evidence }) | LinkPhase::Open(OpenLink { evidence }) => {
                Some(evidence)
            }
        }
    }
}
