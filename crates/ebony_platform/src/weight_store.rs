//! The rate-limited store of model weights.

use async_trait::async_trait;
use ebony_types::ModelName;

pub use crate::error::Result;

/// The weight store. It hands out a limited number of transfers at a time.
#[async_trait(?Send)]
pub trait WeightStore {
    /// Asks to transfer a model's weights. A refusal means that the rate is used up.
    async fn begin_transfer(&self, model: &ModelName) -> Result<()>;
}
