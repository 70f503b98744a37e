//! A test fixture: a fleet of real processes with helpers to run `ebonyctl` against it.

use std::future::Future;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use ebony_fleet::{CallerClient, FleetOptions, OPERATOR_KEY, RunningFleet, StopSignal};
use ebony_standins::{FaultSettings, OutageMode};
use serde_json::{Value, json};

/// The longest wait for a condition. A successful test needs only a fraction of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which a condition is polled.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The body of a test, which receives a new fleet.
pub(crate) type TestBody = fn(OperatorFleet) -> Pin<Box<dyn Future<Output = ()>>>;

/// Runs the tests whose names contain the first argument that is no option, each with a new fleet.
pub(crate) fn run_tests(tests: &[(&str, TestBody)]) -> ExitCode {
    let filter = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    let selected = tests
        .iter()
        .filter(|(name, _)| filter.as_ref().is_none_or(|filter| name.contains(filter)));
    let mut failures = 0;
    for (name, body) in selected {
        let run = || {
            actix_rt::System::new().block_on(async {
                let fleet = OperatorFleet::start().await;
                body(fleet).await;
            });
        };
        let is_ok = catch_unwind(AssertUnwindSafe(run)).is_ok();
        println!("test {name} ... {}", if is_ok { "ok" } else { "FAILED" });
        failures += u8::from(!is_ok);
    }
    ExitCode::from(failures)
}

/// A running `ebonyctl` process.
pub(crate) struct CtlProcess(Child);

/// The exit code and output of `ebonyctl`.
#[derive(Debug)]
pub(crate) struct CtlOutput {
    pub(crate) code: i32,
    pub(crate) output: String,
    pub(crate) errors: String,
}

impl CtlProcess {
    pub(crate) fn wait(self) -> CtlOutput {
        let output = self.0.wait_with_output().expect("ebonyctl ends");
        CtlOutput {
            code: output.status.code().expect("ebonyctl is not killed"),
            output: String::from_utf8(output.stdout).expect("a text"),
            errors: String::from_utf8(output.stderr).expect("a text"),
        }
    }
}

impl CtlOutput {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }
}

/// Numbers of rows and objects that the platform stores.
#[derive(Debug)]
pub(crate) struct StoredCounts {
    pub(crate) rows: u64,
    pub(crate) objects: u64,
}

/// A fleet that operators change through `ebonyctl`.
pub(crate) struct OperatorFleet {
    fleet: RunningFleet,
}

impl OperatorFleet {
    async fn start() -> Self {
        let daemon = std::env::current_exe().expect("this executable");
        let options = FleetOptions {
            engines: 1,
            ..FleetOptions::small(daemon)
        };
        let fleet = RunningFleet::start(options).await.expect("the fleet starts");
        Self { fleet }
    }

    pub(crate) fn entries(&self) -> usize {
        self.fleet.entry_count()
    }

    fn url(&self, entry: usize) -> String {
        format!("http://{}", self.fleet.administration(entry).expect("an entry"))
    }

    fn command(&self, entries: &[usize], key: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyctl"));
        for entry in entries {
            command.args(["--entry", &self.url(*entry)]);
        }
        command
            .args(arguments)
            .env("EBONYCTL_KEY", key)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Starts `ebonyctl` for one entry, with JSON on standard input.
    pub(crate) fn spawn(&self, entry: usize, arguments: &[&str], input: Option<&Value>) -> CtlProcess {
        let mut child = self
            .command(&[entry], OPERATOR_KEY, arguments)
            .spawn()
            .expect("ebonyctl starts");
        let mut pipe = child.stdin.take().expect("a standard input");
        if let Some(input) = input {
            pipe.write_all(input.to_string().as_bytes())
                .expect("ebonyctl reads");
        }
        CtlProcess(child)
    }

    pub(crate) fn run(&self, entry: usize, arguments: &[&str], input: Option<&Value>) -> CtlOutput {
        self.spawn(entry, arguments, input).wait()
    }

    pub(crate) fn run_with_key(&self, key: &str, arguments: &[&str]) -> CtlOutput {
        let child = self.command(&[0], key, arguments).spawn();
        CtlProcess(child.expect("ebonyctl starts")).wait()
    }

    /// Runs `ebonyctl` for all entries.
    pub(crate) fn run_all(&self, arguments: &[&str]) -> CtlOutput {
        let entries: Vec<usize> = (0..self.entries()).collect();
        let child = self.command(&entries, OPERATOR_KEY, arguments).spawn();
        CtlProcess(child.expect("ebonyctl starts")).wait()
    }

    /// Gets JSON from the administration API of an entry.
    pub(crate) async fn get(&self, entry: usize, path: &str) -> Value {
        let client: CallerClient = self.fleet.operator(entry).expect("an entry");
        let reply = client.send("GET", path, None, None, Default::default()).await;
        reply.expect("the entry answers").json()
    }

    /// Returns the version in force in an entry, or 0 while the entry starts.
    pub(crate) async fn version(&self, entry: usize) -> u64 {
        let status = self.get(entry, "/v1/config/status").await;
        status["in_force"].as_u64().unwrap_or(0)
    }

    /// Changes the default call budget with `ebonyctl` and returns the accepted version.
    pub(crate) async fn change(&self, entry: usize, calls: u64) -> u64 {
        let patch = json!({"defaults": {"budget": {"calls": calls}}});
        let run = self.run(entry, &["config", "patch", "-", "--json"], Some(&patch));
        assert_eq!(run.code, 0, "{run:?}");
        run.json()["version"].as_u64().expect("a version")
    }

    pub(crate) async fn wait(&self, what: &str, mut condition: impl AsyncFnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self).await {
            assert!(Instant::now() < deadline, "timed out: {what}");
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Waits until all entries have a version in force.
    pub(crate) async fn wait_version(&self, version: u64) {
        let has_version = async |fleet: &Self| {
            for entry in 0..fleet.entries() {
                if fleet.version(entry).await < version {
                    return false;
                }
            }
            true
        };
        self.wait(&format!("version {version} is in force everywhere"), has_version)
            .await;
    }

    /// Waits until every entry reports that the version is in force in all processes.
    pub(crate) async fn wait_reported(&self, version: u64) {
        let is_reported = async |fleet: &Self| {
            for entry in 0..fleet.entries() {
                let status = fleet.get(entry, "/v1/config/status").await;
                let processes = status["processes"].as_array().cloned().unwrap_or_default();
                let names: Vec<&str> = processes
                    .iter()
                    .filter_map(|row| row["process"].as_str())
                    .collect();
                let has_all =
                    (0..fleet.entries()).all(|index| names.contains(&format!("entry-{index}").as_str()));
                if !has_all || processes.iter().any(|row| row["version"] != version) {
                    return false;
                }
            }
            true
        };
        self.wait(&format!("all processes report version {version}"), is_reported)
            .await;
    }

    pub(crate) async fn set_table_faults(&self, outage: OutageMode) {
        let faults = FaultSettings {
            outage,
            ..FaultSettings::default()
        };
        let table = self.fleet.table().expect("a table");
        table.set_faults(faults).await.expect("the faults are set");
    }

    /// Drops the replies to the next writes to the table. The writes take effect.
    pub(crate) async fn lose_table_answers(&self, lose_replies: u32) {
        let faults = FaultSettings {
            lose_replies,
            ..FaultSettings::default()
        };
        let table = self.fleet.table().expect("a table");
        table.set_faults(faults).await.expect("the faults are set");
    }

    /// Changes the default call budget with a direct request, without an `ebonyctl` process.
    pub(crate) async fn change_directly(&self, expected: u64, calls: u64) {
        let body = json!({"expected": expected, "patch": {"defaults": {"budget": {"calls": calls}}}});
        let client: CallerClient = self.fleet.operator(0).expect("an entry");
        let body = body.to_string().into();
        let reply = client.send("PATCH", "/v1/config", None, None, body).await;
        let reply = reply.expect("the entry answers");
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Returns how much the platform stores.
    pub(crate) async fn stored(&self) -> StoredCounts {
        let table = self.fleet.table().expect("a table").stats().await;
        let objects = self.fleet.objects().expect("objects").stats().await;
        StoredCounts {
            rows: table.expect("counts").rows,
            objects: objects.expect("counts").objects,
        }
    }

    /// Kills an entry and waits until it has exited.
    pub(crate) async fn kill_entry(&mut self, entry: usize) {
        let child = self.fleet.entry(entry);
        child.signal(StopSignal::Kill).expect("the entry runs");
        child.wait(WAIT_TIMEOUT).await.expect("the entry ends");
    }

    pub(crate) async fn set_stale_prefix(&self, prefix: Option<&str>) {
        let table = self.fleet.table().expect("a table");
        let prefix = prefix.map(str::to_owned);
        let changed = table.change(|settings| settings.stale_prefix = prefix).await;
        changed.expect("the settings are changed");
    }

    pub(crate) async fn stale_reads(&self) -> u64 {
        let stats = self.fleet.table().expect("a table").stats().await;
        stats.expect("counts").stale_reads
    }

    pub(crate) async fn kill_and_restart_entry(&mut self, entry: usize) {
        self.fleet
            .kill_and_restart_entry(entry)
            .await
            .expect("a new entry starts");
    }

    pub(crate) async fn open_program(&self) -> String {
        let caller = self.fleet.caller(0).expect("an entry");
        let program = caller.open_program(None, json!({})).await;
        program.expect("a program").to_string()
    }
}
