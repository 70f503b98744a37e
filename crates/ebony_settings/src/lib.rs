//! The settings of one process, written in JSON with comments.
//!
//! A process reads one file when it starts. [`ProcessSettings::open`] checks the file as a whole and reports all its
//! errors at once, each with its line and column, what was expected, and a close match for a misspelled key.
//! `docs/settings.md` lists every key.
//!
//! The file is parsed to a syntax tree with positions, checked against the tables in [`schema`], and then decoded into
//! the types of [`settings`]. Values that can change while a process runs are
//! in the configuration document instead.

pub mod base_url;
pub mod entry_settings;
pub mod gateway_settings;
pub mod issue;
pub mod key_source;
mod open;
pub mod position;
mod reader;
mod rules;
pub mod schema;
pub mod settings;
pub mod side_settings;
pub mod unit;

/// Re-exports the types of the settings and of error reports.
pub mod prelude {
    pub use crate::base_url::{BaseUrl, UrlError};
    pub use crate::entry_settings::{CallerSettings, CallerTls, EntrySettings, OwnershipSettings};
    pub use crate::gateway_settings::{
        CallerPort, GatewayMetricsPort, GatewayPolicy, GatewaySettings, ListenSettings, StoreSettings,
        TargetLimits,
    };
    pub use crate::issue::{IssueKind, SettingsIssue, SettingsReport};
    pub use crate::key_source::{KeyError, KeySource};
    pub use crate::open::is_gateway_file;
    pub use crate::position::TextPosition;
    pub use crate::schema::{KeyReference, settings_reference};
    pub use crate::settings::{
        AdministrationSettings, HostsAddress, LimitSettings, LinkSettings, LinkTls, LogFormat, LogLevel,
        LogSettings, MetricsSettings, PlatformSettings, ProcessRole, ProcessSettings, RoleSettings,
        ServiceAddress,
    };
    pub use crate::side_settings::{LedgerSettings, SideSettings, TargetSettings};
    pub use crate::unit::{UnitError, parse_duration, parse_size};
}

pub use prelude::*;
