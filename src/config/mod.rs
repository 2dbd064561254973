//! Settings: the platform's TOML file and the operators' optional INI file.
//!
//! Both are checked completely before anything else starts, so that a mistake results in a
//! one-line error that names the file and the field, rather than in unexpected behaviour later.
//! Settings don't change while the process runs.

mod cells;
mod error;
mod limits;
mod operator;
mod overload;
mod platform;
mod value;

pub use cells::{CellNeighbor, CellSettings};
pub use error::{ConfigError, InvalidSetting, SettingError};
pub use limits::{AnnouncedLimits, CloudLimits, ProcessLimits, StoreLimits};
pub use operator::Operator;
pub use overload::OverloadSettings;
pub use platform::{Cluster, Endpoints, Objective, PeerEntry, Platform, Team, WorkerTimes};
