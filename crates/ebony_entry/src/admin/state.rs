//! What the handlers share.

use std::sync::Arc;

use actix::Addr;
use actix_web::web::Data;
use ebony_config::KeyDigest;
use tokio::sync::Semaphore;

use crate::burn::BurnCell;
use crate::caller_api::CallerState;
use crate::config::{ConfigActor, ConfigView};
use crate::dispatch::DispatchActor;

/// Live views that may be open at once.
const MAX_WATCHERS: usize = 16;

/// What the handlers share.
pub struct AdminState {
    /// The configuration in force.
    pub view: ConfigView,
    /// Changes the configuration and knows its status.
    pub config: Addr<ConfigActor>,
    /// Reaches the owners of programs.
    pub callers: Data<CallerState>,
    /// Service-level objectives.
    pub burn: BurnCell,
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
        burn: BurnCell,
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
