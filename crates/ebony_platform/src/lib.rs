//! Access to the platform and the targets: table service, object store, host list, model engines, plain services and
//! weight store.
//!
//! Each external system has one narrow trait with typed requests. Its error tells whether the request may have run.
//! Another protocol needs only another adapter. The traits are not `Send`: every actor runs on one thread and owns its
//! adapters.

pub mod engine;
pub mod error;
pub mod feed;
pub mod host_list;
pub mod http;
pub mod object_store;
pub mod probe;
pub mod protocol;
pub mod service;
pub mod table;
pub mod version_history;
pub mod weight_store;

/// Re-exports the traits and their messages.
pub mod prelude {
    pub use crate::engine::{
        CacheNotice, EngineAnswer, EngineCall, EngineLoad, EngineOrder, EngineTarget, HeldProgram,
    };
    pub use crate::error::PlatformError;
    pub use crate::feed::{FeedPage, FeedRow, RowFeed};
    pub use crate::host_list::{HostEntry, HostList, HostRole, HostState};
    pub use crate::http::{
        HttpEngine, HttpHosts, HttpObjects, HttpService, HttpTable, HttpWeights, RequestLimits,
    };
    pub use crate::object_store::ObjectStore;
    pub use crate::probe::{ProbeOutcome, probe};
    pub use crate::service::{ServiceAnswer, ServiceCall, ServiceTarget};
    pub use crate::table::{RowKey, RowRecord, RowVersion, TableService, WriteNonce};
    pub use crate::version_history::VersionHistory;
    pub use crate::weight_store::WeightStore;
}

pub use prelude::*;
