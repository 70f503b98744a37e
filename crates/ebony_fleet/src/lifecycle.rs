//! Kills, stops and replaces the processes of a fleet.

use std::path::Path;
use std::time::Duration;

use anyhow::bail;

use crate::child::{ChildProcess, StopSignal};
use crate::fleet::{FleetMember, MemberPlace, READY_TIMEOUT, Result, RunningFleet, domain_name, wait_ready};

impl RunningFleet {
    /// Kills an entry and starts a new process with the same settings, which has none of its state in memory. Does not
    /// wait until the new process is ready.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn kill_and_restart_entry(&mut self, index: usize) -> Result<()> {
        kill_and_restart(&self.options.program, &mut self.entries[index])?;
        self.publish_hosts().await
    }

    /// Kills a side process and starts a new one with the same settings.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn kill_and_restart_side(&mut self, index: usize) -> Result<()> {
        kill_and_restart(&self.options.program, &mut self.sides[index])?;
        self.publish_hosts().await
    }

    /// Stops an entry gracefully, starts a new process with the same settings, and waits until that is ready.
    ///
    /// # Errors
    ///
    /// Fails if the stop takes longer than a minute or is not clean, or if the new process is not ready after a minute.
    pub async fn restart_entry_gracefully(&mut self, index: usize) -> Result<()> {
        stop_gracefully(&mut self.entries[index]).await?;
        self.kill_and_restart_entry(index).await?;
        wait_ready(&self.entries[index].child).await
    }

    /// Stops a side process gracefully and starts a new one with the same settings.
    ///
    /// # Errors
    ///
    /// Fails if the stop takes longer than a minute or is not clean, or if the new process does not start.
    pub async fn restart_side_gracefully(&mut self, index: usize) -> Result<()> {
        stop_gracefully(&mut self.sides[index]).await?;
        self.kill_and_restart_side(index).await
    }

    /// Returns the places of the processes in a failure domain.
    pub fn members_of(&self, domain: usize) -> Vec<MemberPlace> {
        let name = domain_name(domain);
        let entries = self.entries.iter().enumerate();
        let entries = entries.filter(|(_, member)| member.host.domain.as_str() == name);
        let sides = self.sides.iter().enumerate();
        let sides = sides.filter(|(_, member)| member.host.domain.as_str() == name);
        let entries = entries.map(|(index, _)| MemberPlace::Entry(index));
        entries
            .chain(sides.map(|(index, _)| MemberPlace::Side(index)))
            .collect()
    }

    /// Returns the indices of the engines in a failure domain.
    pub(crate) fn engines_of(&self, domain: usize) -> Vec<usize> {
        let engines = 0..self.options.engines;
        engines
            .filter(|engine| engine % self.options.domains.max(1) == domain)
            .collect()
    }

    pub(crate) fn member(&mut self, place: MemberPlace) -> &mut FleetMember {
        match place {
            MemberPlace::Entry(index) => &mut self.entries[index],
            MemberPlace::Side(index) => &mut self.sides[index],
        }
    }

    /// Returns the places of all processes.
    pub fn places(&self) -> Vec<MemberPlace> {
        let entries = (0..self.entries.len()).map(MemberPlace::Entry);
        entries
            .chain((0..self.sides.len()).map(MemberPlace::Side))
            .collect()
    }

    /// Returns the host name of the process at a place, which is also its process name.
    pub fn name_of(&self, place: MemberPlace) -> String {
        match place {
            MemberPlace::Entry(index) => self.entries[index].host.host.to_string(),
            MemberPlace::Side(index) => self.sides[index].host.host.to_string(),
        }
    }

    /// Returns the process at a place.
    pub fn process(&mut self, place: MemberPlace) -> &mut ChildProcess {
        &mut self.member(place).child
    }

    /// Returns `true` if the process at a place reports that it is ready within `limit`.
    pub async fn is_ready(&self, place: MemberPlace, limit: Duration) -> bool {
        let member = match place {
            MemberPlace::Entry(index) => &self.entries[index],
            MemberPlace::Side(index) => &self.sides[index],
        };
        let Ok(address) = member.child.address("metrics") else {
            return false;
        };
        let client = awc::Client::builder().timeout(limit).finish();
        let reply = client.get(format!("http://{address}/readyz")).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    /// Kills the process at a place and starts a new one with the same settings. Does not wait until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn kill_and_restart_process(&mut self, place: MemberPlace) -> Result<()> {
        self.restart_member(place)?;
        self.publish_hosts().await
    }

    pub(crate) fn restart_member(&mut self, place: MemberPlace) -> Result<()> {
        let program = self.options.program.clone();
        kill_and_restart(&program, self.member(place))
    }
}

fn kill_and_restart(program: &Path, member: &mut FleetMember) -> Result<()> {
    // Fails if the process has already exited.
    let _ = member.child.signal(StopSignal::Kill);
    member.child = ChildProcess::spawn(program, member.role, &member.settings)?;
    member.host.address = member.child.address("links")?;
    Ok(())
}

async fn stop_gracefully(member: &mut FleetMember) -> Result<()> {
    member.child.signal(StopSignal::Terminate)?;
    let status = member.child.wait(READY_TIMEOUT).await?;
    if !status.success() {
        bail!(
            "the process exited with {status} after SIGTERM: {}",
            member.child.log()
        );
    }
    Ok(())
}
