//! The cases of the second review that are scripts: `review-standins-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The
//! variable `TROUBLE=0` leaves the disruption out.

mod deployment;
mod quota;
mod record;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = run(case, &folder, &temporary, trouble).await;
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

async fn run(
    case: &str,
    folder: &Path,
    temporary: &Path,
    trouble: bool,
) -> std::io::Result<Verdict> {
    std::fs::create_dir_all(temporary)?;
    let root = std::env::current_dir()?;
    let record = Record::create(&folder.join("record.txt"))?;
    record.text(&format!("case {case}, trouble {trouble}"));
    let verdict = match case {
        "quota" => quota::run(&root, temporary, &record, trouble).await?,
        _ => Verdict::NotRun,
    };
    record.text(match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
        Verdict::NotRun => "the case could not run",
    });
    Ok(verdict)
}
