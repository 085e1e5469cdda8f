//! An operating system process of a fleet.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal};

use crate::error;

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shell script that limits the size of files that it writes, in blocks of 512 bytes,
/// ignores SIGXFSZ and replaces itself with the program (`exec`).
const FILE_LIMIT_SCRIPT: &str = "trap '' XFSZ; ulimit -f \"$1\"; shift; exec \"$@\"";

/// A process that can be killed and restarted with the same arguments. It is killed
/// when dropped.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a process; its output is appended to the log file.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be started.
    pub fn start(
        program: PathBuf,
        arguments: Vec<String>,
        log: PathBuf,
    ) -> Result<Self, error::Error> {
        let mut process = Self {
            program,
            arguments,
            log,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Kills the process if it still runs, and starts it again.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be started.
    pub fn restart(&mut self) -> Result<(), error::Error> {
        let mut command = Command::new(&self.program);
        command.args(&self.arguments);
        self.launch(command)
    }

    fn launch(&mut self, mut command: Command) -> Result<(), error::Error> {
        self.kill()?;
        let output = File::options().create(true).append(true).open(&self.log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Restarts the process with a limit on the size of each file that it writes, in
    /// blocks of 512 bytes. This simulates a full disk: writes above the limit fail.
    /// SIGXFSZ, which the system sends at such a failure, is ignored.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be started.
    pub fn restart_with_file_limit(&mut self, blocks: u64) -> Result<(), error::Error> {
        self.launch_with_file_limit(&blocks.to_string())
    }

    /// Restarts the process so that [`Process::set_disk_full`] can be used.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be started.
    pub fn restart_with_fillable_disk(&mut self) -> Result<(), error::Error> {
        self.launch_with_file_limit("unlimited")
    }

    fn launch_with_file_limit(&mut self, blocks: &str) -> Result<(), error::Error> {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", FILE_LIMIT_SCRIPT, "sh"])
            .arg(blocks)
            .arg(&self.program)
            .args(&self.arguments);
        self.launch(command)
    }

    /// Makes all writes of the running process to files fail, or no longer. It must have
    /// been started by [`Process::restart_with_fillable_disk`].
    ///
    /// # Errors
    /// [`error::Error::Io`] when the limit cannot be set.
    pub fn set_disk_full(&self, full: bool) -> Result<(), error::Error> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = Some(Pid::from_child(child));
        let usual = rustix::process::getrlimit(Resource::Fsize);
        let limit = Rlimit {
            current: if full { Some(0) } else { usual.current },
            ..usual
        };
        rustix::process::prlimit(pid, Resource::Fsize, limit).map_err(std::io::Error::from)?;
        Ok(())
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be signalled.
    pub fn kill(&mut self) -> Result<(), error::Error> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Stops the process without ending it (SIGSTOP).
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be signalled.
    pub fn freeze(&self) -> Result<(), error::Error> {
        self.signal(Signal::STOP)
    }

    /// Continues a frozen process (SIGCONT).
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be signalled.
    pub fn thaw(&self) -> Result<(), error::Error> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to shut down (SIGTERM).
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be signalled.
    pub fn terminate(&self) -> Result<(), error::Error> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has exited, and returns its status; `None` if it was not
    /// running.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when it still runs after the timeout.
    pub async fn wait(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, error::Error> {
        let started = Instant::now();
        let Some(child) = self.child.as_mut() else {
            return Ok(None);
        };
        while started.elapsed() < timeout {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Err(error::Error::Timeout("a process to end".into()))
    }

    /// Process id; absent once the process was killed or seen to have exited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Contents of its log file.
    ///
    /// # Errors
    /// [`error::Error::Io`] when the file cannot be read.
    pub fn log(&self) -> Result<String, error::Error> {
        Ok(std::fs::read_to_string(&self.log)?)
    }

    fn signal(&self, signal: Signal) -> Result<(), error::Error> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        rustix::process::kill_process(Pid::from_child(child), signal)
            .map_err(|failure| error::Error::Io(failure.into()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
