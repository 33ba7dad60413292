//! The end of a gateway process after signals. The store is unreachable, so the box serves nothing.

use std::io::PipeReader;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Capacity of a pipe.
const PIPE_BYTES: usize = 65_536;
/// Time from the first signal until an unused box ends, and for the end of its lease.
const STOP_TIME: Duration = Duration::from_millis(2500);
const MARGIN: Duration = Duration::from_millis(2500);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);

struct Gateway {
    process: Child,
    settings: PathBuf,
}

impl Gateway {
    /// Starts a box at a separate address, and waits until its ports are open.
    fn start(ip: &str, stdout: Stdio, stderr: Stdio) -> Gateway {
        let name = format!("copperweir-stop-{}-{ip}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_text(ip)).expect("a settings file");
        let process = Command::new(env!("CARGO_BIN_EXE_copperweir"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .expect("the process starts");
        let until = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect((ip, 8140)).is_err() {
            assert!(Instant::now() < until, "no open port");
            std::thread::sleep(Duration::from_millis(20));
        }
        Gateway { process, settings }
    }

    fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill").success());
    }

    /// The exit code, and the time until the process has ended.
    fn wait(&mut self, from: Instant) -> (Option<i32>, Duration) {
        while from.elapsed() < GRACE {
            if let Some(status) = self.process.try_wait().expect("a status") {
                return (status.code(), from.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the process has not ended in time");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn settings_text(ip: &str) -> String {
    format!(
        r#"node = "b1"
zone = "hall"
region = "north"
portRange = [7660, 7675]
[zones]
hall = "north"
[listen]
front = "{ip}:8144"
ready = "{ip}:8140"
control = "{ip}:8146"
directory = "{ip}:8143"
[limits]
cpuShare = 0.25
maxFds = 1000
[bounds]
drainMs = 3000
graceS = 8
configApplyMs = 3000
evacuateMs = 3000
retryBudget = 0.2
budgetWindowS = 10
budgetExtra = 50
coldExcess = 1.5
coldSlack = 3
ttl_max_s = 5
[platform]
address = "{ip}:9"
readsPerS = 2000
"#
    )
}

fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, mut writer) = std::io::pipe().expect("a pipe");
    writer.write_all(&[b'x'; PIPE_BYTES]).expect("a full pipe");
    (reader, Stdio::from(writer))
}

/// The last lines of the log were written on the main thread, which waited for the reader.
#[test]
fn process_ends_though_nobody_reads_its_output() {
    let (_stdout_reader, stdout) = full_pipe();
    let (_stderr_reader, stderr) = full_pipe();
    let mut process = Gateway::start("127.66.4.1", stdout, stderr);
    std::thread::sleep(Duration::from_millis(600));
    let from = Instant::now();
    process.signal("-TERM");
    let (code, time) = process.wait(from);
    assert_eq!(code, Some(0));
    assert!(time < STOP_TIME + MARGIN, "{time:?}");
}

/// A repeated signal of a supervisor cut the requests in progress.
#[test]
fn second_sigterm_changes_nothing() {
    let mut process = Gateway::start("127.66.4.2", Stdio::null(), Stdio::null());
    let from = Instant::now();
    for _ in 0..2 {
        process.signal("-TERM");
        std::thread::sleep(Duration::from_millis(300));
    }
    let (code, time) = process.wait(from);
    assert_eq!(code, Some(0));
    assert!(time >= STOP_TIME && time < STOP_TIME + MARGIN, "{time:?}");
}

#[test]
fn sigint_after_another_signal_ends_the_process_at_once() {
    let mut process = Gateway::start("127.66.4.3", Stdio::null(), Stdio::null());
    let from = Instant::now();
    process.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    process.signal("-INT");
    let (_, time) = process.wait(from);
    assert!(time < STOP_TIME, "{time:?}");
}
