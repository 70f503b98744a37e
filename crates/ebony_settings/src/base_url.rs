//! Base URLs of the platform's services.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Why a text is not a valid base URL. The messages describe what is expected instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum UrlError {
    /// The text does not start with `http://` or `https://`.
    #[error("a URL that starts with http:// or https://")]
    Scheme,
    /// The authority is not an IP number and a port.
    #[error("an IP number and a port in place of a host name")]
    Authority,
    /// The authority is a wildcard or has port 0, to which nothing can connect.
    #[error("an IP number and a port that can be connected to")]
    Unreachable,
    /// The path has a query, a fragment, a trailing slash or characters outside visible ASCII.
    #[error("a plain path without a query, a fragment or a trailing slash")]
    Path,
}

/// The result of checking a base URL.
pub type Result<T, E = UrlError> = std::result::Result<T, E>;

/// The base URL of a service of the platform: scheme, IP number, port and an optional path prefix.
///
/// Host names are refused, because name resolution would add another service that can fail.
///
/// ```
/// use ebony_settings::{BaseUrl, UrlError};
///
/// let url = BaseUrl::parse("http://127.0.0.1:7300/table").expect("the URL has an IP number and a port");
/// assert_eq!(url.join("rows/config"), "http://127.0.0.1:7300/table/rows/config");
/// assert_eq!(url.address().port(), 7300);
/// assert_eq!(BaseUrl::parse("http://tables.example:80"), Err(UrlError::Authority));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BaseUrl {
    text: String,
    address: SocketAddr,
}

impl BaseUrl {
    /// Checks and wraps a URL.
    ///
    /// # Errors
    ///
    /// Returns [`UrlError`] for the first part that is not valid.
    pub fn parse(text: &str) -> Result<Self> {
        let rest = text
            .strip_prefix("http://")
            .or_else(|| text.strip_prefix("https://"))
            .ok_or(UrlError::Scheme)?;
        let (authority, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let address: SocketAddr = authority.parse().map_err(|_| UrlError::Authority)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err(UrlError::Unreachable);
        }
        let is_plain = path
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
        if !is_plain || path.ends_with('/') {
            return Err(UrlError::Path);
        }
        Ok(Self {
            text: text.to_owned(),
            address,
        })
    }

    /// Returns the URL as text, without a trailing slash.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the IP number and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns `true` if connections use TLS.
    pub fn is_tls(&self) -> bool {
        self.text.starts_with("https://")
    }

    /// Appends a path to the base URL. The path has no leading slash.
    pub fn join(&self, path: &str) -> String {
        format!("{}/{path}", self.text)
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = UrlError;

    fn try_from(text: String) -> Result<Self> {
        Self::parse(&text)
    }
}

impl From<BaseUrl> for String {
    fn from(url: BaseUrl) -> Self {
        url.text
    }
}
