//! Options that a side process reads from its settings.

use std::time::Duration;

use anyhow::Context;
use ebony_ledger::LedgerLimits;
use ebony_link::{LinkOptions, tls};
use ebony_policy::RetentionOptions;
use ebony_settings::{LedgerSettings, LinkSettings, ProcessSettings, parse_duration};

/// The result of reading options.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The default lease on a program's engine memory, which is released unless an entry renews the lease with a `Vouch`
/// frame. Entries send one every 5 s; a lease of 3 intervals tolerates two lost frames.
pub const DEFAULT_VOUCH_LEASE: Duration = Duration::from_secs(15);

/// The key of the lease in the policy object of the settings.
const VOUCH_LEASE_KEY: &str = "vouch_lease";

/// The shortest and the longest lease that the settings may set.
const LEASE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(3_600));

/// The most calls that run concurrently with a crash suspect. Running the suspect alone would leave a large engine
/// almost idle for the duration of its answer; a low limit keeps few calls exposed to a second crash.
const MAX_CALLS_BESIDE_SUSPECT: usize = 3;

/// The delay before an unconfirmed release is sent to the engine again.
const RELEASE_RETRY_DELAY_MS: u32 = 250;

/// The longest delay between two attempts of a release.
const MAX_RELEASE_RETRY_DELAY_MS: u32 = 4_000;

/// Options of the whole process.
#[derive(Clone, Debug)]
pub struct SideOptions {
    /// Limits of the ledger.
    pub ledger: LedgerLimits,
    /// The time for which a program's engine memory is held without a renewal by an entry.
    pub vouch_lease: Duration,
    /// The longest duration of a planned stop.
    pub drain_time: Duration,
}

impl SideOptions {
    /// Reads the options.
    ///
    /// # Errors
    ///
    /// Fails if the lease in the policy object is malformed or out of bounds.
    pub fn from_settings(settings: &ProcessSettings, ledger: LedgerSettings) -> Result<Self> {
        let limits = LedgerLimits {
            known_keys: ledger.entries,
            answer_bytes: usize::try_from(ledger.bytes).unwrap_or(usize::MAX),
            key_lifetime: ledger.retention,
            calls_beside_suspect: MAX_CALLS_BESIDE_SUSPECT,
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
            repeat_ms: RELEASE_RETRY_DELAY_MS,
            max_repeat_ms: MAX_RELEASE_RETRY_DELAY_MS,
            ..RetentionOptions::default()
        }
    }
}

fn read_lease(settings: &ProcessSettings) -> Result<Duration> {
    let Some(value) = settings.policy.get(VOUCH_LEASE_KEY) else {
        return Ok(DEFAULT_VOUCH_LEASE);
    };
    let text = value.as_str().context("policy.vouch_lease is not a duration")?;
    let lease = parse_duration(text).context("policy.vouch_lease is not a duration")?;
    let (shortest, longest) = LEASE_BOUNDS;
    anyhow::ensure!(
        (shortest..=longest).contains(&lease),
        "policy.vouch_lease must be between 50 ms and 1 h"
    );
    Ok(lease)
}

/// Returns the timeouts and the TLS configuration of links.
///
/// # Errors
///
/// Fails if the TLS files can't be loaded.
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
