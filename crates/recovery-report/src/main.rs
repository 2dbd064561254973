//! Command line: reads logs, writes one page or nothing.

use clap::Parser;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use woadlever_recovery_report::history::{History, HistoryError, Log};
use woadlever_recovery_report::page::{self, PlotError};

/// Exit status when no page is written.
const FAILED: u8 = 2;

/// Draws one HTML page on how recoveries went and what was shed.
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

/// Why no page is written.
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
            ExitCode::from(FAILED)
        }
    }
}

fn run(args: &Args) -> Result<(), ReportError> {
    let logs = args.logs.iter().map(|path| read_log(path)).collect::<Result<Vec<Log>, _>>()?;
    let history = History::read(&logs)?;
    write_whole(&args.output, &page::render(&history)?)
}

fn read_log(path: &Path) -> Result<Log, ReportError> {
    let text = std::fs::read_to_string(path).map_err(|source| file_error(path, source))?;
    Ok(Log { name: path.display().to_string(), text })
}

/// Writes to a file beside the page first, so that there is never half a page.
fn write_whole(path: &Path, text: &str) -> Result<(), ReportError> {
    let mut unfinished = path.as_os_str().to_owned();
    unfinished.push(".part");
    let unfinished = PathBuf::from(unfinished);
    std::fs::write(&unfinished, text).map_err(|source| file_error(&unfinished, source))?;
    std::fs::rename(&unfinished, path).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: io::Error) -> ReportError {
    ReportError::File { file: path.display().to_string(), source }
}
