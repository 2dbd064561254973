//! The page.

use crate::history::{History, Recovery};
use crate::moves::{Move, Outcome};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;
use woadlever_cells::event::MoveEvent;
use woadlever_overload::class::RequestClass;

const WIDTH: u32 = 960;
const ROW_HEIGHT: u32 = 22;
const MOVE_HEIGHT: u32 = 14;
const OUTCOME_COLORS: [RGBColor; Outcome::ALL.len()] =
    [RGBColor(70, 160, 110), RGBColor(220, 150, 50), RGBColor(200, 60, 60), RGBColor(110, 110, 110)];
const PLOT_HEIGHT: u32 = 280;
/// Recoveries drawn on the timeline; the table lists all.
const MOST_ROWS: usize = 80;
const READING: RGBColor = RGBColor(120, 130, 150);
const SQUARING: RGBColor = RGBColor(220, 150, 50);
const CLASS_COLORS: [RGBColor; RequestClass::ALL.len()] = [
    RGBColor(110, 110, 110),
    RGBColor(200, 60, 60),
    RGBColor(140, 80, 170),
    RGBColor(50, 120, 190),
    RGBColor(70, 160, 110),
];

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Draws the page, or tells why a plot can't be drawn.
pub fn render(history: &History) -> Result<String, String> {
    let timeline = svg(PLOT_HEIGHT.max(ROW_HEIGHT * rows(history) as u32 + 90), |area| {
        draw_timeline(history, area)
    })?;
    let verdicts = svg(PLOT_HEIGHT, |area| draw_verdicts(history, area))?;
    let shed = if history.shed.is_empty() {
        html! { p { "Nothing was shed." } }
    } else {
        let by_class = svg(PLOT_HEIGHT, |area| draw_shed(history, area))?;
        let lag = svg(PLOT_HEIGHT, |area| draw_lag(history, area))?;
        html! { (by_class) (lag) }
    };
    let moves = if history.moves.is_empty() {
        html! { p { "None." } }
    } else {
        let height = PLOT_HEIGHT.max(MOVE_HEIGHT * shown_moves(history).len() as u32 + 90);
        let timeline = svg(height, |area| draw_moves(history, area))?;
        html! { (move_summary(history)) (timeline) (move_table(history)) }
    };
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
                (summary(history))
                h2 { "Phases of blocks" }
                (timeline)
                h2 { "Attempts by verdict" }
                (verdicts)
                h2 { "Turned away and expired" }
                (shed)
                h2 { "All recoveries" }
                (table(history))
                h2 { "Jobs that moved between cells" }
                (moves)
            }
        }
    };
    Ok(page.into_string())
}

const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
    td:first-child,th:first-child{text-align:left}svg{max-width:100%}.open{color:#b00}";

fn rows(history: &History) -> usize {
    history.recoveries.len().min(MOST_ROWS)
}

fn summary(history: &History) -> Markup {
    let open = history.recoveries.iter().filter(|recovery| recovery.squared_ms.is_none()).count();
    let slowest = history.recoveries.iter().filter_map(took_ms).max();
    html! {
        p {
            (history.recoveries.len()) " recoveries of blocks in " (seconds(history.end_ms)) ", "
            @if let Some(slowest) = slowest { "the slowest squared after " (seconds(slowest)) ", " }
            span class=[(open > 0).then_some("open")] { (open) " never squared" }
            "."
        }
    }
}

fn shown_moves(history: &History) -> &[Move] {
    &history.moves[..history.moves.len().min(MOST_ROWS)]
}

/// How many moves ended how, and how long those took that were done elsewhere.
fn move_summary(history: &History) -> Markup {
    let count = |outcome| history.moves.iter().filter(|m| m.outcome().0 == outcome).count();
    let took = |m: &Move| m.outcome().1.map(|end| end - m.began_ms());
    html! {
        p {
            (history.moves.len()) " moves"
            @for outcome in Outcome::ALL {
                ", " (count(outcome)) " " (outcome.name())
            }
            @if let Some(longest) = history.moves.iter().filter_map(took).max() {
                ", the longest over after " (seconds(longest))
            }
            "."
        }
    }
}

fn move_table(history: &History) -> Markup {
    let at =
        |m: &Move, event| m.steps.get(&event).map_or("never".into(), |at| seconds(at - m.began_ms()));
    html! {
        table {
            tr {
                th { "job" } th { "cell" } th { "forwarded at" } th { "accepted after" }
                th { "recalled" } th { "ended" } th { "over after" }
            }
            @for m in &history.moves {
                @let (outcome, end) = m.outcome();
                tr {
                    td { (m.job) } td { (m.cell) } td { (seconds(m.began_ms())) }
                    td { (at(m, MoveEvent::Accepted)) }
                    td { (m.recall().map_or("", MoveEvent::name)) }
                    td class=[(outcome == Outcome::Open).then_some("open")] { (outcome.name()) }
                    td { (end.map_or("never".into(), |end| seconds(end - m.began_ms()))) }
                }
            }
        }
    }
}

fn draw_moves(history: &History, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
    let shown = shown_moves(history);
    let names: Vec<&str> = shown.iter().map(|m| m.job.as_str()).collect();
    let bars_of = |outcome: Outcome| -> Vec<Bar> {
        let rows = shown.iter().enumerate().filter(|(_, m)| m.outcome().0 == outcome);
        rows.map(|(row, m)| (row, m.began_ms(), m.outcome().1.unwrap_or(history.end_ms))).collect()
    };
    let series: Vec<Series> = Outcome::ALL
        .into_iter()
        .zip(OUTCOME_COLORS)
        .map(|(outcome, color)| Series { label: outcome.name(), color, bars: bars_of(outcome) })
        .collect();
    draw_rows(area, history.end_ms, &names, &series)
}

fn took_ms(recovery: &Recovery) -> Option<i64> {
    recovery.squared_ms.map(|at| at - recovery.granted_ms)
}

fn seconds(ms: i64) -> String {
    format!("{:.1} s", ms as f64 / 1_000.0)
}

fn table(history: &History) -> Markup {
    html! {
        table {
            tr {
                th { "block" } th { "log" } th { "grant" } th { "granted at" } th { "records read" }
                th { "squared after" } th { "on record" } th { "confirmed" } th { "absent" }
                th { "lease ended" } th { "on no record" }
            }
            @for recovery in &history.recoveries {
                tr {
                    td { (recovery.shard) } td { (recovery.log) } td { (recovery.fencing_token) }
                    td { (seconds(recovery.granted_ms)) }
                    td { (recovery.read_ms.map_or("never".into(), |at| seconds(at - recovery.granted_ms))) }
                    td { (took_ms(recovery).map_or("never".into(), seconds)) }
                    td { (recovery.recorded) } td { (recovery.tally.confirmed) }
                    td { (recovery.tally.absent) } td { (recovery.tally.lease_ended) }
                    td { (recovery.tally.unrecorded) }
                }
            }
        }
    }
}

/// Draws into a text, so that the page needs no other file.
fn svg(
    height: u32,
    draw: impl FnOnce(&DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn,
) -> Result<Markup, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        let drawn = area.fill(&WHITE).map_err(|error| error.to_string());
        drawn.and_then(|()| draw(&area).map_err(|error| error.to_string()))?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(PreEscaped(text))
}

fn draw_timeline(history: &History, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
    let shown = &history.recoveries[..rows(history)];
    let names: Vec<&str> = shown.iter().map(|recovery| recovery.shard.as_str()).collect();
    let read_ms = |recovery: &Recovery| recovery.read_ms.unwrap_or(history.end_ms);
    let squared_ms =
        |recovery: &Recovery| recovery.squared_ms.unwrap_or(history.end_ms).max(read_ms(recovery));
    let reading = shown.iter().enumerate().map(|(row, r)| (row, r.granted_ms, read_ms(r))).collect();
    let squaring = shown.iter().enumerate().map(|(row, r)| (row, read_ms(r), squared_ms(r))).collect();
    let series = [
        Series { label: "records are being read", color: READING, bars: reading },
        Series { label: "machines are being squared", color: SQUARING, bars: squaring },
    ];
    draw_rows(area, history.end_ms, &names, &series)
}

/// A bar of a timeline: its row, and from when to when it lasts, in milliseconds.
type Bar = (usize, i64, i64);

/// Bars of one kind.
struct Series<'a> {
    label: &'a str,
    color: RGBColor,
    bars: Vec<Bar>,
}

/// Draws a timeline with a named row for each thing.
fn draw_rows(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    end_ms: i64,
    names: &[&str],
    series: &[Series],
) -> Drawn {
    let second = |ms: i64| ms as f64 / 1_000.0;
    let name = |row: &i32| names.get(*row as usize).map_or(String::new(), |name| (*name).to_string());
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..second(end_ms).max(0.1), 0..names.len() as i32)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(names.len())
        .y_label_formatter(&name)
        .x_desc("seconds")
        .draw()?;
    for kind in series {
        let color = kind.color;
        let bars = kind.bars.iter().map(|(row, from, to)| {
            let corners = [(second(*from), *row as i32), (second(*to), *row as i32 + 1)];
            Rectangle::new(corners, color.filled())
        });
        chart
            .draw_series(bars)?
            .label(kind.label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_verdicts(history: &History, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
    let totals = history.totals();
    let bars = [
        ("confirmed", totals.confirmed),
        ("absent", totals.absent),
        ("lease ended", totals.lease_ended),
        ("on no record", totals.unrecorded),
    ];
    let most = bars.iter().map(|(_, n)| *n).max().unwrap_or(0).max(1);
    let name = |at: &f64| {
        let place = at.floor() as usize;
        let is_middle = (at - at.floor() - 0.5).abs() < 0.01;
        bars.get(place).filter(|_| is_middle).map_or(String::new(), |(name, _)| (*name).to_string())
    };
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..bars.len() as f64, 0..most + most / 10 + 1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&name)
        .y_desc("attempts")
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(place, (_, n))| {
        let left = place as f64;
        Rectangle::new([(left + 0.2, 0), (left + 0.8, *n)], SQUARING.filled())
    }))?;
    Ok(())
}

fn draw_shed(history: &History, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
    let end_s = (history.end_ms as f64 / 1_000.0).max(0.1);
    let counts = |(_, _, shed): &(String, i64, crate::log_line::Shed)| {
        shed.turned_away.into_iter().max().unwrap_or(0).max(shed.expired)
    };
    let most = history.shed.iter().map(counts).max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..most + most / 10 + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("turned away a second and node").draw()?;
    for (class, color) in RequestClass::ALL.into_iter().zip(CLASS_COLORS) {
        let points = history.shed.iter().filter(|(_, _, shed)| shed.turned_away[class as usize] > 0);
        let marks = points.map(|(_, at, shed)| {
            let place = (*at as f64 / 1_000.0, shed.turned_away[class as usize]);
            Circle::new(place, 2, color.filled())
        });
        chart
            .draw_series(marks)?
            .label(class.name())
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_lag(history: &History, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
    let end_s = (history.end_ms as f64 / 1_000.0).max(0.1);
    let most = history.shed.iter().map(|(_, _, shed)| shed.lag_ms).max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0..most + most / 10 + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("lag of the event loop, ms").draw()?;
    let marks = history.shed.iter();
    chart.draw_series(marks.map(|(_, at, shed)| {
        Circle::new((*at as f64 / 1_000.0, shed.lag_ms), 2, CLASS_COLORS[3].filled())
    }))?;
    Ok(())
}
