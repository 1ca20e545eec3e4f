//! The holder's side of the protocol that runs a request at most once.
//!
//! Pure: each method takes an event and returns the actions to carry out, in
//! order. Nothing here waits, reads a clock or draws a random number. Lost
//! messages are covered by [`RequestHolder::resend`].

use std::collections::BTreeMap;

use crate::configuration::RepeatRule;
use crate::holder_action::AcceptError;
use crate::holder_action::HolderAction;
use crate::holder_action::HolderEnd;
use crate::holder_action::HolderPhase;
use crate::holder_action::TicketUse;
use crate::id::Incarnation;
use crate::id::PairEpoch;
use crate::id::Serial;
use crate::pair::MirrorReply;
use crate::pair::MirrorRequest;
use crate::pair::PairId;
use crate::pair::PairMessage;
use crate::pair::RequestKey;
use crate::pair::RunTerms;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct HeldRequest<P> {
    phase: HolderPhase,
    terms: RunTerms,
    carrier: PairId,
    payload: Option<P>,
}

/// All requests that one incarnation of an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHolder<P> {
    incarnation: Incarnation,
    pair: PairId,
    next_serial: Serial,
    expired: BTreeMap<PairId, Serial>,
    requests: BTreeMap<RequestKey, HeldRequest<P>>,
    leaving: bool,
    capacity: usize,
}

impl<P: Clone> RequestHolder<P> {
    /// Returns a holder without a mirror that keeps at most `capacity`
    /// requests, ended ones included.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        let pair = PairId {
            holder: incarnation,
            epoch: PairEpoch(0),
            mirror: incarnation,
        };
        Self {
            incarnation,
            pair,
            next_serial: Serial(0),
            expired: BTreeMap::from([(pair, Serial(0))]),
            requests: BTreeMap::new(),
            leaving: false,
            capacity,
        }
    }

    /// Returns the pair that new tickets belong to.
    pub fn pair(&self) -> PairId {
        self.pair
    }

    /// Returns whether the entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of requests kept, ended ones included.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests that have not ended.
    pub fn open_requests(&self) -> impl Iterator<Item = (RequestKey, HolderPhase)> {
        self.requests
            .iter()
            .filter(|(_, request)| !matches!(request.phase, HolderPhase::Ended(_)))
            .map(|(key, request)| (*key, request.phase))
    }

    /// Returns the phase of a request, if it is known.
    pub fn phase(&self, key: RequestKey) -> Option<HolderPhase> {
        self.requests.get(&key).map(|request| request.phase)
    }

    /// Returns the pair that carries a request now.
    pub fn carrier(&self, key: RequestKey) -> Option<PairId> {
        self.requests.get(&key).map(|request| request.carrier)
    }

    /// Returns the content of a request that may still be needed.
    pub fn payload(&self, key: RequestKey) -> Option<&P> {
        self.requests.get(&key)?.payload.as_ref()
    }

    /// Issues a ticket of the current pair.
    pub fn issue_ticket(&mut self) -> RequestKey {
        let serial = self.next_serial;
        self.next_serial = Serial(serial.0 + 1);
        RequestKey {
            pair: self.pair,
            serial,
        }
    }

    /// Forms a pair with another mirror for new work. Repeatable requests in
    /// progress move to it at once. Requests that may run only once stay with
    /// the old mirror, which may have taken them over unseen.
    pub fn form_pair(&mut self, mirror: Incarnation) -> Vec<HolderAction<P>> {
        self.renew_pair(mirror);
        let keys = self.select(|request| {
            request.terms.rule == RepeatRule::Repeatable
                && request.phase != HolderPhase::Withdrawing
        });
        for key in &keys {
            // The former mirror was not asked, so it may run the request too.
            if let Some(request) = self.requests.get_mut(key) {
                request.terms.may_have_run = true;
            }
        }
        keys.into_iter()
            .flat_map(|key| self.move_request(key))
            .collect()
    }

    /// Starts a fresh pair for new work and leaves all else where it is.
    fn renew_pair(&mut self, mirror: Incarnation) {
        let epoch = PairEpoch(self.pair.epoch.0 + 1);
        self.pair = PairId {
            holder: self.incarnation,
            epoch,
            mirror,
        };
        self.next_serial = Serial(0);
        self.expired.insert(self.pair, Serial(0));
    }

    /// Asks the mirrors of former pairs to let go of what was not dispatched.
    /// Used when such a mirror is leaving. A mirror that ended without a word
    /// cannot be asked, and may have handed its copies on before it ended:
    /// what it carried ends as `Unknown` when it is given up on.
    pub fn release_former(&mut self) -> Vec<HolderAction<P>> {
        let pair = self.pair;
        let keys = self.select(|request| {
            request.carrier != pair
                && matches!(request.phase, HolderPhase::Copying | HolderPhase::Licensing)
        });
        for key in &keys {
            if let Some(request) = self.requests.get_mut(key) {
                request.phase = HolderPhase::Releasing;
            }
        }
        keys.into_iter().flat_map(|key| self.resend(key)).collect()
    }

    fn select(&self, wanted: impl Fn(&HeldRequest<P>) -> bool) -> Vec<RequestKey> {
        self.requests
            .iter()
            .filter(|(_, request)| wanted(request))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Carries a request in the current pair from now on. Either the mirror of
    /// the former pair will not run it, or its terms say that it may.
    fn move_request(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let pair = self.pair;
        let leaving = self.leaving;
        let Some(request) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        match request.phase {
            HolderPhase::Ended(_) => return Vec::new(),
            HolderPhase::Withdrawing => return self.end_undispatched(key),
            HolderPhase::Copying | HolderPhase::Licensing | HolderPhase::Releasing => {
                request.phase = HolderPhase::Copying;
                request.carrier = pair;
            }
            HolderPhase::Running | HolderPhase::PassingOn => {
                request.carrier = pair;
                return self.resend(key);
            }
        }
        if leaving {
            return self.pass_on(key);
        }
        self.start(key)
    }

    fn end_undispatched(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let may_have_run = self
            .requests
            .get(&key)
            .is_some_and(|request| request.terms.may_have_run);
        let end = if may_have_run {
            HolderEnd::Unknown
        } else {
            HolderEnd::DidNotRun
        };
        self.end(key, end)
    }

    /// Takes in the request of a ticket that this incarnation issued.
    ///
    /// # Errors
    ///
    /// See [`AcceptError`]; nothing was changed then.
    pub fn accept(
        &mut self,
        key: RequestKey,
        rule: RepeatRule,
        payload: P,
    ) -> Result<(TicketUse, Vec<HolderAction<P>>), AcceptError> {
        if let Some(request) = self.requests.get(&key) {
            return Ok((TicketUse::Again(request.phase), Vec::new()));
        }
        self.check_ticket(key)?;
        if self.leaving {
            return Err(AcceptError::Leaving);
        }
        if self.requests.len() >= self.capacity {
            return Err(AcceptError::Full);
        }
        let terms = RunTerms {
            rule,
            may_have_run: false,
        };
        self.insert(key, terms, payload);
        Ok((TicketUse::First, self.start(key)))
    }

    fn check_ticket(&self, key: RequestKey) -> Result<(), AcceptError> {
        if key.pair.holder != self.incarnation {
            return Err(AcceptError::NotIssuedHere);
        }
        let Some(expired) = self.expired.get(&key.pair) else {
            return Err(AcceptError::Expired);
        };
        if key.serial < *expired {
            return Err(AcceptError::Expired);
        }
        if key.pair != self.pair {
            // The former mirror may promise callers that this ticket never
            // runs, so this entry must not start it with another mirror.
            return Err(AcceptError::FormerPair);
        }
        if key.serial >= self.next_serial {
            return Err(AcceptError::NotIssuedHere);
        }
        Ok(())
    }

    /// Takes in a request that another entry held, as its mirror or by being
    /// handed it. The caller makes sure that it can no longer run there.
    pub fn adopt(&mut self, key: RequestKey, terms: RunTerms, payload: P) -> Vec<HolderAction<P>> {
        match self.phase(key) {
            None => self.insert(key, terms, payload),
            Some(HolderPhase::Ended(HolderEnd::Moved(_))) => {
                return self.take_back(key, terms, payload);
            }
            // Answered for good: it must not run any more.
            Some(HolderPhase::Ended(_)) => return Vec::new(),
            Some(_) => return self.take_back(key, terms, payload),
        }
        if self.leaving {
            return self.pass_on(key);
        }
        self.start(key)
    }

    /// Takes back a request that went round the entries. The first mirror has
    /// adopted and handed it on, so that it would refuse it in the old pair;
    /// a fresh pair makes it a new request there.
    fn take_back(&mut self, key: RequestKey, terms: RunTerms, payload: P) -> Vec<HolderAction<P>> {
        self.renew_pair(self.pair.mirror);
        let pair = self.pair;
        let mut actions = Vec::new();
        let Some(request) = self.requests.get_mut(&key) else {
            return actions;
        };
        request.terms.may_have_run |= terms.may_have_run;
        request.carrier = pair;
        request.payload.get_or_insert(payload);
        match request.phase {
            HolderPhase::Withdrawing => actions.extend(self.end_undispatched(key)),
            HolderPhase::Running => actions.extend(self.resend(key)),
            // Even a leaving entry runs it now: handing it on again could go
            // round for ever between entries that all leave.
            HolderPhase::Copying
            | HolderPhase::Licensing
            | HolderPhase::Releasing
            | HolderPhase::PassingOn
            | HolderPhase::Ended(_) => {
                request.phase = HolderPhase::Copying;
                actions.extend(self.start(key));
            }
        }
        actions
    }

    fn insert(&mut self, key: RequestKey, terms: RunTerms, payload: P) {
        let request = HeldRequest {
            phase: HolderPhase::Copying,
            terms,
            carrier: self.pair,
            payload: Some(payload),
        };
        self.requests.insert(key, request);
    }

    fn start(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        if self.pair.is_solo() {
            return self.copied(key);
        }
        self.resend(key)
    }

    /// Repeats the message that a request waits for an answer to, if any.
    pub fn resend(&self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get(&key) else {
            return Vec::new();
        };
        if request.carrier.is_solo() {
            return Vec::new();
        }
        let Some(body) = pending_message(request) else {
            return Vec::new();
        };
        vec![HolderAction::Send(PairMessage {
            carrier: request.carrier,
            key,
            body,
        })]
    }

    /// Handles an answer of a mirror.
    pub fn receive(&mut self, message: PairMessage<MirrorReply>) -> Vec<HolderAction<P>> {
        let refused = matches!(message.body, MirrorReply::Resigned | MirrorReply::Adopted);
        if refused && message.carrier == self.pair && !self.leaving {
            // The mirror refuses everything in this pair. It runs, since it
            // answers, and will do for a fresh one until the entry chooses
            // another; what else is carried in the old pair it will answer.
            self.renew_pair(self.pair.mirror);
        }
        self.receive_for_request(message)
    }

    fn receive_for_request(&mut self, message: PairMessage<MirrorReply>) -> Vec<HolderAction<P>> {
        let key = message.key;
        let Some(request) = self.requests.get(&key) else {
            return Vec::new();
        };
        if request.carrier != message.carrier {
            return Vec::new();
        }
        let mirror = message.carrier.mirror;
        match (message.body, request.phase) {
            (MirrorReply::Copied, HolderPhase::Copying) => self.copied(key),
            (MirrorReply::Granted, HolderPhase::Licensing) => self.dispatch(key),
            (
                MirrorReply::Dropped,
                HolderPhase::Copying
                | HolderPhase::Licensing
                | HolderPhase::Withdrawing
                | HolderPhase::Releasing
                | HolderPhase::PassingOn,
            ) => self.end_undispatched(key),
            (MirrorReply::NotCopied, HolderPhase::Licensing) => self.copy_again(key),
            (
                MirrorReply::Adopted,
                HolderPhase::Copying
                | HolderPhase::Licensing
                | HolderPhase::Withdrawing
                | HolderPhase::Releasing
                | HolderPhase::PassingOn,
            ) => self.end(key, HolderEnd::Moved(mirror)),
            (MirrorReply::Adopted, HolderPhase::Running)
                if request.terms.rule == RepeatRule::Repeatable =>
            {
                self.end(key, HolderEnd::Moved(mirror))
            }
            (
                MirrorReply::Resigned,
                HolderPhase::Copying
                | HolderPhase::Licensing
                | HolderPhase::Withdrawing
                | HolderPhase::Releasing,
            ) => self.resigned(key),
            _ => Vec::new(),
        }
    }

    fn copied(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let mut actions = vec![HolderAction::Accepted(key)];
        request.phase = HolderPhase::Licensing;
        let needs_licence =
            request.terms.rule == RepeatRule::AtMostOnce && !request.carrier.is_solo();
        if needs_licence {
            actions.extend(self.resend(key));
        } else {
            actions.extend(self.dispatch(key));
        }
        actions
    }

    fn copy_again(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = HolderPhase::Copying;
        }
        self.resend(key)
    }

    fn dispatch(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        assert!(
            request.phase == HolderPhase::Licensing,
            "a request must be dispatched once only"
        );
        request.phase = HolderPhase::Running;
        vec![HolderAction::Dispatch(key)]
    }

    /// The mirror has resigned and will not run the request: it moves to the
    /// current pair if that is another one.
    fn resigned(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let moves = self
            .requests
            .get(&key)
            .is_some_and(|request| request.carrier != self.pair);
        let ends = self.phase(key) == Some(HolderPhase::Withdrawing);
        if moves || ends {
            return self.move_request(key);
        }
        Vec::new()
    }

    /// Notes that a dispatched request has its result.
    pub fn finish(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        if self.phase(key) != Some(HolderPhase::Running) {
            return Vec::new();
        }
        let mut actions = self.end(key, HolderEnd::Finished);
        let carrier = self.carrier(key).filter(|carrier| !carrier.is_solo());
        if let Some(carrier) = carrier {
            actions.push(HolderAction::Send(PairMessage {
                carrier,
                key,
                body: MirrorRequest::Finish,
            }));
        }
        actions
    }

    /// Gives up on a request, because its caller did or its deadline passed.
    /// Before dispatch the end is `DidNotRun` once the mirror confirms; until
    /// then [`RequestHolder::give_up_unconfirmed`] ends it as `Unknown`.
    pub fn give_up(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        match request.phase {
            HolderPhase::Copying | HolderPhase::Licensing | HolderPhase::Releasing => {
                request.phase = HolderPhase::Withdrawing;
                if request.carrier.is_solo() {
                    return self.end_undispatched(key);
                }
                self.resend(key)
            }
            HolderPhase::Running => {
                let carrier = request.carrier;
                let mut actions = self.end(key, HolderEnd::Unknown);
                if !carrier.is_solo() {
                    actions.push(HolderAction::Send(PairMessage {
                        carrier,
                        key,
                        body: MirrorRequest::Finish,
                    }));
                }
                actions
            }
            HolderPhase::Withdrawing | HolderPhase::PassingOn | HolderPhase::Ended(_) => Vec::new(),
        }
    }

    /// Ends a request whose withdrawal or hand-over was not confirmed in time.
    pub fn give_up_unconfirmed(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        match self.phase(key) {
            Some(
                HolderPhase::Copying
                | HolderPhase::Licensing
                | HolderPhase::Withdrawing
                | HolderPhase::Releasing
                | HolderPhase::PassingOn,
            ) => self.end(key, HolderEnd::Unknown),
            _ => Vec::new(),
        }
    }

    /// Starts to leave: no new request, no dispatch of what has no licence.
    /// What was not dispatched is handed to the mirror.
    pub fn leave(&mut self) -> Vec<HolderAction<P>> {
        self.leaving = true;
        let waiting = self.select(|request| {
            matches!(request.phase, HolderPhase::Copying | HolderPhase::Licensing)
        });
        waiting
            .into_iter()
            .flat_map(|key| self.pass_on(key))
            .collect()
    }

    /// Hands a running repeatable request to the mirror. One that may run
    /// only once stays, since it was dispatched.
    pub fn pass_on_running(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get(&key) else {
            return Vec::new();
        };
        let passes =
            request.phase == HolderPhase::Running && request.terms.rule == RepeatRule::Repeatable;
        if passes {
            self.pass_on(key)
        } else {
            Vec::new()
        }
    }

    fn pass_on(&mut self, key: RequestKey) -> Vec<HolderAction<P>> {
        let Some(request) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        if request.carrier.is_solo() {
            // There is nobody to hand it to, so it runs here to its end.
            return Vec::new();
        }
        // A repeatable request may move on to another mirror without the
        // first one's word, so neither may say that it did not run.
        if request.terms.rule == RepeatRule::Repeatable {
            request.terms.may_have_run = true;
        }
        request.phase = HolderPhase::PassingOn;
        self.resend(key)
    }

    fn end(&mut self, key: RequestKey, end: HolderEnd) -> Vec<HolderAction<P>> {
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = HolderPhase::Ended(end);
            request.payload = None;
        }
        vec![HolderAction::End(key, end)]
    }

    /// Forgets the tickets of `pair` below `serial`. Requests that have not
    /// ended are kept; later uses of the others are refused as expired.
    pub fn expire(&mut self, pair: PairId, serial: Serial) {
        if let Some(expired) = self.expired.get_mut(&pair) {
            *expired = (*expired).max(serial);
        }
        self.requests.retain(|key, request| {
            let old = key.pair == pair && key.serial < serial;
            !(old && matches!(request.phase, HolderPhase::Ended(_)))
        });
    }

    /// Forgets an ended request whatever pair its ticket belongs to. Only for
    /// requests whose tickets this incarnation did not issue.
    pub fn forget_adopted(&mut self, key: RequestKey) {
        let ended = matches!(self.phase(key), Some(HolderPhase::Ended(_)));
        if ended && key.pair.holder != self.incarnation {
            self.requests.remove(&key);
        }
    }
}

fn pending_message<P: Clone>(request: &HeldRequest<P>) -> Option<MirrorRequest<P>> {
    let payload = request.payload.clone();
    let mut terms = request.terms;
    match request.phase {
        HolderPhase::Copying => Some(MirrorRequest::Copy {
            terms,
            payload: payload?,
        }),
        HolderPhase::Licensing => Some(MirrorRequest::AskLicence),
        HolderPhase::Withdrawing => Some(MirrorRequest::Drop {
            may_have_run: terms.may_have_run,
        }),
        HolderPhase::Releasing => Some(MirrorRequest::Release),
        HolderPhase::PassingOn => Some(MirrorRequest::PassOn {
            terms,
            payload: payload?,
        }),
        HolderPhase::Running if terms.rule == RepeatRule::Repeatable => {
            terms.may_have_run = true;
            Some(MirrorRequest::Copy {
                terms,
                payload: payload?,
            })
        }
        HolderPhase::Running | HolderPhase::Ended(_) => None,
    }
}
