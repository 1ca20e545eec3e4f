//! `cloverbend-standin`: one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use cloverbend_testutils::cloud_standin::CloudStandin;
use cloverbend_testutils::engine_model::EngineShape;
use cloverbend_testutils::engine_standin::EngineStandin;
use cloverbend_testutils::log_standin::LogStandin;
use cloverbend_testutils::plain_standin::PlainStandin;
use cloverbend_testutils::standin_server::Standin;
use cloverbend_testutils::standin_server::StandinServer;
use cloverbend_testutils::weight_standin::WeightStandin;

/// Stands in for a part of the platform or a backend server. `POST
/// /admin/fault` with `{"fault":{"kind":"refuse"}}` makes it fail; kinds are
/// none, refuse, delay (with millis), lose_answer and freeze.
#[derive(Debug, Parser)]
#[command(name = "cloverbend-standin", version)]
struct StandinArgs {
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Args)]
struct ListenArgs {
    /// Where to listen
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    /// The log service
    Log {
        #[command(flatten)]
        listen: ListenArgs,
        /// Records kept of each stream
        #[arg(long, default_value_t = 10_000)]
        retained: usize,
        /// Appends taken a second
        #[arg(long, default_value_t = 100.0)]
        appends: f64,
    },
    /// The cloud API and the VM list
    Cloud {
        #[command(flatten)]
        listen: ListenArgs,
        /// How far the VM list lags, in milliseconds
        #[arg(long, default_value_t = 1_000)]
        lag: u64,
    },
    /// A model engine
    Engine {
        #[command(flatten)]
        listen: ListenArgs,
        /// How much faster it runs than its model says
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// The requests in a batch
        #[arg(long, default_value_t = 16)]
        slots: usize,
        /// The seed of its gaps
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A plain service
    Plain {
        #[command(flatten)]
        listen: ListenArgs,
        /// How long a call takes, in milliseconds
        #[arg(long, default_value_t = 5)]
        work: u64,
        /// Refuse orders with an old fence
        #[arg(long)]
        checks_fences: bool,
    },
    /// The weight store
    Weights {
        #[command(flatten)]
        listen: ListenArgs,
        /// How long one load takes, in milliseconds
        #[arg(long, default_value_t = 2_000)]
        load: u64,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = StandinArgs::parse();
    match serve(args.kind).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-in did not start: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(kind: StandinKind) -> std::io::Result<()> {
    match kind {
        StandinKind::Log {
            listen,
            retained,
            appends,
        } => run(listen, Arc::new(LogStandin::new(retained, appends))).await,
        StandinKind::Cloud { listen, lag } => {
            let lag = Duration::from_millis(lag);
            run(listen, Arc::new(CloudStandin::new(lag))).await
        }
        StandinKind::Engine {
            listen,
            speed,
            slots,
            seed,
        } => {
            let shape = EngineShape {
                slots,
                ..EngineShape::default()
            };
            run(listen, EngineStandin::start(shape, speed, seed)).await
        }
        StandinKind::Plain {
            listen,
            work,
            checks_fences,
        } => {
            let work = Duration::from_millis(work);
            run(listen, Arc::new(PlainStandin::new(work, checks_fences))).await
        }
        StandinKind::Weights { listen, load } => {
            let load = Duration::from_millis(load);
            run(listen, Arc::new(WeightStandin::new(load))).await
        }
    }
}

async fn run<S: Standin>(listen: ListenArgs, standin: Arc<S>) -> std::io::Result<()> {
    let server = StandinServer::start(listen.listen, standin).await?;
    // The first line tells whoever started it where it listens.
    println!("{}", server.address());
    server.stopped().await;
    Ok(())
}
