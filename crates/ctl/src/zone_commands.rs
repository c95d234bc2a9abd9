//! Commands that evacuate availability zones.

use crate::cli::Zone;
use crate::control_client::ControlClient;
use crate::error::CtlError;
use crate::options::CtlOptions;
use crate::output::{print_json, table_text};
use baobabfall_node::operator_messages::{EvacuationsView, ZONES_PATH, ZoneEdit, ZoneView};

/// Runs a `zone` subcommand and prints the zones.
pub async fn run(options: &CtlOptions, zone: &Zone) -> Result<(), CtlError> {
    let client = ControlClient::new(options)?;
    let edit = |name: &str, evacuated| ZoneEdit {
        operator: options.operator.clone(),
        name: name.to_owned(),
        evacuated,
    };
    let view: EvacuationsView = match (zone.order.as_str(), &zone.name) {
        ("evacuate", Some(name)) => client.post(ZONES_PATH, &edit(name, true)).await?,
        ("readmit", Some(name)) => client.post(ZONES_PATH, &edit(name, false)).await?,
        ("list", None) => client.get(ZONES_PATH).await?,
        _ => {
            let message = "Write zone evacuate NAME, zone readmit NAME or zone list.";
            return Err(CtlError::Usage(message.to_owned()));
        }
    };
    print_zones(options, &view);
    Ok(())
}

fn print_zones(options: &CtlOptions, view: &EvacuationsView) {
    if options.json {
        print_json(view);
        return;
    }
    println!("version {}", view.version);
    let row = |zone: &ZoneView| {
        let state = if zone.evacuated { "evacuated" } else { "open" };
        vec![zone.name.clone(), state.to_owned(), zone.upstreams.to_string()]
    };
    let rows: Vec<Vec<String>> = view.zones.iter().map(row).collect();
    print!("{}", table_text(&["zone", "state", "upstreams"], &rows));
}
