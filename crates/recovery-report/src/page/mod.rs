//! Renders a history as an HTML page of summaries, tables and plots.

mod plots;

use crate::history::{History, Recovery};
use crate::moves::{Move, Outcome};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use std::error::Error;
use thiserror::Error;
use woadlever_cells::event::MoveEvent;

/// Error from drawing a plot.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct PlotError(#[from] Box<dyn Error>);

const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
    td:first-child,th:first-child{text-align:left}svg{max-width:100%}.open{color:#b00}";

/// Renders the page: a complete HTML document that needs no other file.
pub fn render(history: &History) -> Result<String, PlotError> {
    let timeline = plots::recovery_timeline(history)?;
    let verdicts = plots::verdicts(history)?;
    let load_shedding = load_shedding_section(history)?;
    let moves = moves_section(history)?;
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Recovery report" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Recovery report" }
                (recovery_summary(history))
                h2 { "Phases of shards" }
                (timeline)
                h2 { "Attempts by verdict" }
                (verdicts)
                h2 { "Load shedding" }
                (load_shedding)
                h2 { "All recoveries" }
                (recovery_table(history))
                h2 { "Jobs that moved between cells" }
                (moves)
            }
        }
    };
    Ok(page.into_string())
}

fn load_shedding_section(history: &History) -> Result<Markup, PlotError> {
    if history.load_shedding.is_empty() {
        return Ok(html! { p { "No load was shed." } });
    }
    let by_class = plots::rejections_by_class(history)?;
    let lag = plots::event_loop_lag(history)?;
    Ok(html! { (by_class) (lag) })
}

fn moves_section(history: &History) -> Result<Markup, PlotError> {
    if history.moves.is_empty() {
        return Ok(html! { p { "None." } });
    }
    let timeline = plots::move_timeline(history)?;
    Ok(html! { (move_summary(history)) (timeline) (move_table(history)) })
}

/// States the number of recoveries, the duration of the slowest, and how many did not finish.
fn recovery_summary(history: &History) -> Markup {
    let unfinished =
        history.recoveries.iter().filter(|recovery| recovery.reconciled_ms.is_none()).count();
    let slowest = history.recoveries.iter().filter_map(duration_ms).max();
    html! {
        p {
            (history.recoveries.len()) " recoveries of shards in " (format_seconds(history.end_ms)) ", "
            @if let Some(slowest) = slowest {
                "the slowest reconciled after " (format_seconds(slowest)) ", "
            }
            span class=[(unfinished > 0).then_some("open")] { (unfinished) " never reconciled" }
            "."
        }
    }
}

fn recovery_table(history: &History) -> Markup {
    html! {
        table {
            tr {
                th { "shard" } th { "log" } th { "fencing token" } th { "assigned at" }
                th { "records read" } th { "reconciled after" } th { "recorded" } th { "confirmed" }
                th { "absent" } th { "lease ended" } th { "unrecorded" }
            }
            @for recovery in &history.recoveries {
                @let read_ms = recovery.read_ms.map(|at| at - recovery.assigned_ms);
                tr {
                    td { (recovery.shard) } td { (recovery.log) } td { (recovery.fencing_token) }
                    td { (format_seconds(recovery.assigned_ms)) }
                    td { (format_seconds_or_never(read_ms)) }
                    td { (format_seconds_or_never(duration_ms(recovery))) }
                    td { (recovery.recorded) } td { (recovery.counts.confirmed) }
                    td { (recovery.counts.absent) } td { (recovery.counts.lease_ended) }
                    td { (recovery.counts.unrecorded) }
                }
            }
        }
    }
}

/// States the number of moves by outcome, and the duration of the longest.
fn move_summary(history: &History) -> Markup {
    let count = |outcome| history.moves.iter().filter(|moved| moved.outcome() == outcome).count();
    let duration_ms = |moved: &Move| moved.ended_ms().map(|end| end - moved.began_ms());
    html! {
        p {
            (history.moves.len()) " moves"
            @for outcome in Outcome::ALL {
                ", " (count(outcome)) " " (outcome.name())
            }
            @if let Some(longest) = history.moves.iter().filter_map(duration_ms).max() {
                ", the longest took " (format_seconds(longest))
            }
            "."
        }
    }
}

fn move_table(history: &History) -> Markup {
    html! {
        table {
            tr {
                th { "job" } th { "cell" } th { "forwarded at" } th { "accepted after" }
                th { "recalled" } th { "outcome" } th { "ended after" }
            }
            @for moved in &history.moves {
                @let began = moved.began_ms();
                @let accepted = moved.steps.get(&MoveEvent::Accepted);
                tr {
                    td { (moved.job) } td { (moved.cell) } td { (format_seconds(began)) }
                    td { (format_seconds_or_never(accepted.map(|at| at - began))) }
                    td { (moved.recall_reason().map_or("", MoveEvent::name)) }
                    td class=[(moved.outcome() == Outcome::Unfinished).then_some("open")] {
                        (moved.outcome().name())
                    }
                    td { (format_seconds_or_never(moved.ended_ms().map(|end| end - began))) }
                }
            }
        }
    }
}

/// Time from the assignment of the shard until its last attempt was reconciled.
fn duration_ms(recovery: &Recovery) -> Option<i64> {
    recovery.reconciled_ms.map(|at| at - recovery.assigned_ms)
}

fn format_seconds(ms: i64) -> String {
    format!("{:.1} s", ms as f64 / 1_000.0)
}

fn format_seconds_or_never(ms: Option<i64>) -> String {
    ms.map_or("never".into(), format_seconds)
}
