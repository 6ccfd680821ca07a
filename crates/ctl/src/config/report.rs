//! How the errors of a site are printed.

use std::io::{IsTerminal, stderr};

use miette::{GraphicalReportHandler, GraphicalTheme};
use mosshead_site::SiteError;
use serde_json::{Value, json};

/// Prints all errors of a site: on standard output as JSON, or drawn on standard error.
pub(super) fn print_errors(errors: &[SiteError], as_json: bool) {
    if as_json {
        println!("{}", json!({"faults": errors.iter().map(to_json).collect::<Vec<_>>()}));
    } else {
        draw_errors(errors);
    }
}

fn to_json(error: &SiteError) -> Value {
    let (line, column) = error.position();
    json!({
        "file": error.file(),
        "line": line,
        "column": column,
        "message": error.message(),
        "source": error.source_line(),
        "help": error.help_text(),
        "included_at": error.include_chain(),
    })
}

fn draw_errors(errors: &[SiteError]) {
    let theme = match stderr().is_terminal() {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::unicode_nocolor(),
    };
    let handler = GraphicalReportHandler::new_themed(theme);
    for error in errors {
        let mut text = String::new();
        // An error that can't be drawn is printed on one line.
        if handler.render_report(&mut text, error).is_err() {
            text = error.to_string();
        }
        eprintln!("{text}");
    }
    eprintln!("{} fault{}", errors.len(), if errors.len() == 1 { "" } else { "s" });
}
