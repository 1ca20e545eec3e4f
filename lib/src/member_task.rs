//! Runs the membership protocol, and keeps this entry's pair and the pairs it
//! mirrors in step with it.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use slog::info;
use slog::warn;

use crate::entry_context::EntryContext;
use crate::id::Incarnation;
use crate::member_record::MemberHealth;
use crate::member_record::MemberRecord;
use crate::membership::GossipAction;
use crate::wire::PeerMessage;

/// The time between ticks of the membership protocol.
const TICK: Duration = Duration::from_millis(50);
/// The time between checks of the pair.
const PAIR_CHECK: Duration = Duration::from_millis(250);

/// Runs the membership protocol until the entry stops.
pub async fn run_membership(context: Arc<EntryContext>) {
    loop {
        context.clock.check_suspended();
        let actions = {
            let mut members = context.tables.members.lock();
            members.tick(context.now())
        };
        context.run_gossip_actions(actions);
        tokio::time::sleep(TICK).await;
    }
}

/// Keeps the pair usable until the entry stops.
pub async fn keep_pair(context: Arc<EntryContext>) {
    loop {
        context.check_pair();
        context.take_over_from_gone();
        tokio::select! {
            () = tokio::time::sleep(PAIR_CHECK) => {}
            () = context.pair_check.notified() => {}
        }
    }
}

impl EntryContext {
    /// Handles a message of another entry.
    pub fn receive(self: &Arc<Self>, message: PeerMessage) {
        match message {
            PeerMessage::ToMirror(message) => self.receive_as_mirror(*message),
            PeerMessage::ToHolder(message) => self.receive_as_holder(message),
            PeerMessage::Progress(progress) => self.receive_progress(progress),
            PeerMessage::ProgressNoted(note) => self.receive_progress_note(note),
            PeerMessage::Gossip(message) => {
                let actions = {
                    let mut members = self.tables.members.lock();
                    members.receive(self.now(), message)
                };
                self.run_gossip_actions(actions);
            }
            PeerMessage::ConfigPull { reply_to } => {
                if let Some(transfer) = self.config_transfer() {
                    self.peers.send(reply_to, PeerMessage::ConfigPush(transfer));
                }
            }
            PeerMessage::ConfigPush(transfer) => self.receive_config(transfer),
            PeerMessage::News(_)
            | PeerMessage::DocumentPull(_)
            | PeerMessage::DocumentPart(_)
            | PeerMessage::StreamNotice(_)
            | PeerMessage::StreamQuery(_)
            | PeerMessage::StreamReply(_) => {
                warn!(self.log, "peer message refused"; "cause" => "only for a gateway");
            }
        }
    }

    /// Carries out what the membership wants done.
    pub fn run_gossip_actions(self: &Arc<Self>, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send(address, message) => {
                    self.peers.send(address, PeerMessage::Gossip(message));
                }
                GossipAction::Changed(record) => self.note_change(&record),
                GossipAction::VmLeaving(vm) => self.tables.backends.lock().set_leaving(&vm),
            }
        }
    }

    fn note_change(&self, record: &MemberRecord) {
        info!(self.log, "an entry changed"; "entry" => %record.name,
            "incarnation" => %record.incarnation, "health" => ?record.health,
            "state" => ?record.state, "revision" => %record.revision);
        counter!("cloverbend_member_changes_total").increment(1);
        if record.health != MemberHealth::Gone {
            self.peers
                .set_route(record.incarnation, record.peer_address);
        }
        // The pair, or a pair mirrored here, may have to change.
        self.pair_check.notify_one();
    }

    /// Forms another pair if the mirror can no longer be used, or if there was
    /// none and now there is one.
    fn check_pair(self: &Arc<Self>) {
        let (mirror, usable, candidate) = {
            let members = self.tables.members.lock();
            let mirror = self.tables.requests.lock().holder.pair().mirror;
            let usable = members
                .find(mirror)
                .is_some_and(MemberRecord::takes_requests);
            (mirror, usable, members.choose_mirror())
        };
        let solo = mirror == self.incarnation;
        if usable && !solo {
            return;
        }
        let next = candidate.unwrap_or(self.incarnation);
        if next != mirror {
            self.form_pair(next);
        }
    }

    fn form_pair(self: &Arc<Self>, mirror: Incarnation) {
        let pair = {
            let mut table = self.tables.requests.lock();
            let mut actions = table.holder.form_pair(mirror);
            actions.extend(table.holder.release_former());
            self.run_holder_actions(&mut table, actions);
            table.holder.pair()
        };
        info!(self.log, "a pair was formed"; "mirror" => %mirror, "epoch" => %pair.epoch);
        counter!("cloverbend_pairs_formed_total").increment(1);
        gauge!("cloverbend_has_mirror").set(if pair.is_solo() { 0.0 } else { 1.0 });
        let actions = {
            let mut members = self.tables.members.lock();
            let mirror = (!pair.is_solo()).then_some(mirror);
            members.update_own(|own| own.mirror = mirror)
        };
        self.run_gossip_actions(actions);
    }

    /// Takes over the pairs of holders that are gone. A false belief costs
    /// work but is harmless, see [`crate::mirror`].
    fn take_over_from_gone(self: &Arc<Self>) {
        let members = self.tables.members.lock();
        let mut table = self.tables.requests.lock();
        let pairs: Vec<_> = table
            .mirror
            .active_pairs()
            .filter(|pair| members.is_gone(pair.holder))
            .collect();
        drop(members);
        for pair in pairs {
            warn!(self.log, "taking over from an entry that is gone"; "holder" => %pair.holder);
            counter!("cloverbend_pairs_taken_over_total").increment(1);
            let actions = table.mirror.take_over(pair);
            self.run_mirror_actions(&mut table, actions);
        }
    }
}
