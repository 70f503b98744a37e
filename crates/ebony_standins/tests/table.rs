//! Tests of the stand-in table service through its adapter.

use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{HttpTable, PlatformError, RequestLimits, RowKey, RowVersion, TableService, WriteNonce};
use ebony_standins::table::{self, TableControl, TableOptions};
use ebony_standins::{FaultSettings, OutageMode, StandinHandle};

struct TableFixture {
    handle: StandinHandle,
    control: TableControl,
    table: HttpTable,
}

async fn fixture() -> Result<TableFixture> {
    let handle = table::spawn(TableOptions::default()).await?;
    let control = TableControl::open(handle.address().control);
    let table = HttpTable::open(&handle.url(), RequestLimits::for_platform())?;
    Ok(TableFixture {
        handle,
        control,
        table,
    })
}

fn key(text: &str) -> RowKey {
    RowKey(text.to_owned())
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn outage(outage: OutageMode) -> FaultSettings {
    FaultSettings {
        outage,
        ..FaultSettings::default()
    }
}

/// Guards against writes that ignore their condition, and against versions that do not increase.
#[actix_rt::test]
async fn writes_are_conditional_and_versions_increase() -> Result<()> {
    let fixture = fixture().await?;
    let table = &fixture.table;
    let row = key("shards/0007 ?ü");
    let first = table.create(&row, value("a"), WriteNonce(u128::MAX)).await?;
    let again = table.create(&row, value("b"), WriteNonce(2)).await;
    assert_eq!(again, Err(PlatformError::Conflict));
    let second = table.replace(&row, first, value("c"), WriteNonce(3)).await?;
    assert!(second > first);
    let stale = table.replace(&row, first, value("d"), WriteNonce(4)).await;
    assert_eq!(stale, Err(PlatformError::Conflict));
    assert_eq!(table.delete(&row, first).await, Err(PlatformError::Conflict));

    let read = table.read(&row).await?.context("no row")?;
    assert_eq!(
        (read.value, read.nonce, read.version),
        (value("c"), WriteNonce(3), second)
    );
    table.delete(&row, second).await?;
    assert_eq!(table.read(&row).await, Ok(None));
    let third = table.create(&row, value("e"), WriteNonce(5)).await?;
    assert!(third > second);
    let stats = fixture.control.stats().await?;
    assert_eq!(
        (stats.writes, stats.conflicts, stats.reads, stats.rows),
        (4, 3, 2, 1)
    );
    Ok(())
}

/// Guards against lists that repeat or skip rows, or exceed their prefix or limit.
#[actix_rt::test]
async fn lists_continue_after_a_key() -> Result<()> {
    let fixture = fixture().await?;
    for name in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        fixture
            .table
            .create(&key(name), value("x"), WriteNonce(1))
            .await?;
    }
    let first = fixture.table.list("b/", None, 2).await?;
    let names: Vec<_> = first.iter().map(|row| row.key.0.as_str()).collect();
    assert_eq!(names, ["b/1", "b/2"]);
    let second = fixture.table.list("b/", Some(&key("b/2")), 2).await?;
    let names: Vec<_> = second.iter().map(|row| row.key.0.as_str()).collect();
    assert_eq!(names, ["b/3"]);
    Ok(())
}

/// Guards against a lost reply that is reported as a failed write, or a failed write reported as a success.
#[actix_rt::test]
async fn lost_replies_are_unknown_and_resolved_by_nonce() -> Result<()> {
    let fixture = fixture().await?;
    let lose = FaultSettings {
        lose_replies: 3,
        ..FaultSettings::default()
    };
    fixture.control.set_faults(lose).await?;
    let table = &fixture.table;
    let lost = table.create(&key("plain"), value("a"), WriteNonce(1)).await;
    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    let created = create_resolved(table, &key("resolved"), value("b"), WriteNonce(2)).await?;
    let replaced = replace_resolved(table, &key("resolved"), created, value("c"), WriteNonce(3)).await?;
    assert!(replaced > created);
    assert_eq!(fixture.control.faults_stats().await?.lost_replies, 3);

    let taken = create_resolved(table, &key("plain"), value("z"), WriteNonce(9)).await;
    assert_eq!(taken, Err(PlatformError::Conflict));
    assert_eq!(fixture.control.stats().await?.writes, 3);
    Ok(())
}

/// Guards against outage errors with the wrong run verdict.
#[actix_rt::test]
async fn outages_carry_the_right_verdict() -> Result<()> {
    let fixture = fixture().await?;
    let short = RequestLimits::for_platform().with_answer_timeout(Duration::from_millis(50));
    let table = HttpTable::open(&fixture.handle.url(), short)?;
    let row = key("row");
    for mode in [OutageMode::Refuse, OutageMode::Reject, OutageMode::Refuse] {
        fixture.control.set_faults(outage(mode)).await?;
        let refused = table.create(&row, value("a"), WriteNonce(1)).await;
        assert!(
            matches!(refused, Err(PlatformError::Refused(_))),
            "{mode:?}: {refused:?}"
        );
    }
    fixture.control.set_faults(outage(OutageMode::Hang)).await?;
    let hung = table.create(&row, value("a"), WriteNonce(1)).await;
    assert!(matches!(hung, Err(PlatformError::Unknown(_))), "{hung:?}");

    fixture.control.set_faults(outage(OutageMode::Off)).await?;
    assert_eq!(fixture.table.read(&row).await, Ok(None));
    fixture.table.create(&row, value("a"), WriteNonce(1)).await?;
    Ok(())
}

/// Guards against a late reply that is reported as a refusal.
#[actix_rt::test]
async fn a_late_reply_is_unknown_and_the_write_took_effect() -> Result<()> {
    let fixture = fixture().await?;
    let late = FaultSettings {
        reply_latency_ms: 60_000,
        ..FaultSettings::default()
    };
    fixture.control.set_faults(late).await?;
    let short = RequestLimits::for_platform().with_answer_timeout(Duration::from_millis(50));
    let table = HttpTable::open(&fixture.handle.url(), short)?;
    let result = table.create(&key("row"), value("a"), WriteNonce(1)).await;
    assert!(matches!(result, Err(PlatformError::Unknown(_))), "{result:?}");
    fixture.control.set_faults(FaultSettings::default()).await?;
    let row = fixture.table.read(&key("row")).await?;
    assert_eq!(row.map(|row| row.nonce), Some(WriteNonce(1)));
    Ok(())
}

/// Guards against stale reads of keys without the prefix, and conditional writes that accept a stale version.
#[actix_rt::test]
async fn stale_reads_are_limited_to_their_prefix() -> Result<()> {
    let fixture = fixture().await?;
    let table = &fixture.table;
    let old = table
        .create(&key("config/current"), value("old"), WriteNonce(1))
        .await?;
    table
        .create(&key("shards/1"), value("old"), WriteNonce(1))
        .await?;
    let stale = |settings: &mut table::TableSettings| settings.stale_prefix = Some("config/".into());
    fixture.control.change(stale).await?;
    table
        .replace(&key("config/current"), old, value("new"), WriteNonce(2))
        .await?;
    table
        .create(&key("config/history/1"), value("new"), WriteNonce(2))
        .await?;
    table
        .create(&key("shards/2"), value("new"), WriteNonce(2))
        .await?;

    let row = table.read(&key("config/current")).await?.context("no row")?;
    assert_eq!((row.value, row.version), (value("old"), old));
    assert_eq!(table.list("config/", None, 10).await?.len(), 1);
    assert_eq!(table.list("shards/", None, 10).await?.len(), 2);
    let lost = table
        .replace(&key("config/current"), row.version, value("x"), WriteNonce(3))
        .await;
    assert_eq!(lost, Err(PlatformError::Conflict));

    fixture
        .control
        .change(|settings| settings.stale_prefix = None)
        .await?;
    let row = table.read(&key("config/current")).await?.context("no row")?;
    assert_eq!(row.value, value("new"));
    assert!(row.version > RowVersion(1));
    Ok(())
}

/// Guards against a write rate limit that is not enforced, or that also rejects reads.
#[actix_rt::test]
async fn writes_over_the_rate_are_refused_as_not_run() -> Result<()> {
    let fixture = fixture().await?;
    // The bucket starts with one token; at this rate, it gets no second one during the test.
    let limit = |settings: &mut table::TableSettings| settings.writes_per_second = Some(1e-6);
    fixture.control.change(limit).await?;
    fixture.table.create(&key("a"), value("x"), WriteNonce(1)).await?;
    let over = fixture.table.create(&key("b"), value("x"), WriteNonce(1)).await;
    assert!(matches!(over, Err(PlatformError::Refused(_))), "{over:?}");
    assert_eq!(fixture.table.read(&key("b")).await, Ok(None));
    assert_eq!(fixture.control.stats().await?.rejected_writes, 1);
    Ok(())
}
