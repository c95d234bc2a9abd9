//! Answers processes that start, on a host that serves the control plane and is no member of the
//! group, for want of a disk. The host only knows what members tell it.

use crate::founding_witness::{FOUNDING_PATH, FoundingRequest, FoundingWitness};
use crate::group_directory::{GroupDirectory, GroupNotice, NOTICE_PATH};
use crate::membership::{PRESENCE_PATH, find_leader};
use crate::options::SeedList;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_server::{
    FullResponse, bytes_response, error_response, message_response, presented_token, read_message,
};
use baobabfall_node::messages::SYNC_PATH;
use http::{Method, Request};
use hyper::body::Incoming;
use std::net::SocketAddr;

/// Request handler of a seed that is not a member of the group.
#[derive(Clone, Debug)]
pub struct SeedService {
    directory: GroupDirectory,
    seeds: SeedList,
    process: CredentialFile,
    witness: FoundingWitness,
}

impl SeedService {
    /// Creates a service that knows the seeds of its settings and no member yet. Requests must
    /// present the credential `process`. `first_start` is true at the first start of the site.
    pub fn new(seeds: SeedList, process: CredentialFile, first_start: bool) -> Self {
        let witness = FoundingWitness::without_disk(first_start);
        Self { directory: GroupDirectory::default(), seeds, process, witness }
    }

    /// Answers one request of another process. Whatever needs a member is refused as
    /// [`ErrorKind::NotLeader`], upon which callers try another controller.
    pub async fn handle(&self, request: Request<Incoming>) -> FullResponse {
        if request.uri().path() == "/healthz" {
            return bytes_response(200, "text/plain", b"ok\n".to_vec());
        }
        if !presented_token(request.headers()).is_some_and(|token| self.process.accepts(token)) {
            let message = "This path requires a valid credential as a bearer token.";
            return error_response(ErrorKind::Unauthenticated, message);
        }
        if request.method() != Method::POST {
            return error_response(ErrorKind::MethodNotAllowed, "Use POST.");
        }
        match request.uri().path() {
            NOTICE_PATH => match read_message::<GroupNotice>(request).await {
                Ok(notice) => {
                    self.directory.record(notice);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            PRESENCE_PATH => message_response(&self.directory.presence()),
            FOUNDING_PATH => match read_message::<FoundingRequest>(request).await {
                Ok(message) => {
                    let in_group = self.directory.presence().in_group;
                    message_response(&self.witness.answer(message, in_group).await)
                }
                Err(refusal) => refusal.response(),
            },
            SYNC_PATH => message_response(&self.directory.sync_answer()),
            _ => error_response(ErrorKind::NotLeader, "This host is not a member of the group."),
        }
    }

    /// Address of the leader, as the members know it; the seeds are asked if none of them answers.
    pub async fn leader(&self) -> Option<SocketAddr> {
        let token = self.process.token();
        match find_leader(&self.directory.members(), &token).await {
            Some(leader) => Some(leader),
            None => find_leader(&self.seeds.addresses(), &token).await,
        }
    }
}
