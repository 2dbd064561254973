//! Parser for one line of a node's log.

use std::collections::HashMap;
use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;
use woadlever_cells::event::MoveEvent;
use woadlever_overload::class::RequestClass;
use woadlever_recovery::shard::{ReconciliationCounts, RecoveryPhase};

/// Newest format of the log fields that this program supports.
pub const NEWEST_FORMAT: u64 = 2;
const RECOVERY_TARGET: &str = " woadlever::recovery: ";
const CELLS_TARGET: &str = " woadlever::cells: ";
const OVERLOAD_TARGET: &str = " woadlever::overload: ";

/// Error from parsing a line about recovery, overload or cells.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// No timestamp precedes the target of the line.
    #[error("no timestamp at the beginning of the line")]
    MissingTimestamp,
    /// The fields have a format that this program doesn't support.
    #[error("fields of format {0}, only formats up to {NEWEST_FORMAT} can be read")]
    UnsupportedFormat(u64),
    /// A field is missing, as in a truncated line, or does not have the expected type.
    #[error("field {0} is missing or malformed")]
    BadField(&'static str),
}

/// A shard entered a phase of its recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseEntered {
    /// Name of the shard.
    pub shard: String,
    /// Fencing token under which the shard is owned.
    pub fencing_token: u64,
    /// Phase that the shard entered.
    pub phase: RecoveryPhase,
    /// Time since the shard was assigned, in milliseconds.
    pub age_ms: u64,
    /// Number of attempts listed by the shard's placement records.
    pub recorded: u64,
    /// Number of attempts reconciled so far.
    pub counts: ReconciliationCounts,
}

/// Load shedding of a node over about one second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadShedding {
    /// Lag of the event loop, in milliseconds.
    pub lag_ms: u64,
    /// Admission rate, in new connections per second.
    pub rate: u64,
    /// Number of connections admitted while the node limited admission.
    pub admitted: u64,
    /// Number of requests dropped because their clients no longer waited or the request queue was
    /// full.
    pub expired: u64,
    /// Number of connections rejected, by index of the request class.
    pub rejected: [u64; RequestClass::ALL.len()],
}

/// A step in the move of a job between cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStep {
    /// Id of the job.
    pub job: String,
    /// Name of the other cell.
    pub cell: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// Step that was logged.
    pub event: MoveEvent,
}

/// The event that a line reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A shard entered a phase of its recovery.
    Phase(PhaseEntered),
    /// A node shed load.
    LoadShedding(LoadShedding),
    /// A step in the move of a job between cells.
    Move(MoveStep),
}

/// A line about recovery, overload or cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Unix time of the line, in milliseconds.
    pub at_ms: i64,
    /// The event that the line reports.
    pub event: Event,
}

/// Fields of a line by name.
struct Fields<'a>(HashMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Fields<'a> {
        let pairs = text.split_ascii_whitespace().filter_map(|word| word.split_once('='));
        Fields(pairs.collect())
    }

    fn number(&self, name: &'static str) -> Result<u64, LineError> {
        let text = self.0.get(name).and_then(|text| text.parse().ok());
        text.ok_or(LineError::BadField(name))
    }

    fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        let text = self.0.get(name).and_then(|text| text.strip_prefix('"')?.strip_suffix('"'));
        text.ok_or(LineError::BadField(name))
    }
}

/// Parses the fields of one kind of line.
type ParseFields = fn(&Fields) -> Result<Event, LineError>;

/// Parsers of the lines' fields, by log target.
const PARSERS: [(&str, ParseFields); 3] =
    [(RECOVERY_TARGET, parse_phase), (OVERLOAD_TARGET, parse_load_shedding), (CELLS_TARGET, parse_move)];

/// Parses a line. Returns `None` if it is not about recovery, overload or cells.
pub fn parse(line: &str) -> Result<Option<LogLine>, LineError> {
    let found = PARSERS
        .into_iter()
        .find_map(|(target, parse)| line.split_once(target).map(|(head, fields)| (head, fields, parse)));
    let Some((head, fields, parse_fields)) = found else { return Ok(None) };
    let time = head.split_ascii_whitespace().find_map(|word| OffsetDateTime::parse(word, &Rfc3339).ok());
    let at = time.ok_or(LineError::MissingTimestamp)?;
    let fields = Fields::parse(fields);
    let format = fields.number("format")?;
    if !(1..=NEWEST_FORMAT).contains(&format) {
        return Err(LineError::UnsupportedFormat(format));
    }
    let at_ms = (at.unix_timestamp_nanos() / 1_000_000) as i64;
    Ok(Some(LogLine { at_ms, event: parse_fields(&fields)? }))
}

fn parse_phase(fields: &Fields) -> Result<Event, LineError> {
    let count = |name| fields.number(name).map(|count| count as u32);
    // In format 1 the shard's field is `block`, and the fencing token's field is `grant`.
    let [shard, fencing_token] = match fields.number("format")? {
        1 => ["block", "grant"],
        _ => ["shard", "fencing_token"],
    };
    Ok(Event::Phase(PhaseEntered {
        shard: fields.text(shard)?.to_string(),
        fencing_token: fields.number(fencing_token)?,
        phase: RecoveryPhase::from_name(fields.text("phase")?).ok_or(LineError::BadField("phase"))?,
        age_ms: fields.number("age_ms")?,
        recorded: fields.number("recorded")?,
        counts: ReconciliationCounts {
            confirmed: count("confirmed")?,
            absent: count("absent")?,
            lease_ended: count("lease_ended")?,
            unrecorded: count("unrecorded")?,
        },
    }))
}

fn parse_move(fields: &Fields) -> Result<Event, LineError> {
    Ok(Event::Move(MoveStep {
        job: fields.text("job")?.to_string(),
        cell: fields.text("cell")?.to_string(),
        epoch: fields.number("epoch")?,
        event: MoveEvent::from_name(fields.text("event")?).ok_or(LineError::BadField("event"))?,
    }))
}

fn parse_load_shedding(fields: &Fields) -> Result<Event, LineError> {
    // In format 1 the field for worker heartbeats is `reports`.
    let heartbeats = if fields.number("format")? == 1 { "reports" } else { "heartbeats" };
    let names = ["probes", heartbeats, "cancellations", "submissions", "questions"];
    let mut rejected = [0; RequestClass::ALL.len()];
    for (count, name) in rejected.iter_mut().zip(names) {
        *count = fields.number(name)?;
    }
    Ok(Event::LoadShedding(LoadShedding {
        lag_ms: fields.number("lag_ms")?,
        rate: fields.number("rate")?,
        admitted: fields.number("admitted")?,
        expired: fields.number("expired")?,
        rejected,
    }))
}
