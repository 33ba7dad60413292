//! Starts the program as the deploy file does, and sends signals to it.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The option of `prctl` that names the signal for a process whose parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// The ports that a box uses; its address belongs to it alone.
const PORTS: [u16; 6] = [8140, 8143, 8144, 8146, 7660, 9464];

/// Where a box is.
pub struct Place<'a> {
    pub number: u8,
    pub zone: &'a str,
    pub region: &'a str,
}

/// A running box.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Chooses a network of loopback addresses on which all ports of the boxes are free.
pub fn free_network(boxes: u8) -> Option<[u8; 2]> {
    let process = std::process::id();
    (0..200u32).find_map(|attempt| {
        let high = 64 + ((process / 200 + attempt) % 60) as u8;
        let network = [high, ((process + attempt) % 200 + 1) as u8];
        let is_free =
            |number: u8, port: &u16| TcpListener::bind((address(network, number), *port)).is_ok();
        let all_free = (1..=boxes).all(|number| PORTS.iter().all(|port| is_free(number, port)));
        all_free.then_some(network)
    })
}

/// The address of a box.
pub fn address(network: [u8; 2], number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network[0], network[1], number)
}

impl Gateway {
    /// Starts a box. All boxes are seeds; `bootstrap` is set at the first start only.
    pub fn start(
        network: [u8; 2],
        boxes: u8,
        place: &Place<'_>,
        store: SocketAddr,
        folder: &std::path::Path,
        bootstrap: bool,
    ) -> std::io::Result<Gateway> {
        let name = format!("front-{}", place.number);
        let ip = address(network, place.number);
        let seeds: Vec<String> =
            (1..=boxes).map(|number| format!("\"{}:8146\"", address(network, number))).collect();
        let settings = settings_text(&name, ip, place, &seeds.join(","), store)
            .replace("bootstrap = true", &format!("bootstrap = {bootstrap}"));
        let file: PathBuf = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/copperweir");
        command
            .args(["gateway", "--metrics", "9464"])
            .env_clear()
            .env("COPPERWEIR_BOOT", &file)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: The call between fork and exec sets a property of the child and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn()?;
        let endpoint = |port| SocketAddr::from((ip, port));
        Ok(Gateway { name, callers: endpoint(8144), ready: endpoint(8140), child })
    }

    /// Waits until the box is ready.
    pub fn wait_ready(&self) -> bool {
        let head = "GET /v1/ready HTTP/1.1\r\nHost: box\r\n\r\n";
        http::eventually(Duration::from_secs(15), || {
            let answer = http::call(self.ready, head, b"", Duration::from_secs(1));
            matches!(answer, Answer::Complete { status: 200, .. })
        })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: The process is a child that was not waited for, so its ID is not used again.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended; `false` if it has not in time.
    pub fn wait_end(&mut self, timeout: Duration) -> bool {
        let begun = Instant::now();
        while !self.has_ended() && begun.elapsed() < timeout {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.has_ended()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
    }
}

fn settings_text(
    name: &str,
    ip: Ipv4Addr,
    place: &Place<'_>,
    seeds: &str,
    store: SocketAddr,
) -> String {
    let (zone, region) = (place.zone, place.region);
    format!(
        r#"node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [7660,7675]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "directory"
beatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","platform"]
[zones]
bog-sala-a = "bogota"
med-sala-b = "medellin"
baq-sala-c = "barranquilla"
[listen]
front = "{ip}:8144"
ready = "{ip}:8140"
control = "{ip}:8146"
directory = "{ip}:8143"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
stretchMaxMs = 8000
retryBudget = 0.2
budgetWindowS = 10
budgetExtra = 58
coldExcess = 1.5
coldSlack = 3
evacuateMs = 5000
recoveryS = 12
passMs = 600
retryAfterS = 10
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}
