//! The HTTP API for operators.
//!
//! | endpoint | notes |
//! | --- | --- |
//! | `GET /v1/config` | the document in force; `?version=` for an older one |
//! | `PUT /v1/config` | a new document, with the expected version |
//! | `PATCH /v1/config` | a change, with the expected version |
//! | `POST /v1/config/revert` | restores an older version |
//! | `GET /v1/config/history` | changes, newest first; `?newest=` and `?limit=` |
//! | `GET /v1/config/status` | the version in force in each process |
//! | `GET /v1/config/watch` | the status and its changes as server-sent events |
//! | `GET /v1/targets`, `POST /v1/targets/{name}/drain` | lists and drains targets |
//! | `GET /v1/programs/{id}`, `DELETE /v1/programs/{id}` | shows or cancels any caller's program |
//! | `GET /v1/burn/snapshot`, `GET /v1/burn/report` | service-level objective measurements of this entry |
//!
//! Operators authenticate with bearer keys whose digests are in the configuration. While no configuration is in force,
//! the settings' `first_operator` may read and write the configuration. Errors are `application/problem+json`. The
//! code `version_conflict` comes with a member `winner`, which has the version that was accepted first.

mod auth;
mod burn;
mod config;
mod error;
mod programs;
mod server;
mod state;
mod targets;
mod watch;

pub use server::{AdminOptions, AdminServer};
pub use state::AdminState;
