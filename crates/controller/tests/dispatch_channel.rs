//! Tests of the channels on which routers report to the leader and receive grants.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use baobabfall_node::frame_channel::FrameChannel;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{
    AnnounceMessage, ChannelAnswer, DISPATCH_PATH, DISPATCH_PROTOCOL, FORWARD_PATH,
};
use group_fixture::*;
use std::net::SocketAddr;
use std::time::Duration;

fn target() -> WorkTarget {
    WorkTarget::new(UpstreamKind::Model, "m".to_owned())
}

/// A leader with one engine of `slots` slots.
async fn leader_with_engine(slots: u32) -> (GroupFixture, SocketAddr) {
    let group = GroupFixture::start(1).await;
    group.put_row("e-1", 0, "team", 1).await.unwrap();
    let address = group.address(0);
    let engine = UpstreamAnnouncement {
        name: "engine-1".to_owned(),
        incarnation: 1,
        sequence: 1,
        address: "127.0.0.1:9".parse().unwrap(),
        kind: UpstreamKind::Model,
        serves: vec!["m".to_owned()],
        zone: "z0".to_owned(),
        concurrency: slots,
        pool: None,
        honours_fencing: false,
        resume: false,
        cancel: false,
        leaving: false,
        running: None,
        software: None,
        cold_ms: None,
    };
    let message = AnnounceMessage::Announce(vec![engine]);
    let client = PeerClient::new(address);
    let _: () = client.call(FORWARD_PATH, PROCESS_TOKEN, &message, CALL_TIMEOUT).await.unwrap();
    (group, address)
}

/// A router's end of a channel; the test writes its reports.
struct TestRouter {
    channel: FrameChannel,
    sequence: u64,
    term: u64,
    received_grant: u64,
}

impl TestRouter {
    async fn connect(address: SocketAddr, sequence: u64) -> Result<Self, PeerError> {
        let channel =
            FrameChannel::connect(address, DISPATCH_PATH, DISPATCH_PROTOCOL, PROCESS_TOKEN).await?;
        Ok(Self { channel, sequence, term: 0, received_grant: 0 })
    }

    async fn report(&mut self, full: bool, queued: Option<u32>, usage: Vec<LeaseUsage>) {
        self.sequence += 1;
        let backlog = queued.map(|queued| BacklogEntry {
            target: target(),
            workspace: "team".to_owned(),
            queued,
            cost_hint: 1_000,
            prefix: None,
            avoid: None,
            prompts: Vec::new(),
        });
        let report = DispatchReport {
            router: NodeIdentity { name: "r".to_owned(), incarnation: 1 },
            zone: "z0".to_owned(),
            term: self.term,
            sequence: self.sequence,
            full,
            backlog: backlog.into_iter().collect(),
            usage,
            charges: Vec::new(),
            received_grant: self.received_grant,
            wait_ms: 0,
            statements: Vec::new(),
            restrictions: Vec::new(),
            parts: PartReport::default(),
            limits: LimitReport::default(),
            origins: OriginReport::default(),
            load: None,
        };
        self.channel.write(&report).await.unwrap();
    }

    async fn message(&mut self) -> ChannelAnswer {
        let reading = tokio::time::timeout(WAIT_LIMIT, self.channel.read::<ChannelAnswer>());
        reading.await.unwrap().unwrap().0
    }

    /// Reports the queue in full until the dispatcher of this term has granted a slot.
    async fn first_grant(&mut self, queued: u32) -> SlotGrant {
        loop {
            self.report(true, Some(queued), Vec::new()).await;
            loop {
                let message = self.message().await;
                let answer = message.answer.unwrap();
                self.term = answer.term;
                if let Some(grant) = answer.grants.into_iter().next() {
                    return grant;
                }
                if answer.resync && message.received == self.sequence {
                    break;
                }
            }
        }
    }
}

fn finished(grant: &SlotGrant) -> LeaseUsage {
    LeaseUsage {
        lease: grant.lease,
        upstream: grant.upstream.name.clone(),
        incarnation: grant.upstream.incarnation,
        target: target(),
        workspace: "team".to_owned(),
        charged: 1_000,
        first_token_ms: Some(5),
        end: Some(LeaseEnd::Finished),
    }
}

/// Guards against grants that wait for a poll: the leader sends one as soon as a slot is free.
#[tokio::test]
async fn channel_grant_is_sent_when_slot_is_free() {
    let (_group, address) = leader_with_engine(1).await;
    let mut router = TestRouter::connect(address, 0).await.unwrap();
    let first = router.first_grant(2).await;
    router.received_grant = first.lease.number;
    router.report(false, Some(1), vec![finished(&first)]).await;
    loop {
        if let Some(second) = router.message().await.answer.unwrap().grants.first() {
            assert_eq!(second.lease.number, first.lease.number + 1);
            return;
        }
    }
}

/// Guards against an answer for each report, which exhausts the leader of many routers.
#[tokio::test]
async fn channel_reports_without_requests_share_an_answer() {
    let (_group, address) = leader_with_engine(1).await;
    let mut router = TestRouter::connect(address, 0).await.unwrap();
    let grant = router.first_grant(1).await;
    router.received_grant = grant.lease.number;
    router.report(false, Some(0), Vec::new()).await;
    router.report(false, None, vec![finished(&grant)]).await;
    let message = router.message().await;
    assert_eq!(message.received, router.sequence);
    assert_eq!(message.answer.unwrap().acknowledged, router.sequence);
}

/// A grant that was on its way when the connection broke is sent again on the next channel.
#[tokio::test]
async fn channel_unreceived_grant_is_sent_on_next_channel() {
    let (_group, address) = leader_with_engine(1).await;
    let mut router = TestRouter::connect(address, 0).await.unwrap();
    let grant = router.first_grant(1).await;
    let (sequence, term) = (router.sequence, router.term);
    drop(router);
    let mut router = TestRouter::connect(address, sequence).await.unwrap();
    router.term = term;
    router.report(true, Some(1), Vec::new()).await;
    assert_eq!(router.message().await.answer.unwrap().grants, [grant]);
}

/// Guards against grants for a router's older connection after it has opened another.
#[tokio::test]
async fn channel_second_one_displaces_first() {
    let (_group, address) = leader_with_engine(1).await;
    let mut first = TestRouter::connect(address, 0).await.unwrap();
    first.first_grant(1).await;
    let mut second = TestRouter::connect(address, first.sequence).await.unwrap();
    second.term = first.term;
    second.report(true, Some(1), Vec::new()).await;
    assert!(second.message().await.answer.is_some());
    let refusal = first.message().await.refusal;
    assert_eq!(refusal.as_deref(), Some(ErrorKind::StaleIncarnation.answer().code));
}

#[tokio::test]
async fn channel_at_follower_is_refused() {
    let group = GroupFixture::start(3).await;
    let leader = group.leader().await;
    let refused = TestRouter::connect(group.address((leader + 1) % 3), 0).await;
    assert_eq!(refused.err().unwrap().kind(), ErrorKind::NotLeader);
}

/// Guards against channels that outlive the controller that serves them.
#[tokio::test]
async fn channel_ends_with_its_controller() {
    let (mut group, address) = leader_with_engine(1).await;
    let mut router = TestRouter::connect(address, 0).await.unwrap();
    router.first_grant(1).await;
    group.kill(0).await;
    let ended = tokio::time::timeout(Duration::from_secs(20), async {
        while router.channel.read::<ChannelAnswer>().await.is_ok() {}
    });
    assert!(ended.await.is_ok());
}

/// Guards against a message that ends the leader or the channels of other routers.
#[tokio::test]
async fn channel_with_malformed_messages_ends_alone() {
    let (_group, address) = leader_with_engine(2).await;
    let mut router = TestRouter::connect(address, 0).await.unwrap();
    let grant = router.first_grant(1).await;
    let mut other = TestRouter::connect(address, 0).await.unwrap();
    other.channel.write(&("x", 1)).await.unwrap();
    let ended = tokio::time::timeout(WAIT_LIMIT, other.channel.read::<ChannelAnswer>()).await;
    assert!(ended.unwrap().is_err());
    router.received_grant = grant.lease.number;
    router.report(false, Some(1), vec![finished(&grant)]).await;
    while router.message().await.answer.unwrap().grants.is_empty() {}
}
