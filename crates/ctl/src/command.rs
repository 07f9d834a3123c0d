//! Reads the command line and runs one command.

use crate::{Result, bundles, rolls, trace, views};
use lexopt::Arg;
use oleander_kind::ResultCode;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a command failed. The exit code is the hundreds' class of the result code.
    #[derive(Debug)]
    pub enum CtlError {
        /// The command line is wrong.
        Usage(text: String) {
            display("{}: {}", ResultCode::UsageFault, text)
        }
        /// A numbered failure.
        Coded(code: ResultCode, detail: String) {
            display("{}: {}", code, detail)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, cause: std::io::Error) {
            display("{}: {}", path.display(), cause)
        }
    }
}

impl CtlError {
    /// The process' exit code: 2 usage or file, 3 bundle, 5 platform, 1 the rest.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_) | CtlError::File(..) => 2,
            CtlError::Coded(code, _) => match code.number() / 1000 {
                3 => 3,
                5 => 5,
                _ => 1,
            },
        }
    }
}

impl From<oleander_bundle::BundleError> for CtlError {
    fn from(fault: oleander_bundle::BundleError) -> Self {
        let oleander_bundle::BundleError::Refused(code, detail) = fault;
        CtlError::Coded(code, detail)
    }
}

impl From<oleander_plat::PlatError> for CtlError {
    fn from(fault: oleander_plat::PlatError) -> Self {
        CtlError::Coded(fault.code(), fault.to_string())
    }
}

/// What the tool can do.
pub const HELP: &str = "\
oleander-ctl: bundles, their roll, and what the system says of itself

  oleander-ctl keygen --out FILE                 make an operator's key; prints the public key
  oleander-ctl bundle init                       print a first bundle to start from
  oleander-ctl bundle check FILE                 check a bundle; prints every fault
  oleander-ctl bundle diff FILE FILE             what changes from one to the other
  oleander-ctl bundle next --platform URL        print the accepted bundle's successor to edit
  oleander-ctl bundle sign FILE --key FILE       add a sign-off to the file
  oleander-ctl bundle submit FILE --platform URL make it the accepted bundle
  oleander-ctl bundle show --platform URL        print the accepted bundle
  oleander-ctl roll start|pause|resume|status SERVICE --platform URL
  oleander-ctl status --admin ADDR               generation and age at each process
  oleander-ctl dump --admin ADDR                 the state of one process
  oleander-ctl codes                             every result code
  oleander-ctl events                            every log event of the front process
  oleander-ctl trace REQUEST FILE...             what the logs say of a request, in time order
  oleander-ctl explain INSTANCE --platform URL   the decisions about an instance or start

Options: --json for output that programs read; --help.
Exit codes: 0 done, 1 failed, 2 usage or file, 3 bundle refused, 5 platform.
";

/// A command line, taken apart.
#[derive(Debug, Default)]
pub struct CommandLine {
    /// Words in order.
    pub words: Vec<String>,
    /// The platform's object API.
    pub platform: Option<String>,
    /// A process' admin address.
    pub admin: Option<String>,
    /// A key file.
    pub key: Option<PathBuf>,
    /// A file to write.
    pub out: Option<PathBuf>,
    /// Whether programs read the output.
    pub json: bool,
}

impl CommandLine {
    /// Reads the arguments after the program's name.
    ///
    /// # Errors
    /// [`CtlError::Usage`].
    pub fn parse(arguments: Vec<std::ffi::OsString>) -> Result<CommandLine> {
        let usage = |fault: lexopt::Error| CtlError::Usage(fault.to_string());
        let mut line = CommandLine::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Arg::Value(word) => line.words.push(word.to_string_lossy().into_owned()),
                Arg::Long("platform") => line.platform = Some(text(&mut parser)?),
                Arg::Long("admin") => line.admin = Some(text(&mut parser)?),
                Arg::Long("key") => line.key = Some(text(&mut parser)?.into()),
                Arg::Long("out") => line.out = Some(text(&mut parser)?.into()),
                Arg::Long("json") => line.json = true,
                Arg::Long("help") | Arg::Short('h') => line.words = vec!["help".to_owned()],
                other => return Err(usage(other.unexpected())),
            }
        }
        Ok(line)
    }

    /// The platform's address.
    ///
    /// # Errors
    /// [`CtlError::Usage`] if it was not given.
    pub fn need_platform(&self) -> Result<&str> {
        self.platform.as_deref().ok_or_else(|| CtlError::Usage("--platform is needed".to_owned()))
    }

    /// The admin address.
    ///
    /// # Errors
    /// [`CtlError::Usage`] if it was not given.
    pub fn need_admin(&self) -> Result<&str> {
        self.admin.as_deref().ok_or_else(|| CtlError::Usage("--admin is needed".to_owned()))
    }

    /// Word number `at`.
    ///
    /// # Errors
    /// [`CtlError::Usage`] naming what is missing.
    pub fn need_word(&self, at: usize, name: &str) -> Result<&str> {
        let word = self.words.get(at).map(String::as_str);
        word.ok_or_else(|| CtlError::Usage(format!("{name} is missing; see --help")))
    }
}

fn text(parser: &mut lexopt::Parser) -> Result<String> {
    let value = parser.value().map_err(|fault| CtlError::Usage(fault.to_string()))?;
    Ok(value.to_string_lossy().into_owned())
}

/// Runs the command and returns what it prints.
///
/// # Errors
/// What went wrong, with its exit code.
pub async fn run_command(line: &CommandLine) -> Result<String> {
    let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] => Ok(HELP.to_owned()),
        ["codes"] => Ok(oleander_kind::code::code_table()),
        ["events"] => Ok(oleander_front::events::event_table()),
        ["trace", id, files @ ..] if !files.is_empty() => trace::trace(id, files),
        ["keygen"] => bundles::keygen(line),
        ["bundle", "init"] => bundles::init(),
        ["bundle", "check", _] => bundles::check(line),
        ["bundle", "diff", _, _] => bundles::diff(line),
        ["bundle", "sign", _] => bundles::sign(line),
        ["bundle", "next"] => bundles::next(line).await,
        ["bundle", "submit", _] => bundles::submit(line).await,
        ["bundle", "show"] => bundles::show(line).await,
        ["roll", verb, _] => rolls::roll(line, verb).await,
        ["status"] => views::status(line).await,
        ["dump"] => views::dump(line).await,
        ["explain", _] => views::explain(line).await,
        _ => Err(CtlError::Usage(format!("unknown command: {}; see --help", words.join(" ")))),
    }
}
