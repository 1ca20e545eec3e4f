//! `cloverbend-experiment`: compares decisions under the same seeded load.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::ValueEnum;
use cloverbend::route_strategy::RouteStrategy;
use cloverbend::routing::CostWeights;
use cloverbend_testutils::engine_model::EngineShape;
use cloverbend_testutils::load_model::run_load;
use cloverbend_testutils::load_run::Admission;
use cloverbend_testutils::load_run::DemandKind;
use cloverbend_testutils::load_run::LoadRun;
use cloverbend_testutils::load_run::MoveRule;
use cloverbend_testutils::load_run::Scenario;
use cloverbend_testutils::load_run::figure_columns;
use plotters::prelude::*;

/// The expected wait beyond which requests are refused, in milliseconds.
const DEFAULT_LIMIT: u64 = 600;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Subject {
    /// Strategies of routing
    Routing,
    /// Early refusal at one, two and five times the capacity
    Overload,
    /// Ways to move running work off a reclaimed zone
    Moves,
    /// Weights of the full cost
    Weights,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Demand {
    /// Excursion reports
    ColdChain,
    /// Feeding plans and chats
    PetFood,
}

/// Runs seeded experiments in virtual time and prints medians and spreads.
#[derive(Debug, Parser)]
#[command(name = "cloverbend-experiment", version)]
struct ExperimentArgs {
    /// What to compare
    subject: Subject,
    /// Whose requests
    #[arg(long, value_enum, default_value = "cold-chain")]
    demand: Demand,
    /// Requests a second
    #[arg(long)]
    rate: Option<f64>,
    /// The first seed; seeds from 100 on are kept aside while tuning
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// The number of seeds
    #[arg(long, default_value_t = 6)]
    seeds: u64,
    /// Seconds of arrivals
    #[arg(long, default_value_t = 180)]
    seconds: u64,
    /// Engines
    #[arg(long, default_value_t = 20)]
    engines: usize,
    /// How many entries each takes to send as much as itself
    #[arg(long, default_value_t = 3)]
    sharers: usize,
    /// Only rows whose names contain this
    #[arg(long, value_name = "TEXT", default_value = "")]
    only: String,
    /// Write every run as CSV
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Draw the first-token times as SVG
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// One row of a table: a name and the runs that belong to it.
struct Row {
    name: String,
    runs: Vec<LoadRun>,
}

type Columns = BTreeMap<&'static str, Vec<f64>>;

fn main() -> ExitCode {
    let args = ExperimentArgs::parse();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &ExperimentArgs) -> Result<(), Box<dyn std::error::Error>> {
    let mut writer = args.csv.as_ref().map(csv::Writer::from_path).transpose()?;
    let mut results: Vec<(String, Columns)> = Vec::new();
    let mut header_done = false;
    for row in rows(args) {
        if !row.name.contains(&args.only) {
            continue;
        }
        let mut columns = Columns::new();
        for run in &row.runs {
            let figures = figure_columns(&run_load(*run));
            if let Some(writer) = &mut writer {
                if !header_done {
                    let names = ["row", "seed"].into_iter().chain(figures.keys().copied());
                    writer.write_record(names)?;
                    header_done = true;
                }
                let mut record = vec![row.name.clone(), run.seed.to_string()];
                record.extend(figures.values().map(f64::to_string));
                writer.write_record(record)?;
            }
            for (name, value) in figures {
                columns.entry(name).or_default().push(value);
            }
        }
        if results.is_empty() {
            print_header(&columns);
        }
        print_row(&row.name, &mut columns);
        results.push((row.name, columns));
    }
    if let Some(file) = &args.plot {
        plot(file, &results)?;
    }
    Ok(())
}

fn base(args: &ExperimentArgs, seed: u64) -> LoadRun {
    let (demand, weights, rate) = match args.demand {
        Demand::ColdChain => (DemandKind::ColdChain, cold_chain_weights(), 46.0),
        Demand::PetFood => (DemandKind::PetFood, pet_food_weights(), 32.0),
    };
    LoadRun {
        seed,
        demand,
        rate: args.rate.unwrap_or(rate),
        scenario: Scenario::Steady,
        strategy: RouteStrategy::FullCost,
        weights,
        admission: Admission::EarlyRefusal(Duration::from_millis(DEFAULT_LIMIT)),
        moves: MoveRule::MoveKv,
        engines: args.engines,
        entries: 9,
        sharers: args.sharers,
        duration: Duration::from_secs(args.seconds),
        shape: EngineShape::default(),
    }
}

/// The weights of a user who weighs cost at the latency target more.
fn cold_chain_weights() -> CostWeights {
    CostWeights::default()
}

/// The weights of a user who weighs recomputed tokens more.
fn pet_food_weights() -> CostWeights {
    CostWeights {
        recompute: 5.0,
        crowding: 0.004,
        ..CostWeights::default()
    }
}

fn row(args: &ExperimentArgs, name: String, change: impl Fn(&mut LoadRun)) -> Row {
    let seeds = args.first_seed..args.first_seed + args.seeds;
    let runs = seeds
        .map(|seed| {
            let mut run = base(args, seed);
            change(&mut run);
            run
        })
        .collect();
    Row { name, runs }
}

fn rows(args: &ExperimentArgs) -> Vec<Row> {
    match args.subject {
        Subject::Routing => routing_rows(args),
        Subject::Overload => overload_rows(args),
        Subject::Moves => move_rows(args),
        Subject::Weights => weight_rows(args),
    }
}

fn routing_rows(args: &ExperimentArgs) -> Vec<Row> {
    let mut rows = Vec::new();
    for scenario in Scenario::ALL {
        for strategy in RouteStrategy::ALL {
            let name = format!("{}, {strategy}", scenario.name());
            rows.push(row(args, name, |run| {
                run.scenario = scenario;
                run.strategy = strategy;
                run.admission = Admission::All;
            }));
        }
    }
    rows
}

fn overload_rows(args: &ExperimentArgs) -> Vec<Row> {
    let refusal = |millis| Admission::EarlyRefusal(Duration::from_millis(millis));
    let limits = [
        Admission::All,
        Admission::QueueLimit(Duration::from_millis(300)),
        refusal(1_000),
        refusal(600),
        refusal(400),
        refusal(300),
    ];
    let mut rows = Vec::new();
    for factor in [1.0, 1.3, 2.0, 5.0] {
        for admission in limits {
            let name = format!("{factor} x, {admission:?}");
            rows.push(row(args, name, |run| {
                run.rate *= factor;
                run.admission = admission;
            }));
        }
    }
    rows
}

fn move_rows(args: &ExperimentArgs) -> Vec<Row> {
    let mut rows = Vec::new();
    for scenario in [Scenario::ZoneReclaim, Scenario::Refused] {
        for moves in [MoveRule::Recompute, MoveRule::Stay, MoveRule::MoveKv] {
            let name = format!("{}, {moves:?}", scenario.name());
            rows.push(row(args, name, |run| {
                run.scenario = scenario;
                run.moves = moves;
            }));
        }
    }
    rows
}

fn weight_rows(args: &ExperimentArgs) -> Vec<Row> {
    let mut rows = Vec::new();
    for recompute in [0.0, 0.2, 0.6, 2.0, 5.0] {
        for crowding in [0.004, 0.02] {
            let name = format!("recompute {recompute}, crowding {crowding}");
            rows.push(row(args, name, |run| {
                run.admission = Admission::All;
                run.weights.recompute = recompute;
                run.weights.crowding = crowding;
            }));
        }
    }
    rows
}

fn print_header(columns: &Columns) {
    let names: Vec<&str> = columns.keys().map(|name| &name[2..]).collect();
    println!("| run | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(names.len()));
}

fn print_row(name: &str, columns: &mut Columns) {
    let cells: Vec<String> = columns.values_mut().map(|values| cell(values)).collect();
    println!("| {name} | {} |", cells.join(" | "));
}

/// Prints the median, and the lowest and highest value.
fn cell(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let middle = values[values.len() / 2];
    let first = values.first().copied().unwrap_or_default();
    let last = values.last().copied().unwrap_or_default();
    let digits = if middle >= 100.0 { 0 } else { 1 };
    format!("{middle:.digits$} ({first:.digits$}–{last:.digits$})")
}

fn plot(file: &PathBuf, results: &[(String, Columns)]) -> Result<(), Box<dyn std::error::Error>> {
    let medians: Vec<f64> = results
        .iter()
        .map(|(_, columns)| {
            let mut values = columns["1 first token p95 ms"].clone();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        })
        .collect();
    let highest = medians.iter().copied().fold(1.0, f64::max);
    let area = SVGBackend::new(file, (900, 40 + 22 * results.len() as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    for (index, ((name, _), value)) in results.iter().zip(&medians).enumerate() {
        let top = 20 + 22 * index as i32;
        let width = (value / highest * 500.0) as i32;
        let bar = Rectangle::new([(260, top), (260 + width, top + 16)], BLUE.filled());
        area.draw(&bar)?;
        let label = format!("{name}: {value:.0} ms");
        area.draw(&Text::new(label, (8, top + 2), ("sans-serif", 13)))?;
    }
    area.present()?;
    Ok(())
}
