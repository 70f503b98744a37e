//! A small deployment: the store, engines and gateways.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::{Endpoint, Mode, Store};

pub const HOST: &str = "ficu95.example";
pub const MODELS: &str = "huvo11a";
pub const SERVICE: &str = "wuno96b";
/// A stream route that keeps no turns.
pub const TURNS: &str = "/lohu930/";
/// A stream route that keeps turns.
pub const KEPT: &str = "/pufi791/";
/// A safe and an unsafe route of the plain service.
pub const SAFE: &str = "/pule252/";
pub const UNSAFE: &str = "/puxa403/";

pub struct Floor {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub endpoints: Vec<Endpoint>,
    pub gateways: Vec<Gateway>,
    pub engines: Vec<Engine>,
    folder: PathBuf,
}

impl Floor {
    /// Starts a store, four model engines, two plain services and some gateways, and waits until all is calm.
    pub fn open(folder: &Path, gateways: usize) -> Self {
        let record = Arc::new(Record::open(folder));
        let store = Store::open();
        store.put("op", "config", &config(7, &[]));
        let models = ["i-7f3a91c2", "i-11aa22bb", "i-3e1b07d0", "i-90c4e8f6"].map(|id| (id, MODELS));
        let services = ["i-02d9e6b4", "i-5c5c5c5c"].map(|id| (id, SERVICE));
        let mut engines = Vec::new();
        for (id, service) in models.into_iter().chain(services) {
            let engine = Engine::open(id, service, &record);
            store.put("servers", id, &engine.entry());
            engines.push(engine);
        }
        let work = std::env::temp_dir().join(format!("ebony-review-{}", std::process::id()));
        std::fs::create_dir_all(&work).expect("a temporary folder");
        let endpoints: Vec<Endpoint> = (0..gateways).map(|_| store.endpoint()).collect();
        let names = (1..=gateways).map(|number| format!("front-kgn-a-{number}"));
        let mut gateways: Vec<Gateway> = names
            .zip(&endpoints)
            .map(|(name, endpoint)| Gateway::open(&name, endpoint.address, &work))
            .collect();
        gateways.iter_mut().for_each(|gateway| gateway.start(true));
        gateways.iter().for_each(Gateway::wait_ready);
        // Longer than stableMs.
        thread::sleep(Duration::from_secs(4));
        record.say("the gateways are ready");
        Self { record, store, endpoints, gateways, engines, folder: work }
    }

    pub fn set_store(&self, mode: Mode) {
        self.record.say(&format!("store for all gateways: {mode:?}"));
        self.endpoints.iter().for_each(|endpoint| endpoint.set(mode));
    }
}

impl Drop for Floor {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// The desired state, with the fields and values of `fleetbench wire`.
pub fn config(version: u64, more_prefixes: &[String]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u64, target: u64, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"routeKind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\"{more}}}"
        )
    };
    let turns = ",\"maxAttempts\":2,\"retained\":false,\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,\"targetGapMs\":200";
    let kept = ",\"maxAttempts\":2,\"retained\":true,\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,\"targetGapMs\":200";
    let mut routes = vec![
        route("r-turns", TURNS, "stream", 4000, 200, MODELS, turns),
        route("r-kept", KEPT, "stream", 4000, 200, MODELS, kept),
        route("r-safe", SAFE, "safe", 1200, 80, SERVICE, ",\"maxAttempts\":2"),
        route("r-unsafe", UNSAFE, "unsafe", 2000, 200, SERVICE, ",\"maxAttempts\":1"),
    ];
    let more = more_prefixes.iter().map(|prefix| {
        let name = format!("r-{}", prefix.trim_matches('/'));
        route(&name, prefix, "safe", 1200, 80, SERVICE, ",\"maxAttempts\":2,\"retained\":false,\"sticky\":false")
    });
    routes.extend(more);
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{MODELS}\",\"healthPath\":\"/healthz\",\
         \"maxConns\":240,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kvCapacity\":865055,\
         \"kvTokenBytes\":35136,\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,\"chunkTokens\":19,\"most\":12,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
