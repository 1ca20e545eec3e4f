//! Decides whether a request is served at all: its route, its key, its body,
//! its account's limit. Nothing is sent before.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use slog::info;
use twox_hash::XxHash64;

use crate::boot_clock::BootClock;
use crate::gateway::call_body::BodyTerms;
use crate::gateway::call_body::read_call_body;
use crate::gateway::call_digest::CallDigest;
use crate::gateway::call_head::CallHead;
use crate::gateway::call_refusal::CallRefusal;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::log_budget::LineClass;
use crate::gateway::site_config::AccountRule;
use crate::gateway::site_config::LimitUnit;
use crate::gateway::site_config::RouteRule;
use crate::gateway::site_config::SiteConfig;
use crate::id::AccountName;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The age of the configuration from which on requests with a key are refused,
/// as a share of the time for which a removed key may work. The rest covers
/// the way from the caller and to the backend server.
const KEY_AGE_SHARE: f64 = 0.85;
/// The age of the configuration up to which "no such route or key" is said;
/// after it the answer is "not now". News arrive within a second.
const SURE_AGE: Duration = Duration::from_millis(1_800);

/// A request with everything that was decided about it before it is sent.
pub struct AdmittedCall {
    /// The decoded head.
    pub head: CallHead,
    /// The same for all tries of the same request.
    pub digest: CallDigest,
    /// Its route.
    pub route: RouteRule,
    /// The service that it goes to.
    pub service: ServiceName,
    /// The shortest target latency among the routes of that service.
    pub shortest_target: Duration,
    /// Its account.
    pub account: Option<AccountRule>,
    /// Units that were taken from the account's limit.
    pub units: u64,
    /// The clock of the two times below.
    pub clock: Arc<BootClock>,
    /// When its time is over.
    pub until: Timestamp,
    /// When its head arrived.
    pub arrived: Timestamp,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl AdmittedCall {
    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.clock.left(self.until)
    }

    /// Returns the time since its head arrived.
    pub fn taken(&self) -> Duration {
        self.clock.now().since(self.arrived)
    }

    /// Gives the body back, once no further send can need it.
    pub fn let_go_of_body(&mut self) {
        self.body = Bytes::new();
    }

    /// Returns the name of its account.
    pub fn account_name(&self) -> Option<&AccountName> {
        self.account.as_ref().map(|account| &account.name)
    }

    /// Returns its urgency, 0 the most urgent; the account's goes first.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority).min(9)
    }
}

/// Admits a request, or says why not.
///
/// # Errors
///
/// A refusal; nothing of the request was sent.
pub async fn admit_call(
    context: &GatewayContext,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived: Timestamp,
) -> Result<AdmittedCall, CallRefusal> {
    let AllowedCall {
        route,
        service,
        shortest_target,
        account,
        body_limit,
    } = allow_call(context, &head, &parts)?;
    let left = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived.after(left);
    let terms = BodyTerms {
        limit: body_limit,
        until,
        waits: parts.headers.contains_key(header::EXPECT),
    };
    let body = read_call_body(context, body, terms).await?;
    if context.is_refusing() {
        return Err(CallRefusal::Leaving);
    }
    let digest = CallDigest::of(
        account.as_ref().map(|account| &account.name),
        &parts.method,
        host_of(&parts.headers),
        &parts.uri,
        &body,
    );
    // Servers end under it, and its caller sends it to any entry: 57 ended in 40 s
    // while entries remembered servers and no requests.
    if context.crashes.lock().refuses(context.now(), digest) {
        log_fatal(context, &head, digest);
        return Err(CallRefusal::CrashesServers);
    }
    let units = take_units(context, account.as_ref(), &head)?;
    Ok(AdmittedCall {
        head,
        digest,
        route,
        service,
        shortest_target,
        account,
        units,
        clock: Arc::clone(&context.clock),
        until,
        arrived,
        method: parts.method,
        uri: parts.uri,
        headers: onward_headers(parts.headers),
        body,
    })
}

fn log_fatal(context: &GatewayContext, head: &CallHead, digest: CallDigest) {
    if context.may_log(&head.id.0, LineClass::Failure) {
        info!(context.log, "fatal request came"; "request" => %head.id, "digest" => %digest);
    }
}

/// Gives back what a request took from its account's limit, once it is certain
/// that it did not run.
pub fn give_back(context: &GatewayContext, call: &AdmittedCall) {
    if let Some(account) = call.account_name() {
        context.account_limits.lock().refund(account, call.units);
    }
}

/// What the configuration says about a request.
struct AllowedCall {
    route: RouteRule,
    service: ServiceName,
    shortest_target: Duration,
    account: Option<AccountRule>,
    /// The longest body, in bytes.
    body_limit: usize,
}

/// Takes out of the configuration what a request needs. While its body comes
/// slowly, many revisions may follow; none is kept for it.
fn allow_call(
    context: &GatewayContext,
    head: &CallHead,
    parts: &http::request::Parts,
) -> Result<AllowedCall, CallRefusal> {
    let config = current_config(context)?;
    let (route, account) = authorize(context, &config, head, parts)?;
    let number = XxHash64::oneshot(0, head.id.0.as_bytes());
    let service = route.target(number).cloned();
    let service = service.ok_or(CallRefusal::NoBackend)?;
    Ok(AllowedCall {
        shortest_target: config.shortest_target(&service, &route),
        service,
        route,
        account,
        body_limit: config.limits.body_bytes,
    })
}

fn current_config(context: &GatewayContext) -> Result<Arc<SiteConfig>, CallRefusal> {
    let config = context.config.lock();
    let adopted = config.adopted().ok_or(CallRefusal::NoConfig)?;
    Ok(Arc::clone(adopted))
}

/// Returns the host that a request is for, without a port.
fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Finds the route and the account. A caller hears "no" only while this entry
/// is sure that its configuration is the newest.
fn authorize(
    context: &GatewayContext,
    config: &SiteConfig,
    head: &CallHead,
    parts: &http::request::Parts,
) -> Result<(RouteRule, Option<AccountRule>), CallRefusal> {
    let age = context.config.lock().age(context.now());
    let sure = age.is_some_and(|age| age < SURE_AGE);
    let no = |refusal| if sure { refusal } else { CallRefusal::NoConfig };
    let route = config
        .find_route(host_of(&parts.headers), parts.uri.path())
        .ok_or_else(|| no(CallRefusal::NoRoute))?;
    if !config.needs_key(route) {
        return Ok((route.clone(), None));
    }
    let bounds = &context.settings.bounds;
    let oldest = bounds.key_age.mul_f64(KEY_AGE_SHARE);
    // Where operators would rather have a revoked key work for longer than no
    // key at all, an outage of the store refuses nobody.
    if bounds.fail_closed && age.is_none_or(|age| age >= oldest) {
        return Err(CallRefusal::NoConfig);
    }
    let key = head.api_key.as_deref().ok_or(CallRefusal::NoKey)?;
    let account = config
        .find_account(key)
        .ok_or_else(|| no(CallRefusal::NoKey))?;
    Ok((route.clone(), Some(account.clone())))
}

fn take_units(
    context: &GatewayContext,
    account: Option<&AccountRule>,
    head: &CallHead,
) -> Result<u64, CallRefusal> {
    let Some(account) = account else {
        return Ok(0);
    };
    let units = match account.unit {
        LimitUnit::Requests => 1,
        LimitUnit::Tokens {
            default_tokens: plain,
        } => head.tokens.map_or(plain, |tokens| tokens.total().0),
    };
    let now = context.now();
    let view = context.peers.lock().entry_counts(now);
    let mut limits = context.account_limits.lock();
    let admitted = limits.admit(now, account, units, view);
    let level = limits.level(&account.name);
    drop(limits);
    admitted.map_err(|after| {
        if context.may_log(&head.id.0, LineClass::Failure) {
            info!(context.log, "limit reached"; "request" => %head.id, "account" => %account.name,
            "units" => units, "level" => level, "rate" => account.rate,
            "entries" => view.entries, "heard" => view.reachable,
            "retry_after_ms" => after.as_millis() as u64);
        }
        CallRefusal::OverLimit(after)
    })?;
    Ok(units)
}

/// Removes the headers of a request or answer that concern one connection only.
pub fn onward_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
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
