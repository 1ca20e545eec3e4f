//! Exchanges news with the other entries several times a second.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::gateway::backend_set::BackendId;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_news::AdmittedUnits;
use crate::gateway::peer_news::BackendUse;
use crate::gateway::peer_news::ConfigEcho;
use crate::gateway::peer_news::GatewayNews;
use crate::gateway::peer_news::ServiceWork;
use crate::gateway::peer_news::WindowCount;
use crate::gateway::store_task::offer_config;
use crate::id::EntryName;
use crate::quantity::Timestamp;
use crate::wire::PeerMessage;

/// The pause between news to each entry. Limits overshoot by what an account
/// uses in it; usage is lost with a killed entry for as long.
const NEWS_PAUSE: Duration = Duration::from_millis(250);
/// How many windows back counts are told.
const TOLD_WINDOWS: u64 = 2;
/// Every how many rounds an entry that is not heard is told news: it may be
/// gone for good.
const SILENT_ROUNDS: u32 = 4;

/// Sends news until the entry stops.
pub async fn exchange_news(context: Arc<GatewayContext>) {
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(NEWS_PAUSE).await;
        round = round.wrapping_add(1);
        let now = context.now();
        for incarnation in context.peers.lock().forget_silent(now) {
            context.limits.lock().forget(incarnation);
        }
        for (name, address, behind) in targets(&context, now, round) {
            let news = build_news(&context, &name, behind);
            context
                .links
                .send(address, PeerMessage::News(Box::new(news)));
        }
    }
}

fn targets(
    context: &GatewayContext,
    now: Timestamp,
    round: u32,
) -> Vec<(EntryName, std::net::SocketAddr, bool)> {
    let revision = context.config.lock().revision();
    let peers = context.peers.lock();
    peers
        .peers()
        .filter(|(_, peer)| peer.is_heard(now) || round.is_multiple_of(SILENT_ROUNDS))
        .map(|(name, peer)| {
            let behind = peer.was_heard && peer.revision < revision;
            (name.clone(), peer.address, behind)
        })
        .collect()
}

fn build_news(context: &GatewayContext, to: &EntryName, behind: bool) -> GatewayNews {
    let config = context.config.lock();
    let adopted = config.adopted();
    let document = adopted.filter(|_| behind).map(|a| a.document.clone());
    let revision = config.revision();
    let confirmed_at = config.confirmed_at();
    drop(config);
    let uses = own_uses(context);
    let work = own_work(context);
    let admitted = own_admitted(context);
    let counts = own_counts(context);
    let echo = context.peers.lock().echo(to, confirmed_at);
    let fence = context.duties.lock().fence();
    GatewayNews {
        incarnation: context.incarnation,
        name: context.settings.name.clone(),
        address: context.settings.peer_address,
        sent_at: context.now().0,
        leaving: context.is_leaving(),
        revision,
        document,
        echo,
        fence,
        admitted,
        counts,
        uses,
        work,
    }
}

fn own_uses(context: &GatewayContext) -> Vec<BackendUse> {
    let backends = context.backends.lock();
    backends
        .iter()
        .filter(|backend| backend.in_flight > 0)
        .map(|backend| BackendUse {
            backend: backend.record.id.0.clone(),
            in_flight: backend.in_flight,
            unread: backend.unread_tokens,
        })
        .collect()
}

fn own_work(context: &GatewayContext) -> Vec<ServiceWork> {
    let now = context.now();
    let meter = context.work.lock();
    let work = meter.rates(now).map(|(service, rate)| ServiceWork {
        service: service.to_string(),
        tokens_per_s: rate as u64,
    });
    work.collect()
}

fn own_admitted(context: &GatewayContext) -> Vec<AdmittedUnits> {
    let limits = context.limits.lock();
    let told = limits.admitted().map(|(account, units)| AdmittedUnits {
        account: account.clone(),
        units,
    });
    told.collect()
}

fn own_counts(context: &GatewayContext) -> Vec<WindowCount> {
    let oldest = context.window().saturating_sub(TOLD_WINDOWS);
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

/// Takes over another entry's news.
pub fn receive_news(context: &GatewayContext, news: GatewayNews) {
    let now = context.now();
    if news.incarnation == context.incarnation {
        return;
    }
    let new_life = context.peers.lock().note_news(now, &news);
    if new_life {
        info!(context.log, "entry heard"; "entry" => %news.name,
            "incarnation" => %news.incarnation, "address" => %news.address);
    }
    if let Some(document) = &news.document {
        offer_config(context, document, "entry");
    }
    if let Some(echo) = news
        .echo
        .filter(|echo| echo.incarnation == context.incarnation)
    {
        confirm_config(context, &news, echo);
    }
    note_admitted(context, &news, now);
    note_counts(context, &news);
    note_uses(context, now);
}

fn confirm_config(context: &GatewayContext, news: &GatewayNews, echo: ConfigEcho) {
    let known_at = Timestamp(echo.sent_at.saturating_sub(echo.age));
    context.config.lock().confirm(news.revision, known_at);
}

fn note_admitted(context: &GatewayContext, news: &GatewayNews, now: Timestamp) {
    let adopted = context.config.lock().adopted().map(|a| a.config.clone());
    let Some(config) = adopted else {
        return;
    };
    // What an entry admitted before this one started is not known to have
    // been within the window; this entry's bucket started empty instead.
    let joined_late = news.sent_at > now.0;
    let mut limits = context.limits.lock();
    for item in &news.admitted {
        let rule = config
            .accounts
            .iter()
            .find(|rule| rule.name == item.account);
        if let Some(rule) = rule {
            let (account, units) = (&item.account, item.units);
            limits.note_told(news.incarnation, account, units, rule.burst, joined_late);
        }
    }
}

fn note_counts(context: &GatewayContext, news: &GatewayNews) {
    let mut usage = context.usage.lock();
    for item in &news.counts {
        usage.note_told(news.incarnation, item.window, &item.account, item.count);
    }
}

fn note_uses(context: &GatewayContext, now: Timestamp) {
    let mut backends = context.backends.lock();
    let peers = context.peers.lock();
    let sums = peers.uses(now);
    let ids: Vec<BackendId> = backends.iter().map(|b| b.record.id.clone()).collect();
    for id in ids {
        let (in_flight, unread) = sums.get(id.0.as_str()).copied().unwrap_or_default();
        backends.note_others(&id, in_flight, unread);
    }
}
