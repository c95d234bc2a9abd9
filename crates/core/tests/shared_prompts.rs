//! Tests of the placement of shared prefixes under load: how many of their tokens engines read
//! again, and how many callers get their first token in time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::sorted_map::SortedMap;
use dispatch_fleet::*;
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

const STEP_MS: u64 = 5;
/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: u64 = 40;
/// Time for which a request runs after its first token.
const ANSWER_MS: u64 = 150;
const OBJECTIVE_MS: u64 = 600;
/// Time after which a waiting request is given up.
const PATIENCE_MS: u64 = 500;
const SUBJECTS: usize = 90;
const ENGINES: usize = 9;
const ROUTERS: usize = 4;

#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    prompt: PromptSummary,
}

struct Reading {
    router: usize,
    grant: SlotGrant,
    arrival: Arrival,
    granted_at: u64,
    /// Tokens that are still to be read.
    left: u64,
}

/// An engine that reads prompts one after another and keeps every prefix that it has read.
#[derive(Default)]
struct FakeEngine {
    queue: VecDeque<Reading>,
    held: SortedMap<u64, ()>,
}

/// A router with one queue.
struct FakeRouter {
    protocol: ManualRouter,
    workspace: String,
    queue: VecDeque<Arrival>,
    usage: Vec<LeaseUsage>,
    /// Requests that answer, with the time of their ends.
    answering: Vec<(u64, SlotGrant)>,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u64,
    in_time: u64,
    shared: u64,
    read_again: u64,
}

struct Fleet {
    dispatcher: SlotDispatcher,
    term: u64,
    engines: Vec<FakeEngine>,
    routers: Vec<FakeRouter>,
    rng: SeededRng,
    outcome: Outcome,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let routers = (0..ROUTERS).map(|number| FakeRouter {
            protocol: ManualRouter::new(&format!("r{number}")),
            workspace: format!("w{number}"),
            queue: VecDeque::new(),
            usage: Vec::new(),
            answering: Vec::new(),
        });
        Self {
            dispatcher: Self::dispatcher(1),
            term: 1,
            engines: (0..ENGINES).map(|_| FakeEngine::default()).collect(),
            routers: routers.collect(),
            rng: SeededRng::new(seed),
            outcome: Outcome::default(),
        }
    }

    fn dispatcher(term: u64) -> SlotDispatcher {
        let rows: Vec<_> = (0..ROUTERS).map(|n| row(&format!("w{n}"), 1, 9_999)).collect();
        let engines: Vec<_> = (0..ENGINES).map(|n| engine(&format!("e{n}"), &["m"], 64)).collect();
        ready_in_term(term, DispatchSettings::default(), &rows, &engines)
    }

    /// Replaces the dispatcher by one of the next term, which knows only what the routers report.
    fn lose_leader(&mut self) {
        self.term += 1;
        self.dispatcher = Self::dispatcher(self.term);
        for router in &mut self.routers {
            router.protocol.term = self.term;
            router.protocol.full = true;
            router.protocol.received = 0;
        }
    }

    /// Plays `from..until`, in milliseconds, with about `load` hundredths of the tokens that the
    /// engines can read without any prefix that they hold.
    fn play(&mut self, from: u64, until: u64, load: u64) {
        let engines = u64::try_from(ENGINES).unwrap();
        for at in (from..until).step_by(usize::try_from(STEP_MS).unwrap()) {
            // An own part has 1,500 tokens in the mean.
            let requests = engines * READ_RATE * STEP_MS * load / 100 * 64 / 1_500;
            let odd = u64::try_from(self.rng.below(64)).unwrap();
            for _ in 0..(requests + odd) / 64 {
                self.arrive(at);
            }
            self.read(at);
            self.exchange(at);
        }
    }

    fn arrive(&mut self, at: u64) {
        let subject = self.rng.below(SUBJECTS).min(self.rng.below(SUBJECTS));
        let prefix = u64::try_from(subject).unwrap() + 1;
        let own = 500 + u32::try_from(self.rng.below(2_000)).unwrap();
        let shared = 1_000 + u32::try_from(prefix * 997 % 6_000).unwrap();
        let prompt =
            PromptSummary { prefix: Some(prefix), shared, own, target_ms: 300, cost: 1_000 };
        let router = self.rng.below(ROUTERS);
        self.routers[router].queue.push_back(Arrival { at, prompt });
        self.outcome.asked += 1;
    }

    fn read(&mut self, at: u64) {
        for engine in &mut self.engines {
            let mut budget = READ_RATE * STEP_MS;
            while let Some(reading) = engine.queue.front_mut() {
                let part = reading.left.min(budget);
                reading.left -= part;
                budget -= part;
                if reading.left > 0 {
                    break;
                }
                let reading = engine.queue.pop_front().unwrap();
                let waited = u32::try_from(at - reading.granted_at).unwrap();
                let router = &mut self.routers[reading.router];
                let token =
                    LeaseUsage { first_token_ms: Some(waited), ..usage(&reading.grant, 10, None) };
                router.usage.push(token);
                router.answering.push((at + ANSWER_MS, reading.grant));
                let in_time = at - reading.arrival.at <= OBJECTIVE_MS;
                self.outcome.in_time += u64::from(in_time);
            }
        }
    }

    fn exchange(&mut self, at: u64) {
        let now = Duration::from_millis(at);
        for index in 0..ROUTERS {
            let router = &mut self.routers[index];
            router.queue.retain(|arrival| at < arrival.at + PATIENCE_MS);
            let ended = router.answering.extract_if(.., |(end, _)| *end <= at);
            let ended: Vec<_> = ended.collect();
            for (_, grant) in ended {
                router.usage.push(usage(&grant, 20, Some(LeaseEnd::Finished)));
            }
            let prompts = router.queue.iter().take(MAX_PROMPTS_PER_ENTRY);
            let entry = BacklogEntry {
                prompts: prompts.map(|arrival| arrival.prompt).collect(),
                ..entry(&router.workspace, u32::try_from(router.queue.len()).unwrap(), 1_000)
            };
            let mut reported = std::mem::take(&mut router.usage);
            if router.protocol.full {
                let running = self.engines.iter().flat_map(|engine| &engine.queue);
                let running = running.filter(|reading| reading.router == index);
                reported.extend(running.map(|reading| usage(&reading.grant, 0, None)));
                let answering = router.answering.iter();
                reported.extend(answering.map(|(_, grant)| usage(grant, 10, None)));
            }
            let report = router.protocol.report(vec![entry], reported);
            assert!(self.dispatcher.apply_report(now, &report));
        }
        self.dispatcher.dispatch(now);
        for index in 0..ROUTERS {
            for grant in self.routers[index].protocol.receive(now, &mut self.dispatcher) {
                self.start(at, index, grant);
            }
        }
    }

    fn start(&mut self, at: u64, router: usize, grant: SlotGrant) {
        let Some(arrival) = self.routers[router].queue.pop_front() else {
            self.routers[router].usage.push(usage(&grant, 0, Some(LeaseEnd::Unused)));
            return;
        };
        let prefix = arrival.prompt.prefix.unwrap();
        let engine = grant.upstream.name[1..].parse::<usize>().unwrap();
        let shared = u64::from(arrival.prompt.shared);
        let held_elsewhere = self.engines.iter().any(|other| other.held.contains_key(&prefix));
        let is_held = self.engines[engine].held.insert(prefix, ()).is_some();
        self.outcome.shared += shared;
        if held_elsewhere && !is_held {
            self.outcome.read_again += shared;
        }
        let left = u64::from(arrival.prompt.own) + if is_held { 0 } else { shared };
        let reading = Reading { router, grant, arrival, granted_at: at, left };
        self.engines[engine].queue.push_back(reading);
    }
}

/// Sums of the outcomes over several seeds.
fn sum_outcomes(play: impl Fn(&mut Fleet)) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=8 {
        let mut fleet = Fleet::new(seed);
        play(&mut fleet);
        sum.asked += fleet.outcome.asked;
        sum.in_time += fleet.outcome.in_time;
        sum.shared += fleet.outcome.shared;
        sum.read_again += fleet.outcome.read_again;
    }
    println!("{sum:?}");
    sum
}

/// Guards against prefixes that spread over the engines when their holders are busy: each copy
/// takes reading time from requests that wait, and so makes further holders busy.
#[test]
fn dispatch_busy_holders_keep_prefixes() {
    let counted = Cell::new(0);
    let Outcome { asked, in_time, shared, read_again } = sum_outcomes(|fleet| {
        fleet.play(0, 4_000, 70);
        fleet.play(4_000, 10_000, 105);
        fleet.play(10_000, 14_000, 70);
        let load = fleet.dispatcher.take_load(Duration::from_millis(14_000));
        counted.set(counted.get() + load.prefixes.read_again());
        assert!(load.memory.tokens > load.memory.shared && load.memory.shared > 0);
    });
    assert!(read_again * 100 < shared * 3, "{read_again} of {shared} shared tokens read again");
    assert!(in_time * 100 > asked * 80, "{in_time} of {asked} in time");
    assert_eq!(counted.get(), read_again, "tokens in the line prefixes_placed");
}

/// Guards against reading all prefixes again when the leader is lost under load: its successor
/// has no hints, and few engines have room for its first choices.
#[test]
fn dispatch_leader_lost_keeps_prefixes() {
    let Outcome { asked, in_time, shared, read_again } = sum_outcomes(|fleet| {
        fleet.play(0, 4_000, 70);
        fleet.play(4_000, 7_000, 100);
        fleet.outcome = Outcome::default();
        fleet.lose_leader();
        fleet.play(7_000, 10_000, 100);
    });
    assert!(read_again * 100 < shared * 6, "{read_again} of {shared} shared tokens read again");
    assert!(in_time * 100 > asked * 50, "{in_time} of {asked} in time");
}
