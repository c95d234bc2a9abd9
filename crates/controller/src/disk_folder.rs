//! File operations of a data folder. They are traits so that tests can inject disk faults.

use rustix::fs::{FlockOperation, flock};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A data folder and the file operations that the log store needs.
pub trait DataFolder {
    /// Type of an open file in this folder.
    type File: DataFile;

    /// Path or name of the folder, for use in error messages.
    fn label(&self) -> String;
    /// Takes an exclusive lock on the folder. Fails with `WouldBlock` while another process holds
    /// the lock.
    fn lock(&mut self) -> io::Result<()>;
    /// Names of all files in the folder.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Opens a file for appending. With `fresh`, the file is created, or emptied if it exists.
    fn open(&self, name: &str, fresh: bool) -> io::Result<Self::File>;
    /// Writes `bytes` over the beginning of a file without syncing it. The file is created if it
    /// is missing and is not truncated.
    fn overwrite(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file and replaces the target if it exists.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; it is an error if the file doesn't exist.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the directory, so that creations, renames and removals of files survive a power loss.
    fn sync(&self) -> io::Result<()>;
}

/// An open file to which records are appended.
pub trait DataFile {
    /// Appends all bytes. On an error, some of them may already have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Syncs the file; returns once its content and length are durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// File that a process keeps locked while it uses the folder.
const LOCK_NAME: &str = "lock";

/// A [`DataFolder`] in the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    lock: Option<File>,
}

impl DiskFolder {
    /// Refers to the folder at `path` without accessing it. [`DataFolder::lock`] creates the
    /// folder if it is missing.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), lock: None }
    }
}

impl DataFolder for DiskFolder {
    type File = File;

    fn label(&self) -> String {
        self.path.display().to_string()
    }

    fn lock(&mut self) -> io::Result<()> {
        fs::create_dir_all(&self.path)?;
        let path = self.path.join(LOCK_NAME);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn open(&self, name: &str, fresh: bool) -> io::Result<File> {
        let path = self.path.join(name);
        if fresh {
            File::create(&path)?;
        }
        OpenOptions::new().append(true).open(path)
    }

    fn overwrite(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(name);
        OpenOptions::new().create(true).truncate(false).write(true).open(path)?.write_all(bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DataFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}
