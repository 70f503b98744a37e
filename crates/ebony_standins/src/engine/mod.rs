//! Stand-in for a model engine.
//!
//! It serves OpenAI-compatible chat completions, as one JSON body or as server-sent events. It simulates continuous
//! batching, a bounded prefix cache, priorities, resumable and cancellable streams, orders with fencing tokens, and
//! crashes.

mod answer;
mod cache;
mod control;
mod echo;
mod models;
mod notices;
mod record;
mod routes;
mod run;
mod seen;
mod settings;
mod slots;
mod state;

pub(crate) use answer::STREAM_END;
pub use answer::answer_text;
pub use cache::CacheCounters;
pub use control::EngineControl;
pub use echo::{ChatMessage, ChatRequest, DEFAULT_ANSWER_WORDS, EchoAnswer, EchoError};
pub use seen::{EngineCounts, EngineStats, RunCounts, SeenOrder, SeenRun};
pub use settings::{EngineOptions, EngineSettings};

use actix_web::web;

use crate::server::control::{HttpKind, StandinKind};
use crate::server::{BoundStandin, Result, StandinHandle};
use state::EngineState;

/// Marker type of the engine.
pub enum EngineKind {}

impl StandinKind for EngineKind {
    type Settings = EngineSettings;
    type Stats = EngineStats;
}

impl HttpKind for EngineKind {}

/// Starts an engine in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: EngineOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, routes::has_effect).await?;
    let state = web::Data::new(EngineState::open(options, bound.faults.clone()));
    bound
        .serve(state, routes::data_routes, control::control_routes)
        .await
}
