//! The HTTP API for callers.

mod answer;
mod auth;
mod body;
mod chat;
mod models;
mod problem;
mod program;
mod routing;
mod server;
mod service;
mod start;
mod state;

pub(crate) use auth::bearer_digest;
pub(crate) use body::read_body;
pub(crate) use chat::BODY_TIMEOUT;
pub use chat::parse_chat;
pub use problem::problem_response;
pub(crate) use program::{operate, view_json};
pub use server::{CallerServer, ServerOptions};
pub use state::{CallerMetrics, CallerState};
