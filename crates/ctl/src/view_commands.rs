//! Commands that display the state of the fleet.

use crate::control_client::ControlClient;
use crate::error::CtlError;
use crate::options::CtlOptions;
use crate::output::{print, print_json, table_text};
use baobabfall_node::operator_messages::{
    FAIRNESS_PATH, FairnessView, UPSTREAMS_PATH, UpstreamView, WORKSPACES_PATH, WorkspaceView,
};

/// Prints the leader, term, table revision and nodes.
pub async fn status(options: &CtlOptions) -> Result<(), CtlError> {
    let view = ControlClient::new(options)?.status().await?;
    if options.json {
        print_json(&view);
        return Ok(());
    }
    let quorum = if view.quorum { "quorum" } else { "no quorum" };
    let leader = view.leader.as_deref().unwrap_or("none");
    println!(
        "leader {leader}, term {}, {quorum}, revision {}, log index {}, unresolved actions {}",
        view.term, view.revision, view.committed, view.unresolved_actions
    );
    println!("voters: {}; learners: {}", view.voters.join(" "), view.learners.join(" "));
    let rows: Vec<Vec<String>> = view
        .nodes
        .iter()
        .map(|node| {
            vec![
                node.name.clone(),
                node.kind.clone(),
                node.zone.clone(),
                node.revision.to_string(),
                seconds(node.revision_age_ms),
                seconds(node.silent_ms),
                node.in_progress.to_string(),
                node.incarnation.to_string(),
            ]
        })
        .collect();
    let header =
        ["node", "kind", "zone", "revision", "since s", "silent s", "requests", "incarnation"];
    print!("{}", table_text(&header, &rows));
    Ok(())
}

fn seconds(ms: u64) -> String {
    format!("{}.{}", ms / 1000, ms % 1000 / 100)
}

/// Prints the backlog and the service received per workspace and pool.
pub async fn workspaces(options: &CtlOptions) -> Result<(), CtlError> {
    let views: Vec<WorkspaceView> = ControlClient::new(options)?.get(WORKSPACES_PATH).await?;
    let rows = views
        .iter()
        .map(|view| {
            vec![
                view.name.clone(),
                view.pool.clone(),
                view.weight.to_string(),
                view.queued.to_string(),
                view.running.to_string(),
                (view.service / 1000).to_string(),
            ]
        })
        .collect();
    let header = ["workspace", "pool", "weight", "queued", "running", "tokens served"];
    print(options.json, &views, &header, rows);
    Ok(())
}

/// Prints the announced upstreams.
pub async fn upstreams(options: &CtlOptions) -> Result<(), CtlError> {
    let views: Vec<UpstreamView> = ControlClient::new(options)?.get(UPSTREAMS_PATH).await?;
    let rows = views
        .iter()
        .map(|view| {
            vec![
                view.name.clone(),
                match view.cold_ms {
                    Some(cold_ms) if view.state == "cold" => format!("cold {cold_ms} ms"),
                    _ => view.state.clone(),
                },
                view.pool.clone(),
                view.serves.join(" "),
                view.zone.clone(),
                view.address.clone(),
                format!("{}/{}", view.running, view.slots),
                if view.honours_fencing { "yes" } else { "no" }.to_owned(),
            ]
        })
        .collect();
    let header = ["upstream", "state", "pool", "serves", "zone", "address", "slots", "fencing"];
    print(options.json, &views, &header, rows);
    Ok(())
}

/// Prints the fairness gap and its bound per pool.
pub async fn fairness(options: &CtlOptions) -> Result<(), CtlError> {
    let views: Vec<FairnessView> = ControlClient::new(options)?.get(FAIRNESS_PATH).await?;
    let rows = views
        .iter()
        .map(|view| {
            vec![
                view.pool.clone(),
                view.backlogged.to_string(),
                format!("{:.1}", view.gap),
                format!("{:.1}", view.bound),
            ]
        })
        .collect();
    let header = ["pool", "backlogged", "gap tokens/weight", "bound tokens/weight"];
    print(options.json, &views, &header, rows);
    Ok(())
}
