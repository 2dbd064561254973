//! Parses the command line, loads the settings, sets up logging and runs the scheduler.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::Level;
use woadlever::config::{ConfigError, Operator, Platform};
use woadlever::io::driver;

/// Exit status if the settings are invalid.
const SETTINGS_ERROR: u8 = 2;

/// A cluster scheduler that rents its machines ahead of demand.
#[derive(Parser)]
#[command(name = "woadlever", version, about)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' settings (INI); without it, the defaults apply.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check both files and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let (platform, operator) = match load_settings(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("woadlever: {error}");
            return ExitCode::from(SETTINGS_ERROR);
        }
    };
    if args.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    start_logging();
    serve(platform, operator)
}

fn load_settings(args: &Args) -> Result<(Platform, Operator), ConfigError> {
    let platform = Platform::load(&args.config)?;
    let operator = match &args.operator {
        Some(path) => Operator::load(path)?,
        None => Operator::default(),
    };
    Ok((platform, operator))
}

fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Level::ERROR,
        Ok("debug") => Level::DEBUG,
        _ => Level::INFO,
    };
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

/// Runs the scheduler until the process ends. Returns only if it cannot start.
fn serve(platform: Platform, operator: Operator) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("woadlever: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, driver::run(platform, operator)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            eprintln!("woadlever: {error}");
            ExitCode::FAILURE
        }
    }
}
