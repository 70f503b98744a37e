//! Deployments that traces are generated for.

use std::fmt;

use ebony_types::name::NameError;
use ebony_types::{CallerName, DomainName, ModelName, ServiceName};

use crate::format::{EngineProfile, ModelShare};

/// Relative numbers of programs per caller. A few callers send most programs, which is an assumption.
pub(super) const CALLER_WEIGHTS: &[u32] = &[30, 20, 15, 11, 9, 7, 5, 3];

/// The engines of the design page, scaled down as the documentation of [`crate::generate`] describes.
const ENGINE: EngineProfile = EngineProfile {
    engines: 10,
    batch_slots: 4,
    prefill_tokens_per_second: 8_000,
    token_interval_us: 30_000,
    cache_tokens: 64_000,
};

/// The result of parsing names.
type Result<T, E = NameError> = std::result::Result<T, E>;

/// A deployment of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeploymentKind {
    /// Three failure domains in viti-west; weighs wasted cache more.
    Calabash,
    /// Two failure domains at catania and one at palermo; weighs latency more.
    Fanghi,
}

impl DeploymentKind {
    /// Every deployment.
    pub const ALL: [Self; 2] = [Self::Calabash, Self::Fanghi];

    /// Returns the name in headers and file names.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Calabash => "calabash",
            Self::Fanghi => "fanghi",
        }
    }

    /// Returns the weight of latency against wasted cache, in percent, as on the design page: 100 considers only
    /// latency, 0 only wasted cache.
    pub fn latency_weight_percent(self) -> u32 {
        match self {
            Self::Calabash => 30,
            Self::Fanghi => 80,
        }
    }

    pub(super) fn engine(self) -> EngineProfile {
        ENGINE
    }

    /// Returns the larger and the smaller model, with the numbers of engines that have them loaded at the start.
    pub(super) fn models(self) -> Result<Vec<ModelShare>> {
        let names = match self {
            Self::Calabash => ["kalo-large", "kalo-small"],
            Self::Fanghi => ["modello-grande", "modello-piccolo"],
        };
        let share = |(name, engines)| {
            let model = ModelName::parse(name)?;
            Ok(ModelShare { model, engines })
        };
        names.into_iter().zip([6, 4]).map(share).collect()
    }

    pub(super) fn service(self) -> Result<ServiceName> {
        ServiceName::parse(match self {
            Self::Calabash => "workshop-app",
            Self::Fanghi => "cantiere-app",
        })
    }

    pub(super) fn domains(self) -> Result<Vec<DomainName>> {
        let names = match self {
            Self::Calabash => ["viti-west-1", "viti-west-2", "viti-west-3"],
            Self::Fanghi => ["catania-1", "catania-2", "palermo-1"],
        };
        names.into_iter().map(DomainName::parse).collect()
    }

    pub(super) fn callers(self) -> Result<Vec<CallerName>> {
        let numbers = 1..=CALLER_WEIGHTS.len();
        numbers
            .map(|number| CallerName::parse(&format!("{self}-caller-{number}")))
            .collect()
    }
}

impl fmt::Display for DeploymentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
