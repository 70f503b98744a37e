//! Client methods and routes for the inspection of an engine.

use actix_web::{HttpResponse, web};
use ebony_types::CallId;
use serde::Deserialize;

use super::EngineKind;
use super::seen::{RunCounts, SeenOrder, SeenRun};
use super::state::EngineState;
use crate::control_client::{Result, StandinControl};

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct RunsQuery {
    #[serde(default)]
    min: u32,
}

/// Controls an engine.
pub type EngineControl = StandinControl<EngineKind>;

impl StandinControl<EngineKind> {
    /// Returns the run counts that are at least `min`.
    ///
    /// # Errors
    ///
    /// Fails if the engine's control port does not answer.
    pub async fn run_counts(&self, min: u32) -> Result<RunCounts> {
        self.get(&format!("/_seen/runs?min={min}")).await
    }

    /// Returns how often a call ran.
    ///
    /// # Errors
    ///
    /// Fails if the engine's control port does not answer.
    pub async fn runs_of(&self, call: CallId) -> Result<u32> {
        let counts = self.run_counts(1).await?;
        Ok(counts.calls.get(&call.to_string()).copied().unwrap_or(0))
    }

    /// Returns the most recent runs, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the engine's control port does not answer.
    pub async fn recent_runs(&self) -> Result<Vec<SeenRun>> {
        self.get("/_seen/calls").await
    }

    /// Returns the most recent orders, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the engine's control port does not answer.
    pub async fn recent_orders(&self) -> Result<Vec<SeenOrder>> {
        self.get("/_seen/orders").await
    }
}

pub(crate) fn control_routes(config: &mut web::ServiceConfig) {
    config
        .route("/_seen/runs", web::get().to(run_counts))
        .route("/_seen/calls", web::get().to(recent_runs))
        .route("/_seen/orders", web::get().to(recent_orders));
}

async fn run_counts(state: web::Data<EngineState>, query: web::Query<RunsQuery>) -> HttpResponse {
    HttpResponse::Ok().json(state.log.borrow().run_counts(query.min))
}

async fn recent_runs(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.log.borrow().runs())
}

async fn recent_orders(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.log.borrow().orders())
}
