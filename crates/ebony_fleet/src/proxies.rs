//! Fault-injecting proxies for links and for connections to the platform.

use std::net::SocketAddr;

use anyhow::Context;
use ebony_platform::HostEntry;
use ebony_standins::StandinOptions;
use ebony_standins::proxy::{ProxyControl, ProxyOptions};

use crate::fleet::{MemberPlace, Result, RunningFleet};
use crate::settings::PlatformUrls;

/// The prefix of all stand-in URLs.
const SCHEME: &str = "http://";

fn link_name(process: &str) -> String {
    format!("proxy-link-{process}")
}

fn platform_names(process: &str) -> [String; 2] {
    [
        format!("proxy-table-{process}"),
        format!("proxy-objects-{process}"),
    ]
}

impl RunningFleet {
    /// Returns the platform URLs for a process. If the fleet has proxies, starts those of the process and returns their
    /// URLs.
    pub(crate) fn proxy_platform(&mut self, process: &str) -> Result<PlatformUrls> {
        let mut urls = self.urls.clone();
        if self.options.has_proxies {
            let [table, objects] = platform_names(process);
            urls.table = self.proxy_url(&table, &urls.table)?;
            urls.objects = self.proxy_url(&objects, &urls.objects)?;
        }
        Ok(urls)
    }

    fn proxy_url(&mut self, name: &str, url: &str) -> Result<String> {
        let server = url
            .strip_prefix(SCHEME)
            .context("the URL does not start with http://")?;
        let options = ProxyOptions::to(server.trim_end_matches('/').parse()?);
        Ok(self.standins.add(name, StandinOptions::Proxy(options))?.url())
    }

    /// Starts a proxy for the links to a side process if the fleet has proxies.
    pub(crate) fn proxy_link(&mut self, process: &str, address: SocketAddr) -> Result<()> {
        if self.options.has_proxies {
            let options = StandinOptions::Proxy(ProxyOptions::to(address));
            self.standins.add(&link_name(process), options)?;
        }
        Ok(())
    }

    /// Returns a host as the host list should contain it. If it has a proxy, points the proxy to the current process
    /// and returns the host with the address of the proxy.
    pub(crate) async fn published_host(&self, host: &HostEntry) -> Result<HostEntry> {
        let mut published = host.clone();
        if let Some(proxy) = self.standins.address(&link_name(host.host.as_str())) {
            let upstream = host.address;
            let control = ProxyControl::open(proxy.control);
            control.change(|settings| settings.upstream = upstream).await?;
            published.address = proxy.data;
        }
        Ok(published)
    }

    /// Returns the control of the proxy for the links to a side process.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn link_proxy(&self, side: usize) -> Result<ProxyControl> {
        let name = link_name(&self.name_of(MemberPlace::Side(side)));
        Ok(ProxyControl::open(self.standin(&name)?.control))
    }

    /// Returns the controls of the proxies between a process and the platform: table service, then object store.
    ///
    /// # Errors
    ///
    /// Fails if there are none.
    pub fn platform_proxies(&self, place: MemberPlace) -> Result<Vec<ProxyControl>> {
        let names = platform_names(&self.name_of(place));
        let controls = names.iter().map(|name| self.standin(name));
        controls
            .map(|address| Ok(ProxyControl::open(address?.control)))
            .collect()
    }
}
