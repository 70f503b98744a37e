//! Tests of the stand-ins for service, object store, host list and weight store through their adapters.

use std::time::Duration;

use anyhow::{Result, bail};
use bytes::{Bytes, BytesMut};
use ebony_platform::{
    HostEntry, HostList, HostRole, HostState, HttpHosts, HttpObjects, HttpService, HttpWeights, ObjectStore,
    PlatformError, RequestLimits, ServiceAnswer, ServiceCall, ServiceTarget, WeightStore,
};
use ebony_standins::hosts::{self, HostsControl, HostsOptions};
use ebony_standins::objects::{self, ObjectsControl, ObjectsOptions};
use ebony_standins::service::{self, ServiceControl, ServiceEcho, ServiceOptions};
use ebony_standins::weights::{self, WeightsControl, WeightsOptions};
use ebony_standins::{FaultSettings, OutageMode, StandinHandle};
use ebony_types::{DomainName, HeaderField, HostName, ModelName};
use futures_util::StreamExt;

/// Maximum number of polls of a condition before a test fails.
const MAX_POLLS: u32 = 2_000;

struct ServiceFixture {
    control: ServiceControl,
    service: HttpService,
    _handle: StandinHandle,
}

impl ServiceFixture {
    async fn spawn() -> Result<Self> {
        let handle = service::spawn(ServiceOptions::default()).await?;
        Ok(Self {
            control: ServiceControl::open(handle.address().control),
            service: HttpService::open(&handle.url(), RequestLimits::for_targets())?,
            _handle: handle,
        })
    }

    async fn wait_for_runs(&self, runs: u64) -> Result<()> {
        for _ in 0..MAX_POLLS {
            if self.control.stats().await?.runs == runs {
                return Ok(());
            }
        }
        bail!("the service did not reach {runs} runs after {MAX_POLLS} polls")
    }
}

fn field(name: &str, value: &str) -> HeaderField {
    HeaderField {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn call(key: &str, body: &'static str) -> ServiceCall {
    ServiceCall {
        method: "PATCH".to_owned(),
        path: "/orders/7?dry=1".to_owned(),
        headers: vec![
            field("idempotency-key", key),
            field("x-other", "1"),
            field("connection", "close"),
        ],
        body: Bytes::from_static(body.as_bytes()),
    }
}

async fn read(mut answer: ServiceAnswer) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = answer.body.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.freeze())
}

/// Guards against a request that is altered on its way to the service, and a run that is not counted.
#[actix_rt::test]
async fn a_service_echoes_and_counts_its_runs() -> Result<()> {
    let fixture = ServiceFixture::spawn().await?;
    fixture.control.change(|settings| settings.status = 418).await?;
    let answer = fixture.service.send(call("k-1", "body")).await?;
    assert_eq!(answer.status, 418);
    let echo: ServiceEcho = serde_json::from_slice(&read(answer).await?)?;
    assert_eq!(
        (echo.method.as_str(), echo.path.as_str()),
        ("PATCH", "/orders/7?dry=1")
    );
    assert_eq!(echo.headers, [field("idempotency-key", "k-1")]);
    assert_eq!(echo.body_bytes, 4);
    read(fixture.service.send(call("k-1", "body")).await?).await?;
    read(fixture.service.send(call("k-2", "body")).await?).await?;
    let runs = fixture.control.runs(2).await?;
    assert_eq!(runs.keys.into_iter().collect::<Vec<_>>(), [("k-1".to_owned(), 2)]);
    assert_eq!(runs.paths.get("PATCH /orders/7"), Some(&3));
    Ok(())
}

/// Guards against a lost answer, a hang or a crash after the run that is reported as not run.
#[actix_rt::test]
async fn failures_after_the_run_are_unknown() -> Result<()> {
    let fixture = ServiceFixture::spawn().await?;
    let lose = FaultSettings {
        lose_replies: 1,
        ..FaultSettings::default()
    };
    fixture.control.set_faults(lose).await?;
    let lost = fixture
        .service
        .send(call("lost", "x"))
        .await
        .map(|answer| answer.status);
    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");

    fixture
        .control
        .change(|settings| settings.crash_down_ms = 3_600_000)
        .await?;
    let crashed = fixture.service.send(call("crash", "a [[crash-service]] b")).await;
    let crashed = crashed.map(|answer| answer.status);
    assert!(matches!(crashed, Err(PlatformError::Unknown(_))), "{crashed:?}");
    let down = fixture
        .service
        .send(call("down", "x"))
        .await
        .map(|answer| answer.status);
    assert!(matches!(down, Err(PlatformError::Refused(_))), "{down:?}");
    fixture.control.restart().await?;

    fixture.control.change(|settings| settings.hang_next = 1).await?;
    tokio::select! {
        answer = fixture.service.send(call("hung", "x")) => bail!("a hung request got {}", answer?.status),
        ran = fixture.wait_for_runs(3) => ran?,
    }
    read(fixture.service.send(call("normal", "x")).await?).await?;
    let runs = fixture.control.runs(1).await?.keys;
    let expected = ["crash", "hung", "lost", "normal"].map(|key| (key.to_owned(), 1));
    assert_eq!(runs.into_iter().collect::<Vec<_>>(), expected);
    Ok(())
}

/// Guards against answers above the size limit that are returned as complete.
#[actix_rt::test]
async fn answers_are_bounded() -> Result<()> {
    let handle = service::spawn(ServiceOptions::default()).await?;
    let control = ServiceControl::open(handle.address().control);
    control
        .change(|settings| settings.padding_bytes = 100_000)
        .await?;
    let limits = RequestLimits {
        max_body_bytes: 50_000,
        ..RequestLimits::for_targets()
    };
    let service = HttpService::open(&handle.url(), limits)?;
    let result = read(service.send(call("k", "x")).await?).await;
    let error = result
        .err()
        .and_then(|error| error.downcast::<PlatformError>().ok());
    assert!(matches!(error, Some(PlatformError::Malformed(_))), "{error:?}");
    Ok(())
}

/// Guards against objects that are confused, lost or kept after deletion, and against keys with path traversal.
#[actix_rt::test]
async fn objects_are_written_read_and_deleted() -> Result<()> {
    let handle = objects::spawn(ObjectsOptions::default()).await?;
    let control = ObjectsControl::open(handle.address().control);
    let store = HttpObjects::open(&handle.url(), RequestLimits::for_platform())?;
    let large = Bytes::from(vec![7; 9 * 1024 * 1024]);
    store.put("bodies/s-1/7 ü%2F", large.clone()).await?;
    store.put("empty", Bytes::new()).await?;
    assert_eq!(store.get("bodies/s-1/7 ü%2F").await?, Some(large));
    assert_eq!(store.get("empty").await?, Some(Bytes::new()));
    assert_eq!(store.get("bodies/s-1/7").await?, None);
    assert!(matches!(
        store.get("bodies/../x").await,
        Err(PlatformError::Refused(_))
    ));
    store.delete("empty").await?;
    store.delete("empty").await?;
    assert_eq!(store.get("empty").await?, None);

    let lose = FaultSettings {
        lose_replies: 1,
        ..FaultSettings::default()
    };
    control.set_faults(lose).await?;
    let lost = store.put("lost", Bytes::from_static(b"x")).await;
    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    assert_eq!(store.get("lost").await?, Some(Bytes::from_static(b"x")));
    let limit = |settings: &mut objects::ObjectsSettings| settings.max_bytes = 1;
    control.change(limit).await?;
    let full = store.put("full", Bytes::from_static(b"xy")).await;
    assert!(matches!(full, Err(PlatformError::Refused(_))), "{full:?}");
    let stats = control.stats().await?;
    assert_eq!((stats.objects, stats.writes, stats.rejected_writes), (2, 5, 1));
    Ok(())
}

/// Guards against a host list that shows changes before the lag has passed, or not at all.
#[actix_rt::test]
async fn the_host_list_lags() -> Result<()> {
    let mut host = HostEntry {
        host: HostName::parse("host-1")?,
        role: HostRole::Side,
        address: "127.0.0.1:7000".parse()?,
        domain: DomainName::parse("viti-west-1")?,
        state: HostState::Live,
    };
    let options = HostsOptions {
        hosts: vec![host.clone()],
        ..HostsOptions::default()
    };
    let handle = hosts::spawn(options).await?;
    let control = HostsControl::open(handle.address().control);
    let list = HttpHosts::open(&handle.url(), RequestLimits::for_platform())?;
    control.change(|settings| settings.lag_ms = 3_600_000).await?;
    host.state = HostState::Leaving;
    control.set_hosts(std::slice::from_ref(&host)).await?;
    assert_eq!(list.fetch().await?[0].state, HostState::Live);
    assert_eq!(control.hosts().await?[0].state, HostState::Leaving);
    control.change(|settings| settings.lag_ms = 0).await?;
    assert_eq!(list.fetch().await?, [host]);
    Ok(())
}

/// Guards against transfers above the weight store's rate limit, and refusals that count as transfers.
#[actix_rt::test]
async fn the_weight_store_limits_transfers() -> Result<()> {
    let handle = weights::spawn(WeightsOptions::default()).await?;
    let control = WeightsControl::open(handle.address().control);
    let store = HttpWeights::open(&handle.url(), RequestLimits::for_platform())?;
    // The bucket starts with one token; at this rate, it gets no second one during the test.
    control
        .change(|settings| settings.transfers_per_second = Some(1e-6))
        .await?;
    let model = ModelName::parse("kalo-70b")?;
    store.begin_transfer(&model).await?;
    let over = store.begin_transfer(&model).await;
    assert!(matches!(over, Err(PlatformError::Refused(_))), "{over:?}");
    assert_eq!(control.recent_transfers().await?, [model]);
    assert_eq!(control.stats().await?.refused, 1);
    Ok(())
}

/// Guards against an outage that continues to affect connections after it has ended.
#[actix_rt::test]
async fn connections_recover_after_an_outage() -> Result<()> {
    let handle = objects::spawn(ObjectsOptions::default()).await?;
    let control = ObjectsControl::open(handle.address().control);
    let limits = RequestLimits {
        max_connections: 1,
        ..RequestLimits::for_platform().with_answer_timeout(Duration::from_secs(5))
    };
    let store = HttpObjects::open(&handle.url(), limits)?;
    for _ in 0..20 {
        store.put("a", Bytes::from_static(b"x")).await?;
        for outage in [OutageMode::Refuse, OutageMode::Off] {
            let faults = FaultSettings {
                outage,
                ..FaultSettings::default()
            };
            control.set_faults(faults).await?;
        }
    }
    assert_eq!(control.stats().await?.writes, 20);
    Ok(())
}
