//! Simulates the outage of a failure domain and its end.

use std::time::Duration;

use anyhow::ensure;

use crate::child::StopSignal;
use crate::fleet::{Result, RunningFleet};

/// The time after which a crashed engine restarts if the failure domain is not restored.
const MAX_OUTAGE: Duration = Duration::from_secs(600);

impl RunningFleet {
    /// Kills all processes of a failure domain and crashes its engines. Plain services keep running without their side
    /// process. The host list is not updated and still contains the hosts.
    ///
    /// # Errors
    ///
    /// Fails if the failure domain has no host or an engine does not answer.
    pub async fn lose_domain(&mut self, domain: usize) -> Result<()> {
        let members = self.members_of(domain);
        ensure!(!members.is_empty(), "no host in failure domain {domain}");
        for place in members {
            // Fails if the process has already exited.
            let _ = self.member(place).child.signal(StopSignal::Kill);
        }
        for engine in self.engines_of(domain) {
            self.engine(engine)?.crash(MAX_OUTAGE).await?;
        }
        Ok(())
    }

    /// Restarts the engines of a failure domain and starts new processes in place of the killed ones. Does not wait
    /// until they are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn restore_domain(&mut self, domain: usize) -> Result<()> {
        for engine in self.engines_of(domain) {
            self.engine(engine)?.restart().await?;
        }
        for place in self.members_of(domain) {
            self.restart_member(place)?;
        }
        self.publish_hosts().await
    }
}
