//! Exchanges the limits of backend servers with other entries, and permits to
//! send to these servers.

use std::collections::BTreeMap;

use metrics::counter;
use metrics::gauge;
use slog::info;

use crate::gateway::backend_record::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::notice_book::ServerWord;
use crate::gateway::notice_watch::NO_LIMIT;
use crate::gateway::peer_news::GatewayNews;
use crate::gateway::peer_news::ServiceWork;
use crate::gateway::permit_issuer::PERMIT_LIFETIME;
use crate::gateway::permit_issuer::PermitClient;
use crate::gateway::send_permits::PermitGrant;
use crate::id::EntryName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// Thousandths of a request a second, in which entries tell their demand.
const MILLI: f64 = 1_000.0;

/// The permits that an entry gives out in a round, by receiver.
pub type GrantedPermits = BTreeMap<EntryName, Vec<PermitGrant>>;

/// Gives out permits to the entries that this one answers each round. One that
/// hears no other gives itself its own part, so that all that are cut off from
/// each other stay within a limit too.
pub fn issue_permits(context: &GatewayContext, now: Timestamp) -> GrantedPermits {
    if !sweep_limits(context, now) {
        return GrantedPermits::new();
    }
    let own = &context.settings.name;
    let view = context.peers.lock().share_view(now);
    let is_alone = view.heard <= 1;
    let clients = if is_alone {
        vec![own_client(context, now)]
    } else {
        answered_clients(context, now)
    };
    let part = clients.len() as f64 / view.entries.max(1) as f64;
    let backends = context.backends.lock();
    let mut limits = context.server_limits.lock();
    if is_alone {
        let sends = limits.sends(now);
        limits.note_sends(own, context.incarnation, &sends);
    }
    let mut granted = limits.issue(now, &backends, part, &clients);
    if let Some(grants) = granted.remove(own) {
        limits.take_permits(&grants, now.after(PERMIT_LIFETIME));
        count_permits(context, &grants);
    }
    granted
}

/// Forgets limits that are over. Returns whether any is in force.
fn sweep_limits(context: &GatewayContext, now: Timestamp) -> bool {
    let backends = context.backends.lock();
    context.server_limits.lock().sweep(now, &backends)
}

/// Returns the entries that this one answers each round.
fn answered_clients(context: &GatewayContext, now: Timestamp) -> Vec<PermitClient> {
    let peers = context.peers.lock();
    let answered = peers.answered_each_round(now);
    let client = |(name, work): (&EntryName, &[ServiceWork])| PermitClient {
        name: name.clone(),
        demand: read_demand(work),
    };
    answered.map(client).collect()
}

/// Counts permits that this entry has got.
fn count_permits(context: &GatewayContext, grants: &[PermitGrant]) {
    for grant in grants {
        let label = context.server_labels.label(&grant.id);
        let got = counter!("cloverbend_backend_permits_got_total", "backend" => label);
        got.increment(grant.count.into());
    }
}

fn own_client(context: &GatewayContext, now: Timestamp) -> PermitClient {
    let work = context.work.lock();
    let demand = work
        .rates(now)
        .map(|(service, offered)| (service.clone(), offered.requests_per_s));
    PermitClient {
        name: context.settings.name.clone(),
        demand: demand.collect(),
    }
}

fn read_demand(work: &[ServiceWork]) -> BTreeMap<ServiceName, f64> {
    let read = |work: &ServiceWork| {
        let service = work.service.parse().ok()?;
        Some((service, work.requests_milli as f64 / MILLI))
    };
    work.iter().filter_map(read).collect()
}

/// Returns the words that an entry is told whose digest differs: what changed a
/// moment ago, or all if that did not help.
pub fn words_for(
    context: &GatewayContext,
    now: Timestamp,
    name: &EntryName,
    digest: u64,
) -> Vec<ServerWord> {
    let whole = context.peers.lock().offers_limits(now, name, digest);
    let limits = context.server_limits.lock();
    match whole {
        None => Vec::new(),
        Some(false) => limits.book.recent_words(now),
        Some(true) => limits.book.all_words(now),
    }
}

/// Takes over what another entry told of limits.
pub fn take_limit_news(context: &GatewayContext, now: Timestamp, news: &GatewayNews) {
    take_words(context, now, &news.words);
    // Each entry's sends count where it gets its permits.
    if news.tells && news.wants_digest {
        let mut limits = context.server_limits.lock();
        limits.note_sends(&news.name, news.incarnation, &news.sends);
    }
    let Some(digest) = &news.digest else { return };
    take_words(context, now, &digest.words);
    let own = context.incarnation;
    if let Some(echo) = news.echo.filter(|echo| echo.incarnation == own) {
        // The giver counts them from later on, so none is used after it has
        // given it to another.
        let until = Timestamp(echo.sent_at).after(PERMIT_LIFETIME);
        let mut limits = context.server_limits.lock();
        limits.take_permits(&digest.permits, until);
        drop(limits);
        count_permits(context, &digest.permits);
    }
}

fn take_words(context: &GatewayContext, now: Timestamp, words: &[ServerWord]) {
    let mut changed: Vec<&ServerWord> = Vec::new();
    let mut limits = context.server_limits.lock();
    for word in words {
        if limits.book.take_over(now, word) {
            changed.push(word);
        }
    }
    drop(limits);
    let mut backends = context.backends.lock();
    for word in changed.iter().filter(|word| word.leaving) {
        backends.note_said_leaving(&word.id);
    }
    drop(backends);
    for word in changed {
        log_told(context, &word.id, word);
    }
}

fn log_told(context: &GatewayContext, id: &BackendId, word: &ServerWord) {
    counter!("cloverbend_backend_words_heard_of_total").increment(1);
    let label = context.server_labels.label(id);
    let rate = word.limit.map_or(NO_LIMIT, |rate| rate.0);
    gauge!("cloverbend_backend_limit", "backend" => label).set(rate);
    if context.logs(&id.name.0, LineClass::Step) {
        info!(context.log, "backend server's words heard of"; "backend" => %id,
            "requests_per_s" => word.limit.map(|rate| rate.0), "leaving" => word.leaving,
            "age_ms" => word.age.as_millis() as u64);
    }
}
