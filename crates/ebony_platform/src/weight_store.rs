//! Access to the rate-limited store of model weights.

use async_trait::async_trait;
use ebony_types::ModelName;

pub use crate::error::Result;

/// A weight store. It limits the rate of transfers.
#[async_trait(?Send)]
pub trait WeightStore {
    /// Requests the transfer of a model's weights. A refusal means that the rate limit is reached.
    async fn begin_transfer(&self, model: &ModelName) -> Result<()>;
}
