//! Account of the bytes that a router holds for others: request bodies, answers that are
//! buffered or not read by their callers, and events that are not complete.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that each holder may keep without the account. They are part of the memory that is
/// planned for a connection, so that small requests never wait for the large ones of others.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Bytes that may be held at the same time, in KiB.
#[derive(Clone, Debug)]
pub struct ByteAccount {
    free: Arc<Semaphore>,
}

/// Bytes taken from a [`ByteAccount`], which go back when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: ByteAccount,
    permit: Option<OwnedSemaphorePermit>,
}

/// Bytes with the holder of their memory.
struct HeldBuffer<G> {
    bytes: Bytes,
    _held: HeldBytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for HeldBuffer<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body was not collected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// The body is longer than allowed.
    #[error("the body exceeds {0} bytes")]
    Oversized(usize),
    /// The account is spent.
    #[error("the router holds too many bytes for others")]
    AccountSpent,
    /// The body ended early or could not be read.
    #[error("{0}")]
    Broken(String),
}

impl ByteAccount {
    /// Creates an account of `bytes`, rounded down to whole KiB.
    pub fn new(bytes: usize) -> Self {
        Self { free: Arc::new(Semaphore::new((bytes >> 10).min(Semaphore::MAX_PERMITS))) }
    }

    /// A holder of no bytes.
    ///
    /// ```
    /// use baobabfall_router::held_bytes::ByteAccount;
    /// let account = ByteAccount::new(1 << 20);
    /// let (mut first, mut second) = (account.holder(), account.holder());
    /// assert!(first.resize(1 << 20) && !second.resize(1 << 20));
    /// drop(first);
    /// assert!(second.resize(1 << 20));
    /// ```
    pub fn holder(&self) -> HeldBytes {
        HeldBytes { account: self.clone(), permit: None }
    }

    /// Takes `bytes`. Returns `None` if they are not free within `wait`.
    pub async fn take(&self, bytes: usize, wait: Duration) -> Option<HeldBytes> {
        let mut held = self.holder();
        let permits = counted_kib(bytes);
        if permits > 0 {
            let permit = Arc::clone(&self.free).acquire_many_owned(permits);
            held.permit = Some(tokio::time::timeout(wait, permit).await.ok()?.ok()?);
        }
        Some(held)
    }
}

impl HeldBytes {
    /// Changes the number of bytes held. Returns false and changes nothing if too few are
    /// free.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let wanted = counted_kib(bytes);
        let held = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        if wanted <= held {
            let surplus = usize::try_from(held - wanted).unwrap_or(usize::MAX);
            drop(self.permit.as_mut().and_then(|permit| permit.split(surplus)));
            return true;
        }
        let free = Arc::clone(&self.account.free);
        let Ok(added) = free.try_acquire_many_owned(wanted - held) else { return false };
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
        true
    }

    /// Like [`Self::resize`], for a holder that may keep nothing without the account.
    pub fn resize_whole(&mut self, bytes: usize) -> bool {
        self.resize(bytes + UNCOUNTED_BYTES)
    }

    /// Returns `bytes`, whose memory is given back when the last copy of them is dropped. `guard`
    /// is dropped at that time as well.
    ///
    /// ```
    /// use baobabfall_router::held_bytes::ByteAccount;
    /// use bytes::Bytes;
    /// let account = ByteAccount::new(64 << 10);
    /// let mut held = account.holder();
    /// assert!(held.resize(80 << 10));
    /// let body = held.attach(Bytes::from(vec![0; 80 << 10]), ());
    /// let copy = body.clone();
    /// drop(body);
    /// assert!(!account.holder().resize(80 << 10));
    /// drop(copy);
    /// assert!(account.holder().resize(80 << 10));
    /// ```
    pub fn attach<G: Send + 'static>(self, bytes: Bytes, guard: G) -> Bytes {
        Bytes::from_owner(HeldBuffer { bytes, _held: self, _guard: guard })
    }

    /// Like [`Self::attach`], without a guard. Bytes that take nothing from the account are
    /// returned as they are.
    pub fn attach_counted(self, bytes: Bytes) -> Bytes {
        if self.permit.is_some() { self.attach(bytes, ()) } else { bytes }
    }

    /// Reads a body of at most `limit` bytes and takes from the account what it needs.
    pub async fn collect<B>(&mut self, mut body: B, limit: usize) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let expected = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let expected = expected.unwrap_or(0);
        if expected > limit {
            return Err(CollectError::Oversized(limit));
        }
        if !self.resize(expected) {
            return Err(CollectError::AccountSpent);
        }
        let mut collected = BytesMut::with_capacity(expected);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CollectError::Broken(error.to_string()))?;
            let Ok(bytes) = frame.into_data() else { continue };
            let length = collected.len() + bytes.len();
            if length > limit {
                return Err(CollectError::Oversized(limit));
            }
            // The buffer doubles when it grows.
            if length > collected.capacity() && !self.resize(2 * length) {
                return Err(CollectError::AccountSpent);
            }
            collected.extend_from_slice(&bytes);
        }
        self.resize(collected.capacity());
        Ok(collected.freeze())
    }
}

/// KiB that the account has to provide for `bytes`.
fn counted_kib(bytes: usize) -> u32 {
    let counted = bytes.saturating_sub(UNCOUNTED_BYTES).div_ceil(1 << 10);
    u32::try_from(counted).unwrap_or(u32::MAX)
}
