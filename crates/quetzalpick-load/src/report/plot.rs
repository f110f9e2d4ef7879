//! Plots the latency distributions of a run as SVG.

use plotters::prelude::*;

use crate::report::summary::Report;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws the distributions of the time to the first token and the time between tokens.
///
/// # Errors
///
/// Returns the error message of the plotting library.
pub fn plot(report: &Report) -> Result<String, String> {
    let mut svg = String::new();
    let drawn = draw(report, &mut svg).map_err(|error| error.to_string());
    drawn.map(|()| svg)
}

/// Draws both curves with a logarithmic time axis.
fn draw(report: &Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let curves = [
        ("first token", &report.first_curve, &BLUE),
        ("between tokens", &report.between_curve, &RED),
    ];
    let longest = curves
        .iter()
        .flat_map(|(_, curve, _)| curve.iter())
        .map(|(_, ms)| *ms)
        .fold(10.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!(
        "{}: seed {}, {} answered",
        report.name, report.seed, report.total.answered
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..1.0, (0.1..longest * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("part of the answers")
        .y_desc("ms")
        .draw()?;
    for (name, curve, color) in curves {
        let points = curve.iter().map(|(fraction, ms)| (*fraction, ms.max(0.1)));
        let series = chart.draw_series(LineSeries::new(points, color))?;
        series
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
