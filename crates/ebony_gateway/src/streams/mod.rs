//! Resumption of streams at the software version that began them; see [`ebony_stream`].

mod lookup;
mod registry;
pub(crate) mod rows;

pub(crate) use registry::{StreamRegistry, update_listed};
