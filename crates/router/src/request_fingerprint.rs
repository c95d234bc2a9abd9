//! Identifies requests that are repeated with the same content.

use baobabfall_core::dispatch_messages::PartId;
use http::Method;

/// Everything that makes two requests the same to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Workspace that sent the request.
    pub workspace: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Host name in the request.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Hash of the content. Ids, deadlines and other headers do not matter, because they
    /// change when a caller sends the request again.
    ///
    /// ```
    /// use baobabfall_router::request_fingerprint::RequestContent;
    /// use http::Method;
    /// let first = RequestContent {
    ///     workspace: "team-a",
    ///     method: &Method::POST,
    ///     host: "site",
    ///     target: "/cases/7",
    ///     body: b"{}",
    /// };
    /// assert_eq!(first.fingerprint(), first.fingerprint());
    /// assert_ne!(first.fingerprint(), RequestContent { body: b"[]", ..first }.fingerprint());
    /// ```
    pub fn fingerprint(&self) -> PartId {
        let mut hasher = blake3::Hasher::new();
        for text in [self.workspace, self.method.as_str(), self.host, self.target] {
            hasher.update(&text.len().to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(self.body);
        let mut hash = [0; 8];
        hasher.finalize_xof().fill(&mut hash);
        PartId::from_le_bytes(hash)
    }
}
