//! Checks that links between the Markdown pages of the repository point to existing files.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders that contain no pages of the project.
const EXCLUDED_FOLDERS: [&str; 3] = ["target", "journal", ".git"];

fn find_pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if path.is_dir() && !EXCLUDED_FOLDERS.contains(&name) {
            find_pages(&path, found);
        } else if name.ends_with(".md") {
            found.push(path);
        }
    }
}

/// Returns the targets of the links in a page, without external links, anchors and fragments.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    let links = text.split("](").skip(1);
    let targets = links.filter_map(|link| link.split([')', '#']).next());
    targets.filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn links_between_pages_resolve() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    find_pages(root, &mut found);
    assert!(found.len() > 10, "{found:?}");
    let mut dead = Vec::new();
    for page in found {
        let text = fs::read_to_string(&page).expect("the page can be read");
        let folder = page.parent().expect("a page is in a folder");
        let missing = link_targets(&text).filter(|target| !folder.join(target).exists());
        dead.extend(missing.map(|target| format!("{}: {target}", page.display())));
    }
    assert_eq!(dead, Vec::<String>::new());
}
