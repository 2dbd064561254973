//! Submissions of users: read field by field, so that an error names the
//! field, and the answers to them.

use crate::model::{JobSpec, Priority};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::HashSet;

/// No request body may be longer.
pub const MAX_BODY: usize = 64 << 10;
/// Tasks that one job may have.
pub const MAX_TASKS: u64 = 100_000;
/// Jobs that one job may name in `awaits`, each counted once. Pipelines name a
/// handful; with ids of usual length so many take half of a small record.
pub const MAX_AWAITS: usize = 100;
/// Every job id begins so; digits follow.
pub const ID_PREFIX: &str = "run-";
/// Amounts above this make no sense for any machine and only invite overflow.
const MAX_AMOUNT: f64 = 1e9;

/// What is wrong with a submission.
#[derive(Debug, Clone, PartialEq)]
pub struct Invalid {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: String,
}

/// Body of an answer that refuses a request.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorBody {
    /// Why it is refused.
    pub error: String,
    /// The field that is wrong, if one is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'static str>,
}

/// Body of an answer about a job.
#[derive(Debug, Clone, Serialize)]
pub struct StatusBody<'a> {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: &'a str,
    /// Its state.
    #[serde(rename = "status")]
    pub state: &'a str,
    /// Tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Job ids are always `run-` and digits; anything else is nobody's job.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX)
        .is_some_and(|d| !d.is_empty() && d.len() <= 20 && d.bytes().all(|b| b.is_ascii_digit()))
}

struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn get(&self, field: &'static str) -> Option<&'a Value> {
        self.0.get(field).filter(|v| !v.is_null())
    }

    fn text(&self, field: &'static str) -> Result<&'a str, Invalid> {
        let v = self.get(field).ok_or(Invalid { field, why: "is missing".into() })?;
        match v.as_str() {
            Some(s) if !s.is_empty() && s.len() <= 200 => Ok(s),
            _ => Err(Invalid { field, why: "must be a text of 1 to 200 bytes".into() }),
        }
    }

    fn opt_text(&self, field: &'static str) -> Result<Option<String>, Invalid> {
        match self.get(field) {
            None => Ok(None),
            Some(_) => self.text(field).map(|s| Some(s.to_string())),
        }
    }

    fn number(&self, field: &'static str, lo: f64) -> Result<f64, Invalid> {
        let v = self.get(field).ok_or(Invalid { field, why: "is missing".into() })?;
        match v.as_f64() {
            Some(n) if n.is_finite() && n >= lo && n <= MAX_AMOUNT => Ok(n),
            _ => Err(Invalid { field, why: format!("must be a number of at least {lo}") }),
        }
    }

    fn flag(&self, field: &'static str) -> Result<bool, Invalid> {
        match self.get(field) {
            None => Err(Invalid { field, why: "is missing".into() }),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => Err(Invalid { field, why: "must be true or false".into() }),
        }
    }
}

/// A submission as read.
#[derive(Debug)]
pub struct Submission {
    /// Id of the job.
    pub id: String,
    /// Description of the job.
    pub spec: JobSpec,
    /// Each job once, in the order named. What is wrong with the list counts
    /// only once the job is known to be new: a repeated submission of an
    /// accepted job gets its state, whatever else it says.
    pub awaits: Result<Vec<String>, Invalid>,
}

/// The jobs named, each once.
fn awaited(list: Option<&Value>) -> Result<Vec<String>, Invalid> {
    let bad = |why: String| Invalid { field: "awaits", why };
    let list = match list {
        None => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(bad("must be a list of job ids".into())),
    };
    let mut out: Vec<String> = Vec::new();
    let mut seen: HashSet<&str> = HashSet::new();
    for v in list {
        let Some(id) = v.as_str().filter(|id| valid_id(id)) else {
            return Err(bad("must list job ids, run- and digits".into()));
        };
        if seen.insert(id) {
            out.push(id.to_string());
        }
    }
    if out.len() > MAX_AWAITS {
        return Err(bad(format!("must name no more than {MAX_AWAITS} jobs")));
    }
    Ok(out)
}

/// The id of a submission that is wrong otherwise.
pub fn id_of(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let id = value.get("name_id")?.as_str()?;
    valid_id(id).then(|| id.to_string())
}

/// Reads a submission. Only what may be null may be left out.
pub fn parse_job(body: &[u8]) -> Result<Submission, Invalid> {
    if body.len() > MAX_BODY {
        return Err(Invalid { field: "body", why: "is longer than 64 KiB".into() });
    }
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| Invalid { field: "body", why: format!("is not JSON: {e}") })?;
    let Value::Object(map) = value else {
        return Err(Invalid { field: "body", why: "is not an object".into() });
    };
    let f = Fields(&map);
    let id = f.text("name_id")?;
    if !valid_id(id) {
        return Err(Invalid { field: "name_id", why: "must be run- and digits".into() });
    }
    if f.text("shape")? != "batch" {
        return Err(Invalid { field: "shape", why: "must be batch".into() });
    }
    let priority = match f.text("urgency")? {
        "prod" => Priority::Production,
        "urgent" => Priority::High,
        "normal" => Priority::Normal,
        "idle" => Priority::Low,
        _ => {
            return Err(Invalid {
                field: "urgency",
                why: "must be prod, urgent, normal or idle".into(),
            });
        }
    };
    let pieces = f.get("pieces").ok_or(Invalid { field: "pieces", why: "is missing".into() })?;
    let tasks = match pieces.as_u64() {
        Some(n) if (1..=MAX_TASKS).contains(&n) => n as u32,
        _ => {
            return Err(Invalid {
                field: "pieces",
                why: format!("must be a whole number from 1 to {MAX_TASKS}"),
            });
        }
    };
    let cpus = f.number("cores", 0.0)?;
    let gpus = f.number("cards", 0.0)?;
    let memory_gb = f.number("memory_gb", 0.0)?;
    if cpus <= 0.0 && gpus <= 0.0 {
        return Err(Invalid { field: "cores", why: "must be above 0".into() });
    }
    let types = match f.get("hulltypes") {
        None => None,
        Some(Value::Array(list)) if list.len() <= 64 => {
            let names: Option<Vec<String>> =
                list.iter().map(|v| v.as_str().map(str::to_string)).collect();
            Some(names.ok_or(Invalid { field: "hulltypes", why: "must list names".into() })?)
        }
        Some(_) => return Err(Invalid { field: "hulltypes", why: "must be a list".into() }),
    };
    let due_s = match f.get("due_s") {
        None => None,
        Some(_) => Some(f.number("due_s", 0.0)?),
    };
    let spec = JobSpec {
        class: f.text("jobclass")?.to_string(),
        team: f.text("crew")?.to_string(),
        priority,
        tasks,
        cpus,
        gpus,
        memory_gb,
        types,
        zone: f.opt_text("yard")?,
        one_zone: f.flag("one_zone")?,
        spread: f.flag("scatter")?,
        spot: f.flag("standby")?,
        image: f.text("bundle")?.to_string(),
        image_gb: f.number("pull_gb", 0.0)?,
        estimate_s: f.number("guess_s", 0.0)?,
        checkpoint_s: f.number("bookmark_s", 0.0)?,
        save_s: f.number("stow_s", 0.0)?,
        deadline_s: due_s,
        accepted_at_ms: 0,
    };
    Ok(Submission { id: id.to_string(), spec, awaits: awaited(f.get("awaits")) })
}
