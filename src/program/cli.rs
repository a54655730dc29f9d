//! The command line.

use super::inherited::Inherited;
use super::signals::Signals;
use super::wiring::{Plan, PlatformPlan, SmppPlan};
use super::{config, fleet, import, log, wiring};
use crate::configuration;
use crate::operator;
use crate::routing::Clock;
use crate::transport::network::Tcp;
use argh::FromArgs;
use std::path::PathBuf;
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
        Command::Serve(s) => serve(s),
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
        let (version, config) = config::read(&path)?;
        peers = config.peers;
        println!("{}, version {version}", config.summary());
    }
    if let Some(path) = args.operator {
        let operator = operator_file(&path, peers)?;
        operator.in_force.iter().for_each(|setting| println!("{setting}"));
        if let Some(smpp) = operator.smpp {
            println!("{}", smpp.summary());
        }
    }
    Ok(())
}

/// The operator's file, or what is wrong with it, by itself or with what the platform's settings allow.
fn operator_file(path: &std::path::Path, peers: Option<bool>) -> Result<operator::Operator, String> {
    let operator = operator::read(path).map_err(|faults| operator::told(&faults))?;
    operator.fleet.as_ref().map_or(Ok(()), |fleet| fleet.allowed(peers))?;
    Ok(operator)
}

/// Reads a configuration again, and tells what was read.
fn read_again_from(path: &std::path::Path) -> Result<config::Config, String> {
    let text = config::read_text(path)?;
    let (version, bytes) = (configuration::Version::of(&text), text.len());
    tracing::info!(target: "relay", event = "configuration-read", %version, bytes, "version {version} of the configuration was read");
    config::of_text(&text).map_err(|why| format!("version {version}: {why}"))
}

fn print_import(path: &std::path::Path) -> Result<(), String> {
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
    let read = from.as_ref().map(|path| config::read(path)).transpose()?;
    let (version, mut platform) =
        read.map_or((None, None), |(version, config)| (Some(version), Some(config)));
    if let Some(config) = &mut platform {
        config.heed_environment(environment)?;
    }
    if let Some((inherited, config)) = inherited.as_ref().zip(platform.as_ref()) {
        inherited.check(config.listen)?;
    }
    let console = platform.as_ref().and_then(|c| c.console);
    let peers = platform.as_ref().and_then(|c| c.peers);
    let operator = args.operator.as_ref().map(|path| operator_file(path, peers)).transpose();
    let operator = operator?.unwrap_or_default();
    if platform.is_none() && operator.smpp.is_none() {
        let missing = "give --config, an operator's file with a section `smpp`, or set LB_CONFIG";
        return Err(format!("nothing to serve: {missing}"));
    }
    log::init(operator.log.clone());
    if let Some((version, path)) = version.zip(from.as_ref()) {
        tracing::info!(target: "relay", event = "configuration", %version, "starts by {}, version {version}", path.display());
    }
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let clock = Clock::system();
        let (again, reread) = unbounded_channel();
        let (moved, changes) = unbounded_channel();
        let smpp = operator.smpp.clone().map(|config| {
            let state = platform.as_ref().map(|c| c.state.clone());
            let state = state.or_else(|| environment("LB_STATE").map(PathBuf::from));
            // Where both fronts run they share the disk evenly.
            let disk_bytes = platform.as_mut().map_or(DISK, |c| {
                c.disk_bytes /= 2;
                c.disk_bytes
            });
            let state = state.unwrap_or_else(|| PathBuf::from(".")).join("smpp");
            SmppPlan { config, state, disk_bytes, seed: clock.now() }
        });
        let platform = platform.map(|config| PlatformPlan { config, reread: changes });
        // A file that cannot be used changes nothing. The file read again stands above the environment.
        let read_again = move || {
            tracing::info!(target: "relay", event = "hangup", "SIGHUP: the files are read again");
            match from.as_ref().map(|path| read_again_from(path)) {
                Some(Ok(config)) => drop(moved.send(config)),
                Some(Err(why)) => {
                    let text = "the configuration stays as it was read before";
                    tracing::error!(target: "relay", event = "reread-failed", "{text}: {why}");
                }
                None => {}
            }
            match args.operator.as_ref().map(|path| operator_file(path, peers)) {
                Some(Ok(operator)) => drop(again.send(operator)),
                Some(Err(faults)) => {
                    let (text, count) =
                        ("the operator's file stays as it was read before", faults.lines().count());
                    let first = faults.lines().next().unwrap_or_default();
                    tracing::error!(target: "operator", event = "operator-faulty", count, "{text}: {first}");
                }
                None => {}
            }
        };
        let descriptors = descriptors();
        let (changes, continues_clock) = (Some(reread), true);
        let plan =
            Plan { platform, smpp, operator, changes, descriptors, inherited, console, continues_clock };
        wiring::run(plan, Rc::new(Tcp), clock, signals.told_to_end(read_again)).await
    })
}
