//! Decides who is refused when a service has too little room, the same way at all
//! entries.
//!
//! Pure logic: no I/O and no clock. It answers the load pattern of a service with less
//! room than demand, whatever the cause: lost servers, a burst of one kind, one account
//! at many times its usual. The room moves the level ([`admission_level`]), the level is
//! taken from the least urgent work, and what remains of a class that is refused in part
//! is divided among its accounts ([`room_shares`]).
//!
//! [`admission_level`]: crate::gateway::admission_level
//! [`room_shares`]: crate::gateway::room_shares

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::account_demand::ClassDemands;
use crate::gateway::account_demand::DemandClass;
use crate::gateway::account_demand::DemandMeter;
use crate::gateway::account_demand::ServiceDemands;
use crate::gateway::admission_level::AdmissionLevel;
use crate::gateway::room_shares::ClassShare;
use crate::gateway::room_shares::RoomShares;
use crate::gateway::room_shares::divide_room;
use crate::gateway::service_room::RoomTrend;
use crate::gateway::service_room::ServiceRoom;
use crate::id::AccountName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The share of its target latency that a request may be expected to take. The
/// remainder covers the error of the estimate.
const MAX_LATENCY_SHARE: f64 = 0.9;
/// The shortest time between two updates of a service's level.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The age of the last news of other entries from which on the level is held, and from
/// which on it follows what this entry sees alone.
const NEWS_LIFETIME: Duration = Duration::from_millis(400);
/// See [`NEWS_LIFETIME`].
const MAX_HOLD: Duration = Duration::from_secs(5);
/// How long the demand that other entries reported is used.
const PEER_DEMAND_LIFETIME: Duration = Duration::from_secs(3);
/// The room, in seconds of work, with which a slot is free in spite of old news.
const CERTAIN_ROOM_S: f64 = 0.3;
/// How long a service counts as crowded after its last wait.
const CROWDED_TIME: Duration = Duration::from_secs(5);

/// The inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The urgency, 0 the most urgent.
    pub urgency: u8,
    /// The account, if the route needs a key.
    pub account: Option<&'a AccountName>,
    /// The expected time from sending the request to the first event or the response.
    pub expected_latency: Duration,
    /// The part of that time spent waiting for a slot.
    pub slot_wait: Duration,
    /// The time within which the first event or the response is due.
    pub target_latency: Duration,
    /// Whether the caller returns as a refusal asked it to.
    pub is_promised: bool,
    /// A random number from 0 to 1, different for each request.
    pub draw: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would be late.
    Late,
    /// More urgent work needs the room.
    Level,
    /// Its account asks for more than its share.
    Share,
}

impl RefusalCause {
    /// Returns the name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Level => "level",
            Self::Share => "share",
        }
    }
}

/// A refusal, with the figures that explain it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// The cause.
    pub cause: RefusalCause,
    /// The share of the service's offered work that is refused.
    pub level: f64,
    /// What its account has and gets.
    pub share: ClassShare,
}

#[derive(Clone, Debug, Default)]
struct ServiceAdmission {
    room: ServiceRoom,
    trend: RoomTrend,
    level: AdmissionLevel,
    meter: DemandMeter,
    peer_demands: ClassDemands,
    peers_noted_at: Timestamp,
    updated_at: Option<Timestamp>,
    shortest_target: Duration,
    waited_at: Option<Timestamp>,
    shares: RoomShares,
}

impl ServiceAdmission {
    fn update(
        &mut self,
        now: Timestamp,
        news_at: Option<Timestamp>,
        room: ServiceRoom,
        request_time: Duration,
        target: Duration,
    ) {
        let news_age = news_at.map(|at| now.since(at));
        if news_age.is_some_and(|age| age >= NEWS_LIFETIME && age < MAX_HOLD) {
            self.level.hold();
            self.trend.forget();
        } else {
            let elapsed = self.trend.note(now, room.backlog_s(request_time));
            let expected_s = self.trend.expected_backlog_s();
            self.level.update(elapsed, expected_s, target);
        }
        self.room = room;
        self.updated_at = Some(now);
        self.shortest_target = target;
        if room.waiting > 0 || self.level.refused_share() > 0.0 {
            self.waited_at = Some(now);
        }
        self.divide(now);
    }

    /// Divides the room among classes and accounts.
    fn divide(&mut self, now: Timestamp) {
        if self.level.refused_share() <= 0.0 {
            self.shares = RoomShares::default();
            return;
        }
        let mut demands = self.meter.demands(now);
        if now.since(self.peers_noted_at) < PEER_DEMAND_LIFETIME {
            for (class, units) in &self.peer_demands {
                *demands.entry(class.clone()).or_default() += units;
            }
        }
        self.shares = divide_room(&demands, self.level.refused_share());
    }

    /// Returns whether a slot that seems free will be so when a request arrives there.
    /// In a crowded service, the entries fill the slots that were free in old news many
    /// times over.
    fn has_free_slots(&self) -> bool {
        self.level.refused_share() <= 0.0 || self.trend.expected_backlog_s() < -CERTAIN_ROOM_S
    }

    fn decide(&self, query: &AdmissionQuery<'_>) -> Result<(), AdmissionRefusal> {
        let class = DemandClass {
            urgency: query.urgency,
            account: query.account.cloned(),
        };
        let share = self.shares.of(&class);
        let refuse = |cause| {
            Err(AdmissionRefusal {
                cause,
                level: self.level.refused_share(),
                share,
            })
        };
        if query.slot_wait.is_zero() && self.has_free_slots() {
            return Ok(());
        }
        let max_latency = query.target_latency.mul_f64(MAX_LATENCY_SHARE);
        if !query.slot_wait.is_zero() && query.expected_latency > max_latency {
            return refuse(RefusalCause::Late);
        }
        if query.is_promised {
            return Ok(());
        }
        if query.draw < share.admitted {
            return Ok(());
        }
        refuse(match share.admitted < share.urgency_admitted {
            true => RefusalCause::Share,
            false => RefusalCause::Level,
        })
    }
}

/// The figures of a service for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionFigures {
    /// The room.
    pub room: ServiceRoom,
    /// The share of the offered work that is refused.
    pub refused_share: f64,
}

/// The admission of all services at one entry.
#[derive(Clone, Debug, Default)]
pub struct SharedAdmission {
    /// When news of other entries last arrived; none if there are none.
    news_at: Option<Timestamp>,
    services: BTreeMap<ServiceName, ServiceAdmission>,
}

impl SharedAdmission {
    /// Returns the state of an entry that starts: nothing is refused by level.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that arrives, before it is decided.
    pub fn note_request(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: DemandClass,
        units: f64,
    ) {
        let admission = self.services.entry(service.clone()).or_default();
        admission.meter.note(now, class, units);
    }

    /// Records that the state of the other entries arrived.
    pub fn note_news(&mut self, now: Timestamp) {
        self.news_at = Some(now);
    }

    /// Returns whether the room of a service is to be updated before a decision.
    pub fn is_update_due(&self, now: Timestamp, service: &ServiceName) -> bool {
        let updated_at = self
            .services
            .get(service)
            .and_then(|admission| admission.updated_at);
        updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Returns the services that requests here have asked for, with the shortest target
    /// latency among their routes.
    pub fn known_services(&self) -> Vec<(ServiceName, Duration)> {
        let updated = self.services.iter();
        let updated = updated.filter(|(_, admission)| admission.updated_at.is_some());
        updated
            .map(|(service, admission)| (service.clone(), admission.shortest_target))
            .collect()
    }

    /// Updates a service by its room, the time of a request in a slot and the shortest
    /// target latency among its routes.
    pub fn update(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        room: ServiceRoom,
        request_time: Duration,
        shortest_target: Duration,
    ) {
        let admission = self.services.entry(service.clone()).or_default();
        admission.update(now, self.news_at, room, request_time, shortest_target);
    }

    /// Decides about a request.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub fn decide(&self, query: &AdmissionQuery<'_>) -> Result<(), AdmissionRefusal> {
        match self.services.get(query.service) {
            Some(admission) => admission.decide(query),
            None => Ok(()),
        }
    }

    /// Returns the demand at this entry for services that are crowded or were so
    /// recently.
    pub fn crowded_demands(&mut self, now: Timestamp) -> ServiceDemands {
        let crowded = self.services.iter_mut().filter(|(_, admission)| {
            let waited_at = admission.waited_at;
            waited_at.is_some_and(|at| now.since(at) < CROWDED_TIME)
        });
        crowded
            .map(|(service, admission)| (service.clone(), admission.meter.demands(now)))
            .collect()
    }

    /// Replaces the demand at all other entries. Services that are not in it keep theirs
    /// until it is too old.
    pub fn replace_peer_demands(&mut self, now: Timestamp, demands: ServiceDemands) {
        for (service, demands) in demands {
            // Services that no request here has asked for are not decided here.
            if let Some(admission) = self.services.get_mut(&service) {
                admission.peer_demands = demands;
                admission.peers_noted_at = now;
            }
        }
    }

    /// Returns the figures of all services.
    pub fn figures(&self) -> impl Iterator<Item = (&ServiceName, AdmissionFigures)> {
        self.services.iter().map(|(service, admission)| {
            let figures = AdmissionFigures {
                room: admission.room,
                refused_share: admission.level.refused_share(),
            };
            (service, figures)
        })
    }
}
