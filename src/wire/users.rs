//! The user protocol: submissions, which are parsed field by field so that an error can name the
//! field, and the bodies of responses.

use crate::model::{JobSpec, Priority, Resources};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::HashSet;
use thiserror::Error;

/// Maximum length of a request body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum number of distinct jobs that a job may name in `awaits`. Pipelines name a handful. With
/// ids of ordinary length, this many take up half of a small record.
const MAX_AWAITED_JOBS: usize = 100;
/// Prefix of every job id. The rest of the id is digits.
pub(crate) const ID_PREFIX: &str = "run-";
const MAX_ID_DIGITS: usize = 20;
/// Maximum of any amount. No machine can provide more, and larger numbers risk overflow.
const MAX_AMOUNT: f64 = 1e9;
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;

// Names of fields that are used more than once in this module.
const JOB_ID: &str = "name_id";
const CPUS: &str = "cores";
const AWAITS: &str = "awaits";
/// Field name in errors that concern the body as a whole.
const BODY: &str = "body";

/// An invalid field of a submission.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{field} {why}")]
pub struct InvalidField {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: FieldError,
}

/// What is wrong with a field. The texts are part of responses to users.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FieldError {
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("is longer than 64 KiB")]
    TooLong,
    /// The body is not JSON.
    #[error("is not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but not an object.
    #[error("is not an object")]
    NotAnObject,
    /// A required field is missing or null.
    #[error("is missing")]
    Missing,
    /// Not a string, or a string of a length that is not allowed.
    #[error("must be a text of 1 to {MAX} bytes", MAX = MAX_TEXT_BYTES)]
    NotText,
    /// Not a number, or a number out of range.
    #[error("must be a number of at least 0")]
    NotAmount,
    /// Not a boolean.
    #[error("must be true or false")]
    NotBoolean,
    /// Neither CPUs nor GPUs are requested.
    #[error("must be above 0")]
    NotPositive,
    /// Not a job id.
    #[error("must be run- and digits")]
    NotJobId,
    /// A shape other than `batch`.
    #[error("must be batch")]
    NotBatch,
    /// An unknown priority.
    #[error("must be prod, urgent, normal or idle")]
    NotPriority,
    /// Not an allowed number of tasks.
    #[error("must be a whole number from 1 to {MAX}", MAX = MAX_TASKS)]
    NotTaskCount,
    /// Not a list, or a list that is too long.
    #[error("must be a list")]
    NotList,
    /// A list that contains something other than names.
    #[error("must list names")]
    NotNames,
    /// Not a list where a list of job ids is expected.
    #[error("must be a list of job ids")]
    NotJobIdList,
    /// A list that contains something other than job ids.
    #[error("must list job ids, run- and digits")]
    NotJobIds,
    /// A list of more distinct job ids than a job may name.
    #[error("must name no more than {MAX} jobs", MAX = MAX_AWAITED_JOBS)]
    TooManyJobs,
}

impl FieldError {
    /// Returns this error for the given field.
    fn of(self, field: &'static str) -> InvalidField {
        InvalidField { field, why: self }
    }
}

/// Body of a response that rejects a request.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorBody {
    /// Reason for the rejection.
    pub error: String,
    /// The invalid field, if the error concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'static str>,
}

/// Body of a response about a job.
#[derive(Debug, Clone, Serialize)]
pub struct StatusBody<'a> {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: &'a str,
    /// Its state.
    #[serde(rename = "status")]
    pub state: &'a str,
    /// Number of tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// A parsed submission.
#[derive(Debug)]
pub struct Submission {
    /// Id of the job.
    pub id: String,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Ids of the jobs that it depends on, without duplicates, in the order of the submission. An
    /// error in them only matters once the job is known to be new: a repeated submission of an
    /// accepted job is answered with the job's state, whatever its other fields contain.
    pub awaits: Result<Vec<String>, InvalidField>,
}

/// Whether the text is a job id: the prefix followed by 1 to 20 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX).is_some_and(|digits| {
        !digits.is_empty()
            && digits.len() <= MAX_ID_DIGITS
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Returns the job id of a submission whose other fields may be invalid.
pub fn id_of(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let id = value.get(JOB_ID)?.as_str()?;
    valid_id(id).then(|| id.to_string())
}

/// Parses a submission. A field may be omitted only if it may be null. The error names the first
/// invalid field in the order in which this function reads them.
pub fn parse_submission(body: &[u8]) -> Result<Submission, InvalidField> {
    let object = parse_object(body)?;
    let fields = Fields(&object);
    let id = job_id(&fields)?;
    check_shape(&fields)?;
    let priority = priority(&fields)?;
    let tasks = task_count(&fields)?;
    let demand = demand(&fields)?;
    let types = machine_types(&fields)?;
    let deadline_s = fields.optional_amount("due_s")?;
    let spec = JobSpec {
        class: fields.text("jobclass")?.to_string(),
        team: fields.text("crew")?.to_string(),
        priority,
        tasks,
        cpus: demand.cpus,
        gpus: demand.gpus,
        memory_gb: demand.memory_gb,
        types,
        zone: fields.optional_text("yard")?,
        one_zone: fields.boolean("one_zone")?,
        spread: fields.boolean("scatter")?,
        spot: fields.boolean("standby")?,
        image: fields.text("bundle")?.to_string(),
        image_gb: fields.amount("pull_gb")?,
        estimate_s: fields.amount("guess_s")?,
        checkpoint_s: fields.amount("bookmark_s")?,
        save_s: fields.amount("stow_s")?,
        deadline_s,
        accepted_at_ms: 0,
    };
    Ok(Submission { id, spec, awaits: awaited_jobs(&fields) })
}

/// The fields of a submission by name. A null field is treated as absent.
struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn get(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn require(&self, field: &'static str) -> Result<&'a Value, InvalidField> {
        self.get(field).ok_or(FieldError::Missing.of(field))
    }

    fn text(&self, field: &'static str) -> Result<&'a str, InvalidField> {
        let text = self.require(field)?.as_str();
        let is_allowed = |text: &&str| (1..=MAX_TEXT_BYTES).contains(&text.len());
        text.filter(is_allowed).ok_or(FieldError::NotText.of(field))
    }

    fn optional_text(&self, field: &'static str) -> Result<Option<String>, InvalidField> {
        self.get(field).map(|_| self.text(field).map(str::to_string)).transpose()
    }

    fn amount(&self, field: &'static str) -> Result<f64, InvalidField> {
        let number = self.require(field)?.as_f64();
        let is_allowed = |number: &f64| (0.0..=MAX_AMOUNT).contains(number);
        number.filter(is_allowed).ok_or(FieldError::NotAmount.of(field))
    }

    fn optional_amount(&self, field: &'static str) -> Result<Option<f64>, InvalidField> {
        self.get(field).map(|_| self.amount(field)).transpose()
    }

    fn boolean(&self, field: &'static str) -> Result<bool, InvalidField> {
        self.require(field)?.as_bool().ok_or(FieldError::NotBoolean.of(field))
    }
}

fn parse_object(body: &[u8]) -> Result<Map<String, Value>, InvalidField> {
    if body.len() > MAX_BODY_BYTES {
        return Err(FieldError::TooLong.of(BODY));
    }
    match serde_json::from_slice(body) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(FieldError::NotAnObject.of(BODY)),
        Err(error) => Err(FieldError::NotJson(error.to_string()).of(BODY)),
    }
}

fn job_id(fields: &Fields) -> Result<String, InvalidField> {
    let id = fields.text(JOB_ID)?;
    if !valid_id(id) {
        return Err(FieldError::NotJobId.of(JOB_ID));
    }
    Ok(id.to_string())
}

fn check_shape(fields: &Fields) -> Result<(), InvalidField> {
    let field = "shape";
    match fields.text(field)? {
        "batch" => Ok(()),
        _ => Err(FieldError::NotBatch.of(field)),
    }
}

fn priority(fields: &Fields) -> Result<Priority, InvalidField> {
    let field = "urgency";
    match fields.text(field)? {
        "prod" => Ok(Priority::Production),
        "urgent" => Ok(Priority::High),
        "normal" => Ok(Priority::Normal),
        "idle" => Ok(Priority::Low),
        _ => Err(FieldError::NotPriority.of(field)),
    }
}

fn task_count(fields: &Fields) -> Result<u32, InvalidField> {
    let field = "pieces";
    match fields.require(field)?.as_u64() {
        Some(count) if (1..=MAX_TASKS).contains(&count) => Ok(count as u32),
        _ => Err(FieldError::NotTaskCount.of(field)),
    }
}

/// Reads the resource demand of one task.
fn demand(fields: &Fields) -> Result<Resources, InvalidField> {
    let demand = Resources {
        cpus: fields.amount(CPUS)?,
        gpus: fields.amount("cards")?,
        memory_gb: fields.amount("memory_gb")?,
    };
    if demand.cpus <= 0.0 && demand.gpus <= 0.0 {
        return Err(FieldError::NotPositive.of(CPUS));
    }
    Ok(demand)
}

/// Reads the machine types that the job may run on; `None` means all types.
fn machine_types(fields: &Fields) -> Result<Option<Vec<String>>, InvalidField> {
    let field = "hulltypes";
    let list = match fields.get(field) {
        None => return Ok(None),
        Some(Value::Array(list)) if list.len() <= MAX_MACHINE_TYPES => list,
        Some(_) => return Err(FieldError::NotList.of(field)),
    };
    let names: Option<Vec<String>> = list.iter().map(|name| name.as_str().map(str::to_string)).collect();
    names.map(Some).ok_or(FieldError::NotNames.of(field))
}

/// Reads the ids of the jobs that the job depends on, without duplicates.
fn awaited_jobs(fields: &Fields) -> Result<Vec<String>, InvalidField> {
    let list = match fields.get(AWAITS) {
        None => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(FieldError::NotJobIdList.of(AWAITS)),
    };
    let mut ids: Vec<String> = Vec::new();
    let mut seen: HashSet<&str> = HashSet::new();
    for value in list {
        let Some(id) = value.as_str().filter(|id| valid_id(id)) else {
            return Err(FieldError::NotJobIds.of(AWAITS));
        };
        if seen.insert(id) {
            ids.push(id.to_string());
        }
    }
    if ids.len() > MAX_AWAITED_JOBS {
        return Err(FieldError::TooManyJobs.of(AWAITS));
    }
    Ok(ids)
}
