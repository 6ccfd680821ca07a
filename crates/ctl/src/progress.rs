//! Progress bars on standard error.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use mosshead_world::Time;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A progress bar on a terminal, nothing elsewhere.
pub(crate) fn progress_bar(title: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{prefix} {wide_bar} {pos} of {len} s");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(title.to_owned());
    bar
}

/// A callback that shows on the bar how far a day has come, in seconds.
pub(crate) fn day_progress(bar: &ProgressBar) -> impl Fn(Time, Time) + 'static {
    let bar = bar.clone();
    move |now, length| {
        let length_s = length.0 / MICROS_PER_SECOND;
        bar.set_length(length_s);
        bar.set_position((now.0 / MICROS_PER_SECOND).min(length_s));
    }
}
