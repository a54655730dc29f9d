//! The operator's own file: what is ours to set, beside the JSON that the platform writes. One form for all of it,
//! read whole before anything of it holds: a file with an error changes nothing.

pub mod admission;
pub mod batching;
pub mod fleet;
pub mod logging;
pub mod section;
pub mod syntax;

use crate::batching::Table;
use crate::protocol::smpp::config::SmppConfig;
use section::{Findings, InForce, Section};
use std::path::Path;
use syntax::{Directive, Fault};

/// What the file says.
#[derive(Clone, Debug)]
pub struct Operator {
    pub log: logging::Said,
    pub admission: admission::Said,
    pub batching: Table,
    /// Membership among relays, which is off where the file has no such section.
    pub fleet: Option<fleet::Fleet>,
    /// The SMPP front, which is off where the file has no such section.
    pub smpp: Option<SmppConfig>,
    /// All settings as they hold, in the order of the file's sections.
    pub in_force: Vec<InForce>,
    /// The file with all that it includes, as one text.
    pub text: String,
}

impl Operator {
    /// The sections in which `now` differs from what is in force in a way that only a start can bring about.
    pub fn needs_start(&self, now: &Operator) -> Vec<&'static str> {
        let fleet = |operator: &Operator| {
            operator.fleet.as_ref().map(|fleet| fleet::Fleet { place: None, ..fleet.clone() })
        };
        let smpp = match (&self.smpp, &now.smpp) {
            (Some(before), Some(now)) => before.is_same_but_for_carriers(now),
            (before, now) => before.is_none() && now.is_none(),
        };
        let differ = [("fleet", fleet(self) != fleet(now)), ("smpp", !smpp)];
        differ.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

/// The file's settings, or all that is wrong with it.
pub fn read(path: &Path) -> Result<Operator, Vec<Fault>> {
    decode(&syntax::read(path)?)
}

/// The same of a text that stands in no file.
pub fn parse(name: &str, text: &str) -> Result<Operator, Vec<Fault>> {
    decode(&syntax::parse(name, text)?)
}

/// An empty file's settings.
impl Default for Operator {
    fn default() -> Operator {
        assemble(&[]).0
    }
}

fn decode(directives: &[Directive]) -> Result<Operator, Vec<Fault>> {
    let (operator, mut faults) = assemble(directives);
    if faults.is_empty() {
        return Ok(operator);
    }
    faults.sort_by(|a, b| {
        let key = |f: &Fault| (f.place.file.clone(), f.place.line, f.place.column);
        key(a).cmp(&key(b))
    });
    Err(faults)
}

/// The settings, and what is wrong with them.
fn assemble(directives: &[Directive]) -> (Operator, Vec<Fault>) {
    let findings = Findings::default();
    let mut file = Section::new("", directives, &findings);
    let log = logging::Said::read(file.section("log"));
    let admission = admission::Said::read(file.section("admission"));
    let batching = batching::read(file.section("batching"));
    let fleet = fleet::read(file.section("fleet"));
    let smpp = file.section("smpp");
    let smpp = smpp.is_there().then(|| SmppConfig::read(smpp));
    file.finish();
    let Findings { faults, in_force } = findings;
    let (in_force, text) = (in_force.into_inner(), syntax::render(directives));
    (Operator { log, admission, batching, fleet, smpp, in_force, text }, faults.into_inner())
}

/// Faults as lines of a text.
pub fn told(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}
