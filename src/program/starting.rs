//! By which files a process starts: those that lie there, or, where one is broken, the last good one.

use super::reload::allowed;
use super::{files, last_good};
use crate::configuration::{judge, Configuration, Environment, Origin};
use crate::operator::{self, Operator};
use crate::protocol::discovery::Names;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// A configuration to start by.
pub(super) struct Start {
    /// As it holds in the environment.
    pub configuration: Configuration,
    /// Why the file that lies there is not used, where it is not.
    pub refused: Option<String>,
    /// The kinds and zones of what was in force before, if anything was.
    pub names_before: Option<Names>,
}

/// The configuration of a file, or the last one that was good in the lasting folder.
pub(super) fn configuration(path: &Path, environment: &Environment) -> Result<Start, String> {
    let text = files::read(path);
    let last = last_good::configuration(&folder(environment, text.as_deref().ok()));
    let last = last.and_then(|last| Some((judge(&last.text, None).ok()?, last.origin)));
    let before = last.as_ref().map(|(configuration, _)| configuration);
    let named = |faults: &dyn std::fmt::Display| format!("{}: {faults}", path.display());
    let judged = text.and_then(|text| judge(&text, before).map_err(|faults| named(&faults)));
    let names_before = before.map(|configuration| configuration.names.clone());
    let origin = Origin::at_start(environment.discovery, last.as_ref().map(|(_, origin)| *origin));
    let (read, refused) = match (judged, last) {
        (Ok(read), _) => (read, None),
        (Err(why), Some((last, _))) => (last, Some(why)),
        (Err(why), None) => return Err(why),
    };
    Ok(Start { configuration: read.at_start(environment, origin), refused, names_before })
}

/// The lasting folder, as far as it can be told from a file that may be broken.
fn folder(environment: &Environment, text: Option<&str>) -> PathBuf {
    let said = || {
        let document: Value = serde_json::from_str(text?).ok()?;
        Some(PathBuf::from(document.get("state")?.as_str()?))
    };
    environment.state.clone().or_else(said).unwrap_or_else(|| PathBuf::from("."))
}

/// The operator's file, or the last one that was good in this folder, and why the one that lies there is not used.
pub(super) fn operator(
    path: &Path,
    folder: &Path,
    peers: Option<bool>,
) -> Result<(Operator, Option<String>), String> {
    let judged = read_operator(path).and_then(|operator| allowed(operator, peers));
    let Err(why) = judged else { return judged.map(|operator| (operator, None)) };
    let last =
        last_good::operator(folder).and_then(|text| operator::parse(&path.to_string_lossy(), &text).ok());
    match last.and_then(|operator| allowed(operator, peers).ok()) {
        Some(last) => Ok((last, Some(why))),
        None => Err(why),
    }
}

/// The operator's file, or all that is wrong with it, a line each.
pub(super) fn read_operator(path: &Path) -> Result<Operator, String> {
    operator::read(path).map_err(|faults| operator::told(&faults))
}
