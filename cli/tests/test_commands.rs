//! Output and exit codes of the commands.

use std::path::Path;
use std::process::Command;

fn copperweir(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_copperweir"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files"))
        .output()
        .expect("the binary starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap_or(-1);
    format!("{}{}[exit {code}]", text(&output.stdout), text(&output.stderr))
}

#[test]
fn help_of_every_command() {
    insta::assert_snapshot!("help", copperweir(&["help"]));
    let commands =
        ["serve", "check", "apply", "show", "boxes", "burn", "load", "stand-in", "demo", "gateway"];
    for command in commands {
        let help = copperweir(&["help", command]);
        assert_eq!(help, copperweir(&[command, "--help"]));
        insta::assert_snapshot!(format!("help_{command}"), help);
    }
}

#[test]
fn usage_errors_and_unreachable_boxes_print_a_hint() {
    insta::assert_snapshot!("unknown_command", copperweir(&["sreve"]));
    insta::assert_snapshot!("unknown_option", copperweir(&["serve", "--setings", "x"]));
    insta::assert_snapshot!("missing_option", copperweir(&["serve"]));
    insta::assert_snapshot!("wrong_address", copperweir(&["boxes", "--at", "localhost"]));
    insta::assert_snapshot!("unreachable", copperweir(&["boxes", "--at", "127.0.0.1:1"]));
}

#[test]
fn all_problems_of_a_configuration_are_shown_at_once() {
    insta::assert_snapshot!("check_shape", copperweir(&["check", "shape.jsonc"]));
    insta::assert_snapshot!("check_names", copperweir(&["check", "names.jsonc"]));
    insta::assert_snapshot!("check_syntax", copperweir(&["check", "syntax.jsonc"]));
}

#[test]
fn all_problems_of_settings_are_shown_at_once() {
    let settings = ["serve", "--check", "--settings", "settings.jsonc"];
    insta::assert_snapshot!("check_settings", copperweir(&settings));
}

#[test]
fn files_of_the_nine_boxes_example_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/nine-boxes");
    let list_files = |directory: &str| {
        let entries = std::fs::read_dir(root.join(directory)).expect("files of the example");
        let paths =
            entries.map(|entry| entry.expect("a directory entry").path().display().to_string());
        paths.collect::<Vec<String>>()
    };
    for settings in list_files("settings") {
        assert_eq!(copperweir(&["serve", "--check", "--settings", &settings]), "[exit 0]");
    }
    let files = list_files("configuration");
    let arguments: Vec<&str> =
        std::iter::once("check").chain(files.iter().map(String::as_str)).collect();
    insta::assert_snapshot!("check_example", copperweir(&arguments));
}
