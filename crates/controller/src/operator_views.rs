//! Builds the responses to operators' read requests.

use crate::operator_api::OperatorApi;
use baobabfall_core::action_ledger::ActionKey;
use baobabfall_core::control_command::{PlannedStop, StopKind, StopTarget};
use baobabfall_core::dispatch_state::UpstreamView as SlotView;
use baobabfall_core::table_history::RowEdit;
use baobabfall_core::upstream_registry::UpstreamEntry;
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use baobabfall_node::operator_messages::{
    ActionView, EvacuationsView, FairnessView, HistoryEntry, MembersView, NodeView, StatusView,
    StopView, TableView, UpstreamView, WorkspaceView, ZoneView,
};
use baobabfall_node::units::wall_clock_ms;

/// Status of the control plane as seen by this controller.
pub fn status(api: &OperatorApi) -> StatusView {
    let view = api.replica.view();
    let members = members(api);
    let state = api.replica.state();
    StatusView {
        controller: api.identity.name.clone(),
        leader: view.leader.as_ref().map(|leader| leader.name.clone()),
        term: view.term,
        quorum: view.leads,
        revision: state.history().revision(),
        committed: view.committed,
        voters: members.voters,
        learners: members.learners,
        nodes: nodes_with_self(api, state.history().revision()),
        unresolved_actions: u64::try_from(state.ledger().unresolved().count()).unwrap_or(u64::MAX),
    }
}

/// All tracked nodes and this controller. It is added explicitly because it doesn't sync with
/// another controller while it leads.
fn nodes_with_self(api: &OperatorApi, revision: u64) -> Vec<NodeView> {
    let mut nodes = api.tracker.views();
    nodes.retain(|node| node.name != api.identity.name);
    nodes.push(NodeView {
        name: api.identity.name.clone(),
        kind: "controller".to_owned(),
        zone: api.zone.clone(),
        incarnation: api.identity.incarnation,
        revision,
        revision_age_ms: 0,
        silent_ms: 0,
        in_progress: 0,
    });
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    nodes
}

/// The workspace table at a revision; `None` if that revision is no longer stored. Revision 0 is
/// the empty table.
pub fn table(api: &OperatorApi, revision: u64) -> Option<TableView> {
    let state = api.replica.state();
    let table = match revision {
        0 => WorkspaceTable::default(),
        revision => state.history().table_at(revision)?,
    };
    Some(TableView { revision, digest: table.digest(), csv: table.to_csv() })
}

/// Stored revisions of the workspace table, oldest first.
pub fn history(api: &OperatorApi) -> Vec<HistoryEntry> {
    let state = api.replica.state();
    let revisions = state.history().revisions();
    revisions
        .map(|entry| HistoryEntry {
            revision: entry.revision,
            operator: entry.operator.clone(),
            edit_id: entry.edit_id.clone(),
            time_ms: entry.time_ms,
            changes: entry.rows.iter().map(row_change).collect(),
        })
        .collect()
}

fn row_change(edit: &RowEdit) -> RowChange {
    match &edit.after {
        Some(row) => RowChange::Put { row: row.clone() },
        None => RowChange::Remove { name: edit.name.clone() },
    }
}

/// Backlog, running requests and received service of each workspace and pool. A workspace without
/// any is listed once with pool `-`.
pub fn workspaces(api: &OperatorApi) -> Vec<WorkspaceView> {
    let table = api.replica.state().history().table().clone();
    let views = api.dispatch.read(|dispatcher, _| {
        let accounts = dispatcher.accounts();
        accounts
            .map(|account| WorkspaceView {
                name: account.workspace.to_owned(),
                weight: table.get(account.workspace).map_or(0, |row| row.weight),
                pool: account.pool.to_owned(),
                queued: account.backlog.into(),
                running: account.running.into(),
                service: account.service,
            })
            .collect::<Vec<_>>()
    });
    let mut views = views.unwrap_or_default();
    for row in table.rows().values() {
        if !views.iter().any(|view| view.name == row.name) {
            views.push(WorkspaceView {
                name: row.name.clone(),
                weight: row.weight,
                pool: "-".to_owned(),
                queued: 0,
                running: 0,
                service: 0,
            });
        }
    }
    views.sort_by(|a, b| (&a.name, &a.pool).cmp(&(&b.name, &b.pool)));
    views
}

fn slot_state(view: &SlotView<'_>) -> &'static str {
    match view {
        view if view.stopping => "stopping",
        view if view.evacuated => "evacuated",
        view if view.ejected => "ejected",
        _ => "live",
    }
}

/// Announced upstreams, including those that left or lapsed recently.
pub fn upstreams(api: &OperatorApi) -> Vec<UpstreamView> {
    let slots = api.dispatch.read(|dispatcher, now| {
        dispatcher
            .upstreams(now)
            .map(|view| (view.name.to_owned(), view.slots, view.running, slot_state(&view)))
            .collect::<Vec<_>>()
    });
    let cold_left = |name: &str| {
        let left = api.dispatch.read(|dispatcher, now| dispatcher.cold_left(now, name)).flatten();
        left.map(|left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    };
    let slots = slots.unwrap_or_default();
    let registry = api.registry.lock();
    let entries = registry.entries().values();
    entries
        .map(|entry| {
            let announcement = &entry.announcement;
            let slot_view = slots.iter().find(|(name, ..)| *name == announcement.name);
            let cold_ms = cold_left(&announcement.name);
            let state = match slot_view {
                _ if announcement.leaving => "leaving",
                _ if !entry.live => "lapsed",
                Some((.., state)) if *state != "live" => state,
                _ if cold_ms.is_some() => "cold",
                _ => "live",
            };
            UpstreamView {
                cold_ms,
                name: announcement.name.clone(),
                incarnation: announcement.incarnation,
                pool: announcement.pool_name().to_owned(),
                serves: announcement.serves.clone(),
                zone: announcement.zone.clone(),
                address: announcement.address.to_string(),
                state: state.to_owned(),
                slots: slot_view.map_or(0, |view| view.1),
                running: slot_view.map_or(0, |view| view.2),
                honours_fencing: announcement.honours_fencing,
            }
        })
        .collect()
}

/// Fairness gap and its bound for each pool.
pub fn fairness(api: &OperatorApi) -> Vec<FairnessView> {
    let views = api.dispatch.read(|dispatcher, _| {
        dispatcher
            .fairness()
            .into_iter()
            .map(|view| FairnessView {
                pool: view.pool,
                backlogged: view.backlogged,
                gap: view.gap,
                bound: view.bound,
            })
            .collect()
    });
    views.unwrap_or_default()
}

/// Planned stops with their progress.
pub fn stops(api: &OperatorApi) -> Vec<StopView> {
    let stops: Vec<(StopTarget, PlannedStop)> = {
        let state = api.replica.state();
        state.stops().iter().map(|(target, stop)| (target.clone(), stop.clone())).collect()
    };
    let nodes = api.tracker.views();
    stops.into_iter().map(|(target, stop)| stop_view(api, &nodes, &target, &stop)).collect()
}

fn stop_view(
    api: &OperatorApi,
    nodes: &[NodeView],
    target: &StopTarget,
    stop: &PlannedStop,
) -> StopView {
    let in_progress = match target.kind {
        StopKind::Upstream | StopKind::Host => running_requests(api, &target.name),
        StopKind::Router => {
            nodes.iter().find(|node| node.name == target.name).map_or(0, |node| node.in_progress)
        }
        StopKind::Controller => 0,
    };
    let limit_exceeded = stop
        .limit_ms
        .is_some_and(|limit| stop.announced_ms.saturating_add(limit) <= wall_clock_ms());
    let state = match (in_progress, limit_exceeded) {
        (0, _) => "drained",
        (_, true) => "limit_passed",
        (_, false) => "draining",
    };
    StopView {
        kind: target.kind,
        name: target.name.clone(),
        operator: stop.operator.clone(),
        time_ms: stop.announced_ms,
        in_progress,
        state: state.to_owned(),
    }
}

/// Number of requests that run on an upstream, or on all upstreams at a host address.
fn running_requests(api: &OperatorApi, name: &str) -> u32 {
    let names = upstreams_of(api, name);
    let running = api.dispatch.read(|dispatcher, now| {
        let views = dispatcher.upstreams(now);
        views
            .filter(|view| names.iter().any(|name| name == view.name))
            .map(|view| view.running)
            .sum()
    });
    running.unwrap_or(0)
}

/// Names of the upstreams that a planned stop of `name` affects. `name` is the name of an upstream
/// or the address of a host.
pub fn upstreams_of(api: &OperatorApi, name: &str) -> Vec<String> {
    let registry = api.registry.lock();
    let entries = registry.entries().values();
    entries
        .map(|entry| &entry.announcement)
        .filter(|upstream| upstream.name == name || upstream.address.ip().to_string() == name)
        .map(|upstream| upstream.name.clone())
        .collect()
}

/// Protected actions whose outcome is unknown and that no operator has resolved.
pub fn actions(api: &OperatorApi) -> Vec<ActionView> {
    let state = api.replica.state();
    let unresolved = state.ledger().unresolved();
    unresolved
        .map(|(key, record): (&ActionKey, _)| ActionView {
            workspace: key.workspace.to_string(),
            service: key.service.to_string(),
            path: record.holder.path.to_string(),
            key: key.key.to_string(),
            token: record.token,
            router: record.holder.router.name.clone(),
            time_ms: record.holder.claimed_ms,
        })
        .collect()
}

/// The evacuated zones, and those with live upstreams.
pub fn evacuations(api: &OperatorApi) -> EvacuationsView {
    let list = api.replica.state().evacuations().list();
    let registry = api.registry.lock();
    let zone_of = |entry: &UpstreamEntry| entry.announcement.zone.clone();
    let mut names: Vec<String> = registry.live().map(zone_of).collect();
    names.extend(list.zones.iter().cloned());
    names.sort_unstable();
    names.dedup();
    let zones = names.into_iter().map(|name| ZoneView {
        evacuated: list.contains(&name),
        upstreams: registry.live().filter(|entry| entry.announcement.zone == name).count(),
        name,
    });
    EvacuationsView { version: list.version, zones: zones.collect() }
}

/// Names of the controllers in the group, split into voters and learners.
pub fn members(api: &OperatorApi) -> MembersView {
    let members = api.replica.view().members;
    let names = |voting: bool| -> Vec<String> {
        let matching = members.iter().filter(|member| member.voting == voting);
        let mut names: Vec<String> = matching.map(|member| member.identity.name.clone()).collect();
        names.sort_unstable();
        names
    };
    MembersView { voters: names(true), learners: names(false) }
}
