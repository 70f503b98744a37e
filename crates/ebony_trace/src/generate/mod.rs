//! Seeded trace generator.
//!
//! All draws use integer arithmetic on a `ChaCha8` stream, so that a seed gives the same trace on every machine.
//! Distributions are tables of quantiles ([`QuantileTable`]), and uniform between two entries.
//!
//! # Sources of the figures
//!
//! - The median length of a final answer, 129 tokens, is that of the conversation workload in "Splitwise: Efficient
//!   Generative LLM Inference Using Phase Splitting" by Patel, Choukse, Zhang, Shah, Goiri, Maleki and Bianchini
//!   (2024).
//! - Names, numbers of engines and targets, failure domains, the weight between latency and wasted cache, and the limit
//!   of 84 turns are those of the design page.
//! - Everything else is an assumption: the other quantiles of tokens, turns and pauses, the daily load curve, the
//!   shares of callers, models and tools, and the engine profile. The profile is scaled down from accelerators so
//!   that a test machine can replay it: 4 batch slots and a cache of 64,000 tokens per engine. Histories are scaled with
//!   the cache: the longest session of 84 turns has about a tenth of the 540,000 tokens of the design scale.
//! - Stated outcomes are goals, not measurements. See [`TraceScenario`].

mod arrival;
mod deployment;
mod generator;
mod outcomes;
mod program_sampler;
mod quantile;
mod scenario;
mod shape;

pub use arrival::RateCurve;
pub use deployment::DeploymentKind;
pub use generator::TraceGenerator;
pub use quantile::QuantileTable;
pub use scenario::TraceScenario;
