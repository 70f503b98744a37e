//! Requests under which targets ended.
//!
//! [`mark`] recognizes a request that a caller sends again, and [`inquest`] tells a target that ended from a connection that
//! broke.

pub(crate) mod inquest;
pub(crate) mod mark;

pub(crate) use inquest::TargetInquests;
pub(crate) use mark::RequestMark;
