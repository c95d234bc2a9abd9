//! Starts the local fleet, applies the example workspace table, waits until the fleet is ready and
//! stops it.

use crate::error::LocalError;
use crate::options::LocalOptions;
use crate::role_settings::{controller_path, credential_path, router_path, write_all};
use baobabfall_controller::controller::{self, ControllerHandle};
use baobabfall_controller::options::{ControllerOptions, ControllerSettings};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{
    EditAnswer, STATUS_PATH, StatusView, TABLE_PATH, TableEdit, TableView, UPSTREAMS_PATH,
    UpstreamView,
};
use baobabfall_node::settings::load_settings;
use baobabfall_router::{Router, RouterHandle, RouterListeners, RouterOptions};
use baobabfall_standin::announcer::AnnounceOptions;
use baobabfall_standin::model_engine::{self, EngineOptions};
use baobabfall_standin::plain_service::{self, ServiceOptions};
use baobabfall_standin::{UpstreamHandle, UpstreamOptions};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one request to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time per token of the simulated engines; the target is 26 ms between tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// Running controllers, routers and simulated upstreams of the local fleet.
#[derive(Debug)]
pub struct LocalFleet {
    controllers: Vec<ControllerHandle>,
    routers: Vec<RouterHandle>,
    upstreams: Vec<UpstreamHandle>,
    operator: CredentialFile,
}

impl LocalFleet {
    /// Writes settings and credentials to the data folder, then starts the controllers, the routers
    /// and the simulated upstreams in this order.
    pub async fn start(options: &LocalOptions) -> Result<Self, LocalError> {
        write_all(options)?;
        let folder = &options.folder;
        let operator = CredentialFile::open(&credential_path(folder, "operator"))?;
        let mut starting = tokio::task::JoinSet::new();
        for index in 0..options.controllers().len() {
            let settings: ControllerSettings = load_settings(&controller_path(folder, index))?;
            let role_options = ControllerOptions::build(settings, folder)?;
            // The first controller creates the replication group only once the others respond, so
            // all of them must be started concurrently.
            starting.spawn(controller::start(role_options));
        }
        let mut controllers = Vec::new();
        while let Some(started) = starting.join_next().await {
            let Ok(started) = started else { continue };
            controllers.push(started?);
        }
        let mut routers = Vec::new();
        for index in 0..options.callers().len() {
            let role_options = RouterOptions::load(&router_path(folder, index))?;
            let listeners = RouterListeners::bind(&role_options.settings).await?;
            routers.push(Router::start(role_options, listeners).await?);
        }
        let upstreams = start_upstreams(options).await?;
        Ok(Self { controllers, routers, upstreams, operator })
    }

    /// Applies the example table unless the controllers already have a table, then waits until
    /// every router has applied it and every upstream is registered as live. Returns the table
    /// revision.
    pub async fn make_ready(&self, options: &LocalOptions) -> Result<u64, LocalError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let clients: Vec<PeerClient> =
            options.controllers().into_iter().map(PeerClient::new).collect();
        while Instant::now() < deadline {
            for client in &clients {
                let revision = match self.apply_first_table(options, client).await {
                    Ok(revision) => revision,
                    Err(error) if is_transient(error.kind()) => continue,
                    Err(error) => return Err(LocalError::NotAccepted(error)),
                };
                if self.is_ready(client, revision).await {
                    return Ok(revision);
                }
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(LocalError::NotReady { seconds: READY_TIMEOUT.as_secs() })
    }

    async fn apply_first_table(
        &self,
        options: &LocalOptions,
        client: &PeerClient,
    ) -> Result<u64, PeerError> {
        let token = self.operator.token();
        let view: TableView =
            client.call_json::<(), _>(TABLE_PATH, &token, None, CALL_TIMEOUT).await?;
        if view.revision > 0 {
            return Ok(view.revision);
        }
        let table = WorkspaceTable::parse_csv(options.deployment.table.as_bytes())
            .expect("the built-in example tables are valid");
        let edit = TableEdit {
            operator: "baobabfall-local".to_owned(),
            edit_id: format!("first-table-{}", options.deployment.name),
            base_revision: 0,
            changes: WorkspaceTable::default().diff(&table),
        };
        let answer: EditAnswer =
            client.call_json(TABLE_PATH, &token, Some(&edit), CALL_TIMEOUT).await?;
        Ok(answer.revision)
    }

    async fn is_ready(&self, client: &PeerClient, revision: u64) -> bool {
        let token = self.operator.token();
        let status: Result<StatusView, _> =
            client.call_json::<(), _>(STATUS_PATH, &token, None, CALL_TIMEOUT).await;
        let upstreams: Result<Vec<UpstreamView>, _> =
            client.call_json::<(), _>(UPSTREAMS_PATH, &token, None, CALL_TIMEOUT).await;
        let (Ok(status), Ok(upstreams)) = (status, upstreams) else { return false };
        let routers = status.nodes.iter().filter(|node| {
            node.kind == "router"
                && node.revision >= revision
                && self
                    .routers
                    .iter()
                    .any(|router| router.state().options.identity.incarnation == node.incarnation)
        });
        let live = upstreams.iter().filter(|upstream| upstream.state == "live");
        routers.count() == self.routers.len() && live.count() == self.upstreams.len()
    }

    /// Stops the fleet gracefully: the routers finish requests in progress, then the upstreams and
    /// the controllers are stopped.
    pub async fn stop(mut self) {
        for router in &self.routers {
            router.begin_stop();
        }
        for router in &self.routers {
            router.join().await;
        }
        for upstream in &mut self.upstreams {
            upstream.kill();
        }
        for controller in self.controllers {
            controller.stop().await;
        }
    }
}

/// Whether the error can occur while the controllers start or elect a leader, so that a retry can
/// succeed.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerUnreachable
            | ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::OutcomeUnknown
    )
}

async fn start_upstreams(options: &LocalOptions) -> Result<Vec<UpstreamHandle>, LocalError> {
    let deployment = options.deployment;
    let credential = CredentialFile::open(&credential_path(&options.folder, "upstream"))?;
    let announce = AnnounceOptions::new(options.fleets().to_vec(), credential.token());
    let mut upstreams = Vec::new();
    for index in 0..deployment.engines {
        let name = format!("engine-{}", index + 1);
        let mut engine =
            EngineOptions::new(&name, deployment.models[index % deployment.models.len()]);
        configure_upstream(
            &mut engine.upstream,
            deployment.zones[index % deployment.zones.len()],
            &announce,
        );
        engine.token_interval = TOKEN_INTERVAL;
        engine.resume = true;
        engine.cancel = true;
        upstreams.push(
            model_engine::start(engine)
                .await
                .map_err(|error| LocalError::Upstream { name, reason: error.to_string() })?,
        );
    }
    for index in 0..deployment.workers {
        let name = format!("{}-{}", deployment.service, index + 1);
        let mut service = ServiceOptions::new(&name, deployment.service);
        configure_upstream(
            &mut service.upstream,
            deployment.zones[index % deployment.zones.len()],
            &announce,
        );
        // The last worker ignores fencing tokens, so that the fleet includes an upstream without
        // support for them.
        service.honours_fencing = index + 1 < deployment.workers;
        upstreams.push(
            plain_service::start(service)
                .await
                .map_err(|error| LocalError::Upstream { name, reason: error.to_string() })?,
        );
    }
    Ok(upstreams)
}

fn configure_upstream(upstream: &mut UpstreamOptions, zone: &str, announce: &AnnounceOptions) {
    upstream.zone = zone.to_owned();
    upstream.incarnation = baobabfall_node::node_metrics::start_incarnation();
    upstream.record_executions = false;
    upstream.announce = Some(announce.clone());
}
