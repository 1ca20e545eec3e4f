//! The demonstration: three entries and the stand-ins on this machine, both
//! workloads, and reclaims in the middle of them.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use cloverbend::caller_client::CallOutcome;
use cloverbend::caller_client::CallerClient;
use cloverbend::caller_client::ChatOutcome;
use cloverbend::caller_client::ServiceCall;
use cloverbend::chat_api::ChatBody;
use cloverbend::chat_api::ChatMessage;
use cloverbend::entry::EntryDaemon;
use cloverbend::http_client::HttpClient;
use cloverbend::logging::discard_logger;
use cloverbend::member_record::MemberState;
use cloverbend::settings::EntrySettings;

use crate::cluster::EntryAddresses;
use crate::cluster::PlatformShape;
use crate::cluster::StandinPlatform;
use crate::cluster::reserve_entries;
use crate::cluster::settings_text;
use crate::engine_standin::expected_answer;
use crate::sample::ALERTS;
use crate::sample::DEPOT_KEY;
use crate::sample::DISPATCH_KEY;
use crate::sample::REPORTS;
use crate::sample::cold_chain;

/// The number of entries.
const ENTRIES: usize = 3;
/// How long the parts may take to find each other.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The length of the chat, in tokens: about six seconds.
const CHAT_TOKENS: u64 = 400;
/// The notice that each reclaim gives.
const NOTICE: Duration = Duration::from_secs(4);

/// Why the demonstration failed.
#[derive(Debug)]
pub struct DemoError(String);

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DemoError {}

fn failed(what: &str) -> impl Fn(&dyn fmt::Display) -> DemoError {
    move |cause| DemoError(format!("{what}: {cause}"))
}

/// A deployment with entries within this process.
#[derive(Debug)]
pub struct LocalDeployment {
    /// The stand-ins.
    pub platform: StandinPlatform,
    /// The entries.
    pub daemons: Vec<EntryDaemon>,
    /// Their addresses.
    pub addresses: Vec<EntryAddresses>,
}

impl LocalDeployment {
    /// Starts stand-ins and entries, publishes the sample configuration, and
    /// waits until every entry serves and has a mirror.
    ///
    /// # Errors
    ///
    /// A part that did not start in time.
    pub async fn start(
        entries: usize,
        shape: PlatformShape,
        extra: &str,
    ) -> Result<Self, DemoError> {
        let platform = StandinPlatform::start(shape)
            .await
            .map_err(|error| failed("stand-ins")(&error))?;
        let addresses = reserve_entries(entries).map_err(|error| failed("ports")(&error))?;
        platform
            .publish(cold_chain())
            .await
            .map_err(|error| failed("publish")(&error))?;
        let mut daemons = Vec::new();
        for own in &addresses {
            let text = settings_text(own, &addresses, platform.addresses(), extra);
            let settings = EntrySettings::parse("deployment", &text)
                .map_err(|error| failed("settings")(&error))?;
            let daemon = EntryDaemon::start(settings, discard_logger())
                .await
                .map_err(|error| failed("entry")(&error))?;
            daemons.push(daemon);
        }
        let deployment = Self {
            platform,
            daemons,
            addresses,
        };
        deployment.await_ready().await?;
        Ok(deployment)
    }

    async fn await_ready(&self) -> Result<(), DemoError> {
        let begun = Instant::now();
        while !self.is_ready() {
            if begun.elapsed() > START_TIMEOUT {
                return Err(DemoError("the entries did not get ready".to_owned()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let alone = self.daemons.len() == 1;
        let backends = self.platform.engines.len() + self.platform.plains.len();
        self.daemons.iter().all(|daemon| {
            let context = daemon.context();
            let serving = context.state() == MemberState::Serving;
            let solo = context.tables.requests.lock().holder.pair().is_solo();
            let known = context.tables.backends.lock().vms().count();
            let others = context.tables.members.lock().others().count();
            serving && (alone || !solo) && known == backends && others + 1 == self.daemons.len()
        })
    }

    /// Returns a caller that knows all entries, the one given first.
    pub fn caller(&self, first: usize, key: &str) -> CallerClient {
        let count = self.addresses.len();
        let entries = (0..count)
            .map(|step| self.addresses[(first + step) % count].http)
            .collect();
        CallerClient::new(HttpClient::new(), entries, key)
    }
}

/// Returns the body and the expected text of a chat.
pub fn sample_chat(notes: &str, tokens: u64) -> (String, String) {
    let chat = ChatBody {
        model: REPORTS.parse().expect("sample names are valid"),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: notes.to_owned(),
        }],
        max_tokens: Some(tokens),
        stream: true,
    };
    let expected = expected_answer(&chat.prompt_text(), tokens);
    let body = serde_json::to_string(&chat).unwrap_or_default();
    (body, expected)
}

/// Returns a call that dispatches an alert.
pub fn sample_call(truck: u32) -> ServiceCall {
    ServiceCall {
        service: ALERTS.parse().expect("sample names are valid"),
        path: "/dispatch".to_owned(),
        body: format!("{{\"truck\":{truck},\"celsius\":9.5}}"),
        deadline: None,
    }
}

/// Runs the demonstration and prints what the caller saw.
///
/// # Errors
///
/// Anything that a caller would have noticed as lost, doubled or cut.
pub async fn run_demo() -> Result<(), DemoError> {
    let begun = Instant::now();
    let say = |text: &str| println!("[{:6.2} s] {text}", begun.elapsed().as_secs_f64());
    say("starting 3 entries, 4 model engines, 2 alert gateways, a log service and a cloud");
    let deployment = LocalDeployment::start(ENTRIES, PlatformShape::default(), "").await?;
    say("every entry serves revision 1 and has a mirror");
    show_entries(&deployment, &say).await?;
    let alert = dispatch(&deployment, 1).await?;
    say(&format!(
        "alert 1 dispatched: status {}, ran {} time",
        alert.status,
        deployment.platform.runs(&alert.ticket)
    ));
    let notes = "Reefer truck 7, Dakar to Tambacounda, probe readings: ".repeat(60);
    let (body, expected) = sample_chat(&notes, CHAT_TOKENS);
    let mut caller = deployment.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    say("a caller streams an excursion report through entry-1");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    reclaim_busy_engine(&deployment, &say);
    tokio::time::sleep(Duration::from_millis(700)).await;
    reclaim_entry(&deployment, &say);
    let alert = dispatch(&deployment, 2).await?;
    say(&format!(
        "alert 2 dispatched during the reclaims: status {}, ran {} time",
        alert.status,
        deployment.platform.runs(&alert.ticket)
    ));
    let outcome = chat
        .await
        .map_err(|error| failed("chat")(&error))?
        .map_err(|error| failed("chat")(&error))?;
    report_chat(&outcome, &expected, &say)?;
    let most = deployment.platform.most_runs();
    say(&format!(
        "no call ran more than once (most runs of one ticket: {most})"
    ));
    if most > 1 {
        return Err(DemoError("a call ran twice".to_owned()));
    }
    for daemon in deployment.daemons {
        daemon.kill();
    }
    say("done");
    Ok(())
}

async fn show_entries(deployment: &LocalDeployment, say: &impl Fn(&str)) -> Result<(), DemoError> {
    let mut caller = deployment.caller(0, DEPOT_KEY);
    let answer = caller
        .entries(0)
        .await
        .map_err(|error| failed("entries")(&error))?;
    for entry in &answer.entries {
        say(&format!("  use {} in {}", entry.address, entry.zone));
    }
    Ok(())
}

async fn dispatch(deployment: &LocalDeployment, truck: u32) -> Result<CallOutcome, DemoError> {
    let mut caller = deployment.caller(1, DISPATCH_KEY);
    caller
        .call(&sample_call(truck))
        .await
        .map_err(|error| failed("alert")(&error))
}

/// Gives notice to the engine that works, and stops it when the time is up.
fn reclaim_busy_engine(deployment: &LocalDeployment, say: &impl Fn(&str)) {
    let busy = deployment
        .platform
        .engines
        .iter()
        .max_by_key(|running| running.engine.computed());
    let Some(running) = busy else {
        return;
    };
    say(&format!(
        "the cloud reclaims {}, which computes the report, in {} s",
        running.vm,
        NOTICE.as_secs()
    ));
    deployment
        .platform
        .cloud
        .give_notice(running.vm.clone(), NOTICE);
}

fn reclaim_entry(deployment: &LocalDeployment, say: &impl Fn(&str)) {
    let own = &deployment.addresses[0];
    say(&format!(
        "the cloud reclaims {}, which streams the report, in {} s",
        own.name,
        NOTICE.as_secs()
    ));
    if let Ok(vm) = own.name.parse() {
        deployment.platform.cloud.give_notice(vm, NOTICE);
    }
}

fn report_chat(
    outcome: &ChatOutcome,
    expected: &str,
    say: &impl Fn(&str),
) -> Result<(), DemoError> {
    let whole = outcome.text == expected;
    say(&format!(
        "the caller has {} of {CHAT_TOKENS} chunks, continued {} times at another entry",
        outcome.chunks, outcome.resumed
    ));
    let start: String = outcome.text.chars().take(60).collect();
    say(&format!("  \"{start}...\""));
    if !whole {
        return Err(DemoError(
            "the report is not whole or not in order".to_owned(),
        ));
    }
    say("the report is whole, in order, and every word is the expected one");
    Ok(())
}
