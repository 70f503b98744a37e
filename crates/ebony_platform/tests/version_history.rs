//! Guards against reporting a version as expired before the retention time has passed, or much later than that.

use std::time::Duration;

use arbtest::arbtest;
use ebony_platform::{RowVersion, VersionHistory};
use ebony_types::ClockTime;

const RETENTION: Duration = Duration::from_secs(100);

#[test]
fn a_settled_version_was_seen_at_least_the_retention_time_ago() {
    arbtest(|source| {
        let mut history = VersionHistory::open(RETENTION);
        let mut seen: Vec<(ClockTime, u64)> = Vec::new();
        let mut now = ClockTime::default();
        for _ in 0..64 {
            now = now + Duration::from_millis(source.int_in_range(0..=20_000)?);
            // Feeds of several tables may report versions out of order.
            let version = source.int_in_range(0..=1_000)?;
            history.record(now, RowVersion(version));
            seen.push((now, version));
            let Some(expired) = history.newest_expired(now) else {
                continue;
            };
            let is_old = |(time, version): &(ClockTime, u64)| {
                now.since(*time) >= RETENTION && RowVersion(*version) >= expired
            };
            assert!(seen.iter().any(is_old), "{expired:?} is not expired at {now:?}");
        }
        Ok(())
    });
}

#[test]
fn versions_settle_soon_after_the_retention_time() {
    let mut history = VersionHistory::open(RETENTION);
    let mut now = ClockTime::default();
    for second in 0..1_000 {
        now = ClockTime::default() + Duration::from_secs(second);
        history.record(now, RowVersion(second));
    }
    let expired = history
        .newest_expired(now)
        .expect("the retention time has passed");
    let newest = 999 - RETENTION.as_secs();
    assert!(
        (newest - RETENTION.as_secs() / 8..=newest).contains(&expired.0),
        "{expired:?}"
    );
}
