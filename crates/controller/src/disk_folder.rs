//! Access to the files of one data folder.

use rustix::fs::{FlockOperation, flock};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder whose files are written, renamed and synced.
pub trait DataFolder {
    /// An open file of the folder.
    type File: DataFile;

    /// Path or name of the folder for messages.
    fn label(&self) -> String;
    /// Keeps other processes out; fails with `WouldBlock` when one is in.
    fn lock(&mut self) -> io::Result<()>;
    /// Names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Opens a file for appending; with `fresh`, empty.
    fn open(&self, name: &str, fresh: bool) -> io::Result<Self::File>;
    /// Overwrites a small file without syncing it.
    fn overwrite(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file over another.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the folder, so that created, renamed and removed names last.
    fn sync(&self) -> io::Result<()>;
}

/// An open file to which records are appended.
pub trait DataFile {
    /// Appends all bytes, or fails after some of them.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to a length.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Returns once content and length are on disk.
    fn sync(&mut self) -> io::Result<()>;
}

/// Name of the file that is locked while a process uses the folder.
const LOCK_NAME: &str = "lock";

/// A folder of the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    lock: Option<File>,
}

impl DiskFolder {
    /// Refers to the folder at `path`, which is created when it is locked.
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
