//! Logging to standard error with log4rs, as plain text or as one JSON object per line.

use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use log::LevelFilter;

use crate::Error;
use crate::settings::Format;

/// Layout of a plain text line: time, level, module and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";

/// Starts logging to standard error in `format`, at `level` and above.
pub fn start(format: Format, level: LevelFilter) -> Result<(), Error> {
    let failed = |cause: String| Error::Logs(cause);
    let encoder: Box<dyn Encode> = match format {
        Format::Human => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let root = Root::builder().appender("console").build(level);
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(root)
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| failed(error.to_string()))?;
    Ok(())
}
