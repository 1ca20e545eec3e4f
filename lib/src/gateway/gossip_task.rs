//! Sends gossip to the hubs, and replies as a hub, several times a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use metrics::counter;
use metrics::gauge;
use rand::seq::IndexedRandom;
use slog::info;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::account_demand::ServiceDemands;
use crate::gateway::account_limits::AdmittedUnits;
use crate::gateway::account_limits::GOSSIP_INTERVAL;
use crate::gateway::account_limits::ShareView;
use crate::gateway::admission_exchange::crowded_sums;
use crate::gateway::admission_exchange::own_crowded_demand;
use crate::gateway::admission_exchange::reported_demands;
use crate::gateway::admission_exchange::update_admission;
use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_state::BackendState;
use crate::gateway::call_return::purge_promises;
use crate::gateway::config_log::adopt_received;
use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::limit_exchange::GrantedPermits;
use crate::gateway::limit_exchange::issue_permits;
use crate::gateway::limit_exchange::reports_for;
use crate::gateway::list_exchange::ListFormat;
use crate::gateway::list_exchange::SentList;
use crate::gateway::list_exchange::draining_backends;
use crate::gateway::list_exchange::list_for;
use crate::gateway::peer_gossip::BackendLoad;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubSummary;
use crate::gateway::peer_gossip::HubView;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::peer_gossip::WindowCount;
use crate::gateway::peer_table::DueMessage;
use crate::gateway::peer_table::reported_state::add_loads;
use crate::gateway::relay_helpers::MAX_HELPERS;
use crate::gateway::relay_helpers::RelayHelper;
use crate::gateway::retry_exchange::credit_for;
use crate::gateway::retry_exchange::own_pool_draws;
use crate::gateway::retry_exchange::update_retry_budget;
use crate::gateway::return_promises::PromiseList;
use crate::gateway::server_pace::PaceCounts;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// How many past usage windows the reported counts cover.
const REPORTED_WINDOWS: u64 = 2;

/// Sends gossip until the entry stops. A new configuration triggers a round at once.
pub async fn run_gossip(context: Arc<GatewayContext>) {
    let mut round: u32 = 0;
    loop {
        let notified = tokio::time::timeout(GOSSIP_INTERVAL, context.gossip_due.notified()).await;
        if notified.is_err() {
            round = round.wrapping_add(1);
        }
        context.clock.check_suspended();
        let now = context.now();
        for incarnation in context.peers.lock().remove_unreachable(now) {
            context.account_limits.lock().retire(incarnation);
        }
        update_peer_loads(&context, now);
        purge_promises(&context, now);
        let reported = reported_demands(&context.peers.lock(), now);
        update_admission(&context, now, &reported);
        update_retry_budget(&context, now);
        send_round(&context, now, round, &reported);
        pull_document(&context, now);
    }
}

fn send_round(context: &GatewayContext, now: Timestamp, round: u32, reported: &ServiceDemands) {
    let due = context.peers.lock().take_due_messages(now, round);
    if context.paths.lock().wants_helpers(now) {
        // A hub knows the entries that report to it.
        let reporting = context.peers.lock().relay_helpers(now);
        adopt_helpers(context, &draw_helpers(&reporting));
    }
    let granted = issue_permits(context, now);
    if due.is_empty() {
        return;
    }
    let common = common_gossip(context);
    let needs_summary = due.iter().any(|message| message.has_summary);
    let source =
        needs_summary.then(|| SummarySource::gather(context, &common, granted, reported, now));
    for message in due {
        if message.reopen {
            context.links.forget(message.address);
        }
        // Gossip always carries the whole state, so the next message makes up for
        // one that a busy link could not take.
        if context.links.is_busy(message.address) {
            counter!("cloverbend_peer_news_skipped_total").increment(1);
            context.peers.lock().note_skipped(now, &message);
            continue;
        }
        let mut gossip = common.clone();
        address_gossip(context, &mut gossip, &message);
        if let Some(source) = source.as_ref().filter(|_| message.has_summary) {
            add_summary(context, &mut gossip, &message, source, now);
        }
        context
            .links
            .send(message.address, PeerMessage::News(Box::new(gossip)));
    }
}

/// Builds the part that is the same in all messages of a round.
fn common_gossip(context: &GatewayContext) -> GatewayGossip {
    let revision = context.config.lock().revision();
    let backends = context.backends.lock();
    let backends_digest = backends.list_digest();
    let knows_servers = backends.count() > 0;
    let limits = context.server_limits.lock();
    let reports_digest = limits.digest(&backends);
    let now = context.now();
    let reports = limits.reports.direct_reports(now);
    let sends = limits.recent_sends(now);
    drop(limits);
    drop(backends);
    let sent_at = context.now();
    let lease = context.lease.lock();
    let fencing_token = lease.valid_lease(sent_at).map(|lease| lease.fencing_token);
    let duty_log_end = fencing_token.map(|_| lease.next_offset());
    drop(lease);
    let mut rollouts = context.rollouts.lock();
    let rollout_news = rollouts.current_news(sent_at);
    let rollout_evidence = rollouts.own_reports();
    drop(rollouts);
    GatewayGossip {
        sent_at: sent_at.0,
        draining: context.is_draining(),
        revision,
        fencing_token,
        duty_log_end: duty_log_end.unwrap_or_default(),
        reports_state: true,
        backends_digest,
        admitted: own_admitted(context),
        window_counts: own_counts(context),
        backend_loads: own_loads(context),
        service_demand: own_demand(context),
        pool_draws: own_pool_draws(context),
        crowded_demand: own_crowded_demand(context, now),
        crashes: context.crashes.lock().reports(context.now()),
        reports,
        reports_digest,
        sends,
        promises: context.promises.lock().news(now, false),
        rollouts: rollout_news,
        rollout_evidence,
        relays: knows_servers,
        wants_helpers: context.paths.lock().wants_helpers(now),
        ..own_identity(context)
    }
}

/// Builds a message that only identifies this entry.
fn own_identity(context: &GatewayContext) -> GatewayGossip {
    let settings = &context.settings;
    GatewayGossip::new(
        context.incarnation,
        settings.name.clone(),
        settings.peer_advertised,
        settings.hub_capacity,
    )
}

/// Completes a message for its receiver. If the receiver is not a hub, removes the
/// parts that only hubs need.
fn address_gossip(context: &GatewayContext, gossip: &mut GatewayGossip, message: &DueMessage) {
    let config = context.config.lock();
    let config_confirmed_at = config.confirmed_at();
    drop(config);
    let backends_confirmed_at = context.backends.lock().confirmed_at();
    let peers = context.peers.lock();
    gossip.echo = peers.echo(&message.name, config_confirmed_at, backends_confirmed_at);
    drop(peers);
    if let Some(echo) = &mut gossip.echo
        && !context.lease.lock().may_promise()
    {
        echo.fence = None;
    }
    gossip.wants_summary = message.wants_summary;
    // Only the hub that grants permits to this entry needs them.
    if !message.wants_summary {
        gossip.sends = Vec::new();
    }
    if !message.reports_state {
        gossip.reports_state = false;
        gossip.relays = false;
        gossip.admitted = Vec::new();
        gossip.window_counts = Vec::new();
        gossip.backend_loads = Vec::new();
        gossip.service_demand = Vec::new();
        gossip.pool_draws = Vec::new();
        gossip.crowded_demand = Vec::new();
        gossip.reports = Vec::new();
        gossip.promises = Vec::new();
        gossip.rollout_evidence = Vec::new();
    }
}

/// What a hub needs for the summaries of one round. It is gathered once per round
/// and not once per receiver, of which there are hundreds.
struct SummarySource {
    entry_counts: ShareView,
    fencing_token: Option<FenceToken>,
    hubs: Vec<(EntryName, SocketAddr, HubCapacity)>,
    loads: BTreeMap<BackendId, BackendLoad>,
    crowded_sums: Vec<CrowdedDemand>,
    granted: GrantedPermits,
    promises: Vec<PromiseList>,
    /// The entries that relay requests, this one included if it does.
    helpers: Vec<RelayHelper>,
}

impl SummarySource {
    fn gather(
        context: &GatewayContext,
        own_gossip: &GatewayGossip,
        granted: GrantedPermits,
        reported: &ServiceDemands,
        now: Timestamp,
    ) -> Self {
        let peers = context.peers.lock();
        let mut helpers = peers.relay_helpers(now);
        if own_gossip.relays && !own_gossip.draining && !own_gossip.wants_helpers {
            helpers.push(RelayHelper {
                address: own_gossip.address,
                incarnation: own_gossip.incarnation,
            });
        }
        let mut loads = peers.direct_backend_loads(now);
        add_loads(&mut loads, &own_gossip.backend_loads);
        Self {
            entry_counts: peers.direct_entry_counts(now),
            fencing_token: peers
                .highest_direct_fence(now)
                .max(own_gossip.fencing_token),
            hubs: peers.hub_addresses(now),
            loads,
            crowded_sums: crowded_sums(reported, own_gossip),
            granted,
            promises: context.promises.lock().news(now, true),
            helpers,
        }
    }

    /// Returns the load that all entries but the one with load `excluded` put on
    /// backend servers.
    fn loads_without(&self, excluded: &[BackendLoad]) -> Vec<BackendLoad> {
        let excluded: BTreeMap<BackendId, &BackendLoad> =
            excluded.iter().map(|load| (load.id(), load)).collect();
        let remainder = |(id, sum): (&BackendId, &BackendLoad)| {
            let excluded = excluded.get(id);
            let in_flight = excluded.map_or(0, |load| load.in_flight);
            let pending_tokens = excluded.map_or(0, |load| load.unread);
            let excluded_pace =
                excluded.map_or_else(PaceCounts::default, |load| load.pace_counts());
            let mut remainder = BackendLoad {
                in_flight: sum.in_flight.saturating_sub(in_flight),
                unread: sum.unread.saturating_sub(pending_tokens),
                ..sum.clone()
            };
            remainder.set_pace(sum.pace_counts().minus(excluded_pace));
            remainder
        };
        let remainders = self.loads.iter().map(remainder);
        remainders.filter(|load| !load.is_empty()).collect()
    }
}

/// Adds the view and the summary of all entries, without the receiver's own
/// share in them.
fn add_summary(
    context: &GatewayContext,
    gossip: &mut GatewayGossip,
    message: &DueMessage,
    source: &SummarySource,
    now: Timestamp,
) {
    let mut peers = context.peers.lock();
    let receiver = peers.get(&message.name);
    let incarnation = receiver.and_then(|peer| peer.incarnation);
    let peer_digest = receiver.map_or(0, |peer| peer.backends_digest);
    let wants_helpers = receiver.is_some_and(|peer| peer.wants_helpers);
    let list_format = receiver.map_or(ListFormat::Full, ListFormat::of);
    gossip.view = Some(HubView {
        entries: source.entry_counts.entries,
        reachable: source.entry_counts.reachable,
        fencing_token: source.fencing_token,
        backend_loads: source.loads_without(peers.backend_loads_of(&message.name)),
    });
    gossip.crowded_sums.clone_from(&source.crowded_sums);
    gossip.pool_credit = credit_for(context, &message.name);
    let differs = peer_digest != gossip.backends_digest;
    let is_due = differs && peers.should_send_list(now, &message.name, gossip.backends_digest);
    drop(peers);
    let list = match is_due {
        true => list_for(context, list_format, peer_digest),
        false => SentList::default(),
    };
    // Not in the expression below: the lock would be held to its end.
    let admitted = context.account_limits.lock().totals_without(incarnation);
    gossip.summary = Some(HubSummary {
        admitted,
        hubs: source.hubs.clone(),
        packed_list: list.packed,
        backends: list.full,
        changes: list.changes,
        draining: draining_backends(context, differs),
        reports: reports_for(context, now, &message.name, gossip.reports_digest),
        permits: source
            .granted
            .get(&message.name)
            .cloned()
            .unwrap_or_default(),
        promises: source.promises.clone(),
        helpers: match wants_helpers {
            true => draw_helpers(&source.helpers),
            false => Vec::new(),
        },
    });
}

/// Draws some of the entries that relay requests, so that the requests of a whole zone
/// spread over all of them.
fn draw_helpers(helpers: &[RelayHelper]) -> Vec<RelayHelper> {
    helpers
        .choose_multiple(&mut rand::rng(), MAX_HELPERS)
        .copied()
        .collect()
}

/// Adopts the entries that relay requests of this one, if there are any.
pub fn adopt_helpers(context: &GatewayContext, helpers: &[RelayHelper]) {
    let is_other = |helper: &&RelayHelper| helper.incarnation != context.incarnation;
    let others: Vec<RelayHelper> = helpers.iter().filter(is_other).copied().collect();
    if !others.is_empty() {
        context.helpers.lock().replace(&others);
        context.helpers_named.notify_waiters();
    }
}

/// Pulls the next part of the configuration from an entry with a newer revision,
/// unless this entry is up to date or a pull is pending.
pub fn pull_document(context: &GatewayContext, now: Timestamp) {
    let own_revision = context.config.lock().revision();
    let address = context.settings.peer_advertised;
    let mut fetcher = context.transfer.lock();
    let sources = context.peers.lock().newer_sources(now, own_revision);
    let failures = fetcher.failures();
    let pull = fetcher.next_pull(now, address, &sources);
    let has_failed = fetcher.failures() > failures;
    let buffered = fetcher.buffered_bytes();
    drop(fetcher);
    let Some((source, pull)) = pull else {
        return;
    };
    if has_failed {
        counter!("cloverbend_config_pulls_unanswered_total").increment(1);
        info!(context.log, "configuration pull unanswered, trying another entry";
            "revision" => pull.revision.0, "own_revision" => own_revision.0,
            "from" => %source, "held_bytes" => buffered);
    }
    context.links.send(source, PeerMessage::DocumentPull(pull));
}

/// Answers a pull of a part of the configuration.
pub fn answer_pull(context: &GatewayContext, pull: &DocumentPull) {
    let part = context.config.lock().part_for(context.now(), pull);
    let Some(part) = part else {
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

/// Receives a part of the configuration, and pulls the next one. Adopts the
/// configuration once its document is complete.
pub fn receive_part(context: &GatewayContext, part: &DocumentPart) {
    let own_revision = context.config.lock().revision();
    let document = context.transfer.lock().take_part(own_revision, part);
    let now = context.now();
    if let Some(document) = document {
        counter!("cloverbend_config_documents_received_total").increment(1);
        let revision = document.revision;
        if !adopt_received(context, document) {
            context.transfer.lock().note_unusable(now, revision);
        }
    }
    pull_document(context, now);
}

fn own_loads(context: &GatewayContext) -> Vec<BackendLoad> {
    let now = context.now();
    let backends = context.backends.lock();
    let own_load = |backend: &BackendState| {
        let pace_counts = backend.pace_counts(now);
        let is_loaded = backend.in_flight > 0 || pace_counts.weight_milli > 0;
        is_loaded.then(|| BackendLoad {
            backend: backend.record.id.name.0.clone(),
            start: backend.record.id.start.0,
            in_flight: backend.in_flight,
            unread: backend.pending_tokens,
            pace_weight: pace_counts.weight_milli,
            pace_log: pace_counts.log_milli,
        })
    };
    backends.iter().filter_map(own_load).collect()
}

/// Returns the demand of the callers of this entry for each service.
pub fn own_demand(context: &GatewayContext) -> Vec<ServiceDemand> {
    let now = context.now();
    let backends = context.backends.lock();
    let meter = context.work.lock();
    let demands = meter.rates(now).map(|(service, rate)| {
        let processing_s = backends.times(service).processing_time.as_secs_f64();
        ServiceDemand {
            service: service.to_string(),
            tokens_per_s: rate.tokens_per_s as u64,
            busy_milli: (rate.requests_per_s * processing_s * 1_000.0) as u64,
            requests_milli: (rate.requests_per_s * 1_000.0) as u64,
        }
    });
    demands.collect()
}

fn own_admitted(context: &GatewayContext) -> Vec<AdmittedUnits> {
    let limits = context.account_limits.lock();
    let admitted = limits.admitted().map(|(account, units)| AdmittedUnits {
        account: account.clone(),
        units,
    });
    admitted.collect()
}

fn own_counts(context: &GatewayContext) -> Vec<WindowCount> {
    let oldest = context.usage_window().saturating_sub(REPORTED_WINDOWS);
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

fn update_peer_loads(context: &GatewayContext, now: Timestamp) {
    let sums = context.peers.lock().backend_loads(now);
    if context.settings.load.server_pace {
        let paces = sums.iter().filter(|(_, sum)| sum.pace_weight > 0);
        let paces = paces.map(|(id, sum)| (id.clone(), sum.pace_counts().with_valid_average()));
        let spreads = context.backends.lock().update_paces(now, paces);
        for (service, spread) in spreads {
            for (bound, pace) in [("fastest", spread.fastest), ("slowest", spread.slowest)] {
                let service = service.to_string();
                gauge!("cloverbend_server_pace", "service" => service, "bound" => bound)
                    .set(pace.0);
            }
        }
    }
    let loads = sums.into_iter();
    let loads = loads.map(|(id, sum)| (id, sum.in_flight, sum.unread));
    context.backends.lock().replace_peer_loads(loads);
}
