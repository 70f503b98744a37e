//! The handshake that opens a link: both ends prove that they hold the cluster key.
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

/// Says why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HandshakeError {
    /// The other end does not hold the cluster key.
    #[error("the peer's proof does not match the cluster key")]
    BadProof,
    /// A message came out of turn.
    #[error("unexpected message during the handshake")]
    OutOfTurn,
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

/// What a process says of itself when a link opens.
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
    /// Proves the listening end.
    Challenge {
        /// The listening end.
        identity: PeerIdentity,
        /// The listening end's nonce.
        nonce: [u8; 32],
        /// The listening end's proof.
        proof: [u8; 32],
    },
    /// Proves the dialing end.
    Proof {
        /// The dialing end's proof.
        proof: [u8; 32],
    },
}

/// Marks the dialing end, which has sent its hello.
#[derive(Debug)]
pub struct DialingEnd;

/// Marks the listening end, which has sent its challenge.
#[derive(Debug)]
pub struct ListeningEnd;

/// A handshake under way, by the end that holds it.
///
/// ```
/// use ebony_types::ProcessIncarnation;
/// use ebony_wire::{ClusterKey, HandshakeState, LinkRole, PeerIdentity};
/// use rand::SeedableRng;
///
/// let mut source = rand::rngs::StdRng::seed_from_u64(1);
/// let key = ClusterKey::from_bytes(b"0123456789abcdef")?;
/// let identity = |process: &str| PeerIdentity {
///     process: process.to_owned(),
///     role: LinkRole::Entry,
///     incarnation: ProcessIncarnation::from_bytes([0; 16]),
/// };
/// let (dialing, hello) = HandshakeState::dial(key.clone(), identity("a"), &mut source);
/// let (listening, challenge) = HandshakeState::answer(key, identity("b"), hello, &mut source)?;
/// let (peer, proof) = dialing.finish(challenge)?;
/// assert_eq!(peer.process, "b");
/// assert_eq!(listening.finish(proof)?.process, "a");
/// # Ok::<(), ebony_wire::handshake::HandshakeError>(())
/// ```
#[derive(Debug)]
pub struct HandshakeState<End> {
    key: ClusterKey,
    own: PeerIdentity,
    other: Option<PeerIdentity>,
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

fn random_nonce(source: &mut impl RngCore) -> [u8; 32] {
    let mut nonce = [0; 32];
    source.fill_bytes(&mut nonce);
    nonce
}

impl HandshakeState<DialingEnd> {
    /// Starts the handshake and returns the hello to send.
    pub fn dial(
        key: ClusterKey,
        own: PeerIdentity,
        source: &mut impl RngCore,
    ) -> (HandshakeState<DialingEnd>, HandshakeFrame) {
        let nonce = random_nonce(source);
        let hello = HandshakeFrame::Hello {
            identity: own.clone(),
            nonce,
        };
        let state = HandshakeState {
            key,
            own,
            other: None,
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
            return Err(HandshakeError::OutOfTurn);
        };
        self.listening_nonce = nonce;
        let transcript = self.transcript(&self.own, &identity);
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
    /// Returns [`HandshakeError::OutOfTurn`] if the frame is not a hello.
    pub fn answer(
        key: ClusterKey,
        own: PeerIdentity,
        hello: HandshakeFrame,
        source: &mut impl RngCore,
    ) -> Result<(HandshakeState<ListeningEnd>, HandshakeFrame)> {
        let HandshakeFrame::Hello { identity, nonce } = hello else {
            return Err(HandshakeError::OutOfTurn);
        };
        let state = HandshakeState {
            key,
            own,
            other: Some(identity.clone()),
            dialing_nonce: nonce,
            listening_nonce: random_nonce(source),
            end: PhantomData,
        };
        let transcript = state.transcript(&identity, &state.own);
        let challenge = HandshakeFrame::Challenge {
            identity: state.own.clone(),
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
            return Err(HandshakeError::OutOfTurn);
        };
        let peer = self.other.clone().ok_or(HandshakeError::OutOfTurn)?;
        let transcript = self.transcript(&peer, &self.own);
        self.key.verify("dialing", &transcript, &proof)?;
        Ok(peer)
    }
}
