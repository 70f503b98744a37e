//! Requests under which targets ended.
//!
//! [`mark`] recognizes a request that a caller sends again, [`inquest`] tells a target that ended from a connection that
//! broke, [`desk`] decides which requests are refused and tells the other gateways, and [`rows`] keeps that in the store.

pub(crate) mod desk;
pub(crate) mod inquest;
pub(crate) mod mark;
pub(crate) mod rows;

pub(crate) use desk::{CrashDesk, CrashPermit, CrashSource};
pub(crate) use inquest::TargetInquests;
pub(crate) use mark::RequestMark;
