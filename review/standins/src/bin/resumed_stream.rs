//! Callers take streams up behind an event that they have, and the replica that goes on with
//! them is killed before its next event.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use review_standins::BROKEN;
use review_standins::Deployment;
use review_standins::HELD;
use review_standins::HOST;
use review_standins::KEY;
use review_standins::NOT_RUN;
use review_standins::Record;
use review_standins::has_trouble;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::mpsc;

/// The events of each stream.
const EVENTS: u64 = 12;
/// The event after which a caller's first connection breaks.
const BROKEN_AFTER: u64 = 4;
const CALLERS: usize = 4;
const REPLICAS: usize = 6;
/// How long after the head of its answer the replica is killed. It still reads the prompt.
const KILL_AFTER: Duration = Duration::from_millis(200);
const TIME_LIMIT: Duration = Duration::from_millis(12_000);

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"diet-swap","host":"{HOST}","path-prefix":"/lohu930/","kind":"streaming","timeout-ms":12000,"target-latency-ms":1000,"gap-aim-ms":600,"priority":0,"service":"bowl-llm","max-attempts":2,"public":false,"sticky":true,"resumable":true}}],"services":[{{"name":"bowl-llm","health-path":"/health","max-connections":250,"engine":{{"slots":32,"kv-capacity-tokens":587977}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

/// What a replica's process says: its number and the line.
type Said = (usize, String);

/// Starts a replica and lists it in the store once it listens.
async fn start_replica(
    deployment: &Deployment,
    number: usize,
    id: &str,
    said: mpsc::UnboundedSender<Said>,
) -> std::io::Result<Child> {
    let program = std::env::current_exe()?.with_file_name("stream_replica");
    let mut child = Command::new(program)
        .arg(id)
        .arg(EVENTS.to_string())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let output = child.stdout.take().ok_or(std::io::ErrorKind::BrokenPipe)?;
    let mut lines = BufReader::new(output).lines();
    let first = lines.next_line().await?.unwrap_or_default();
    let address = first.trim_start_matches("listens ").to_owned();
    let listing = format!(
        r#"{{"service":"bowl-llm","address":"{address}","zone":"midrand-a","version":"v1","slots":32,"state":"ready","cold-remaining-ms":0,"sequence":1}}"#
    );
    deployment
        .store
        .put("keyed.servers", id, listing.as_bytes());
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            if said.send((number, line)).is_err() {
                return;
            }
        }
    });
    Ok(child)
}

/// What a caller saw of an answer.
struct Seen {
    status: String,
    events: Vec<u64>,
    /// Whether the answer is framed as complete.
    is_complete: bool,
}

/// Asks for a stream and reads the answer, until its end or behind event `until`.
async fn ask(
    address: SocketAddr,
    id: &str,
    taken_up: Option<(&str, u64)>,
    until: Option<u64>,
) -> std::io::Result<Seen> {
    let limit = TIME_LIMIT.as_millis();
    let taken_up = taken_up.map_or_else(String::new, |(attempt, event)| {
        format!("last-event-id: {event}\r\nresumes: {attempt}\r\n")
    });
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {limit}\r\nauthorization: Bearer {KEY}\r\nx-model: m\r\n\
         x-token-usage: 300,20\r\nx-prompt-prefix: 5c1e07a2:100,91bd3f06:100,e4402b7d:100\r\n\
         {taken_up}content-length: 2\r\n\r\n{{}}"
    );
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    let read_all = async {
        loop {
            let seen = parse(&bytes);
            let has_enough = until.is_some_and(|until| seen.events.contains(&until));
            if seen.is_complete || has_enough {
                return Ok::<Seen, std::io::Error>(seen);
            }
            // A connection that is reset ends the answer as one that is closed does.
            if !matches!(socket.read_buf(&mut bytes).await, Ok(count) if count > 0) {
                return Ok(parse(&bytes));
            }
        }
    };
    let seen = tokio::time::timeout(TIME_LIMIT, read_all).await;
    seen.map_err(std::io::Error::other)?
}

/// Reads an answer with a length or in chunks.
fn parse(bytes: &[u8]) -> Seen {
    let Some(head_end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Seen {
            status: "no answer".to_owned(),
            events: Vec::new(),
            is_complete: false,
        };
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let mut rest = &bytes[head_end + 4..];
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let mut body = Vec::new();
    let mut is_complete = false;
    if let Some(length) = length {
        body.extend_from_slice(&rest[..length.min(rest.len())]);
        is_complete = rest.len() >= length;
    } else if head.contains("transfer-encoding: chunked") {
        while let Some(at) = rest.windows(2).position(|two| two == b"\r\n") {
            let size = String::from_utf8_lossy(&rest[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                break;
            };
            rest = &rest[at + 2..];
            if size == 0 {
                is_complete = rest.starts_with(b"\r\n");
                break;
            }
            body.extend_from_slice(&rest[..size.min(rest.len())]);
            let Some(next) = rest.get(size + 2..) else {
                break;
            };
            rest = next;
        }
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    Seen {
        status: head.lines().next().unwrap_or_default().to_owned(),
        events: ids.filter_map(|id| id.parse().ok()).collect(),
        is_complete,
    }
}

/// Waits for the replica that has a request. Returns its number.
async fn wait_for_replica(
    said: &mut mpsc::UnboundedReceiver<Said>,
    record: &Record,
    request: &str,
) -> std::io::Result<usize> {
    let named = format!("request {request} ");
    loop {
        let next = tokio::time::timeout(Duration::from_secs(5), said.recv()).await;
        let next = next.map_err(std::io::Error::other)?;
        let (number, line) = next.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        record.note(format!("replica {number}: {line}"));
        if line.starts_with(&named) {
            return Ok(number);
        }
    }
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let mut deployment = Deployment::new()?;
    let (sender, mut said) = mpsc::unbounded_channel();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-llm-{number}");
        replicas.push(Some(
            start_replica(&deployment, number, &id, sender.clone()).await?,
        ));
    }
    deployment.store.publish(&configuration());
    for _ in 0..3 {
        deployment.add_entry("midrand-a").await?;
    }
    deployment.wait_until_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    record.note("three entries are ready");
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(|e| e.callers).collect();
    let mut broken = 0;
    for caller in 0..CALLERS {
        let first = format!("first-{caller}");
        record.note(format!("sent {first}"));
        let seen = ask(entries[caller % 3], &first, None, Some(BROKEN_AFTER)).await?;
        record.note(format!(
            "the connection of {first} breaks at the caller's side: {}, events {:?}",
            seen.status, seen.events
        ));
        if !seen.events.contains(&BROKEN_AFTER) {
            return Err(std::io::Error::other("the first try got no events"));
        }
        wait_for_replica(&mut said, record, &first).await?;
        // As long as a caller needs for a new connection, and entries for their notices.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let second = format!("second-{caller}");
        record.note(format!("sent {second}, behind event {BROKEN_AFTER}"));
        let (address, id, attempt) = (entries[(caller + 1) % 3], second.clone(), first.clone());
        let asked = Instant::now();
        let answer =
            tokio::spawn(
                async move { ask(address, &id, Some((&attempt, BROKEN_AFTER)), None).await },
            );
        let number = wait_for_replica(&mut said, record, &second).await?;
        if has_trouble() {
            tokio::time::sleep(KILL_AFTER).await;
            if let Some(mut replica) = replicas[number].take() {
                replica.kill().await?;
                record.note(format!("replica {number} was killed"));
            }
        }
        let seen = answer.await.map_err(std::io::Error::other)??;
        let is_whole = seen.events.iter().copied().eq(BROKEN_AFTER + 1..=EVENTS);
        record.note(format!(
            "answer of {second} after {:.3} s: {}, events {:?}, framed as complete: {}",
            asked.elapsed().as_secs_f64(),
            seen.status,
            seen.events,
            seen.is_complete
        ));
        if seen.status.contains(" 200 ") && seen.is_complete && !is_whole {
            record.note(format!("{second} ends as complete before event {EVENTS}"));
            broken += 1;
        }
        if replicas[number].is_none() {
            // The next life has an identifier of its own.
            let old = format!("i-llm-{number}");
            deployment.store.put("keyed.servers", &old, b"");
            let id = format!("i-llm-{number}-{caller}");
            let replica = start_replica(&deployment, number, &id, sender.clone()).await?;
            replicas[number] = Some(replica);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
    record.note(format!(
        "{broken} of {CALLERS} streams ended as complete before their last event"
    ));
    Ok(if broken > 0 { BROKEN } else { HELD })
}

#[tokio::main]
async fn main() {
    let Ok(record) = Record::create() else {
        std::process::exit(NOT_RUN);
    };
    let code = match run(&record).await {
        Ok(code) => code,
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            NOT_RUN
        }
    };
    std::process::exit(code);
}
