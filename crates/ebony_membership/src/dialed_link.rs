//! State of the link to one host, at the end that dials.
//!
//! Each phase is a separate type; a transition consumes one phase and returns the next. Only an [`OpenLink`], over
//! which the peer has sent its description, can carry work.

use std::time::Duration;

use ebony_types::{ClockTime, ProcessIncarnation};
use rand_chacha::ChaCha8Rng;

use crate::dial_backoff::DialBackoff;

/// Time without a received frame after which a ping is sent. Reports arrive about every second, so a link in use needs
/// few pings.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a received frame after which the peer is suspected. With a tick every 250 ms, work stops within 3 s.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Time without a received frame after which the link is closed and dialed again: the connection may be half open.
pub const LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// If ticks are further apart than this, this process is taken to have been paused. Frames may still wait to be read,
/// so no link is closed until a ping could have been answered.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Time after the loss of a link within which its calls can resume over a new one.
pub const RESUME_WINDOW: Duration = Duration::from_secs(30);

/// Time after which an attempt to dial counts as failed if its result has not been reported.
pub const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// No link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbsentLink {
    /// The incarnation that the last link was to, and when that link was lost, while its calls may resume.
    lost_link: Option<(ProcessIncarnation, ClockTime)>,
    dial: DialState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DialState {
    Waiting { until: ClockTime },
    Dialing { since: ClockTime },
}

/// A link over which the peer has not sent its description yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoiningLink {
    state: LinkState,
}

/// A link over which the peer has sent its description.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenLink {
    state: LinkState,
}

/// The peer's incarnation, and the times that show whether the link is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkState {
    incarnation: ProcessIncarnation,
    up_since: ClockTime,
    last_frame_at: ClockTime,
    last_ping_at: ClockTime,
    last_tick_at: ClockTime,
    /// When the last pause of this process was detected, initially when the link came up.
    pause_ended_at: ClockTime,
}

impl AbsentLink {
    fn into_joining(self, incarnation: ProcessIncarnation, now: ClockTime) -> JoiningLink {
        let state = LinkState {
            incarnation,
            up_since: now,
            last_frame_at: now,
            last_ping_at: now,
            last_tick_at: now,
            pause_ended_at: now,
        };
        JoiningLink { state }
    }
}

impl JoiningLink {
    fn into_open(self) -> OpenLink {
        OpenLink { state: self.state }
    }
}

/// The phase of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// There is no link.
    Absent(AbsentLink),
    /// A link is up; the peer has not sent its description yet.
    Joining(JoiningLink),
    /// The link carries work.
    Open(OpenLink),
}

/// What has to be done for a link at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Dial the host.
    Dial,
    /// Send a ping.
    Ping,
    /// Close the link; its state already records it as lost.
    Close,
}

/// The phase of a link and the backoff of its attempts to dial.
#[derive(Clone, Debug)]
pub struct DialedLink {
    phase: LinkPhase,
    backoff: DialBackoff,
}

impl DialedLink {
    /// Creates the state for a host that has not been dialed yet.
    pub fn new(now: ClockTime) -> Self {
        let dial = DialState::Waiting { until: now };
        Self {
            phase: LinkPhase::Absent(AbsentLink {
                lost_link: None,
                dial,
            }),
            backoff: DialBackoff::default(),
        }
    }

    /// Records that a link came up. Returns the previous incarnation if the peer has a new one.
    pub fn on_opened(
        &mut self,
        incarnation: ProcessIncarnation,
        now: ClockTime,
    ) -> Option<ProcessIncarnation> {
        let previous = self.incarnation();
        let absent = match self.phase {
            LinkPhase::Absent(absent) => absent,
            LinkPhase::Joining(_) | LinkPhase::Open(_) => AbsentLink {
                lost_link: None,
                dial: DialState::Dialing { since: now },
            },
        };
        self.phase = LinkPhase::Joining(absent.into_joining(incarnation, now));
        previous.filter(|previous| *previous != incarnation)
    }

    /// Records that the peer sent its description. Returns `false` if there is no link.
    pub fn on_described(&mut self, now: ClockTime) -> bool {
        self.on_frame(now);
        match self.phase {
            LinkPhase::Absent(_) => false,
            LinkPhase::Joining(link) => {
                self.phase = LinkPhase::Open(link.into_open());
                true
            }
            LinkPhase::Open(_) => true,
        }
    }

    /// Records that a frame was received over the link.
    pub fn on_frame(&mut self, now: ClockTime) {
        if let Some(state) = self.state_mut() {
            state.last_frame_at = now;
        }
    }

    /// Records that the link was lost, or that an attempt to dial failed.
    pub fn on_lost(&mut self, now: ClockTime, rng: &mut ChaCha8Rng) {
        let (lost_link, up_since) = match self.phase {
            LinkPhase::Absent(AbsentLink {
                dial: DialState::Waiting { .. },
                ..
            }) => return,
            LinkPhase::Absent(absent) => (absent.lost_link, None),
            LinkPhase::Joining(JoiningLink { state }) | LinkPhase::Open(OpenLink { state }) => {
                (Some((state.incarnation, now)), Some(state.up_since))
            }
        };
        let until = self.backoff.next_dial(up_since, now, rng);
        let dial = DialState::Waiting { until };
        self.phase = LinkPhase::Absent(AbsentLink { lost_link, dial });
    }

    /// Records that the host's address changed. Resets the backoff, because previous failures were at the old address.
    pub fn on_address_changed(&mut self, now: ClockTime) {
        self.backoff = DialBackoff::default();
        if let LinkPhase::Absent(absent) = &mut self.phase {
            absent.dial = DialState::Waiting { until: now };
        }
    }

    /// Returns what has to be done for the link now. `may_dial` is `false` if the host must not be dialed at this tick.
    pub fn tick(&mut self, may_dial: bool, now: ClockTime, rng: &mut ChaCha8Rng) -> Option<LinkAction> {
        match self.phase {
            LinkPhase::Absent(absent) => self.tick_absent(absent, may_dial, now, rng),
            LinkPhase::Joining(_) | LinkPhase::Open(_) => self.tick_present(now, rng),
        }
    }

    fn tick_absent(
        &mut self,
        mut absent: AbsentLink,
        may_dial: bool,
        now: ClockTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<LinkAction> {
        match absent.dial {
            DialState::Waiting { until } if may_dial && until <= now => {
                absent.dial = DialState::Dialing { since: now };
                self.phase = LinkPhase::Absent(absent);
                Some(LinkAction::Dial)
            }
            DialState::Dialing { since } if now.since(since) >= DIAL_TIMEOUT => {
                self.on_lost(now, rng);
                None
            }
            _ => None,
        }
    }

    fn tick_present(&mut self, now: ClockTime, rng: &mut ChaCha8Rng) -> Option<LinkAction> {
        let state = self.state_mut()?;
        let silence = now.since(state.last_frame_at);
        if now.since(std::mem::replace(&mut state.last_tick_at, now)) > MAX_TICK_GAP {
            state.pause_ended_at = now;
        }
        if silence >= LINK_TIMEOUT && now.since(state.pause_ended_at) >= HEARTBEAT_INTERVAL * 2 {
            self.on_lost(now, rng);
            return Some(LinkAction::Close);
        }
        let since_ping = now.since(state.last_ping_at);
        if silence < HEARTBEAT_INTERVAL || since_ping < HEARTBEAT_INTERVAL {
            return None;
        }
        state.last_ping_at = now;
        Some(LinkAction::Ping)
    }

    /// Returns the incarnation whose link was lost at least [`RESUME_WINDOW`] ago, and forgets it: its calls cannot
    /// resume.
    pub fn take_expired_incarnation(&mut self, now: ClockTime) -> Option<ProcessIncarnation> {
        let LinkPhase::Absent(absent) = &mut self.phase else {
            return None;
        };
        let (incarnation, since) = absent.lost_link?;
        if now.since(since) < RESUME_WINDOW {
            return None;
        }
        absent.lost_link = None;
        Some(incarnation)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> LinkPhase {
        self.phase
    }

    /// Returns the incarnation of the peer, also for [`RESUME_WINDOW`] after the link was lost.
    pub fn incarnation(&self) -> Option<ProcessIncarnation> {
        match &self.phase {
            LinkPhase::Absent(absent) => absent.lost_link.map(|(incarnation, _)| incarnation),
            LinkPhase::Joining(JoiningLink { state }) | LinkPhase::Open(OpenLink { state }) => {
                Some(state.incarnation)
            }
        }
    }

    /// Returns `true` if the peer has sent its description, and a frame arrived within [`SUSPECT_AFTER`].
    pub fn is_live(&self, now: ClockTime) -> bool {
        match &self.phase {
            LinkPhase::Open(OpenLink { state }) => now.since(state.last_frame_at) < SUSPECT_AFTER,
            LinkPhase::Absent(_) | LinkPhase::Joining(_) => false,
        }
    }

    /// Returns `true` if there is no link.
    pub fn is_absent(&self) -> bool {
        matches!(self.phase, LinkPhase::Absent(_))
    }

    /// Returns `true` while an attempt to dial is in progress.
    pub fn is_dialing(&self) -> bool {
        matches!(
            self.phase,
            LinkPhase::Absent(AbsentLink {
                dial: DialState::Dialing { .. },
                ..
            })
        )
    }

    /// Returns the number of consecutive failures to dial.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    fn state_mut(&mut self) -> Option<&mut LinkState> {
        match &mut self.phase {
            LinkPhase::Absent(_) => None,
            LinkPhase::Joining(JoiningLink { state }) | LinkPhase::Open(OpenLink { state }) => Some(state),
        }
    }
}
