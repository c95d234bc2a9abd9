//! The report as one self-contained HTML page.

use crate::burn_plot::TimePlot;
use crate::burn_rate::{AlertLevel, ObjectiveState, PERIOD_INDEX};
use crate::error::BurnError;
use crate::report::{FleetReport, FleetVerdict, ObjectiveReport, WindowData, WindowReport};
use crate::text_report::{
    format_budget, format_burn, format_share, format_time, missed_share, or_dash, window_name,
};
use crate::units::{format_duration, to_float};
use std::time::Duration;

const DAY_MS: f64 = 86_400_000.0;

const STYLE: &str = "
:root{color-scheme:light}
body{font:15px/1.45 system-ui,sans-serif;color:#1c2733;background:#f4f6f8;margin:0}
main{max-width:1120px;margin:0 auto;padding:20px}
h1{font-size:24px;margin:0 0 2px}h2{font-size:18px;margin:0}h3{font-size:13px;margin:0 0 4px;color:#505862}
.sub{color:#505862;margin:0 0 16px}
.verdict{font-size:18px;font-weight:600;padding:12px 16px;border-radius:8px;margin:0 0 16px;color:#fff}
.tiles{display:grid;grid-template-columns:repeat(auto-fit,minmax(170px,1fr));gap:10px;margin:0 0 20px}
.tile{background:#fff;border-radius:8px;border-left:7px solid;padding:10px 12px;color:inherit;text-decoration:none}
.tile b{display:block}.tile small{color:#505862}
.card{background:#fff;border-radius:8px;border-top:5px solid;padding:16px;margin:0 0 18px}
.head{display:flex;gap:12px;align-items:center;flex-wrap:wrap}
.badge{color:#fff;border-radius:5px;padding:2px 10px;font-weight:700;text-transform:uppercase;font-size:13px}
.ok{border-color:#2e7d4f}.burning{border-color:#c47600}.exhausted{border-color:#b3261e}.nodata{border-color:#6b7480}
.badge.ok,.verdict.ok{background:#2e7d4f}.badge.burning,.verdict.burning{background:#c47600}.badge.exhausted,.verdict.exhausted{background:#b3261e}.badge.nodata,.verdict.nodata{background:#6b7480}
.grid{display:grid;grid-template-columns:repeat(auto-fit,minmax(330px,1fr));gap:18px;margin-top:14px}
.bar{height:16px;background:#e1e4e8;border-radius:8px;overflow:hidden;margin:2px 0 12px}.bar i{display:block;height:100%}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{text-align:right;padding:3px 8px;border-bottom:1px solid #e6e9ec}th{color:#505862;font-weight:600;font-size:13px}
th:first-child,td:first-child{text-align:left}
tr.hot td{color:#b3261e;font-weight:600}tr.weak td{color:#6b7480;font-style:italic}
svg{width:100%;height:auto;display:block}
.notes{margin:10px 0 0;padding-left:18px;color:#505862}
";

/// Renders the page.
pub fn render_html(report: &FleetReport) -> Result<String, BurnError> {
    let mut body = String::new();
    body.push_str("<h1>Service-level burn</h1>");
    body.push_str(&subtitle(report));
    let (class, words) = verdict_words(report);
    body.push_str(&format!("<p class=\"verdict {class}\">{words}</p><div class=\"tiles\">"));
    for objective in &report.objectives {
        body.push_str(&tile(objective));
    }
    body.push_str("</div>");
    for objective in &report.objectives {
        body.push_str(&card(objective)?);
    }
    body.push_str(&legend());
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width\"><title>Service-level burn</title><style>{STYLE}</style></head><body><main>{body}</main></body></html>\n"
    ))
}

fn subtitle(report: &FleetReport) -> String {
    let mut text = format!(
        "{} · {} of {} expected routers seen · {} samples",
        format_time(report.at_ms),
        report.nodes_seen,
        report.nodes_expected,
        report.samples.used
    );
    if let Some((low, high)) = report.table_revisions {
        text.push_str(&format!(" · table revisions {low} to {high}"));
    }
    let notes: String =
        report.sample_notes().iter().map(|note| format!("<br>{}", escape(note))).collect();
    format!("<p class=\"sub\">{text}{notes}</p>")
}

fn verdict_words(report: &FleetReport) -> (&'static str, &'static str) {
    let burning = |held: &ObjectiveReport| held.state == ObjectiveState::Burning;
    match report.verdict {
        FleetVerdict::WithinBudget if report.objectives.iter().any(burning) => {
            ("burning", "No page, but an objective burns its budget too fast: open a ticket.")
        }
        FleetVerdict::WithinBudget => ("ok", "All objectives are within budget."),
        FleetVerdict::Burning => {
            ("exhausted", "Act now: an objective burns too fast or its budget is used up.")
        }
        FleetVerdict::NoData => {
            ("nodata", "Nothing alerts, but data is missing: not every objective can be judged.")
        }
    }
}

fn class(state: ObjectiveState) -> &'static str {
    match state {
        ObjectiveState::Exhausted => "exhausted",
        ObjectiveState::Burning => "burning",
        ObjectiveState::NoData => "nodata",
        ObjectiveState::Ok => "ok",
    }
}

fn tile(objective: &ObjectiveReport) -> String {
    format!(
        "<a class=\"tile {}\" href=\"#{}\"><b>{}</b>{}<br><small>budget left {}</small></a>",
        class(objective.state),
        objective.name,
        escape(&objective.title),
        objective.state.words(),
        format_budget(objective)
    )
}

fn card(objective: &ObjectiveReport) -> Result<String, BurnError> {
    let alert = match objective.alert {
        AlertLevel::Page => " · page",
        AlertLevel::Ticket => " · ticket",
        AlertLevel::None => "",
    };
    let class = class(objective.state);
    let period = objective.windows.get(PERIOD_INDEX).map_or(0, |window| window.window_ms);
    let mut out = format!(
        "<section class=\"card {class}\" id=\"{}\"><div class=\"head\"><span class=\"badge {class}\">{}{alert}</span><h2>{}</h2><span class=\"sub\" style=\"margin:0\">for {} over {}{}</span></div><div class=\"grid\"><div>",
        objective.name,
        objective.state.words(),
        escape(&objective.title),
        format_share(objective.target),
        format_duration(Duration::from_millis(period)),
        quantile(objective)
    );
    out.push_str(&budget_bar(objective, class));
    out.push_str(&window_table(objective));
    out.push_str("</div><div>");
    out.push_str(&plots(objective, to_float(period) / DAY_MS)?);
    out.push_str("</div>");
    out.push_str(&worst_table(objective));
    out.push_str("</div>");
    if !objective.notes.is_empty() {
        let items: String =
            objective.notes.iter().map(|note| format!("<li>{}</li>", escape(note))).collect();
        out.push_str(&format!("<ul class=\"notes\">{items}</ul>"));
    }
    out.push_str("</section>");
    Ok(out)
}

fn quantile(objective: &ObjectiveReport) -> String {
    objective.quantile_hour_s.map_or_else(String::new, |bound| {
        format!(
            " · last hour: {} within {}",
            format_share(objective.target),
            format_duration(Duration::from_secs_f64(bound))
        )
    })
}

fn budget_bar(objective: &ObjectiveReport, class: &str) -> String {
    let left = objective.budget_left.unwrap_or(0.0).clamp(0.0, 1.0) * 100.0;
    let color = match class {
        "ok" => "#2e7d4f",
        "burning" => "#c47600",
        "exhausted" => "#b3261e",
        _ => "#6b7480",
    };
    format!(
        "<h3>Budget left: {}</h3><div class=\"bar\"><i style=\"width:{left:.1}%;background:{color}\"></i></div>",
        format_budget(objective)
    )
}

fn window_table(objective: &ObjectiveReport) -> String {
    let mut out = "<h3>Burn rate per window</h3><table><tr><th>window</th><th>burn</th><th>missed</th><th>events</th><th>samples present</th></tr>".to_owned();
    for window in &objective.windows {
        out.push_str(&window_row(window));
    }
    out.push_str("</table>");
    out
}

fn window_row(window: &WindowReport) -> String {
    let weak = matches!(window.data, WindowData::Partial | WindowData::Missing);
    let hot = window.unbounded || window.burn.is_some_and(|burn| burn > 1.0);
    let row = match (hot, weak) {
        (true, _) => "hot",
        (_, true) => "weak",
        _ => "",
    };
    let burn =
        if window.data == WindowData::Missing { "no data".to_owned() } else { format_burn(window) };
    format!(
        "<tr class=\"{row}\"><td>{}</td><td>{burn}</td><td>{}</td><td>{}</td><td>{:.0}%</td></tr>",
        window_name(window),
        window.bad,
        window.events,
        (window.coverage * 100.0).floor()
    )
}

fn plots(objective: &ObjectiveReport, days: f64) -> Result<String, BurnError> {
    let strict = objective.target >= 1.0;
    let recent = TimePlot::recent_burn(&objective.recent, objective.target).to_svg()?;
    let seen = objective.seen_share();
    let budget = TimePlot::budget(&objective.long, objective.target, seen, days).to_svg()?;
    let titles = if strict {
        ["Missed events, last 6 h", "Missed events so far in the period"]
    } else {
        ["Burn rate, last 6 h (red line: 6, amber line: 1)", "Budget left over the period"]
    };
    Ok(format!("<h3>{}</h3>{recent}<h3>{}</h3>{budget}", titles[0], titles[1]))
}

fn worst_table(objective: &ObjectiveReport) -> String {
    if objective.worst.is_empty() {
        return String::new();
    }
    let mut out = "<div><h3>Worst workspaces over the period</h3><table><tr><th>workspace</th><th>model or service</th><th>missed</th><th>events</th><th>share missed</th></tr>".to_owned();
    for pair in &objective.worst {
        out.push_str(&format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape(or_dash(&pair.workspace)),
            escape(or_dash(&pair.model)),
            pair.bad,
            pair.events,
            format_share(missed_share(pair.bad, pair.events))
        ));
    }
    out.push_str("</table></div>");
    out
}

fn legend() -> String {
    "<p class=\"sub\">A burn rate of 1 uses up the budget exactly in its period. Pages: above 14.4 over 1 h and 5 min, or above 6 over 6 h and 30 min. Ticket: above 1 over 3 d and 6 h. ~ and italics mark windows with too few samples; a gap in a curve is time without events or samples.</p>".to_owned()
}

fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            _ => out.push(letter),
        }
    }
    out
}
