//! Client methods and routes for the inspection of a plain service.

use actix_web::{HttpResponse, web};
use serde::Deserialize;

use super::{ServiceKind, ServiceRuns, ServiceState};
use crate::control_client::{Result, StandinControl};

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct RunsQuery {
    #[serde(default)]
    min: u32,
}

/// Controls a service.
pub type ServiceControl = StandinControl<ServiceKind>;

impl StandinControl<ServiceKind> {
    /// Returns the run counts that are at least `min`.
    ///
    /// # Errors
    ///
    /// Fails if the service's control port does not answer.
    pub async fn runs(&self, min: u32) -> Result<ServiceRuns> {
        self.get(&format!("/_seen/runs?min={min}")).await
    }

    /// Returns how often requests with the given idempotency key ran.
    ///
    /// # Errors
    ///
    /// Fails if the service's control port does not answer.
    pub async fn runs_of(&self, key: &str) -> Result<u32> {
        let runs = self.runs(1).await?;
        Ok(runs.keys.get(key).copied().unwrap_or(0))
    }
}

pub(crate) fn control_routes(config: &mut web::ServiceConfig) {
    config.route("/_seen/runs", web::get().to(runs));
}

async fn runs(state: web::Data<ServiceState>, query: web::Query<RunsQuery>) -> HttpResponse {
    let log = state.log.borrow();
    HttpResponse::Ok().json(ServiceRuns {
        keys: log.keys.at_least(query.min),
        paths: log.paths.at_least(query.min),
        requests: log.requests.at_least(query.min),
    })
}
