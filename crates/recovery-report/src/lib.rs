//! Reads the logs of a cluster's nodes and draws one HTML page: how recoveries went, what was
//! shed under overload, and which jobs moved between cells.
//!
//! [`log_line`] reads one line, [`history`] gathers what all lines say ([`moves`]: of jobs
//! that moved between cells), [`page`] draws it. Nothing here reads or writes a file.

pub mod history;
pub mod log_line;
pub mod moves;
pub mod page;
