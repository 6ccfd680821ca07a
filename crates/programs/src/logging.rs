//! Sets up the log on standard output. A line consists of a component prefix, an event in lower case and `name=value`
//! fields: `consensus: became primary term=7`.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// Sets up the logger of the process, with debug events if `detailed`. If standard output is unusable, nothing is
/// logged.
pub(crate) fn start(detailed: bool) {
    let format = PatternFormatter::new(pattern!("{time} {level} {payload}{eol}"));
    let sink = StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(format).build();
    let Ok(sink) = sink else { return };
    let Ok(logger) = Logger::builder().sink(Arc::new(sink)).build() else { return };
    let level = if detailed { spdlog::Level::Debug } else { spdlog::Level::Info };
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
}
