//! The command line.

use super::inherited::Inherited;
use super::reload::{allowed, Reread};
use super::signals::Signals;
use super::starting::Start;
use super::wiring::{Plan, PlatformPlan, SmppPlan};
use super::{files, fleet, import, log, starting, wiring};
use crate::configuration::{judge, Configuration, Environment, Version as ConfigurationVersion};
use crate::routing::Clock;
use crate::transport::network::Tcp;
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::sync::mpsc::unbounded_channel;

/// Bytes for the journal of an SMPP front that runs alone.
const DISK: u64 = 64 << 20;

/// A relay that delivers messages to destinations it does not control.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
    Import(Import),
    Members(Members),
}

/// run the relay in the foreground
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file; $LB_CONFIG where it is not given; SIGHUP has it read again
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's own file (deploy/relay.conf is an example); SIGHUP has it read again
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// print who of the fleet was there in the last view written
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the relay's lasting folder
    #[argh(positional)]
    dir: PathBuf,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// read configuration files and say whether the relay could start with them
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// configuration file
    #[argh(positional)]
    config: Option<PathBuf>,
    /// the operator's own file: prints all settings in force, each with where it was said
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// print a configuration for nginx's upstream and location blocks; what cannot be carried over is named with
/// its line on standard error
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
struct Import {
    /// nginx configuration file
    #[argh(positional)]
    nginx: PathBuf,
}

pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Version(_) => {
            println!("basaltloom {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(c) => check(c),
        Command::Serve(s) => {
            let served = serve(s);
            log::finish();
            served
        }
        Command::Import(i) => print_import(&i.nginx),
        Command::Members(m) => fleet::members(&m.dir).map(|text| print!("{text}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::complain(&why);
            ExitCode::FAILURE
        }
    }
}

/// The process's own limit on descriptors.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| n as usize)
}

fn check(args: CheckConfig) -> Result<(), String> {
    if args.config.is_none() && args.operator.is_none() {
        return Err("nothing to check: name a configuration file".to_string());
    }
    let mut peers = None;
    if let Some(path) = args.config {
        let configuration = read(&path)?;
        peers = Some(configuration.peers);
        println!("{}", configuration.summary());
    }
    if let Some(path) = args.operator {
        let operator = starting::read_operator(&path).and_then(|operator| allowed(operator, peers))?;
        operator.in_force.iter().for_each(|setting| println!("{setting}"));
        if let Some(smpp) = operator.smpp {
            println!("{}", smpp.summary());
        }
    }
    Ok(())
}

/// The configuration of a file, or all that is wrong with it in a line.
fn read(path: &Path) -> Result<Configuration, String> {
    judge(&files::read(path)?, None).map_err(|faults| format!("{}: {faults}", path.display()))
}

fn print_import(path: &Path) -> Result<(), String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let imported = import::import(&text).map_err(|why| format!("{name}:{why}"))?;
    for note in imported.notes {
        eprintln!("{name}:{note}");
    }
    print!("{}", imported.config);
    Ok(())
}

fn serve(args: Serve) -> Result<(), String> {
    // Before any other descriptor is opened.
    let inherited = Inherited::take()?;
    let environment = |name: &str| std::env::var(name).ok();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the event loop: {e}"))?;
    let signals = {
        let _inside = runtime.enter();
        Signals::listen().map_err(|e| format!("cannot listen for signals: {e}"))?
    };
    let from = args.config.or_else(|| environment("LB_CONFIG").map(PathBuf::from));
    let variables = Environment::of(environment).map_err(|faults| faults.to_string())?;
    let start = from.as_ref().map(|path| starting::configuration(path, &variables)).transpose()?;
    let (configuration, refused, names_before) = match start {
        Some(Start { configuration, refused, names_before }) => (Some(configuration), refused, names_before),
        None => (None, None, None),
    };
    if let Some((inherited, configuration)) = inherited.as_ref().zip(configuration.as_ref()) {
        inherited.check(configuration.listen)?;
    }
    let console = configuration.as_ref().and_then(|c| c.console);
    let peers = configuration.as_ref().map(|c| c.peers);
    let folder = configuration.as_ref().map(|c| c.state.clone()).or_else(|| variables.state.clone());
    let folder = folder.unwrap_or_else(|| PathBuf::from("."));
    let read = args.operator.as_ref().map(|path| starting::operator(path, &folder, peers)).transpose()?;
    let operator_folder = read.is_some().then(|| folder.clone());
    let (operator, operator_refused) = read.unwrap_or_default();
    if configuration.is_none() && operator.smpp.is_none() {
        let missing = "give --config, an operator's file with a section `smpp`, or set LB_CONFIG";
        return Err(format!("nothing to serve: {missing}"));
    }
    log::init(operator.log.clone());
    if let Some(configuration) = &configuration {
        let version = configuration.version;
        if let Some(faults) = refused {
            let text = "the file is broken, the last good configuration stays in force";
            tracing::error!(target: "relay", event = "configuration-refused", in_force = %version, "{text}: {faults}");
        }
        tracing::info!(target: "relay", event = "configuration", %version, "starts by version {version} of the configuration");
    }
    if let Some(faults) = operator_refused {
        let (count, faults) = (faults.lines().count(), faults.lines().collect::<Vec<_>>().join("; "));
        let text = "the operator's file is broken, the last good one stays in force";
        tracing::error!(target: "operator", event = "operator-faulty", count, "{text}: {faults}");
    }
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let clock = Clock::system();
        let (again, rereads) = unbounded_channel();
        let smpp = operator.smpp.clone().map(|config| {
            // Where both fronts run they share the disk evenly.
            let disk_bytes = configuration.as_ref().map_or(DISK, |c| c.disk_bytes / 2);
            SmppPlan { config, state: folder.join("smpp"), disk_bytes, seed: clock.now() }
        });
        let platform = configuration.map(|configuration| PlatformPlan {
            configuration,
            environment: variables,
            names_before,
        });
        let read_again = move || {
            tracing::info!(target: "relay", event = "hangup", "SIGHUP: the files are read again");
            let configuration = from.as_ref().map(|path| files::read(path));
            if let Some(Ok(text)) = &configuration {
                let (version, bytes) = (ConfigurationVersion::of(text), text.len());
                tracing::info!(target: "relay", event = "configuration-read", %version, bytes, "version {version} of the configuration was read");
            }
            let operator = args.operator.as_ref().map(|path| starting::read_operator(path));
            again.send(Reread { configuration, operator }).ok();
        };
        let descriptors = descriptors();
        let (rereads, continues_clock) = (Some(rereads), true);
        let plan = Plan {
            platform,
            smpp,
            operator,
            operator_folder,
            rereads,
            descriptors,
            inherited,
            console,
            continues_clock,
        };
        wiring::run(plan, Rc::new(Tcp), clock, signals.told_to_end(read_again)).await
    })
    .inspect_err(|why| tracing::error!(target: "relay", event = "ends-by-itself", "the process ends: {why}"))
}
