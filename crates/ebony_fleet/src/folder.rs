//! The directory for the settings and logs of a fleet.

use std::io;
use std::path::{Path, PathBuf};

use tempfile::TempDir;

/// The result of opening the directory.
pub(crate) type Result<T, E = io::Error> = std::result::Result<T, E>;

/// A directory that is kept, or a temporary one that is deleted when the fleet is dropped.
pub(crate) enum FleetFolder {
    Kept(PathBuf),
    Temporary(TempDir),
}

impl FleetFolder {
    /// Opens the directory at `path` and creates it if needed; creates a temporary one if `path` is `None`.
    pub(crate) fn open(path: Option<&Path>) -> Result<Self> {
        match path {
            Some(path) => {
                std::fs::create_dir_all(path)?;
                Ok(Self::Kept(path.to_owned()))
            }
            None => Ok(Self::Temporary(tempfile::tempdir()?)),
        }
    }

    pub(crate) fn path(&self) -> &Path {
        match self {
            Self::Kept(path) => path,
            Self::Temporary(folder) => folder.path(),
        }
    }
}
