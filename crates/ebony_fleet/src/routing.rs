//! Routes callers to entries, and audits the results that callers received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use anyhow::bail;
use ebony_types::ProgramId;
use serde_json::Value;

use crate::audit::AuditReport;
use crate::caller::CallerClient;
use crate::directory::EntryDirectory;
use crate::fleet::{READY_POLL_INTERVAL, READY_TIMEOUT, Result, RunningFleet};
use crate::workload::ProgramLog;

impl RunningFleet {
    /// Returns the directory from which callers choose entries.
    pub fn directory(&self) -> EntryDirectory {
        self.directory.clone()
    }

    /// Routes callers to all entries, as the load balancer does when all are ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no address.
    pub fn route_to_all(&self) -> Result<()> {
        self.route_without(&[])
    }

    /// Routes callers to all entries except `excluded`, as the load balancer does when those are not ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no address.
    pub fn route_without(&self, excluded: &[usize]) -> Result<()> {
        let members = self.entries.iter().enumerate();
        let routed = members.filter(|(index, _)| !excluded.contains(index));
        let addresses: Result<Vec<SocketAddr>> = routed
            .map(|(_, member)| member.child.address("callers"))
            .collect();
        self.directory.set(addresses?);
        Ok(())
    }

    /// Compares the results that callers received with the histories and with the runs of engines and services.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer. A history that can't be read counts as a violation.
    pub async fn audit(&self, logs: &[ProgramLog]) -> Result<AuditReport> {
        let mut report = AuditReport::default();
        let mut runs = BTreeMap::new();
        for index in 0..self.options.services {
            for (key, count) in self.service(index)?.runs(1).await?.keys {
                *runs.entry(key).or_insert(0) += count;
            }
        }
        let mut turns = BTreeMap::new();
        for index in 0..self.options.engines {
            for (digest, count) in self.engine(index)?.run_counts(1).await?.messages {
                *turns.entry(digest).or_insert(0) += count;
            }
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        for log in logs {
            report.audit_orders(log, &runs);
            report.audit_turns(log, &turns);
            if let Some(program) = log.program {
                let client = self.caller_with(0, &log.plan.caller_key)?;
                let view = read_view(&client, program, deadline).await;
                report.check("history", view.is_ok(), || {
                    format!("{}: {:?}", log.plan.label, view.as_ref().err())
                });
                if let Ok(view) = view {
                    report.audit_history(log, &view);
                    report.audit_ending(log, &view);
                }
            }
        }
        let programs: Vec<ProgramId> = logs.iter().filter_map(|log| log.program).collect();
        report.audit_programs(&programs);
        Ok(report)
    }
}

/// Reads a program with its history. Retries until `deadline`, because the program's owner can be changing, and makes
/// at least one attempt.
async fn read_view(client: &CallerClient, program: ProgramId, deadline: Instant) -> Result<Value> {
    loop {
        let reply = client.show_program(program).await?;
        if reply.status == 200 {
            return Ok(reply.json());
        }
        if Instant::now() > deadline {
            bail!(
                "{program} can't be read: {}",
                String::from_utf8_lossy(&reply.body)
            );
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}
