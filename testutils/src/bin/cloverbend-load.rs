//! `cloverbend-load`: sends chats to entries that run as processes, and to an
//! engine directly, and compares what callers see.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use cloverbend::caller_client::CallerClient;
use cloverbend::http_client::HttpClient;
use cloverbend_testutils::demo::sample_chat;
use cloverbend_testutils::processes::ProcessCluster;
use cloverbend_testutils::sample::DEPOT_KEY;
use hdrhistogram::Histogram;
use parking_lot::Mutex;

/// Loads one entry of a deployment of processes on this machine.
#[derive(Debug, Parser)]
#[command(name = "cloverbend-load", version)]
struct LoadArgs {
    /// Requests a second
    #[arg(long, default_value_t = 225.0)]
    rate: f64,
    /// Tokens of each answer
    #[arg(long, default_value_t = 360)]
    tokens: u64,
    /// Seconds of arrivals
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Engines
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// How much faster than their model the engines run
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// The requests in an engine's batch
    #[arg(long, default_value_t = 512)]
    slots: usize,
    /// Skip the comparison with an engine called directly
    #[arg(long)]
    no_direct: bool,
}

#[derive(Debug)]
struct LoadReport {
    first: Histogram<u64>,
    between: Histogram<u64>,
    ended: u64,
    failed: u64,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            first: histogram(),
            between: histogram(),
            ended: 0,
            failed: 0,
        }
    }

    fn print(&self, name: &str) {
        let at = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        println!(
            "| {name} | {:.2} / {:.2} / {:.2} | {:.2} / {:.2} / {:.2} | {} | {} |",
            at(&self.first, 0.5),
            at(&self.first, 0.95),
            at(&self.first, 0.99),
            at(&self.between, 0.5),
            at(&self.between, 0.95),
            at(&self.between, 0.99),
            self.ended,
            self.failed
        );
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = LoadArgs::parse();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &LoadArgs) -> std::io::Result<()> {
    let engine_args = [
        "--speed".to_owned(),
        args.speed.to_string(),
        "--slots".to_owned(),
        args.slots.to_string(),
    ];
    let cluster = ProcessCluster::start_with(3, args.engines, 1, &engine_args).await?;
    println!(
        "resident memory of an idle entry: {} kB",
        cluster.entries[0].resident_kb()?
    );
    println!(
        "| path | first token ms p50 / p95 / p99 | between tokens ms p50 / p95 / p99 | answers | failed |"
    );
    println!("|---|---|---|---|---|");
    if !args.no_direct {
        let engines: Vec<SocketAddr> = cluster.engines.iter().map(|e| e.record.address).collect();
        let report = send(args, engines).await;
        report.print("engine, directly");
    }
    let before = cluster.entries[0].cpu_seconds()?;
    let mirror_before = cluster.entries[1].cpu_seconds()?;
    let begun = Instant::now();
    let report = send(args, vec![cluster.addresses[0].http]).await;
    let elapsed = begun.elapsed().as_secs_f64();
    report.print("through one entry");
    let used = cluster.entries[0].cpu_seconds()? - before;
    let mirror = cluster.entries[1].cpu_seconds()? - mirror_before;
    println!(
        "\n{:.0} requests/s, {:.0} tokens/s; the entry used {:.2} cores, its mirror {:.2}; its memory at the end {} kB",
        report.ended as f64 / elapsed,
        report.ended as f64 * args.tokens as f64 / elapsed,
        used / elapsed,
        mirror / elapsed,
        cluster.entries[0].resident_kb()?,
    );
    Ok(())
}

async fn send(args: &LoadArgs, targets: Vec<SocketAddr>) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let http = HttpClient::new();
    let count = (args.rate * args.seconds as f64) as u64;
    let gap = Duration::from_secs_f64(1.0 / args.rate);
    let begun = tokio::time::Instant::now();
    let mut running = Vec::new();
    for number in 0..count {
        tokio::time::sleep_until(begun + gap * number as u32).await;
        let target = targets[number as usize % targets.len()];
        let caller = CallerClient::new(http.clone(), vec![target], DEPOT_KEY);
        let notes = format!(
            "Truck {}. {}",
            number % 40,
            "Probe readings in range. ".repeat(20)
        );
        let (body, _) = sample_chat(&notes, args.tokens);
        let report = Arc::clone(&report);
        running.push(tokio::spawn(chat(caller, body, args.tokens, report)));
    }
    for chat in running {
        // A chat that panicked counts as missing from the answers.
        let _ = chat.await;
    }
    Arc::into_inner(report)
        .map(Mutex::into_inner)
        .unwrap_or_else(LoadReport::new)
}

async fn chat(mut caller: CallerClient, body: String, tokens: u64, report: Arc<Mutex<LoadReport>>) {
    let begun = Instant::now();
    let mut last = begun;
    let mut first = true;
    let mut gaps = Vec::new();
    let mut waited = Duration::ZERO;
    let outcome = caller
        .chat(body, None, |_| {
            let now = Instant::now();
            if std::mem::take(&mut first) {
                waited = now - begun;
            } else {
                gaps.push(now - last);
            }
            last = now;
        })
        .await;
    let mut report = report.lock();
    if outcome.is_ok_and(|outcome| outcome.chunks == tokens) {
        report.ended += 1;
        // Values beyond the histogram's range cannot occur: it grows.
        let _ = report.first.record(waited.as_micros() as u64);
        for gap in gaps {
            let _ = report.between.record(gap.as_micros() as u64);
        }
    } else {
        report.failed += 1;
    }
}
