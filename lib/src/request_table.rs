//! The requests that an entry holds or mirrors, with their answers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::answer::AnswerLog;
use crate::holder::RequestHolder;
use crate::holder_action::HolderEnd;
use crate::id::AccountName;
use crate::id::ChunkPosition;
use crate::id::Incarnation;
use crate::id::Serial;
use crate::mirror::RequestMirror;
use crate::pair::PairId;
use crate::pair::RequestKey;
use crate::quantity::Timestamp;
use crate::refusal::Refusal;
use crate::request::AcceptedRequest;

/// The most requests kept, ended ones included, until their tickets expire.
const HOLDER_CAPACITY: usize = 200_000;
/// How long the content of an ended answer is kept for callers cut off.
const ANSWER_RETENTION: Duration = Duration::from_secs(20);

/// One answer and what is known of its request here.
#[derive(Debug)]
pub struct AnswerEntry {
    /// The answer so far.
    pub log: AnswerLog,
    /// Counts changes, for those who wait.
    pub changed: watch::Sender<u64>,
    /// Cancelled when the request shall no longer run here.
    pub cancel: CancellationToken,
    /// The client account.
    pub account: AccountName,
    /// Whether the request counts against the account's limit here.
    pub counted: bool,
    /// Whether the request is accepted.
    pub accepted: bool,
    /// How it ended here, if it did.
    pub end: Option<HolderEnd>,
    /// Why it failed, if it did.
    pub failure: Option<Refusal>,
    /// When it must be given up on.
    pub deadline: Timestamp,
    /// When it last changed.
    pub touched: Timestamp,
    /// When progress was last sent to the mirror.
    pub progress_sent: Timestamp,
    copied: Option<CopiedPart>,
}

/// How much of an answer the mirror of one pair has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CopiedPart {
    carrier: PairId,
    length: ChunkPosition,
}

impl AnswerEntry {
    /// Returns an entry for a request just taken in.
    pub fn new(account: AccountName, now: Timestamp, deadline: Timestamp) -> Self {
        Self {
            log: AnswerLog::new(),
            changed: watch::Sender::new(0),
            cancel: CancellationToken::new(),
            account,
            counted: false,
            accepted: false,
            end: None,
            failure: None,
            deadline,
            touched: now,
            progress_sent: now,
            copied: None,
        }
    }

    /// Returns how many chunks the mirror of a pair has said to have. The
    /// mirror of a fresh pair has none, whatever callers were shown before.
    pub fn copied_length(&self, carrier: PairId) -> ChunkPosition {
        let copied = self.copied.filter(|copied| copied.carrier == carrier);
        copied.map_or(ChunkPosition(0), |copied| copied.length)
    }

    /// Notes how many chunks the mirror of a pair has, and shows them to
    /// callers. Notes that come late change nothing.
    pub fn note_copied(&mut self, carrier: PairId, length: ChunkPosition) {
        let length = length.min(self.log.len());
        let length = length.max(self.copied_length(carrier));
        self.copied = Some(CopiedPart { carrier, length });
        self.log.confirm(length);
    }

    /// Wakes those who wait for a change.
    pub fn notify(&mut self, now: Timestamp) {
        self.touched = now;
        self.changed.send_modify(|count| *count += 1);
    }
}

#[derive(Debug)]
struct SerialMark {
    at: Timestamp,
    pair: PairId,
    serial: Serial,
}

/// All requests of an entry.
#[derive(Debug)]
pub struct RequestTable {
    /// Those it holds.
    pub holder: RequestHolder<AcceptedRequest>,
    /// Those it keeps copies of.
    pub mirror: RequestMirror<AcceptedRequest>,
    /// Their answers.
    pub answers: HashMap<RequestKey, AnswerEntry>,
    marks: VecDeque<SerialMark>,
}

impl RequestTable {
    /// Returns an empty table.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            holder: RequestHolder::new(incarnation, HOLDER_CAPACITY),
            mirror: RequestMirror::new(incarnation),
            answers: HashMap::new(),
            marks: VecDeque::new(),
        }
    }

    /// Forgets what is older than the lifetime of tickets. Call it about once
    /// a second.
    pub fn expire(&mut self, now: Timestamp, ticket_lifetime: Duration) {
        self.expire_tickets(now, ticket_lifetime);
        self.expire_answers(now, ticket_lifetime);
    }

    fn expire_tickets(&mut self, now: Timestamp, ticket_lifetime: Duration) {
        let next = self.holder.issue_ticket();
        self.marks.push_back(SerialMark {
            at: now,
            pair: next.pair,
            serial: next.serial,
        });
        while let Some(mark) = self.marks.front() {
            if now.since(mark.at) < ticket_lifetime {
                break;
            }
            self.holder.expire(mark.pair, mark.serial);
            self.marks.pop_front();
        }
    }

    fn expire_answers(&mut self, now: Timestamp, ticket_lifetime: Duration) {
        let mut forgotten = Vec::new();
        for (key, entry) in &mut self.answers {
            let age = now.since(entry.touched);
            let whole = entry.log.end().is_some() || entry.end.is_some();
            let watched = entry.changed.receiver_count() > 0;
            // Only the answer to a call that may not be repeated must outlive
            // its caller by the whole lifetime of the ticket; those are short.
            if whole && !watched && age > ANSWER_RETENTION && entry.log.len().0 > 1 {
                entry.log = AnswerLog::new();
                entry.log.fail("the answer is no longer kept");
            }
            // Mirrors keep copies twice as long, since their clock started at
            // another time.
            if !watched && age > ticket_lifetime * 2 {
                forgotten.push(*key);
            }
        }
        for key in forgotten {
            self.answers.remove(&key);
            self.mirror.forget(key);
            self.holder.forget_adopted(key);
        }
    }
}
