//! QUOTA: one tenant sends many times its usual, in large prompts.
//!
//! Each client has an entry of its own, as the platform's hash may deal them. It sends a request
//! at regular times, and sends it once more after the time that a 429 names.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cloverbend::http_client::HttpClient;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parking_lot::Mutex;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::record::Record;

const ENTRIES: usize = 9;
const REPLICAS: usize = 18;
const SLOTS: u32 = 32;
/// The limit of the tenant.
const RATE: f64 = 60_000.0;
const BURST: f64 = 60_000.0;
/// The usual use of a tenant: its limit is 1.8 times as high.
const USUAL: f64 = RATE / 1.8;
/// How many times its usual the tenant sends.
const HOT: f64 = 7.5;
/// For how long.
const HOT_TIME: Duration = Duration::from_millis(5_800);
/// The tokens of a request: the prompt and the most that it may generate.
const PROMPT: u64 = 54_000;
const GENERATED: u64 = 600;
const WINDOW: Duration = Duration::from_secs(8);
const TIME_LIMIT: Duration = Duration::from_secs(15);

struct Sent {
    id: String,
    at: Instant,
}

pub async fn run(
    root: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::start(root, folder, ENTRIES).await?;
    for _ in 0..REPLICAS {
        deployment
            .add_replica("pool", SLOTS, 20, Duration::from_millis(20))
            .await?;
    }
    deployment.store.publish(&configuration());
    for entry in &mut deployment.entries {
        entry.wait_until_ready().await?;
    }
    // Traffic starts ten seconds after the machines do.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let began = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let factor = if trouble { HOT } else { 1.0 };
    let rate = USUAL * factor / (PROMPT + GENERATED) as f64;
    let pause = Duration::from_secs_f64(ENTRIES as f64 / rate);
    let mut clients = Vec::new();
    for (number, entry) in deployment.entries.iter().enumerate() {
        let client = Client {
            number,
            url: format!("http://{}/plan/x", entry.callers),
            http: HttpClient::new(),
            sent: Arc::clone(&sent),
            record: record.clone(),
            began,
        };
        // Without the trouble the clients take turns.
        let offset = if trouble {
            Duration::ZERO
        } else {
            pause.mul_f64(number as f64 / ENTRIES as f64)
        };
        clients.push(tokio::spawn(client.run(offset, pause)));
    }
    for client in clients {
        let _ = client.await;
    }
    let sent = sent.lock();
    let mut runs: Vec<(Instant, Instant)> = Vec::new();
    for replica in &deployment.replicas {
        for seen in replica.seen().iter().filter(|seen| seen.ran) {
            let sent_at = sent.iter().find(|one| one.id == seen.id).map(|one| one.at);
            if let Some(sent_at) = sent_at {
                record.line(
                    began,
                    seen.at,
                    &format!("run {} at {}", seen.id, replica.id()),
                );
                runs.push((sent_at, seen.at));
            }
        }
    }
    runs.sort();
    let most = runs
        .iter()
        .map(|(from, _)| {
            let in_window = runs
                .iter()
                .filter(|(sent, ran)| sent >= from && *ran < *from + WINDOW);
            in_window.count() as u64 * (PROMPT + GENERATED)
        })
        .max()
        .unwrap_or(0);
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 140_000.0;
    record.text(&format!(
        "requests sent {}, run {}; most tokens sent and run in {} s: {most}; allowed {allowed:.0}",
        sent.len(),
        runs.len(),
        WINDOW.as_secs()
    ));
    if runs.is_empty() {
        return Ok(Verdict::NotRun);
    }
    Ok(match most as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

struct Client {
    number: usize,
    url: String,
    http: HttpClient,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
    began: Instant,
}

impl Client {
    async fn run(self, offset: Duration, pause: Duration) {
        let end = self.began + HOT_TIME;
        let mut next = self.began + offset;
        let mut number = 0;
        let client = Arc::new(self);
        let mut open = Vec::new();
        while next < end {
            tokio::time::sleep_until(next.into()).await;
            let one = Arc::clone(&client);
            open.push(tokio::spawn(async move { one.serve(number).await }));
            number += 1;
            next += pause;
        }
        for one in open {
            let _ = one.await;
        }
    }

    /// Sends a request, and once more after a refusal.
    async fn serve(&self, number: u32) {
        let until = Instant::now() + TIME_LIMIT;
        for attempt in 1..=2 {
            let left = until.saturating_duration_since(Instant::now());
            let id = format!("c{}-{number}-{attempt}", self.number);
            let Some(after) = self.send(&id, left).await else {
                return;
            };
            let left = until.saturating_duration_since(Instant::now());
            if after > left / 3 {
                return;
            }
            tokio::time::sleep(after).await;
        }
    }

    /// Sends an attempt. Returns the time after which a refused one may be sent again.
    async fn send(&self, id: &str, left: Duration) -> Option<Duration> {
        let request = Request::post(&self.url)
            .header("host", "ficu95.example")
            .header("x-request-id", id)
            .header("x-model", "m")
            .header("x-token-usage", format!("{PROMPT},{GENERATED}"))
            .header(
                "x-prompt-prefix",
                format!("a1:512,b2:4870,{:x}:{}", hash(id), PROMPT - 5_382),
            )
            .header("x-deadline-ms", left.as_millis().to_string())
            .header("authorization", "Bearer key-one")
            .body(Full::new(Bytes::from_static(b"{}")))
            .ok()?;
        let at = Instant::now();
        self.sent.lock().push(Sent {
            id: id.to_owned(),
            at,
        });
        self.record
            .line(self.began, at, &format!("sent {id} to {}", self.url));
        let response = tokio::time::timeout(left, self.http.send(request)).await;
        let Ok(Ok(response)) = response else {
            self.record
                .line(self.began, Instant::now(), &format!("answer {id}: none"));
            return None;
        };
        let status = response.status();
        let after = response.headers().get("retry-after");
        let after: Option<f64> = after.and_then(|after| after.to_str().ok()?.parse().ok());
        let _ = response.into_body().collect().await;
        let text = format!("answer {id}: {} retry-after {after:?}", status.as_u16());
        self.record.line(self.began, Instant::now(), &text);
        let is_refused =
            status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
        Some(Duration::from_secs_f64(after?)).filter(|_| is_refused)
    }
}

fn hash(id: &str) -> u64 {
    id.bytes().fold(17_u64, |sum, byte| {
        sum.wrapping_mul(131).wrapping_add(u64::from(byte))
    }) >> 8
}

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"plan","host":"ficu95.example","path-prefix":"/plan/","kind":"streaming","timeout-ms":15000,"target-latency-ms":1000,"priority":1,"service":"pool","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":600}}],"services":[{{"name":"pool","health-path":"/health","max-connections":250,"engine":{{"slots":{SLOTS},"kv-capacity-tokens":587977}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["key-one"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":{RATE},"burst":{BURST}}}]}}"#
    )
}
