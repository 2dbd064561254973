//! Draws plots as inline SVG, so that the page needs no other file.

use super::PlotError;
use crate::history::{History, Recovery};
use crate::moves::{Move, Outcome};
use maud::{Markup, PreEscaped};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use woadlever_overload::class::RequestClass;

const WIDTH_PX: u32 = 960;
const HEIGHT_PX: u32 = 280;
/// Height of a timeline in addition to its rows.
const TIMELINE_MARGIN_PX: u32 = 90;
const RECOVERY_ROW_HEIGHT_PX: u32 = 22;
const MOVE_ROW_HEIGHT_PX: u32 = 14;
/// Maximum number of rows drawn on a timeline; the tables list all entries.
const MAX_ROWS: usize = 80;
/// Shortest time span of a time axis.
const MIN_TIME_SPAN_S: f64 = 0.1;
const READING_COLOR: RGBColor = RGBColor(120, 130, 150);
const RECONCILING_COLOR: RGBColor = RGBColor(220, 150, 50);
const LAG_COLOR: RGBColor = RGBColor(50, 120, 190);
const OUTCOME_COLORS: [RGBColor; Outcome::ALL.len()] =
    [RGBColor(70, 160, 110), RGBColor(220, 150, 50), RGBColor(200, 60, 60), RGBColor(110, 110, 110)];
const CLASS_COLORS: [RGBColor; RequestClass::ALL.len()] = [
    RGBColor(110, 110, 110),
    RGBColor(200, 60, 60),
    RGBColor(140, 80, 170),
    RGBColor(50, 120, 190),
    RGBColor(70, 160, 110),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn Error>>;

/// Plots for each shard how long its records were read and its attempts reconciled.
pub(super) fn recovery_timeline(history: &History) -> Result<Markup, PlotError> {
    let shown = &history.recoveries[..history.recoveries.len().min(MAX_ROWS)];
    let names: Vec<&str> = shown.iter().map(|recovery| recovery.shard.as_str()).collect();
    let read_ms = |recovery: &Recovery| recovery.read_ms.unwrap_or(history.end_ms);
    let reconciled_ms =
        |recovery: &Recovery| recovery.reconciled_ms.unwrap_or(history.end_ms).max(read_ms(recovery));
    let rows = || shown.iter().enumerate();
    let reading = rows().map(|(row, recovery)| Bar {
        row,
        from_ms: recovery.assigned_ms,
        to_ms: read_ms(recovery),
    });
    let reconciling = rows().map(|(row, recovery)| Bar {
        row,
        from_ms: read_ms(recovery),
        to_ms: reconciled_ms(recovery),
    });
    let series = [
        Series { label: "records are being read", color: READING_COLOR, bars: reading.collect() },
        Series {
            label: "machines are being reconciled",
            color: RECONCILING_COLOR,
            bars: reconciling.collect(),
        },
    ];
    let height = timeline_height(shown.len(), RECOVERY_ROW_HEIGHT_PX);
    svg(height, |area| draw_timeline(area, history.end_ms, &names, &series))
}

/// Plots how long each move lasted, colored by its outcome.
pub(super) fn move_timeline(history: &History) -> Result<Markup, PlotError> {
    let shown = &history.moves[..history.moves.len().min(MAX_ROWS)];
    let names: Vec<&str> = shown.iter().map(|moved| moved.job.as_str()).collect();
    let bar = |row: usize, moved: &Move| Bar {
        row,
        from_ms: moved.began_ms(),
        to_ms: moved.ended_ms().unwrap_or(history.end_ms),
    };
    let bars_of = |outcome: Outcome| -> Vec<Bar> {
        let rows = shown.iter().enumerate().filter(|(_, moved)| moved.outcome() == outcome);
        rows.map(|(row, moved)| bar(row, moved)).collect()
    };
    let series: Vec<Series> = Outcome::ALL
        .into_iter()
        .zip(OUTCOME_COLORS)
        .map(|(outcome, color)| Series { label: outcome.name(), color, bars: bars_of(outcome) })
        .collect();
    let height = timeline_height(shown.len(), MOVE_ROW_HEIGHT_PX);
    svg(height, |area| draw_timeline(area, history.end_ms, &names, &series))
}

/// Plots the number of attempts of all recoveries by verdict.
pub(super) fn verdicts(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT_PX, |area| draw_verdicts(history, area))
}

/// Plots rejected connections by request class over time.
pub(super) fn rejections_by_class(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT_PX, |area| draw_rejections_by_class(history, area))
}

/// Plots the lag of the event loops over time.
pub(super) fn event_loop_lag(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT_PX, |area| draw_event_loop_lag(history, area))
}

fn timeline_height(rows: usize, row_height: u32) -> u32 {
    HEIGHT_PX.max(row_height * rows as u32 + TIMELINE_MARGIN_PX)
}

fn svg(height: u32, draw: impl FnOnce(&Area) -> DrawResult) -> Result<Markup, PlotError> {
    let mut text = String::new();
    draw_into(&mut text, height, draw)?;
    Ok(PreEscaped(text))
}

fn draw_into(text: &mut String, height: u32, draw: impl FnOnce(&Area) -> DrawResult) -> DrawResult {
    let area = SVGBackend::with_string(text, (WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    draw(&area)?;
    area.present()?;
    Ok(())
}

/// A bar of a timeline.
struct Bar {
    row: usize,
    from_ms: i64,
    to_ms: i64,
}

/// Bars with one label and color.
struct Series<'a> {
    label: &'a str,
    color: RGBColor,
    bars: Vec<Bar>,
}

fn to_seconds(ms: i64) -> f64 {
    ms as f64 / 1_000.0
}

/// Upper end of an axis whose greatest value is `max`: adds a tenth as a margin.
fn axis_end(max: u64) -> u64 {
    max + max / 10 + 1
}

/// Draws a timeline with one row for each name.
fn draw_timeline(area: &Area, end_ms: i64, names: &[&str], series: &[Series]) -> DrawResult {
    let name = |row: &i32| names.get(*row as usize).map_or(String::new(), |name| (*name).to_string());
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..to_seconds(end_ms).max(MIN_TIME_SPAN_S), 0..names.len() as i32)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(names.len())
        .y_label_formatter(&name)
        .x_desc("seconds")
        .draw()?;
    for entry in series {
        let color = entry.color;
        let bars = entry.bars.iter().map(|bar| {
            let start = (to_seconds(bar.from_ms), bar.row as i32);
            let end = (to_seconds(bar.to_ms), bar.row as i32 + 1);
            Rectangle::new([start, end], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(entry.label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_verdicts(history: &History, area: &Area) -> DrawResult {
    let totals = history.totals();
    let bars = [
        ("confirmed", totals.confirmed),
        ("absent", totals.absent),
        ("lease ended", totals.lease_ended),
        ("unrecorded", totals.unrecorded),
    ];
    let max = bars.iter().map(|(_, count)| *count).max().unwrap_or(0).max(1);
    // Each bar is 1 wide; its label is drawn only below its center.
    let name = |at: &f64| {
        let is_center = (at - at.floor() - 0.5).abs() < 0.01;
        let bar = bars.get(at.floor() as usize).filter(|_| is_center);
        bar.map_or(String::new(), |(name, _)| (*name).to_string())
    };
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..bars.len() as f64, 0..axis_end(u64::from(max)))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&name)
        .y_desc("attempts")
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, (_, count))| {
        let left = index as f64;
        let corners = [(left + 0.2, 0), (left + 0.8, u64::from(*count))];
        Rectangle::new(corners, RECONCILING_COLOR.filled())
    }))?;
    Ok(())
}

fn draw_rejections_by_class(history: &History, area: &Area) -> DrawResult {
    let end_s = to_seconds(history.end_ms).max(MIN_TIME_SPAN_S);
    let maxima = history.load_shedding.iter().map(|entry| {
        let rejected = entry.load_shedding.rejected.into_iter().max().unwrap_or(0);
        rejected.max(entry.load_shedding.expired)
    });
    let max = maxima.max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..axis_end(max))?;
    chart.configure_mesh().x_desc("seconds").y_desc("rejected per second and node").draw()?;
    for (class, color) in RequestClass::ALL.into_iter().zip(CLASS_COLORS) {
        let points = history
            .load_shedding
            .iter()
            .map(|entry| (to_seconds(entry.at_ms), entry.load_shedding.rejected[class.index()]));
        let marks = points
            .filter(|(_, rejected)| *rejected > 0)
            .map(|point| Circle::new(point, 2, color.filled()));
        chart
            .draw_series(marks)?
            .label(class.name())
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_event_loop_lag(history: &History, area: &Area) -> DrawResult {
    let end_s = to_seconds(history.end_ms).max(MIN_TIME_SPAN_S);
    let max =
        history.load_shedding.iter().map(|entry| entry.load_shedding.lag_ms).max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..axis_end(max))?;
    chart.configure_mesh().x_desc("seconds").y_desc("lag of the event loop, ms").draw()?;
    chart.draw_series(history.load_shedding.iter().map(|entry| {
        let point = (to_seconds(entry.at_ms), entry.load_shedding.lag_ms);
        Circle::new(point, 2, LAG_COLOR.filled())
    }))?;
    Ok(())
}
