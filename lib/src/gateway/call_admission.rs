//! Decides whether a request is admitted.
//!
//! The checks cover the route, the API key, the body, earlier crashes and the
//! limit of the account. Nothing is sent to a backend server before they pass.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use metrics::counter;
use slog::info;
use slog::warn;

use crate::boot_clock::BootClock;
use crate::gateway::call_body::BodyLimits;
use crate::gateway::call_body::read_call_body;
use crate::gateway::call_digest::CallDigest;
use crate::gateway::call_feature::CallFeatures;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::crash_ledger::CallSafety;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::site_config::AccountRule;
use crate::gateway::site_config::LimitUnit;
use crate::gateway::site_config::RouteRule;
use crate::gateway::site_config::SiteConfig;
use crate::gateway::takeup_binding::RequestBinding;
use crate::gateway::takeup_binding::RoutedRequest;
use crate::gateway::takeup_binding::bind_request;
use crate::gateway::version_binding::VersionBinding;
use crate::id::AccountName;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The age of the configuration at which requests with a key are refused, as a
/// share of the time for which a revoked key may work. The remaining share covers
/// the time from the caller to this entry and on to the backend server.
const MAX_CONFIG_AGE_SHARE: f64 = 0.85;
/// The age up to which the configuration counts as the newest, as a share of the time
/// within which a change has to be in force. A request with an unknown route or key is
/// rejected for good only while the configuration is fresh; later its caller is asked to
/// retry. The remaining share covers the time from the caller to this entry.
const FRESH_CONFIG_SHARE: f64 = 0.9;

/// A request that passed all checks and may be sent.
pub struct AdmittedCall {
    /// The decoded head.
    pub head: CallHead,
    /// The digest, which is the same for all attempts of the same request.
    pub digest: CallDigest,
    /// What it may have in common with other requests.
    pub features: CallFeatures,
    /// Whether it runs to find out if servers crash under it.
    pub is_trial: bool,
    /// The matching route.
    pub route: RouteRule,
    /// The service that runs the request.
    pub service: ServiceName,
    /// Which versions of its servers may run the request.
    pub versions: VersionBinding,
    /// The shortest target latency among the routes of that service.
    pub shortest_target: Duration,
    /// The client account, if the route needs a key.
    pub account: Option<AccountRule>,
    /// The units that were charged to the account's limit.
    pub units: u64,
    /// The clock of `deadline` and `arrived_at`.
    pub clock: Arc<BootClock>,
    /// When the request times out.
    pub deadline: Timestamp,
    /// When the head arrived.
    pub arrived_at: Timestamp,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl AdmittedCall {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.clock.left(self.deadline)
    }

    /// Returns the time since the head arrived.
    pub fn elapsed(&self) -> Duration {
        self.clock.now().since(self.arrived_at)
    }

    /// Releases the body once no further attempt can need it.
    pub fn release_body(&mut self) {
        self.body = Bytes::new();
    }

    /// Returns the name of the account.
    pub fn account_name(&self) -> Option<&AccountName> {
        self.account.as_ref().map(|account| &account.name)
    }

    /// Returns the priority of the account, or else of the route; 0 is the most
    /// urgent.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority).min(9)
    }
}

/// Admits or refuses a request.
///
/// # Errors
///
/// A refusal; the request was not sent.
pub async fn admit_call(
    context: &GatewayContext,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived_at: Timestamp,
) -> Result<AdmittedCall, CallRefusal> {
    let ResolvedCall {
        route,
        service: drawn,
        account,
        max_body_bytes,
    } = resolve_call(context, &head, &parts)?;
    let time_left = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at.after(time_left);
    let body_limits = BodyLimits {
        max_bytes: max_body_bytes,
        deadline,
        expects_continue: parts.headers.contains_key(header::EXPECT),
    };
    let body = read_call_body(context, body, body_limits).await?;
    if context.is_refusing() {
        return Err(CallRefusal::Draining);
    }
    let routed = RoutedRequest {
        head: &head,
        route: &route,
        drawn,
        time_left: context.clock.left(deadline),
    };
    let RequestBinding { service, versions } = bind_request(context, &routed).await?;
    let shortest_target = current_config(context)?.shortest_target(&service, &route);
    let digest = CallDigest::of(
        account.as_ref().map(|account| &account.name),
        &parts.method,
        request_host(&parts.headers),
        &parts.uri,
        &body,
    );
    let features = CallFeatures::new(digest, &service, head.shared_blocks());
    // Callers retry a request at any entry, and requests share parts of their prompts. If
    // entries only ejected crashed servers, requests that crash them would end one server
    // after another.
    let safety = context.crashes.lock().judge(context.now(), &features);
    let is_trial = safety != CallSafety::Harmless && begins_trial(context, &head, &features);
    if !is_trial && let Some(refusal) = CallRefusal::of_safety(safety) {
        log_fatal_request(context, &head, digest);
        return Err(refusal);
    }
    let units = charge_units(context, account.as_ref(), &head)?;
    Ok(AdmittedCall {
        head,
        digest,
        features,
        is_trial,
        route,
        service,
        versions,
        shortest_target,
        account,
        units,
        clock: Arc::clone(&context.clock),
        deadline,
        arrived_at,
        method: parts.method,
        uri: parts.uri,
        headers: strip_hop_headers(parts.headers),
        body,
    })
}

/// Returns whether a request that crashes servers, or may do so, runs all the same to find out.
/// If so, records that it runs.
fn begins_trial(context: &GatewayContext, head: &CallHead, features: &CallFeatures) -> bool {
    let now = context.now();
    let peers = context.peers.lock();
    let rank = peers.knows_entries(now).then(|| peers.hub_rank(now));
    drop(peers);
    let begins = |rank: usize| context.crashes.lock().begin_trial(now, features, rank);
    if !rank.is_some_and(begins) {
        return false;
    }
    counter!("cloverbend_fatal_trials_total").increment(1);
    warn!(context.log, "fatal request tried again"; "request" => %head.id);
    true
}

fn log_fatal_request(context: &GatewayContext, head: &CallHead, digest: CallDigest) {
    if context.may_log(&head.id.0, LineClass::Failure) {
        info!(context.log, "fatal request recognized"; "request" => %head.id, "digest" => %digest);
    }
}

/// Refunds the units of a request to the limit of its account. Must be called only
/// for a request that certainly did not run.
pub fn refund_units(context: &GatewayContext, call: &AdmittedCall) {
    if let Some(account) = call.account_name() {
        context.account_limits.lock().refund(account, call.units);
    }
}

/// The parts of the configuration that apply to a request.
struct ResolvedCall {
    route: RouteRule,
    service: ServiceName,
    account: Option<AccountRule>,
    max_body_bytes: usize,
}

/// Copies the parts of the configuration that a request needs. A request with a
/// slow body would otherwise keep an old revision in memory.
fn resolve_call(
    context: &GatewayContext,
    head: &CallHead,
    parts: &http::request::Parts,
) -> Result<ResolvedCall, CallRefusal> {
    let config = current_config(context)?;
    let (route, account) = authorize(context, &config, head, parts)?;
    let service = route.service_of(&head.id).cloned();
    let service = service.ok_or(CallRefusal::NoBackend)?;
    Ok(ResolvedCall {
        service,
        route,
        account,
        max_body_bytes: config.limits.body_bytes,
    })
}

fn current_config(context: &GatewayContext) -> Result<Arc<SiteConfig>, CallRefusal> {
    let config = context.config.lock();
    let adopted = config.adopted().ok_or(CallRefusal::NoConfig)?;
    Ok(Arc::clone(adopted))
}

/// Returns the host of a request without its port.
fn request_host(headers: &HeaderMap) -> &str {
    let host = headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Returns whether another entry has a higher revision, or may have one that the store has
/// dropped.
fn may_be_superseded(context: &GatewayContext, revision: RevisionNumber) -> bool {
    let now = context.now();
    let peers = context.peers.lock();
    let uptime = now.since(Timestamp(0));
    peers.highest_revision(now) > revision || peers.awaits_first_message(uptime)
}

/// Finds the route and the account of a request. An unknown route or key is
/// reported as such only while the configuration is fresh.
fn authorize(
    context: &GatewayContext,
    config: &SiteConfig,
    head: &CallHead,
    parts: &http::request::Parts,
) -> Result<(RouteRule, Option<AccountRule>), CallRefusal> {
    let age = context.config.lock().age(context.now());
    let bounds = &context.settings.bounds;
    let fresh_age = bounds.config_apply.mul_f64(FRESH_CONFIG_SHARE);
    let is_fresh = age.is_some_and(|age| age < fresh_age);
    let reject = |refusal| {
        if is_fresh && !may_be_superseded(context, config.revision) {
            refusal
        } else {
            CallRefusal::NoConfig
        }
    };
    let route = config
        .find_route(request_host(&parts.headers), parts.uri.path())
        .ok_or_else(|| reject(CallRefusal::NoRoute))?;
    if !config.needs_key(route) {
        return Ok((route.clone(), None));
    }
    let max_age = bounds.key_age.mul_f64(MAX_CONFIG_AGE_SHARE);
    // With `fail_closed = false` an outage of the store refuses nobody, and a
    // revoked key may work for longer.
    if bounds.fail_closed && age.is_none_or(|age| age >= max_age) {
        return Err(CallRefusal::NoConfig);
    }
    let key = head.api_key.as_deref().ok_or(CallRefusal::NoKey)?;
    let account = config
        .find_account(key)
        .ok_or_else(|| reject(CallRefusal::NoKey))?;
    Ok((route.clone(), Some(account.clone())))
}

fn charge_units(
    context: &GatewayContext,
    account: Option<&AccountRule>,
    head: &CallHead,
) -> Result<u64, CallRefusal> {
    let Some(account) = account else {
        return Ok(0);
    };
    let units = match account.unit {
        LimitUnit::Requests => 1,
        LimitUnit::Tokens { default_tokens } => head
            .tokens
            .map_or(default_tokens, |tokens| tokens.total().0),
    };
    let now = context.now();
    let counts = context.peers.lock().entry_counts(now);
    let mut limits = context.account_limits.lock();
    let admission = limits.admit(now, account, units, counts);
    let level = limits.level(&account.name);
    drop(limits);
    admission.map_err(|after| {
        if context.may_log(&head.id.0, LineClass::Failure) {
            info!(context.log, "limit reached"; "request" => %head.id, "account" => %account.name,
            "units" => units, "level" => level, "rate" => account.rate,
            "entries" => counts.entries, "reachable" => counts.reachable,
            "retry_after_ms" => after.as_millis() as u64);
        }
        CallRefusal::OverLimit(after)
    })?;
    Ok(units)
}

/// Removes the hop-by-hop headers of a request or response.
pub fn strip_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_names: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in connection_names {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}
