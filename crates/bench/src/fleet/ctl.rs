//! The operators' command line as the bench runs it.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{
    error::Error,
    fleet::process::{POLL, binary},
};

/// `gypsumctl` with the addresses and the key of one fleet.
#[derive(Clone, Debug)]
pub struct Ctl {
    control: Vec<SocketAddr>,
    key_file: PathBuf,
}

/// What a command printed.
#[derive(Clone, Debug)]
pub struct Printed {
    /// The exit code, or -1 if a signal ended it.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Printed {
    /// Standard output as JSON.
    ///
    /// # Errors
    ///
    /// If the command failed or printed something else.
    pub fn json(&self) -> Result<Value, Error> {
        match self.code {
            0 => serde_json::from_str(&self.out).map_err(Error::step("read gypsumctl's output")),
            code => Err(Error::Broken {
                detail: format!("gypsumctl exited {code}: {}", self.err),
            }),
        }
    }
}

impl Ctl {
    /// Sets up the command line.
    pub fn new(control: Vec<SocketAddr>, key_file: PathBuf) -> Self {
        Self { control, key_file }
    }

    /// Uses only the replica at the given place of the list.
    #[must_use]
    pub fn with_only(mut self, replica: usize) -> Self {
        self.control = self.control.get(replica).copied().into_iter().collect();
        self
    }

    /// Runs a command with `--json`.
    ///
    /// # Errors
    ///
    /// If it could not be started. A failing command is no error here.
    pub fn run(&self, args: &[&str]) -> Result<Printed, Error> {
        let mut command = Command::new(binary("gypsumctl")?);
        for addr in &self.control {
            command.arg("--control").arg(addr.to_string());
        }
        let output = command
            .arg("--key-file")
            .arg(&self.key_file)
            .arg("--json")
            .args(args)
            .output()
            .map_err(Error::step("run gypsumctl"))?;
        Ok(Printed {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Runs a command until its output fulfils a condition.
    ///
    /// # Errors
    ///
    /// If it does not within `limit`.
    pub fn wait_until(
        &self,
        args: &[&str],
        limit: Duration,
        is_done: impl Fn(&Value) -> bool,
    ) -> Result<Value, Error> {
        let begin = Instant::now();
        loop {
            let printed = self.run(args)?;
            match printed.json() {
                Ok(value) if is_done(&value) => return Ok(value),
                _ if begin.elapsed() > limit => {
                    let detail = format!(
                        "gypsumctl {} not as expected after {limit:?}: {} {}",
                        args.join(" "),
                        printed.out,
                        printed.err
                    );
                    return Err(Error::Broken { detail });
                }
                _ => thread::sleep(POLL),
            }
        }
    }

    /// Waits until control has a leader.
    ///
    /// # Errors
    ///
    /// If it has none within `limit`.
    pub fn wait_for_leader(&self, limit: Duration) -> Result<(), Error> {
        self.wait_until(&["control", "status"], limit, |status| {
            !status["leader"].is_null()
        })
        .map(|_| ())
    }

    /// Waits until so many upstreams are announced.
    ///
    /// # Errors
    ///
    /// If they are not within `limit`.
    pub fn wait_for_upstreams(&self, count: usize, limit: Duration) -> Result<(), Error> {
        let is_done = |list: &Value| list.as_array().is_some_and(|list| list.len() >= count);
        self.wait_until(&["upstream", "list"], limit, is_done)
            .map(|_| ())
    }

    /// Waits until a version is ready.
    ///
    /// # Errors
    ///
    /// If it is not within `limit`.
    pub fn wait_for_ready(&self, id: &str, limit: Duration) -> Result<(), Error> {
        let is_done = |rollout: &Value| rollout["stage"] == "ready";
        self.wait_until(&["rollout", "show", id], limit, is_done)
            .map(|_| ())
    }
}
