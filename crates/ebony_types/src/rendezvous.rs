//! Rendezvous hashing. Every chooser ranks all candidates by a hash of its own name and the candidate's, so that adding
//! or removing a candidate affects only the choosers that select it.

use sha2::{Digest, Sha256};

/// Returns the weight of a candidate for a chooser. The highest weight wins.
///
/// ```
/// use ebony_types::rendezvous::rendezvous_weight;
///
/// assert_eq!(rendezvous_weight("entry-1", "host-1"), rendezvous_weight("entry-1", "host-1"));
/// assert_ne!(rendezvous_weight("entry-1", "host-1"), rendezvous_weight("entry-2", "host-1"));
/// ```
pub fn rendezvous_weight(chooser: &str, candidate: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(chooser);
    hasher.update([0]);
    hasher.update(candidate);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
