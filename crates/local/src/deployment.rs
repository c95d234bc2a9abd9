//! Built-in example deployments that the local fleet can run.

/// Number of availability zones; each has one controller and one router.
pub const ZONES: usize = 3;

/// Names, sizes and workspace table of one example deployment.
#[derive(Clone, Copy, Debug)]
pub struct ExampleDeployment {
    /// Name that selects the deployment on the command line.
    pub name: &'static str,
    /// Names of the availability zones.
    pub zones: [&'static str; ZONES],
    /// Workspace table in CSV format.
    pub table: &'static str,
    /// Names of the models, assigned to the engines in rotation: engine `i`, counted from 0, serves
    /// model `i % models.len()`.
    pub models: &'static [&'static str],
    /// Number of simulated model engines.
    pub engines: usize,
    /// Name of the plain service.
    pub service: &'static str,
    /// Number of simulated upstreams that serve the plain service.
    pub workers: usize,
    /// Protected actions of the service, each as method and path.
    pub protected: &'static [&'static str],
    /// Workspace whose key the printed example requests use.
    pub workspace: &'static str,
}

/// All example deployments; the first is the default.
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

/// Finds an example deployment by name.
///
/// ```
/// use baobabfall_local::deployment::find_deployment;
/// assert_eq!(find_deployment("lindqvist").unwrap().engines, 9);
/// assert!(find_deployment("other").is_none());
/// ```
pub fn find_deployment(name: &str) -> Option<&'static ExampleDeployment> {
    DEPLOYMENTS.iter().find(|deployment| deployment.name == name)
}
