//! One line of a node's log.

use std::collections::HashMap;
use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;
use woadlever_cells::event::MoveEvent;
use woadlever_overload::class::RequestClass;
use woadlever_recovery::shard::{ReconciliationCounts, RecoveryPhase};

/// Newest version of the fields that this program reads.
pub const FORMAT: u64 = 2;
const RECOVERY_TARGET: &str = " woadlever::recovery: ";
const CELLS_TARGET: &str = " woadlever::cells: ";
const OVERLOAD_TARGET: &str = " woadlever::overload: ";

/// Why a line about recovery, overload or cells can't be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line does not begin with a time.
    #[error("no time at the beginning of the line")]
    NoTime,
    /// The fields are of another version.
    #[error("fields of format {0}, only formats up to {FORMAT} can be read")]
    OtherFormat(u64),
    /// A field is missing or not of its type; a line that was cut short lacks some.
    #[error("field {0} is missing or malformed")]
    BadField(&'static str),
}

/// A shard has entered a phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseEntered {
    /// Name of the shard.
    pub shard: String,
    /// Fencing token under which it is owned.
    pub fencing_token: u64,
    /// The phase.
    pub phase: RecoveryPhase,
    /// Time since the shard was assigned, in milliseconds.
    pub age_ms: u64,
    /// Attempts that its records listed.
    pub recorded: u64,
    /// Attempts reconciled so far.
    pub counts: ReconciliationCounts,
}

/// What a node has shed in about a second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shed {
    /// Lag of the event loop, in milliseconds.
    pub lag_ms: u64,
    /// Rate of new connections a second.
    pub rate: u64,
    /// Connections admitted.
    pub admitted: u64,
    /// Requests dropped because their clients no longer waited.
    pub expired: u64,
    /// Connections rejected, by index of their class.
    pub rejected: [u64; RequestClass::ALL.len()],
}

/// A step of a job that moves between cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStep {
    /// Id of the job.
    pub job: String,
    /// The other cell.
    pub cell: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// The step.
    pub event: MoveEvent,
}

/// What a line is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// About a recovery.
    Phase(PhaseEntered),
    /// About overload.
    Shed(Shed),
    /// About cells.
    Move(MoveStep),
}

/// A line about recovery, overload or cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time of day in milliseconds.
    pub at_ms: i64,
    /// What it is about.
    pub event: Event,
}

/// Fields of a line by name.
struct Fields<'a>(HashMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn of(text: &'a str) -> Fields<'a> {
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

/// Reads the fields of one kind of line.
type ReadFields = fn(&Fields) -> Result<Event, LineError>;

/// The kinds of lines that are read, by their targets.
const LINE_KINDS: [(&str, ReadFields); 3] =
    [(RECOVERY_TARGET, read_phase), (OVERLOAD_TARGET, read_shed), (CELLS_TARGET, read_move)];

/// Reads a line; none if it is about something else.
pub fn parse(line: &str) -> Result<Option<LogLine>, LineError> {
    let found = LINE_KINDS
        .into_iter()
        .find_map(|(target, read)| line.split_once(target).map(|(head, fields)| (head, fields, read)));
    let Some((head, fields, read)) = found else { return Ok(None) };
    let time = head.split_ascii_whitespace().find_map(|word| OffsetDateTime::parse(word, &Rfc3339).ok());
    let at = time.ok_or(LineError::NoTime)?;
    let fields = Fields::of(fields);
    let format = fields.number("format")?;
    if !(1..=FORMAT).contains(&format) {
        return Err(LineError::OtherFormat(format));
    }
    let at_ms = (at.unix_timestamp_nanos() / 1_000_000) as i64;
    Ok(Some(LogLine { at_ms, event: read(&fields)? }))
}

fn read_phase(fields: &Fields) -> Result<Event, LineError> {
    let count = |name| fields.number(name).map(|count| count as u32);
    // Format 1 names a shard a block, and its fencing token a grant.
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

fn read_move(fields: &Fields) -> Result<Event, LineError> {
    Ok(Event::Move(MoveStep {
        job: fields.text("job")?.to_string(),
        cell: fields.text("cell")?.to_string(),
        epoch: fields.number("epoch")?,
        event: MoveEvent::from_name(fields.text("event")?).ok_or(LineError::BadField("event"))?,
    }))
}

fn read_shed(fields: &Fields) -> Result<Event, LineError> {
    // Format 1 names worker heartbeats reports.
    let heartbeats = if fields.number("format")? == 1 { "reports" } else { "heartbeats" };
    let names = ["probes", heartbeats, "cancellations", "submissions", "questions"];
    let mut rejected = [0; RequestClass::ALL.len()];
    for (count, name) in rejected.iter_mut().zip(names) {
        *count = fields.number(name)?;
    }
    Ok(Event::Shed(Shed {
        lag_ms: fields.number("lag_ms")?,
        rate: fields.number("rate")?,
        admitted: fields.number("admitted")?,
        expired: fields.number("expired")?,
        rejected,
    }))
}
