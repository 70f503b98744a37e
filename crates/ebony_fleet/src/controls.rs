//! Access to the stand-ins and addresses of a fleet.

use std::net::SocketAddr;

use ebony_standins::engine::EngineControl;
use ebony_standins::hosts::HostsControl;
use ebony_standins::objects::ObjectsControl;
use ebony_standins::service::ServiceControl;
use ebony_standins::table::TableControl;

use crate::fleet::{Result, RunningFleet};

impl RunningFleet {
    /// Returns the control of the table service.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn table(&self) -> Result<TableControl> {
        Ok(TableControl::open(self.standin("table")?.control))
    }

    /// Returns the control of the object store.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn objects(&self) -> Result<ObjectsControl> {
        Ok(ObjectsControl::open(self.standin("objects")?.control))
    }

    /// Returns the control of the host list.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn hosts(&self) -> Result<HostsControl> {
        Ok(HostsControl::open(self.standin("hosts")?.control))
    }

    /// Returns the control of an engine.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn engine(&self, index: usize) -> Result<EngineControl> {
        Ok(EngineControl::open(
            self.standin(&format!("engine-{index}"))?.control,
        ))
    }

    /// Returns the control of a plain service.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn service(&self, index: usize) -> Result<ServiceControl> {
        Ok(ServiceControl::open(
            self.standin(&format!("service-{index}"))?.control,
        ))
    }

    /// Returns the address of a stand-in's control port.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn control_address(&self, name: &str) -> Result<SocketAddr> {
        Ok(self.standin(name)?.control)
    }

    /// Returns the base URLs at which entries accept calls.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no address.
    pub fn entry_urls(&self) -> Result<Vec<String>> {
        let addresses = self.entries.iter().map(|entry| entry.child.address("callers"));
        addresses
            .map(|address| Ok(format!("http://{}", address?)))
            .collect()
    }

    /// Returns the address of a stand-in's data port, for calls that bypass the scheduler.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn direct_address(&self, name: &str) -> Result<SocketAddr> {
        Ok(self.standin(name)?.data)
    }
}
