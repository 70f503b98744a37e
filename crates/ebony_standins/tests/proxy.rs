//! Tests of the proxy, the set of stand-ins on a dedicated thread, and the load generator.

use std::time::Duration;

use anyhow::{Result, bail};
use bytes::Bytes;
use ebony_platform::protocol::engine_route;
use ebony_platform::{
    HttpService, HttpTable, PlatformError, RequestLimits, RowKey, ServiceCall, ServiceTarget, TableService,
    WriteNonce,
};
use ebony_standins::engine::{EngineControl, EngineOptions, EngineSettings};
use ebony_standins::load::{FailureKind, LoadDriver, LoadPlan, ProgramMode};
use ebony_standins::proxy::{self, DirectionMode, ProxyControl, ProxyOptions, ProxySettings};
use ebony_standins::table::{self, TableControl, TableOptions};
use ebony_standins::{FaultSettings, OutageMode, StandinHandle, StandinOptions, StandinSet};
use ebony_types::ModelName;

/// Maximum number of polls of a condition before a test fails.
const MAX_POLLS: u32 = 2_000;

struct ProxyFixture {
    proxy: ProxyControl,
    upstream: TableControl,
    table: HttpTable,
    _handles: [StandinHandle; 2],
}

impl ProxyFixture {
    async fn spawn(limits: RequestLimits) -> Result<Self> {
        let upstream = table::spawn(TableOptions::default()).await?;
        let proxy = proxy::spawn(ProxyOptions::to(upstream.address().data)).await?;
        Ok(Self {
            proxy: ProxyControl::open(proxy.address().control),
            upstream: TableControl::open(upstream.address().control),
            table: HttpTable::open(&proxy.url(), limits)?,
            _handles: [proxy, upstream],
        })
    }

    async fn create(&self, key: &str) -> Result<(), PlatformError> {
        let key = RowKey(key.to_owned());
        self.table
            .create(&key, Bytes::from_static(b"x"), WriteNonce(1))
            .await?;
        Ok(())
    }

    async fn wait_for_writes(&self, writes: u64) -> Result<()> {
        for _ in 0..MAX_POLLS {
            if self.upstream.stats().await?.writes == writes {
                return Ok(());
            }
        }
        bail!("the table did not reach {writes} writes after {MAX_POLLS} polls")
    }
}

/// Guards against a proxy that alters the data that it forwards, or keeps a fault after it was unset.
#[actix_rt::test]
async fn proxy_faults_apply_until_they_are_unset() -> Result<()> {
    let fixture = ProxyFixture::spawn(RequestLimits::for_platform()).await?;
    fixture.create("plain").await?;
    let slow = |settings: &mut ProxySettings| {
        settings.to_upstream.delay_ms = 1;
        settings.to_client.delay_ms = 1;
    };
    fixture.proxy.change(slow).await?;
    fixture.create("delayed").await?;

    fixture
        .proxy
        .change(|settings| settings.is_refusing = true)
        .await?;
    fixture.create("on the open connection").await?;
    fixture.proxy.close_connections().await?;
    let refused = fixture.create("refused").await;
    assert!(matches!(refused, Err(PlatformError::Refused(_))), "{refused:?}");
    fixture
        .proxy
        .change(|settings| settings.is_refusing = false)
        .await?;

    fixture
        .proxy
        .change(|settings| settings.to_client.cut_after_bytes = Some(20))
        .await?;
    let cut = fixture.create("cut").await;
    assert!(matches!(cut, Err(PlatformError::Unknown(_))), "{cut:?}");
    fixture
        .proxy
        .change(|settings| settings.to_client.cut_after_bytes = None)
        .await?;

    fixture
        .proxy
        .change(|settings| settings.to_client.mode = DirectionMode::Cut)
        .await?;
    let cut = fixture.create("cut at once").await;
    assert!(matches!(cut, Err(PlatformError::Unknown(_))), "{cut:?}");
    fixture
        .proxy
        .change(|settings| settings.to_client.mode = DirectionMode::Forward)
        .await?;
    fixture.create("normal").await?;
    assert_eq!(fixture.proxy.stats().await?.cut, 1);
    Ok(())
}

/// Guards against a frozen direction that loses data or forwards it.
#[actix_rt::test]
async fn a_frozen_direction_buffers_data_until_it_is_unfrozen() -> Result<()> {
    let fixture = ProxyFixture::spawn(RequestLimits::for_platform()).await?;
    fixture
        .proxy
        .change(|settings| settings.to_client.mode = DirectionMode::Frozen)
        .await?;
    let mut reply = std::pin::pin!(fixture.create("frozen"));
    tokio::select! {
        result = &mut reply => bail!("got a reply through the frozen direction: {result:?}"),
        written = fixture.wait_for_writes(1) => written?,
    }
    fixture
        .proxy
        .change(|settings| settings.to_client.mode = DirectionMode::Forward)
        .await?;
    reply.await?;

    let short = RequestLimits::for_platform().with_answer_timeout(Duration::from_millis(50));
    let fixture = ProxyFixture::spawn(short).await?;
    fixture
        .proxy
        .change(|settings| settings.to_upstream.mode = DirectionMode::Frozen)
        .await?;
    let frozen = fixture.create("never sent").await;
    assert!(matches!(frozen, Err(PlatformError::Unknown(_))), "{frozen:?}");
    assert_eq!(fixture.upstream.stats().await?.writes, 0);
    Ok(())
}

/// Guards against a dropped answer whose connection stays open, which would also keep its request alive.
#[actix_rt::test]
async fn dropping_an_answer_closes_its_connection() -> Result<()> {
    let settings = EngineSettings {
        is_hung: true,
        ..EngineSettings::default()
    };
    let engine = engine_options(settings)?.spawn().await?;
    let proxy = proxy::spawn(ProxyOptions::to(engine.address().data)).await?;
    let control = ProxyControl::open(proxy.address().control);
    let limits = RequestLimits {
        max_connections: 1,
        ..RequestLimits::for_targets()
    };
    let service = HttpService::open(&proxy.url(), limits)?;
    for _ in 0..3 {
        let call = ServiceCall {
            method: "POST".to_owned(),
            path: engine_route::COMPLETE.to_owned(),
            headers: Vec::new(),
            body: Bytes::from_static(br#"{"model": "kalo-70b", "messages": [], "stream": true}"#),
        };
        assert_eq!(service.send(call).await?.status, 200);
    }
    for _ in 0..MAX_POLLS {
        let stats = control.stats().await?;
        if stats.open == 0 {
            assert_eq!(stats.accepted, 3);
            return Ok(());
        }
    }
    bail!("a connection is still open after {MAX_POLLS} polls")
}

fn engine_options(settings: EngineSettings) -> Result<StandinOptions> {
    Ok(StandinOptions::Engine(EngineOptions {
        models: vec![ModelName::parse("kalo-70b")?],
        settings,
        ..EngineOptions::default()
    }))
}

fn run_load(plan: LoadPlan) -> Result<ebony_standins::load::LoadReport> {
    actix_rt::System::new().block_on(async { LoadDriver::open(plan)?.run().await })
}

/// Guards against stand-ins that depend on the runtime of the test, and a load run with too many or too few calls.
#[test]
fn load_runs_against_a_set_on_another_thread() -> Result<()> {
    let mut set = StandinSet::start()?;
    let engine = set.add("engine", engine_options(EngineSettings::default())?)?;
    let proxy = set.add("proxy", StandinOptions::Proxy(ProxyOptions::to(engine.data)))?;
    let plan = LoadPlan {
        base_url: proxy.url(),
        callers: 6,
        calls: 100,
        turns: 3,
        programs: ProgramMode::Random,
        ..LoadPlan::default()
    };
    for is_streamed in [true, false] {
        let report = run_load(LoadPlan {
            is_streamed,
            ..plan.clone()
        })?;
        assert_eq!(
            (report.calls, report.succeeded, report.wrong_answers),
            (100, 100, 0)
        );
        assert_eq!(report.latency.len(), 100);
        assert!(report.failures.is_empty() && report.program_latency.len() >= 28);
    }
    let control = EngineControl::open(engine.control);
    let stats = actix_rt::System::new().block_on(control.stats())?;
    assert_eq!(stats.counts.ended, 200);
    assert!(stats.cache.reused > 0);
    set.stop()
}

/// Guards against failed calls that are counted as successes, or under the wrong code or verdict.
#[test]
fn load_counts_failures_by_code_and_verdict() -> Result<()> {
    let mut set = StandinSet::start()?;
    let settings = EngineSettings {
        cut_answers: 1,
        ..EngineSettings::default()
    };
    let engine = set.add("engine", engine_options(settings)?)?;
    let plan = LoadPlan {
        base_url: engine.url(),
        callers: 1,
        calls: 5,
        turns: 1,
        answer_words: 50,
        ..LoadPlan::default()
    };
    let report = run_load(plan.clone())?;
    let cut = FailureKind {
        code: "connection".to_owned(),
        verdict: "may_have_run".to_owned(),
    };
    assert_eq!((report.succeeded, report.failures.get(&cut)), (4, Some(&1)));
    let outage = FaultSettings {
        outage: OutageMode::Refuse,
        ..FaultSettings::default()
    };
    let control = EngineControl::open(engine.control);
    actix_rt::System::new().block_on(control.set_faults(outage))?;
    let report = run_load(plan)?;
    let refused = FailureKind {
        code: "connection".to_owned(),
        verdict: "not_run".to_owned(),
    };
    assert_eq!((report.calls, report.failures.get(&refused)), (5, Some(&5)));
    set.stop()
}
