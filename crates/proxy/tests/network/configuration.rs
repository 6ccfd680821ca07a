//! Edits the text of a configuration.

use thiserror::Error;

/// Why an edit can't be made, which is a fault of the scenario.
#[derive(Debug, Error)]
pub(crate) enum ChangeError {
    #[error("the configuration has no {0}")]
    NotFound(String),
    #[error("{0} is not closed")]
    Unclosed(String),
    #[error("{0}: write KEY=VALUE, add:CLASS:EFFECT, drop:CLASS or remove:KEY")]
    UnknownChange(String),
}

/// Returns the configuration with another value for a key.
pub(crate) fn with_value(config: &str, key: &str, value: &str) -> Result<String, ChangeError> {
    let (before, after) = split_at_key(config, key)?;
    let rest = &after[after.find([',', '}']).ok_or_else(|| ChangeError::Unclosed(key.to_owned()))?..];
    Ok(format!("{before}\"{key}\":{value}{rest}"))
}

/// Returns the configuration with one change: `KEY=VALUE`, `add:CLASS:EFFECT`, `drop:CLASS` or `remove:KEY`.
pub(crate) fn with_change(config: &str, change: &str) -> Result<String, ChangeError> {
    if let Some((name, effect)) = change.strip_prefix("add:").and_then(|rest| rest.split_once(':')) {
        return with_class(config, name, effect);
    }
    if let Some(name) = change.strip_prefix("drop:") {
        return without_class(config, name);
    }
    if let Some(key) = change.strip_prefix("remove:") {
        let (before, after) = split_at_key(config, key)?;
        let end = after.find(',').ok_or_else(|| ChangeError::Unclosed(key.to_owned()))?;
        return Ok(format!("{before}{}", &after[end + 1..]));
    }
    let (key, value) = change.split_once('=').ok_or_else(|| ChangeError::UnknownChange(change.to_owned()))?;
    with_value(config, key, value)
}

/// Splits the text into the part before a key and the part after its colon.
fn split_at_key<'a>(config: &'a str, key: &str) -> Result<(&'a str, &'a str), ChangeError> {
    config.split_once(&format!("\"{key}\":")).ok_or_else(|| ChangeError::NotFound(format!("key {key}")))
}

/// The byte range of a class definition.
fn class_range(config: &str, name: &str) -> Result<std::ops::Range<usize>, ChangeError> {
    let start = config.find(&format!("{{\"name\":\"{name}\""));
    let start = start.ok_or_else(|| ChangeError::NotFound(format!("class {name}")))?;
    let length = config[start..].find('}').ok_or_else(|| ChangeError::Unclosed(name.to_owned()))?;
    Ok(start..start + length + 1)
}

/// Returns the configuration with one more class, which equals `slot-lookup` except for its effect.
fn with_class(config: &str, name: &str, effect: &str) -> Result<String, ChangeError> {
    let model = class_range(config, "slot-lookup")?;
    let class = with_value(&config[model.clone()], "name", &format!("\"{name}\""))?;
    let class = with_value(&class, "effect", &format!("\"{effect}\""))?;
    Ok(format!("{}{class},{}", &config[..model.start], &config[model.start..]))
}

fn without_class(config: &str, name: &str) -> Result<String, ChangeError> {
    let class = class_range(config, name)?;
    let (before, after) = (config[..class.start].trim_end_matches([',', '\n']), &config[class.end..]);
    let after = if before.ends_with('[') { after.trim_start_matches([',', '\n']) } else { after };
    Ok(format!("{before}{after}"))
}
