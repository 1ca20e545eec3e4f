//! Bounds the requests that a version not yet proved gets, over all entries together.
//!
//! Pure logic: no I/O and no clock. The load pattern is a bad version behind hundreds of
//! entries, some of which are cut off, restart or hear nothing. So an entry's part follows
//! from the requests that this entry counts itself. It needs no message and no memory: an
//! entry that forgets its counts begins again with a part of the requests from then on.
//! The slack is not divided: it covers the rounding of each entry, which is random.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::gateway::rollout_state::RolloutOrder;
use crate::gateway::rollout_state::RolloutPhase;
use crate::id::ServerVersion;

/// The part of the bound that is used. The rest keeps the sum of roundings within the
/// slack.
const USED_PART: f64 = 0.8;
/// The least share of the requests that a version gets, without which it could not be
/// judged.
const MIN_SHARE: f64 = 0.02;
/// The most requests that an entry makes up for after a time without servers of the new
/// version.
const MAX_CREDIT: f64 = 2.0;
/// How long an entry without news of a roll-out goes on sending to the new version. It is
/// well below the time in which a bad version has to lose its traffic.
const NEWS_LIFETIME: Duration = Duration::from_secs(2);
/// The answers of the new version after which it also gets requests that must run at most
/// once.
const TRIED_ANSWERS: u32 = 100;
/// The part of the roll-out after which it gets them anyway.
const TRIED_PART: u32 = 4;

/// A share of the requests of a service: more than 0, and at most one half.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ExposureShare(f64);

impl ExposureShare {
    /// Returns the share as a number.
    pub fn as_f64(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ExposureShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The text is not an [`ExposureShare`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareError;

impl fmt::Display for ShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a share of exposed requests is more than 0 and at most 0.5")
    }
}

impl std::error::Error for ShareError {}

impl FromStr for ExposureShare {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let share = text.parse().map_err(|_| ShareError)?;
        let is_valid = share > 0.0 && share <= 0.5;
        is_valid.then_some(Self(share)).ok_or(ShareError)
    }
}

/// The bounds of roll-outs that operators rely on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// The largest share of a service's requests that a bad version may get between the
    /// order and its time limit.
    pub share: ExposureShare,
    /// The requests that it may get in addition, over all entries.
    pub slack: u32,
    /// How long after its 50th bad answer it may still get requests.
    pub rollback: Duration,
}

/// Returns the share of requests that the new version gets until all traffic moves. What
/// it gets while traffic moves is kept back, since it may turn bad then.
pub fn running_share(bounds: &RolloutBounds, order: &RolloutOrder) -> f64 {
    let total = order.duration.as_secs_f64();
    let before = order.move_at().as_secs_f64();
    let bound = bounds.share.as_f64();
    let kept_back = (bound * total - (total - before)) / before.max(f64::MIN_POSITIVE);
    let least = MIN_SHARE.min(bound * USED_PART);
    (kept_back * USED_PART).max(least)
}

/// How many requests of one service this entry may send to the new version now. The
/// roll-out of another version begins with a new credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureCredit(f64);

impl ExposureCredit {
    /// Returns the credit of an entry that has counted no request yet. `draw` is a random
    /// number from 0 to 1, so that entries with few requests each send their part
    /// together: without it none would, or all at once.
    pub fn new(draw: f64) -> Self {
        Self(draw.clamp(0.0, 1.0))
    }

    /// Counts a request for the service, of which `share` may go to the new version.
    pub fn note_arrival(&mut self, share: f64) {
        self.0 = (self.0 + share).min(MAX_CREDIT);
    }

    /// Returns whether a request may be sent to the new version.
    pub fn may_send(self) -> bool {
        self.0 >= 1.0
    }

    /// Counts a request sent to the new version. Retries and resumed streams count too.
    pub fn note_sent(&mut self) {
        self.0 -= 1.0;
    }
}

/// Which servers a request may be sent to, by their versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Those of any version.
    Any,
    /// Only those of this version.
    Only(ServerVersion),
    /// Those that certainly run another version.
    Except(ServerVersion),
    /// Only those of the version that a stream is bound to. Unlike with `Only`, no others
    /// may get the request if these have no room.
    Same(Option<ServerVersion>),
    /// None.
    Nothing,
}

impl VersionRule {
    /// Returns whether a server of a version, if it is known, may get the request.
    pub fn admits(&self, version: Option<&ServerVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(target) => version == Some(target),
            Self::Except(target) => version.is_some_and(|version| version != target),
            Self::Same(bound) => version == bound.as_ref(),
            Self::Nothing => false,
        }
    }

    /// Returns the rule that applies if no server that this one admits has room.
    pub fn fallback(&self) -> Option<Self> {
        match self {
            Self::Any | Self::Except(_) | Self::Same(_) | Self::Nothing => None,
            Self::Only(target) => Some(Self::Except(target.clone())),
        }
    }
}

/// What an entry knows of a roll-out when it sends a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutView<'a> {
    /// The order.
    pub order: &'a RolloutOrder,
    /// The last known state.
    pub phase: RolloutPhase,
    /// The age of that knowledge.
    pub news_age: Duration,
    /// The time since the order.
    pub age: Duration,
    /// The answers of the new version so far, by all entries.
    pub new_answers: u32,
}

/// Returns which servers a request may be sent to. A request that must run at most once
/// goes to a new version only after others did.
pub fn version_rule(
    view: &RolloutView<'_>,
    credit: ExposureCredit,
    may_repeat: bool,
) -> VersionRule {
    let target = view.order.target.clone();
    let has_news = view.news_age <= NEWS_LIFETIME;
    let is_tried =
        view.new_answers >= TRIED_ANSWERS || view.age >= view.order.duration / TRIED_PART;
    match view.phase {
        RolloutPhase::Running if has_news && credit.may_send() && (may_repeat || is_tried) => {
            VersionRule::Only(target)
        }
        RolloutPhase::Moving if has_news => VersionRule::Only(target),
        RolloutPhase::Completed => VersionRule::Only(target),
        RolloutPhase::Running | RolloutPhase::Moving | RolloutPhase::RolledBack => {
            VersionRule::Except(target)
        }
    }
}
