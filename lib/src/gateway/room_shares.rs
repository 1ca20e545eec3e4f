//! Divides the room of a service among client accounts and urgencies.
//!
//! Pure logic: no I/O and no clock. It answers the load pattern of a service with less
//! room than demand. What accounts ask for above their max-min share of the whole service
//! is refused first, the least urgent of it before the rest; then the least urgent class.
//! In a class that is refused in part, accounts share the room by max-min again.

use std::collections::BTreeMap;

use crate::gateway::account_demand::ClassDemands;
use crate::gateway::account_demand::DemandClass;
use crate::gateway::account_share::bound_demands;
use crate::gateway::account_share::fair_share;
use crate::gateway::admission_level::admitted_shares;
use crate::id::AccountName;

/// What an account has and gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountShare {
    /// What it asks for of the service, in units per second.
    pub demand: f64,
    /// The most that an account gets of the service, in units per second, if accounts
    /// share too little room.
    pub fair_share: Option<f64>,
}

/// What a class of requests of one account gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// The share of its requests that is admitted.
    pub admitted: f64,
    /// The share that is admitted of the requests of that urgency, from accounts below
    /// their share.
    pub urgency_admitted: f64,
    /// The account's share of the service.
    pub account: AccountShare,
}

impl ClassShare {
    /// The share of a class of which nothing is known.
    const UNKNOWN: Self = Self {
        admitted: 1.0,
        urgency_admitted: 1.0,
        account: AccountShare {
            demand: 0.0,
            fair_share: None,
        },
    };
}

/// The shares of all classes of a service.
#[derive(Clone, Debug, Default)]
pub struct RoomShares {
    shares: BTreeMap<DemandClass, ClassShare>,
}

impl RoomShares {
    /// Returns the share of a class.
    pub fn of(&self, class: &DemandClass) -> ClassShare {
        let share = self.shares.get(class).copied();
        share.unwrap_or(ClassShare::UNKNOWN)
    }
}

/// Divides the room of a service of whose offered work `refused_share` has to be refused.
pub fn divide_room(demands: &ClassDemands, refused_share: f64) -> RoomShares {
    let asked = bounded_by_account(demands);
    let refused = refused_share * asked.values().sum::<f64>();
    let (kept, accounts) = refuse_excess(&asked, refused_share);
    let excess = asked.values().sum::<f64>() - kept.values().sum::<f64>();
    let mut by_urgency: BTreeMap<u8, f64> = BTreeMap::new();
    for (class, units) in &kept {
        *by_urgency.entry(class.urgency).or_default() += units;
    }
    let by_urgency = admitted_shares(&by_urgency, (refused - excess).max(0.0));
    let mut shares = BTreeMap::new();
    for (class, units) in &kept {
        let urgency_admitted = by_urgency.get(&class.urgency).copied().unwrap_or(1.0);
        let below_share = units / asked[class].max(f64::MIN_POSITIVE);
        let account = class.account.as_ref();
        let account = account.and_then(|name| accounts.get(name));
        let share = ClassShare {
            admitted: below_share * urgency_admitted,
            urgency_admitted,
            account: account.copied().unwrap_or_default(),
        };
        shares.insert((*class).clone(), share);
    }
    RoomShares { shares }
}

/// Bounds the demand of each account by those of all others.
fn bounded_by_account(demands: &ClassDemands) -> BTreeMap<&DemandClass, f64> {
    let mut totals: BTreeMap<Option<&AccountName>, f64> = BTreeMap::new();
    for (class, units) in demands {
        *totals.entry(class.account.as_ref()).or_default() += units;
    }
    let mut bounded: Vec<f64> = totals.values().copied().collect();
    bound_demands(&mut bounded);
    let factors: BTreeMap<Option<&AccountName>, f64> = totals
        .iter()
        .zip(bounded)
        .map(|((account, total), bounded)| (*account, bounded / total.max(f64::MIN_POSITIVE)))
        .collect();
    let bounded = demands.iter().map(|(class, units)| {
        let factor = factors.get(&class.account.as_ref()).copied();
        (class, units * factor.unwrap_or(1.0))
    });
    bounded.collect()
}

/// Refuses what accounts ask for above their max-min share of the service, the least
/// urgent first. Requests without an account are no part of it. Returns what is left of
/// each class, and the shares.
fn refuse_excess<'a>(
    asked: &BTreeMap<&'a DemandClass, f64>,
    refused_share: f64,
) -> (
    BTreeMap<&'a DemandClass, f64>,
    BTreeMap<&'a AccountName, AccountShare>,
) {
    let mut totals: BTreeMap<&AccountName, f64> = BTreeMap::new();
    for (class, units) in asked {
        if let Some(account) = &class.account {
            *totals.entry(account).or_default() += units;
        }
    }
    let demands: Vec<f64> = totals.values().copied().collect();
    let room = demands.iter().sum::<f64>() * (1.0 - refused_share);
    let is_shared = demands.len() > 1;
    let fair_share = is_shared.then(|| fair_share(&demands, room)).flatten();
    let excess = |total: f64| fair_share.map_or(0.0, |share| (total - share).max(0.0));
    let mut excesses: BTreeMap<&AccountName, f64> = totals
        .iter()
        .map(|(account, total)| (*account, excess(*total)))
        .collect();
    let mut kept = asked.clone();
    // Classes are in the order of urgency.
    for (class, units) in kept.iter_mut().rev() {
        let account = class.account.as_ref();
        if let Some(excess) = account.and_then(|account| excesses.get_mut(account)) {
            let taken = excess.min(*units);
            *excess -= taken;
            *units -= taken;
        }
    }
    let accounts = totals.into_iter().map(|(account, demand)| {
        let share = AccountShare { demand, fair_share };
        (account, share)
    });
    (kept, accounts.collect())
}
