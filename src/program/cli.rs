//! The command line.

use super::{config, log, signals, wiring};
use crate::routing::Clock;
use crate::transport::network::Tcp;
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

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
}

/// run the relay in the foreground
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file; $LB_CONFIG where it is not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// read a configuration file and say whether the relay could start with it
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// configuration file
    #[argh(positional)]
    config: PathBuf,
}

pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Version(_) => {
            println!("basaltloom {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(c) => config::read(&c.config).map(|c| println!("{}", c.summary())),
        Command::Serve(s) => serve(s),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::line(&why);
            ExitCode::FAILURE
        }
    }
}

fn serve(args: Serve) -> Result<(), String> {
    let from = args.config.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    let mut config = config::read(&from.ok_or("no configuration: give --config or set LB_CONFIG")?)?;
    config.heed_environment(|name| std::env::var(name).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the event loop: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        wiring::run(config, Rc::new(Tcp), Clock::system(), signals::told_to_end()).await
    })
}
