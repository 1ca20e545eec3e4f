//! The states of a roll-out and the decision to go from one to the next.
//!
//! Pure logic: no I/O and no clock. The load pattern is a service whose servers are
//! replaced by those of another version, which may be bad from its start, after a while,
//! or only under full load. A version gets little traffic until shortly before the time
//! limit, since it may turn bad until then. All traffic moves in the last moments, and
//! the old servers are stopped once they have little left to do.

use std::fmt;
use std::time::Duration;

use crate::gateway::rollout_judge::RolloutVerdict;
use crate::id::ServerVersion;
use crate::id::ServiceName;

/// The longest time in which all traffic moves to the new version.
const MAX_MOVE_TIME: Duration = Duration::from_secs(5);
/// That time as a part of the roll-out at most. A version that turns bad under full load
/// then gets no more than its bound.
const MOVE_TIME_PART: u32 = 40;
/// The longest time before the limit at which a roll-out is completed. It covers the write
/// of the status.
const MAX_WRITE_MARGIN: Duration = Duration::from_millis(1_500);
/// That time as a part of the roll-out at most.
const WRITE_MARGIN_PART: u32 = 40;
/// The least time in which all traffic moves: entries hear of the move meanwhile.
const MIN_MOVE_TIME: Duration = Duration::from_secs(1);

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to which traffic moves.
    pub target: ServerVersion,
    /// The time limit, counted from the order.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Returns the time in which all traffic moves to the new version.
    pub fn move_time(&self) -> Duration {
        MAX_MOVE_TIME.min(self.duration / MOVE_TIME_PART)
    }

    /// Returns the time after the order by which the roll-out is to be decided.
    pub fn decide_by(&self) -> Duration {
        self.duration - MAX_WRITE_MARGIN.min(self.duration / WRITE_MARGIN_PART)
    }

    /// Returns the time after the order from which all traffic may move.
    pub fn move_at(&self) -> Duration {
        self.decide_by().saturating_sub(self.move_time())
    }
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutPhase {
    /// The new version gets a small part of the requests.
    Running,
    /// The new version was judged good, and gets all requests.
    Moving,
    /// The old servers are stopped.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Every state.
    pub const ALL: [Self; 4] = [
        Self::Running,
        Self::Moving,
        Self::Completed,
        Self::RolledBack,
    ];

    /// Returns whether the state may be followed by another one.
    pub fn may_become(self, next: Self) -> bool {
        match self {
            Self::Running => matches!(next, Self::Moving | Self::RolledBack),
            Self::Moving => matches!(next, Self::Completed | Self::RolledBack),
            Self::Completed | Self::RolledBack => false,
        }
    }

    /// Returns whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        })
    }
}

/// The state of a roll-out as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version to which traffic moves.
    pub target: ServerVersion,
    /// The state. [`RolloutPhase::Moving`] is stored as [`RolloutPhase::Running`]: a
    /// holder of the lease that takes over judges the version again.
    pub phase: RolloutPhase,
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The configuration does not have the service.
    UnknownService,
    /// All servers of the service already run the version.
    AlreadyRuns,
    /// The version was rolled back or completed before.
    AlreadyDecided,
}

impl fmt::Display for OrderFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "the service is not known",
            Self::AlreadyRuns => "all servers of the service already run this version",
            Self::AlreadyDecided => "the roll-out of this version has ended",
        })
    }
}

impl std::error::Error for OrderFault {}

/// Returns the state in which an order is carried out, by its stored status. A verdict on
/// a version stays, also if the version is ordered again.
///
/// # Errors
///
/// The order is not carried out, and no traffic moves.
pub fn start_rollout<'a>(
    order: &RolloutOrder,
    status: Option<&RolloutStatus>,
    is_known_service: bool,
    mut running: impl Iterator<Item = Option<&'a ServerVersion>>,
) -> Result<RolloutPhase, OrderFault> {
    if !is_known_service {
        return Err(OrderFault::UnknownService);
    }
    match status.filter(|status| status.target == order.target) {
        Some(status) if status.phase.is_final() => Err(OrderFault::AlreadyDecided),
        // Old servers may have ended meanwhile.
        Some(_) => Ok(RolloutPhase::Running),
        None => {
            let first = running.next();
            let is_target = |version: Option<&ServerVersion>| version == Some(&order.target);
            if first.is_some_and(is_target) && running.all(is_target) {
                return Err(OrderFault::AlreadyRuns);
            }
            Ok(RolloutPhase::Running)
        }
    }
}

/// What decides the next state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepInputs {
    /// The time since the order.
    pub age: Duration,
    /// The time since the present state began.
    pub phase_age: Duration,
    /// The present verdict on the version.
    pub verdict: RolloutVerdict,
    /// Whether the servers of the new version can carry the whole load.
    pub has_capacity: bool,
    /// The requests at the old servers.
    pub old_in_flight: u32,
}

/// Returns the next state, or `None` if the present one stays.
pub fn next_phase(
    phase: RolloutPhase,
    order: &RolloutOrder,
    inputs: &StepInputs,
) -> Option<RolloutPhase> {
    let is_bad = matches!(inputs.verdict, RolloutVerdict::Bad(_));
    let is_good = inputs.verdict == RolloutVerdict::Good;
    match phase {
        RolloutPhase::Running | RolloutPhase::Moving if is_bad => Some(RolloutPhase::RolledBack),
        RolloutPhase::Running if inputs.age < order.move_at() => None,
        RolloutPhase::Running if is_good && inputs.has_capacity => Some(RolloutPhase::Moving),
        RolloutPhase::Running => {
            (inputs.age >= order.decide_by()).then_some(RolloutPhase::RolledBack)
        }
        RolloutPhase::Moving => {
            let is_idle = inputs.old_in_flight == 0 && inputs.phase_age >= MIN_MOVE_TIME;
            (is_idle || inputs.phase_age >= order.move_time()).then_some(RolloutPhase::Completed)
        }
        RolloutPhase::Completed | RolloutPhase::RolledBack => None,
    }
}
