//! The targets that the process serves.

mod state;

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use ebony_platform::{EngineTarget, HttpEngine, HttpService, RequestLimits, ServiceTarget};
use ebony_settings::TargetSettings;
use ebony_wire::{TargetKind, TargetReport};

pub(crate) use self::state::{EngineJob, EngineState, RunningCall, TargetState, WaitingCall, prompt_tokens};

/// The result of opening a target.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The client of a target, by its kind.
#[derive(Clone)]
pub enum TargetAdapter {
    /// A model engine.
    Engine(Rc<dyn EngineTarget>),
    /// A plain service.
    Service(Rc<dyn ServiceTarget>),
}

/// A target and its adapter.
#[derive(Clone)]
pub struct OpenTarget {
    /// The description that is sent to entries.
    pub report: TargetReport,
    /// The client that sends calls to the target.
    pub adapter: TargetAdapter,
    /// Its HTTP address.
    pub address: SocketAddr,
}

impl OpenTarget {
    /// Opens a target from its settings.
    ///
    /// # Errors
    ///
    /// Fails if the adapter can't be built.
    pub fn open(settings: &TargetSettings) -> Result<Self> {
        let url = format!("http://{}", settings.address);
        let limits = RequestLimits::for_targets();
        let context = || format!("cannot create the HTTP client of target {}", settings.name);
        let adapter = match &settings.kind {
            TargetKind::Engine { .. } => {
                TargetAdapter::Engine(Rc::new(HttpEngine::open(&url, limits).with_context(context)?))
            }
            TargetKind::Service { .. } => {
                TargetAdapter::Service(Rc::new(HttpService::open(&url, limits).with_context(context)?))
            }
        };
        let report = TargetReport {
            target: settings.name.clone(),
            kind: settings.kind.clone(),
            slots: settings.slots,
            checks_fencing: settings.checks_fencing,
        };
        Ok(Self {
            report,
            adapter,
            address: settings.address,
        })
    }
}
