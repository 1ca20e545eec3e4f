//! Pairs of a holder and a mirror, tickets, and the messages between the two.
//!
//! An entry that accepts requests is their holder. It copies each to one
//! other entry, its mirror, before it counts as accepted. Every message names
//! the pair, which carries the incarnations of both ends, so that a process
//! that was restarted can refuse what was meant for its predecessor.

use std::fmt;
use std::str::FromStr;

use crate::configuration::RepeatRule;
use crate::id::Incarnation;
use crate::id::PairEpoch;
use crate::id::Serial;

/// A holder and its mirror. If both are the same incarnation, the holder
/// found no other entry and works without a mirror.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PairId {
    /// The entry that accepts requests.
    pub holder: Incarnation,
    /// The count of pairs that this holder has formed.
    pub epoch: PairEpoch,
    /// The entry that keeps copies.
    pub mirror: Incarnation,
}

impl PairId {
    /// Returns whether the holder works without a mirror.
    pub fn is_solo(self) -> bool {
        self.holder == self.mirror
    }
}

/// Identifies one request for good, whoever holds it later. Its text form is
/// the ticket that callers send in `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The pair that issued the ticket.
    pub pair: PairId,
    /// The count of the ticket within the pair.
    pub serial: Serial,
}

/// The first part of every ticket, which names its form.
const TICKET_PREFIX: &str = "cb1";

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{TICKET_PREFIX}.{}.{}.{}.{}",
            self.pair.holder, self.pair.epoch, self.pair.mirror, self.serial
        )
    }
}

/// A text that is not a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketError(pub String);

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a ticket of this system", self.0)
    }
}

impl std::error::Error for TicketError {}

impl FromStr for RequestKey {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let error = || TicketError(text.chars().take(96).collect());
        let parts: Vec<&str> = text.split('.').collect();
        let [TICKET_PREFIX, holder, epoch, mirror, serial] = parts[..] else {
            return Err(error());
        };
        let pair = PairId {
            holder: holder.parse().map_err(|_| error())?,
            epoch: epoch.parse().map_err(|_| error())?,
            mirror: mirror.parse().map_err(|_| error())?,
        };
        let serial = serial.parse().map_err(|_| error())?;
        Ok(Self { pair, serial })
    }
}

/// What whoever runs a request must know of its past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunTerms {
    /// Whether the request may be repeated.
    pub rule: RepeatRule,
    /// Whether some entry may have run it already, wholly or in part, so that
    /// nobody may say any more that it did not run.
    pub may_have_run: bool,
}

/// What a holder tells its mirror about one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MirrorRequest<P> {
    /// Keep this copy.
    Copy {
        /// What is known of its past.
        terms: RunTerms,
        /// The request itself.
        payload: P,
    },
    /// Forget the copy: the holder has not dispatched it and never will.
    Drop {
        /// Whether another entry may have run it, or may yet.
        may_have_run: bool,
    },
    /// Let go of the copy: the holder has not dispatched it and will carry it
    /// with another mirror.
    Release,
    /// Ask for the licence to dispatch a request that may run only once.
    AskLicence,
    /// The request has its result; the mirror must not run it any more.
    Finish,
    /// Take the request over: the holder has not dispatched it and never will.
    PassOn {
        /// What is known of its past.
        terms: RunTerms,
        /// The request itself, in case the copy never arrived.
        payload: P,
    },
}

/// What a mirror answers about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MirrorReply {
    /// The copy is kept.
    Copied,
    /// The copy is gone, and the mirror will never run it.
    Dropped,
    /// The holder may dispatch.
    Granted,
    /// The mirror will never run this request, so that its holder may carry it
    /// with another mirror.
    Resigned,
    /// The mirror is the request's holder from now on.
    Adopted,
    /// The mirror keeps no copy and promises nothing: ask after copying.
    NotCopied,
    /// The result was noted.
    Noted,
}

/// A message between the two ends of a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PairMessage<B> {
    /// The pair in which the request is carried now. It differs from the pair
    /// of the key once the request has moved.
    pub carrier: PairId,
    /// The request.
    pub key: RequestKey,
    /// The content.
    pub body: B,
}
