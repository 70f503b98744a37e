//! Converts the settings to options of the parts of an entry process.

use std::rc::Rc;

use anyhow::Context;
use ebony_link::{LinkIdentity, LinkOptions, tls};
use ebony_owner::OwnerSettings;
use ebony_platform::{HttpWeights, RequestLimits, WeightStore};
use ebony_settings::{EntrySettings, LinkSettings, ProcessSettings};
use ebony_types::ProcessIncarnation;
use ebony_wire::LinkRole;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;

use super::Result;
use crate::dispatch::is_loading_on;
use crate::owner::{OwnerOptions, StorageClient, wall_now};
use crate::platform::PlatformAccess;

/// Returns the identity of the process on its links, with a new incarnation.
pub(super) fn link_identity(settings: &ProcessSettings) -> Result<LinkIdentity> {
    let key = settings
        .links
        .cluster_key
        .load()
        .context("cannot load the cluster key")?;
    Ok(LinkIdentity {
        key,
        process: settings.process.clone(),
        role: LinkRole::Entry,
        incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
    })
}

/// Returns the number of journal rows per second that all entries together may write. Validation of the settings limits
/// the value to 1..=1,000, so the cast only drops the fraction.
fn rows_per_second(entry: &EntrySettings) -> u32 {
    entry.ownership.writes_per_second as u32
}

/// Returns the options of the owner.
pub(super) fn owner_options(
    settings: &ProcessSettings,
    entry: &EntrySettings,
    platform: &PlatformAccess,
    logger: &Logger,
) -> OwnerOptions {
    let owner = OwnerSettings {
        shard_count: entry.ownership.shards,
        writes_per_second: rows_per_second(entry),
        wall_start: wall_now(),
        ..OwnerSettings::default()
    };
    OwnerOptions {
        settings: owner,
        process: settings.process.clone(),
        domain: settings.failure_domain.clone(),
        heartbeat: entry.ownership.heartbeat,
        lease: entry.ownership.lease,
        table: Rc::clone(&platform.table),
        storage: StorageClient::new(Rc::clone(&platform.table), Rc::clone(&platform.objects)),
        logger: logger.clone(),
    }
}

/// Opens the weight store if the settings enable model loading.
pub(super) fn weight_store(settings: &ProcessSettings) -> Result<Option<Rc<dyn WeightStore>>> {
    if !is_loading_on(&settings.policy) {
        return Ok(None);
    }
    let weights = &settings.platform.weights;
    let limits = RequestLimits::for_platform().with_answer_timeout(weights.timeout);
    let weights =
        HttpWeights::open(&weights.url.to_string(), limits).context("cannot open the weight store")?;
    Ok(Some(Rc::new(weights)))
}

/// Returns the timeouts and the TLS configuration of links.
pub(super) fn link_options(settings: &LinkSettings) -> Result<LinkOptions> {
    let mut options = LinkOptions {
        open_timeout: settings.connect_timeout,
        silence_limit: settings.lost_after,
        ..LinkOptions::default()
    };
    if let Some(files) = &settings.tls {
        options.client_tls = Some(tls::client_config(
            &files.certificate,
            &files.key,
            &files.authority,
        )?);
        options.server_tls = Some(tls::server_config(
            &files.certificate,
            &files.key,
            &files.authority,
        )?);
    }
    Ok(options)
}
