//! State shared by the HTTP handlers.

use std::sync::Arc;

use actix::Addr;
use actix_web::web::Data;
use ebony_config::KeyDigest;
use tokio::sync::Semaphore;

use crate::burn::BurnCounters;
use crate::caller_api::CallerState;
use crate::config::{ConfigActor, ConfigView};
use crate::dispatch::DispatchActor;

/// The maximum number of concurrently open live views.
const MAX_WATCHERS: usize = 16;

/// State shared by the HTTP handlers.
pub struct AdminState {
    /// The configuration in force.
    pub view: ConfigView,
    /// Changes the configuration and reports its status.
    pub config: Addr<ConfigActor>,
    /// Runs operations at the owners of programs.
    pub callers: Data<CallerState>,
    /// Service-level objectives.
    pub burn: BurnCounters,
    /// Lists and drains targets.
    pub targets: Addr<DispatchActor>,
    /// The digest of the key that may write the first configuration.
    pub first_operator: Option<KeyDigest>,
    /// Permits for live views.
    pub(super) watchers: Arc<Semaphore>,
}

impl AdminState {
    /// Creates the state.
    pub fn new(
        view: ConfigView,
        config: Addr<ConfigActor>,
        callers: Data<CallerState>,
        burn: BurnCounters,
        targets: Addr<DispatchActor>,
        first_operator: Option<KeyDigest>,
    ) -> Self {
        Self {
            view,
            config,
            callers,
            burn,
            targets,
            first_operator,
            watchers: Arc::new(Semaphore::new(MAX_WATCHERS)),
        }
    }
}
