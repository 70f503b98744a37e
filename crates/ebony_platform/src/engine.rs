//! Model engines.

use async_trait::async_trait;
use bytes::Bytes;
use ebony_types::{CallId, FencingToken, ModelName, ProgramId};
use serde::{Deserialize, Serialize};

pub use crate::error::Result;
use crate::service::ServiceAnswer;

/// The answer of an engine. Its body is the chat completion, either whole or as a stream of events.
pub type EngineAnswer = ServiceAnswer;

/// A chat completion for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// Identifies the call to the engine when it is resumed or cancelled.
    pub call: CallId,
    /// The program under which the engine caches prefixes.
    pub program: ProgramId,
    /// The priority; lower values run first.
    pub priority: u32,
    /// The JSON body of the request.
    pub body: Bytes,
}

/// A load report of an engine. It may be out of date when it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls that wait within the engine.
    pub waiting: u32,
    /// Bytes of KV cache in use.
    pub kv_bytes_held: u64,
    /// Capacity of the KV cache in bytes.
    pub kv_bytes_total: u64,
    /// Loaded models.
    pub models: Vec<ModelName>,
}

/// Notice of a change in an engine's prefix cache. Notices arrive late, and some are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheNotice {
    /// The sequence number of the notice; a gap means that notices were lost.
    pub sequence: u64,
    /// The program.
    pub program: ProgramId,
    /// Number of tokens of the program's prefix that are cached after the change.
    pub held_tokens: u64,
}

/// KV cache that an engine holds for a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldProgram {
    /// The program.
    pub program: ProgramId,
    /// Bytes of KV cache held.
    pub bytes: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a model.
    Load(ModelName),
    /// Unloads a model.
    Unload(ModelName),
    /// Releases the KV cache of a program.
    Release(ProgramId),
    /// Pins the KV cache of a program against eviction.
    Pin(ProgramId),
    /// Ends the pin of a program's KV cache.
    Unpin(ProgramId),
}

/// A model engine.
#[async_trait(?Send)]
pub trait EngineTarget {
    /// Runs a chat completion. Dropping the answer's body does not end the call; [`EngineTarget::cancel`] does.
    async fn complete(&self, call: EngineCall) -> Result<EngineAnswer>;

    /// Continues the answer of a call from a byte offset. Also works after the answer ended, as long as the engine
    /// keeps it.
    async fn resume(&self, call: CallId, offset: u64) -> Result<EngineAnswer>;

    /// Cancels a call.
    async fn cancel(&self, call: CallId) -> Result<()>;

    /// Fetches the load report.
    async fn load(&self) -> Result<EngineLoad>;

    /// Fetches the cache notices with a sequence number above `after`.
    async fn cache_notices(&self, after: u64) -> Result<Vec<CacheNotice>>;

    /// Fetches the programs that the engine holds KV cache for.
    async fn held(&self) -> Result<Vec<HeldProgram>>;

    /// Sends an order with the sender's fencing token.
    async fn order(&self, order: EngineOrder, token: FencingToken) -> Result<()>;

    /// Exports the KV cache of a program.
    async fn export_kv(&self, program: ProgramId) -> Result<Bytes>;

    /// Imports the KV cache of a program.
    async fn import_kv(&self, program: ProgramId, bytes: Bytes) -> Result<()>;
}
