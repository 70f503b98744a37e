//! Checks that the modules of a folder have no import cycles: actors import state types, never the reverse.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Returns the sibling modules that each module of a folder imports.
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

/// Returns the modules that are part of an import cycle or import from one, by repeatedly removing modules without
/// imports.
fn cyclic_modules(mut imports: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let leaf = imports
            .iter()
            .find(|(_, siblings)| siblings.iter().all(|sibling| !imports.contains_key(sibling)))
            .map(|(name, _)| name.clone());
        match leaf {
            Some(name) => imports.remove(&name),
            None => return imports.into_keys().collect(),
        };
    }
}

#[test]
fn no_modules_import_each_other() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for folder in ["dispatch", "peers", "owner", "config"] {
        let imports = imports(&source.join(folder));
        assert!(imports.len() > 3, "{folder} has modules");
        assert_eq!(cyclic_modules(imports), Vec::<String>::new(), "{folder}");
    }
}
