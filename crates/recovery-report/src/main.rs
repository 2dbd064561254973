//! Command-line program that renders the logs of a cluster's nodes as one HTML page. It writes a
//! complete page or none.

use clap::Parser;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use woadlever_recovery_report::history::{History, HistoryError, Log};
use woadlever_recovery_report::page::{self, PlotError};

/// Exit status if no page is written.
const FAILURE_STATUS: u8 = 2;

/// Renders one HTML page about recoveries, load shedding and jobs that moved between cells.
#[derive(Parser)]
#[command(name = "woadlever-recovery-report", version, about)]
struct Args {
    /// The page to write.
    #[arg(long, value_name = "FILE")]
    output: PathBuf,
    /// Logs of the nodes, one file each.
    #[arg(required = true, value_name = "LOG")]
    logs: Vec<PathBuf>,
}

/// Error that keeps the page from being written.
#[derive(Debug, Error)]
enum ReportError {
    #[error("{file}: {source}")]
    File { file: String, source: io::Error },
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadlever-recovery-report: {error}");
            ExitCode::from(FAILURE_STATUS)
        }
    }
}

fn run(args: &Args) -> Result<(), ReportError> {
    let logs = args.logs.iter().map(|path| read_log(path)).collect::<Result<Vec<Log>, _>>()?;
    let history = History::read(&logs)?;
    write_atomically(&args.output, &page::render(&history)?)
}

fn read_log(path: &Path) -> Result<Log, ReportError> {
    let text = std::fs::read_to_string(path).map_err(|source| file_error(path, source))?;
    Ok(Log { name: path.display().to_string(), text })
}

/// Writes a temporary file in the directory of the page and renames it, so that the page is
/// never incomplete.
fn write_atomically(path: &Path, text: &str) -> Result<(), ReportError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".part");
    let temporary = PathBuf::from(temporary);
    std::fs::write(&temporary, text).map_err(|source| file_error(&temporary, source))?;
    std::fs::rename(&temporary, path).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: io::Error) -> ReportError {
    ReportError::File { file: path.display().to_string(), source }
}
