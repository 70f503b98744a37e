//! Modules of one slice import each other in one direction: state types below, the actor above.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Returns what each module of a folder imports of its siblings.
fn imports(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let files = fs::read_dir(folder).expect("the folder can be read");
    let files = files.map(|file| file.expect("the entry can be read").path());
    let modules = files.filter(|file| !file.ends_with("mod.rs"));
    modules
        .map(|file| {
            let text = fs::read_to_string(&file).expect("the file can be read");
            let siblings = text.lines().filter_map(|line| line.strip_prefix("use super::"));
            let siblings = siblings.map(|rest| rest.split([':', ';']).next().unwrap_or_default().to_owned());
            let name = file
                .file_stem()
                .expect("the file has a name")
                .to_string_lossy()
                .into_owned();
            (name, siblings.collect())
        })
        .collect()
}

/// Returns the modules that remain after those without imports were taken away again and again.
fn circles(mut imports: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let lowest = imports
            .iter()
            .find(|(_, siblings)| siblings.iter().all(|sibling| !imports.contains_key(sibling)))
            .map(|(name, _)| name.clone());
        match lowest {
            Some(name) => imports.remove(&name),
            None => return imports.into_keys().collect(),
        };
    }
}

#[test]
fn no_modules_import_each_other() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for slice in ["dispatch", "peers", "owner", "config"] {
        let imports = imports(&source.join(slice));
        assert!(imports.len() > 3, "{slice} has modules");
        assert_eq!(circles(imports), Vec::<String>::new(), "{slice}");
    }
}
