//! Plots, drawn as SVG into the page, so that it needs no other file.

use super::PlotError;
use crate::history::{History, Recovery};
use crate::moves::{Move, Outcome};
use maud::{Markup, PreEscaped};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use woadlever_overload::class::RequestClass;

const WIDTH: u32 = 960;
const HEIGHT: u32 = 280;
/// Height of a timeline beside its rows.
const TIMELINE_MARGIN: u32 = 90;
const RECOVERY_ROW_HEIGHT: u32 = 22;
const MOVE_ROW_HEIGHT: u32 = 14;
/// Rows drawn on a timeline; the tables list all.
const MAX_ROWS: usize = 80;
/// The shortest time that an axis shows, in seconds.
const MIN_SPAN_S: f64 = 0.1;
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
type Drawn = Result<(), Box<dyn Error>>;

/// When the records of each shard were read, and its attempts reconciled.
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
    let height = timeline_height(shown.len(), RECOVERY_ROW_HEIGHT);
    svg(height, |area| draw_timeline(area, history.end_ms, &names, &series))
}

/// How long each move of a job lasted, by how it ended.
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
    let height = timeline_height(shown.len(), MOVE_ROW_HEIGHT);
    svg(height, |area| draw_timeline(area, history.end_ms, &names, &series))
}

/// Attempts of all recoveries by verdict.
pub(super) fn verdicts(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT, |area| draw_verdicts(history, area))
}

/// Rejected connections by class and time.
pub(super) fn shed_by_class(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT, |area| draw_shed_by_class(history, area))
}

/// Lag of the event loops by time.
pub(super) fn event_loop_lag(history: &History) -> Result<Markup, PlotError> {
    svg(HEIGHT, |area| draw_event_loop_lag(history, area))
}

fn timeline_height(rows: usize, row_height: u32) -> u32 {
    HEIGHT.max(row_height * rows as u32 + TIMELINE_MARGIN)
}

fn svg(height: u32, draw: impl FnOnce(&Area) -> Drawn) -> Result<Markup, PlotError> {
    let mut text = String::new();
    draw_into(&mut text, height, draw)?;
    Ok(PreEscaped(text))
}

fn draw_into(text: &mut String, height: u32, draw: impl FnOnce(&Area) -> Drawn) -> Drawn {
    let area = SVGBackend::with_string(text, (WIDTH, height)).into_drawing_area();
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

/// Bars of one kind.
struct Series<'a> {
    label: &'a str,
    color: RGBColor,
    bars: Vec<Bar>,
}

fn to_seconds(ms: i64) -> f64 {
    ms as f64 / 1_000.0
}

/// The highest value of an axis whose greatest mark is `max`.
fn axis_end(max: u64) -> u64 {
    max + max / 10 + 1
}

/// Draws a timeline with a named row for each thing.
fn draw_timeline(area: &Area, end_ms: i64, names: &[&str], series: &[Series]) -> Drawn {
    let name = |row: &i32| names.get(*row as usize).map_or(String::new(), |name| (*name).to_string());
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..to_seconds(end_ms).max(MIN_SPAN_S), 0..names.len() as i32)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(names.len())
        .y_label_formatter(&name)
        .x_desc("seconds")
        .draw()?;
    for kind in series {
        let color = kind.color;
        let bars = kind.bars.iter().map(|bar| {
            let start = (to_seconds(bar.from_ms), bar.row as i32);
            let end = (to_seconds(bar.to_ms), bar.row as i32 + 1);
            Rectangle::new([start, end], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(kind.label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_verdicts(history: &History, area: &Area) -> Drawn {
    let totals = history.totals();
    let bars = [
        ("confirmed", totals.confirmed),
        ("absent", totals.absent),
        ("lease ended", totals.lease_ended),
        ("on no record", totals.unrecorded),
    ];
    let most = bars.iter().map(|(_, count)| *count).max().unwrap_or(0).max(1);
    // Each bar is one wide, and its name belongs under its middle.
    let name = |at: &f64| {
        let is_middle = (at - at.floor() - 0.5).abs() < 0.01;
        let bar = bars.get(at.floor() as usize).filter(|_| is_middle);
        bar.map_or(String::new(), |(name, _)| (*name).to_string())
    };
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..bars.len() as f64, 0..axis_end(u64::from(most)))?;
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

fn draw_shed_by_class(history: &History, area: &Area) -> Drawn {
    let end_s = to_seconds(history.end_ms).max(MIN_SPAN_S);
    let greatest = history.shed.iter().map(|entry| {
        let rejected = entry.shed.rejected.into_iter().max().unwrap_or(0);
        rejected.max(entry.shed.expired)
    });
    let most = greatest.max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..axis_end(most))?;
    chart.configure_mesh().x_desc("seconds").y_desc("rejected a second and node").draw()?;
    for (class, color) in RequestClass::ALL.into_iter().zip(CLASS_COLORS) {
        let points = history
            .shed
            .iter()
            .map(|entry| (to_seconds(entry.at_ms), entry.shed.rejected[class.index()]));
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

fn draw_event_loop_lag(history: &History, area: &Area) -> Drawn {
    let end_s = to_seconds(history.end_ms).max(MIN_SPAN_S);
    let most = history.shed.iter().map(|entry| entry.shed.lag_ms).max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..axis_end(most))?;
    chart.configure_mesh().x_desc("seconds").y_desc("lag of the event loop, ms").draw()?;
    chart.draw_series(history.shed.iter().map(|entry| {
        let point = (to_seconds(entry.at_ms), entry.shed.lag_ms);
        Circle::new(point, 2, LAG_COLOR.filled())
    }))?;
    Ok(())
}
