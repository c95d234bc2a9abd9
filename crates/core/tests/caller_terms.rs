//! Plays load above the capacity of a pool against the waits of requests, the order in which the
//! dispatcher grants slots, and the times after which refused callers return.

mod dispatch_fleet;

use baobabfall_core::caller_terms::CallerTerms;
use baobabfall_core::dispatch_messages::{BacklogEntry, LeaseEnd, LeaseUsage, SlotGrant};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::queue_gate::QueueGate;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use dispatch_fleet::*;
use std::time::Duration;

const ROUTERS: usize = 4;
/// Slots and the time for which a request holds one: 200 requests a second.
const SLOTS: u32 = 20;
const HOLD: Duration = ms(100);
const CAPACITY: u64 = 200;
const FIRST_EVENT: Duration = ms(50);
const STEP_MS: u64 = 5;
/// Workspaces and the percentage of the requests that each sends. The second one stays below an
/// equal share.
const WORKSPACES: [(&str, u64); 2] = [("large", 80), ("small", 20)];
const OBJECTIVE: Duration = ms(400);
const PATIENCE: Duration = ms(6_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Every request waits two fifths of its objective and every refused caller returns after 300
    /// to 600 ms, ahead of those who ask for the first time if it asked earlier.
    Uniform,
    Terms,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    workspace: usize,
    asked_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    caller: Caller,
    terms: CallerTerms,
    late: bool,
    until: Duration,
}

/// What the callers of one workspace got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    in_time: u64,
    late: u64,
    lost: u64,
}

impl Outcome {
    fn callers(&self) -> u64 {
        self.in_time + self.late + self.lost
    }
}

struct Host {
    link: ManualRouter,
    queues: [Vec<Waiting>; 2],
    gates: [QueueGate; 2],
    running: Vec<(SlotGrant, Duration)>,
}

struct Play {
    policy: Policy,
    now: Duration,
    dispatcher: SlotDispatcher,
    hosts: Vec<Host>,
    returning: Vec<(Duration, Caller)>,
    rng: SeededRng,
    outcomes: [Outcome; 2],
}

fn dispatcher(term: u64) -> SlotDispatcher {
    let rows = [row("large", 1, 1_000), row("small", 1, 1_000)];
    ready_in_term(term, DispatchSettings::default(), &rows, &[engine("e", &["m"], SLOTS)])
}

impl Play {
    fn new(policy: Policy) -> Self {
        let host = |index| Host {
            link: ManualRouter::new(&format!("r{index}")),
            queues: [Vec::new(), Vec::new()],
            gates: [QueueGate::default(), QueueGate::default()],
            running: Vec::new(),
        };
        Self {
            policy,
            now: ms(0),
            dispatcher: dispatcher(1),
            hosts: (0..ROUTERS).map(host).collect(),
            returning: Vec::new(),
            rng: SeededRng::new(7),
            outcomes: [Outcome::default(); 2],
        }
    }

    /// Runs for `seconds` with a load of `percent` of the capacity, then lets callers return.
    fn run(mut self, seconds: u64, percent: impl Fn(u64) -> u64) -> [Outcome; 2] {
        let mut owed = [0; 2];
        for step in 0..(seconds + 8) * 1_000 / STEP_MS {
            self.now = ms(step * STEP_MS);
            let second = step * STEP_MS / 1_000;
            let percent = if second < seconds { percent(second) } else { 0 };
            for (workspace, (_, share)) in WORKSPACES.iter().enumerate() {
                owed[workspace] += CAPACITY * percent * share * STEP_MS;
                while owed[workspace] >= 10_000_000 {
                    owed[workspace] -= 10_000_000;
                    self.arrive(Caller { workspace, asked_at: self.now });
                }
            }
            let now = self.now;
            let (due, later) = self.returning.iter().partition(|(at, _)| *at <= now);
            self.returning = later;
            let due: Vec<(Duration, Caller)> = due;
            due.into_iter().for_each(|(_, caller)| self.arrive(caller));
            (0..ROUTERS).for_each(|host| self.exchange(host));
        }
        self.outcomes
    }

    fn arrive(&mut self, caller: Caller) {
        let used = self.now - caller.asked_at;
        let terms = CallerTerms { objective: OBJECTIVE, used, left: PATIENCE - used };
        let is_uniform = self.policy == Policy::Uniform;
        let wait = if is_uniform { OBJECTIVE * 2 / 5 } else { terms.longest_wait() };
        let late = !is_uniform && terms.is_late();
        let waiting = Waiting { caller, terms, late, until: self.now + wait };
        let host = self.rng.below(ROUTERS);
        let queue = &mut self.hosts[host].queues[caller.workspace];
        let position = queue.partition_point(|held| held.late <= late);
        queue.insert(position, waiting);
    }

    /// Refuses what has waited too long, and exchanges a report and an answer.
    fn exchange(&mut self, index: usize) {
        let Self { policy, now, dispatcher, hosts, returning, rng, outcomes } = self;
        let (now, host) = (*now, &mut hosts[index]);
        for (queue, gate) in host.queues.iter_mut().zip(&mut host.gates) {
            for expired in queue.extract_if(.., |held| held.until <= now) {
                gate.record_expiry(now);
                if expired.terms.used > ms(0) {
                    outcomes[expired.caller.workspace].lost += 1;
                    continue;
                }
                let shortage = match policy {
                    Policy::Uniform => ms(0),
                    Policy::Terms => gate.shortage_time(now),
                };
                let draw = f64::from(u16::try_from(rng.below(1_000)).unwrap()) / 1_000.0;
                returning.push((now + expired.terms.retry_after(shortage, draw), expired.caller));
            }
        }
        let finished = host.running.extract_if(.., |(_, until)| *until <= now);
        let mut usages: Vec<LeaseUsage> =
            finished.map(|(grant, _)| usage(&grant, 100, Some(LeaseEnd::Finished))).collect();
        loop {
            let report = host.link.report(backlog(&host.queues), std::mem::take(&mut usages));
            assert!(dispatcher.apply_report(now, &report));
            dispatcher.dispatch(now);
            for grant in host.link.receive(now, dispatcher) {
                let workspace = WORKSPACES.iter().position(|(name, _)| *name == grant.workspace);
                let workspace = workspace.unwrap();
                if host.queues[workspace].is_empty() {
                    usages.push(usage(&grant, 0, Some(LeaseEnd::Unused)));
                    continue;
                }
                let served = host.queues[workspace].remove(0);
                match now + FIRST_EVENT <= served.caller.asked_at + OBJECTIVE {
                    true => outcomes[workspace].in_time += 1,
                    false => outcomes[workspace].late += 1,
                }
                host.running.push((grant, now + HOLD));
            }
            if usages.is_empty() {
                break;
            }
        }
    }
}

fn backlog(queues: &[Vec<Waiting>; 2]) -> Vec<BacklogEntry> {
    let count = |length: usize| u32::try_from(length).unwrap();
    let entries = WORKSPACES.iter().zip(queues).map(|((name, _), queue)| BacklogEntry {
        late: count(queue.iter().filter(|held| held.late).count()),
        ..entry(name, count(queue.len()), 100)
    });
    entries.collect()
}

/// Guards against callers who were refused and take the slots of those who still can be answered
/// in time: while a shortage lasts, nearly all answers would be late ones.
#[test]
fn lasting_shortage_answers_are_in_time() {
    let [large, small] = Play::new(Policy::Terms).run(10, |_| 200);
    let [uniform, _] = Play::new(Policy::Uniform).run(10, |_| 200);
    assert!(large.in_time * 10 >= uniform.in_time * 12, "{large:?} {uniform:?}");
    assert!(large.callers() - large.lost >= uniform.callers() - uniform.lost, "{large:?}");
    assert_eq!(small.in_time, small.callers(), "a workspace below its share is not delayed");
}

/// Guards against refused callers who return while the shortage lasts and are refused for good,
/// although there is room for them after it.
#[test]
fn waves_serve_those_who_return() {
    let waves = |second: u64| if second % 6 < 2 { 200 } else { 40 };
    let [large, small] = Play::new(Policy::Terms).run(18, waves);
    let [uniform, _] = Play::new(Policy::Uniform).run(18, waves);
    assert!(large.lost * 2 <= uniform.lost, "{large:?} {uniform:?}");
    assert!(large.in_time >= uniform.in_time, "{large:?} {uniform:?}");
    assert_eq!(small.in_time, small.callers(), "a workspace below its share is not delayed");
}

/// Guards against a new dispatcher that refuses requests, or forgets which of them are late: it
/// knows no earlier grant, and learns the order from the first full reports.
#[test]
fn new_dispatcher_keeps_order() {
    let now = ms(10);
    let mut dispatcher = dispatcher(2);
    let mut routers = ["a", "b"].map(|name| {
        let mut router = ManualRouter::new(name);
        router.term = 2;
        router
    });
    let late = BacklogEntry { late: 40, ..entry("large", 40, 100) };
    assert!(dispatcher.apply_report(now, &routers[0].report(vec![late], vec![])));
    let timely = entry("large", 10, 100);
    assert!(dispatcher.apply_report(now, &routers[1].report(vec![timely], vec![])));
    dispatcher.dispatch(now);
    assert_eq!(routers[1].receive(now, &mut dispatcher).len(), 10, "those in time go first");
    let answer = dispatcher.take_answer(now, "a");
    assert_eq!(answer.grants.len(), 10, "late requests get the rest");
    assert_eq!(answer.refusals, [], "nothing is known that would justify a refusal");
}

/// Guards against refused callers who return at once together: they are spread over the time that
/// the shortage has lasted, within the third of their time that callers honour.
#[test]
fn retry_after_spreads_over_shortage() {
    let terms = |left| CallerTerms { objective: OBJECTIVE, used: ms(0), left };
    assert_eq!(terms(PATIENCE).retry_after(ms(0), 1.0), ms(600));
    assert_eq!(terms(PATIENCE).retry_after(ms(1_000), 0.0), ms(300));
    assert_eq!(terms(PATIENCE).retry_after(ms(1_000), 1.0), ms(1_300));
    assert_eq!(terms(PATIENCE).retry_after(ms(60_000), 1.0), ms(2_000));
    assert_eq!(terms(ms(1_500)).retry_after(ms(60_000), 1.0), ms(600));
}
