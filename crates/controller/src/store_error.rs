//! Errors of the durable storage.

use baobabfall_core::error_kind::ErrorKind;
use std::io;
use thiserror::Error;

/// Why the data folder cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No space is left.
    #[error(
        "The disk is full: {file} could not be written. Nothing is lost; free space in the data folder, the write is repeated."
    )]
    DiskFull {
        /// File concerned.
        file: String,
    },
    /// The operating system could not sync a file or the folder.
    #[error(
        "{file} could not be synced to disk ({source}). What was not synced is not confirmed to anyone; check the disk and restart this controller."
    )]
    SyncFailed {
        /// File concerned, or the folder.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// An earlier sync failed.
    #[error(
        "The data folder is not written any more because an earlier sync failed; check the disk and restart this controller."
    )]
    Poisoned,
    /// The folder does not allow writing.
    #[error(
        "{file} in the data folder is not writable ({source}); give this user write permission or mount the disk for writing."
    )]
    ReadOnly {
        /// File concerned.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error(
        "Another process uses the data folder {folder}; stop it, or set another folder for this controller."
    )]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// Stored data cannot be read back.
    #[error(
        "{file} is damaged at byte {offset}: {what}. Keep the folder for inspection, start this controller with an empty data folder and add it to the controllers again; it then copies the log from the others."
    )]
    Damaged {
        /// File concerned.
        file: String,
        /// Position of the first damaged record.
        offset: usize,
        /// What is wrong.
        what: String,
    },
    /// The data was written in another format.
    #[error(
        "{file} has format version {version}, which this program does not read; start the version that wrote it."
    )]
    UnsupportedVersion {
        /// File concerned.
        file: String,
        /// Version found.
        version: u8,
    },
    /// The folder belongs to another controller.
    #[error(
        "The data folder belongs to controller {stored}, this is {name}; correct the name or the folder in the settings."
    )]
    WrongName {
        /// Name stored in the folder.
        stored: String,
        /// Name from the settings.
        name: String,
    },
    /// A record cannot be encoded.
    #[error("A record cannot be encoded ({0}); this is a fault of the program.")]
    Unencodable(String),
    /// Any other failure.
    #[error(
        "{file} in the data folder cannot be used ({source}); check the disk and the permissions."
    )]
    Other {
        /// File concerned.
        file: String,
        /// Cause.
        source: io::Error,
    },
}

impl StoreError {
    /// The kind in the closed list of errors.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Damaged { .. } => ErrorKind::StorageDamaged,
            Self::UnsupportedVersion { .. } => ErrorKind::UnsupportedVersion,
            Self::WrongName { .. } => ErrorKind::InvalidSettings,
            Self::Unencodable(_) => ErrorKind::Internal,
            _ => ErrorKind::StorageFailed,
        }
    }

    /// The error that a failed access to `file` stands for.
    pub fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull { file },
            io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
                Self::ReadOnly { file, source }
            }
            io::ErrorKind::WouldBlock => Self::Locked { folder: file },
            _ => Self::Other { file, source },
        }
    }
}
