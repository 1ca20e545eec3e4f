//! The steps of a history of pairs, what may go wrong in one, and the breaks of
//! the protocol that have to be found.

use std::fmt;

use cloverbend::pair::MirrorReply;
use cloverbend::pair::MirrorRequest;
use cloverbend::pair::PairId;
use cloverbend::pair::PairMessage;
use cloverbend::pair::RequestKey;

/// The number of an entry in the world.
pub type EntryIndex = usize;

/// A deliberate break of the protocol, which must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenRule {
    /// Nothing is broken.
    None,
    /// "Did not run" is said before the mirror confirms the drop.
    EarlyDidNotRun,
    /// A mirror grants a licence after it took over.
    LicenceAfterTakeOver,
    /// A repeated hand-over is adopted again.
    HandOverTwice,
    /// A holder dispatches on a licence after it gave up or passed on.
    LateLicenceHonoured,
    /// A holder carries what it cannot ask about with another mirror, because
    /// its mirror is believed to have ended.
    MoveWithoutRelease,
    /// A mirror says that an unknown ticket did not run without taking over.
    RefuseAbsentEarly,
    /// An entry that was restarted answers for its former incarnation.
    ForgottenIncarnation,
}

impl BrokenRule {
    /// All breaks.
    pub const ALL: [Self; 7] = [
        Self::EarlyDidNotRun,
        Self::LicenceAfterTakeOver,
        Self::HandOverTwice,
        Self::LateLicenceHonoured,
        Self::MoveWithoutRelease,
        Self::RefuseAbsentEarly,
        Self::ForgottenIncarnation,
    ];
}

/// A message in the network. It stays there for ever, so that it may arrive
/// at any time, any number of times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NetworkMessage {
    /// To a mirror.
    Request(PairMessage<MirrorRequest<()>>),
    /// To a holder.
    Reply(PairMessage<MirrorReply>),
}

/// The faults and events that a history may still use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FaultBudget {
    /// Crashes of entries.
    pub crashes: u8,
    /// Take-overs of pairs.
    pub take_overs: u8,
    /// Planned stops and announced reclaims.
    pub leaves: u8,
    /// Requests given up on.
    pub give_ups: u8,
    /// Changes of mirror.
    pub new_pairs: u8,
    /// Restarts of crashed entries.
    pub restarts: u8,
    /// Retries of the caller at a mirror.
    pub retries: u8,
}

/// One step of a history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorldStep {
    /// The caller's request arrives at the holder of its ticket.
    Accept(EntryIndex, RequestKey),
    /// A message arrives.
    Deliver(NetworkMessage),
    /// An entry ends without a word.
    Crash(EntryIndex),
    /// An ended entry starts as a new incarnation.
    Restart(EntryIndex),
    /// A mirror believes its holder gone, rightly or not.
    TakeOver(EntryIndex, PairId),
    /// An entry starts to leave.
    Leave(EntryIndex),
    /// A request is given up on.
    GiveUp(EntryIndex, RequestKey),
    /// A withdrawal or hand-over was not confirmed in time.
    GiveUpUnconfirmed(EntryIndex, RequestKey),
    /// An entry takes another mirror, because it believes the first one gone.
    NewPair(EntryIndex, EntryIndex),
    /// It asks its former mirrors to let go.
    Release(EntryIndex),
    /// A dispatched request has its result.
    Finish(EntryIndex, RequestKey),
    /// The caller asks a mirror about its ticket.
    RetryAtMirror(EntryIndex, RequestKey),
}

impl fmt::Display for WorldStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver(NetworkMessage::Request(message)) => {
                let (from, to) = (message.carrier.holder, message.carrier.mirror);
                write!(f, "deliver {:?} {} -> {}", message.body, from.0, to.0)
            }
            Self::Deliver(NetworkMessage::Reply(message)) => {
                let (from, to) = (message.carrier.mirror, message.carrier.holder);
                write!(f, "deliver {:?} {} -> {}", message.body, from.0, to.0)
            }
            other => write!(f, "{other:?}"),
        }
    }
}

/// A rule of the users that a history broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorldViolation {
    /// A request that may run only once ran again.
    RanTwice,
    /// The entries send to each other for ever.
    NeverSettles,
    /// A request ran that was said not to have run, before or after.
    RanThoughDenied,
}
