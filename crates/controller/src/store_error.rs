//! Errors of the log store.

use baobabfall_core::error_kind::ErrorKind;
use std::io;
use thiserror::Error;

/// Reason why the data folder can't be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No space or quota is left on the disk. The write can be retried.
    #[error(
        "The disk is full: {file} could not be written. No data is lost; free up space on the disk of the data folder, the write is retried automatically."
    )]
    DiskFull {
        /// File or folder that could not be written.
        file: String,
    },
    /// The operating system could not sync a file or the folder.
    #[error(
        "{file} could not be synced to disk ({source}). Changes that were not synced have not been acknowledged; check the disk and restart this controller."
    )]
    SyncFailed {
        /// File or folder that could not be synced.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An earlier sync failed, so the store refuses further writes.
    #[error(
        "The data folder is no longer written because an earlier sync failed; check the disk and restart this controller."
    )]
    Poisoned,
    /// The user lacks permission, or the file system is mounted read-only.
    #[error(
        "{file} in the data folder is not writable ({source}); grant this user write permission or mount the file system read-write."
    )]
    ReadOnly {
        /// File or folder that could not be accessed.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process holds the lock on the folder.
    #[error(
        "Another process is using the data folder {folder}; stop that process or configure another folder for this controller."
    )]
    Locked {
        /// Path of the data folder.
        folder: String,
    },
    /// Stored data is corrupt or incomplete.
    #[error(
        "{file} is damaged at byte {offset}: {detail}. Keep the folder for inspection, start this controller with an empty data folder and add it to the group again; it then copies the log from the other controllers."
    )]
    Damaged {
        /// Damaged file, or the folder if a file is missing.
        file: String,
        /// Byte offset of the first damaged record.
        offset: usize,
        /// Description of the damage.
        detail: String,
    },
    /// The data was written in a format version that this program can't read.
    #[error(
        "{file} has format version {version}, which this program does not support; run the program version that wrote it."
    )]
    UnsupportedVersion {
        /// File that contains the unsupported record.
        file: String,
        /// Format version of the record.
        version: u8,
    },
    /// The folder belongs to a controller with another name.
    #[error(
        "The data folder belongs to controller {stored}, but this controller is {name}; correct the name or the folder in the settings."
    )]
    WrongName {
        /// Name of the controller that is stored in the folder.
        stored: String,
        /// Name of this controller from the settings.
        name: String,
    },
    /// A record can't be encoded, or a snapshot isn't newer than the stored one. Either is a bug.
    #[error("A record cannot be encoded ({0}); this is a bug in the program.")]
    Unencodable(String),
    /// Any other I/O error.
    #[error(
        "{file} in the data folder cannot be accessed ({source}); check the disk and the permissions."
    )]
    Other {
        /// File or folder that could not be accessed.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl StoreError {
    /// Error kind, which determines the exit code of the process.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Damaged { .. } => ErrorKind::StorageDamaged,
            Self::UnsupportedVersion { .. } => ErrorKind::UnsupportedVersion,
            Self::WrongName { .. } => ErrorKind::InvalidSettings,
            Self::Unencodable(_) => ErrorKind::Internal,
            _ => ErrorKind::StorageFailed,
        }
    }

    /// Classifies an I/O error on `file`, which may also be the data folder.
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
