//! Boxes as processes of the built binary.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::common::Plan;

/// The boxes of a plan as processes.
pub struct Boxes {
    plan: Plan,
    folder: PathBuf,
    pub children: BTreeMap<(usize, usize), Child>,
}

impl Boxes {
    pub fn start(plan: Plan) -> Boxes {
        let folder = std::env::temp_dir().join(format!("copperweir-test-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let mut boxes = Boxes { plan, folder, children: BTreeMap::new() };
        for region in 0..plan.regions {
            for number in 0..plan.boxes {
                boxes.start_one(region, number);
            }
        }
        boxes
    }

    pub fn start_one(&mut self, region: usize, number: usize) {
        let file = self.folder.join(format!("{region}-{number}.jsonc"));
        std::fs::write(&file, self.plan.settings_text(region, number)).expect("settings");
        let log = self.folder.join(format!("{region}-{number}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_copperweir"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a box");
        self.children.insert((region, number), child);
    }

    pub fn signal(&self, at: (usize, usize), signal: &str) {
        let id = self.children[&at].id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill");
        assert!(sent.success());
    }

    pub fn wait(&mut self, at: (usize, usize)) -> Option<i32> {
        let mut child = self.children.remove(&at)?;
        child.wait().expect("an end").code()
    }

    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder).expect("logs");
        let logs = files.map(|file| file.expect("an entry").path());
        let logs = logs.filter(|path| path.extension().is_some_and(|kind| kind == "log"));
        logs.map(|path| std::fs::read_to_string(path).expect("a log")).collect()
    }
}

impl Drop for Boxes {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
