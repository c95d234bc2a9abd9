//! Random runs of replicas under crashes, partitions and a lossy network.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod replica_sim;

use replica_sim::{Sim, SimFaults};

/// Runs whose seeds are in 0..this, spread over threads.
const RUNS: u64 = 1000;
const THREADS: u64 = 4;
/// Runs in which hosts of leaders are suspended as well.
const SUSPENDED_RUNS: u64 = 300;

/// What a run covered: acknowledged edits, terms, snapshots installed and
/// disks lost.
type Coverage = [u64; 4];

fn kill_faults(seed: u64, suspend: u64) -> SimFaults {
    SimFaults { loss: 10 + seed % 150, chaos: 3 + seed % 12, suspend }
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
    [count(sim.acked.len()), terms, count(sim.restores), count(sim.lost_disks)]
}

/// Guards against lost acknowledged edits, diverging histories, revisions that
/// go back, edits with two effects, claims granted twice and two leases at
/// once, under crashes that lose and tear unsynced writes, lost disks,
/// partitions, clocks of different rates and lost, doubled, late and reordered
/// messages.
#[test]
fn kill_run_keeps_every_promise() {
    let totals = play_seeds(RUNS, run_seed);
    let total = |place: usize| totals.iter().map(|run| run[place]).sum::<u64>();
    let covered = [total(0), total(1), total(2), total(3)];
    println!("acknowledged edits, terms, installed snapshots, lost disks: {covered:?}");
    // Runs in which little happens would prove nothing.
    let least = [30_000, 2_000, 1_000, 300];
    assert!(covered.iter().zip(least).all(|(held, least)| *held >= least), "{covered:?}");
}

/// Plays the seeds 0..count on several threads; a failure names its seed.
fn play_seeds<T: Send>(count: u64, run: fn(u64) -> T) -> Vec<T> {
    let named = move |seed: u64| {
        std::panic::catch_unwind(|| run(seed)).unwrap_or_else(|_| panic!("seed {seed} failed"))
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|thread| {
                let seeds = (0..count).filter(move |seed| seed % THREADS == thread);
                scope.spawn(move || seeds.map(named).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
    })
}

/// Suspensions and acknowledged edits of a run in which leaders are suspended.
fn run_suspended(seed: u64) -> [usize; 2] {
    let mut sim = Sim::new(seed, 3, kill_faults(seed, 4));
    sim.run(10_000);
    sim.heal();
    sim.run(5_000);
    sim.check_final();
    [sim.suspensions, sim.acked.len()]
}

/// Guards against a leader that answers reads with an older state after its host
/// was suspended, because the clock of its lease stood still meanwhile.
#[test]
fn suspended_run_reads_current_state() {
    let totals = play_seeds(SUSPENDED_RUNS, run_suspended);
    let covered = [0, 1].map(|place| totals.iter().map(|run| run[place]).sum::<usize>());
    assert!(covered[0] >= 600 && covered[1] >= 6_000, "suspensions and edits: {covered:?}");
}
