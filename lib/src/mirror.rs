//! The mirror's side of the protocol that runs a request at most once.
//!
//! Pure, like [`crate::holder`]. A mirror keeps copies, grants licences, and
//! may take a pair over at any time: it then never grants a licence in that
//! pair again, so a holder that was only paused cannot dispatch any more. A
//! false suspicion therefore costs work but never runs a request twice.

use std::collections::BTreeMap;

use crate::configuration::RepeatRule;
use crate::id::Incarnation;
use crate::id::Serial;
use crate::pair::MirrorReply;
use crate::pair::MirrorRequest;
use crate::pair::PairId;
use crate::pair::PairMessage;
use crate::pair::RequestKey;
use crate::pair::RunTerms;

/// What a mirror knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CopyState<P> {
    /// The copy is kept and no licence was given.
    Held {
        /// What is known of its past.
        terms: RunTerms,
        /// The request itself.
        payload: P,
    },
    /// The holder may have dispatched it.
    Licensed,
    /// Withdrawn before dispatch; nobody will run it.
    Dropped,
    /// Let go of, so that the holder may carry it with another mirror.
    Released,
    /// This entry holds the request now.
    Adopted,
    /// The holder reported its end.
    Finished,
}

/// What the mirror wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorAction<P> {
    /// Send to the holder of the message's carrier.
    Reply(PairMessage<MirrorReply>),
    /// Hold the request from now on.
    Adopt {
        /// The request's key.
        key: RequestKey,
        /// What is known of its past.
        terms: RunTerms,
        /// The request itself.
        payload: P,
    },
}

/// What a mirror can say of a request whose holder is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReport {
    /// No copy is known.
    Absent,
    /// A copy is kept, and the pair was not taken over.
    Kept,
    /// It may have run, and no result is known here.
    MayHaveRun,
    /// It did not run and never will.
    DidNotRun,
    /// This entry holds it now.
    Adopted,
    /// It ended, and the holder reported so.
    Finished,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct CopyTable<P> {
    taken_over: bool,
    forgotten_below: Serial,
    copies: BTreeMap<RequestKey, CopyState<P>>,
}

impl<P> Default for CopyTable<P> {
    fn default() -> Self {
        Self {
            taken_over: false,
            forgotten_below: Serial(0),
            copies: BTreeMap::new(),
        }
    }
}

/// All copies that one incarnation of an entry keeps for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestMirror<P> {
    incarnation: Incarnation,
    pairs: BTreeMap<PairId, CopyTable<P>>,
}

impl<P: Clone> RequestMirror<P> {
    /// Returns a mirror that keeps nothing.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            pairs: BTreeMap::new(),
        }
    }

    /// Returns the pairs that this mirror knows and has not taken over.
    pub fn active_pairs(&self) -> impl Iterator<Item = PairId> {
        self.pairs
            .iter()
            .filter(|(_, table)| !table.taken_over)
            .map(|(pair, _)| *pair)
    }

    /// Returns whether a pair was taken over.
    pub fn is_taken_over(&self, pair: PairId) -> bool {
        self.pairs.get(&pair).is_some_and(|table| table.taken_over)
    }

    /// Returns the number of copies kept, ended ones included.
    pub fn len(&self) -> usize {
        self.pairs.values().map(|table| table.copies.len()).sum()
    }

    /// Returns whether no copy is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether progress of a request may be recorded for its holder.
    /// A copy that was adopted grows here by itself.
    pub fn keeps(&self, carrier: PairId, key: RequestKey) -> bool {
        let copies = self.pairs.get(&carrier).map(|table| &table.copies);
        let state = copies.and_then(|copies| copies.get(&key));
        matches!(
            state,
            Some(CopyState::Held { .. } | CopyState::Licensed | CopyState::Finished)
        )
    }

    /// Returns whether this entry adopted the request from that pair.
    pub fn adopted_from(&self, carrier: PairId, key: RequestKey) -> bool {
        let copies = self.pairs.get(&carrier).map(|table| &table.copies);
        let state = copies.and_then(|copies| copies.get(&key));
        matches!(state, Some(CopyState::Adopted))
    }

    /// Handles a message of a holder. A message of a pair with another mirror
    /// incarnation is dropped: this process knows nothing of it.
    pub fn receive(&mut self, message: PairMessage<MirrorRequest<P>>) -> Vec<MirrorAction<P>> {
        if message.carrier.mirror != self.incarnation || message.carrier.is_solo() {
            return Vec::new();
        }
        let carrier = message.carrier;
        let key = message.key;
        let table = self.pairs.entry(carrier).or_default();
        let reply = |body| MirrorAction::Reply(PairMessage { carrier, key, body });
        match message.body {
            MirrorRequest::Copy { terms, payload } => {
                vec![reply(table.copy(key, terms, payload))]
            }
            MirrorRequest::Drop { may_have_run } => {
                vec![reply(table.withdraw(key, may_have_run))]
            }
            MirrorRequest::Release => vec![reply(table.release(key))],
            MirrorRequest::AskLicence => vec![reply(table.license(key))],
            MirrorRequest::Finish => vec![reply(table.finish(key))],
            MirrorRequest::PassOn { terms, payload } => {
                let (body, adopts) = table.pass_on(key);
                let mut actions = Vec::new();
                if adopts {
                    actions.push(MirrorAction::Adopt {
                        key,
                        terms,
                        payload,
                    });
                }
                actions.push(reply(body));
                actions
            }
        }
    }

    /// Takes a pair over, because its holder is believed gone. What was never
    /// licensed is adopted; no licence will be given in this pair again.
    pub fn take_over(&mut self, pair: PairId) -> Vec<MirrorAction<P>> {
        if pair.mirror != self.incarnation || pair.is_solo() {
            return Vec::new();
        }
        let table = self.pairs.entry(pair).or_default();
        table.taken_over = true;
        let mut actions = Vec::new();
        for (key, state) in &mut table.copies {
            if !matches!(state, CopyState::Held { .. }) {
                continue;
            }
            let former = std::mem::replace(state, CopyState::Adopted);
            if let CopyState::Held { mut terms, payload } = former {
                // A repeatable request is dispatched without a licence.
                terms.may_have_run |= terms.rule == RepeatRule::Repeatable;
                actions.push(MirrorAction::Adopt {
                    key: *key,
                    terms,
                    payload,
                });
            }
        }
        actions
    }

    /// Reports what is known of a request, whatever pair carried it here.
    pub fn report(&self, key: RequestKey) -> CopyReport {
        let mut report = CopyReport::Absent;
        for table in self.pairs.values() {
            let Some(state) = table.copies.get(&key) else {
                continue;
            };
            let found = match state {
                CopyState::Held { .. } => CopyReport::Kept,
                CopyState::Licensed | CopyState::Released => CopyReport::MayHaveRun,
                CopyState::Dropped => CopyReport::DidNotRun,
                CopyState::Adopted => CopyReport::Adopted,
                CopyState::Finished => CopyReport::Finished,
            };
            // A request comes here twice only if it moved away in between, so
            // the later pair knows better; an adopted one always does.
            if report != CopyReport::Adopted {
                report = found;
            }
        }
        report
    }

    /// Promises that a ticket of a pair that was taken over never runs, if it
    /// is not known here. Its holder starts a ticket only in the ticket's own
    /// pair, so the answer is certain for a request that may run only once.
    pub fn refuse_absent(&mut self, key: RequestKey) -> CopyReport {
        if let Some(table) = self.pairs.get_mut(&key.pair) {
            let unused = key.serial >= table.forgotten_below && !table.copies.contains_key(&key);
            if table.taken_over && unused {
                table.copies.insert(key, CopyState::Dropped);
            }
        }
        self.report(key)
    }

    /// Forgets a request that ended. Tickets of its pair up to its own can no
    /// longer be distinguished from unused ones, and are reported as absent.
    pub fn forget(&mut self, key: RequestKey) {
        for (pair, table) in &mut self.pairs {
            let held = matches!(table.copies.get(&key), Some(CopyState::Held { .. }));
            if held || table.copies.remove(&key).is_none() {
                continue;
            }
            if *pair == key.pair {
                let next = Serial(key.serial.0 + 1);
                table.forgotten_below = table.forgotten_below.max(next);
            }
        }
    }

    /// Forgets pairs that were taken over and have no copies left.
    pub fn forget_pairs(&mut self, old: impl Fn(PairId) -> bool) {
        self.pairs
            .retain(|pair, table| !(table.copies.is_empty() && old(*pair)));
    }
}

impl<P> CopyTable<P> {
    fn copy(&mut self, key: RequestKey, terms: RunTerms, payload: P) -> MirrorReply {
        match self.copies.get(&key) {
            None if self.taken_over => {
                self.copies.insert(key, CopyState::Released);
                MirrorReply::Resigned
            }
            None => {
                self.copies.insert(key, CopyState::Held { terms, payload });
                MirrorReply::Copied
            }
            Some(CopyState::Held { .. } | CopyState::Licensed) => MirrorReply::Copied,
            Some(CopyState::Dropped) => MirrorReply::Dropped,
            Some(CopyState::Released) => MirrorReply::Resigned,
            Some(CopyState::Adopted) => MirrorReply::Adopted,
            Some(CopyState::Finished) => MirrorReply::Noted,
        }
    }

    fn withdraw(&mut self, key: RequestKey, may_have_run: bool) -> MirrorReply {
        match self.copies.get(&key) {
            None | Some(CopyState::Held { .. } | CopyState::Licensed | CopyState::Dropped) => {
                let state = if may_have_run {
                    CopyState::Released
                } else {
                    CopyState::Dropped
                };
                self.copies.insert(key, state);
                MirrorReply::Dropped
            }
            // Only a delayed message can ask this: the holder has moved on.
            Some(CopyState::Released) => MirrorReply::Resigned,
            Some(CopyState::Adopted) => MirrorReply::Adopted,
            Some(CopyState::Finished) => MirrorReply::Noted,
        }
    }

    fn release(&mut self, key: RequestKey) -> MirrorReply {
        match self.copies.get(&key) {
            None | Some(CopyState::Held { .. } | CopyState::Licensed | CopyState::Released) => {
                self.copies.insert(key, CopyState::Released);
                MirrorReply::Resigned
            }
            Some(CopyState::Dropped) => MirrorReply::Dropped,
            Some(CopyState::Adopted) => MirrorReply::Adopted,
            Some(CopyState::Finished) => MirrorReply::Noted,
        }
    }

    fn license(&mut self, key: RequestKey) -> MirrorReply {
        match self.copies.get(&key) {
            None if self.taken_over => {
                self.copies.insert(key, CopyState::Released);
                MirrorReply::Resigned
            }
            None => MirrorReply::NotCopied,
            // A licence given before the take-over may be repeated only as
            // long as the pair stands: afterwards "unknown" has been said.
            Some(CopyState::Licensed) if self.taken_over => MirrorReply::Noted,
            Some(CopyState::Held { .. } | CopyState::Licensed) => {
                assert!(!self.taken_over, "no licence may follow a take-over");
                self.copies.insert(key, CopyState::Licensed);
                MirrorReply::Granted
            }
            Some(CopyState::Dropped) => MirrorReply::Dropped,
            Some(CopyState::Released) => MirrorReply::Resigned,
            Some(CopyState::Adopted) => MirrorReply::Adopted,
            Some(CopyState::Finished) => MirrorReply::Noted,
        }
    }

    fn finish(&mut self, key: RequestKey) -> MirrorReply {
        match self.copies.get(&key) {
            Some(CopyState::Adopted) => MirrorReply::Adopted,
            _ => {
                self.copies.insert(key, CopyState::Finished);
                MirrorReply::Noted
            }
        }
    }

    /// Returns the answer, and whether the request must be adopted now. A
    /// repeated hand-over finds it adopted already and adopts nothing.
    fn pass_on(&mut self, key: RequestKey) -> (MirrorReply, bool) {
        match self.copies.get(&key) {
            // A holder that hands over in this pair has not moved elsewhere,
            // even if it was allowed to.
            None | Some(CopyState::Held { .. } | CopyState::Licensed | CopyState::Released) => {
                self.copies.insert(key, CopyState::Adopted);
                (MirrorReply::Adopted, true)
            }
            Some(CopyState::Adopted) => (MirrorReply::Adopted, false),
            Some(CopyState::Dropped) => (MirrorReply::Dropped, false),
            Some(CopyState::Finished) => (MirrorReply::Noted, false),
        }
    }
}
