//! The standard form of a site's text. Comments and meaning stay; formatting twice changes nothing more.

use kdl::{KdlDocument, KdlError};

/// The text in the standard form.
///
/// # Errors
///
/// The text is not valid KDL.
pub fn format(text: &str) -> Result<String, KdlError> {
    let mut document = KdlDocument::parse_v2(text)?;
    document.autoformat();
    Ok(document.to_string())
}
