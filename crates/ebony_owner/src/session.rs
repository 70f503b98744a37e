//! Assignment of shards to live sessions.

use std::collections::BTreeSet;

use ebony_types::{DomainName, SessionId, ShardKey};
use sha2::{Digest, Sha256};

/// A session that membership considers live. The list is only a hint: it decides when a takeover is tried, and
/// sealing the former owner's journal makes the takeover safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveSession {
    /// The session.
    pub session: SessionId,
    /// The failure domain of its host.
    pub domain: DomainName,
    /// Whether its process is shutting down. The session keeps its shards until it has released them, and gets no new
    /// ones.
    pub is_draining: bool,
    /// The shards that it reports to serve.
    pub shards: Vec<ShardKey>,
}

fn weight(shard: ShardKey, kind: &str, name: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(format!("{kind}\0{shard}\0{name}")).into();
    digest
        .iter()
        .take(8)
        .fold(0, |weight, &byte| (weight << 8) | u64::from(byte))
}

/// Returns the session that should own a shard, by rendezvous hashing first over failure domains and then over the
/// sessions within the domain, so that shards spread evenly over failure domains of any size.
///
/// When a session joins or leaves, only the shards that it gains or loses move.
///
/// ```
/// use ebony_owner::session::{LiveSession, preferred_session};
/// use ebony_types::{DomainName, SessionId, ShardKey};
///
/// let live = |number, domain| LiveSession {
///     session: SessionId::from_bytes([number; 16]),
///     domain: DomainName::parse(domain).expect("a valid name"),
///     is_draining: false,
///     shards: Vec::new(),
/// };
/// let sessions = [live(1, "viti-a"), live(2, "viti-b")];
/// assert!(preferred_session(ShardKey(3), &sessions).is_some());
/// assert_eq!(preferred_session(ShardKey(3), &[]), None);
/// ```
pub fn preferred_session(shard: ShardKey, sessions: &[LiveSession]) -> Option<SessionId> {
    let staying: Vec<&LiveSession> = sessions.iter().filter(|session| !session.is_draining).collect();
    let domains: BTreeSet<&DomainName> = staying.iter().map(|session| &session.domain).collect();
    let domain = domains
        .into_iter()
        .max_by_key(|domain| weight(shard, "domain", domain.as_str()))?;
    staying
        .into_iter()
        .filter(|session| &session.domain == domain)
        .map(|session| session.session)
        .max_by_key(|session| weight(shard, "session", &session.to_string()))
}
