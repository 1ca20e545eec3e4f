//! `cloverbend key`: generates and hashes keys of client accounts.

use clap::Args;
use clap::Subcommand;
use cloverbend::configuration::KeyHash;
use serde::Serialize;

use super::KeyArgs;
use crate::cli_error::CliError;
use crate::output::print_json;
use crate::output::print_text;

/// Subcommands of `key`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generate a random key and print it with its hash
    New(NewArgs),
    /// Print the hash of a key, for use as `key_hash` in a configuration
    Hash(KeyArgs),
}

/// Arguments of `key new`.
#[derive(Debug, Args)]
pub struct NewArgs {
    /// Print JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct NewKey {
    key: String,
    key_hash: KeyHash,
}

/// Runs `key`.
pub fn run(command: KeyCommand) -> Result<(), CliError> {
    match command {
        KeyCommand::New(args) => {
            let key = cloverbend::configuration::draw_key();
            let key_hash = KeyHash::of_key(&key);
            if args.json {
                print_json(&NewKey { key, key_hash });
            } else {
                print_text(&format!("key       {key}\nkey_hash  {key_hash}\n"));
            }
        }
        KeyCommand::Hash(args) => {
            let key = args.read()?;
            print_text(&format!("{}\n", KeyHash::of_key(&key)));
        }
    }
    Ok(())
}
