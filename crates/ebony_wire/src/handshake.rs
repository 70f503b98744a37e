//! The handshake that opens a link, in which both ends prove that they have the cluster key.
//!
//! The dialing end sends [`HandshakeFrame::Hello`], the listening end answers with [`HandshakeFrame::Challenge`], and
//! the dialing end closes with [`HandshakeFrame::Proof`]. Each proof is an HMAC-SHA-256 over both nonces and both
//! identities, so that neither a recorded handshake nor the other end's own proof can be replayed.

use std::marker::PhantomData;

use ebony_types::ProcessIncarnation;
use hmac::{Hmac, Mac};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of a nonce and of a proof.
const PROOF_BYTES: usize = 32;

/// The shortest cluster key in bytes.
pub const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// An error of the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HandshakeError {
    /// The peer does not have the cluster key.
    #[error("the peer's proof does not match the cluster key")]
    BadProof,
    /// The message does not belong to the current step of the handshake.
    #[error("unexpected message during the handshake")]
    UnexpectedMessage,
    /// The cluster key is too short.
    #[error("the cluster key has fewer than {MIN_CLUSTER_KEY_BYTES} bytes")]
    ShortKey,
}

/// The result of a step of the handshake.
pub type Result<T, E = HandshakeError> = std::result::Result<T, E>;

/// The secret that all processes of a deployment share.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// Checks and wraps a key.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError::ShortKey`] below [`MIN_CLUSTER_KEY_BYTES`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        if bytes.len() < MIN_CLUSTER_KEY_BYTES {
            return Err(HandshakeError::ShortKey);
        }
        Ok(Self(bytes.to_vec()))
    }

    fn mac(&self, label: &str, transcript: &[u8]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(label.as_bytes());
        mac.update(transcript);
        mac
    }

    fn prove(&self, label: &str, transcript: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(label, transcript).finalize().into_bytes().into()
    }

    fn verify(&self, label: &str, transcript: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<()> {
        self.mac(label, transcript)
            .verify_slice(proof)
            .map_err(|_| HandshakeError::BadProof)
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// The role of a process on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LinkRole {
    /// An entry process.
    Entry,
    /// A side process.
    Side,
}

/// The identity that a process presents when a link opens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The process's name from its settings.
    pub process: String,
    /// The process's role.
    pub role: LinkRole,
    /// The process's incarnation.
    pub incarnation: ProcessIncarnation,
}

/// A message of the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandshakeFrame {
    /// Opens the handshake.
    Hello {
        /// The dialing end.
        identity: PeerIdentity,
        /// The dialing end's nonce.
        nonce: [u8; 32],
    },
    /// Answers the hello and proves that the listening end has the cluster key.
    Challenge {
        /// The listening end.
        identity: PeerIdentity,
        /// The listening end's nonce.
        nonce: [u8; 32],
        /// The listening end's proof.
        proof: [u8; 32],
    },
    /// Proves that the dialing end has the cluster key.
    Proof {
        /// The dialing end's proof.
        proof: [u8; 32],
    },
}

/// Type state of the dialing end after it has sent its hello.
#[derive(Debug)]
pub struct DialingEnd;

/// Type state of the listening end after it has sent its challenge.
#[derive(Debug)]
pub struct ListeningEnd;

/// A handshake in progress, as seen by one end.
///
/// ```
/// use ebony_types::ProcessIncarnation;
/// use ebony_wire::{ClusterKey, HandshakeState, LinkRole, PeerIdentity};
/// use rand::SeedableRng;
///
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let key = ClusterKey::from_bytes(b"0123456789abcdef")?;
/// let identity = |process: &str| PeerIdentity {
///     process: process.to_owned(),
///     role: LinkRole::Entry,
///     incarnation: ProcessIncarnation::from_bytes([0; 16]),
/// };
/// let (dialing, hello) = HandshakeState::dial(key.clone(), identity("a"), &mut rng);
/// let (listening, challenge) = HandshakeState::answer(key, identity("b"), hello, &mut rng)?;
/// let (peer, proof) = dialing.finish(challenge)?;
/// assert_eq!(peer.process, "b");
/// assert_eq!(listening.finish(proof)?.process, "a");
/// # Ok::<(), ebony_wire::handshake::HandshakeError>(())
/// ```
#[derive(Debug)]
pub struct HandshakeState<End> {
    key: ClusterKey,
    local: PeerIdentity,
    peer: Option<PeerIdentity>,
    dialing_nonce: [u8; 32],
    listening_nonce: [u8; 32],
    end: PhantomData<End>,
}

impl<End> HandshakeState<End> {
    fn transcript(&self, dialing: &PeerIdentity, listening: &PeerIdentity) -> Vec<u8> {
        let mut bytes = Vec::new();
        let parts = (&self.dialing_nonce, &self.listening_nonce, dialing, listening);
        ciborium::into_writer(&parts, &mut bytes).expect("writing to a vector does not fail");
        bytes
    }
}

fn random_nonce(rng: &mut impl RngCore) -> [u8; 32] {
    let mut nonce = [0; 32];
    rng.fill_bytes(&mut nonce);
    nonce
}

impl HandshakeState<DialingEnd> {
    /// Starts the handshake and returns the hello to send.
    pub fn dial(
        key: ClusterKey,
        local: PeerIdentity,
        rng: &mut impl RngCore,
    ) -> (HandshakeState<DialingEnd>, HandshakeFrame) {
        let nonce = random_nonce(rng);
        let hello = HandshakeFrame::Hello {
            identity: local.clone(),
            nonce,
        };
        let state = HandshakeState {
            key,
            local,
            peer: None,
            dialing_nonce: nonce,
            listening_nonce: [0; 32],
            end: PhantomData,
        };
        (state, hello)
    }

    /// Checks the challenge; returns the peer and the proof to send.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError`] if the frame is not a challenge or its proof does not match.
    pub fn finish(mut self, challenge: HandshakeFrame) -> Result<(PeerIdentity, HandshakeFrame)> {
        let HandshakeFrame::Challenge {
            identity,
            nonce,
            proof,
        } = challenge
        else {
            return Err(HandshakeError::UnexpectedMessage);
        };
        self.listening_nonce = nonce;
        let transcript = self.transcript(&self.local, &identity);
        self.key.verify("listening", &transcript, &proof)?;
        let proof = self.key.prove("dialing", &transcript);
        Ok((identity, HandshakeFrame::Proof { proof }))
    }
}

impl HandshakeState<ListeningEnd> {
    /// Answers a hello and returns the challenge to send.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError::UnexpectedMessage`] if the frame is not a hello.
    pub fn answer(
        key: ClusterKey,
        local: PeerIdentity,
        hello: HandshakeFrame,
        rng: &mut impl RngCore,
    ) -> Result<(HandshakeState<ListeningEnd>, HandshakeFrame)> {
        let HandshakeFrame::Hello { identity, nonce } = hello else {
            return Err(HandshakeError::UnexpectedMessage);
        };
        let state = HandshakeState {
            key,
            local,
            peer: Some(identity.clone()),
            dialing_nonce: nonce,
            listening_nonce: random_nonce(rng),
            end: PhantomData,
        };
        let transcript = state.transcript(&identity, &state.local);
        let challenge = HandshakeFrame::Challenge {
            identity: state.local.clone(),
            nonce: state.listening_nonce,
            proof: state.key.prove("listening", &transcript),
        };
        Ok((state, challenge))
    }

    /// Checks the proof and returns the peer.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError`] if the frame is not a proof or does not match.
    pub fn finish(self, proof: HandshakeFrame) -> Result<PeerIdentity> {
        let HandshakeFrame::Proof { proof } = proof else {
            return Err(HandshakeError::UnexpectedMessage);
        };
        let peer = self.peer.clone().ok_or(HandshakeError::UnexpectedMessage)?;
        let transcript = self.transcript(&peer, &self.local);
        self.key.verify("dialing", &transcript, &proof)?;
        Ok(peer)
    }
}
