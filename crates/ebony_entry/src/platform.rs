//! Opens the platform's services from the settings.

use std::rc::Rc;

use anyhow::Context;
use ebony_platform::{HostList, HttpHosts, HttpObjects, HttpTable, ObjectStore, RequestLimits, TableService};
use ebony_settings::PlatformSettings;

/// The result of opening the platform's services.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The platform's services.
#[derive(Clone)]
pub(crate) struct PlatformAccess {
    pub(crate) table: Rc<dyn TableService>,
    pub(crate) objects: Rc<dyn ObjectStore>,
    pub(crate) hosts: Rc<dyn HostList>,
}

impl PlatformAccess {
    /// Opens clients of the services.
    pub(crate) fn open(settings: &PlatformSettings) -> Result<Self> {
        let limits = |timeout| RequestLimits::for_platform().with_answer_timeout(timeout);
        let table = HttpTable::open(&settings.table.url.to_string(), limits(settings.table.timeout));
        let objects = HttpObjects::open(
            &settings.objects.url.to_string(),
            limits(settings.objects.timeout),
        );
        let hosts = HttpHosts::open(&settings.hosts.url.to_string(), limits(settings.hosts.timeout));
        Ok(Self {
            table: Rc::new(table.context("cannot open the table service")?),
            objects: Rc::new(objects.context("cannot open the object store")?),
            hosts: Rc::new(hosts.context("cannot open the host list")?),
        })
    }
}
