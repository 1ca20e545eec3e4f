//! Follows an answer from a position on, as a caller does.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use crate::answer::AnswerEnd;
use crate::answer::AnswerHead;
use crate::entry_context::EntryContext;
use crate::holder_action::HolderEnd;
use crate::id::ChunkPosition;
use crate::id::Incarnation;
use crate::pair::RequestKey;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::request_table::AnswerEntry;

/// What comes next of an answer.
#[derive(Debug)]
pub enum FollowEvent {
    /// Chunks from a position on.
    Chunks(ChunkPosition, Vec<Bytes>),
    /// The answer is whole.
    Complete,
    /// There will be no more.
    Failed(Refusal),
    /// Another entry holds the request now.
    Moved(Incarnation),
}

/// Follows one answer.
#[derive(Debug)]
pub struct AnswerFollower {
    context: Arc<EntryContext>,
    key: RequestKey,
    position: ChunkPosition,
    changed: Option<watch::Receiver<u64>>,
}

impl AnswerFollower {
    /// Returns a follower that starts at `position`.
    pub fn new(context: Arc<EntryContext>, key: RequestKey, position: ChunkPosition) -> Self {
        let changed = {
            let table = context.tables.requests.lock();
            table
                .answers
                .get(&key)
                .map(|entry| entry.changed.subscribe())
        };
        Self {
            context,
            key,
            position,
            changed,
        }
    }

    /// Returns the request.
    pub fn key(&self) -> RequestKey {
        self.key
    }

    /// Returns the position of the next chunk.
    pub fn position(&self) -> ChunkPosition {
        self.position
    }

    /// Returns the entry's context.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Returns the head of the answer, if it is known.
    pub fn head(&self) -> Option<AnswerHead> {
        let table = self.context.tables.requests.lock();
        table.answers.get(&self.key)?.log.head().cloned()
    }

    /// Waits for what comes next.
    pub async fn next(&mut self) -> FollowEvent {
        loop {
            if let Some(event) = self.poll() {
                if let FollowEvent::Chunks(position, chunks) = &event {
                    self.position = ChunkPosition(position.0 + chunks.len() as u64);
                }
                return event;
            }
            let Some(changed) = &mut self.changed else {
                return FollowEvent::Failed(not_kept());
            };
            if changed.changed().await.is_err() {
                return FollowEvent::Failed(not_kept());
            }
        }
    }

    fn poll(&mut self) -> Option<FollowEvent> {
        if let Some(changed) = &mut self.changed {
            changed.mark_unchanged();
        }
        let table = self.context.tables.requests.lock();
        let Some(entry) = table.answers.get(&self.key) else {
            return Some(FollowEvent::Failed(not_kept()));
        };
        next_event(entry, self.position)
    }
}

fn next_event(entry: &AnswerEntry, position: ChunkPosition) -> Option<FollowEvent> {
    let confirmed = entry.log.confirmed();
    if confirmed > position {
        let count = (confirmed.0 - position.0) as usize;
        let chunks = &entry.log.chunks_from(position)[..count];
        return Some(FollowEvent::Chunks(position, chunks.to_vec()));
    }
    let complete = entry.log.end() == Some(&AnswerEnd::Complete);
    if complete && position >= entry.log.len() {
        return Some(FollowEvent::Complete);
    }
    let end = entry.end?;
    if let HolderEnd::Moved(to) = end {
        return Some(FollowEvent::Moved(to));
    }
    if let Some(failure) = &entry.failure {
        return Some(FollowEvent::Failed(failure.clone()));
    }
    let late = RefusalCode::DeadlinePassed;
    Some(FollowEvent::Failed(match end {
        HolderEnd::DidNotRun => Refusal::not_run(late, "given up on before it ran"),
        HolderEnd::Unknown => Refusal::unknown(late, "given up on; it may have run"),
        HolderEnd::Finished | HolderEnd::Moved(_) => not_kept(),
    }))
}

fn not_kept() -> Refusal {
    Refusal::unknown(
        RefusalCode::OutcomeUnknown,
        "the answer is not kept here any more",
    )
}
