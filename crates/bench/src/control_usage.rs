//! Processor time and control bytes of the roles of a fleet over a phase.

use crate::error::BenchError;
use crate::fleet::Fleet;
use crate::load::to_float;
use std::time::Duration;
use tokio::time::Instant;

/// Counters of a fleet at one time.
#[derive(Clone, Debug)]
pub struct UsageMark {
    at: Instant,
    leader: usize,
    controllers: Vec<Duration>,
    routers: Vec<Duration>,
    bytes: Vec<f64>,
}

/// Use per second over a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlUsage {
    /// Processor seconds of the leader per second.
    pub leader: f64,
    /// The same for a follower, on average.
    pub follower: f64,
    /// The same for a router, on average.
    pub router: f64,
    /// Bytes of control messages of a router in both directions, on average.
    pub router_bytes: f64,
    /// The same for the router with the most bytes.
    pub busiest_bytes: f64,
    /// Length of the phase in seconds.
    pub seconds: f64,
}

/// Bytes of control messages that a scrape counts, both directions.
pub fn control_bytes(scrape: &str) -> f64 {
    scrape
        .lines()
        .filter(|line| line.starts_with("baobabfall_control_bytes"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

impl UsageMark {
    /// Reads all counters.
    pub fn take(fleet: &Fleet) -> Result<Self, BenchError> {
        let leader =
            fleet.leader().ok_or_else(|| BenchError::Empty("no controller leads".to_owned()))?;
        let count = fleet.controller_addresses().len();
        let controllers = (0..count).map(|index| fleet.controller_thread(index).processor_time());
        let mut routers = Vec::new();
        let mut bytes = Vec::new();
        for (index, router) in fleet.routers().enumerate() {
            let scrape = router.state().metrics.scrape();
            bytes.push(control_bytes(&String::from_utf8_lossy(&scrape)));
            routers.push(fleet.router_thread(index).processor_time()?);
        }
        let controllers = controllers.collect::<Result<_, _>>()?;
        Ok(Self { at: Instant::now(), leader, controllers, routers, bytes })
    }

    /// Use per second from this mark to a later one.
    pub fn until(&self, later: &Self) -> Result<ControlUsage, BenchError> {
        if self.leader != later.leader {
            return Err(BenchError::Empty("the leader changed during a phase".to_owned()));
        }
        let seconds = (later.at - self.at).as_secs_f64();
        let spent = |from: &[Duration], to: &[Duration]| -> Vec<f64> {
            from.iter()
                .zip(to)
                .map(|(from, to)| to.saturating_sub(*from).as_secs_f64() / seconds)
                .collect()
        };
        let mut controllers = spent(&self.controllers, &later.controllers);
        let leader = controllers.remove(self.leader);
        let bytes: Vec<f64> =
            self.bytes.iter().zip(&later.bytes).map(|(from, to)| (to - from) / seconds).collect();
        Ok(ControlUsage {
            leader,
            follower: mean(&controllers),
            router: mean(&spent(&self.routers, &later.routers)),
            router_bytes: mean(&bytes),
            busiest_bytes: bytes.iter().copied().fold(0.0, f64::max),
            seconds,
        })
    }
}

/// Average; zero without values.
pub fn mean(values: &[f64]) -> f64 {
    match values.len() {
        0 => 0.0,
        count => values.iter().sum::<f64>() / to_float(u64::try_from(count).unwrap_or(1)),
    }
}

/// Use over a phase of the given length.
pub async fn measure_usage(fleet: &Fleet, time: Duration) -> Result<ControlUsage, BenchError> {
    let begin = UsageMark::take(fleet)?;
    tokio::time::sleep(time).await;
    begin.until(&UsageMark::take(fleet)?)
}
