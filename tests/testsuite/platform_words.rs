//! Names of the platform's protocol stand in `platform/` only.

use std::path::{Path, PathBuf};

/// Folders of sources that must not know them.
const FOLDERS: [&str; 3] = ["src", "crates", "tests"];
/// Starts of names of topics and of paths, and names of fields.
const WORDS: [&str; 6] = [
    "\"keyed\u{2e}",
    "/workswood/log\u{2d}",
    "/workswood/run\u{2d}",
    "task_\u{67}roups",
    "tls_\u{6b}ey",
    "fencing_\u{74}oken",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn only_the_adapter_knows_them() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    FOLDERS.iter().for_each(|f| sources(&root.join(f), &mut files));
    assert!(files.len() > 100, "{} files", files.len());
    let mut known = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(&path).expect("a source file");
        let words = WORDS.iter().filter(|w| text.contains(**w));
        known.extend(words.map(|w| format!("{} has {w}", path.display())));
    }
    assert!(known.is_empty(), "{known:#?}");
}
