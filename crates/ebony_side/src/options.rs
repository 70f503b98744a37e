//! What a side process takes from its settings.

use std::time::Duration;

use anyhow::Context;
use ebony_ledger::LedgerLimits;
use ebony_link::{LinkOptions, tls};
use ebony_policy::RetentionOptions;
use ebony_settings::{LedgerSettings, LinkSettings, ProcessSettings, parse_duration};

/// The result of reading options.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The time after which engine memory is released for a program that no entry vouches for: 3 times the entries'
/// interval of 5 s, so that two lost frames release nothing.
pub const VOUCH_LEASE: Duration = Duration::from_secs(15);

/// The key of the lease within the settings' policy object.
const VOUCH_LEASE_KEY: &str = "vouch_lease";

/// The shortest and the longest lease that settings may ask for.
const LEASE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(3_600));

/// Calls that may run beside a crash suspect. Running it quite alone would leave a large engine almost idle for the
/// length of its answer; a few companions keep the number of calls that a second crash can hit small.
const SUSPECT_COMPANIONS: usize = 3;

/// The time for which an engine's release stays unconfirmed before it is repeated, in milliseconds.
const RELEASE_REPEAT_MS: u32 = 250;

/// The longest time between two repeats of a release, in milliseconds.
const MAX_RELEASE_REPEAT_MS: u32 = 4_000;

/// Options of the whole process.
#[derive(Clone, Debug)]
pub struct SideOptions {
    /// Bounds of the ledger.
    pub ledger: LedgerLimits,
    /// The time for which engine memory is held for a program without an entry's confirmation.
    pub vouch_lease: Duration,
    /// The longest planned stop.
    pub drain_time: Duration,
}

impl SideOptions {
    /// Reads the options.
    ///
    /// # Errors
    ///
    /// Fails if the policy object has a malformed lease.
    pub fn from_settings(settings: &ProcessSettings, ledger: LedgerSettings) -> Result<Self> {
        let limits = LedgerLimits {
            known_keys: ledger.entries,
            answer_bytes: usize::try_from(ledger.bytes).unwrap_or(usize::MAX),
            key_lifetime: ledger.retention,
            suspect_companions: SUSPECT_COMPANIONS,
            ..LedgerLimits::default()
        };
        Ok(Self {
            ledger: limits,
            vouch_lease: read_lease(settings)?,
            drain_time: settings.drain_time,
        })
    }

    /// Returns the options of the table of held programs.
    pub(crate) fn retention(&self) -> RetentionOptions {
        RetentionOptions {
            lease_ms: u32::try_from(self.vouch_lease.as_millis()).unwrap_or(u32::MAX),
            repeat_ms: RELEASE_REPEAT_MS,
            max_repeat_ms: MAX_RELEASE_REPEAT_MS,
            ..RetentionOptions::default()
        }
    }
}

fn read_lease(settings: &ProcessSettings) -> Result<Duration> {
    let Some(value) = settings.policy.get(VOUCH_LEASE_KEY) else {
        return Ok(VOUCH_LEASE);
    };
    let text = value.as_str().context("policy.vouch_lease is not a duration")?;
    let lease = parse_duration(text).context("policy.vouch_lease is not a duration")?;
    let (shortest, longest) = LEASE_BOUNDS;
    anyhow::ensure!(
        (shortest..=longest).contains(&lease),
        "policy.vouch_lease is not within 50 ms and 1 h"
    );
    Ok(lease)
}

/// Returns the limits and the encryption of links.
///
/// # Errors
///
/// Fails if the files for TLS can't be used.
pub fn link_options(settings: &LinkSettings) -> Result<LinkOptions> {
    let server_tls = match &settings.tls {
        Some(files) => {
            let config = tls::server_config(&files.certificate, &files.key, &files.authority);
            Some(config.context("cannot set up TLS for links")?)
        }
        None => None,
    };
    Ok(LinkOptions {
        open_timeout: settings.connect_timeout,
        silence_limit: settings.lost_after,
        server_tls,
        ..LinkOptions::default()
    })
}
