//! Gateways as separate processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    links: SocketAddr,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

impl Gateway {
    /// Chooses the addresses of a gateway; [`Gateway::start`] starts it.
    pub fn open(name: &str, store: SocketAddr, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            callers: free_address(),
            ready: free_address(),
            links: free_address(),
            store,
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Writes the settings that deploy/gateway.jsonc yields, and starts the process.
    pub fn start(&mut self, is_first_start: bool) {
        let settings = format!(
            "{{\"process\":\"{0}\",\"role\":\"gateway\",\"host\":\"{0}\",\"region\":\"jm-south\",\
             \"failure_domain\":\"kgn-a\",\"callers\":{{\"listen\":\"{1}\"}},\"links\":{{\"listen\":\"{2}\"}},\
             \"metrics\":{{\"listen\":\"{3}\"}},\"store\":{{\"url\":\"http://{4}\",\"retention\":\"10m\"}},\
             \"first_start\":{5},\"drain_time\":\"8s\"}}",
            self.name, self.callers, self.links, self.ready, self.store, is_first_start
        );
        let path = self.folder.join(format!("{}.jsonc", self.name));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", self.name)));
        let log = log.expect("the log can be written");
        let command = Command::new("target/release/ebonyswitch")
            .arg("gateway")
            .arg(&path)
            .env("EBONYSWITCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be written"))
            .stderr(log)
            .spawn();
        match command {
            Ok(child) => self.child = Some(child),
            Err(error) => crate::cannot_run(&format!("the gateway does not start: {error}")),
        }
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET /readyz HTTP/1.1\r\nHost: ready\r\n", b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                crate::cannot_run(&format!("{} does not get ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
