//! The projection and the fit of tasks under their former path.

pub use super::placement::{allowed, fit_score};
pub use super::projection::{Booking, Projection, project, remaining_s};
