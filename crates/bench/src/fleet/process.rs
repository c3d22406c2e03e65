//! Processes that the bench starts, and only those.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::Error;

/// The pause between two looks at a condition.
pub const POLL: Duration = Duration::from_millis(20);

/// A process and how to start it again.
pub struct Process {
    name: String,
    program: &'static str,
    args: Vec<String>,
    variables: Vec<(&'static str, PathBuf)>,
    log: PathBuf,
    child: Child,
}

/// The folder of the binaries: that of this one, or its parent for tests.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let this = std::env::current_exe().map_err(Error::step("find this program"))?;
    this.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| Error::Broken {
            detail: format!("no {name} is built; run scripts/test"),
        })
}

impl Process {
    /// Starts a program with its output in a log file.
    ///
    /// # Errors
    ///
    /// If the program could not be started.
    pub fn spawn(
        name: impl Into<String>,
        program: &'static str,
        args: Vec<String>,
        log: &Path,
    ) -> Result<Self, Error> {
        Self::spawn_with(name, program, args, Vec::new(), log)
    }

    /// The same with variables in the program's environment.
    ///
    /// # Errors
    ///
    /// If the program could not be started.
    pub fn spawn_with(
        name: impl Into<String>,
        program: &'static str,
        args: Vec<String>,
        variables: Vec<(&'static str, PathBuf)>,
        log: &Path,
    ) -> Result<Self, Error> {
        let child = start(program, &args, &variables, log)?;
        Ok(Self {
            name: name.into(),
            program,
            args,
            variables,
            log: log.to_owned(),
            child,
        })
    }

    /// The name of the VM, with the part that runs there.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends SIGKILL and waits.
    pub fn kill(&mut self) {
        // The process may be gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGSTOP: the process freezes.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT: the process goes on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM: the process shuts down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP: the process reads its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// If it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            let status = self
                .child
                .try_wait()
                .map_err(Error::step("wait for a process"))?;
            if let Some(status) = status {
                return Ok(status);
            }
            thread::sleep(POLL);
        }
        Err(Error::Broken {
            detail: format!("{} still runs after {limit:?}", self.name),
        })
    }

    /// Kills the process if it still runs, and starts it anew with the same arguments.
    ///
    /// # Errors
    ///
    /// If the program could not be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.kill();
        self.child = start(self.program, &self.args, &self.variables, &self.log)?;
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may be gone already.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start(
    program: &str,
    args: &[String],
    variables: &[(&'static str, PathBuf)],
    log: &Path,
) -> Result<Child, Error> {
    let step = || format!("start {program}");
    let output = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|source| Error::step(step())(source))?;
    let errors = output
        .try_clone()
        .map_err(|source| Error::step(step())(source))?;
    Command::new(binary(program)?)
        .args(args)
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .map_err(|source| Error::step(step())(source))
}
