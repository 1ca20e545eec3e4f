//! A model world for the protocol of holders and mirrors: entries in a chain,
//! a network that loses, repeats and reorders, and faults at any step.
//!
//! The world drives [`RequestHolder`] and [`RequestMirror`] as the daemon
//! does, with empty requests and no clock. [`PairWorld::enabled`] and
//! [`PairWorld::apply`] serve the exploration of every state
//! ([`crate::world_explorer`]) and the randomised histories.

use std::collections::BTreeSet;
use std::sync::Arc;

use cloverbend::configuration::RepeatRule;
use cloverbend::holder::RequestHolder;
use cloverbend::holder_action::HolderAction;
use cloverbend::holder_action::HolderEnd;
use cloverbend::holder_action::HolderPhase;
use cloverbend::id::Incarnation;
use cloverbend::id::PairEpoch;
use cloverbend::id::Serial;
use cloverbend::mirror::CopyReport;
use cloverbend::mirror::MirrorAction;
use cloverbend::mirror::RequestMirror;
use cloverbend::pair::MirrorReply;
use cloverbend::pair::MirrorRequest;
use cloverbend::pair::PairId;
use cloverbend::pair::PairMessage;
use cloverbend::pair::RequestKey;
use cloverbend::pair::RunTerms;

use crate::pair_step::BrokenRule;
use crate::pair_step::EntryIndex;
use crate::pair_step::FaultBudget;
use crate::pair_step::NetworkMessage;
use crate::pair_step::WorldStep;
use crate::pair_step::WorldViolation;
use crate::world_explorer::WorldRules;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ModelEntry {
    holder: RequestHolder<()>,
    mirror: RequestMirror<()>,
}

/// The most messages that a history of a few requests may need.
const MAX_MESSAGES: usize = 1_000;
/// The most rounds of deliveries until nothing changes.
const MAX_ROUNDS: usize = 60;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RequestFate {
    used: bool,
    runs: u8,
    denied: bool,
    accepted: bool,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PairWorld {
    entries: Vec<Option<Arc<ModelEntry>>>,
    messages: Arc<BTreeSet<NetworkMessage>>,
    fates: std::collections::BTreeMap<RequestKey, RequestFate>,
    budget: FaultBudget,
    broken: BrokenRule,
    rule: RepeatRule,
    next_incarnation: u64,
}

fn incarnation(index: EntryIndex) -> Incarnation {
    Incarnation(index as u64 + 1)
}

impl PairWorld {
    /// How the world is explored.
    pub const RULES: WorldRules<Self, WorldStep, WorldViolation> = WorldRules {
        enabled: Self::enabled,
        apply: Self::apply,
    };

    /// Returns a chain of `entries` entries, each the mirror of the one before
    /// and the first the mirror of the last, with `requests` tickets of the
    /// first one.
    pub fn new(
        entries: usize,
        requests: usize,
        rule: RepeatRule,
        budget: FaultBudget,
        broken: BrokenRule,
    ) -> Self {
        let mut world = Self {
            entries: Vec::new(),
            messages: Arc::default(),
            fates: std::collections::BTreeMap::new(),
            budget,
            broken,
            rule,
            next_incarnation: entries as u64 + 1,
        };
        for index in 0..entries {
            let own = incarnation(index);
            let mut holder = RequestHolder::new(own, 64);
            holder.form_pair(incarnation((index + 1) % entries));
            let mirror = RequestMirror::new(own);
            world
                .entries
                .push(Some(Arc::new(ModelEntry { holder, mirror })));
        }
        if let Some(Some(first)) = world.entries.first_mut() {
            let first = Arc::make_mut(first);
            for _ in 0..requests {
                let key = first.holder.issue_ticket();
                world.fates.insert(key, RequestFate::default());
            }
        }
        world
    }

    /// Returns whether every accepted request has ended or can still end, and
    /// none was forgotten: some living entry holds it or knows its end.
    pub fn is_known(&self, key: RequestKey) -> bool {
        let living = self.entries.iter().flatten();
        let mut living = living.filter(|entry| {
            let held = entry.holder.phase(key).is_some();
            held || entry.mirror.report(key) != CopyReport::Absent
        });
        living.next().is_some()
    }

    /// Returns the tickets of the world.
    pub fn keys(&self) -> Vec<RequestKey> {
        self.fates.keys().copied().collect()
    }

    /// Returns whether a request was accepted.
    pub fn was_accepted(&self, key: RequestKey) -> bool {
        self.fates.get(&key).is_some_and(|fate| fate.accepted)
    }

    /// Returns how often a request ran.
    pub fn runs(&self, key: RequestKey) -> u8 {
        self.fates.get(&key).map_or(0, |fate| fate.runs)
    }

    /// Returns how many entries live and are not leaving.
    pub fn staying(&self) -> usize {
        let living = self.entries.iter().flatten();
        living.filter(|entry| !entry.holder.is_leaving()).count()
    }

    /// Returns the events that may still happen.
    pub fn budget(&self) -> FaultBudget {
        self.budget
    }

    /// Returns the messages in the network.
    pub fn messages(&self) -> impl Iterator<Item = &NetworkMessage> {
        self.messages.iter()
    }

    fn entry_mut(&mut self, index: EntryIndex) -> Option<&mut ModelEntry> {
        self.entries[index].as_mut().map(Arc::make_mut)
    }

    fn index_of(&self, incarnation: Incarnation) -> Option<EntryIndex> {
        self.entries.iter().position(|entry| {
            entry
                .as_ref()
                .is_some_and(|entry| entry.holder.pair().holder == incarnation)
        })
    }

    /// Returns every step that is possible now, in a fixed order.
    pub fn enabled(&self) -> Vec<WorldStep> {
        let mut steps = Vec::new();
        self.add_accepts(&mut steps);
        let messages = self.messages.iter().cloned().map(WorldStep::Deliver);
        steps.extend(messages);
        for (index, entry) in self.entries.iter().enumerate() {
            match entry {
                Some(entry) => self.add_entry_steps(index, entry, &mut steps),
                None if self.budget.restarts > 0 => steps.push(WorldStep::Restart(index)),
                None => {}
            }
        }
        steps
    }

    fn add_accepts(&self, steps: &mut Vec<WorldStep>) {
        for (key, fate) in &self.fates {
            let holder = self.index_of(key.pair.holder);
            if let (false, Some(index)) = (fate.used, holder) {
                steps.push(WorldStep::Accept(index, *key));
            }
        }
    }

    fn add_entry_steps(&self, index: EntryIndex, entry: &ModelEntry, steps: &mut Vec<WorldStep>) {
        let budget = &self.budget;
        if budget.crashes > 0 {
            steps.push(WorldStep::Crash(index));
        }
        if budget.leaves > 0 && !entry.holder.is_leaving() {
            steps.push(WorldStep::Leave(index));
        }
        if budget.take_overs > 0 {
            let pairs = entry.mirror.active_pairs();
            steps.extend(pairs.map(|pair| WorldStep::TakeOver(index, pair)));
        }
        if budget.new_pairs > 0 {
            let others = (0..self.entries.len()).filter(|other| *other != index);
            steps.extend(others.map(|other| WorldStep::NewPair(index, other)));
        }
        if budget.retries > 0 {
            let keys = self.fates.keys().copied();
            steps.extend(keys.map(|key| WorldStep::RetryAtMirror(index, key)));
        }
        let mut releases = false;
        for (key, phase) in entry.holder.open_requests() {
            let former = entry.holder.carrier(key) != Some(entry.holder.pair());
            let waiting = matches!(phase, HolderPhase::Copying | HolderPhase::Licensing);
            releases |= former && waiting;
            self.add_request_steps(index, key, phase, steps);
        }
        if releases {
            steps.push(WorldStep::Release(index));
        }
    }

    fn add_request_steps(
        &self,
        index: EntryIndex,
        key: RequestKey,
        phase: HolderPhase,
        steps: &mut Vec<WorldStep>,
    ) {
        if phase == HolderPhase::Running {
            steps.push(WorldStep::Finish(index, key));
        }
        match phase {
            HolderPhase::Withdrawing => steps.push(WorldStep::GiveUpUnconfirmed(index, key)),
            HolderPhase::PassingOn if self.budget.give_ups > 0 => {
                steps.push(WorldStep::GiveUpUnconfirmed(index, key));
            }
            HolderPhase::PassingOn => {}
            _ if self.budget.give_ups > 0 => steps.push(WorldStep::GiveUp(index, key)),
            _ => {}
        }
    }

    /// Takes a step. Returns the first rule that it broke.
    pub fn apply(&mut self, step: &WorldStep) -> Option<WorldViolation> {
        match step {
            WorldStep::Accept(index, key) => self.accept(*index, *key),
            WorldStep::Deliver(message) => self.deliver(message.clone()),
            WorldStep::Crash(index) => {
                self.budget.crashes -= 1;
                self.entries[*index] = None;
            }
            WorldStep::Restart(index) => self.restart(*index),
            WorldStep::TakeOver(index, pair) => {
                self.budget.take_overs -= 1;
                self.with_mirror(*index, |mirror| mirror.take_over(*pair));
            }
            WorldStep::Leave(index) => {
                self.budget.leaves -= 1;
                self.with_holder(*index, RequestHolder::leave);
            }
            WorldStep::GiveUp(index, key) => self.give_up(*index, *key),
            WorldStep::GiveUpUnconfirmed(index, key) => {
                self.with_holder(*index, |holder| holder.give_up_unconfirmed(*key));
            }
            WorldStep::NewPair(index, mirror) => self.new_pair(*index, *mirror),
            WorldStep::Release(index) => {
                self.with_holder(*index, RequestHolder::release_former);
            }
            WorldStep::Finish(index, key) => {
                self.with_holder(*index, |holder| holder.finish(*key));
            }
            WorldStep::RetryAtMirror(index, key) => {
                self.budget.retries -= 1;
                self.retry_at_mirror(*index, *key);
            }
        }
        self.violation()
    }

    fn violation(&self) -> Option<WorldViolation> {
        let once = self.rule == RepeatRule::AtMostOnce;
        for fate in self.fates.values() {
            if once && fate.runs > 1 {
                return Some(WorldViolation::RanTwice);
            }
            if fate.denied && fate.runs > 0 {
                return Some(WorldViolation::RanThoughDenied);
            }
        }
        None
    }

    fn accept(&mut self, index: EntryIndex, key: RequestKey) {
        let rule = self.rule;
        if let Some(fate) = self.fates.get_mut(&key) {
            fate.used = true;
        }
        let mut refused = false;
        self.with_holder(index, |holder| match holder.accept(key, rule, ()) {
            Ok((_, actions)) => actions,
            Err(_) => {
                refused = true;
                Vec::new()
            }
        });
        if refused {
            self.deny(key);
        }
    }

    fn deny(&mut self, key: RequestKey) {
        if let Some(fate) = self.fates.get_mut(&key) {
            fate.denied = true;
        }
    }

    fn restart(&mut self, index: EntryIndex) {
        self.budget.restarts -= 1;
        let own = if self.broken == BrokenRule::ForgottenIncarnation {
            incarnation(index)
        } else {
            self.next_incarnation += 1;
            Incarnation(self.next_incarnation)
        };
        let next = (index + 1) % self.entries.len();
        let mirror = self.entries[next]
            .as_ref()
            .map_or(incarnation(next), |entry| entry.holder.pair().holder);
        let mut holder = RequestHolder::new(own, 64);
        holder.form_pair(mirror);
        let mirror = RequestMirror::new(own);
        self.entries[index] = Some(Arc::new(ModelEntry { holder, mirror }));
    }

    fn new_pair(&mut self, index: EntryIndex, mirror: EntryIndex) {
        self.budget.new_pairs -= 1;
        let to = self.entries[mirror]
            .as_ref()
            .map_or(incarnation(mirror), |entry| entry.holder.pair().holder);
        self.with_holder(index, |holder| holder.form_pair(to));
        if self.broken != BrokenRule::MoveWithoutRelease {
            return;
        }
        let Some(entry) = &self.entries[index] else {
            return;
        };
        let forged: Vec<PairMessage<MirrorReply>> = entry
            .holder
            .open_requests()
            .filter_map(|(key, _)| {
                let carrier = entry.holder.carrier(key)?;
                let body = MirrorReply::Resigned;
                Some(PairMessage { carrier, key, body })
            })
            .collect();
        for message in forged {
            self.with_holder(index, |holder| holder.receive(message));
        }
    }

    fn give_up(&mut self, index: EntryIndex, key: RequestKey) {
        self.budget.give_ups -= 1;
        self.with_holder(index, |holder| holder.give_up(key));
        let withdrawing = self.phase(index, key) == Some(HolderPhase::Withdrawing);
        if self.broken == BrokenRule::EarlyDidNotRun && withdrawing {
            self.deny(key);
        }
    }

    fn phase(&self, index: EntryIndex, key: RequestKey) -> Option<HolderPhase> {
        self.entries[index].as_ref()?.holder.phase(key)
    }

    fn retry_at_mirror(&mut self, index: EntryIndex, key: RequestKey) {
        let once = self.rule == RepeatRule::AtMostOnce;
        let early = self.broken == BrokenRule::RefuseAbsentEarly;
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        if entry.holder.phase(key).is_some() {
            return;
        }
        let mut report = entry.mirror.report(key);
        if report == CopyReport::Absent && once {
            report = entry.mirror.refuse_absent(key);
        }
        let named = key.pair.mirror == entry.holder.pair().holder;
        let denied = report == CopyReport::DidNotRun;
        if denied || (early && named && report == CopyReport::Absent) {
            self.deny(key);
        }
    }

    fn deliver(&mut self, message: NetworkMessage) {
        match message {
            NetworkMessage::Request(message) => self.deliver_request(message),
            NetworkMessage::Reply(message) => self.deliver_reply(message),
        }
    }

    fn deliver_request(&mut self, message: PairMessage<MirrorRequest<()>>) {
        let Some(index) = self.index_of(message.carrier.mirror) else {
            return;
        };
        let key = message.key;
        let carrier = message.carrier;
        let again = matches!(message.body, MirrorRequest::PassOn { .. })
            && self.broken == BrokenRule::HandOverTwice;
        let asks = message.body == MirrorRequest::AskLicence;
        let late = self.broken == BrokenRule::LicenceAfterTakeOver
            && asks
            && self.entries[index]
                .as_ref()
                .is_some_and(|entry| entry.mirror.is_taken_over(carrier));
        if late {
            let body = MirrorReply::Granted;
            let reply = PairMessage { carrier, key, body };
            Arc::make_mut(&mut self.messages).insert(NetworkMessage::Reply(reply));
            return;
        }
        if again {
            self.forget_ended(index, key);
        }
        let terms = RunTerms {
            rule: self.rule,
            may_have_run: false,
        };
        self.with_mirror(index, |mirror| mirror.receive(message));
        if again {
            self.with_holder(index, |holder| holder.adopt(key, terms, ()));
        }
    }

    /// Forgets an adopted request that ended, as the daemon does after its
    /// ticket has expired; only a broken world does it before.
    fn forget_ended(&mut self, index: EntryIndex, key: RequestKey) {
        if let Some(entry) = self.entry_mut(index) {
            entry.holder.forget_adopted(key);
        }
    }

    fn deliver_reply(&mut self, message: PairMessage<MirrorReply>) {
        let Some(index) = self.index_of(message.carrier.holder) else {
            return;
        };
        let key = message.key;
        let granted = message.body == MirrorReply::Granted;
        let past = matches!(
            self.phase(index, key),
            Some(
                HolderPhase::Withdrawing
                    | HolderPhase::PassingOn
                    | HolderPhase::Releasing
                    | HolderPhase::Ended(HolderEnd::DidNotRun | HolderEnd::Moved(_))
            )
        );
        if self.broken == BrokenRule::LateLicenceHonoured && granted && past {
            self.count_run(key);
        }
        self.with_holder(index, |holder| holder.receive(message));
    }

    fn count_run(&mut self, key: RequestKey) {
        if let Some(fate) = self.fates.get_mut(&key) {
            fate.runs = (fate.runs + 1).min(2);
        }
    }

    fn with_holder(
        &mut self,
        index: EntryIndex,
        change: impl FnOnce(&mut RequestHolder<()>) -> Vec<HolderAction<()>>,
    ) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let actions = change(&mut entry.holder);
        for action in actions {
            match action {
                HolderAction::Send(message) => {
                    Arc::make_mut(&mut self.messages).insert(NetworkMessage::Request(message));
                }
                HolderAction::Accepted(key) => {
                    if let Some(fate) = self.fates.get_mut(&key) {
                        fate.accepted = true;
                    }
                }
                HolderAction::Dispatch(key) => self.count_run(key),
                HolderAction::End(key, HolderEnd::DidNotRun) => self.deny(key),
                HolderAction::End(..) => {}
            }
        }
    }

    fn with_mirror(
        &mut self,
        index: EntryIndex,
        change: impl FnOnce(&mut RequestMirror<()>) -> Vec<MirrorAction<()>>,
    ) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let actions = change(&mut entry.mirror);
        for action in actions {
            match action {
                MirrorAction::Reply(message) => {
                    Arc::make_mut(&mut self.messages).insert(NetworkMessage::Reply(message));
                }
                MirrorAction::Adopt {
                    key,
                    terms,
                    payload,
                } => self.with_holder(index, |holder| holder.adopt(key, terms, payload)),
            }
        }
    }

    /// Delivers every message of the entries that live until nothing changes,
    /// as a network does once its faults have ended.
    pub fn settle(&mut self) -> Option<WorldViolation> {
        for _ in 0..MAX_ROUNDS {
            let before = self.clone();
            for step in self.enabled() {
                let quiet = matches!(
                    step,
                    WorldStep::Deliver(_) | WorldStep::Finish(..) | WorldStep::Release(_)
                );
                if !quiet {
                    continue;
                }
                if let Some(violation) = self.apply(&step) {
                    return Some(violation);
                }
                if self.messages.len() > MAX_MESSAGES {
                    return Some(WorldViolation::NeverSettles);
                }
            }
            if *self == before {
                return None;
            }
        }
        Some(WorldViolation::NeverSettles)
    }

    /// Returns the pair of the first entry's first ticket.
    pub fn first_pair(&self) -> PairId {
        let first = self.fates.keys().next();
        first.map_or(
            PairId {
                holder: incarnation(0),
                epoch: PairEpoch(0),
                mirror: incarnation(1),
            },
            |key| key.pair,
        )
    }

    /// Returns the ticket numbered `serial` of the first entry.
    pub fn key(&self, serial: u64) -> RequestKey {
        RequestKey {
            pair: self.first_pair(),
            serial: Serial(serial),
        }
    }
}
