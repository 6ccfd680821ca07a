//! The one way in which a site is written out. Comments stay; meaning stays; a second pass changes nothing.

use kdl::{KdlDocument, KdlError};

/// The text in the one form.
///
/// # Errors
///
/// The text is not valid KDL.
pub fn format(text: &str) -> Result<String, KdlError> {
    let mut document = KdlDocument::parse_v2(text)?;
    document.autoformat();
    Ok(document.to_string())
}
