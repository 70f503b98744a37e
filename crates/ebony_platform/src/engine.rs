//! Model engines.

use async_trait::async_trait;
use bytes::Bytes;
use ebony_types::{CallId, FencingToken, ModelName, ProgramId};
use serde::{Deserialize, Serialize};

pub use crate::error::Result;
use crate::service::ServiceAnswer;

/// The answer of an engine; its body is that of the chat completion, plain or streaming.
pub type EngineAnswer = ServiceAnswer;

/// A chat completion for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The call; the engine resumes and cancels by it.
    pub call: CallId,
    /// The program, by which the engine names cached prefixes.
    pub program: ProgramId,
    /// Lower runs first.
    pub priority: u32,
    /// The JSON body of the request.
    pub body: Bytes,
}

/// A load report. It lags.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait within the engine.
    pub waiting: u32,
    /// Bytes of KV cache held.
    pub kv_bytes_held: u64,
    /// Bytes of KV cache that fit.
    pub kv_bytes_total: u64,
    /// Loaded models.
    pub models: Vec<ModelName>,
}

/// A change of the prefix cache. Notices arrive late, and some are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheNotice {
    /// The number of the notice; a gap means that some were lost.
    pub sequence: u64,
    /// The program.
    pub program: ProgramId,
    /// Tokens of the program's prefix that are held now.
    pub held_tokens: u64,
}

/// KV cache that an engine holds for a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldProgram {
    /// The program.
    pub program: ProgramId,
    /// Bytes held.
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

    /// Continues the answer of a call from a byte offset, also after it ended, while the engine keeps it.
    async fn resume(&self, call: CallId, offset: u64) -> Result<EngineAnswer>;

    /// Ends a call early.
    async fn cancel(&self, call: CallId) -> Result<()>;

    /// Returns the load report.
    async fn load(&self) -> Result<EngineLoad>;

    /// Returns cache notices behind the given number.
    async fn cache_notices(&self, after: u64) -> Result<Vec<CacheNotice>>;

    /// Returns the programs that the engine holds KV cache for.
    async fn held(&self) -> Result<Vec<HeldProgram>>;

    /// Gives an order.
    async fn order(&self, order: EngineOrder, token: FencingToken) -> Result<()>;

    /// Exports the KV cache of a program.
    async fn export_kv(&self, program: ProgramId) -> Result<Bytes>;

    /// Imports the KV cache of a program.
    async fn import_kv(&self, program: ProgramId, bytes: Bytes) -> Result<()>;
}
