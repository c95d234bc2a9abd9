//! An in-memory data folder that injects errors and loses unsynced data when the power fails.

use baobabfall_controller::disk_folder::{DataFile, DataFolder};
use baobabfall_core::sorted_map::SortedMap;
use std::cell::RefCell;
use std::io::{self, Error};
use std::rc::Rc;

pub const ENOSPC: i32 = 28;
pub const EIO: i32 = 5;
pub const EROFS: i32 = 30;

/// Content of a file, and how many of its bytes survive a loss of power.
#[derive(Default)]
pub struct FileContent {
    pub bytes: Vec<u8>,
    synced: usize,
}

type Files = SortedMap<String, Rc<RefCell<FileContent>>>;

#[derive(Default)]
pub struct FolderContent {
    files: Files,
    /// Files by name at the last sync of the folder; a loss of power returns to these names.
    synced_files: Files,
    /// Number of operations that still succeed, and the OS error code with which the next one
    /// fails.
    pub fault: Option<(usize, i32)>,
    /// True while the disk is full: nothing can be written, created, renamed, removed or cut.
    pub full: bool,
    /// Number of operations that still succeed before every further one fails.
    pub operations_until_power_loss: Option<usize>,
    locked: bool,
}

#[derive(Clone, Default)]
pub struct FaultyFolder(pub Rc<RefCell<FolderContent>>);

pub struct FaultyFile(FaultyFolder, Rc<RefCell<FileContent>>);

impl FaultyFolder {
    /// Counts one operation, and fails it if a fault or the loss of power is due.
    fn count_operation(&self) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if let Some(remaining) = &mut content.operations_until_power_loss {
            *remaining = remaining.checked_sub(1).ok_or_else(|| Error::from_raw_os_error(EIO))?;
        }
        if content.full {
            return Err(Error::from_raw_os_error(ENOSPC));
        }
        match content.fault.take() {
            Some((0, code)) => return Err(Error::from_raw_os_error(code)),
            Some((remaining, code)) => content.fault = Some((remaining - 1, code)),
            None => {}
        }
        Ok(())
    }

    /// Simulates a loss of power: drops unsynced names, and all but the first
    /// `unsynced_bytes_kept` unsynced bytes of each file. Clears the injected faults and the lock.
    pub fn lose_power(&self, unsynced_bytes_kept: usize) {
        let mut content = self.0.borrow_mut();
        (content.fault, content.operations_until_power_loss, content.locked) = (None, None, false);
        content.files = content.synced_files.clone();
        for file in content.files.values() {
            let mut file = file.borrow_mut();
            let kept = (file.synced + unsynced_bytes_kept).min(file.bytes.len());
            file.bytes.truncate(kept);
        }
    }

    pub fn file(&self, name: &str) -> io::Result<Rc<RefCell<FileContent>>> {
        self.0.borrow().files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl DataFolder for FaultyFolder {
    type File = FaultyFile;

    fn label(&self) -> String {
        "faulty".into()
    }

    fn lock(&mut self) -> io::Result<()> {
        self.count_operation()?;
        match std::mem::replace(&mut self.0.borrow_mut().locked, true) {
            true => Err(io::ErrorKind::WouldBlock.into()),
            false => Ok(()),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.file(name)?.borrow().bytes.clone())
    }

    fn open(&self, name: &str, fresh: bool) -> io::Result<FaultyFile> {
        self.count_operation()?;
        if fresh {
            self.0.borrow_mut().files.insert(name.into(), Rc::default());
        }
        Ok(FaultyFile(self.clone(), self.file(name)?))
    }

    fn overwrite(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let content = FileContent { bytes: bytes.to_vec(), synced: 0 };
        self.0.borrow_mut().files.insert(name.into(), Rc::new(RefCell::new(content)));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let file = self.file(from)?;
        let mut content = self.0.borrow_mut();
        content.files.remove(from);
        content.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.count_operation()?;
        let mut content = self.0.borrow_mut();
        content.synced_files = content.files.clone();
        Ok(())
    }
}

impl DataFile for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = self.0.count_operation();
        let written = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.1.borrow_mut().bytes.extend_from_slice(&bytes[..written]);
        result
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.count_operation()?;
        self.1.borrow_mut().bytes.truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.count_operation()?;
        let mut file = self.1.borrow_mut();
        file.synced = file.bytes.len();
        Ok(())
    }
}
