//! The steps of a history of the lease, what may go wrong in one, and the breaks
//! of the rules that have to be found.

use std::fmt;

/// The number of an entry in the world.
pub type EntryIndex = usize;

/// A deliberate break of the rules, which must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenLease {
    /// Nothing is broken.
    None,
    /// An entry claims when it hears no holder, whatever the records tell, and
    /// a right ends only on news of a higher fence or on a failed append.
    NewsAlone,
    /// The right counts from the answer to an append.
    RightFromAnswer,
    /// Nobody waits longer for clocks that differ.
    NoDrift,
    /// Entries promise while an own claim may still be appended, and a promise
    /// brings a right back that has ended.
    PromiseWhileClaiming,
    /// A promise brings a right back that has ended.
    LatePromise,
    /// A claim is appended wherever the topic ends.
    UnreadClaim,
    /// Entries that are no successors wait for the short term.
    ShortWait,
    /// Claims that were made for another generation count.
    ForeignClaim,
    /// Fences are offsets alone.
    OffsetFence,
    /// An entry that was started again claims at once.
    RestartClaim,
    /// The end of the topic that a holder tells counts in every generation.
    ForeignEnd,
    /// A call may last as long as the right of a holder without successors.
    LongCall,
    /// An entry goes on as if the records that it could not read were none.
    SilentSkip,
    /// A release is appended wherever the topic was read to, and counts after
    /// a later claim.
    LateRelease,
}

/// Which other entries a record names as successors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuccessorChoice {
    /// All others.
    All,
    /// The next entry by number.
    Next,
    /// None.
    Nobody,
}

/// Whether a message is under way for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MessageSpeed {
    /// It arrives, and is answered, at once.
    Prompt,
    /// Anything may happen before it arrives and before its answer does.
    Slow,
}

/// The events that a history may still use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseFaults {
    /// Renewals.
    pub renewals: u8,
    /// Calls to the store that take some time.
    pub slow_appends: u8,
    /// Messages between entries that take some time.
    pub slow_news: u8,
    /// Crashes; each entry may be started again at any time.
    pub crashes: u8,
    /// Tenures that are given up, with or without a release.
    pub give_ups: u8,
    /// Returns of the store from an older copy.
    pub returns: u8,
    /// Losses of the records so far.
    pub forgets: u8,
    /// Changes of a clock from the lowest rate to the highest, or back.
    pub drifts: u8,
}

/// One step of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaseStep {
    /// Time goes on.
    Tick,
    /// The rate of an entry's clock changes.
    Drift(EntryIndex),
    /// An entry reads the topic, and claims if it may.
    Claim(EntryIndex, SuccessorChoice, MessageSpeed),
    /// A holder claims again in the store's new generation.
    Reclaim(EntryIndex, SuccessorChoice, MessageSpeed),
    /// A holder renews.
    Renew(EntryIndex, SuccessorChoice, MessageSpeed),
    /// A holder ends its calls and makes no more.
    GiveUp(EntryIndex),
    /// It appends that its calls have ended.
    Release(EntryIndex, MessageSpeed),
    /// A slow append arrives at the store.
    Arrive(EntryIndex),
    /// The answer arrives.
    Answer(EntryIndex),
    /// No answer is waited for any longer.
    TimeOut(EntryIndex),
    /// An append arrives of which nobody expects an answer.
    ArriveLate(usize),
    /// An entry reads the topic.
    Read(EntryIndex),
    /// A holder's news arrive at another entry and are answered.
    Exchange(EntryIndex, EntryIndex),
    /// A holder sends news to another entry.
    Tell(EntryIndex, EntryIndex),
    /// An entry answers, now, to the last news it received of another one.
    Echo(EntryIndex, EntryIndex, MessageSpeed),
    /// A slow message between entries arrives.
    Hear(usize),
    /// An entry ends without a word.
    Crash(EntryIndex),
    /// It starts again.
    Start(EntryIndex),
    /// The store comes back from a copy with that many records.
    Return(usize),
    /// The store forgets all records.
    Forget,
}

impl fmt::Display for LeaseStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A rule that a history broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseViolation {
    /// Two entries have a right to act.
    TwoHolders,
    /// An entry has a right while a call of another one may still arrive.
    CallsOverlap,
    /// An entry has a right under a lower fence than another one had before.
    LowerFence,
    /// Two entries have a right under the same fence.
    SharedFence,
}
