//! Exchanges news with the hubs, and answers as a hub, several times a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use slog::info;

use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::account_limits::GOSSIP_INTERVAL;
use crate::gateway::account_limits::ShareView;
use crate::gateway::backend_record::BackendId;
use crate::gateway::crash_detector::merge_crash_reports;
use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::limit_exchange::GrantedPermits;
use crate::gateway::limit_exchange::apply_server_gossip;
use crate::gateway::limit_exchange::issue_permits;
use crate::gateway::limit_exchange::reports_for;
use crate::gateway::list_history::ListUpdate;
use crate::gateway::peer_gossip::BackendUse;
use crate::gateway::peer_gossip::FreshnessEcho;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubSummary;
use crate::gateway::peer_gossip::HubView;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_gossip::WindowCount;
use crate::gateway::peer_table::DueMessage;
use crate::gateway::peer_table::HeardLife;
use crate::gateway::peer_table::add_uses;
use crate::gateway::store_task::adopt_backend_changes;
use crate::gateway::store_task::adopt_backend_list;
use crate::gateway::store_task::adopt_received;
use crate::gateway::store_task::note_draining;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How many windows back counts are told.
const TOLD_WINDOWS: u64 = 2;
/// An entry that has run for longer when it is first heard is counted from
/// there on: what it admitted before is in the past.
const YOUNG_AGE: Duration = Duration::from_secs(3);

/// Sends news until the entry stops. A new configuration goes out at once.
pub async fn run_gossip(context: Arc<GatewayContext>) {
    let mut round: u32 = 0;
    loop {
        let hurried = tokio::time::timeout(GOSSIP_INTERVAL, context.gossip_due.notified()).await;
        if hurried.is_err() {
            round = round.wrapping_add(1);
        }
        context.clock.check_suspended();
        let now = context.now();
        for incarnation in context.peers.lock().forget_silent(now) {
            context.account_limits.lock().retire(incarnation);
        }
        note_uses(&context, now);
        send_round(&context, now, round);
        pull_document(&context, now);
    }
}

fn send_round(context: &GatewayContext, now: Timestamp, round: u32) {
    let due = context.peers.lock().take_due_messages(now, round);
    let granted = issue_permits(context, now);
    if due.is_empty() {
        return;
    }
    let common = common_news(context);
    let digests = due.iter().any(|message| message.has_summary);
    let knowledge = digests.then(|| HubKnowledge::gather(context, &common, granted, now));
    for message in due {
        if message.reopen {
            context.links.forget(message.address);
        }
        // News are always the whole state, so those that a slow link could not
        // take yet are replaced by the next ones.
        if context.links.is_busy(message.address) {
            counter!("cloverbend_peer_news_skipped_total").increment(1);
            context.peers.lock().note_skipped(now, &message);
            continue;
        }
        let mut news = common.clone();
        address_news(context, &mut news, &message);
        if let Some(knowledge) = knowledge.as_ref().filter(|_| message.has_summary) {
            add_digest(context, &mut news, &message, knowledge, now);
        }
        context
            .links
            .send(message.address, PeerMessage::News(Box::new(news)));
    }
}

/// Builds what is the same in all messages of a round.
fn common_news(context: &GatewayContext) -> GatewayGossip {
    let revision = context.config.lock().revision();
    let backends = context.backends.lock();
    let backends_hash = backends.list_digest();
    let limits = context.server_limits.lock();
    let notices_hash = limits.digest(&backends);
    let now = context.now();
    let notices = limits.reports.direct_reports(now);
    let sends = limits.recent_sends(now);
    drop(limits);
    drop(backends);
    let sent_at = context.now();
    let duties = context.lease.lock();
    let fence = duties.valid_lease(sent_at).map(|right| right.fencing_token);
    let duties_end = fence.map(|_| duties.next_offset());
    drop(duties);
    GatewayGossip {
        sent_at: sent_at.0,
        draining: context.is_draining(),
        revision,
        fence,
        duties_end: duties_end.unwrap_or_default(),
        reports_state: true,
        backends_hash,
        admitted: own_admitted(context),
        counts: own_counts(context),
        backend_loads: own_uses(context),
        service_demand: own_demand(context),
        crashes: context.crashes.lock().reports(context.now()),
        reports: notices,
        reports_hash: notices_hash,
        sends,
        ..own_name(context)
    }
}

/// Builds news that only name this entry.
fn own_name(context: &GatewayContext) -> GatewayGossip {
    let settings = &context.settings;
    GatewayGossip::new(
        context.incarnation,
        settings.name.clone(),
        settings.peer_advertised,
        settings.hub_capacity,
    )
}

fn address_news(context: &GatewayContext, news: &mut GatewayGossip, message: &DueMessage) {
    let config = context.config.lock();
    let config_at = config.confirmed_at();
    drop(config);
    let backends_at = context.backends.lock().confirmed_at();
    let peers = context.peers.lock();
    news.echo = peers.echo(&message.name, config_at, backends_at);
    drop(peers);
    if let Some(echo) = &mut news.echo
        && !context.lease.lock().may_promise()
    {
        echo.fence = None;
    }
    news.wants_summary = message.wants_summary;
    // Only the hub that gives this entry its permits reckons with them.
    if !message.wants_summary {
        news.sends = Vec::new();
    }
    if !message.reports_state {
        news.reports_state = false;
        news.admitted = Vec::new();
        news.counts = Vec::new();
        news.backend_loads = Vec::new();
        news.service_demand = Vec::new();
        news.reports = Vec::new();
    }
}

/// What a hub tells all entries in a round. It is gathered once and not for
/// every receiver, of which there are hundreds.
struct HubKnowledge {
    share: ShareView,
    fence: Option<FenceToken>,
    hubs: Vec<(EntryName, SocketAddr, HubCapacity)>,
    uses: BTreeMap<BackendId, BackendUse>,
    granted: GrantedPermits,
}

impl HubKnowledge {
    fn gather(
        context: &GatewayContext,
        own: &GatewayGossip,
        granted: GrantedPermits,
        now: Timestamp,
    ) -> Self {
        let peers = context.peers.lock();
        let mut uses = peers.direct_uses(now);
        add_uses(&mut uses, &own.backend_loads);
        Self {
            share: peers.direct_entry_counts(now),
            fence: peers.told_fence(now).max(own.fence),
            hubs: peers.hub_addresses(now),
            uses,
            granted,
        }
    }

    /// Returns the load that all entries but one put on backend servers.
    fn uses_without(&self, left_out: &[BackendUse]) -> Vec<BackendUse> {
        let theirs: BTreeMap<BackendId, &BackendUse> =
            left_out.iter().map(|one| (one.id(), one)).collect();
        let rest = |(id, sum): (&BackendId, &BackendUse)| {
            let theirs = theirs.get(id);
            let in_flight = theirs.map_or(0, |theirs| theirs.in_flight);
            let unread = theirs.map_or(0, |theirs| theirs.unread);
            BackendUse {
                in_flight: sum.in_flight.saturating_sub(in_flight),
                unread: sum.unread.saturating_sub(unread),
                ..sum.clone()
            }
        };
        let rests = self.uses.iter().map(rest);
        rests.filter(|one| one.in_flight > 0).collect()
    }
}

/// Adds what all entries told here, without what the receiver told itself.
fn add_digest(
    context: &GatewayContext,
    news: &mut GatewayGossip,
    message: &DueMessage,
    knowledge: &HubKnowledge,
    now: Timestamp,
) {
    let mut peers = context.peers.lock();
    let receiver = peers.get(&message.name);
    let incarnation = receiver.and_then(|peer| peer.incarnation);
    let their_hash = receiver.map_or(0, |peer| peer.backends_hash);
    let takes_changes = receiver.is_some_and(|peer| peer.takes_changes);
    news.view = Some(HubView {
        entries: knowledge.share.entries,
        reachable: knowledge.share.reachable,
        fence: knowledge.fence,
        backend_loads: knowledge.uses_without(peers.uses_of(&message.name)),
    });
    let differs = their_hash != news.backends_hash;
    let offered = differs && peers.offers_list(now, &message.name, news.backends_hash);
    drop(peers);
    let known = takes_changes.then_some(their_hash);
    let offer = offered.then(|| context.backends.lock().list_update(known));
    let (backends, changes) = match offer {
        None | Some(ListUpdate::Nothing) => (None, None),
        Some(ListUpdate::Full(records)) => (Some(records), None),
        Some(ListUpdate::Changes(changes)) => (None, Some(changes)),
    };
    news.summary = Some(HubSummary {
        admitted: context.account_limits.lock().totals_without(incarnation),
        hubs: knowledge.hubs.clone(),
        backends,
        changes,
        draining: told_leaving(context, differs),
        reports: reports_for(context, now, &message.name, news.reports_hash),
        permits: knowledge
            .granted
            .get(&message.name)
            .cloned()
            .unwrap_or_default(),
    });
}

/// Asks an entry that is ahead for the next part of the configuration, if this
/// entry is behind and no answer is open.
fn pull_document(context: &GatewayContext, now: Timestamp) {
    let own = context.config.lock().revision();
    let address = context.settings.peer_advertised;
    let mut transfer = context.transfer.lock();
    let sources = context.peers.lock().ahead(now, own);
    let failures = transfer.failures();
    let pull = transfer.next_pull(now, address, &sources);
    let failed_again = transfer.failures() > failures;
    let held = transfer.buffered_bytes();
    drop(transfer);
    let Some((source, pull)) = pull else {
        return;
    };
    if failed_again {
        counter!("cloverbend_config_pulls_unanswered_total").increment(1);
        info!(context.log, "configuration asked for elsewhere"; "revision" => pull.revision.0,
            "own_revision" => own.0, "from" => %source, "held_bytes" => held);
    }
    context.links.send(source, PeerMessage::DocumentPull(pull));
}

/// Answers an entry that asks for a part of the configuration.
pub fn answer_pull(context: &GatewayContext, pull: &DocumentPull) {
    let answer = context.config.lock().part_for(context.now(), pull);
    let Some(part) = answer else {
        return;
    };
    counter!("cloverbend_config_parts_sent_total").increment(1);
    if part.is_last() {
        counter!("cloverbend_config_documents_sent_total").increment(1);
    }
    context
        .links
        .send(pull.reply_to, PeerMessage::DocumentPart(part));
}

/// Takes over a part of the configuration, and asks for the next one.
pub fn receive_part(context: &GatewayContext, part: &DocumentPart) {
    let own = context.config.lock().revision();
    let arrived = context.transfer.lock().take_part(own, part);
    let now = context.now();
    if let Some(arrived) = arrived {
        counter!("cloverbend_config_documents_received_total").increment(1);
        let revision = arrived.revision;
        if !adopt_received(context, arrived) {
            context.transfer.lock().note_unusable(now, revision);
        }
    }
    pull_document(context, now);
}

/// Returns the servers that leave while the list cannot be passed on. That a
/// server leaves is final, so it needs no order among lists.
fn told_leaving(context: &GatewayContext, differs: bool) -> Vec<BackendId> {
    let backends = context.backends.lock();
    if !differs || !backends.has_missing() {
        return Vec::new();
    }
    let leaving = backends
        .iter()
        .filter(|backend| !backend.accepts_requests());
    leaving.map(|backend| backend.record.id.clone()).collect()
}

fn own_uses(context: &GatewayContext) -> Vec<BackendUse> {
    let backends = context.backends.lock();
    backends
        .iter()
        .filter(|backend| backend.in_flight > 0)
        .map(|backend| BackendUse {
            backend: backend.record.id.name.0.clone(),
            start: backend.record.id.start.0,
            in_flight: backend.in_flight,
            unread: backend.pending_tokens,
        })
        .collect()
}

/// Returns the work that callers bring to this entry for each service.
pub fn own_demand(context: &GatewayContext) -> Vec<ServiceDemand> {
    let now = context.now();
    let backends = context.backends.lock();
    let meter = context.work.lock();
    let work = meter.rates(now).map(|(service, offered)| {
        let run = backends.times(service).processing_time.as_secs_f64();
        ServiceDemand {
            service: service.to_string(),
            tokens_per_s: offered.tokens_per_s as u64,
            busy_milli: (offered.requests_per_s * run * 1_000.0) as u64,
            requests_milli: (offered.requests_per_s * 1_000.0) as u64,
        }
    });
    work.collect()
}

fn own_admitted(context: &GatewayContext) -> Vec<AdmittedUnits> {
    let limits = context.account_limits.lock();
    let told = limits.admitted().map(|(account, units)| AdmittedUnits {
        account: account.clone(),
        units,
    });
    told.collect()
}

fn own_counts(context: &GatewayContext) -> Vec<WindowCount> {
    let oldest = context.usage_window().saturating_sub(TOLD_WINDOWS);
    let usage = context.usage.lock();
    let recent = usage.own_counts().filter(|(window, _)| *window >= oldest);
    recent
        .flat_map(|(window, counts)| {
            counts.iter().map(move |(account, count)| WindowCount {
                window,
                account: account.clone(),
                count: *count,
            })
        })
        .collect()
}

/// Takes over another entry's message.
pub fn receive_gossip(context: &GatewayContext, news: GatewayGossip) {
    let now = context.now();
    if news.incarnation == context.incarnation {
        return;
    }
    // Whoever answers with this entry's promise has to know of it before.
    if let Some(fence) = news.fence {
        let mut duties = context.lease.lock();
        duties.note_holder_gossip(now, fence, news.duties_end);
    }
    let mut peers = context.peers.lock();
    let told = peers.fence_of(&news.name);
    let life = peers.apply_gossip(now, &news);
    let tells_no_more = told.is_some() && peers.fence_of(&news.name).is_none();
    drop(peers);
    if tells_no_more {
        context.lease.lock().request_read();
    }
    if let HeardLife::New { replaced } = life {
        if let Some(gone) = replaced {
            context.account_limits.lock().retire(gone);
        }
        info!(context.log, "entry heard"; "other" => %news.name,
            "incarnation" => %news.incarnation, "address" => %news.address);
    }
    if news.revision > context.config.lock().revision() {
        pull_document(context, now);
    }
    if news.reports_state {
        note_admitted(context, &news);
        note_counts(context, &news);
    }
    if !news.crashes.is_empty() {
        merge_crash_reports(context, &news.crashes);
    }
    apply_server_gossip(context, now, &news);
    if let Some(digest) = &news.summary {
        note_digest(context, &news, digest, now);
    }
    let own = context.incarnation;
    if let Some(echo) = news.echo.filter(|echo| echo.incarnation == own) {
        confirm(context, &news, echo);
        take_promise(context, &news, echo);
    }
}

/// Returns when something was known, by the own clock: `age` before the message
/// that this entry sent at `sent_at`, or after it if that is below zero. The
/// message was on its way meanwhile, so this is the earliest possible moment.
/// None if it was before this entry started: counted from the start it would
/// seem fresh, here and at all that this entry tells.
fn known_at(sent_at: u64, age: i64) -> Option<Timestamp> {
    let at = sent_at.checked_add_signed(age.saturating_neg());
    at.map(Timestamp)
}

/// Takes over that another entry heard of this entry's tenure, and does not claim.
fn take_promise(context: &GatewayContext, news: &GatewayGossip, echo: FreshnessEcho) {
    if let Some(fence) = echo.fence {
        let sent_at = Timestamp(echo.sent_at);
        let mut duties = context.lease.lock();
        duties.note_promise(context.now(), &news.name, fence, sent_at);
    }
}

/// Takes over how old another entry's knowledge is, counted from the moment at
/// which this entry sent the message that it answers.
fn confirm(context: &GatewayContext, news: &GatewayGossip, echo: FreshnessEcho) {
    let known = |age: Option<i64>| known_at(echo.sent_at, age?);
    if let Some(at) = known(echo.config_age) {
        context.config.lock().confirm(news.revision, at);
    }
    if let Some(at) = known(echo.backends_age) {
        let mut backends = context.backends.lock();
        if backends.list_digest() == news.backends_hash {
            backends.confirm(at);
        }
    }
}

fn note_admitted(context: &GatewayContext, news: &GatewayGossip) {
    let young = news.sent_at < YOUNG_AGE.as_micros() as u64;
    let mut limits = context.account_limits.lock();
    for item in &news.admitted {
        limits.note_peer_total(news.incarnation, &item.account, item.units, young);
    }
    let accounts = news.admitted.iter().map(|item| &item.account);
    limits.merge_peer_totals(context.now(), context.incarnation, accounts);
}

fn note_counts(context: &GatewayContext, news: &GatewayGossip) {
    let mut usage = context.usage.lock();
    for item in &news.counts {
        usage.note_peer_count(news.incarnation, item.window, &item.account, item.count);
    }
}

fn note_digest(
    context: &GatewayContext,
    news: &GatewayGossip,
    digest: &HubSummary,
    now: Timestamp,
) {
    let mut limits = context.account_limits.lock();
    limits.note_gossip(now);
    for item in &digest.admitted {
        limits.merge_total(now, news.incarnation, &item.account, item.units);
    }
    drop(limits);
    let mut peers = context.peers.lock();
    for (name, address, strength) in &digest.hubs {
        peers.note_listed(now, name.clone(), *address, *strength);
    }
    drop(peers);
    let own = context.incarnation;
    let echo = news.echo.filter(|echo| echo.incarnation == own);
    // A list from before the own start is better than none, but proves nothing.
    let at_start = Timestamp(0);
    let since = |age, sent_at| known_at(sent_at, age).unwrap_or(at_start);
    let known = echo.and_then(|echo| Some(since(echo.backends_age?, echo.sent_at)));
    if let (Some(records), Some(known)) = (&digest.backends, known) {
        adopt_backend_list(context, records, known);
    }
    if let (Some(changes), Some(known)) = (&digest.changes, known) {
        adopt_backend_changes(context, changes, news.backends_hash, known);
    }
    note_draining(context, &digest.draining);
}

fn note_uses(context: &GatewayContext, now: Timestamp) {
    let sums = context.peers.lock().uses(now);
    let mut backends = context.backends.lock();
    let ids: Vec<BackendId> = backends.iter().map(|b| b.record.id.clone()).collect();
    for id in ids {
        let sum = sums.get(&id);
        let (in_flight, unread) = sum.map_or((0, 0), |sum| (sum.in_flight, sum.unread));
        backends.note_peer_load(&id, in_flight, unread);
    }
}
