//! Boxes that run as processes of the built binary.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::common::Plan;

/// The running processes of all boxes of a plan. A box is identified by its region and number.
pub struct BoxProcesses {
    plan: Plan,
    directory: PathBuf,
    pub children: BTreeMap<(usize, usize), Child>,
}

impl BoxProcesses {
    pub fn start(plan: Plan) -> BoxProcesses {
        let directory =
            std::env::temp_dir().join(format!("copperweir-test-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory for settings");
        let mut boxes = BoxProcesses { plan, directory, children: BTreeMap::new() };
        for region in 0..plan.regions {
            for number in 0..plan.boxes {
                boxes.start_box(region, number);
            }
        }
        boxes
    }

    pub fn start_box(&mut self, region: usize, number: usize) {
        let file = self.directory.join(format!("{region}-{number}.jsonc"));
        std::fs::write(&file, self.plan.settings_text(region, number)).expect("a settings file");
        let log = self.directory.join(format!("{region}-{number}.log"));
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_copperweir"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the box process starts");
        self.children.insert((region, number), child);
    }

    pub fn send_signal(&self, box_id: (usize, usize), signal: &str) {
        let id = self.children[&box_id].id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().expect("kill");
        assert!(status.success());
    }

    pub fn wait_for_exit(&mut self, box_id: (usize, usize)) -> Option<i32> {
        let mut child = self.children.remove(&box_id)?;
        child.wait().expect("an exit status").code()
    }

    pub fn read_logs(&self) -> String {
        let files = std::fs::read_dir(&self.directory).expect("the log directory");
        let paths = files.map(|file| file.expect("a directory entry").path());
        let logs =
            paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
        logs.map(|path| std::fs::read_to_string(path).expect("a log file")).collect()
    }
}

impl Drop for BoxProcesses {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
