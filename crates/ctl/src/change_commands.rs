//! Commands that change planned stops, protected actions, controllers and nodes.

use crate::cli::{Actions, ActionsCmd, Announce, RemoveController, RemoveNode, Stop, StopCmd};
use crate::control_client::ControlClient;
use crate::error::CtlError;
use crate::options::CtlOptions;
use crate::output::print;
use crate::progress::Progress;
use baobabfall_node::messages::StopKind;
use baobabfall_node::operator_messages::{
    ACTIONS_PATH, ActionResolution, ActionView, MEMBERS_PATH, MemberEdit, MembersView, NODES_PATH,
    NodeRemoval, STOPS_PATH, StopEdit, StopView,
};
use baobabfall_node::units::parse_duration;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a `stop` subcommand and prints the announced stops.
pub async fn stop(options: &CtlOptions, stop: &Stop) -> Result<(), CtlError> {
    let client = ControlClient::new(options)?;
    match &stop.subcommand {
        StopCmd::List(_) => {
            let stops: Vec<StopView> = client.get(STOPS_PATH).await?;
            print_stops(options, &stops);
        }
        StopCmd::Announce(announce) => announce_stop(options, &client, announce).await?,
        StopCmd::Cancel(cancel) => {
            let edit = StopEdit {
                operator: options.operator.clone(),
                kind: stop_kind(&cancel.kind)?,
                name: cancel.name.clone(),
                announce: false,
                limit_ms: None,
            };
            let stops: Vec<StopView> = client.post(STOPS_PATH, &edit).await?;
            print_stops(options, &stops);
        }
    }
    Ok(())
}

fn stop_kind(text: &str) -> Result<StopKind, CtlError> {
    match text {
        "host" => Ok(StopKind::Host),
        "upstream" => Ok(StopKind::Upstream),
        "router" => Ok(StopKind::Router),
        "controller" => Ok(StopKind::Controller),
        other => Err(CtlError::Usage(format!(
            "{other:?} is not a valid kind; use host, upstream, router or controller."
        ))),
    }
}

async fn announce_stop(
    options: &CtlOptions,
    client: &ControlClient,
    announce: &Announce,
) -> Result<(), CtlError> {
    let limit = announce.limit.as_deref().map(parse_duration).transpose();
    let limit = limit.map_err(CtlError::Usage)?;
    let edit = StopEdit {
        operator: options.operator.clone(),
        kind: stop_kind(&announce.kind)?,
        name: announce.name.clone(),
        announce: true,
        limit_ms: limit.and_then(|limit| u64::try_from(limit.as_millis()).ok()),
    };
    let mut stops: Vec<StopView> = client.post(STOPS_PATH, &edit).await?;
    if announce.wait {
        let progress = Progress::new("requests still running");
        while let Some(view) =
            stops.iter().find(|view| view.kind == edit.kind && view.name == edit.name)
        {
            match view.state.as_str() {
                "drained" => break,
                "limit_passed" => {
                    return Err(CtlError::Lagging(format!(
                        "{} requests are still running on {} after the limit. Wait longer, cancel the stop, or stop the process, which aborts them.",
                        view.in_progress, view.name
                    )));
                }
                _ => progress.show(usize::try_from(view.in_progress).unwrap_or(0), 0),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            stops = client.get(STOPS_PATH).await?;
        }
    }
    print_stops(options, &stops);
    Ok(())
}

fn print_stops(options: &CtlOptions, stops: &[StopView]) {
    let rows = stops
        .iter()
        .map(|view| {
            vec![
                format!("{:?}", view.kind).to_lowercase(),
                view.name.clone(),
                view.state.clone(),
                view.in_progress.to_string(),
                view.operator.clone(),
            ]
        })
        .collect();
    print(options.json, &stops, &["kind", "name", "state", "requests", "operator"], rows);
}

/// Runs an `actions` subcommand and prints the actions whose outcome is still unknown.
pub async fn actions(options: &CtlOptions, actions: &Actions) -> Result<(), CtlError> {
    let client = ControlClient::new(options)?;
    let views: Vec<ActionView> = match &actions.subcommand {
        ActionsCmd::Unresolved(_) => client.get(ACTIONS_PATH).await?,
        ActionsCmd::Resolve(resolve) => {
            let ran = match resolve.outcome.as_str() {
                "ran" => true,
                "not-run" => false,
                other => {
                    let message = format!("{other:?} is not accepted; write ran or not-run.");
                    return Err(CtlError::Usage(message));
                }
            };
            let resolution = ActionResolution {
                operator: options.operator.clone(),
                workspace: resolve.workspace.clone(),
                service: resolve.service.clone(),
                key: resolve.key.clone(),
                ran,
            };
            client.post(ACTIONS_PATH, &resolution).await?
        }
    };
    let rows = views
        .iter()
        .map(|view| {
            vec![
                view.workspace.clone(),
                view.service.clone(),
                view.path.clone(),
                view.key.clone(),
                format!("{}.{}", view.token.term, view.token.number),
                view.router.clone(),
                view.time_ms.to_string(),
            ]
        })
        .collect();
    let header = ["workspace", "service", "path", "key", "token", "router", "claimed ms"];
    print(options.json, &views, &header, rows);
    Ok(())
}

/// Prints the voters and learners of the controllers' replicated log.
pub async fn controllers(options: &CtlOptions) -> Result<(), CtlError> {
    let view: MembersView = ControlClient::new(options)?.get(MEMBERS_PATH).await?;
    print_members(options, &view);
    Ok(())
}

/// Permanently removes a controller from the replicated log and prints the remaining ones.
pub async fn remove_controller(
    options: &CtlOptions,
    remove: &RemoveController,
) -> Result<(), CtlError> {
    let edit =
        MemberEdit { operator: options.operator.clone(), name: remove.name.clone(), address: None };
    let view: MembersView = ControlClient::new(options)?.post(MEMBERS_PATH, &edit).await?;
    print_members(options, &view);
    Ok(())
}

fn print_members(options: &CtlOptions, view: &MembersView) {
    let row = |kind: &str, name: &String| vec![name.clone(), kind.to_owned()];
    let mut rows: Vec<Vec<String>> = view.voters.iter().map(|name| row("voter", name)).collect();
    rows.extend(view.learners.iter().map(|name| row("learner", name)));
    print(options.json, view, &["controller", "role"], rows);
}

/// Permanently removes all incarnations of a node up to the given one.
pub async fn remove_node(options: &CtlOptions, remove: &RemoveNode) -> Result<(), CtlError> {
    let removal = NodeRemoval {
        operator: options.operator.clone(),
        name: remove.name.clone(),
        incarnation: remove.incarnation,
    };
    let _: serde_json::Value = ControlClient::new(options)?.post(NODES_PATH, &removal).await?;
    println!("removed {} up to incarnation {}", removal.name, removal.incarnation);
    Ok(())
}
