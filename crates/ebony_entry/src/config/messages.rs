//! Messages about the configuration.

use actix::{Message, Recipient};
use ebony_wire::{ConfigPush, ConfigStatus};

use crate::dispatch::ConfigPublished;

/// Another entry has a configuration.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigOffered(pub ConfigPush);

/// Which version is in force in some processes.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct StatusHeard(pub Vec<ConfigStatus>);

/// Tells the actor who spreads configurations and their status.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LinkConfig {
    /// Receive each configuration that comes into force.
    pub publish: Vec<Recipient<ConfigPublished>>,
    /// Receives the status of this entry and its side processes.
    pub status: Recipient<StatusHeard>,
}

/// Asks which version is in force in which process, as far as this entry knows.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<ConfigStatus>")]
pub struct ReadFleetStatus;
