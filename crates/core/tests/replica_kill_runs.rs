//! Randomised simulations of replicas with crashes, partitions, lost disks and a lossy
//! network.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod replica_sim;

use replica_sim::{Sim, SimFaults};

/// Number of runs, with the seeds 0 to `RUNS - 1`.
const RUNS: u64 = 1000;
const THREADS: u64 = 4;
/// Number of runs in which the hosts of leaders are suspended as well.
const SUSPENDED_RUNS: u64 = 300;

/// Coverage of a run: acknowledged edits, highest term, installed snapshots and lost
/// disks.
type Coverage = [u64; 4];

fn kill_faults(seed: u64, suspend_permille: u64) -> SimFaults {
    SimFaults {
        loss_permille: 10 + seed % 150,
        fault_permille: 3 + seed % 12,
        suspend_permille,
        pass_permille: 0,
    }
}

fn run_seed(seed: u64) -> Coverage {
    let count = if seed.is_multiple_of(5) { 5 } else { 3 };
    let mut sim = Sim::new(seed, count, kill_faults(seed, 0));
    sim.run(10_000);
    sim.heal();
    sim.run(5_000);
    sim.check_final();
    let terms = sim.nodes.iter().map(|node| node.durable.term_vote.term).max().unwrap();
    let count = |number: usize| u64::try_from(number).unwrap();
    [
        count(sim.acknowledged_edits.len()),
        terms,
        count(sim.installed_snapshots),
        count(sim.lost_disks),
    ]
}

/// Guards against lost acknowledged edits, diverging logs, reads of older revisions,
/// edits that take effect twice, claims granted twice and two leases at once. They
/// could come about by crashes that lose or truncate unsynced writes, lost disks,
/// partitions, different clock rates, and lost, duplicated, late or reordered messages.
#[test]
fn kill_run_keeps_guarantees() {
    let totals = run_seeds(RUNS, run_seed);
    let total = |column: usize| totals.iter().map(|run| run[column]).sum::<u64>();
    let covered = [total(0), total(1), total(2), total(3)];
    println!("acknowledged edits, terms, installed snapshots, lost disks: {covered:?}");
    // Without these minimums, runs in which little happens would pass.
    let minimum = [30_000, 2_000, 1_000, 300];
    assert!(covered.iter().zip(minimum).all(|(value, minimum)| *value >= minimum), "{covered:?}");
}

/// Runs the seeds in `0..count` on several threads; the message of a failure contains
/// its seed.
fn run_seeds<T: Send>(count: u64, run: fn(u64) -> T) -> Vec<T> {
    let run_named = move |seed: u64| {
        std::panic::catch_unwind(|| run(seed)).unwrap_or_else(|_| panic!("seed {seed} failed"))
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|thread| {
                let seeds = (0..count).filter(move |seed| seed % THREADS == thread);
                scope.spawn(move || seeds.map(run_named).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    })
}

/// Runs a seed in which hosts of leaders are suspended. Returns the number of
/// suspensions and of acknowledged edits.
fn run_suspended(seed: u64) -> [usize; 2] {
    let mut sim = Sim::new(seed, 3, kill_faults(seed, 4));
    sim.run(10_000);
    sim.heal();
    sim.run(5_000);
    sim.check_final();
    [sim.suspensions, sim.acknowledged_edits.len()]
}

/// Guards against stale reads at a leader whose host was suspended: the clock of its
/// lease stands still meanwhile, so it may miss that another leader was elected.
#[test]
fn suspended_run_reads_current_state() {
    let totals = run_seeds(SUSPENDED_RUNS, run_suspended);
    let covered = [0, 1].map(|column| totals.iter().map(|run| run[column]).sum::<usize>());
    assert!(covered[0] >= 600 && covered[1] >= 6_000, "suspensions and edits: {covered:?}");
}

/// Runs a seed in which leaders pass the lead on, also while hosts of leaders are suspended. Returns
/// the number of passed leads and of acknowledged edits.
fn run_passing(seed: u64) -> [usize; 2] {
    let faults = SimFaults { pass_permille: 20, ..kill_faults(seed, seed % 2 * 4) };
    let mut sim = Sim::new(seed, 3 + 2 * usize::from(seed.is_multiple_of(4)), faults);
    sim.run(10_000);
    sim.heal();
    sim.run(5_000);
    sim.check_final();
    [sim.passed_leads, sim.acknowledged_edits.len()]
}

/// Guards against two leases at once and against lost edits when the lead is passed on: the votes
/// for the successor don't wait until the lease of its predecessor has run out.
#[test]
fn passing_run_keeps_guarantees() {
    let totals = run_seeds(SUSPENDED_RUNS, run_passing);
    let covered = [0, 1].map(|column| totals.iter().map(|run| run[column]).sum::<usize>());
    assert!(covered[0] >= 1_000 && covered[1] >= 6_000, "passed leads and edits: {covered:?}");
}
