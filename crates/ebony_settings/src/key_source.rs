//! Where the cluster key comes from.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use ebony_wire::ClusterKey;
use serde::Deserialize;

use crate::schema::MIN_KEY_BYTES;

/// The largest key file in bytes. It limits how much memory a wrong path can take.
const MAX_KEY_FILE_BYTES: u64 = 4_096;

/// Why a key could not be loaded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("the file cannot be read: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is larger than a key file may be.
    #[error("the file has more than {MAX_KEY_FILE_BYTES} bytes")]
    TooLarge,
    /// The key is too short.
    #[error("the key has {0} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(usize),
}

/// The result of loading a key.
pub type Result<T, E = KeyError> = std::result::Result<T, E>;

/// Where the cluster key comes from.
#[derive(Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// A file whose content, without white space at its end, is the key.
    File(PathBuf),
    /// The key itself.
    Inline(String),
}

impl KeySource {
    /// Returns the key, which is read from the file unless it is inline.
    ///
    /// ```
    /// use ebony_settings::KeySource;
    ///
    /// assert!(KeySource::Inline("0123456789abcdef".to_owned()).load().is_ok());
    /// assert!(KeySource::Inline("too short".to_owned()).load().is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if the file cannot be read or the key is too short.
    pub fn load(&self) -> Result<ClusterKey> {
        match self {
            Self::File(path) => load_key_file(path),
            Self::Inline(text) => wrap_key(text.as_bytes()),
        }
    }
}

impl std::fmt::Debug for KeySource {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File(path) => write!(formatter, "File({path:?})"),
            // The key must not reach a log.
            Self::Inline(_) => formatter.write_str("Inline(..)"),
        }
    }
}

/// Reads a key from a file.
pub(crate) fn load_key_file(path: &Path) -> Result<ClusterKey> {
    let mut bytes = Vec::new();
    File::open(path)?
        .take(MAX_KEY_FILE_BYTES + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_KEY_FILE_BYTES {
        return Err(KeyError::TooLarge);
    }
    wrap_key(bytes.trim_ascii_end())
}

fn wrap_key(bytes: &[u8]) -> Result<ClusterKey> {
    ClusterKey::from_bytes(bytes).map_err(|_| KeyError::TooShort(bytes.len()))
}
