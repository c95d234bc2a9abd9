//! A data folder in memory that fails on request and loses what is not synced.

use baobabfall_controller::disk_folder::{DataFile, DataFolder};
use baobabfall_core::sorted_map::SortedMap;
use std::cell::RefCell;
use std::io::{self, Error};
use std::rc::Rc;

pub const ENOSPC: i32 = 28;
pub const EIO: i32 = 5;
pub const EROFS: i32 = 30;

/// A file as it reads, and how much of it lasts over a power loss.
#[derive(Default)]
pub struct FileContent {
    pub bytes: Vec<u8>,
    synced: usize,
}

type Files = SortedMap<String, Rc<RefCell<FileContent>>>;

#[derive(Default)]
pub struct FolderContent {
    files: Files,
    lasting: Files,
    /// Operations before the one that fails with the given error.
    pub fault: Option<(usize, i32)>,
    /// Operations until the power fails; then each one fails.
    pub power: Option<usize>,
    locked: bool,
}

#[derive(Clone, Default)]
pub struct FaultyFolder(pub Rc<RefCell<FolderContent>>);

pub struct FaultyFile(FaultyFolder, Rc<RefCell<FileContent>>);

impl FaultyFolder {
    fn operate(&self) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if let Some(left) = &mut content.power {
            *left = left.checked_sub(1).ok_or_else(|| Error::from_raw_os_error(EIO))?;
        }
        match content.fault.take() {
            Some((0, code)) => return Err(Error::from_raw_os_error(code)),
            Some((left, code)) => content.fault = Some((left - 1, code)),
            None => {}
        }
        Ok(())
    }

    /// Loses unsynced names, and of unsynced bytes all but a part.
    pub fn lose_power(&self, part: usize) {
        let mut content = self.0.borrow_mut();
        (content.fault, content.power, content.locked) = (None, None, false);
        content.files = content.lasting.clone();
        for file in content.files.values() {
            let mut file = file.borrow_mut();
            let kept = (file.synced + part).min(file.bytes.len());
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
        self.operate()?;
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
        self.operate()?;
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
        self.operate()?;
        let file = self.file(from)?;
        let mut content = self.0.borrow_mut();
        content.files.remove(from);
        content.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.operate()?;
        self.0.borrow_mut().files.remove(name);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.operate()?;
        let mut content = self.0.borrow_mut();
        content.lasting = content.files.clone();
        Ok(())
    }
}

impl DataFile for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let done = self.0.operate();
        let written = if done.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.1.borrow_mut().bytes.extend_from_slice(&bytes[..written]);
        done
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.operate()?;
        self.1.borrow_mut().bytes.truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.operate()?;
        let mut file = self.1.borrow_mut();
        file.synced = file.bytes.len();
        Ok(())
    }
}
