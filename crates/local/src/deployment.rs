//! The example deployments.

/// Number of controllers and of routers, one in each availability zone.
pub const ZONES: usize = 3;

/// Sizes and names of one example deployment.
#[derive(Clone, Copy, Debug)]
pub struct ExampleDeployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; ZONES],
    /// Table of workspaces as CSV.
    pub table: &'static str,
    /// Models; engine `i` serves model `i mod n`.
    pub models: &'static [&'static str],
    /// Number of model engines.
    pub engines: usize,
    /// Name of the plain service.
    pub service: &'static str,
    /// Number of workers of the plain service.
    pub workers: usize,
    /// Protected actions of the service.
    pub protected: &'static [&'static str],
    /// Workspace that the printed examples use.
    pub workspace: &'static str,
}

/// Every example deployment.
pub const DEPLOYMENTS: [ExampleDeployment; 2] = [
    ExampleDeployment {
        name: "lindqvist",
        zones: ["se-a", "se-b", "se-c"],
        table: include_str!("../../../examples/lindqvist/workspaces.csv"),
        models: &["dossier-large", "dealer-chat"],
        engines: 9,
        service: "cases",
        workers: 3,
        protected: &["POST /decisions", "POST /payouts"],
        workspace: "grants-north",
    },
    ExampleDeployment {
        name: "pasar-bersama",
        zones: ["jb-a", "jb-b", "jb-c"],
        table: include_str!("../../../examples/pasar-bersama/workspaces.csv"),
        models: &["price-sheets", "counter-chat"],
        engines: 18,
        service: "prices",
        workers: 3,
        protected: &["POST /prices", "POST /credits"],
        workspace: "wholesaler-asep",
    },
];

/// Looks a deployment up by name.
///
/// ```
/// use baobabfall_local::deployment::find_deployment;
/// assert_eq!(find_deployment("lindqvist").unwrap().engines, 9);
/// assert!(find_deployment("other").is_none());
/// ```
pub fn find_deployment(name: &str) -> Option<&'static ExampleDeployment> {
    DEPLOYMENTS.iter().find(|deployment| deployment.name == name)
}
