//! Simple reference dispatcher with one central queue, which recomputes accounts on
//! every use and searches by linear scan. Differential tests compare the real
//! dispatcher with it.

use crate::dispatch_messages::CostUnits;
use crate::fair_order::{AccountValue, weighted_cost};
use crate::sorted_map::SortedMap;

/// Order in which the central queue grants slots to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NaiveOrder {
    /// Lowest account first, then lowest workspace name.
    Fair,
    /// Order of arrival, regardless of the workspace.
    FirstCome,
}

/// A slot granted to a request of the central queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NaiveGrant {
    /// Number that the caller gave the request when it arrived.
    pub request: u64,
    /// Name of the workspace that sent the request.
    pub workspace: String,
    /// Name of the upstream that runs the request.
    pub upstream: String,
}

#[derive(Clone, Debug)]
struct NaiveUpstream {
    name: String,
    serves: Vec<String>,
    slots: u32,
    running: u32,
}

#[derive(Clone, Debug)]
struct NaiveRequest {
    number: u64,
    workspace: String,
    target: String,
    estimate: CostUnits,
}

#[derive(Clone, Debug)]
struct NaiveCharge {
    request: u64,
    upstream: String,
    weight: u32,
    estimate: CostUnits,
    reported: CostUnits,
}

#[derive(Clone, Debug, Default)]
struct NaiveAccount {
    weight: u32,
    concurrency: u32,
    /// Charges of finished requests, plus the amounts by which the account was raised
    /// when its workspace became backlogged after an idle time.
    settled: AccountValue,
    running: Vec<NaiveCharge>,
}

impl NaiveAccount {
    fn value(&self) -> AccountValue {
        let running = self.running.iter();
        let charges = running
            .map(|charge| weighted_cost(charge.reported.max(charge.estimate), charge.weight));
        self.settled + charges.sum::<AccountValue>()
    }
}

/// Central queue of one pool of upstreams.
///
/// ```
/// use baobabfall_core::naive_dispatcher::{NaiveDispatcher, NaiveOrder};
/// let mut queue = NaiveDispatcher::new(NaiveOrder::Fair);
/// queue.set_workspace("a", 1, 8);
/// queue.set_workspace("b", 1, 8);
/// queue.set_upstream("engine-1", &["small"], 2);
/// queue.arrive(1, "a", "small", 100);
/// queue.arrive(2, "a", "small", 100);
/// queue.arrive(3, "b", "small", 100);
/// let granted: Vec<u64> = queue.dispatch().iter().map(|grant| grant.request).collect();
/// assert_eq!(granted, [1, 3]);
/// ```
#[derive(Clone, Debug)]
pub struct NaiveDispatcher {
    order: NaiveOrder,
    upstreams: Vec<NaiveUpstream>,
    queue: Vec<NaiveRequest>,
    accounts: SortedMap<String, NaiveAccount>,
    virtual_time: AccountValue,
}

impl NaiveDispatcher {
    /// Creates an empty queue without workspaces and upstreams.
    pub fn new(order: NaiveOrder) -> Self {
        Self {
            order,
            upstreams: Vec::new(),
            queue: Vec::new(),
            accounts: SortedMap::new(),
            virtual_time: 0,
        }
    }

    /// Adds a workspace or changes its weight and concurrency limit.
    pub fn set_workspace(&mut self, name: &str, weight: u32, concurrency: u32) {
        let account = self.accounts.get_or_insert_with(name.to_owned(), NaiveAccount::default);
        account.weight = weight;
        account.concurrency = concurrency;
    }

    /// Adds an upstream or changes its targets and slots. With zero slots it gets no
    /// further requests.
    pub fn set_upstream(&mut self, name: &str, serves: &[&str], slots: u32) {
        let serves = serves.iter().map(|name| (*name).to_owned()).collect();
        match self.upstreams.iter_mut().find(|upstream| upstream.name == name) {
            Some(upstream) => (upstream.serves, upstream.slots) = (serves, slots),
            None => {
                let name = name.to_owned();
                self.upstreams.push(NaiveUpstream { name, serves, slots, running: 0 });
            }
        }
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request to the queue. If its workspace had none waiting, its account is
    /// raised to the pool's minimum, so that idle time earns no credit.
    pub fn arrive(&mut self, number: u64, workspace: &str, target: &str, estimate: CostUnits) {
        if !self.is_backlogged(workspace) {
            let minimum = self.minimum();
            let account =
                self.accounts.get_or_insert_with(workspace.to_owned(), NaiveAccount::default);
            account.settled += minimum.saturating_sub(account.value());
        }
        self.queue.push(NaiveRequest {
            number,
            workspace: workspace.to_owned(),
            target: target.to_owned(),
            estimate,
        });
    }

    fn is_backlogged(&self, workspace: &str) -> bool {
        self.queue.iter().any(|request| request.workspace == workspace)
    }

    fn minimum(&self) -> AccountValue {
        let backlogged = self
            .accounts
            .iter()
            .filter(|(name, account)| self.is_backlogged(name) && has_capacity(account));
        let lowest = backlogged.map(|(_, account)| account.value()).min();
        lowest.unwrap_or(0).max(self.virtual_time)
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, number: u64) {
        self.queue.retain(|request| request.number != number);
    }

    /// Grants free slots to waiting requests until no further grant is possible.
    pub fn dispatch(&mut self) -> Vec<NaiveGrant> {
        let mut grants = Vec::new();
        while let Some((position, upstream)) = self.next_request() {
            grants.push(self.grant(position, upstream));
        }
        grants
    }

    fn next_request(&self) -> Option<(usize, usize)> {
        let requests = self.queue.iter().enumerate().filter_map(|(position, request)| {
            let account = self.accounts.get(&request.workspace)?;
            let upstream = self.choose_upstream(&request.target)?;
            has_capacity(account).then_some((position, request, account, upstream))
        });
        let first = match self.order {
            NaiveOrder::FirstCome => requests.min_by_key(|(position, ..)| *position),
            NaiveOrder::Fair => requests.min_by_key(|(position, request, account, _)| {
                (account.value(), request.workspace.as_str(), *position)
            }),
        };
        first.map(|(position, .., upstream)| (position, upstream))
    }

    fn choose_upstream(&self, target: &str) -> Option<usize> {
        let free = self.upstreams.iter().enumerate().filter(|(_, upstream)| {
            upstream.running < upstream.slots
                && upstream.serves.iter().any(|served| served == target)
        });
        let least = free.min_by_key(|(position, upstream)| {
            (u64::from(upstream.running) * 65_536 / u64::from(upstream.slots), *position)
        });
        least.map(|(position, _)| position)
    }

    fn grant(&mut self, position: usize, upstream: usize) -> NaiveGrant {
        let request = self.queue.remove(position);
        let upstream = &mut self.upstreams[upstream];
        upstream.running += 1;
        let account =
            self.accounts.get_or_insert_with(request.workspace.clone(), NaiveAccount::default);
        self.virtual_time = self.virtual_time.max(account.value());
        account.running.push(NaiveCharge {
            request: request.number,
            upstream: upstream.name.clone(),
            weight: account.weight,
            estimate: request.estimate,
            reported: 0,
        });
        NaiveGrant {
            request: request.number,
            workspace: request.workspace,
            upstream: upstream.name.clone(),
        }
    }

    /// Records the cost so far of a running request.
    pub fn charge(&mut self, number: u64, cost: CostUnits) {
        let running = self.accounts.values_mut().flat_map(|account| &mut account.running);
        for charge in running.filter(|charge| charge.request == number) {
            charge.reported = charge.reported.max(cost);
        }
    }

    /// Ends a running request, charges its final cost and frees its slot.
    pub fn finish(&mut self, number: u64, cost: CostUnits) {
        for account in self.accounts.values_mut() {
            let found = account.running.iter().position(|charge| charge.request == number);
            let Some(position) = found else { continue };
            let charge = account.running.remove(position);
            account.settled += weighted_cost(cost, charge.weight);
            let upstream =
                self.upstreams.iter_mut().find(|upstream| upstream.name == charge.upstream);
            if let Some(upstream) = upstream {
                upstream.running = upstream.running.saturating_sub(1);
            }
        }
    }
}

fn has_capacity(account: &NaiveAccount) -> bool {
    account.running.len() < usize::try_from(account.concurrency).unwrap_or(usize::MAX)
}
