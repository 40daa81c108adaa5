//! `cargo lab curve`: the trade-off between detection time and false ejections over a range of ejection thresholds.

use std::path;

use plotters::prelude as plot;
use plotters::prelude::IntoDrawingArea;
use serde::Serialize;

use crate::replay;
use crate::replay::check;
use crate::replay::measures;
use crate::replay::policy;
use crate::replay::trace;

/// The ejection thresholds to measure, as log-likelihood ratios.
const THRESHOLDS: [f64; 8] = [2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 14.0, 20.0];

/// The trace family whose detection times are measured.
const DETECTED: &str = "slow-3x";

/// The trace families whose false ejections are measured; no single target has a fault of its own in them.
const NO_FAULT: [&str; 3] = ["calm", "shared-slow", "overload-1.5x"];

const THOUSAND_HOURS: f64 = 1_000.0;

/// Options of [`measure`].
#[derive(Clone, Debug)]
pub struct CurveOptions {
    /// The directory that holds the traces.
    pub dir: path::PathBuf,
    /// The number of runs of each family for each point.
    pub seeds: u64,
    /// The number of runs that execute in parallel.
    pub threads: usize,
}

/// The measurements for one ejection threshold on the fleet of one user.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The name of the user.
    pub user: String,
    /// The ejection threshold, as a log-likelihood ratio.
    pub eject: f64,
    /// Whether the threshold is the one that the user's fleet is configured with.
    pub own: bool,
    /// The median time from the onset of the fault to the last new request, in milliseconds.
    pub detect_p50_ms: Option<u64>,
    /// The 99th percentile of this time, in milliseconds.
    pub detect_p99_ms: Option<u64>,
    /// The number of false ejections in the families in which no single target has a fault.
    pub false_ejections: f64,
    /// The total time of healthy targets in these families, in hours.
    pub target_hours: f64,
    /// The number of false ejections per thousand of these hours.
    pub false_rate: f64,
}

/// Measures all points and passes each to `print` as soon as it is available.
///
/// # Errors
///
/// Returns an error if a trace or a fleet cannot be read or parsed.
pub fn measure(
    options: &CurveOptions,
    print: &mut dyn FnMut(&Point),
) -> Result<Vec<Point>, trace::Error> {
    let traces = trace::load_all(&options.dir)?;
    let find = |name: &str| traces.iter().find(|(t, _)| t.family == name);
    let Some((detected, fleets)) = find(DETECTED) else {
        return Ok(Vec::new());
    };
    let healthy: Vec<_> = NO_FAULT
        .iter()
        .filter_map(|n| find(n))
        .map(|(t, _)| t)
        .collect();
    let mut points = Vec::new();
    for fleet in fleets {
        for eject in THRESHOLDS {
            let point = measure_point(options, detected, &healthy, fleet, eject);
            print(&point);
            points.push(point);
        }
    }
    Ok(points)
}

fn measure_point(
    options: &CurveOptions,
    detected: &trace::Trace,
    healthy: &[&trace::Trace],
    fleet: &trace::Fleet,
    eject: f64,
) -> Point {
    let mut changed = fleet.clone();
    changed.ejection.eject = eject;
    changed.ejection.avoid *= eject / fleet.ejection.eject;
    let line = |trace| {
        let run_seed = |seed| check::run(&replay::FleetReplay, trace, &changed, seed);
        let runs = policy::run_seeds(options.seeds, options.threads, &run_seed);
        measures::Line::new(&trace.family, &fleet.name, "fleet", &runs)
    };
    let detected_line = line(detected);
    let lines: Vec<_> = healthy.iter().map(|t| line(t)).collect();
    let false_ejections: f64 = lines.iter().map(|l| l.false_ejections).sum();
    let target_hours: f64 = lines.iter().map(|l| l.target_hours).sum();
    Point {
        user: fleet.name.clone(),
        eject,
        own: (eject - fleet.ejection.eject).abs() < f64::EPSILON,
        detect_p50_ms: detected_line.detect_p50_ms,
        detect_p99_ms: detected_line.detect_p99_ms,
        false_ejections,
        target_hours,
        false_rate: false_ejections / target_hours * THOUSAND_HOURS,
    }
}

/// An error of the plotting library.
type DrawError = Box<dyn std::error::Error + Send + Sync>;

/// Plots the points into the SVG file `out`.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(points: &[Point], out: &path::Path) -> Result<(), DrawError> {
    let area = plot::SVGBackend::new(out, (900, 560)).into_drawing_area();
    area.fill(&plot::WHITE)?;
    let drawn = |p: &Point| p.detect_p99_ms.map(|ms| (p.false_rate, ms as f64));
    let drawn_points: Vec<_> = points.iter().filter_map(drawn).collect();
    let axis_end = |values: &mut dyn Iterator<Item = f64>| values.fold(1.0, f64::max) * 1.1;
    let width = axis_end(&mut drawn_points.iter().map(|p| p.0));
    let height = axis_end(&mut drawn_points.iter().map(|p| p.1));
    let mut chart = plot::ChartBuilder::on(&area)
        .caption(
            "Last new request at a target that is three times slower, by threshold of ejection",
            ("sans-serif", 18),
        )
        .margin(16)
        .x_label_area_size(48)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("false ejections in 1,000 hours of healthy targets")
        .y_desc("detection time, p99 (ms)")
        .draw()?;
    let mut users: Vec<_> = points.iter().map(|p| p.user.as_str()).collect();
    users.dedup();
    for (user, colour) in users.into_iter().zip([plot::BLUE, plot::RED]) {
        let own: Vec<_> = points.iter().filter(|p| p.user == user).collect();
        let line = plot::LineSeries::new(own.iter().copied().filter_map(drawn), colour);
        chart
            .draw_series(line)?
            .label(user)
            .legend(move |(x, y)| plot::PathElement::new([(x, y), (x + 20, y)], colour));
        let marks = own.iter().copied().filter_map(|p| {
            let size = if p.own { 7 } else { 3 };
            let text = format!("{}{}", p.eject, if p.own { " (in force)" } else { "" });
            let mark = plot::Circle::new((0, 0), size, plot::ShapeStyle::from(colour).filled());
            let label = plot::Text::new(text, (9, -14), ("sans-serif", 13));
            Some(plot::EmptyElement::at(drawn(p)?) + mark + label)
        });
        chart.draw_series(marks)?;
    }
    chart
        .configure_series_labels()
        .background_style(plot::WHITE)
        .border_style(plot::BLACK)
        .label_font(("sans-serif", 14))
        .draw()?;
    area.present()?;
    Ok(())
}
