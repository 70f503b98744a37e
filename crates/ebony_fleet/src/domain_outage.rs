//! Takes the hosts of a failure domain away and brings them back.

use std::time::Duration;

use anyhow::ensure;

use crate::child::StopSignal;
use crate::fleet::{Result, RunningFleet};

/// The longest outage of a crashed engine that is not brought back.
const OUTAGE_LIMIT: Duration = Duration::from_secs(600);

impl RunningFleet {
    /// Kills all processes of a failure domain and crashes its engines. Services keep running without their side
    /// process. The host list lags: it still names the hosts.
    ///
    /// # Errors
    ///
    /// Fails if the failure domain has no host.
    pub async fn lose_domain(&mut self, domain: usize) -> Result<()> {
        let members = self.members_of(domain);
        ensure!(!members.is_empty(), "no host in failure domain {domain}");
        for place in members {
            // The process may have ended already.
            let _ = self.member(place).child.signal(StopSignal::Kill);
        }
        for engine in self.engines_of(domain) {
            self.engine(engine)?.crash(OUTAGE_LIMIT).await?;
        }
        Ok(())
    }

    /// Brings the engines of a failure domain back and starts other processes in place of the killed ones. Does not
    /// wait until they are ready.
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
