//! Carries out the actions of the holder and the mirror.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::answer::AnswerEnd;
use crate::answer::AnswerHead;
use crate::chat_runner;
use crate::configuration::RepeatRule;
use crate::entry_context::EntryContext;
use crate::holder_action::AcceptError;
use crate::holder_action::HolderAction;
use crate::holder_action::HolderEnd;
use crate::holder_action::HolderPhase;
use crate::holder_action::TicketUse;
use crate::id::AccountName;
use crate::id::ChunkPosition;
use crate::mirror::MirrorAction;
use crate::pair::MirrorReply;
use crate::pair::MirrorRequest;
use crate::pair::PairId;
use crate::pair::PairMessage;
use crate::pair::RequestKey;
use crate::plain_runner;
use crate::quantity::Timestamp;
use crate::refusal::Refusal;
use crate::request::AcceptedRequest;
use crate::request_table::AnswerEntry;
use crate::request_table::RequestTable;
use crate::wire::AnswerProgress;
use crate::wire::PeerMessage;
use crate::wire::ProgressNote;

/// How long a withdrawal may take to be confirmed before the answer is
/// `unknown`.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait for an answer of the mirror before asking again.
pub const RESEND_AFTER: Duration = Duration::from_millis(100);
/// How long a mirror that does not answer may block a request that it might
/// have taken over.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

impl EntryContext {
    /// Takes in a request. With its first use it is copied and then run.
    ///
    /// # Errors
    ///
    /// See [`AcceptError`]; the request did not run here then.
    pub fn accept_request(
        self: &Arc<Self>,
        key: RequestKey,
        rule: RepeatRule,
        account: &AccountName,
        request: AcceptedRequest,
    ) -> Result<TicketUse, AcceptError> {
        let now = self.now();
        let deadline = now.after(Duration::from_millis(request.time_left_ms));
        let mut table = self.tables.requests.lock();
        let (use_, actions) = table.holder.accept(key, rule, request)?;
        if use_ == TicketUse::First {
            let mut entry = AnswerEntry::new(account.clone(), now, deadline);
            entry.counted = true;
            table.answers.insert(key, entry);
            let cancel = entry_cancel(&table, key);
            self.watch_deadline(key, deadline, cancel);
        }
        self.run_holder_actions(&mut table, actions);
        Ok(use_)
    }

    fn watch_deadline(
        self: &Arc<Self>,
        key: RequestKey,
        deadline: Timestamp,
        ended: CancellationToken,
    ) {
        let context = Arc::clone(self);
        let left = deadline.since(self.now());
        tokio::spawn(async move {
            tokio::select! {
                () = context.stop.cancelled() => {}
                () = ended.cancelled() => {}
                () = tokio::time::sleep(left) => context.give_up(key).await,
            }
        });
    }

    /// Gives up on a request. Its end is known when this returns.
    pub async fn give_up(self: &Arc<Self>, key: RequestKey) {
        let unconfirmed = {
            let mut table = self.tables.requests.lock();
            let actions = table.holder.give_up(key);
            self.run_holder_actions(&mut table, actions);
            matches!(
                table.holder.phase(key),
                Some(HolderPhase::Withdrawing | HolderPhase::PassingOn)
            )
        };
        if unconfirmed {
            tokio::time::sleep(CONFIRM_TIMEOUT).await;
            let mut table = self.tables.requests.lock();
            let actions = table.holder.give_up_unconfirmed(key);
            self.run_holder_actions(&mut table, actions);
        }
    }

    /// Carries out what the holder wants done, in order.
    pub fn run_holder_actions(
        self: &Arc<Self>,
        table: &mut RequestTable,
        actions: Vec<HolderAction<AcceptedRequest>>,
    ) {
        for action in actions {
            match action {
                HolderAction::Send(message) => {
                    let mirror = message.carrier.mirror;
                    let message = PeerMessage::ToMirror(Box::new(message));
                    self.peers.send_to(mirror, message);
                }
                HolderAction::Accepted(key) => self.mark_accepted(table, key),
                HolderAction::Dispatch(key) => self.dispatch(table, key),
                HolderAction::End(key, end) => self.mark_ended(table, key, end),
            }
        }
    }

    fn mark_accepted(&self, table: &mut RequestTable, key: RequestKey) {
        counter!("cloverbend_requests_accepted_total").increment(1);
        if let Some(entry) = table.answers.get_mut(&key) {
            entry.accepted = true;
            entry.notify(self.now());
        }
    }

    fn dispatch(self: &Arc<Self>, table: &mut RequestTable, key: RequestKey) {
        let Some(request) = table.holder.payload(key).cloned() else {
            return;
        };
        let Some(entry) = table.answers.get(&key) else {
            return;
        };
        let cancel = entry.cancel.clone();
        let deadline = entry.deadline;
        let context = Arc::clone(self);
        tokio::spawn(async move {
            if request.model {
                chat_runner::run_chat(context, key, request, cancel).await;
            } else {
                plain_runner::run_call(context, key, request, deadline).await;
            }
        });
    }

    fn mark_ended(&self, table: &mut RequestTable, key: RequestKey, end: HolderEnd) {
        let Some(entry) = table.answers.get_mut(&key) else {
            return;
        };
        entry.end = Some(end);
        entry.cancel.cancel();
        entry.notify(self.now());
        let counted = std::mem::take(&mut entry.counted);
        let account = entry.account.clone();
        counter!("cloverbend_requests_ended_total", "end" => end_label(end)).increment(1);
        if counted {
            self.tables.limits.lock().accounts.release(&account);
        }
    }

    /// Carries out what the mirror wants done, in order.
    pub fn run_mirror_actions(
        self: &Arc<Self>,
        table: &mut RequestTable,
        actions: Vec<MirrorAction<AcceptedRequest>>,
    ) {
        for action in actions {
            match action {
                MirrorAction::Reply(message) => {
                    let holder = message.carrier.holder;
                    self.peers.send_to(holder, PeerMessage::ToHolder(message));
                }
                MirrorAction::Adopt {
                    key,
                    terms,
                    payload,
                } => {
                    info!(self.log, "a request was adopted"; "request" => %key);
                    counter!("cloverbend_requests_adopted_total").increment(1);
                    self.ensure_answer(table, key, &payload);
                    if let Some(entry) = table.answers.get_mut(&key) {
                        entry.end = None;
                        entry.cancel = CancellationToken::new();
                        self.watch_deadline(key, entry.deadline, entry.cancel.clone());
                    }
                    let actions = table.holder.adopt(key, terms, payload);
                    self.run_holder_actions(table, actions);
                }
            }
        }
    }

    fn ensure_answer(&self, table: &mut RequestTable, key: RequestKey, request: &AcceptedRequest) {
        if table.answers.contains_key(&key) {
            return;
        }
        // A name that does not parse was refused by the holder already.
        let Ok(account) = request.account.parse() else {
            return;
        };
        let now = self.now();
        let deadline = now.after(Duration::from_millis(request.time_left_ms));
        table
            .answers
            .insert(key, AnswerEntry::new(account, now, deadline));
    }

    /// Handles a message of a holder whose mirror this entry is.
    pub fn receive_as_mirror(
        self: &Arc<Self>,
        message: PairMessage<MirrorRequest<AcceptedRequest>>,
    ) {
        let mut table = self.tables.requests.lock();
        let key = message.key;
        let content = match &message.body {
            MirrorRequest::Copy { payload, .. } | MirrorRequest::PassOn { payload, .. } => {
                Some(payload)
            }
            _ => None,
        };
        if let Some(request) = content {
            self.ensure_answer(&mut table, key, request);
        }
        let actions = table.mirror.receive(message);
        self.run_mirror_actions(&mut table, actions);
    }

    /// Handles an answer of a mirror.
    pub fn receive_as_holder(self: &Arc<Self>, message: PairMessage<MirrorReply>) {
        let mut table = self.tables.requests.lock();
        let before = table.holder.pair();
        let actions = table.holder.receive(message);
        let changed = table.holder.pair() != before;
        self.run_holder_actions(&mut table, actions);
        if changed {
            self.pair_check.notify_one();
        }
    }

    /// Handles progress of an answer that this entry mirrors.
    pub fn receive_progress(self: &Arc<Self>, progress: AnswerProgress) {
        let now = self.now();
        let mut table = self.tables.requests.lock();
        let carrier = progress.carrier;
        let key = progress.key;
        let adopted = table.mirror.adopted_from(carrier, key);
        let keeps = table.mirror.keeps(carrier, key);
        let mut length = 0;
        if let Some(entry) = table.answers.get_mut(&key) {
            if keeps {
                place_progress(entry, progress);
                entry.notify(now);
            }
            length = entry.log.len().0;
        }
        if keeps || adopted {
            let note = ProgressNote {
                carrier,
                key,
                length,
                adopted,
            };
            self.peers
                .send_to(carrier.holder, PeerMessage::ProgressNoted(note));
        }
    }

    /// Handles a mirror's word on how much of an answer it has.
    pub fn receive_progress_note(self: &Arc<Self>, note: ProgressNote) {
        let now = self.now();
        let mut table = self.tables.requests.lock();
        if table.holder.carrier(note.key) != Some(note.carrier) {
            return;
        }
        if note.adopted {
            let reply = PairMessage {
                carrier: note.carrier,
                key: note.key,
                body: MirrorReply::Adopted,
            };
            let actions = table.holder.receive(reply);
            self.run_holder_actions(&mut table, actions);
            return;
        }
        if let Some(entry) = table.answers.get_mut(&note.key) {
            entry.note_copied(note.carrier, ChunkPosition(note.length));
            entry.notify(now);
        }
        self.finish_if_confirmed(&mut table, note.key);
    }

    /// Ends a request whose whole answer the mirror has.
    fn finish_if_confirmed(self: &Arc<Self>, table: &mut RequestTable, key: RequestKey) {
        let Some(entry) = table.answers.get(&key) else {
            return;
        };
        let Some(carrier) = table.holder.carrier(key) else {
            return;
        };
        let whole = entry.log.end().is_some();
        let copied = entry.copied_length(carrier) == entry.log.len();
        if whole && copied {
            let actions = table.holder.finish(key);
            self.run_holder_actions(table, actions);
        }
    }

    /// Sends the part of an answer that the mirror does not have.
    pub fn send_progress(self: &Arc<Self>, table: &mut RequestTable, key: RequestKey, all: bool) {
        let Some(carrier) = table.holder.carrier(key) else {
            return;
        };
        let now = self.now();
        let Some(entry) = table.answers.get_mut(&key) else {
            return;
        };
        if carrier.is_solo() {
            let length = entry.log.len();
            entry.note_copied(carrier, length);
            entry.notify(now);
            self.finish_if_confirmed(table, key);
            return;
        }
        let progress = progress_message(entry, carrier, key, all);
        entry.progress_sent = now;
        self.peers
            .send_to(carrier.mirror, PeerMessage::Progress(progress));
    }

    /// Places a chunk of a running chat and copies it to the mirror. Returns
    /// whether the request still runs here.
    pub fn place_chunk(
        self: &Arc<Self>,
        key: RequestKey,
        position: ChunkPosition,
        chunk: Bytes,
    ) -> bool {
        let mut table = self.tables.requests.lock();
        if table.holder.phase(key) != Some(HolderPhase::Running) {
            return false;
        }
        if let Some(entry) = table.answers.get_mut(&key) {
            entry.log.set_head(AnswerHead {
                status: 200,
                content_type: "text/event-stream".to_owned(),
            });
            entry.log.place(position, chunk);
        }
        self.send_progress(&mut table, key, false);
        true
    }

    /// Places the end marker of a running request's answer.
    pub fn place_end(self: &Arc<Self>, key: RequestKey, position: ChunkPosition) {
        let mut table = self.tables.requests.lock();
        if let Some(entry) = table.answers.get_mut(&key) {
            entry.log.place_end(position);
        }
        self.send_progress(&mut table, key, false);
    }

    /// Ends a running request with a failure. If it certainly did not run, the
    /// refusal says so.
    pub fn fail_request(self: &Arc<Self>, key: RequestKey, refusal: Refusal) {
        let mut table = self.tables.requests.lock();
        if let Some(entry) = table.answers.get_mut(&key) {
            entry.log.fail(refusal.message.clone());
            entry.failure = Some(refusal);
        }
        let actions = table.holder.finish(key);
        self.run_holder_actions(&mut table, actions);
    }

    /// Places the whole answer of a plain call and ends it.
    pub fn answer_call(self: &Arc<Self>, key: RequestKey, head: AnswerHead, body: Bytes) {
        let mut table = self.tables.requests.lock();
        if let Some(entry) = table.answers.get_mut(&key) {
            entry.log.set_head(head);
            entry.log.place(ChunkPosition(0), body);
            entry.log.place_end(ChunkPosition(1));
            entry.log.confirm(ChunkPosition(1));
        }
        // The mirror gets the answer too, so that a retry finds it there, but
        // the caller does not wait for that.
        self.send_progress(&mut table, key, true);
        let actions = table.holder.finish(key);
        self.run_holder_actions(&mut table, actions);
    }

    /// Repeats messages that were not answered. Call it every
    /// [`RESEND_AFTER`].
    pub fn resend_pending(self: &Arc<Self>) {
        let now = self.now();
        let mut table = self.tables.requests.lock();
        let open: Vec<(RequestKey, HolderPhase)> = table.holder.open_requests().collect();
        for (key, phase) in open {
            let Some(entry) = table.answers.get(&key) else {
                continue;
            };
            let age = now.since(entry.touched);
            let copied = table
                .holder
                .carrier(key)
                .map(|pair| entry.copied_length(pair));
            let behind = copied < Some(entry.log.len()) || entry.log.end().is_some();
            let waits = now.since(entry.progress_sent) >= RESEND_AFTER;
            if phase == HolderPhase::Running {
                if behind && waits {
                    let copy = table.holder.resend(key);
                    self.run_holder_actions(&mut table, copy);
                    self.send_progress(&mut table, key, false);
                }
                continue;
            }
            if age < RESEND_AFTER {
                continue;
            }
            let actions = if phase == HolderPhase::Releasing && age >= RELEASE_TIMEOUT {
                table.holder.give_up_unconfirmed(key)
            } else {
                table.holder.resend(key)
            };
            self.run_holder_actions(&mut table, actions);
        }
    }
}

fn entry_cancel(table: &RequestTable, key: RequestKey) -> CancellationToken {
    let entry = table.answers.get(&key);
    entry.map_or_else(CancellationToken::new, |entry| entry.cancel.clone())
}

fn progress_message(
    entry: &AnswerEntry,
    carrier: PairId,
    key: RequestKey,
    all: bool,
) -> AnswerProgress {
    let from = if all {
        ChunkPosition(0)
    } else {
        entry.copied_length(carrier)
    };
    AnswerProgress {
        carrier,
        key,
        head: entry.log.head().cloned(),
        from: from.0,
        chunks: entry.log.chunks_from(from).to_vec(),
        complete: entry.log.end() == Some(&AnswerEnd::Complete),
    }
}

fn place_progress(entry: &mut AnswerEntry, progress: AnswerProgress) {
    if let Some(head) = progress.head {
        entry.log.set_head(head);
    }
    let end = progress.from + progress.chunks.len() as u64;
    for (index, chunk) in progress.chunks.into_iter().enumerate() {
        let position = ChunkPosition(progress.from + index as u64);
        entry.log.place(position, chunk);
    }
    if progress.complete {
        entry.log.place_end(ChunkPosition(end));
    }
}

fn end_label(end: HolderEnd) -> &'static str {
    match end {
        HolderEnd::Finished => "finished",
        HolderEnd::DidNotRun => "did_not_run",
        HolderEnd::Unknown => "unknown",
        HolderEnd::Moved(_) => "moved",
    }
}
