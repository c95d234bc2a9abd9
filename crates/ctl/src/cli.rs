//! Commands and flags of `baobabctl`.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    src "./src/cli.rs"

    /// Command-line tool for operators of a baobabfall fleet.
    ///
    /// Exit codes: 0 success, 2 invalid usage, 3 credential rejected, 4 not found,
    /// 8 no quorum, 9 edit or table rejected, 14 no controller reachable,
    /// 15 the time limit of a waiting command passed.
    cmd baobabctl {
        /// Address of a controller, repeatable. Example: --controller 127.0.0.1:7400
        repeated -c, --controller address: SocketAddr
        /// File with the operator credential.
        optional --credential path: PathBuf
        /// Operator name recorded with edits (default: the login name).
        optional --operator name: String
        /// Prints one line of JSON instead of a table.
        optional --json

        /// Manages the workspace table.
        cmd table {
            /// Checks a CSV file and lists every error. Example: baobabctl table check workspaces.csv
            cmd check {
                required file: PathBuf
            }
            /// Shows what applying a CSV file would change. Example: baobabctl table diff workspaces.csv
            cmd diff {
                required file: PathBuf
            }
            /// Applies a CSV file. Example: baobabctl table apply workspaces.csv --wait
            cmd apply {
                required file: PathBuf
                /// Revision that the file is based on (default: the current revision).
                optional --base revision: u64
                /// Edit id. Reuse it to resend an edit whose response was lost.
                optional --edit-id id: String
                /// Waits until the edit is in force at every node; lists the nodes that lag if the time limit passes.
                optional --wait
                /// Time limit of --wait (default 30s).
                optional --timeout duration: String
            }
            /// Shows the current table. Example: baobabctl table show
            cmd show {}
            /// Writes the current table as CSV. Example: baobabctl table export > workspaces.csv
            cmd export {}
            /// Lists accepted edits, newest last. Example: baobabctl table history
            cmd history {}
            /// Creates a new revision with the content of an earlier one. Example: baobabctl table rollback 12
            cmd rollback {
                required revision: u64
                /// Edit id. Reuse it to resend a rollback whose response was lost.
                optional --edit-id id: String
            }
        }
        /// Handles the API keys of callers.
        cmd key {
            /// Prints the hash of the key read from standard input. Example: printf %s "$KEY" | baobabctl key hash
            cmd hash {}
        }
        /// Shows the leader, term, table revision and every node. Example: baobabctl status
        cmd status {}
        /// Shows the backlog and the service received per workspace. Example: baobabctl workspaces
        cmd workspaces {}
        /// Lists the announced upstreams. Example: baobabctl upstreams
        cmd upstreams {}
        /// Shows the fairness gap and its bound per pool. Example: baobabctl fairness
        cmd fairness {}
        /// Manages planned stops.
        cmd stop {
            /// Announces a planned stop of a host, upstream, router or controller.
            /// Example: baobabctl stop announce upstream engine-1 --limit 10m --wait
            cmd announce {
                required kind: String
                required name: String
                /// Time limit for running requests; after it, an operator has to decide how to proceed.
                optional --limit duration: String
                /// Waits until no request is running there any more.
                optional --wait
            }
            /// Cancels an announced stop. Example: baobabctl stop cancel upstream engine-1
            cmd cancel {
                required kind: String
                required name: String
            }
            /// Lists announced stops with their progress. Example: baobabctl stop list
            cmd list {}
        }
        /// Evacuates an availability zone, so that its upstreams get no new requests, or readmits it.
        /// Examples: baobabctl zone evacuate east-1; baobabctl zone readmit east-1; baobabctl zone list
        cmd zone {
            /// `evacuate`, `readmit` or `list`.
            required order: String
            /// Name of the zone, unless the zones are listed.
            optional name: String
        }
        /// Manages protected actions.
        cmd actions {
            /// Lists actions whose outcome is unknown. Example: baobabctl actions unresolved
            cmd unresolved {}
            /// Records the outcome of an action as determined by an operator. Example: baobabctl actions resolve team-a cases 20261203-77 ran
            cmd resolve {
                required workspace: String
                required service: String
                required key: String
                /// `ran` or `not-run`.
                required outcome: String
            }
        }
        /// Merges the log lines of a request from several files. Example: baobabctl explain 9c41d07b logs/*
        cmd explain {
            /// Id of the request.
            required id: String
            /// Log file, repeatable.
            repeated file: PathBuf
        }
        /// Lists the controllers of the replicated log. Example: baobabctl controllers
        cmd controllers {}
        /// Permanently removes a controller. Example: baobabctl remove-controller controller-3
        cmd remove-controller {
            required name: String
        }
        /// Permanently removes a node up to an incarnation. Example: baobabctl remove-node router-4 1764793000000
        cmd remove-node {
            required name: String
            required incarnation: u64
        }
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Baobabctl {
    pub controller: Vec<SocketAddr>,
    pub credential: Option<PathBuf>,
    pub operator: Option<String>,
    pub json: bool,
    pub subcommand: BaobabctlCmd,
}

#[derive(Debug)]
pub enum BaobabctlCmd {
    Table(Table),
    Key(Key),
    Status(Status),
    Workspaces(Workspaces),
    Upstreams(Upstreams),
    Fairness(Fairness),
    Stop(Stop),
    Zone(Zone),
    Actions(Actions),
    Explain(Explain),
    Controllers(Controllers),
    RemoveController(RemoveController),
    RemoveNode(RemoveNode),
}

#[derive(Debug)]
pub struct Table {
    pub subcommand: TableCmd,
}

#[derive(Debug)]
pub enum TableCmd {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
    Export(Export),
    History(History),
    Rollback(Rollback),
}

#[derive(Debug)]
pub struct Check {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Diff {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Apply {
    pub file: PathBuf,

    pub base: Option<u64>,
    pub edit_id: Option<String>,
    pub wait: bool,
    pub timeout: Option<String>,
}

#[derive(Debug)]
pub struct Show;

#[derive(Debug)]
pub struct Export;

#[derive(Debug)]
pub struct History;

#[derive(Debug)]
pub struct Rollback {
    pub revision: u64,

    pub edit_id: Option<String>,
}

#[derive(Debug)]
pub struct Key {
    pub subcommand: KeyCmd,
}

#[derive(Debug)]
pub enum KeyCmd {
    Hash(Hash),
}

#[derive(Debug)]
pub struct Hash;

#[derive(Debug)]
pub struct Status;

#[derive(Debug)]
pub struct Workspaces;

#[derive(Debug)]
pub struct Upstreams;

#[derive(Debug)]
pub struct Fairness;

#[derive(Debug)]
pub struct Stop {
    pub subcommand: StopCmd,
}

#[derive(Debug)]
pub enum StopCmd {
    Announce(Announce),
    Cancel(Cancel),
    List(List),
}

#[derive(Debug)]
pub struct Announce {
    pub kind: String,
    pub name: String,

    pub limit: Option<String>,
    pub wait: bool,
}

#[derive(Debug)]
pub struct Cancel {
    pub kind: String,
    pub name: String,
}

#[derive(Debug)]
pub struct List;

#[derive(Debug)]
pub struct Zone {
    pub order: String,
    pub name: Option<String>,
}

#[derive(Debug)]
pub struct Actions {
    pub subcommand: ActionsCmd,
}

#[derive(Debug)]
pub enum ActionsCmd {
    Unresolved(Unresolved),
    Resolve(Resolve),
}

#[derive(Debug)]
pub struct Unresolved;

#[derive(Debug)]
pub struct Resolve {
    pub workspace: String,
    pub service: String,
    pub key: String,
    pub outcome: String,
}

#[derive(Debug)]
pub struct Explain {
    pub id: String,
    pub file: Vec<PathBuf>,
}

#[derive(Debug)]
pub struct Controllers;

#[derive(Debug)]
pub struct RemoveController {
    pub name: String,
}

#[derive(Debug)]
pub struct RemoveNode {
    pub name: String,
    pub incarnation: u64,
}

impl Baobabctl {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
