//! The work that callers ask of each service, by urgency and client account.
//!
//! Pure logic: no I/O and no clock. Requests count when they arrive, also if they are
//! refused then: by what is admitted, an account would seem to need less because it is
//! refused.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;

use crate::id::AccountName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The time constant of the average: a burst of an account shows within a second.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// The smallest demand that is kept, in units per second.
const MIN_DEMAND: f64 = 1e-4;
/// The most items for a service in a message. The smallest others are added up by
/// urgency, without their accounts.
pub const MAX_ITEMS: usize = 64;
/// The most services in a message.
pub const MAX_SERVICES: usize = 16;
/// The largest demand in a message, in thousandths of a unit per second.
const MAX_UNITS_MILLI: u64 = 1 << 50;

/// Whose requests a demand counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandClass {
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
    /// The account; none for routes without a key.
    pub account: Option<AccountName>,
}

/// Units per second by class.
pub type ClassDemands = BTreeMap<DemandClass, f64>;

/// The demand of one class in a message.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DemandItem {
    /// The urgency, 0 the most urgent.
    #[prost(uint32, tag = "1")]
    pub urgency: u32,
    /// The account; empty for requests without one.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Units per second, in thousandths.
    #[prost(uint64, tag = "3")]
    pub units_milli: u64,
}

/// The demand for a crowded service in a message.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrowdedDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its classes.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<DemandItem>,
}

impl CrowdedDemand {
    /// Returns the message for the demand of a service, bounded in size.
    pub fn new(service: &ServiceName, demands: &ClassDemands) -> Self {
        let mut ordered: Vec<(&DemandClass, f64)> = demands
            .iter()
            .map(|(class, demand)| (class, *demand))
            .collect();
        ordered.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut kept = ClassDemands::new();
        // A urgency has at most one item without account.
        let kept_accounts = MAX_ITEMS - 10;
        for (index, (class, demand)) in ordered.into_iter().enumerate() {
            let account = class.account.clone().filter(|_| index < kept_accounts);
            let urgency = class.urgency;
            let class = DemandClass { urgency, account };
            *kept.entry(class).or_default() += demand;
        }
        let items = kept.into_iter().map(|(class, demand)| DemandItem {
            urgency: u32::from(class.urgency),
            account: class.account.map(String::from).unwrap_or_default(),
            units_milli: (demand * 1_000.0) as u64,
        });
        Self {
            service: service.to_string(),
            items: items.filter(|item| item.units_milli > 0).collect(),
        }
    }
}

/// The demands of services, by service.
pub type ServiceDemands = BTreeMap<ServiceName, ClassDemands>;

/// Adds the demands of a message. Items beyond the bounds and malformed ones are ignored;
/// returns how many.
pub fn add_demands(sums: &mut ServiceDemands, demands: &[CrowdedDemand]) -> usize {
    let mut ignored = demands.len().saturating_sub(MAX_SERVICES);
    for demand in demands.iter().take(MAX_SERVICES) {
        let Ok(service) = demand.service.parse::<ServiceName>() else {
            ignored += 1;
            continue;
        };
        ignored += demand.items.len().saturating_sub(MAX_ITEMS);
        let sum = sums.entry(service).or_default();
        for item in demand.items.iter().take(MAX_ITEMS) {
            match read_class(item) {
                Some(class) => *sum.entry(class).or_default() += read_units(item),
                None => ignored += 1,
            }
        }
    }
    ignored
}

/// Subtracts the demands of a message that [`add_demands`] has added.
pub fn subtract_demands(sums: &mut ServiceDemands, demands: &[CrowdedDemand]) {
    for demand in demands.iter().take(MAX_SERVICES) {
        let service = demand.service.parse::<ServiceName>();
        let Some(sum) = service.ok().and_then(|service| sums.get_mut(&service)) else {
            continue;
        };
        for item in demand.items.iter().take(MAX_ITEMS) {
            let Some(class) = read_class(item) else {
                continue;
            };
            if let Some(units) = sum.get_mut(&class) {
                *units = (*units - read_units(item)).max(0.0);
            }
        }
    }
}

/// Returns the messages for the demands of services, bounded in number.
pub fn write_demands(demands: &ServiceDemands) -> Vec<CrowdedDemand> {
    let messages = demands
        .iter()
        .map(|(service, demands)| CrowdedDemand::new(service, demands));
    messages
        .filter(|message| !message.items.is_empty())
        .take(MAX_SERVICES)
        .collect()
}

fn read_class(item: &DemandItem) -> Option<DemandClass> {
    let urgency = u8::try_from(item.urgency).ok().filter(|u| *u <= 9)?;
    let account = match item.account.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    Some(DemandClass { urgency, account })
}

fn read_units(item: &DemandItem) -> f64 {
    item.units_milli.min(MAX_UNITS_MILLI) as f64 / 1_000.0
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandRate {
    units_per_s: f64,
    updated_at: Timestamp,
}

impl DemandRate {
    fn decayed(self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.units_per_s * (-elapsed / AVERAGE_TIME.as_secs_f64()).exp()
    }
}

/// The demand for one service at this entry.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<DemandClass, DemandRate>,
}

impl DemandMeter {
    /// Counts a request of `units`.
    pub fn note(&mut self, now: Timestamp, class: DemandClass, units: f64) {
        let rate = self.rates.entry(class).or_default();
        *rate = DemandRate {
            units_per_s: rate.decayed(now) + units / AVERAGE_TIME.as_secs_f64(),
            updated_at: now,
        };
    }

    /// Returns the demands, and forgets those that have ended.
    pub fn demands(&mut self, now: Timestamp) -> ClassDemands {
        self.rates.retain(|_, rate| rate.decayed(now) > MIN_DEMAND);
        let rates = self.rates.iter();
        rates
            .map(|(class, rate)| (class.clone(), rate.decayed(now)))
            .collect()
    }
}
