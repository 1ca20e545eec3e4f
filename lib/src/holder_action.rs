//! What a holder tells of its requests, and wants done with them.

use std::fmt;

use crate::id::Incarnation;
use crate::pair::MirrorRequest;
use crate::pair::PairMessage;
use crate::pair::RequestKey;

/// How far a request has come at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HolderPhase {
    /// The copy is not confirmed yet, so the request is not accepted yet.
    Copying,
    /// Accepted; the licence to dispatch is asked for.
    Licensing,
    /// Sent to a backend server.
    Running,
    /// Given up on; waits for the mirror to confirm that the copy is gone.
    Withdrawing,
    /// The mirror is leaving; waits until it lets go of the copy.
    Releasing,
    /// Handed to the mirror; waits for its confirmation.
    PassingOn,
    /// Has its last state.
    Ended(HolderEnd),
}

/// How a request ended at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HolderEnd {
    /// It ran and has a result.
    Finished,
    /// It did not run and never will.
    DidNotRun,
    /// It may have run.
    Unknown,
    /// Another entry holds it now.
    Moved(Incarnation),
}

/// What the holder wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction<P> {
    /// Send to the mirror of the message's carrier.
    Send(PairMessage<MirrorRequest<P>>),
    /// The copy is safe: from now on the request is accepted.
    Accepted(RequestKey),
    /// Send the request to a backend server, now.
    Dispatch(RequestKey),
    /// Tell the caller.
    End(RequestKey, HolderEnd),
}

/// Why a request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// This entry is leaving. The request did not run here.
    Leaving,
    /// The ticket was issued by another incarnation.
    NotIssuedHere,
    /// The ticket was never used and its pair has ended, so that it never
    /// will be. The request did not run.
    FormerPair,
    /// The ticket is too old; its outcome is forgotten.
    Expired,
    /// The table is full. The request did not run here.
    Full,
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Leaving => "this entry is leaving",
            Self::NotIssuedHere => "the ticket was issued by another entry",
            Self::FormerPair => "the ticket was not used before its pair ended",
            Self::Expired => "the ticket has expired",
            Self::Full => "this entry holds too many requests",
        })
    }
}

impl std::error::Error for AcceptError {}

/// Whether a ticket is being used for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketUse {
    /// The request is new.
    First,
    /// The request is known already, in this phase.
    Again(HolderPhase),
}
