//! The HTTP interface for callers.

mod answer;
mod auth;
mod body;
mod chat;
mod models;
mod problem;
mod program;
mod server;
mod service;
mod start;
mod state;

pub use chat::parse_chat;
pub use problem::problem_response;
pub use server::{CallerServer, ServerOptions};
pub use state::{CallerMetrics, CallerState};
