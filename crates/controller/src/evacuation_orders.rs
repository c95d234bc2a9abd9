//! Orders of operators to evacuate an availability zone or to readmit it, at any controller.

use crate::control_api::{
    CHANGE_TIMEOUT, COMMIT_TIMEOUT, ControlApi, is_leader_missing, late_commit, respond_to,
};
use crate::operator_views;
use crate::replica_driver::ReplicaRefusal;
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::upstream_registry::is_valid_name;
use baobabfall_core::zone_evacuations::{EvacuationAnswer, EvacuationOrder, ZONE_LIMIT};
use baobabfall_node::http_client::PeerError;
use baobabfall_node::http_server::{
    FullResponse, error_response, json_response, message_response, read_json, read_message,
};
use baobabfall_node::messages::EVACUATIONS_PATH;
use baobabfall_node::operator_messages::ZoneEdit;
use baobabfall_node::units::millis;
use http::Request;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Largest accepted body of an order, in bytes.
const ORDER_LIMIT_BYTES: usize = 4 << 10;
/// Pause before an order that was overtaken is proposed again. The caller of a late copy has closed
/// its connection, which ends the call in this time.
const OVERTAKEN_PAUSE: Duration = Duration::from_millis(100);

impl ControlApi {
    /// Evacuates a zone or readmits it, from any controller, and returns the version of the set in
    /// which that is in force. Succeeds only after a quorum has stored the order; an order that is
    /// in force already is committed and acknowledged again. While there is no leader, the order
    /// waits for the next one.
    ///
    /// The call must be dropped when the caller gives up: an order that another change of the zone
    /// has overtaken takes effect only while its caller still waits for the answer.
    pub async fn order_evacuation(
        &self,
        zone: &str,
        evacuated: bool,
    ) -> Result<u64, ReplicaRefusal> {
        let received = Instant::now();
        if !is_valid_name(zone) {
            log::warn!(event = "evacuation_refused", evacuated = evacuated, bytes = zone.len(); "order about a zone with an invalid name");
            let message = "A zone is named by 1 to 64 of the characters a-z 0-9 - . _.".to_owned();
            return Err(ReplicaRefusal { kind: ErrorKind::MalformedRequest, message });
        }
        log::info!(event = "evacuation_ordered", zone = zone, evacuated = evacuated; "received an order about a zone");
        let result = self.commit_evacuation(zone, evacuated, received + CHANGE_TIMEOUT).await;
        let waited_ms = millis(received.elapsed());
        match &result {
            Ok(version) => {
                log::info!(event = "evacuation_accepted", zone = zone, evacuated = evacuated, version = version, waited_ms = waited_ms; "order about a zone acknowledged");
                if evacuated && !self.is_zone_known(zone) {
                    log::warn!(event = "evacuated_zone_unknown", zone = zone; "no live upstream names this zone; check its name");
                }
            }
            Err(refusal) => {
                log::info!(event = "evacuation_not_accepted", zone = zone, evacuated = evacuated, reason = refusal.kind.answer().code, waited_ms = waited_ms; "{}", refusal.message);
            }
        }
        result
    }

    fn is_zone_known(&self, zone: &str) -> bool {
        self.registry.lock().live().any(|entry| entry.announcement.zone == zone)
    }

    async fn commit_evacuation(
        &self,
        zone: &str,
        evacuated: bool,
        deadline: Instant,
    ) -> Result<u64, ReplicaRefusal> {
        self.check_group_size()?;
        let seen = self.replica.state().evacuations().version();
        let mut order = EvacuationOrder { zone: zone.to_owned(), evacuated, seen };
        loop {
            match self.try_evacuation(&order, deadline).await {
                Ok(EvacuationAnswer::InForce(version)) => return Ok(version),
                Ok(EvacuationAnswer::Overtaken(version)) => {
                    order.seen = version;
                    tokio::time::sleep(OVERTAKEN_PAUSE).await;
                }
                Ok(EvacuationAnswer::LimitReached) => {
                    let message = format!("{ZONE_LIMIT} zones are evacuated; readmit one first.");
                    return Err(ReplicaRefusal { kind: ErrorKind::LimitReached, message });
                }
                Err(refusal) if is_leader_missing(refusal.kind) => {
                    if !self.wait_for_leader(deadline).await {
                        return Err(refusal);
                    }
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    async fn try_evacuation(
        &self,
        order: &EvacuationOrder,
        deadline: Instant,
    ) -> Result<EvacuationAnswer, ReplicaRefusal> {
        match self.leader_address() {
            None => self.propose_evacuation(order, deadline).await,
            Some(leader) => self.forward_evacuation(leader, order, deadline).await,
        }
    }

    async fn propose_evacuation(
        &self,
        order: &EvacuationOrder,
        deadline: Instant,
    ) -> Result<EvacuationAnswer, ReplicaRefusal> {
        let command = ControlCommand::EvacuateZone { order: order.clone() };
        let proposed = tokio::time::timeout_at(deadline, self.replica.propose(command)).await;
        match proposed.unwrap_or_else(|_| Err(late_commit()))? {
            ControlAnswer::Evacuation(answer) => Ok(answer),
            _ => Err(ReplicaRefusal {
                kind: ErrorKind::Internal,
                message: "The state machine returned an unexpected type of result.".to_owned(),
            }),
        }
    }

    async fn forward_evacuation(
        &self,
        leader: SocketAddr,
        order: &EvacuationOrder,
        deadline: Instant,
    ) -> Result<EvacuationAnswer, ReplicaRefusal> {
        let token = self.options.process.token();
        let client = self.forward_client(leader);
        let timeout = deadline.saturating_duration_since(Instant::now()).min(COMMIT_TIMEOUT);
        let answer = client.call(EVACUATIONS_PATH, &token, order, timeout).await;
        answer.map_err(|error: PeerError| ReplicaRefusal {
            kind: error.kind(),
            message: error.to_string(),
        })
    }

    /// Handles an order that a follower passes on.
    pub(crate) async fn handle_forwarded_evacuation(
        &self,
        request: Request<Incoming>,
    ) -> FullResponse {
        match read_message::<EvacuationOrder>(request).await {
            Ok(_) if !self.replica.leads() => {
                error_response(ErrorKind::NotLeader, self.reject_message(ErrorKind::NotLeader))
            }
            Ok(order) => {
                let deadline = Instant::now() + COMMIT_TIMEOUT;
                let proposed = self.propose_evacuation(&order, deadline).await;
                respond_to(proposed, |answer| message_response(&answer))
            }
            Err(refusal) => refusal.response(),
        }
    }

    /// Handles an order that came through the operator API.
    pub(crate) async fn edit_zone(&self, request: Request<Incoming>) -> FullResponse {
        let edit: ZoneEdit = match read_json(request, ORDER_LIMIT_BYTES).await {
            Ok(edit) => edit,
            Err(refusal) => return refusal.response(),
        };
        log::info!(operator = edit.operator.as_str(), zone = edit.name.as_str(); "changing the evacuation of a zone");
        let ordered = self.order_evacuation(&edit.name, edit.evacuated).await;
        if let Ok(version) = ordered {
            // A follower applies the order a moment after the leader.
            let mut versions = self.replica.watch_versions();
            let applied = versions.wait_for(|next| next.evacuations_version >= version);
            let _ = tokio::time::timeout(COMMIT_TIMEOUT, applied).await;
        }
        respond_to(ordered, |_| json_response(200, &operator_views::evacuations(&self.operators)))
    }
}
