//! Logger of `briarquayd`, on standard error.

use {
    crate::{collections::Name, settings::LogFormat},
    slog::{Discard, Drain, Logger, o},
    std::sync::Mutex,
};

/// Returns a logger that writes to standard error in `format`, each line with the
/// daemon's id.
pub fn logger(format: LogFormat, id: &Name) -> Logger {
    let values = o!("daemon" => id.to_string());
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), values)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            Logger::root(Mutex::new(drain).fuse(), values)
        }
        LogFormat::Off => Logger::root(Discard, o!()),
    }
}
