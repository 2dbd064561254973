//! Parses the logs of a cluster's nodes and renders one HTML page about shard recoveries, load
//! shed under overload, and jobs that moved between cells.
//!
//! [`log_line`] parses one line, [`history`] combines the lines of all logs, [`moves`] collects
//! the moves of jobs between cells, and [`page`] renders the page. The library does no file I/O.

pub mod history;
pub mod log_line;
pub mod moves;
pub mod page;
