//! Callers read their answers slowly while their entry is stopped as planned.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cloverbend_platform_standin::replica_standin::ReplicaMood;
use cloverbend_platform_standin::replica_standin::ReplicaStandin;
use review_standins::BROKEN;
use review_standins::Deployment;
use review_standins::HELD;
use review_standins::HOST;
use review_standins::KEY;
use review_standins::NOT_RUN;
use review_standins::Record;
use review_standins::connect_as_remote;
use review_standins::has_trouble;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// The length of each answer.
const ANSWER_BYTES: usize = 800_000;
/// How long a caller takes to read it.
const READ_TIME: Duration = Duration::from_millis(6_000);
/// How long a caller waits at most, as its header says.
const TIME_LIMIT: Duration = Duration::from_millis(15_000);
const CALLERS: usize = 8;
/// How long after the requests the entry is stopped. All answers have begun by then.
const STOP_AFTER: Duration = Duration::from_millis(500);
const PIECE: usize = 1_448;

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"plans","host":"{HOST}","path-prefix":"/lohu930/","kind":"idempotent","timeout-ms":15000,"target-latency-ms":1000,"priority":1,"service":"box-app","max-attempts":2,"public":false}}],"services":[{{"name":"box-app","health-path":"/health","max-connections":110}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}]}}"#
    )
}

/// What a caller saw of its answer.
struct Outcome {
    status: String,
    received: usize,
    complete: bool,
    took: Duration,
    end: String,
}

async fn call(address: SocketAddr, id: &str) -> std::io::Result<Outcome> {
    let mut socket = connect_as_remote(address, 4 * 1_024).await?;
    let limit = TIME_LIMIT.as_millis();
    let head = format!(
        "GET /lohu930/2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {limit}\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    let started = Instant::now();
    socket.write_all(head.as_bytes()).await?;
    let mut bytes = Vec::new();
    let pause = READ_TIME.mul_f64(PIECE as f64 / ANSWER_BYTES as f64);
    let mut buffer = vec![0; PIECE];
    let mut end = "whole answer".to_owned();
    let mut body_start = None;
    loop {
        let read = tokio::time::timeout(TIME_LIMIT, socket.read(&mut buffer)).await;
        match read {
            Err(_) => end = "nothing came in time".to_owned(),
            Ok(Err(error)) => end = error.to_string(),
            Ok(Ok(0)) => end = "connection closed".to_owned(),
            Ok(Ok(count)) => {
                bytes.extend_from_slice(&buffer[..count]);
                if body_start.is_none() {
                    let found = bytes.windows(4).position(|four| four == b"\r\n\r\n");
                    body_start = found.map(|at| at + 4);
                }
                if body_start.is_some_and(|start| bytes.len() >= start + ANSWER_BYTES) {
                    break;
                }
                tokio::time::sleep(pause).await;
                continue;
            }
        }
        break;
    }
    let received = body_start.map_or(0, |start| bytes.len() - start);
    let line = bytes
        .split(|byte| *byte == b'\r')
        .next()
        .unwrap_or_default();
    Ok(Outcome {
        status: String::from_utf8_lossy(line).into_owned(),
        received,
        complete: received == ANSWER_BYTES,
        took: started.elapsed(),
        end,
    })
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let mut deployment = Deployment::new()?;
    let replica =
        ReplicaStandin::start("i-box-1", 1, Duration::ZERO, deployment.stop.clone()).await?;
    replica.set_mood(ReplicaMood::Large(ANSWER_BYTES));
    let listing = replica.record("box-app", "midrand-a", "ready");
    deployment
        .store
        .put("keyed.servers", replica.id(), listing.as_bytes());
    deployment.store.publish(&configuration());
    for _ in 0..3 {
        deployment.add_entry("midrand-a").await?;
    }
    deployment.wait_until_ready().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    record.note("three entries are ready");
    let address = deployment.entries[0].callers;
    let calls: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            tokio::spawn(async move {
                let id = format!("slow-{number}");
                record.note(format!("sent {id}"));
                let outcome = call(address, &id).await?;
                record.note(format!(
                    "answer of {id}: {}, {} of {ANSWER_BYTES} bytes, {:.3} s after it was sent, {}",
                    outcome.status,
                    outcome.received,
                    outcome.took.as_secs_f64(),
                    outcome.end
                ));
                Ok::<Outcome, std::io::Error>(outcome)
            })
        })
        .collect();
    tokio::time::sleep(STOP_AFTER).await;
    let stopped_at = Instant::now();
    if has_trouble() {
        deployment.entries[0].signal("TERM")?;
        record.note("SIGTERM to the entry; its grace-s is 8");
    }
    let mut watched = false;
    let mut lost = 0;
    for call in calls {
        while !call.is_finished() {
            if !watched && deployment.entries[0].has_ended() {
                watched = true;
                let after = stopped_at.elapsed().as_secs_f64();
                record.note(format!(
                    "the entry's process ended {after:.3} s after SIGTERM"
                ));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let outcome = call.await.map_err(std::io::Error::other)??;
        lost += usize::from(!outcome.complete);
    }
    for seen in replica.seen() {
        record.note(format!("replica: {} ran: {}", seen.id, seen.ran));
    }
    record.note(format!("{lost} of {CALLERS} answers were cut"));
    Ok(if lost > 0 { BROKEN } else { HELD })
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
